"""The stateful proxy's decisions: which transaction a message belongs to, and what follows from it.  Pure.

Bytes with their peer, times and the decision module's actions come in; bytes to peers and events for the module go out.
The module decides whether, where and when something is sent; in here it is decided what a message *means* to it:

- a request that opens something (no To tag) is one request of the module, by method and URI of a class;
- a branch to a server is an attempt; how it ends is told by :func:`outcome`;
- a request inside a dialog goes where the dialog lives, which its Route says, and the module is not asked;
- a retransmission is absorbed by its transaction and is never an attempt.

Section numbers are RFC 3261's.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random
import re
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from oakbridge.policy.actions import Action as PolicyAction
from oakbridge.policy.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestReceived,
    ResponseStarted,
)
from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.header_values import cseq, header_tag, max_forwards, parse_address
from oakbridge.sip.message import Headers, Message, Request, Response, build_response
from oakbridge.sip.parser import parse_message
from oakbridge.sip.transaction import LONG, Kind, Transaction, group
from oakbridge.sip.uri import SipUri, parse_uri
from oakbridge.sip.via import Via, parse_via, pop_via, push_via, replace_top_via, top_via

COOKIE = "z9hG4bK"
SECOND = 1_000_000
TIMER_C = 180 * SECOND  # from the last provisional answer; section 16.8
FORMING = frozenset(
    {"INVITE", "SUBSCRIBE", "REFER", "NOTIFY"}
)  # these may form a dialog: we stay on its path
# Answers that say something about the server rather than about the request.  503 is "full", if it comes first.
FAULTS = frozenset({500, 502, 503})
MAY_HAVE_RUN_LATE = frozenset({408, 504})  # something behind the server ran out of time


class Peer(NamedTuple):
    """Where a message came from or goes to."""

    transport: str  # UDP or TCP
    host: str
    port: int
    connection: int = 0  # of a stream, as the shell numbers them

    @property
    def reliable(self) -> bool:
        """Whether nothing is lost on the way but with the connection."""
        return self.transport != "UDP"


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send these bytes."""

    peer: Peer
    data: bytes


@dataclass(frozen=True, slots=True)
class Post:
    """Tell the module."""

    event: Event


Action = Transmit | Post


@dataclass(frozen=True, slots=True)
class Rule:
    """Requests of these methods (all if empty) to users that begin so are of this class."""

    klass: str
    methods: frozenset[str] = frozenset()
    user_prefix: str = ""

    def fits(self, request: Request, uri: SipUri) -> bool:
        """Whether the rule is for this request."""
        return (not self.methods or request.method in self.methods) and uri.user.startswith(self.user_prefix)


@dataclass(frozen=True, slots=True)
class Settings:
    """What a proxy is told."""

    host: str
    port: int
    rules: tuple[Rule, ...]
    deadlines: Mapping[str, int]  # by class, microseconds
    tenant_header: str = ""
    key_header: str = ""
    most: int = 20_000  # transactions with callers
    most_each: int = 2_000  # of them, from one address


@dataclass(slots=True, eq=False)
class Branch:
    """An attempt: a client transaction to one server."""

    owner: Call
    number: int
    server: str
    peer: Peer
    request: Request
    txn: Transaction
    sent: int
    limit: int  # when the module's time for it is over
    provisional: bool = False  # any came
    early: bool = False  # one that its caller has seen
    ended: bool = False  # the module has heard of its end
    given_up: bool = False
    cancel_wanted: bool = False
    cancelled: bool = False  # a CANCEL was sent
    ended_late: bool = False  # a BYE was sent for a 2xx that nobody waited for
    at: int | None = None  # when it is looked at next
    sends: int = 0  # datagrams of it


@dataclass(slots=True, eq=False)
class Call:
    """A server transaction, and what was done for it."""

    key: Key
    request: Request  # as it came, with received and rport filled in
    peer: Peer
    txn: Transaction
    id: int = 0  # the module's; 0: the module is not asked
    last: bytes = b""  # the last response
    final: int = 0  # its status, once there is one
    winner: Branch | None = None  # whose 2xx the caller has
    branches: list[Branch] = field(default_factory=list)
    cancelled: bool = False
    to_tag: str = ""
    at: int | None = None


Key = tuple[str, ...]


