"""The proxy's state: response contexts, branches, and the schedule of their timers."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field

from oakbridge.sip.header_values import cseq
from oakbridge.sip.message import Request
from oakbridge.sip.peer import Peer
from oakbridge.sip.transaction import Transaction
from oakbridge.sip.via import Via, top_via

BRANCH_COOKIE = "z9hG4bK"

ServerKey = tuple[str, ...]
ClientKey = tuple[str, str]  # branch parameter and method


@dataclass(slots=True, eq=False)
class ResponseContext:
    """A server transaction, and the attempts at its request (section 16.2)."""

    key: ServerKey
    request: Request  # as received, with the Via completed by the packet's source
    peer: Peer  # where responses are sent
    transaction: Transaction
    to_tag: str
    request_id: int = 0  # the balancer's; 0: the balancer has no part in it
    last_response: bytes = b""
    final_status: int = 0  # 0: no final response was sent
    accepted_by: AttemptBranch | None = None  # whose 2xx was forwarded
    attempts: list[AttemptBranch] = field(default_factory=list)
    cancelled: bool = False
    scheduled_at: int | None = None


@dataclass(slots=True, eq=False)
class AttemptBranch:
    """A client transaction to one server that the balancer ordered: an attempt."""

    context: ResponseContext
    number: int
    server: str
    peer: Peer
    request: Request
    transaction: Transaction
    sent_at: int
    deadline: int
    provisional_received: bool = False
    provisional_forwarded: bool = False  # one above 100: the caller knows that it rings
    result_reported: bool = False  # the balancer has its result
    abandoned: bool = False  # its responses count no more
    cancel_requested: bool = False
    cancel_sent: bool = False
    bye_sent: bool = False  # for a 2xx after it was abandoned
    scheduled_at: int | None = None
    transmissions: int = 0  # of its request

    @property
    def awaited_by_cancelled_caller(self) -> bool:
        """Whether a cancelled INVITE waits for this branch's final response (section 9.1)."""
        return self.context.cancelled and not self.context.final_status


@dataclass(slots=True, eq=False)
class DirectBranch:
    """A client transaction without the balancer: inside a dialog, a CANCEL, a BYE of our own."""

    peer: Peer
    request: Request
    data: bytes
    transaction: Transaction
    context: ResponseContext | None  # where its responses are forwarded
    scheduled_at: int | None = None


Branch = AttemptBranch | DirectBranch
Owner = ResponseContext | Branch


class TransactionStore:
    """All transactions of the proxy, by the keys that messages are matched by."""

    def __init__(self) -> None:
        self.contexts: dict[ServerKey, ResponseContext] = {}
        self.contexts_by_request_id: dict[int, ResponseContext] = {}
        self.contexts_per_host: Counter[str] = Counter()
        self.branches: dict[ClientKey, Branch] = {}
        self._schedule: list[tuple[int, int, Owner]] = []
        self._scheduled = 0

    def add_context(self, context: ResponseContext) -> None:
        """Add a server transaction."""
        self.contexts[context.key] = context
        self.contexts_per_host[context.peer.host] += 1

    def add_branch(self, branch: Branch) -> None:
        """Add a client transaction."""
        self.branches[client_key(branch.request)] = branch

    def invite_of(self, cancel: Request) -> ResponseContext | None:
        """Return the context of the INVITE that a CANCEL is for (section 9.2)."""
        via = top_via(cancel)
        return self.contexts.get((via.branch, via.sent_by, "INVITE"))

    def pending_requests(self) -> int:
        """Return how many server transactions have no final response yet."""
        return sum(not context.final_status for context in self.contexts.values())

    def next_timer(self) -> int | None:
        """Return when the next timer fires."""
        return self._schedule[0][0] if self._schedule else None

    def pop_due(self, now: int) -> Owner | None:
        """Remove and return the next owner whose timer is due."""
        while self._schedule and self._schedule[0][0] <= now:
            at, _, owner = heapq.heappop(self._schedule)
            if at == owner.scheduled_at:  # otherwise an earlier entry took its place
                owner.scheduled_at = None
                return owner
        return None

    def update(self, owner: Owner) -> None:
        """Schedule an owner's next timer, or remove the owner if it has ended.

        To be called after every change of its transaction.
        """
        due = owner.transaction.next_timer()
        if isinstance(owner, AttemptBranch) and not owner.result_reported:
            due = owner.deadline if due is None else min(due, owner.deadline)
        if due is not None:
            # A timer that moves later is scheduled again when its present entry comes up.
            if owner.scheduled_at is None or due < owner.scheduled_at:
                owner.scheduled_at = due
                self._scheduled += 1
                heapq.heappush(self._schedule, (due, self._scheduled, owner))
        elif owner.transaction.terminated:
            self._remove(owner)

    def _remove(self, owner: Owner) -> None:
        if not isinstance(owner, ResponseContext):
            self.branches.pop(client_key(owner.request), None)
        elif self.contexts.get(owner.key) is owner:
            del self.contexts[owner.key]
            self.contexts_by_request_id.pop(owner.request_id, None)
            host = owner.peer.host
            self.contexts_per_host[host] -= 1
            if not self.contexts_per_host[host]:
                del self.contexts_per_host[host]


def server_key(request: Request, via: Via) -> ServerKey:
    """Return the key of a request's server transaction (section 17.2.3).

    Without the cookie it is made of what RFC 2543 has.
    """
    method = "INVITE" if request.method == "ACK" else request.method
    if via.branch.startswith(BRANCH_COOKIE):
        return via.branch, via.sent_by, method
    # An ACK's To has a tag that its INVITE's has not.
    to = "" if method == "INVITE" else request.get("to")
    number, _ = cseq(request)
    return (
        "2543",
        str(via),
        method,
        request.uri,
        request.get("from"),
        to,
        request.get("call-id"),
        str(number),
    )


def client_key(request: Request) -> ClientKey:
    """Return the key of a sent request's client transaction (section 17.1.3)."""
    return top_via(request).branch, request.method
