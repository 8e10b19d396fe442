"""Phones and SIP servers that are only as real as tests, the demo and measurements need.  Pure, like the proxy.

A phone sends requests through client transactions and counts the final answers of each; a server answers by a script
drawn from a seed and counts what it *ran*: each call or request that it began to work on, however often it was sent.
Both give bytes with their destination, and say when they want to be woken.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from oakbridge.sip.header_values import cseq, header_tag, parse_address
from oakbridge.sip.message import Message, Request, Response, build_response
from oakbridge.sip.parser import parse_message
from oakbridge.sip.proxy import COOKIE, Peer
from oakbridge.sip.transaction import LONG, T1, T2, Kind, Transaction, group
from oakbridge.sip.via import top_via

Packet = tuple[Peer, bytes]


class Clock:
    """Things to do later, in order; ``due`` is for whoever drives the owner."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[[int], None]]] = []
        self._count = 0

    def at(self, when: int, what: Callable[[int], None]) -> None:
        """Have something done at a time."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, what))

    def due(self) -> int | None:
        """When the next one is to be done."""
        return self._heap[0][0] if self._heap else None

    def tick(self, now: int) -> None:
        """Do what is due."""
        while self._heap and self._heap[0][0] <= now:
            when, _, what = heapq.heappop(self._heap)
            what(when)


@dataclass(slots=True, eq=False)
class Asked:
    """One transaction of a phone's, and what it was told."""

    request: Request
    txn: Transaction
    finals: list[int] = field(default_factory=list)  # distinct ones: a 2xx that comes again is one
    answers: set[tuple[int, str]] = field(default_factory=set)
    provisionals: list[int] = field(default_factory=list)
    retry_after: str = ""
    timed_out: bool = False


class Phone:
    """One caller."""

    def __init__(self, peer: Peer, proxy: Peer, seed: int) -> None:
        self.peer, self.proxy, self._random = peer, proxy, random.Random(seed)
        self.clock, self.out = Clock(), list[Packet]()
        self.asked: dict[tuple[str, str], Asked] = {}
        self.byes = 0

    def request(
        self, method: str, uri: str, call_id: str, number: int = 1, to_tag: str = "", branch: str = ""
    ) -> Request:
        """A request of this phone's."""
        branch = branch or f"{COOKIE}{self._random.getrandbits(48):012x}"
        tag = f";tag={to_tag}" if to_tag else ""
        return Request(
            [
                ("via", f"SIP/2.0/{self.peer.transport} {self.peer.host}:{self.peer.port};branch={branch};rport"),
                ("max-forwards", "70"),
                ("from", f"<sip:car@{self.peer.host}>;tag=f{self.peer.port}"),
                ("to", f"<{uri}>{tag}"),
                ("call-id", call_id),
                ("cseq", f"{number} {method}"),
                ("contact", f"<sip:car@{self.peer.host}:{self.peer.port}>"),
            ], b"", method, uri,
        )  # fmt: skip

    def ask(self, request: Request, now: int) -> Asked:
        """Send it, and count its answers."""
        kind = Kind.CLIENT_INVITE if request.method == "INVITE" else Kind.CLIENT_OTHER
        asked = Asked(request, Transaction(kind, self.peer.reliable))
        self.asked[top_via(request).branch, request.method] = asked
        self._verbs(asked, asked.txn.begin(now), None, now)
        self._wake(asked)
        return asked

    def cancel(self, asked: Asked, now: int) -> Asked:
        """Cancel an INVITE, as section 9.1 has it, but for waiting for a provisional: the proxy has to cope."""
        kept = [
            (n, v) for n, v in asked.request.headers if n in ("via", "max-forwards", "from", "to", "call-id")
        ]
        number, _ = cseq(asked.request)
        cancel = Request([*kept, ("cseq", f"{number} CANCEL")], b"", "CANCEL", asked.request.uri)
        return self.ask(cancel, now)

    def received(self, now: int, data: bytes) -> None:
        """A datagram."""
        message = parse_message(data)
        if isinstance(message, Request):
            if message.method == "BYE":
                self.byes += 1
                self.out.append((self.proxy, build_response(message, 200).to_bytes()))
            return
        asked = self.asked.get((top_via(message).branch, cseq(message)[1]))
        if asked is not None:
            self._verbs(asked, asked.txn.on(group(message.status), now), message, now)
            self._wake(asked)

    def _wake(self, asked: Asked) -> None:
        if (due := asked.txn.due()) is not None:
            self.clock.at(due, lambda now: self._ticked(asked, now))

    def _ticked(self, asked: Asked, now: int) -> None:
        if (due := asked.txn.due()) is not None and due <= now:
            self._verbs(asked, asked.txn.tick(now), None, now)
            self._wake(asked)

    def _verbs(self, asked: Asked, verbs: list[str], message: Message | None, now: int) -> None:
        for verb in verbs:
            if verb == "send":
                self.out.append((self.proxy, asked.request.to_bytes()))
            elif verb == "timeout":
                asked.timed_out = True
            elif verb == "ack" and isinstance(message, Response):
                self._ack(asked, message, top_via(asked.request).branch)
            elif verb == "pass" and isinstance(message, Response):
                if message.status < 200:
                    asked.provisionals.append(message.status)
                    continue
                told = message.status, header_tag(message, "to")
                if told not in asked.answers:
                    asked.answers.add(told)
                    asked.finals.append(message.status)
                asked.retry_after = message.get("retry-after")
                if message.status < 300 and asked.request.method == "INVITE":
                    self._ack(asked, message, "")

    def _ack(self, asked: Asked, response: Response, branch: str) -> None:
        number, _ = cseq(asked.request)
        uri = asked.request.uri
        if response.status < 300:
            uri = parse_address(response.get("contact"), "Contact")[0]
        ack = self.request("ACK", uri, asked.request.get("call-id"), number, "", branch)
        ack.headers = [(n, response.get("to") if n == "to" else v) for n, v in ack.headers if n != "contact"]
        if response.status < 300 and (routes := response.get_all("record-route")):
            ack.headers.append(("route", ", ".join(reversed(routes))))
        self.out.append((self.proxy, ack.to_bytes()))


