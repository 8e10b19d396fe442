"""The one place where the module meets the sockets: events in, actions carried out in order, timers kept."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import socket
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from itertools import islice
from typing import Protocol

from oakbridge.node.attempt import Attempt, AttemptOutcome, ResponseSink
from oakbridge.node.client_request import HOP_BY_HOP_HEADERS, ClientRequest
from oakbridge.node.clock import Clock
from oakbridge.node.config import Config
from oakbridge.node.connection_pool import ConnectionPool
from oakbridge.node.discovery import Discovery
from oakbridge.node.http_server import HttpServer
from oakbridge.node.listing import BadList, ConfigError, Entry, Listing, Source, parse, pieces
from oakbridge.node.observer import NodeObserver
from oakbridge.node.outages import Outages
from oakbridge.node.request_body import BODY_BUFFERS_PART
from oakbridge.node.server_connection import ServerConnection
from oakbridge.node.settings import in_place
from oakbridge.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchList,
    Log,
    RejectRequest,
    Release,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointListReceived,
    EndpointsAnnounced,
    Event,
    RequestBodySent,
    RequestReceived,
    SettingsChanged,
    TimerFired,
)
from oakbridge.policy.settings import ReportSource, Settings

log = logging.getLogger(__name__)

RESERVE = 64  # descriptors kept for discovery, the loop, files and callers that are told to go elsewhere
UPSTREAM_PART = 0.4  # of the other descriptors
NEVER_CLOSE_IDLE = 60_000_000  # where the settings do not tell the servers' limit
NOT_FINAL = (408, 425, 429)  # of 4xx: these say nothing against the request, nor that it has not run
ENDING_MARGIN = 50_000  # a node that ends has its last answers written so long before it must
RUN_OUT_DIGITS = 99_999_999  # more microseconds than this are given in milliseconds

# A load report's names on the sockets, and the module's.
_REPORT = {
    "inflight": "in_flight", "queue": "queued", "util": "utilisation", "latency_ms": "latency_ms",
    "qps": "rate", "eps": "fail_rate",
}  # fmt: skip


def parse_report(text: str) -> dict[str, float]:
    """``TEXT inflight=7, queue=2``; what is no finite number is left out."""
    report = {}
    for part in text.removeprefix("TEXT").split(","):
        name, _, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name in _REPORT and math.isfinite(number):
            report[_REPORT[name]] = number
    return report


def head(request: ClientRequest, timeout: int) -> bytes:
    """The bytes of an attempt, but for a body that is still coming: what goes on, and how long this may take."""
    given = b"%du" % timeout if timeout <= RUN_OUT_DIGITS else b"%dm" % (timeout // 1000)
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in request.headers if name not in HOP_BY_HOP_HEADERS]
    lines.append(b"x-timeout: " + given)
    if request.streamed_body is not None:
        length = request.streamed_body.length
        lines.append(b"transfer-encoding: chunked" if length is None else b"content-length: %d" % length)
    elif request.body or request.method not in (b"GET", b"DELETE", b"OPTIONS"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


class Front(Protocol):
    """Another protocol's front on the node's module, with numbers of requests from the node's ``ids``."""

    def owns(self, request: int) -> bool:
        """Whether a request came in there."""

    def carry_out(self, action: Action) -> None:
        """Carry out one of the module's actions about such a request."""

    def listed(self, listing: Listing) -> None:
        """Keep to the list of servers."""


class Passing:
    """A server's connection as the caller sees it whose answer it passes on."""

    def __init__(self, node: Node, request: ClientRequest, source: ServerConnection) -> None:
        self.node, self.request = node, request
        self.pause, self.resume = source.pause, source.resume

    def cancel(self) -> None:
        """The caller is gone: the attempt is called off at once."""
        if self.request.attempt is not None:
            self.node.pool.cancel(self.request.attempt)


