"""Hands events to the balancer, one at a time, and carries out the actions that it returns, in order."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

from oakbridge.node.clock import Clock
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.endpoint_source import EndpointSource
from oakbridge.node.observer import NodeObserver
from oakbridge.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    AttemptEnded,
    Event,
    RequestBodySent,
    RequestReceived,
    TimerFired,
)

log = logging.getLogger(__name__)


class RequestActions(Protocol):
    """Carries out the balancer's actions about requests that came in over HTTP."""

    def send(self, action: SendAttempt, decided_at: int) -> None:
        """Send an attempt, whose latest begin counts from ``decided_at``."""

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt."""

    def reject(self, action: RejectRequest) -> None:
        """Reject a request."""

    def fail(self, action: FailRequest) -> None:
        """Fail a request."""

    def abandon(self, request_id: int) -> None:
        """Fail a request that the balancer can't be trusted with any more."""


class Front(Protocol):
    """Another protocol's requests on the same balancer, numbered from the node's ``ids``."""

    def owns(self, request: int) -> bool:
        """Return whether a request came in there."""

    def carry_out(self, action: Action) -> None:
        """Carry out one of the balancer's actions about such a request."""

    def on_endpoint_list(self, new: EndpointList) -> None:
        """Keep to the list of servers."""


class Dispatcher:
    """The one place where the balancer meets the sockets."""

    def __init__(self, balancer: Balancer, clock: Clock) -> None:
        self.balancer = balancer
        self.observer: NodeObserver | None = None
        self.fronts: list[Front] = []  # beside HTTP
        self._clock = clock
        self._events: deque[tuple[Event, int | None]] = deque()
        self._handling = False

    def attach(self, requests: RequestActions, source: EndpointSource) -> None:
        """Name what carries out actions about requests, and about the endpoint list; once, before any event."""
        self._requests = requests
        self._source = source

    # ---- events in

    def post(self, event: Event, as_of: int | None = None) -> None:
        """Hand an event to the balancer; one that comes up while actions are carried out waits its turn.

        ``as_of``: when the time left that it tells was read.
        """
        self._events.append((event, as_of))
        if not self._handling:
            self._handle_all()

    @contextmanager
    def posting_first(self, event: Event) -> Iterator[None]:
        """Post an event that the balancer sees before all that the block posts; both are handled at its end."""
        self._events.append((event, None))
        was_handling, self._handling = self._handling, True
        try:
            yield
        finally:
            self._handling = was_handling
        if not was_handling:
            self._handle_all()

    def _handle_all(self) -> None:
        self._handling = True
        try:
            while self._events:
                self._handle(*self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event, as_of: int | None) -> None:
        """Handle one event, and its actions in order; a fault is contained to the request that it is about."""
        now = self._clock.now()
        if as_of is not None and isinstance(event, RequestReceived | RequestBodySent):
            # The process may have been held up since, and the client's time has not.
            event.time_left = max(0, event.time_left - (now - as_of))
        try:
            if self.observer is not None:
                self.observer.on_event(now, event)
            actions = self.balancer.handle(now, event)
            if self.observer is not None:
                self.observer.on_actions(now, actions)
        except Exception:
            log.exception("the balancer failed on %s", type(event).__name__)
            self._abandon_request_of(event)
            return
        for action in actions:
            try:
                self._carry_out(action, now)
            except Exception:
                log.exception("could not carry out %s", action)

    def _abandon_request_of(self, event: Event) -> None:
        match event:
            case RequestReceived():
                self._requests.abandon(event.request_id)
            case AttemptEnded():
                self._requests.abandon(event.request_id)

    # ---- actions out

    def _carry_out(self, action: Action, now: int) -> None:
        if isinstance(action, SetTimer):
            self._set_timer(action, now)
        elif not self.fronts or not self._carried_out_by_front(action):
            self._carry_out_here(action, now)

    def _carry_out_here(self, action: Action, now: int) -> None:
        match action:
            case SendAttempt():
                self._requests.send(action, now)
            case RejectRequest():
                self._requests.reject(action)
            case FailRequest():
                self._requests.fail(action)
            case CancelAttempt():
                self._requests.cancel(action)
            case WatchEndpoints():
                self._source.watch(action.on)

    def _set_timer(self, action: SetTimer, now: int) -> None:
        """Count from the event: the process may have been held up since, and a deadline has not."""
        token = action.token
        self._clock.call_at(now + action.delay, lambda: self.post(TimerFired(token)))

    def _carried_out_by_front(self, action: Action) -> bool:
        """Return whether an action is about a request of another front, which then carries it out."""
        request = getattr(action, "request_id", 0)
        for front in self.fronts:
            if front.owns(request):
                front.carry_out(action)
                return True
        return False
