"""Scripts that decide how the stand-in server responds to a new request."""

from __future__ import annotations

from oakbridge.sip.standins.user_agent_server import ReceivedRequest, UserAgentServer

RING_RANGE_US = (50_000, 400_000)  # time from the 180 to the 200 of an INVITE
WORK_RANGE_US = (1_000, 60_000)  # time from the start of another request to its 200
FAILURE_DELAY_US = 30_000


def respond_normally(server: UserAgentServer, request: ReceivedRequest, now: int) -> None:
    """Run the request and respond with 200; an INVITE gets a 180 first."""
    server.run(request)
    if request.request.method == "INVITE":
        server.respond(request, 180, now)
        server.respond_at(request, 200, now + server.rng.randrange(*RING_RANGE_US))
    else:
        server.respond_at(request, 200, now + server.rng.randrange(*WORK_RANGE_US))


def respond_at_random(server: UserAgentServer, request: ReceivedRequest, now: int) -> None:
    """Draw a behaviour: succeed, reject as busy or overloaded, or run the request and fail.

    A request that runs and fails gets a 500, a 100 without a final response, or no response.
    """
    draw = server.rng.random()
    if draw < 0.7:
        respond_normally(server, request, now)
    elif draw < 0.78:
        server.respond(request, 486, now)
    elif draw < 0.86:
        server.respond(request, 503, now)
    else:
        server.run(request)
        if draw < 0.92:
            server.respond_at(request, 500, now + FAILURE_DELAY_US)
        elif draw < 0.96:
            server.respond(request, 100, now)
