"""The proxy's state: response contexts, branches, and the schedule of their timers.

Times are in microseconds.
"""

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
    request: Request  # as received, with its source address added to the topmost Via
    peer: Peer  # destination of responses
    transaction: Transaction
    to_tag: str
    request_id: int = 0  # the balancer's id; 0: the request does not go through the balancer
    last_response: bytes = b""
    final_status: int = 0  # 0: no final response was sent
    accepted_by: AttemptBranch | None = None  # the attempt whose 2xx was forwarded
    attempts: list[AttemptBranch] = field(default_factory=list)
    cancelled: bool = False  # by the caller's CANCEL
    scheduled_at: int | None = None  # time of its entry in the store's schedule


@dataclass(slots=True, eq=False)
class AttemptBranch:
    """An attempt: a client transaction to the server that the balancer chose."""

    context: ResponseContext
    number: int  # index in the context's attempts
    server: str  # name in the endpoint list
    peer: Peer
    request: Request
    transaction: Transaction
    sent_at: int
    deadline: int  # for the final response
    provisional_received: bool = False
    provisional_forwarded: bool = False  # a provisional response above 100: the call rings
    result_reported: bool = False  # to the balancer
    abandoned: bool = False  # further responses are not forwarded to the caller
    cancel_requested: bool = False  # a CANCEL is sent once a provisional response is received
    cancel_sent: bool = False
    bye_sent: bool = False  # after a 2xx that came too late
    scheduled_at: int | None = None  # time of its entry in the store's schedule
    transmissions: int = 0  # how often the request was sent

    @property
    def awaited_by_cancelled_caller(self) -> bool:
        """Whether the caller sent a CANCEL and waits for the final response (section 9.1)."""
        return self.context.cancelled and not self.context.final_status


@dataclass(slots=True, eq=False)
class DirectBranch:
    """A client transaction without the balancer.

    Its request is one inside a dialog, or a CANCEL or BYE that the proxy itself sends.
    """

    peer: Peer
    request: Request
    data: bytes  # the request's bytes on the wire
    transaction: Transaction
    context: ResponseContext | None  # responses are forwarded to its caller; None: not forwarded
    scheduled_at: int | None = None  # time of its entry in the store's schedule


Branch = AttemptBranch | DirectBranch
Owner = ResponseContext | Branch


class TransactionStore:
    """All transactions of the proxy, by the keys that match messages to them."""

    def __init__(self) -> None:
        self.contexts: dict[ServerKey, ResponseContext] = {}
        self.contexts_by_request_id: dict[int, ResponseContext] = {}
        self.contexts_per_host: Counter[str] = Counter()
        self.branches: dict[ClientKey, Branch] = {}
        self._schedule: list[tuple[int, int, Owner]] = []  # heap: time, entry number, owner
        self._schedule_entries = 0  # entries made so far; the number orders entries of one time

    def add_context(self, context: ResponseContext) -> None:
        """Add a server transaction."""
        self.contexts[context.key] = context
        self.contexts_per_host[context.peer.host] += 1

    def add_branch(self, branch: Branch) -> None:
        """Add a client transaction."""
        self.branches[client_key(branch.request)] = branch

    def invite_of(self, cancel: Request) -> ResponseContext | None:
        """Return the context of the INVITE that a CANCEL names, or None (section 9.2)."""
        via = top_via(cancel)
        return self.contexts.get((via.branch, via.sent_by, "INVITE"))

    def pending_requests(self) -> int:
        """Return the number of server transactions without a final response."""
        return sum(not context.final_status for context in self.contexts.values())

    def next_timer(self) -> int | None:
        """Return the time at which the next timer is due, or None without timers."""
        return self._schedule[0][0] if self._schedule else None

    def pop_due(self, now: int) -> Owner | None:
        """Return the next owner whose timer is due, or None; its schedule entry is removed."""
        while self._schedule and self._schedule[0][0] <= now:
            due, _, owner = heapq.heappop(self._schedule)
            if due == owner.scheduled_at:  # otherwise an earlier entry replaced this one
                owner.scheduled_at = None
                return owner
        return None

    def update(self, owner: Owner) -> None:
        """Schedule an owner's next timer, or remove the owner if its transaction is terminated.

        This method has to be called after every change of the owner's transaction.
        """
        due = owner.transaction.next_timer()
        if isinstance(owner, AttemptBranch) and not owner.result_reported:
            due = owner.deadline if due is None else min(due, owner.deadline)
        if due is not None:
            # A timer that is now due later is scheduled again when its present entry is due.
            if owner.scheduled_at is None or due < owner.scheduled_at:
                owner.scheduled_at = due
                self._schedule_entries += 1
                heapq.heappush(self._schedule, (due, self._schedule_entries, owner))
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

    If the branch lacks the cookie, the key consists of the fields that RFC 2543 compares.
    """
    method = "INVITE" if request.method == "ACK" else request.method
    if via.branch.startswith(BRANCH_COOKIE):
        return via.branch, via.sent_by, method
    # The To of an ACK has a tag that the To of its INVITE lacks.
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
