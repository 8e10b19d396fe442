"""All decisions of one replica: passes each event to the component that handles it.

See ``settings.py``, ``events.py`` and ``actions.py``.  In the normal case a request is sent at once
to the less loaded of two random servers of an adaptive subset, by own attempts in flight.  A failed
attempt is retried after a growing random delay, while the retry budget allows it.
"""

import random
from collections.abc import Callable
from typing import Any

from oakbridge.policy import actions, events
from oakbridge.policy.actions import UnservedReason
from oakbridge.policy.admission import AdmissionControl
from oakbridge.policy.endpoint_reconciler import EndpointReconciler
from oakbridge.policy.events import NEVER_RAN, AttemptResult
from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.load_shedding import LoadShedding
from oakbridge.policy.membership import Membership
from oakbridge.policy.outlier_detection import OutlierDetection
from oakbridge.policy.quota import Quotas
from oakbridge.policy.records import Attempt, OpenRequest, Server
from oakbridge.policy.request_times import UPLOAD_TIMEOUT_US, RequestTimes
from oakbridge.policy.retry_budget import RetryBudget
from oakbridge.policy.retry_safety import RetrySafety
from oakbridge.policy.server_selection import ServerSelection
from oakbridge.policy.settings import Settings
from oakbridge.policy.slow_start import SlowStart
from oakbridge.policy.subset import Subset
from oakbridge.policy.timers import SECOND_US, Timers

NEVER_RAN_RETRY_COST = 0.2  # low, as an attempt that never ran cost the server no work
REVIEW_INTERVAL_US = SECOND_US // 2