@dataclass(slots=True, eq=False)
class Pass:
    """A client transaction outside the module: inside a dialog, a CANCEL, a BYE of our own."""

    peer: Peer
    data: bytes
    txn: Transaction
    call: Call | None  # whom its answers are for
    request: Request
    at: int | None = None


def outcome(status: int, first: bool) -> AttemptResult | None:
    """What a final answer means to the module; None: it is the request's answer, and none of the server's doing.

    ``first``: no provisional came before it.  A 503 that comes first says that the server has not taken the request
    on (21.5.4); behind a provisional it may have.  408 and 504 come from behind: something may have run there.
    """
    if status < 300:
        return AttemptResult.OK
    if status == 503 and first:
        return AttemptResult.REJECTED
    if status in FAULTS:
        return AttemptResult.ERROR
    return AttemptResult.TIMEOUT if status in MAY_HAVE_RUN_LATE else None


class Proxy:
    """The machine.  Every method returns what is to be done, in order; ``due`` says when :meth:`tick` is owed."""

    def __init__(self, settings: Settings, seed: int, ids: Iterator[int] | None = None) -> None:
        """``ids``: the module's numbers for requests, shared by all fronts of a node."""
        self.settings = settings
        self._ids = ids if ids is not None else itertools.count(1)
        self._random = random.Random(seed)
        self._out: list[Action] = []
        self.servers: dict[str, Peer] = {}  # all that may be known to dialogs: up and draining
        self.calls: dict[Key, Call] = {}
        self.by_id: dict[int, Call] = {}
        self.clients: dict[tuple[str, str], Branch | Pass] = {}  # by branch and method
        self.each: Counter[str] = Counter()
        self._heap: list[tuple[int, int, Call | Branch | Pass]] = []
        self._count = 0
        self.dropped: Counter[str] = Counter()
        self.leaving = False  # nothing new is taken; dialogs and what is open go on

    def _done(self) -> list[Action]:
        done, self._out = self._out, []
        return done

    # ---- time

    def due(self) -> int | None:
        """When the next timer fires."""
        return self._heap[0][0] if self._heap else None

    def tick(self, now: int) -> list[Action]:
        """Fire what is due."""
        while self._heap and self._heap[0][0] <= now:
            at, _, owner = heapq.heappop(self._heap)
            if at != owner.at:
                continue  # an earlier one took its place
            owner.at = None
            if isinstance(owner, Branch) and not owner.ended and owner.limit <= now:
                self._out_of_time(owner, now)
            for verb in owner.txn.tick(now):
                self._verb(owner, verb, None, now)
            self._settle(owner)
        return self._done()

    def owed(self) -> int:
        """How many callers wait for a final answer."""
        return sum(not call.final for call in self.calls.values())

    def _settle(self, owner: Call | Branch | Pass) -> None:
        """After anything that happened to a transaction: have its next timer out, or let go of it."""
        due = owner.txn.due()
        if isinstance(owner, Branch) and not owner.ended:
            due = owner.limit if due is None else min(due, owner.limit)
        if due is not None:
            if (
                owner.at is None or due < owner.at
            ):  # one that moves later is set again when its entry comes up
                owner.at = due
                self._count += 1
                heapq.heappush(self._heap, (due, self._count, owner))
        elif isinstance(owner, Call):
            if owner.txn.over and self.calls.get(owner.key) is owner:
                del self.calls[owner.key]
                self.each[owner.peer.host] -= 1
                self.each += Counter()  # addresses without any go
                self.by_id.pop(owner.id, None)
        elif owner.txn.over:
            self.clients.pop(_client_key(owner.request), None)

    # ---- messages in

    def received(self, now: int, peer: Peer, data: bytes) -> list[Action]:
        """Bytes of one whole message came from a peer."""
        try:
            message = parse_message(data)
        except SipMessageError as e:
            self._unreadable(peer, e)
            return self._done()
        if isinstance(message, Response):
            self._response(message, now)
        else:
            self._request(message, peer, now)
        return self._done()

    def lost(self, now: int, peer: Peer) -> list[Action]:
        """A peer's connection broke."""
        for client in [c for c in self.clients.values() if c.peer == peer]:
            self._event(client, "failed", None, now)
        for call in [c for c in self.calls.values() if c.peer == peer]:
            self._event(call, "failed", None, now)
        return self._done()

    def refused(self, now: int, data: bytes) -> list[Action]:
        """The network refused this datagram (its beginning): that says something about its own transaction alone."""
        branch = _BRANCH.search(data)
        if branch is not None:
            method = data.split(b" ", 1)[0].decode("ascii", "replace")
            client = self.clients.get((branch[1].decode("ascii", "replace"), method))
            if client is not None:
                self._event(client, "failed", None, now)
        return self._done()

    def _unreadable(self, peer: Peer, fault: SipMessageError) -> None:
        """An answer where the sender can be told from what was read; responses and ACKs get none, ever."""
        request = fault.request
        if request is None or request.method == "ACK":
            self.dropped["unreadable"] += 1
            return
        try:
            via = _where_from(top_via(request), peer)
            if not request.get("cseq"):
                raise SipMessageError("CSeq: missing")
        except SipMessageError:
            self.dropped["unreadable"] += 1
            return
        replace_top_via(request, via)
        response = build_response(request, fault.status, self._tag())
        response.reason = f"{response.reason} ({str(fault)[:80]})".translate(_ONE_LINE)
        self._out.append(Transmit(_back_to(via, peer), response.to_bytes()))

    def _request(self, request: Request, peer: Peer, now: int) -> None:
        via = _where_from(top_via(request), peer)
        replace_top_via(request, via)
        key = _server_key(request, via)
        call = self.calls.get(key)
        if request.method == "ACK":
            if call is not None:
                return self._event(call, "ack", request, now)
            return self._ack(request, now)
        if call is not None:
            return self._event(call, "request", request, now)
        back = _back_to(via, peer)
        if len(self.calls) >= self.settings.most or self.each[peer.host] >= self.settings.most_each:
            # Told without a transaction: what there is too much of must not grow by being turned away.
            again = [("retry-after", str(1 + self._random.randrange(4)))]
            self._out.append(Transmit(back, build_response(request, 503, self._tag(), again).to_bytes()))
            return
        invite = request.method == "INVITE"
        txn = Transaction(Kind.SERVER_INVITE if invite else Kind.SERVER_OTHER, peer.reliable)
        call = self.calls[key] = Call(key, request, back, txn, to_tag=self._tag())
        self.each[back.host] += 1
        txn.begin(now)
        self._opened(call, peer, now)
        self._settle(call)

    def _opened(self, call: Call, peer: Peer, now: int) -> None:
        """A new transaction: check it (16.3), then send it on."""
        request = call.request
        if request.method == "CANCEL":
            return self._cancel(call, now)
        try:
            uri = parse_uri(request.uri)
            routes = self._own_routes(request)
        except SipMessageError as e:
            return self._answer(call, e.status, now)
        if max_forwards(request) == 0:
            return self._answer(call, 483, now)
        if required := request.get("proxy-require"):
            return self._answer(call, 420, now, [("unsupported", required)])
        if self._looped(request):
            return self._answer(call, 482, now)
        if header_tag(request, "to"):
            return self._in_dialog(call, uri, routes, peer, now)
        if self.leaving:
            return self._answer(call, 503, now, [("retry-after", "1")])
        klass = next((r.klass for r in self.settings.rules if r.fits(request, uri)), None)
        if klass is None:
            return self._answer(call, 404, now)
        if request.method == "INVITE":
            self._provisional(call, build_response(request, 100), now)
        call.id = next(self._ids)
        self.by_id[call.id] = call
        tenant = request.get(self.settings.tenant_header) if self.settings.tenant_header else ""
        key = request.get(self.settings.key_header) if self.settings.key_header else ""
        self._post(RequestReceived(call.id, klass, self.settings.deadlines[klass], tenant, False, key))

    def _own_routes(self, request: Request) -> list[str]:
        """Take our own entry off the Route; returns the dialog's server, if it names one (16.4, 16.6 step 6)."""
        routes = request.get_all("route")
        if not routes:
            return []
        uri = parse_uri(parse_address(routes[0], "Route")[0])
        if (uri.host, uri.port or 5060) != (self.settings.host, self.settings.port):
            return []
        request.headers = [(n, v) for n, v in request.headers if n != "route"]
        if rest := routes[1:]:
            request.headers.append(("route", ", ".join(rest)))
        return [uri.params["srv"]] if "srv" in uri.params else []

    def _looped(self, request: Request) -> bool:
        """RFC 5393, 4.2: it was here before, and nothing that decides its way has changed since."""
        mark = ""
        for value in request.get_all("via"):
            try:
                via = parse_via(value)
            except SipMessageError:
                continue
            if via.sent_by == self._sent_by:
                mark = mark or "." + _mark(request)
                if via.branch.endswith(mark):
                    return True
        return False

    # ---- inside a dialog

    def _in_dialog(self, call: Call, uri: SipUri, routes: list[str], peer: Peer, now: int) -> None:
        """Where the dialog lives; from its server, to whom the request is for."""
        target = self._dialog_peer(uri, routes, peer)
        if target is None:
            # The server is gone, and the dialog with it: so a phone ends its side, and does not try again.
            return self._answer(call, 481, now)
        self._forward(call, target, now)

    def _dialog_peer(self, uri: SipUri, routes: list[str], peer: Peer) -> Peer | None:
        if routes and (server := self.servers.get(routes[0])) is None:
            return None
        if routes and server is not None and (peer.host, peer.port) != (server.host, server.port):
            return server
        if (uri.host, uri.port or 5060) == (self.settings.host, self.settings.port):
            return None  # it names nobody but us: sent on, it would come back until its hops are used up
        if uri.host.replace(".", "").isdigit():
            return Peer("UDP", uri.host, uri.port or 5060)
        return None  # no names are looked up

    def _forward(self, call: Call, target: Peer, now: int) -> None:
        request = self._copy(call.request, record=False)
        kind = Kind.CLIENT_INVITE if request.method == "INVITE" else Kind.CLIENT_OTHER
        self._pass(request, target, kind, call, now)

    def _pass(self, request: Request, peer: Peer, kind: Kind, call: Call | None, now: int) -> None:
        one = Pass(peer, request.to_bytes(), Transaction(kind, peer.reliable), call, request)
        self.clients[_client_key(request)] = one
        for verb in one.txn.begin(now):
            self._verb(one, verb, None, now)
        self._settle(one)

    def _ack(self, request: Request, now: int) -> None:
        """To a 2xx: end to end, outside any transaction (13.2.2.4, 16.11)."""
        try:
            uri, routes = parse_uri(request.uri), self._own_routes(request)
        except SipMessageError:
            self.dropped["ACK"] += 1
            return
        target = self._dialog_peer(uri, routes, Peer("UDP", "", 0)) if max_forwards(request) else None
        if target is None or self._looped(request):
            self.dropped["ACK"] += 1
            return
        self._out.append(Transmit(target, self._copy(request, record=False).to_bytes()))

    # ---- CANCEL

    def _cancel(self, cancel: Call, now: int) -> None:
        """Section 9.2 and 16.10: the CANCEL is answered for itself; the INVITE by what its branch says, or 487."""
        via = top_via(cancel.request)
        call = self.calls.get((via.branch, via.sent_by, "INVITE"))
        if call is None:
            return self._answer(cancel, 481, now)
        self._answer(cancel, 200, now)
        if call.final or call.cancelled:
            return  # too late, or once more: nothing changes
        call.cancelled = True
        if call.id:
            self._post(ClientDisconnected(call.id))
        out = [b for b in call.branches if not b.given_up and not b.txn.over]
        for branch in out:
            branch.limit = min(branch.limit, now + LONG)  # section 9.1: so long for the INVITE's own answer
            self._cancel_branch(branch, now)
            self._settle(branch)
        if not out:
            self._answer(call, 487, now)

    def _cancel_branch(self, branch: Branch, now: int) -> None:
        """Not before a provisional answer (9.1): the server may not have the INVITE yet, and would find nothing."""
        branch.cancel_wanted = True
        if not branch.provisional or branch.cancelled or branch.request.method != "INVITE":
            return
        branch.cancelled = True
        kept = [
            (n, v)
            for n, v in branch.request.headers
            if n in ("from", "to", "call-id", "route", "max-forwards")
        ]
        number, _ = cseq(branch.request)
        via = ("via", str(top_via(branch.request)))
        request = Request([via, *kept, ("cseq", f"{number} CANCEL")], b"", "CANCEL", branch.request.uri)
        self._pass(request, branch.peer, Kind.CLIENT_OTHER, None, now)

    # ---- what the module wants

    def carry_out(self, now: int, action: PolicyAction) -> list[Action]:
        """One action of the module, about a request of ours."""
        if isinstance(action, SendAttempt):
            self._send(action, now)
        elif isinstance(action, RejectRequest):
            seconds = max(1, -(-action.retry_after // SECOND))
            self._give_up(action.request_id, 503, now, [("retry-after", str(seconds))])
        elif isinstance(action, FailRequest):
            self._give_up(action.request_id, 500, now)
        elif isinstance(action, CancelAttempt):
            call = self.by_id.get(action.request_id)
            for branch in call.branches if call is not None else []:
                if branch.number == action.attempt and not branch.ended and not call_waits(branch):
                    self._abandon(branch, AttemptResult.CANCELLED, now)
        return self._done()

    def _send(self, action: SendAttempt, now: int) -> None:
        call, peer = self.by_id.get(action.request_id), self.servers.get(action.server)
        number = len(call.branches) if call is not None else 0
        out = call is not None and any(not b.ended for b in call.branches)
        if call is None or call.final or call.cancelled or out:
            # Guards two rules: nothing is sent for what is over, and no two attempts are out at once.
            self._post(
                AttemptEnded(action.request_id, number, action.server, AttemptResult.NOT_SENT, 0, True)
            )
            return
        request = self._copy(call.request, record=call.request.method in FORMING, server=action.server)
        kind = Kind.CLIENT_INVITE if request.method == "INVITE" else Kind.CLIENT_OTHER
        target = peer or Peer("UDP", "", 0)
        txn = Transaction(kind, target.reliable)
        branch = Branch(call, number, action.server, target, request, txn, now, now + action.timeout)
        call.branches.append(branch)
        if peer is None:  # it was listed no more when this was decided
            return self._end(branch, AttemptResult.CONNECT_FAILED, now)
        self.clients[_client_key(request)] = branch
        for verb in txn.begin(now):
            self._verb(branch, verb, None, now)
        self._settle(branch)

    def _give_up(self, number: int, status: int, now: int, headers: Headers | None = None) -> None:
        call = self.by_id.get(number)
        if call is not None and not call.cancelled:
            self._answer(call, status, now, headers)

    def _out_of_time(self, branch: Branch, now: int) -> None:
        """The module's time for an attempt is over, or the wait for a cancelled one."""
        call = branch.owner
        self._abandon(branch, AttemptResult.TIMEOUT, now)
        if not call.final and (call.cancelled or branch.early):
            # Cancelled: section 9.1 lets the transaction end here.  Ringing that never ends: Timer C (16.8).
            self._answer(call, 487 if call.cancelled else 408, now)

    def _abandon(self, branch: Branch, result: AttemptResult, now: int) -> None:
        """Nothing that it says counts any more; an INVITE is called off, a 2xx all the same is ended (see _late)."""
        branch.given_up = True
        branch.txn.quiet()
        self._cancel_branch(branch, now)
        self._end(branch, result, now)

    def _end(self, branch: Branch, result: AttemptResult, now: int, finished: bool = False) -> None:
        """Tell the module how an attempt ended, once."""
        if branch.ended:
            return
        branch.ended = True
        took = now - branch.sent
        self._post(AttemptEnded(branch.owner.id, branch.number, branch.server, result, took, finished))

    # ---- answers from servers

    def _response(self, response: Response, now: int) -> None:
        via = top_via(response)
        client = self.clients.get((via.branch, cseq(response)[1])) if via.sent_by == self._sent_by else None
        if client is None:
            self.dropped["response to nothing"] += (
                1  # section 16.7 as RFC 6026 has it: no stateless forwarding
            )
            return
        self._event(client, group(response.status), response, now)

    def _event(self, owner: Call | Branch | Pass, event: str, message: Message | None, now: int) -> None:
        for verb in owner.txn.on(event, now):
            self._verb(owner, verb, message, now)
        self._settle(owner)

    def _verb(self, owner: Call | Branch | Pass, verb: str, message: Message | None, now: int) -> None:
        """What a transaction's table asks for."""
        if isinstance(owner, Call):
            if verb in ("send", "put") and owner.last:
                self._out.append(Transmit(owner.peer, owner.last))
            elif verb == "pass" and isinstance(message, Request) and message.method == "ACK":
                self._ack(message, now)
            return  # a caller that can't be reached, or never acknowledges, changes nothing here
        if verb == "send":
            data = owner.request.to_bytes() if isinstance(owner, Branch) else owner.data
            if isinstance(owner, Branch):
                owner.sends += 1
            self._out.append(Transmit(owner.peer, data))
        elif verb == "ack" and isinstance(message, Response):
            self._out.append(Transmit(owner.peer, _ack_of(owner.request, message).to_bytes()))
        elif verb == "pass" and isinstance(message, Response):
            if isinstance(owner, Branch):
                self._answered(owner, message, now)
            elif owner.call is not None:
                self._back(owner.call, message, now)
        elif verb in ("timeout", "error"):
            self._failed(owner, verb, now)

    def _failed(self, owner: Branch | Pass, verb: str, now: int) -> None:
        if isinstance(owner, Pass):
            if owner.call is not None:
                self._answer(owner.call, 408 if verb == "timeout" else 503, now)
            return
        # Never ran only if the one datagram was refused: an earlier one may have reached a server that died since.
        never = verb == "error" and not owner.provisional and not owner.peer.reliable and owner.sends == 1
        result = (
            AttemptResult.TIMEOUT
            if verb == "timeout"
            else AttemptResult.CONNECT_FAILED
            if never
            else AttemptResult.RESET
        )
        call = owner.owner
        owner.given_up = True
        self._end(owner, result, now)
        if not call.final and (call.cancelled or owner.early):
            self._answer(call, 487 if call.cancelled else 408, now)

    def _answered(self, branch: Branch, response: Response, now: int) -> None:
        """An answer of an attempt that its transaction lets through."""
        call = branch.owner
        if response.status < 200:
            branch.provisional = True
            if branch.cancel_wanted:
                return self._cancel_branch(branch, now)
            if response.status > 100 and not branch.given_up and not call.final:
                if not branch.early:
                    # It rings: from here on nobody else may be asked, and the wait is Timer C's.
                    branch.early = True
                    self._post(ResponseStarted(call.id, branch.number))
                branch.limit = max(branch.limit, now + TIMER_C)
                self._back(call, response, now)
            return
        if response.status < 300 and (branch.given_up or (call.final and call.winner is not branch)):
            self._late(branch, response, now)
            return self._end(branch, AttemptResult.CANCELLED, now)
        if branch.given_up or (call.final and response.status >= 300):
            return self._end(branch, AttemptResult.CANCELLED, now)
        result = outcome(response.status, not branch.provisional)
        if result is AttemptResult.OK or result is None or branch.early or call.cancelled:
            call.winner = branch if result is AttemptResult.OK else None
            self._back(call, response, now)
            told = result if result is not None else AttemptResult.NOT_SENT
            return self._end(branch, AttemptResult.CANCELLED if call.cancelled else told, now, finished=True)
        branch.given_up = True
        self._end(branch, result, now)

    def _late(self, branch: Branch, response: Response, now: int) -> None:
        """A call that its server took though nobody waits for it any more: acknowledged, then ended.

        Without the ACK the server repeats its 2xx for 32 s; without the BYE it holds a call with nobody in it.
        Nothing that can be seen by its caller happens: that one has another answer.
        """
        if branch.request.method != "INVITE":
            return
        number, _ = cseq(branch.request)
        try:
            uri = parse_address(response.get("contact"), "Contact")[0]
        except SipMessageError:
            uri = branch.request.uri
        kept = [(n, v) for n, v in branch.request.headers if n in ("from", "call-id")]
        for method, sequence in (("ACK", number), ("BYE", number + 1)):
            via = Via(
                branch.peer.transport, self.settings.host, self.settings.port, (("branch", self._branch("")),)
            )
            headers = [
                ("via", str(via)), *kept, ("to", response.get("to")), ("max-forwards", "70"),
                ("cseq", f"{sequence} {method}"),
            ]  # fmt: skip
            request = Request(headers, b"", method, uri)
            if method == "ACK":
                self._out.append(Transmit(branch.peer, request.to_bytes()))
            elif not branch.ended_late:
                branch.ended_late = True
                self._pass(request, branch.peer, Kind.CLIENT_OTHER, None, now)

    # ---- answers to callers

    def _back(self, call: Call, response: Response, now: int) -> None:
        """Send a server's answer on to the caller (16.7): our Via off, all else as it came."""
        pop_via(response)
        if response.status < 200:
            return self._provisional(call, response, now)
        self._final(call, response, now)

    def _provisional(self, call: Call, response: Response, now: int) -> None:
        if not call.final:
            call.last = response.to_bytes()
            self._event(call, "put 1xx", response, now)

    def _answer(self, call: Call, status: int, now: int, headers: Headers | None = None) -> None:
        """An answer of our own."""
        self._final(call, build_response(call.request, status, call.to_tag, headers), now)

    def _final(self, call: Call, response: Response, now: int) -> None:
        """The one final answer; only a 2xx to an INVITE comes again, from the same server (13.3.1.4)."""
        again = call.final and call.final < 300 and response.status < 300 and call.request.method == "INVITE"
        if call.final and not again:
            return
        call.final = response.status
        call.last = response.to_bytes()
        self._event(call, "put " + group(response.status), response, now)

    # ---- parts

    @property
    def _sent_by(self) -> str:
        return f"{self.settings.host}:{self.settings.port}"

    def _post(self, event: Event) -> None:
        self._out.append(Post(event))

    def _tag(self) -> str:
        return f"{self._random.getrandbits(48):012x}"

    def _branch(self, mark: str) -> str:
        """Unique in time and space (8.1.1.7); its end says what decided the way, for loops."""
        return f"{COOKIE}{self._random.getrandbits(64):016x}.{mark}"

    def _copy(self, request: Request, record: bool, server: str = "") -> Request:
        """What goes on (16.6): one hop fewer, our Via, and our Record-Route with the dialog's server."""
        headers = [(n, v) for n, v in request.headers if n != "max-forwards"]
        headers.append(("max-forwards", str(max_forwards(request) - 1)))
        if record:
            stay = f"<sip:{self.settings.host}:{self.settings.port};lr;srv={server}>"
            headers.insert(0, ("record-route", stay))
        copy = Request(headers, request.body, request.method, request.uri)
        mark = _mark(request)
        push_via(copy, Via("UDP", self.settings.host, self.settings.port, (("branch", self._branch(mark)),)))
        return copy


_BRANCH = re.compile(rb";branch=([^;,\s]+)")
_ONE_LINE = str.maketrans("\r\n\t", "   ")


def call_waits(branch: Branch) -> bool:
    """Whether a cancelled caller waits for what this branch's server says (9.1): then it goes on."""
    return branch.owner.cancelled and not branch.owner.final


def _mark(request: Request) -> str:
    """What decides a request's way here (RFC 5393, 4.2.1): unchanged, it would go round and round."""
    parts = (request.uri, request.get("to"), request.get("from"), request.get("call-id"), str(cseq(request)[0]),
             ",".join(request.get_all("route")), request.get("proxy-require"))  # fmt: skip
    return hashlib.blake2s("\n".join(parts).encode("utf-8", "surrogateescape"), digest_size=6).hexdigest()


def _where_from(via: Via, peer: Peer) -> Via:
    """Section 18.2.1 and RFC 3581: what the top Via says is completed by what the packet says."""
    given = {}
    if via.host != peer.host or via.param("rport") is not None:
        given["received"] = peer.host
    if via.param("rport") is not None:
        given["rport"] = str(peer.port)
    return via.with_params(**given) if given else via


def _back_to(via: Via, peer: Peer) -> Peer:
    """Where answers go: section 18.2.2 and RFC 3581, 4."""
    if peer.reliable:
        return peer
    if via.param("rport"):
        return Peer("UDP", peer.host, peer.port)
    return Peer("UDP", peer.host, via.port or 5060)


def _server_key(request: Request, via: Via) -> Key:
    """Section 17.2.3: by branch, sent-by and method; without the cookie by what RFC 2543 had."""
    method = "INVITE" if request.method == "ACK" else request.method
    if via.branch.startswith(COOKIE):
        return via.branch, via.sent_by, method
    to = "" if method == "INVITE" else request.get("to")  # an ACK's To has a tag that its INVITE had not
    number = str(cseq(request)[0])
    return "2543", str(via), method, request.uri, request.get("from"), to, request.get("call-id"), number


def _client_key(request: Request) -> tuple[str, str]:
    return top_via(request).branch, request.method


def _ack_of(request: Request, response: Response) -> Request:
    """Section 17.1.1.3: to an answer that is not 2xx, on the INVITE's own branch."""
    number, _ = cseq(request)
    kept = [(n, v) for n, v in request.headers if n in ("from", "call-id", "route", "max-forwards")]
    headers = [("via", str(top_via(request))), *kept, ("to", response.get("to")), ("cseq", f"{number} ACK")]
    return Request(headers, b"", "ACK", request.uri)