@dataclass(slots=True, eq=False)
class Work:
    """A server transaction, and how its server means to answer it."""

    request: Request
    txn: Transaction
    back: Peer
    tag: str
    last: bytes = b""
    final: int = 0
    acked: bool = False
    gap: int = T1


Script = Callable[["Server", Work, int], None]


class Server:
    """One server; ``script`` says what it does with what is new to it."""

    def __init__(self, name: str, peer: Peer, seed: int, script: Script | None = None) -> None:
        self.name, self.peer = name, peer
        self.random = random.Random(f"{name}/{seed}")
        self.clock, self.out = Clock(), list[Packet]()
        self.script = script or answer_soon
        self.works: dict[tuple[str, str], Work] = {}
        self.ran: Counter[tuple[str, str]] = Counter()  # Call-ID and CSeq of what it began to work on
        self.unacked = 0  # 2xx that nobody acknowledged

    def received(self, now: int, peer: Peer, data: bytes) -> None:
        """A datagram."""
        message = parse_message(data)
        if isinstance(message, Response):
            return
        branch = top_via(message).branch
        if message.method == "ACK":
            work = self.works.get((branch, "INVITE")) or self._by_dialog(message)
            if work is not None:
                work.acked = True
                self._after(work, "ack", now)
            return
        work = self.works.get((branch, message.method))
        if work is not None:
            return self._after(work, "request", now)
        kind = Kind.SERVER_INVITE if message.method == "INVITE" else Kind.SERVER_OTHER
        work = Work(
            message, Transaction(kind, peer.reliable), peer, f"{self.name}{self.random.getrandbits(32):08x}"
        )
        self.works[branch, message.method] = work
        work.txn.begin(now)
        if message.method == "CANCEL":
            call = self.works.get((branch, "INVITE"))
            self.answer(work, 200 if call else 481, now)
            if call is not None and not call.final:
                self.answer(call, 487, now)
        elif header_tag(message, "to"):
            self.answer(work, 200, now)
        else:
            self.script(self, work, now)

    def run(self, work: Work) -> None:
        """Begin to work on it: this is what must not happen twice to what is unsafe."""
        self.ran[work.request.get("call-id"), work.request.get("cseq")] += 1

    def later(self, work: Work, status: int, when: int) -> None:
        """Answer at a time, if nothing has been answered by then."""
        self.clock.at(when, lambda now: None if work.final else self.answer(work, status, now))

    def answer(self, work: Work, status: int, now: int) -> None:
        """Send a response."""
        headers = [("contact", f"<sip:{self.name}@{self.peer.host}:{self.peer.port}>")]
        headers += [(n, v) for n, v in work.request.headers if n == "record-route"]
        response = build_response(work.request, status, work.tag, headers)
        work.last = response.to_bytes()
        work.final = status if status >= 200 else 0
        self._after(work, "put " + group(status), now)
        if work.request.method == "INVITE" and 200 <= status < 300:
            self.clock.at(now + T1, lambda at: self._again(work, now, at))

    def _again(self, work: Work, since: int, now: int) -> None:
        """Section 13.3.1.4: a 2xx is repeated until it is acknowledged."""
        if work.acked:
            return
        if now - since > LONG:
            self.unacked += 1
            return
        self.out.append((work.back, work.last))
        work.gap = min(T2, 2 * work.gap)
        self.clock.at(now + work.gap, lambda at: self._again(work, since, at))

    def _by_dialog(self, ack: Request) -> Work | None:
        tag = header_tag(ack, "to")
        return next((w for w in self.works.values() if w.tag == tag and w.request.method == "INVITE"), None)

    def _after(self, work: Work, event: str, now: int) -> None:
        self._send(work, work.txn.on(event, now))
        self._wake(work)

    def _wake(self, work: Work) -> None:
        if (due := work.txn.due()) is not None:
            self.clock.at(due, lambda now: self._ticked(work, now))

    def _ticked(self, work: Work, now: int) -> None:
        if (due := work.txn.due()) is not None and due <= now:
            self._send(work, work.txn.tick(now))
            self._wake(work)

    def _send(self, work: Work, verbs: list[str]) -> None:
        for verb in verbs:
            if verb in ("send", "put") and work.last:
                self.out.append((work.back, work.last))


def answer_soon(server: Server, work: Work, now: int) -> None:
    """Run it and answer: a call rings first."""
    server.run(work)
    if work.request.method == "INVITE":
        server.answer(work, 180, now)
        server.later(work, 200, now + server.random.randrange(50_000, 400_000))
    else:
        server.later(work, 200, now + server.random.randrange(1_000, 60_000))


def answer_as_drawn(server: Server, work: Work, now: int) -> None:
    """One of what servers do: serve, be busy, be full, fail before or behind the work, or say nothing at all."""
    kind = server.random.random()
    if kind < 0.7:
        return answer_soon(server, work, now)
    if kind < 0.78:
        return server.answer(work, 486, now)
    if kind < 0.86:
        return server.answer(work, 503, now)
    server.run(work)
    if kind < 0.92:
        server.later(work, 500, now + 30_000)
    elif kind < 0.96:
        server.answer(work, 100, now)
