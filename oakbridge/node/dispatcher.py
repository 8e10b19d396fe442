"""Hands events to the balancer one at a time, and executes the actions that it returns in order."""

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
    TimeLeftChanged,
    TimerFired,
)

log = logging.getLogger(__name__)

TIMED_EVENTS = (RequestReceived, RequestBodySent, TimeLeftChanged)  # they have a ``time_left``


class RequestActions(Protocol):
    """Executes the balancer's actions for requests that arrived over HTTP."""

    def send(self, action: SendAttempt, decided_at: int) -> None:
        """Send an attempt; the deadline for its start counts from ``decided_at``."""

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt."""

    def reject(self, action: RejectRequest) -> None:
        """Reject a request."""

    def fail(self, action: FailRequest) -> None:
        """Fail a request."""

    def abandon(self, request_id: int) -> None:
        """Fail a request after a fault of the balancer."""


class Front(Protocol):
    """Serves another protocol on the same balancer, with request ids from the node's ``ids``."""

    def owns(self, request: int) -> bool:
        """Return whether a request arrived at this front."""

    def carry_out(self, action: Action) -> None:
        """Execute an action of the balancer for a request of this front."""

    def on_endpoint_list(self, new: EndpointList) -> None:
        """Apply a list, or the changes in it."""


class Dispatcher:
    """Connects the balancer, which does no I/O, to the code that does."""

    def __init__(self, balancer: Balancer, clock: Clock) -> None:
        self.balancer = balancer
        self.observer: NodeObserver | None = None
        self.fronts: list[Front] = []  # in addition to HTTP
        self._clock = clock
        self._events: deque[tuple[Event, int | None]] = deque()
        self._is_handling = False

    def attach(self, requests: RequestActions, source: EndpointSource) -> None:
        """Set what executes actions for requests and the endpoint list; once, before any event."""
        self._requests = requests
        self._source = source

    # ---- events

    def given_up_at(self, request_id: int) -> int | None:
        """Return when the balancer will give a request up; None: it does not know the request."""
        request = self.balancer.requests.get(request_id)
        return None if request is None else request.expires_at

    def can_retry(self, request_id: int) -> bool:
        """Return whether the balancer would retry a request if its attempt in flight failed now."""
        balancer, now = self.balancer, self._clock.now()
        request = balancer.requests.get(request_id)
        if request is None or balancer.budget.left(now) < 1:
            return False
        return balancer.safety.allows_retry(request, None, now)

    def post(self, event: Event, as_of: int | None = None) -> None:
        """Hand an event to the balancer; while actions are executed, further events are queued.

        ``as_of``: when the ``time_left`` of the event was measured, in microseconds.
        """
        self._events.append((event, as_of))
        if not self._is_handling:
            self._handle_all()

    @contextmanager
    def posting_first(self, event: Event) -> Iterator[None]:
        """Post an event before those that the block posts; all are handled when it exits."""
        self._events.append((event, None))
        was_already_handling, self._is_handling = self._is_handling, True
        try:
            yield
        finally:
            self._is_handling = was_already_handling
        if not was_already_handling:
            self._handle_all()

    def _handle_all(self) -> None:
        self._is_handling = True
        try:
            while self._events:
                self._handle(*self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: Event, as_of: int | None) -> None:
        """Handle one event, and its actions in order; an exception only fails its request."""
        now = self._clock.now()
        if as_of is not None and isinstance(event, TIMED_EVENTS):
            # The process may have been paused since, while the client's timeout goes on.
            event.time_left = max(0, event.time_left - (now - as_of))
        try:
            if self.observer is not None:
                self.observer.on_event(now, event)
            actions = self.balancer.handle(now, event)
            if self.observer is not None:
                self.observer.on_actions(now, actions)
        except Exception:
            log.exception("balancer failed to handle an event: event=%s", type(event).__name__)
            self._abandon_request_of(event)
            return
        for action in actions:
            try:
                self._execute(action, now)
            except Exception:
                log.exception("action of the balancer failed: action=%s", action)

    def _abandon_request_of(self, event: Event) -> None:
        match event:
            case RequestReceived():
                self._requests.abandon(event.request_id)
            case AttemptEnded():
                self._requests.abandon(event.request_id)

    # ---- actions

    def _execute(self, action: Action, now: int) -> None:
        if isinstance(action, SetTimer):
            self._set_timer(action, now)
        elif not self.fronts or not self._execute_by_front(action):
            self._execute_here(action, now)

    def _execute_here(self, action: Action, now: int) -> None:
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
        """Set a timer that counts from the event, as the process may have been paused since."""
        token = action.token
        self._clock.call_at(now + action.delay, lambda: self.post(TimerFired(token)))

    def _execute_by_front(self, action: Action) -> bool:
        """Have another front execute an action if it owns the request; return whether one does."""
        request = getattr(action, "request_id", 0)
        for front in self.fronts:
            if front.owns(request):
                front.carry_out(action)
                return True
        return False