class Node:
    """One node: the module, the sockets on both sides, and discovery."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        source: Callable[[Clock], Source] | None = None,
        door: bool = True,
        doors: Sequence[socket.socket] = (),
        shared: bool = False,
        outages: Outages | None = None,
    ) -> None:
        """``source``: where the list comes from, if it is not discovery; ``door``: whether it listens itself.

        ``doors``: listening sockets that another process of this node had; ``shared``: a further process may listen;
        ``outages``: what operators hold out from before.
        """
        settings = config.settings
        self.settings, self.clock, self.config = settings, Clock(loop), config
        self.balancer = Balancer(settings, config.seed)
        self.classes = {c.name: c for c in settings.classes}
        self.tenants = {t.name for t in settings.tenants}
        self.requests: dict[int, ClientRequest] = {}
        self.open: set[bytes] = set()  # their ids
        self.ids = itertools.count(1)  # the module's numbers of requests, for all fronts
        self.fronts: list[Front] = []  # beside HTTP
        self.served = self.refused = self.failed = 0  # answers since the start
        self._events: deque[Event] = deque()
        self._handling = False
        self.observer: NodeObserver | None = None
        self._loop = loop
        self._listed: dict[
            str, Entry
        ] = {}  # all servers that are listed, draining ones among them, as they are listed
        self.outages = outages or Outages()  # and those that operators hold out
        self._pieces: deque[Listing] = deque()  # of a long list, that are still to be taken
        upstream = int((config.sockets - RESERVE) * UPSTREAM_PART)
        self.pool = ConnectionPool(
            loop,
            self.clock,
            settings.connect_timeout,
            settings.connection_idle_timeout or NEVER_CLOSE_IDLE,
            upstream,
        )
        self.source: Source
        if source is not None:
            self.source = source(self.clock)
        elif config.discovery is not None:
            self.source = Discovery(
                config.discovery, not settings.poll_discovery, settings.poll_interval, config.seed
            )
        else:
            raise ConfigError("discovery: missing, and there is no other source of servers")
        addresses = (config.listen, *config.also_listen) if door else ()
        callers = config.sockets - RESERVE - upstream
        self.server = HttpServer(loop, self.clock, self, addresses, callers, doors, reuse_port=shared)
        if config.memory_mb:
            self.server.body_buffers.limit = config.memory_mb * 1024 * 1024 // BODY_BUFFERS_PART
        self.source.tell(self)
        if source is None:
            self._start_from(config)

    def _start_from(self, config: Config) -> None:
        """Start from the list as it was: it may be old, but there is no other yet."""
        known = Listing(0, True, [])
        try:
            if config.known is not None:
                known = parse(config.known)
                if isinstance(self.source, Discovery):
                    self.source.index = known.index
        except BadList as e:
            self.server.close()
            raise ConfigError(f"known: {e}") from None
        self.listed(known, saved=True)

    def share(self, held: int) -> None:
        """Leave so many descriptors to the node's other process."""
        free = self.config.sockets - RESERVE - held
        self.pool.max_connections = int(free * UPSTREAM_PART)
        self.server.limits.max_connections = max(1, free - self.pool.max_connections)

    def listed_now(self) -> list[Entry]:
        """All servers that are listed, as they are listed."""
        while self._pieces:
            self._take_piece()
        return list(self._listed.values())

    def start(self) -> None:
        """Serve."""
        self.source.start()
        self.server.start()

    def reload(self, config: Config) -> None:
        """Take a new configuration over while serving: discovery's address and the settings, whole.

        What is under way keeps what it began with; what can't change in a running process is named in the log.
        """
        old, self.config = self.config, config
        if config.discovery is not None and config.discovery != old.discovery:
            log.info("discovery is now at %s:%d", *config.discovery)
            if isinstance(self.source, Discovery):
                self.source.move(config.discovery)
        waiting = [
            n for n in ("name", "listen", "sockets", "control") if getattr(config, n) != getattr(old, n)
        ]
        settings, kept = in_place(self.settings, config.settings)
        for name in (*waiting, *(f"settings.{n}" for n in kept)):
            log.warning("the configuration's new %s counts from the next start", name)
        if settings != self.settings:
            self._change(settings)

    def _change(self, settings: Settings) -> None:
        """Decide by these settings from now on."""
        before, now = set(self.classes), {c.name for c in settings.classes}
        log.info(
            "new settings: %d classes (new: %s; gone: %s), at most %d attempts", len(now),
            ", ".join(sorted(now - before)) or "none", ", ".join(sorted(before - now)) or "none",
            settings.max_attempts,
        )  # fmt: skip
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.tenants = {t.name for t in settings.tenants}
        self.pool.configure(settings.connect_timeout, settings.connection_idle_timeout or NEVER_CLOSE_IDLE)
        self.post(SettingsChanged(settings))

    async def leave(self) -> None:
        """End as a planned restart asks for: answer what was taken, take nothing after the changeover."""
        await self.server.shut_down(max(c.deadline for c in self.settings.classes))
        for request in list(self.requests.values()):  # nobody is left to wait for: better failed than lost
            self._abandon(request.id)
        self.close()

    def close(self) -> None:
        """End at once."""
        self.source.stop()
        self.server.close()
        self.pool.close()

    def observe(self, observer: NodeObserver) -> None:
        """Have an observer called from now on, by all parts of the node."""
        self.observer = self.pool.observer = observer
        if isinstance(self.source, Discovery):
            self.source.observer = observer

    # ---- events in

    def post(self, event: Event) -> None:
        """Hand an event to the module; one that comes up while actions are carried out waits its turn."""
        self._events.append(event)
        if not self._handling:
            self._drain()

    def _drain(self) -> None:
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event) -> None:
        """One event, and its actions in order; a fault is contained to the request that it is about."""
        now = self.clock.now()
        try:
            if self.observer is not None:
                self.observer.on_event(now, event)
            actions = self.balancer.handle(now, event)
            if self.observer is not None:
                self.observer.on_actions(now, actions)
        except Exception:
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, RequestReceived | AttemptEnded):
                self._abandon(event.request_id)
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("could not carry out %s", action)

    def serving(self) -> bool:
        """Ready once a server is known that may be sent to."""
        return bool(self.pool.endpoints or self._pieces)

    def knows_class(self, klass: str) -> bool:
        """Whether there is such a class."""
        return klass in self.classes

    def has_open(self, name: bytes) -> bool:
        """Whether a request with this id is open: owed an answer, or with an attempt out."""
        return name in self.open

    def handle_request(self, request: ClientRequest) -> None:
        """A request was taken: it is the module's until its one answer."""
        klass = request.header_text(b"x-priority-class")
        now = self.clock.now()
        deadline = self.classes[klass].deadline
        if request.timeout is None:
            request.timeout = deadline
        due = request.received_at + request.timeout
        if request.answer_by is not None:
            due = min(due, request.answer_by - ENDING_MARGIN)
        if not self.pool.endpoints and self.outages.out():  # nobody is left to wait for
            soon = [(b"retry-after", b"1")] if self.settings.max_retry_after else []
            return request.client.respond(request, 503, soon, b"")
        if self.settings.max_open_requests and len(self.requests) >= self.settings.max_open_requests:
            return request.client.respond(request, 503, [], b"")  # as on the simulator: the module sees none
        request.id = next(self.ids)
        self.requests[request.id] = request
        self.open.add(request.header_values[b"x-request-id"])
        streamed = request.streamed_body is not None and not request.streamed_body.complete
        if not streamed:
            # The module ends each request before this; it guards against one that it has forgotten.
            request.overdue_timer = self.clock.call_at(max(due, now + 1), lambda: self._overdue(request))
        self.post(
            RequestReceived(
                request.id,
                klass,
                max(0, due - now),
                self._tenant(request),
                request.header_values.get(b"x-retried") == b"1",
                request.header_text(b"x-route-key"),
                self._work(request),
                streamed=request.streamed_body is not None,
            )
        )

    def _tenant(self, request: ClientRequest) -> str:
        """The tenant, if the settings know it: what is kept by tenant must not grow with each name."""
        name = request.header_text(b"x-tenant-id")
        return name if name in self.tenants else ""

    @staticmethod
    def _work(request: ClientRequest) -> int:
        cost = request.header_text(b"x-cost")
        return int(cost) if cost.isascii() and cost.isdigit() and len(cost) < 16 else 0

    def on_client_gone(self, request: ClientRequest) -> None:
        """The caller is gone: nothing is owed."""
        self._forget(request)
        if request.id:
            self.post(ClientDisconnected(request.id))

    def _overdue(self, request: ClientRequest) -> None:
        if not request.answered:
            log.warning("request %d was left unanswered", request.id)
            self._abandon(request.id)
            self.post(ClientDisconnected(request.id))

    def listed(self, listing: Listing, saved: bool = False) -> None:
        """Keep to the list from now on; a long one is taken in pieces, one in each turn of the loop."""
        while self._pieces:  # a newer list has come meanwhile: it builds on all of this one
            self._take_piece()
        states = {entry.server.id: entry.server.state for entry in listing.entries}
        if listing.entries:
            first = ", ".join(f"{name} {state}" for name, state in islice(states.items(), 20))
            log.info("list %d: %s", listing.index, first[:400])
        self._pieces.extend([listing] if saved else pieces(listing, self._listed))
        self._next_piece(saved)

    def take_out(self, name: str) -> bool | None:
        """Hold a server out for operators, from this call on; False if it was out, None if there is none such."""
        if name not in self._listed and not self.outages.holds(name):
            return None
        taken = self.outages.take_out(name, self.clock.now())
        if taken:
            self._relist(name)
        return taken

    def put_back(self, name: str) -> bool | None:
        """Use a server again that operators held out; False if it was not out, None if there is none such."""
        now = self.clock.now()
        self.outages.forget_older(now - self.settings.slow_start_window)
        if self.outages.put_back(name, now):
            self._relist(name, back=True)
            return True
        return False if name in self._listed else None

    def _relist(self, name: str, back: bool = False) -> None:
        """Have the module and the pool see one server as it counts now."""
        while self._pieces:
            self._take_piece()
        if (entry := self._listed.get(name)) is None:
            return  # it is not listed: whenever it is again, it counts as it does then
        self._pieces.append(Listing(0, False, [entry]))
        self._take_piece(back=back)

    def _next_piece(self, saved: bool = False) -> None:
        if self._pieces:
            self._take_piece(saved)
        if self._pieces:
            self._loop.call_soon(self._next_piece)

    def _take_piece(self, saved: bool = False, back: bool = False) -> None:
        """No connection that is given out after this leads elsewhere."""
        piece = self._pieces.popleft()
        piece.put_into(self._listed)
        piece = replace(piece, entries=self.outages.apply_all(piece.entries))
        for front in self.fronts:
            front.listed(piece)
        servers = [e.server for e in piece.entries]
        event = EndpointListReceived(
            servers, piece.whole, cached=saved, more_follow=bool(self._pieces), restored=back
        )
        # The module hears of the list before it hears of attempts that the list has ended.
        self._events.append(event)
        handling, self._handling = self._handling, True
        try:
            self.pool.update_endpoints(piece)
        finally:
            self._handling = handling
        if not handling:
            self._drain()

    def prepare(self, entries: Iterable[Entry]) -> None:
        """Have the module make records ahead for what the next listing names; nothing is sent there yet."""
        self.post(EndpointsAnnounced([e.server for e in entries]))

    def lost_watch(self, waited: int = 0, stale: int = 0) -> None:
        """Asking failed; the list stays as it is."""
        self.post(EndpointListReceived(failed=True, waited=waited, staleness=stale))

    # ---- actions out

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            token = action.token
            due = self.clock.now() + action.delay
            self.clock.call_at(due, lambda: self.post(TimerFired(token)))
        elif self.fronts and self._elsewhere(action):
            pass
        elif isinstance(action, SendAttempt):
            self._send(action)
        elif isinstance(action, RejectRequest):
            self._finish(action.request_id, 503, action.retry_after)
        elif isinstance(action, FailRequest):
            self._finish(action.request_id, 502)
        elif isinstance(action, CancelAttempt):
            self._cancel(action)
        elif isinstance(action, WatchEndpoints):
            self.source.watch(action.on)
        elif isinstance(action, FetchList):
            self.source.fetch()
        elif isinstance(action, Release):
            self.pool.close_idle_to(action.server)
        elif isinstance(action, Log):
            log.info("%s", action.text)
        else:  # probes and peers: the module uses neither
            log.warning("no way to carry out %s", action)

    def _elsewhere(self, action: Action) -> bool:
        """Whether an action is about a request of another front, which then carries it out."""
        request = getattr(action, "request_id", 0)
        for front in self.fronts:
            if front.owns(request):
                front.carry_out(action)
                return True
        return False

    def add_front(self, front: Front) -> None:
        """Have another front on the same module; it hears of the servers that are listed now."""
        self.fronts.append(front)
        front.listed(Listing(0, True, self.outages.apply_all(self._listed.values())))

    def _send(self, action: SendAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is None or request.attempt is not None:
            # Guards two rules: nothing is sent for what is over, and no two attempts are out at once.
            log.error("not sent: request %d is over or has an attempt out", action.request_id)
            return self._not_sent(request, action)
        if request.client.client_has_closed():
            # It waited for its turn or a retry, and the end of its connection lies unread: nothing begins for it.
            request.answered = True
            self._not_sent(request, action)
            self._forget(request)
            return request.client.abort()
        number, now = request.attempts, self.clock.now()
        request.attempts = number + 1
        attempt = Attempt(
            action.server,
            lambda left: head(request, left),
            now + action.timeout,
            lambda reply: self._ended(request, number, action.server, now, reply),
            number,
            lambda reply, length, source: self._begin(
                request, number, action.server, now, reply, length, source
            ),
            request.streamed_body,
            None if request.streamed_body is None else lambda: self._body_sent(request, number),
            now + action.start_within if action.start_within else None,
        )
        request.attempt = attempt
        self.pool.send(attempt)

    def _not_sent(self, request: ClientRequest | None, action: SendAttempt) -> None:
        """Every attempt has its one outcome, also one that was never made."""
        number, over = 0, True
        if request is not None:
            number, over = request.attempts, request.answered
            request.attempts += 1
        self.post(AttemptEnded(action.request_id, number, action.server, AttemptResult.NOT_SENT, 0, over))

    def _body_sent(self, request: ClientRequest, number: int) -> None:
        """The last of a body that went on as it came is written: the request's time counts from now."""
        if request.answered or request.attempt is None:
            return
        now, left = self.clock.now(), request.timeout or 0
        request.body_sent_at = now
        self.pool.set_deadline(request.attempt, now + left)
        request.overdue_timer = self.clock.call_at(now + left, lambda: self._overdue(request))
        self.post(RequestBodySent(request.id, number, left))

    def _begin(
        self, request: ClientRequest, number: int, server: str, sent: int, reply: AttemptOutcome, length: int | None,
        source: ServerConnection,
    ) -> ResponseSink | None:  # fmt: skip
        """A long answer begins: it goes to the caller as it comes, and for the module the attempt has ended well."""
        headers = [(name, value) for name, value in reply.headers if name not in HOP_BY_HOP_HEADERS]
        if not request.client.start_response(
            request, reply.status, headers, length, Passing(self, request, source)
        ):
            return None
        self.served += 1
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
            request.overdue_timer = None
        latency = self.clock.now() - (request.body_sent_at or sent)
        report = self._report(reply)
        self.post(AttemptEnded(request.id, number, server, AttemptResult.OK, latency, True, report))
        return request.client

    def _report(self, reply: AttemptOutcome) -> dict[str, float] | None:
        if self.settings.report_source != ReportSource.RESPONSES:
            return None
        text = dict(reply.headers).get(b"x-server-load")
        return parse_report(text.decode("latin-1")) if text else None

    def _ended(
        self, request: ClientRequest, number: int, server: str, sent: int, reply: AttemptOutcome
    ) -> None:
        """An attempt has ended: what a server answered goes to the caller first, then the module hears."""
        request.attempt = None
        if request.response_streamed:  # it was answered when its answer began; what went wrong since is news
            self._forget(request)
            if reply.result == AttemptResult.RESET:
                self.post(AttemptEnded(request.id, number, server, reply.result, 0, True))
            return
        if reply.result == AttemptResult.OK and not request.answered:
            headers = [(name, value) for name, value in reply.headers if name not in HOP_BY_HOP_HEADERS]
            request.client.respond(request, 200, headers, reply.body)
            self.served += 1
        result = reply.result
        if result == AttemptResult.ERROR and 400 <= reply.status < 500 and reply.status not in NOT_FINAL:
            # The server has no use for this request; no other will have, and it is no fault of the server.
            request.client.respond(request, reply.status, [], b"")
            result = AttemptResult.NOT_SENT
        if request.answered:
            self._forget(request)
        report = self._report(reply)
        latency = self.clock.now() - (request.body_sent_at or sent)
        self.post(AttemptEnded(request.id, number, server, result, latency, request.answered, report))

    def _finish(self, number: int, status: int, retry_after: int = 0) -> None:
        """The final answer of a request that no server served, if it is still owed."""
        request = self.requests.get(number)
        if request is None:
            return
        headers = [(b"retry-after", b"%.3f" % (retry_after / 1e6))] if retry_after else []
        request.client.respond(request, status, headers, b"")
        if status == 503:
            self.refused += 1
        else:
            self.failed += 1
        self._forget(request)

    def _abandon(self, number: int) -> None:
        """Fail a request that the module can't be trusted with any more, and call its attempt off."""
        self._finish(number, 500)
        request = self.requests.get(number)
        if request is not None and request.attempt is not None:
            self.pool.cancel(request.attempt)

    def _forget(self, request: ClientRequest) -> None:
        """Nothing is owed any more; while an attempt is out the module may still call it off."""
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
            request.overdue_timer = None
        if request.attempt is None and self.requests.pop(request.id, None) is not None:
            self.open.discard(request.header_values[b"x-request-id"])

    def _cancel(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        attempt = None if request is None else request.attempt
        if attempt is not None and attempt.number == action.attempt:
            self.pool.cancel(attempt)
