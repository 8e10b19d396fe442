"""What the headers and the status of a forwarded message mean to the node."""

from __future__ import annotations

from oakbridge.node.attempt import AttemptEnd
from oakbridge.node.client_request import HOP_BY_HOP_HEADERS, ClientRequest
from oakbridge.node.http_framing import Headers
from oakbridge.node.load_report import parse_load_report

# The 4xx statuses that don't mean that the request is invalid, nor that it has not run.
RETRYABLE_CLIENT_ERRORS = (408, 425, 429)
MAX_COST_DIGITS = 15


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop ones, which are not forwarded."""
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS]


def is_request_fault(status: int) -> bool:
    """Return whether a response's status means that no server will serve this request."""
    return 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS


def request_cost(request: ClientRequest) -> int:
    """Return the cost in the client's X-Cost, in the unit of the settings; 0 without one."""
    cost = request.header_text(b"x-cost")
    return int(cost) if cost.isascii() and cost.isdigit() and len(cost) <= MAX_COST_DIGITS else 0


def load_report(end: AttemptEnd) -> dict[str, float] | None:
    """Return the load report in the headers of a server's response; None if there is none."""
    text = dict(end.headers).get(b"x-server-load")
    return parse_load_report(text.decode("latin-1")) if text else None