class Balancer:
    """The decisions of one replica: ``handle`` takes events and returns the actions to perform."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without servers; ``seed``: the seed of all random choices."""
        rng = self.random = random.Random(seed)
        self.requests: dict[int, OpenRequest] = {}
        self.predecessor_in_flight = 0  # attempts of the predecessor during a hot restart
        self.reviewed_at = 0
        self.must_poll = settings.poll_discovery
        self._is_poll_scheduled = False  # a second timer would double the rate of polls
        self._is_resuming = False
        self._actions: list[actions.Action] = []
        # Inner tiers leave time for their clients, even if requests do not carry their time left.
        self.time_fraction = 1 - settings.tier / (2 * settings.tier_count)
        has_cross_zone_price = settings.prices.cross_zone > 0 and len(settings.zones) > 1
        self.members = Membership(settings.zone if has_cross_zone_price else "")
        self.servers = self.members.servers  # the servers that may get attempts
        self.latency = LatencyAverages()
        self.times = RequestTimes(settings, self.latency, self.time_fraction)
        self.quotas = Quotas()
        self.safety = RetrySafety(settings)
        self.budget = RetryBudget(settings)
        self.admission = AdmissionControl(settings)
        self.shedding = LoadShedding(settings, rng, events.LoadSheddingLevel({}))
        self.subset = Subset(settings, rng, self.members)
        self.slow_start = SlowStart(settings, rng, self.latency)
        self.outliers = OutlierDetection(self.members, self.latency)
        self.endpoints = EndpointReconciler(settings, rng, self.subset, self.slow_start)
        self.selection = ServerSelection(
            rng, self.members, self.subset, self.safety, self.outliers, self.slow_start
        )
        self.timers = Timers(settings.tick, self.requests, self._set_timer, self._on_expired)
        self._configure(0, events.SettingsChanged(settings))
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            events.RequestReceived: self._on_request_received,
            events.RequestBodySent: self._on_request_body_sent,
            events.TimeLeftChanged: self._on_time_left_changed,
            events.ResponseStarted: self._on_response_started,
            events.ClientDisconnected: self._on_client_disconnected,
            events.AttemptEnded: self._on_attempt_ended,
            events.TimerFired: lambda now, event: self.timers.fire(now, event.token),
            events.EndpointListReceived: self._on_endpoint_list,
            events.EndpointsAnnounced: self.endpoints.announce,
            events.SettingsChanged: self._configure,
            events.PredecessorInFlight: self._on_predecessor_in_flight,
            events.PeerFailureReports: self.outliers.apply_peer_reports,
            events.ZoneWeights: self._on_zone_weights,
            events.LoadSheddingLevel: self._on_load_shedding_level,
            events.SubsetAssignment: self._on_subset_assignment,
        }

    def handle(self, now: int, event: events.Event) -> list[actions.Action]:
        """Handle an event; return the actions to carry out now, in order."""
        if self.must_poll:
            self.must_poll = False
            self._poll_after(now, self.random.randrange(self.settings.poll_interval // 4))
        if handler := self._handlers.get(type(event)):
            handler(now, event)
        actions_to_perform, self._actions = self._actions, []
        return actions_to_perform

    def _configure(self, _: int, event: events.SettingsChanged) -> None:
        """Apply settings; open requests keep the class settings that they arrived with."""
        self.settings = settings = event.settings
        self.safety.settings = self.budget.settings = self.admission.settings = settings
        self.shedding.settings = self.subset.settings = settings
        self.slow_start.settings = self.endpoints.settings = self.times.settings = settings
        interval, tenants = SECOND_US * settings.replica_count, settings.tenants
        self.quotas.configure({t.name: interval / t.quota_per_s for t in tenants if t.quota_per_s})
        self.classes = {klass.name: klass for klass in settings.classes}
        used = {r.klass.name: r.klass for r in self.requests.values()} | self.classes
        initial_means = {name: self.times.initial_mean(klass) for name, klass in used.items()}
        self.latency.configure(initial_means)

    def _set_timer(self, delay: int, token: int) -> None:
        self._actions.append(actions.SetTimer(delay, token))

    def _poll_after(self, now: int, delay: float) -> None:
        if not self._is_poll_scheduled:
            self._is_poll_scheduled = True
            self.timers.call_later(now, delay, self._poll)

    def _poll(self, _: int) -> None:
        self._is_poll_scheduled = False
        self._actions.append(actions.WatchEndpoints())

    def _on_endpoint_list(self, now: int, event: events.EndpointListReceived) -> None:
        if event.failed:
            self._poll_after(now, self.endpoints.poll_delay(event))
            return
        self.endpoints.apply(event, now)
        oldest = self.members.oldest_version()
        if self.settings.pin_endpoint_list and self.safety.oldest_version != oldest:
            self.safety.oldest_version = oldest
            self._finish_pinned_requests(oldest)
        if not event.more_follow:
            self.admission.resize(self.endpoints.size_before, len(self.servers))
            self.subset.fill(now)
            self._dispatch(now)

    def _finish_pinned_requests(self, oldest: float) -> None:
        for request in [r for r in self.requests.values() if r.attempts and not r.in_flight]:
            if request.list_version < oldest:
                self._reject_or_fail(request, UnservedReason.PINNED_SERVERS_REMOVED)

    def _on_zone_weights(self, now: int, event: events.ZoneWeights) -> None:
        self.subset.set_zone_weights(event, now)
        self._dispatch(now)

    def _on_subset_assignment(self, now: int, event: events.SubsetAssignment) -> None:
        self.subset.assign(event.weights, now)
        self._dispatch(now)

    def _on_load_shedding_level(self, _: int, event: events.LoadSheddingLevel) -> None:
        self.shedding.level = event

    def _on_predecessor_in_flight(self, now: int, event: events.PredecessorInFlight) -> None:
        """Count the predecessor's attempts in flight against the common limit."""
        self.admission.change_in_flight(event.count - self.predecessor_in_flight, now)
        self.predecessor_in_flight = event.count
        self._dispatch(now)

    def _review(self, now: int) -> None:
        """Update the servers' rate, cancel hung attempts and size the subset, at intervals."""
        if (elapsed := now - self.reviewed_at) < REVIEW_INTERVAL_US:
            return
        self.reviewed_at = now
        self.slow_start.update_rate(self.outliers.responses, len(self.servers), elapsed, now)
        self._cancel_hung_attempts(now)
        self.subset.adjust_size(self.admission.in_flight, self.outliers.recent_failure_rate, now)

    def _cancel_hung_attempts(self, now: int) -> None:
        """Cancel attempts at hung servers for a retry elsewhere: they use up clients' limits."""
        retries_left = self.budget.left(now) if self.settings.cancellation_allowed else 0.0
        for request in self.requests.values():
            if retries_left < 1 or not request.in_flight or not request.is_retryable:
                continue
            if self.outliers.eject_if_hung(request.attempts[-1], now):
                retries_left -= 1
                self._actions.append(actions.CancelAttempt(request.id, len(request.attempts) - 1))

    def _on_request_received(self, now: int, event: events.RequestReceived) -> None:
        if (klass := self.classes.get(event.class_name)) is None:
            unknown = UnservedReason.UNKNOWN_CLASS
            self._actions.append(actions.FailRequest(event.request_id, unknown))
            return
        request = OpenRequest(
            event.request_id, klass, event.tenant, now, event.streamed, event.body_bytes
        )
        self.requests[request.id] = request
        self._review(now)
        self.times.set(request, event.time_left, now)
        latency = self.latency[klass.name]
        latency.arrivals += 1
        request.is_over_quota = not (self.settings.tier or self.quotas.take(request.tenant, now))
        if self.shedding.rejects(request, event.key):
            self._reject_or_fail(request, UnservedReason.SHED)
            return
        factor = self.settings.over_quota_weight if request.is_over_quota else 1.0
        value = klass.priority_weight * factor / max(1.0, latency.mean)
        request.value = self.admission.mean_value.relative(value)
        if request.expires_at <= now:
            self._reject_or_fail(request, UnservedReason.OUT_OF_TIME)
            return
        if request.is_streamed:
            request.expires_at = now + UPLOAD_TIMEOUT_US
        self.timers.expire_at(now, request.expires_at, request.id)
        is_admitted = not self.admission.waiting.count and self.admission.admits(request.value, now)
        if not is_admitted or not self._send_attempt(request, now):
            self._enqueue(request, now, front=False)
            self._dispatch(now)

    def _on_request_body_sent(self, now: int, event: events.RequestBodySent) -> None:
        """Restart the times of a request whose streamed body has been sent."""
        if (request := self.requests.get(event.request_id)) and request.in_flight:
            request.attempts[-1].sent_at = now
            self._on_time_left_changed(now, event)

    def _on_time_left_changed(
        self, now: int, event: events.TimeLeftChanged | events.RequestBodySent
    ) -> None:
        """Set the deadline of a streamed request, which may wait or be in flight."""
        if request := self.requests.get(event.request_id):
            self.times.set(request, event.time_left, now)
            self.timers.expire_at(now, request.expires_at, request.id)

    def _send_attempt(self, request: OpenRequest, now: int) -> bool:
        """Send an attempt to the less loaded of two candidates, if there are any."""
        candidates = self.selection.choose_candidates(request, self.admission.in_flight, now)
        if candidates:
            self._start_attempt(
                request, min(candidates, key=lambda s: self.selection.load(s, now)), now
            )
        return bool(candidates)

    def _start_attempt(self, request: OpenRequest, server: Server, now: int) -> None:
        """Send an attempt to this server, after the final check that it is allowed."""
        if not self.safety.allows_attempt(request, server, now):
            self._reject_or_fail(request, UnservedReason.RETRY_UNSAFE)
            return
        number = len(request.attempts)
        start_within = self.safety.start_within(request, now)
        if not number:
            self.budget.window.add_first(now)
            request.list_version = self.members.version
        if server.started_at and self.slow_start.capacity_share(server, now) < 1:
            server.tokens -= 1
        sent_at = now + UPLOAD_TIMEOUT_US * request.is_streamed
        attempt = Attempt(server, sent_at, self.outliers.responses, server.zone, server.cell)
        request.attempts.append(attempt)
        request.in_flight += 1
        self.admission.change_in_flight(1, now)
        server.in_flight[request.id, number] = attempt
        server.last_sent_at = now
        timeout = max(1, request.expires_at - now)
        self._actions.append(actions.SendAttempt(request.id, server.id, timeout, start_within))

    def _on_attempt_ended(self, now: int, event: events.AttemptEnded) -> None:
        if (server := self.endpoints.known.get(event.server)) is None:
            return
        key = event.request_id, event.attempt
        attempt = server.in_flight.get(key)
        if attempt is None or attempt.result is not None:
            if event.request_finished and event.result == AttemptResult.RESET:
                self.outliers.update_score(server, True, now)  # the response broke off
            return
        attempt.result = event.result
        if event.result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED):
            # The server may still be working: the attempt counts for another mean latency.
            self.timers.call_later(now, self.latency.mean, lambda t: self._release(server, key, t))
        else:
            self._release(server, key, now)
        if event.load_report and "queued" in event.load_report:
            server.reported_queued, server.reported_at = max(0.0, event.load_report["queued"]), now
        self._record_result(server, event, now)
        if (request := self.requests.get(event.request_id)) is not None:
            request.in_flight -= 1
            if event.request_finished:
                self._close_request(request)
            elif not request.in_flight:
                request.failures += 1
                self._retry(request, now)
        self._review(now)
        self._dispatch(now)

    def _release(self, server: Server, key: tuple[int, int], now: int) -> None:
        del server.in_flight[key]
        self.endpoints.forget(server)
        self.admission.change_in_flight(-1, now)
        self._dispatch(now)

    def _record_result(self, server: Server, event: events.AttemptEnded, now: int) -> None:
        """Record a result in the server's history, the latencies and the limit."""
        request = self.requests.get(event.request_id)
        result, served = event.result, event.result == AttemptResult.OK
        average = self.latency[request.klass.name] if request else None
        if served or result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED):
            latency = event.latency / (average or self.latency).mean
            self.selection.record_latency(server, latency, served, now)
        if result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            return
        ejected_until = server.ejected_until
        self.outliers.record(server, result, event.latency, now)
        if server.zone in self.subset.closed_zones:
            self.subset.exclude(server, now)
        elif server.ejected_until != ejected_until:
            self.members.update_ejection(server, now)
        if request and average:
            if served:
                average.add(event.latency)
                self.latency.update_mean()
            target = self.times.target_latency(request, average.min_mean)
            self.admission.record(event.latency, average.min_mean, target, served, now)

    def _retry(self, request: OpenRequest, now: int) -> None:
        """Retry after a growing random delay, if safety, the deadline and the budget allow it."""
        cost = NEVER_RAN_RETRY_COST if request.attempts[-1].result in NEVER_RAN else 1.0
        delay = self.times.backoff(request) * self.random.uniform(0.5, 1.5)
        if now + delay >= request.expires_at:
            self._reject_or_fail(request, UnservedReason.NO_TIME_FOR_RETRY)
        elif not self.safety.allows_attempt(request, None, now):
            self._reject_or_fail(request, UnservedReason.RETRY_UNSAFE)
        elif not self.budget.take(now, request.tenant, cost):
            self._reject_or_fail(request, UnservedReason.RETRY_BUDGET)
        else:
            self.timers.call_later_for(now, delay, request.id, self._retry_now)

    def _retry_now(self, request: OpenRequest, now: int) -> None:
        if not request.in_flight and not request.is_queued:
            self._send_or_enqueue(request, now)

    def _send_or_enqueue(self, request: OpenRequest, now: int) -> bool:
        """Send a request, or queue it in front if no server can take it; return if sent."""
        if self._send_attempt(request, now):
            return True
        if self.safety.allows_attempt(request, None, now):
            self._enqueue(request, now, front=True)
        else:
            self._reject_or_fail(request, UnservedReason.RETRY_UNSAFE)
        return False

    def _enqueue(self, request: OpenRequest, now: int, *, front: bool) -> None:
        """Queue a request; it is rejected once it is too late to be sent."""
        self.admission.waiting.push(request.queue_key(), request, front=front)
        if excess := self.admission.excess_request():
            # An immediate rejection leaves its client time for a retry.
            self._reject_or_fail(excess, UnservedReason.QUEUE_FULL)
        delay = self.times.latest_dispatch(request) - now
        self.timers.call_later_for(now, delay, request.id, self._reject_late)

    def _reject_late(self, request: OpenRequest, now: int) -> None:
        if request.is_queued and now >= self.times.latest_dispatch(request):
            self._reject_or_fail(request, UnservedReason.WAITED_TOO_LONG)

    def _dispatch(self, now: int) -> None:
        """Send waiting requests while the limit admits them."""
        while request := self.admission.next_request(now):
            if now >= self.times.latest_dispatch(request):
                self._reject_or_fail(request, UnservedReason.WAITED_TOO_LONG)
            elif not self._send_or_enqueue(request, now):
                return
        if self.admission.waiting.count and not self._is_resuming and not self.admission.in_flight:
            self._is_resuming = True
            self.timers.call_later(now, self.admission.credit_delay_us(), self._resume)

    def _resume(self, now: int) -> None:
        self._is_resuming = False
        self._dispatch(now)

    def _on_expired(self, request: OpenRequest) -> None:
        self._reject_or_fail(request, UnservedReason.OUT_OF_TIME)

    def _reject_or_fail(self, request: OpenRequest, reason: UnservedReason) -> None:
        """Finish a request, if open: reject it if its client may safely retry it, else fail it."""
        if request.id not in self.requests:
            return
        if self.safety.allows_rejection(request):
            mean = self.latency[request.klass.name].mean
            shed = reason is UnservedReason.SHED
            delay = self.shedding.retry_after(request, mean, self.admission.in_flight, shed=shed)
            self._actions.append(actions.RejectRequest(request.id, delay, reason))
        else:
            self._actions.append(actions.FailRequest(request.id, reason))
        self._close_request(request)

    def _on_client_disconnected(self, now: int, event: events.ClientDisconnected) -> None:
        if request := self.requests.get(event.request_id):
            self._close_request(request)
            self._dispatch(now)

    def _on_response_started(self, now: int, event: events.ResponseStarted) -> None:
        if request := self.requests.get(event.request_id):
            self._close_request(request, streaming=event.attempt)
            self._dispatch(now)

    def _close_request(self, request: OpenRequest, streaming: int | None = None) -> None:
        """Close a request, and cancel its attempts in flight except the one that is streaming."""
        if self.settings.cancellation_allowed:
            for number, attempt in enumerate(request.attempts):
                if attempt.result is None and number != streaming:
                    self._actions.append(actions.CancelAttempt(request.id, number))
        del self.requests[request.id]
        self.admission.waiting.withdraw(request)
