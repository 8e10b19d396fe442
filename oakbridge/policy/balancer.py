"""All decisions of one outbound copy; see ``settings.py``, ``events.py`` and ``actions.py``.

The ordinary path: a request goes at once to the less busy of two members of an adaptive subset, by own calls
in flight; what fails is retried after a growing random delay while the windowed retry budget allows it, and
one timeout bounds all attempts.  All else says which server counts as busy, what waits, what is turned away.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from oakbridge.policy import actions, events
from oakbridge.policy.events import NEVER_RAN, AttemptResult, EndpointState
from oakbridge.policy.membership import (
    EJECT_FOR,
    LOOKS,
    SCORE_LOW,
    Attempt,
    Membership,
    Server,
    Side,
    shuffled,
)  # fmt: skip
from oakbridge.policy.retry_budget import SECOND, RetryBudget
from oakbridge.policy.settings import Idempotency, RequestClass, Settings, WeightSource

GOLDEN = 0.618  # multiples of it spread evenly: advice to clients
UNSEEN_COST = 0.2  # of a retry, after an attempt that is known not to have run: it did no work
BACKOFF_SHARE = 100  # retries wait aim / this, doubled for each earlier failure, times a random 0.5 to 1.5
BAD_RATE, OK_RATE = 0.7, 0.01
SCORE_EJECT, SCORE_HIGH = 2.5, 5.0
EJECT_MOST, EJECT_SHARE = 16 * SECOND, 0.34  # never more than that share of the tier
DOUBTED = 5 * SECOND  # others' word on a server holds for so long; it comes anew every two
HANG_MEANS = 4.0  # a call out for so many mean latencies, while newer ones elsewhere were answered, is a hang
COVER, WIDEN_AT, NARROW_AT = 5, 1.0, 0.25  # subset: members a server, over all copies; own calls a member
REPORT_TRUST, CROSSING = 0.5, 2.0  # of a reported waiting request against an own call; of a server elsewhere
GAIN, GAIN_LEAST, SLOWER, ALLOWED = 1.6, 0.8, 2.0, 0.45
LEAST_EACH = 2.0  # never fewer for each server, by this copy's part
URGENT = 2.0  # times the usual worth for its time: such a call may overdraw; see Admission.open
BURST, CREDIT = 4.0, 2  # calls: a limit below that holds on average, over so many seconds; see Admission.open
COLD_PART = 0.8  # of what pushes a cold server over
CARRIED_OVER, BEST_OVER = 48, 60 * SECOND  # a mean over so many answers; a maximum fades over so long
QUICK = 6  # draws before a full look
BLAMED, BLAME_FOR, BY_CHANCE = 3, 3 * SECOND, 0.01  # servers of a zone that fail in a row; see Balancer.blame
PART_LEAST, SHUT = 0.01, 3600 * SECOND  # see on_zones
# News counts as told after TOLD, whatever failed.  All copies may lose discovery at once, and it works off
# calls in turn.  One that stood in line in vain cost it as much as an answer: made again so long after it
# began.  One turned away AT_ONCE found a full line: copies with younger lists stand back for older ones.
TOLD, ASK_AGAIN, AT_ONCE = 6 * SECOND, (3.0, 5.0), SECOND // 4
UPLOAD = 30 * SECOND  # a body that goes on as it comes is awaited for so long
ENDS_LEFT = 512  # ended calls whose last moments are still kept, before a look whether to clear them out
WAITING = 0.5  # calls that wait for each that may be out: more would have no turn in time
LIFO_AFTER, START_EACH, START_MANY = 0.2, 12.0, 3.5  # of the time to the aim; calls a server at the start


class Call:
    """One request that is owed a final answer."""

    __slots__ = ("id", "klass", "tenant", "arrived", "give_up", "aim_by", "attempts", "out", "failures",
                 "over_share", "held", "value", "version", "once")  # fmt: skip

    def __init__(self, request: events.RequestReceived, klass: RequestClass, now: int) -> None:
        self.id, self.klass, self.tenant = request.request_id, klass, request.tenant
        self.arrived = self.give_up = self.aim_by = now
        self.once = request.streamed  # its body is gone once it is sent
        self.attempts: list[Attempt] = []
        self.out = self.failures = 0
        self.version = 0  # of the list, at its first attempt
        self.value = 0.0  # its worth for the time that a server has it, as a multiple of the usual
        self.over_share = self.held = False


class RepeatSafety:
    """The one place that says whether a send or a refusal is allowed (rules 1 and 2)."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.oldest = 0.0  # the version since which some server has been listed without a break

    @staticmethod
    def may_have_run(call: Call) -> list[Attempt]:
        """The attempts that may have run, or still may."""
        return [a for a in call.attempts if a.result not in NEVER_RAN]

    def may_send(self, call: Call, server: Server | None, now: int) -> bool:
        """Whether one more attempt is allowed: at that server, or at any if None."""
        if not call.attempts:
            return True
        tried, copies = len(call.attempts), self.settings.hedging_allowed
        if call.once or tried >= self.settings.max_attempts or (call.out and not copies):
            return False
        if self.settings.pin_endpoint_list and call.version < (server.joined if server else self.oldest):
            return False  # not on the list that this call keeps to, or not without a break since
        if call.klass.idempotency == Idempotency.IDEMPOTENT:
            return True
        ran = self.may_have_run(call)
        if not ran or call.klass.idempotency != Idempotency.IDEMPOTENT_WITH_KEY:
            return not ran
        # Keyed: inside the group that drops repeats, and only while it still remembers the first one.
        in_time = now < self.remembered(call, ran[0])
        return in_time and (server is None or server.same_group(ran[0].where, call.klass.dedup_scope))

    def remembered(self, call: Call, first: Attempt) -> int:
        """Until when a repeat may begin to arrive, after a first attempt that may have run."""
        margin = 4 * self.settings.tick + call.klass.dedup_window // 20
        return first.sent + call.klass.dedup_window - margin

    def may_refuse(self, call: Call) -> bool:
        """Whether the client may be told that trying again is harmless."""
        if call.klass.idempotency == Idempotency.IDEMPOTENT or not self.may_have_run(call):
            return True
        return call.klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY and call.klass.dedup_scope == "all"


class Health:
    """The log of the odds that a server fails most calls, against the tier's rate: if all fail, none does."""

    rate = OK_RATE  # at which the whole tier fails

    def note(self, s: Server, failed: bool, now: int) -> None:
        """Take one outcome in; ejects for a growing while once failing is far likelier than not."""
        if not failed and s.score <= SCORE_LOW:  # as nearly all are: nothing to learn but the tier's rate
            s.ejected_until, s.eject_for, s.scored_at = 0, EJECT_FOR, now
            self.rate -= 0.02 * self.rate
            return
        s.score = self.score(s, now)
        if failed and now < s.doubted_until:  # others find it failing, too: fewer failures of our own do
            s.score = max(s.score, SCORE_LOW * (1 - s.doubt))
        s.scored_at = now
        p = min(max(self.rate, OK_RATE), 0.95)
        bad = max(BAD_RATE, p)
        s.score += math.log(bad / p) if failed else math.log((1 - bad) / (1 - p)) if bad > p else 0.0
        s.score = min(max(s.score, SCORE_LOW), SCORE_HIGH)
        self.rate += 0.02 * (failed - self.rate)
        if failed and s.score > SCORE_EJECT:
            self.rest(s, now)
        elif not failed and s.score <= 0:
            s.ejected_until, s.eject_for = 0, EJECT_FOR

    @staticmethod
    def rest(s: Server, now: int) -> None:
        """Eject it for a growing while; what fails while it is ejected was sent before."""
        if now >= s.ejected_until:
            s.ejected_until = now + s.eject_for
            s.eject_for = min(2 * s.eject_for, EJECT_MOST)

    @staticmethod
    def score(s: Server, now: int) -> float:
        """The score now; it fades, so that an unused server is tried again."""
        if s.score <= SCORE_LOW:
            return s.score
        return SCORE_LOW + (s.score - SCORE_LOW) * math.exp((s.scored_at - now) / (8 * SECOND))


class Latency:
    """Mean, mean deviation and least mean of the served calls of one class."""

    def __init__(self, guess: float) -> None:
        self.mean, self.dev, self.least, self.count = guess, guess / 2, guess, 0
        self.came = 0  # requests, served or not

    def note(self, latency: int) -> None:
        """Take one latency in; the least mean creeps up slowly, so that it can follow a lasting change."""
        self.count += 1
        gain = max(0.03, 1 / (self.count + 1))
        self.dev += gain * (abs(latency - self.mean) - self.dev)
        self.mean += gain * (latency - self.mean)
        self.least = min(self.least * 1.0001, self.mean) if self.count > 8 else self.mean


class Admission:
    """How many calls this copy may have out, and which of those that wait goes next."""

    def __init__(self, settings: Settings) -> None:
        self.limit = self.least = 0.0
        self.credit, self.counted, self.out = 0.1, 0, 0  # see open
        self.seen = self.served = self.since = self.waiting = 0
        self.carried = 0.0  # time that the served calls would have taken at the least latency
        self.slower = 0.5  # latency as a share of what is still well inside the aim
        self.usual = 0.0  # see value
        self.peak, self.hit, self.window = 0, False, 8  # outcomes between two looks; few at the start
        # By the next tier's part of a call's time, and with room for calls that take longer than the least.
        self.gain = 1 + max(GAIN_LEAST, GAIN / (settings.tier_count - settings.tier))
        self.flow = 0.0  # calls out that would carry the highest rate seen at the least latency seen
        self.held: dict[tuple[str, str, bool], deque[Call]] = {}
        self.due: dict[str, float] = {}
        self.tune(settings)

    def tune(self, settings: Settings) -> None:
        """Go by these settings from now on."""
        self.settings, every = settings, SECOND * settings.replica_count
        self.gap = {t.name: every / t.quota_per_s for t in settings.tenants if t.quota_per_s}
        self.due = {name: self.due.get(name, 0.0) for name in self.gap}

    def within_share(self, tenant: str, now: int) -> bool:
        """Whether the tenant stays inside its share, as far as this copy's part of the traffic tells."""
        if self.settings.tier > 0 or tenant not in self.gap:
            return True
        due = max(self.due[tenant], now - 2 * SECOND)
        self.due[tenant] = due + self.gap[tenant] if due <= now else due
        return due <= now

    def note(self, latency: int, least: float, allowed: float, result: AttemptResult, now: int) -> None:
        """Take an outcome in; after enough of them, set the limit anew: calls beyond it would only queue."""
        if not self.seen:
            self.since = now
        self.seen += 1
        self.peak = max(self.peak, self.out)
        if result == AttemptResult.OK:
            self.served += 1
            self.carried += least
            self.slower += 0.03 * (latency / allowed - self.slower)
        if self.seen <= max(self.window, self.out):
            return
        # A rate that this limit itself held down, with answers in good time, says nothing against more.
        kept = 0.9 if not self.served else 1.0 if self.hit and self.slower <= 1 else 0.98
        self.flow = max(kept * self.flow, self.carried / max(1, now - self.since))
        if self.slower > 1 or self.served < 0.8 * self.seen:
            self.limit = max(self.least, 0.85 * min(self.limit, max(self.peak, BURST)))
            self.window = 32
        else:
            self.limit = max(self.least, self.gain * self.flow)
            self.window = self.window if self.hit else 32
        self.seen, self.served, self.carried, self.peak, self.hit = 0, 0, 0.0, 0, False

    def count(self, change: int, now: int) -> None:
        """Calls go out or come back: credit gains by the limit and is used by the calls that were out."""
        gained = (self.limit - self.out) * (now - self.counted) / SECOND
        self.credit = max(-BURST, min(CREDIT * self.limit, self.credit + gained))
        self.counted = now
        self.out += change

    def open(self, now: int, value: float) -> bool:
        """Whether a call of this value may go out.

        Hundreds of copies with a call each would fill servers if each could always have one out, so a small
        limit holds on average.  Valuable calls may overdraw: with few calls no queue puts them first.
        """
        self.count(0, now)
        enough = self.credit > (-self.limit if value >= URGENT else 0)
        may = self.out < max(self.limit, BURST) and (self.limit >= BURST or enough)
        self.hit = self.hit or not may
        return may

    def value(self, worth: float) -> float:
        """Worth for the time that a call takes, as a multiple of what is usual here."""
        self.usual += 0.02 * (worth - self.usual) if self.usual else worth
        return worth / self.usual if self.usual else 1.0

    def hold(self, call: Call, front: bool) -> None:
        """Let a call wait."""
        queue = self.held.setdefault((call.klass.name, call.tenant, call.over_share), deque())
        (queue.appendleft if front else queue.append)(call)
        call.held = True
        self.waiting += 1

    def worth(self, queue: deque[Call]) -> float:
        """What each call of a queue is worth."""
        return queue[0].klass.priority_weight * (
            self.settings.over_quota_weight if queue[0].over_share else 1.0
        )

    def next(self, now: int) -> Call | None:
        """Take the waiting call worth most; the newest once the oldest waited long, or all would be late."""
        best: tuple[float, deque[Call]] | None = None
        for queue in self.held.values():
            while queue and not (queue[0].held and queue[-1].held):
                (queue.pop if queue[0].held else queue.popleft)()
            if queue and (best is None or self.worth(queue) > best[0]):
                best = self.worth(queue), queue
        if best is None or not self.open(now, best[1][0].value):
            return None
        oldest, queue = best[1][0], best[1]
        newest_first = now - oldest.arrived > LIFO_AFTER * (oldest.aim_by - oldest.arrived)
        self.release(call := queue.pop() if newest_first else queue.popleft())
        return call

    def surplus(self) -> Call | None:
        """The call to give up, if more wait than will have a turn: of those worth least, the oldest."""
        if self.waiting <= max(2 * BURST, WAITING * self.limit) or self.out < self.limit:
            return None
        for queue in sorted((queue for queue in self.held.values() if queue), key=self.worth):
            for call in queue:
                if call.held and not call.attempts:
                    return call
        return None

    def release(self, call: Call) -> None:
        """The call waits no longer."""
        if call.held:
            call.held = False
            self.waiting -= 1


class Balancer:
    """The decisions of one outbound copy: ``handle`` takes what happened and says what to do."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.safety = RepeatSafety(settings)
        self.budget = RetryBudget(settings.retry_ratio, settings.retry_floor, settings.retry_window)
        self.health = Health()
        self.admission = Admission(settings)
        # Inner tiers leave time for their callers, also when calls carry no time left.
        self.time_share = 1 - settings.tier / (2 * settings.tier_count)
        self.latency: dict[str, Latency] = {}
        self.home = settings.zone if settings.prices.cross_zone > 0 and len(settings.zones) > 1 else ""
        self.members = Membership(self.home)
        self.servers = self.members.servers  # those that may be sent to
        self.known: dict[str, Server] = {}  # those, and any that drain or have calls out
        self.subset, self.spare = self.members.subset, self.members.spare
        self.calls: dict[int, Call] = {}
        self.tune(0, events.SettingsChanged(settings))
        self.version, self.before = 0, 0  # of the list, one more with each; servers before its first piece
        self.used = 0.0  # the subset's share of these
        self.in_pieces = self.resuming = self.retired = False
        self.upcoming: list[str] = []
        self.blamed: dict[str, dict[str, int]] = {}  # by zone: who failed since any of it answered, when
        self.parts: dict[str, float] = {}  # of zones that get less than all, by a plan; see on_zones
        self.closed: set[str] = set()  # those that get nothing
        self.cut: dict[str, float] = {}  # the servers of this copy, where copies divide them
        self.looks: list[Server] = []  # servers in these that a call is to try
        self.away, self.turned = events.LoadSheddingLevel({}), 0  # and how many that were
        self.answers = self.reviewed = self.elsewhere = 0
        self.young: dict[str, Server] = {}  # those that may still be cold
        self.counted, self.carried, self.best, self.failed_lately = 0, 0.0, 0.0, 0.0  # see measure
        self.alarms: list[tuple[int, int, Callable[[int], None]]] = []
        # When calls are given up: plain numbers, as nearly all have ended by then and must not be held on to.
        self.ends: list[tuple[int, int]] = []
        self.alarm_count, self.timer, self.armed = 0, 0, math.inf
        self.actions: list[actions.Action] = []
        self.handlers: dict[type, Callable[[int, Any], None]] = {
            events.RequestReceived: self.on_request, events.AttemptEnded: self.on_ended,
            events.TimerFired: self.on_timer, events.ClientDisconnected: self.on_gone,
            events.ResponseStarted: self.on_gone, events.EndpointListReceived: self.on_list,
            events.EndpointsAnnounced: self.on_upcoming, events.RequestBodySent: self.on_body_sent,
            events.SettingsChanged: self.tune, events.InFlightInOtherProcess: self.on_elsewhere,
            events.PeerFailureReports: self.on_doubted, events.ZoneWeights: self.on_zones,
            events.LoadSheddingLevel: self.on_turned_away, events.SubsetAssignment: self.on_cut,
        }  # fmt: skip
        self.must_ask = settings.poll_discovery
        self.sized = settings.weight_source in (
            WeightSource.NOMINAL,
            WeightSource.ROUGH,
        )  # a live size echoes what copies did

    def tune(self, _: int, event: events.SettingsChanged) -> None:
        """Go by these settings from now on; a call keeps the class that it came with."""
        self.settings = self.safety.settings = settings = event.settings
        self.admission.tune(settings)
        self.budget.ratio, self.budget.floor = settings.retry_ratio, settings.retry_floor * self.budget.window
        self.classes = {c.name: c for c in settings.classes}
        self.all_unsafe = all(c.idempotency == Idempotency.NOT_IDEMPOTENT for c in settings.classes)
        counted = {call.klass.name: call.klass for call in self.calls.values()} | self.classes
        seen = {
            n: self.latency.get(n) or Latency(c.latency_objective / 5 * self.time_share)
            for n, c in counted.items()
        }
        self.latency, self.mean = seen, sum(x.mean for x in seen.values()) / len(seen)  # over classes

    def handle(self, now: int, event: events.Event) -> list[actions.Action]:
        """Take one event; returns the actions to carry out now, in order."""
        if self.must_ask:
            self.must_ask = False
            self.watch_after(now, self.random.randrange(self.settings.poll_interval // 4))
        if type(event) in self.handlers:
            self.handlers[type(event)](now, event)
        done, self.actions = self.actions, []
        return done

    def alarm(self, now: int, delay: float, what: Callable[[int], None]) -> None:
        """Have something looked at later; one timer is out for the earliest of them."""
        when = now + max(self.settings.tick, int(delay))
        self.alarm_count += 1
        heapq.heappush(self.alarms, (when, self.alarm_count, what))
        self.arm(now)

    def ends_at(self, call: Call, now: int) -> None:
        """Have a call given up at its last moment, if it is still owed an answer then."""
        heapq.heappush(self.ends, (max(call.give_up, now + self.settings.tick), call.id))
        if len(self.ends) > ENDS_LEFT + 2 * len(self.calls):
            self.ends = [(at, number) for at, number in self.ends if number in self.calls]
            heapq.heapify(self.ends)
        self.arm(now)

    def arm(self, now: int) -> None:
        """Have a timer out for the earliest alarm, or last moment of a call."""
        while self.ends and self.ends[0][1] not in self.calls:
            heapq.heappop(self.ends)
        due = min(self.alarms[0][0] if self.alarms else math.inf, self.ends[0][0] if self.ends else math.inf)
        if due < self.armed:
            self.armed = due
            self.timer += 1
            self.actions.append(actions.SetTimer(max(1, int(self.armed) - now), self.timer))

    def on_timer(self, now: int, event: events.TimerFired) -> None:
        """Look at all that is due.  Timers that an earlier alarm replaced must set no further ones."""
        if event.token != self.timer:
            return
        self.armed = math.inf
        while self.alarms and self.alarms[0][0] <= now:
            heapq.heappop(self.alarms)[2](now)
        while self.ends and self.ends[0][0] <= now:
            if call := self.calls.get(heapq.heappop(self.ends)[1]):
                self.end(call, now)
        self.arm(now)

    def on_list(self, now: int, event: events.EndpointListReceived) -> None:
        """Keep to the list at once: what drains or is gone gets nothing more."""
        if event.failed:
            scale, stale = min(1.0, self.settings.poll_interval / TOLD), event.staleness / SECOND
            pause = max(0.3, 2.5 - stale if event.waited else 0.0), max(1.0, 4.5 - stale)  # see AT_ONCE
            pause = ASK_AGAIN if event.waited >= AT_ONCE else pause
            return self.watch_after(now, scale * SECOND * self.random.uniform(*pause) - event.waited)
        if not self.in_pieces:
            self.version, self.before = self.version + 1, len(self.servers)
            self.used = len(self.subset) / max(1, self.before)
        self.in_pieces, dropped = event.more_follow, list[Server]()
        for entry in event.endpoints:
            server = self.record(entry, now)
            if entry.state != EndpointState.UP:
                server.gone = entry.state == EndpointState.GONE
                dropped.append(server)
            elif entry.id not in self.servers:
                server.joined = self.version
                # As likely in the subset as any: else what is new would be in fewer copies' subsets.
                used = (
                    entry.id in self.cut if self.cut else event.restored or self.random.random() < self.used
                )
                self.members.add(server, now, self.subset if used else self.spare)
        if event.complete:
            listed = {entry.id for entry in event.endpoints}
            for server in [s for s in self.known.values() if s.id not in listed]:
                server.gone = True
                dropped.append(server)
        self.drop(dropped, now)
        if event.more_follow:
            return
        for server in [self.known[name] for name in self.upcoming if name in self.known]:
            if server.id not in self.servers and not server.joined:  # made ready for, and not listed
                self.known.pop(server.id)
        self.upcoming = []
        # Both ways: where servers are replaced one by one, it must not end at nothing.
        part = max(1, len(self.servers)) / max(1, self.before)
        self.admission.flow, self.admission.limit = self.admission.flow * part, self.admission.limit * part
        share = len(self.servers) / self.settings.replica_count
        self.admission.least = LEAST_EACH * share
        if not self.admission.flow:  # no rush at the start, least of all where copies outnumber servers
            self.admission.limit = share * (START_EACH if share >= 1 else START_MANY)
            self.admission.window = 8 if share < 1 else 32
        while len(self.spare) and len(self.subset) < self.least():
            self.draw(now)
        self.dispatch(now)

    def record(self, entry: events.Endpoint, now: int) -> Server:
        """What is kept of a server, with the facts as they are listed now."""
        size = (entry.weight if self.sized and entry.weight > 0 else 1.0) * self.part(entry.zone, self.parts)
        size *= self.cut.get(entry.id, 1.0)
        if (server := self.known.get(entry.id)) is None:
            server = self.known[entry.id] = Server(entry, size)
        else:  # at another place it is another process: what keeps to an older list may not go there
            joined = server.joined if server.place == entry.address else self.version
            self.members.relist(server, entry, size, joined, now)
        if entry.started_at:
            self.young[entry.id] = server
        if entry.zone in self.closed:
            self.shut(server, now)
        return server

    def on_upcoming(self, now: int, event: events.EndpointsAnnounced) -> None:
        """Make records ahead for servers that are new; nothing is sent there before a list names them."""
        for entry in event.endpoints:
            if entry.id not in self.known:
                self.record(entry, now)
                self.upcoming.append(entry.id)

    def watch_after(self, now: int, wait: float) -> None:
        """Ask discovery for the list and its changes after a while."""
        self.alarm(now, wait, lambda _: self.actions.append(actions.WatchEndpoints()))

    def drop(self, servers: list[Server], now: int) -> None:
        """Send nothing more to these servers."""
        for server in servers:
            self.members.remove(server)
            self.lose(server)
        if self.settings.pin_endpoint_list and self.safety.oldest != self.members.oldest():
            self.strand(now)

    def strand(self, now: int) -> None:
        """Give up at once what keeps to a list of which no server is left: nothing can be sent for it."""
        self.safety.oldest = self.members.oldest()
        for call in [c for c in self.calls.values() if c.attempts and c.version < self.safety.oldest]:
            if not call.out:
                self.end(call, now)

    def lose(self, server: Server) -> None:
        """Keep nothing of a server that is gone, once no call is out to it: ids are ever new."""
        if server.gone and not server.out:
            self.known.pop(server.id, None)
            self.young.pop(server.id, None)

    def least(self) -> int:
        """The smallest subset at which all copies together still cover every server about evenly."""
        if self.cut:
            return sum(name in self.servers for name in self.cut)
        return min(
            len(self.servers), max(4, math.ceil(COVER * len(self.servers) / self.settings.replica_count))
        )

    def measure(self, now: int, since: int) -> None:
        """What a warm server was seen to carry a second; a cold one counts as little as it may be able to."""
        self.young = {i: y for i, y in self.young.items() if y.side is not None and self.warmth(y, now) < 1}
        able = len(self.servers) - sum(1 - self.warmth(y, now) for y in self.young.values())
        new, self.counted = self.answers - self.counted, self.answers
        rate = SECOND * new / since / max(able, self.settings.slow_start_minimum)
        self.carried += (rate - self.carried) * (1 - math.exp(-new / CARRIED_OVER))
        least = SECOND / self.mean / self.settings.replica_count  # one call at a time, of all copies
        self.best = max(least, self.carried, self.best * math.exp(-since / BEST_OVER))

    def unstick(self, now: int) -> None:
        """Call off what waits at a server that hangs, to go elsewhere: it holds places in all tiers above."""
        left = self.budget.left(now) if self.settings.cancellation_allowed else 0.0
        for call in [
            c
            for c in self.calls.values()
            if c.out and c.klass.idempotency != Idempotency.NOT_IDEMPOTENT and left >= 1
        ]:
            attempt = call.attempts[-1]
            late = not attempt.off and now - attempt.sent > HANG_MEANS * self.mean
            if late and left >= 1 and self.hangs(attempt.server, now):
                attempt.off, left = True, left - 1
                attempt.server.failed_at, attempt.server.mute = now, True
                self.blame(attempt.server, now)
                self.health.rest(attempt.server, now)
                self.members.judged(attempt.server, now)
                self.actions.append(actions.CancelAttempt(call.id, len(call.attempts) - 1))

    def review(self, now: int) -> None:
        """Now and then, widen the subset when calls pile up or fail, and narrow it when quiet."""
        if now - self.reviewed < SECOND // 2:
            return
        since, self.reviewed = now - self.reviewed, now
        self.measure(now, since)
        self.unstick(now)
        pressure = self.admission.out / max(1, len(self.subset))
        if (pressure > WIDEN_AT or self.failed_lately > 0.1) and len(self.spare):
            self.draw(now)
        elif pressure < NARROW_AT and len(self.subset) > self.least():
            s = self.subset.draw(self.random, True)
            if s.id not in self.cut:
                self.members.move(s, self.spare, now)

    def warmth(self, s: Server, now: int) -> float:
        """The least share of its capacity that a server can have by now, also if its start is ahead of us."""
        g, age = self.settings, now - s.started
        if not s.started or age >= g.slow_start_window:
            return 1.0
        return g.slow_start_minimum + (1 - g.slow_start_minimum) * max(0, age) / max(1, g.slow_start_window)

    def cold_full(self, s: Server, now: int) -> bool:
        """Whether it has had this copy's part, by what servers can do, of most that it bears."""
        warmth = self.warmth(s, now)
        if warmth >= 1 or self.retired:  # retired: the copy that took over has this one's part
            return warmth < 1
        rate = self.best * warmth * max(1.0, COLD_PART * self.settings.overload_factor)
        if s.tokens_at < 0:
            s.tokens = self.random.random()  # copies that see it at the same time don't all send at once
        else:
            s.tokens = min(1.0, s.tokens + rate * (now - s.tokens_at) / SECOND)
        s.tokens_at = now
        return s.tokens < 1

    def hangs(self, s: Server, now: int) -> bool:
        """Whether a call is out far too long; where others are answered, it is stuck in the tier behind."""
        oldest = next(iter(s.out.values()))
        long = now - max(oldest.sent, s.answered) > HANG_MEANS * self.mean
        return long and self.answers - oldest.answers >= 8

    def usable(self, s: Server, call: Call, now: int) -> bool:
        """Whether this call may go to this server now."""
        unsafe = call.klass.idempotency == Idempotency.NOT_IDEMPOTENT and not self.all_unsafe
        if s.ejected_until and (now < s.ejected_until or s.out or unsafe):  # later one safe call tries it
            return False
        if s.started and self.cold_full(s, now):
            return False
        return not s.out or (len(s.out) < s.cap and not self.hangs(s, now))

    def load(self, s: Server, now: int) -> tuple[float, float]:
        """How busy it counts: own calls out, more after failures and while it is slow; then its rest."""
        own = float(len(s.out))
        if s.score > SCORE_LOW:
            own += self.health.score(s, now) - SCORE_LOW
        if s.started:
            own /= self.warmth(s, now)
        if s.queued:  # its last report is old and noisy: a correction that fades
            own += REPORT_TRUST * s.queued * max(0.0, 1 - (now - s.reported) / (2 * SECOND))
        busy = (own + s.size) / s.size * self.slowness(s, now)
        return busy * (CROSSING if self.home and s.zone != self.home else 1), (s.last_sent - now) * s.size

    def slowness(self, s: Server, now: int) -> float:
        """Its latest latencies, which fade, or half of how long a call is out, by the tier's mean."""
        pace = 0.9 + (s.slowness - 0.9) * math.exp((s.paced - now) / (8 * SECOND))
        oldest = next(iter(s.out.values()), None)
        return pace if oldest is None else max(pace, (now - oldest.sent) / (2 * self.mean))

    def held(self, s: Server, now: int) -> float:
        """Own calls out there; on a much slower server each for several: its even part is a smaller one."""
        return len(s.out) * max(1.0, self.slowness(s, now) - 1) if s.out else 0.0

    def draw(self, now: int) -> None:
        """Widen the subset by a random spare server; where crossing has a price, half are of the own zone."""
        own = self.subset.near.count + self.subset.near_out.count
        near = self.home and 2 * own <= len(self.subset) and self.spare.near.count
        whole = not self.closed or not (self.spare.near.count or self.spare.far.count)
        s = self.spare.near.draw(self.random) if near else self.spare.draw(self.random, whole)
        self.members.move(s, self.subset, now)

    def offer(self, side: Side, few: list[Server] | None, whole: bool = False) -> Iterable[Server]:
        """Members of a side in random order; ``few``: all that a call may go to, if few."""
        if few is None:
            return side.offer(self.random, bool(self.home), whole)
        return shuffled([s for s in few if s.side is side], self.random)

    def few(self, call: Call) -> list[Server] | None:
        """The servers that a call is confined to, where these are too few for draws from all to find them."""
        found: list[Server] | None = None
        confined = (
            call.klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY and call.klass.dedup_scope != "all"
        )
        if confined and (ran := self.safety.may_have_run(call)):
            group = self.members.group(ran[0].where, call.klass.dedup_scope)
            found = list(group.values()) if len(group) <= LOOKS else None
        if found is None and self.settings.pin_endpoint_list and call.version < self.version:
            found = self.members.since(call.version)
        return found if found is not None and len(found) <= LOOKS else None

    def pick(self, call: Call, now: int) -> list[Server]:
        """Two random members that this call may go to; further ones only where those can't be used."""
        self.members.come_back(now)
        while self.looks and not call.attempts and call.klass.idempotency == Idempotency.IDEMPOTENT:
            if (s := self.looks.pop()).side and not s.out:
                return [s]
        even, pair = math.ceil((self.admission.out + 1) / max(1, len(self.subset))), list[Server]()
        if not call.attempts and not self.home and (pool := self.subset.near).count:
            for _ in range(QUICK):  # nearly always two of the first few draws may be used
                s = pool.draw(self.random)
                if self.held(s, now) < even and s not in pair and self.usable(s, call, now):
                    pair.append(s)
                    if len(pair) == 2:
                        return pair
            pair.clear()
        tried = {a.server.id for a in call.attempts}
        few = self.few(call) if tried else None
        # A member with more than its even part of own calls is passed over while others have less.
        passed = False
        for members, most in ((self.subset, even), (self.subset, math.inf), (self.spare, math.inf)):
            if members is self.subset and most > even and not passed:
                continue  # all that it offers were looked at, and none may be used
            for s in self.offer(members, few):
                if s.id in tried or (tried and not self.safety.may_send(call, s, now)):
                    continue
                if self.held(s, now) >= most:
                    passed = True
                    continue
                if self.usable(s, call, now):
                    pair.append(s)
                    if len(pair) == 2:
                        return pair
            if pair:
                return pair
        # The floor: with nothing better left, an ejected or tried server is better than none.
        shut = sum(len(self.members.by_zone.get(zone, ())) for zone in self.closed)
        if tried or self.members.ejected() - shut > EJECT_SHARE * (len(self.servers) - shut):
            for s in self.offer(self.subset, few, whole=True):
                if self.safety.may_send(call, s, now) and not (
                    self.cold_full(s, now) or s.zone in self.closed
                ):
                    return [s]
        return []

    def on_request(self, now: int, event: events.RequestReceived) -> None:
        """Take a request: send it at once, or let it wait."""
        if (klass := self.classes.get(event.class_name)) is None:
            return self.actions.append(actions.FailRequest(event.request_id))
        call = Call(event, klass, now)
        self.calls[call.id] = call
        self.review(now)
        self.times(call, event.time_left, now)
        seen = self.latency[klass.name]
        seen.came += 1
        call.over_share = not self.admission.within_share(call.tenant, now)
        if self.away.class_fractions or self.away.over_quota_fraction:
            parts = (
                self.away.class_fractions.get(klass.name, 0.0),
                self.away.over_quota_fraction * call.over_share,
            )
            # The same ones at all copies, and when they come again: else each gets in at some time, too late.
            at = zlib.crc32(b"%d %s" % (self.away.salt, event.key.encode())) / 2**32 if event.key else None
            if (self.random.random() if at is None else at) < max(parts):
                self.turned += 1
                return self.end(call, now, away=True)
        share = self.settings.over_quota_weight if call.over_share else 1.0
        call.value = self.admission.value(klass.priority_weight * share / max(1.0, seen.mean))
        if call.give_up <= now:
            return self.end(call, now)
        call.give_up = now + UPLOAD if call.once else call.give_up
        self.ends_at(call, now)
        if self.admission.waiting or not self.admission.open(now, call.value) or not self.send(call, now):
            self.wait(call, now, front=False)
            self.dispatch(now)

    def times(self, call: Call, left: int, now: int) -> None:
        """When an answer is late, and when it is worth nothing any more: then waiting only wastes work."""
        useful = call.klass.deadline if call.klass.late_weight > 0 else call.klass.latency_objective
        call.give_up = now + max(0, min(left, int(useful * self.time_share)) - 2 * self.settings.tick)
        call.aim_by = now + int(call.klass.latency_objective * self.time_share)

    def on_body_sent(self, now: int, event: events.RequestBodySent) -> None:
        """A call whose body went on as it came is all there: its time counts from now."""
        if (call := self.calls.get(event.request_id)) and call.out:
            call.attempts[-1].sent = now
            self.times(call, event.time_left, now)
            self.ends_at(call, now)

    def send(self, call: Call, now: int) -> bool:
        """Start an attempt at the less busy of two, if servers may have it."""
        if not (pair := self.pick(call, now)):
            return False
        self.start(call, min(pair, key=lambda s: self.load(s, now)), now)
        return True

    def start(self, call: Call, server: Server, now: int) -> None:
        """Start an attempt at this server; the last look at whether it is allowed is here."""
        if not self.safety.may_send(call, server, now):
            return self.end(call, now)
        number = len(call.attempts)
        attempt = Attempt(server, now + UPLOAD * call.once, self.answers)
        if not number:
            self.budget.first(now)
            call.version = self.version
        if server.started and self.warmth(server, now) < 1:
            server.tokens -= 1
        ran = (
            self.safety.may_have_run(call)
            if call.klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
            else ()
        )
        call.attempts.append(attempt)
        call.out += 1
        self.admission.count(1, now)
        server.out[call.id, number] = attempt
        server.last_sent = now
        within = max(1, self.safety.remembered(call, ran[0]) - now) if ran else 0
        self.actions.append(actions.SendAttempt(call.id, server.id, max(1, call.give_up - now), within))

    def on_ended(self, now: int, event: events.AttemptEnded) -> None:
        """An attempt has ended: learn from it, then finish, retry or give up."""
        server = self.known.get(event.server)
        key = event.request_id, event.attempt
        attempt = server.out.get(key) if server else None
        if attempt is None or server is None or attempt.result is not None:
            if server is not None and event.request_finished and event.result == AttemptResult.RESET:
                self.health.note(server, True, now)  # an answer broke behind its beginning
            return
        attempt.result = event.result
        if event.result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED):
            # The server may well work on: it counts as busy with the call for about as long as one takes.
            self.alarm(now, self.mean, lambda t: self.free(server, key, t))
        else:
            self.free(server, key, now)
        if event.load_report and "queued" in event.load_report:
            server.queued, server.reported = max(0.0, event.load_report["queued"]), now
        self.learn(server, event, now)
        if (call := self.calls.get(event.request_id)) is not None:
            call.out -= 1
            if event.request_finished:
                self.forget(call)
            elif not call.out:
                call.failures += 1
                self.retry(call, now)
        self.review(now)
        self.dispatch(now)

    def on_elsewhere(self, now: int, event: events.InFlightInOtherProcess) -> None:
        """What another process of this node still has out is within the same limit."""
        self.admission.count(event.count - self.elsewhere, now)
        self.elsewhere = event.count
        self.dispatch(now)

    def on_doubted(self, now: int, event: events.PeerFailureReports) -> None:
        """What others find failing is put out by fewer failures of our own; by word alone nothing changes."""
        for name, doubt in event.suspicions.items():
            if server := self.servers.get(name):
                server.doubt, server.doubted_until = min(1.0, doubt), now + DOUBTED

    def on_turned_away(self, _: int, event: events.LoadSheddingLevel) -> None:
        """What is refused at once from now on, in all copies alike."""
        self.away = event

    def on_zones(self, now: int, event: events.ZoneWeights) -> None:
        """Zones have another part from now on; one that has none is closed, but for calls that look."""
        before, self.parts = self.parts, {zone: part for zone, part in event.weights.items() if part < 1}
        opened, self.closed = self.closed, {zone for zone, part in self.parts.items() if part <= 0}
        opened, replace = opened - self.closed, 0
        for zone in before.keys() | self.parts.keys():
            for s in list(self.members.by_zone.get(zone, {}).values()):
                self.members.weigh(s, s.size / self.part(zone, before) * self.part(zone, self.parts), now)
                if zone in self.closed:
                    if zone not in before or before[zone] > 0:
                        replace += s.side is self.subset
                    self.shut(s, now)
                elif zone in opened:
                    s.ejected_until, s.eject_for, s.score = 0, EJECT_FOR, SCORE_LOW
                    s.cap = 1.0  # it may be cold: a call at a time at first, and more as they are answered
                    self.members.judged(s, now)
        for _ in range(min(replace, len(self.spare))):
            self.draw(now)
        self.looks = [self.random.choice(list(found.values())) for zone in event.probe_zones
                      if zone in self.closed and (found := self.members.by_zone.get(zone))]  # fmt: skip
        self.dispatch(now)

    def on_cut(self, now: int, event: events.SubsetAssignment) -> None:
        """Use these servers by these parts; the rest is spare.  With none of them, those in use stay."""
        before, self.cut = self.cut, event.weights
        for name in dict.fromkeys([*before, *self.cut]):
            if s := self.servers.get(name):
                self.members.weigh(s, s.size / before.get(name, 1.0) * self.cut.get(name, 1.0), now)
                if name in self.cut and s.side is not self.subset:
                    self.members.move(s, self.subset, now)
        for s in self.subset.members(True) if self.cut else ():
            if s.id not in self.cut:
                self.members.move(s, self.spare, now)
        self.dispatch(now)

    @staticmethod
    def part(zone: str, parts: dict[str, float]) -> float:
        """What a server's size is multiplied by; never nothing, as draws are by size."""
        return max(PART_LEAST, parts.get(zone, 1.0))

    def shut(self, s: Server, now: int) -> None:
        """Keep a server of a closed zone out of all draws."""
        if s.ejected_until < now + SHUT // 2:  # once, however often it is said
            s.ejected_until = now + SHUT
            self.members.judged(s, now)

    def free(self, server: Server, key: tuple[int, int], now: int) -> None:
        """The server is done with a call."""
        del server.out[key]
        self.lose(server)
        self.admission.count(-1, now)
        self.dispatch(now)

    def learn(self, server: Server, event: events.AttemptEnded, now: int) -> None:
        """Take an outcome into health, latencies and the limit."""
        result, call = event.result, self.calls.get(event.request_id)
        seen = self.latency[call.klass.name] if call else None
        if result in (AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.CANCELLED):
            latest = min(event.latency / (seen.mean if seen else self.mean), 6.0)
            pace = self.slowness(server, now)
            if result == AttemptResult.OK or latest > pace:  # what was called off would have taken longer
                server.slowness, server.paced = pace + 0.25 * (latest - pace), now
        if result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            return
        failed = result != AttemptResult.OK
        self.failed_lately += 0.05 * (failed - self.failed_lately)
        # A server that turns calls away, or takes no more connections while it answers, is full, not sick: it
        # gets no more than it had, a little more with each answer.  If it had none it rests: it looks idle.
        crowded = result == AttemptResult.CONNECT_FAILED and server.out and now - server.answered < SECOND
        before = server.ejected_until
        if result == AttemptResult.REJECTED or crowded:
            server.cap = max(1.0, min(server.cap, float(len(server.out))))
            if not server.out:
                self.health.rest(server, now)
        else:
            for _ in range(
                1 + (result == AttemptResult.CONNECT_FAILED)
            ):  # none at all weighs double: it is down
                self.health.note(server, failed, now)
        if failed and result != AttemptResult.REJECTED and not crowded:
            server.failed_at, server.mute = now, result == AttemptResult.TIMEOUT or event.latency > self.mean
        if crowded or result in (
            AttemptResult.OK,
            AttemptResult.ERROR,
            AttemptResult.REJECTED,
        ):  # whatever it said, its zone is there
            self.blamed.pop(server.zone, None)
        else:
            self.blame(server, now)
        if server.zone in self.closed:
            self.shut(server, now)
        elif server.ejected_until != before:
            self.members.judged(server, now)
        if result == AttemptResult.OK:
            self.answers, server.answered = self.answers + 1, now
            server.cap += 0.5 / server.cap
        if call and seen:
            if result == AttemptResult.OK:
                seen.note(event.latency)
                self.mean = sum(x.mean for x in self.latency.values()) / len(self.latency)
            allowed = max(SLOWER * seen.least, ALLOWED * call.klass.latency_objective * self.time_share)
            self.admission.note(event.latency, seen.least, allowed, result, now)

    def blame(self, server: Server, now: int) -> None:
        """A server failed: where several of a zone do and none answers, those not met yet rest with them."""
        met = self.blamed.setdefault(server.zone, {})
        met[server.id] = now
        rate = min(max(self.health.rate, OK_RATE), 0.95)
        wanted = max(BLAMED, math.log(BY_CHANCE) / math.log(rate))  # where much fails anyway, more have to
        many = sum(at >= now - BLAME_FOR for at in met.values())
        if many < wanted or len(self.members.by_zone) < 2:
            return
        del self.blamed[server.zone]
        for s in list(self.members.by_zone.get(server.zone, {}).values()):
            if now >= s.ejected_until:
                self.health.rest(s, now)
                self.members.judged(s, now)

    def retry(self, call: Call, now: int) -> None:
        """Another attempt after a growing random delay, if safety, time and the budget allow it."""
        cost = UNSEEN_COST if call.attempts[-1].result in NEVER_RAN else 1.0
        wait = (
            call.klass.latency_objective
            / BACKOFF_SHARE
            * 2 ** (call.failures - 1)
            * self.random.uniform(0.5, 1.5)
        )
        allowed = now + wait < call.give_up and self.safety.may_send(call, None, now)
        if allowed and self.budget.take(now, call.tenant, cost):
            self.alarm(now, wait, lambda t: self.again(call, t))
        else:
            self.end(call, now)

    def again(self, call: Call, now: int) -> None:
        """The delay is over."""
        if call.id in self.calls and not call.out and not call.held:
            self.place(call, now)

    def place(self, call: Call, now: int) -> bool:
        """Send a call; if no server may have it now, it waits in front."""
        if self.send(call, now):
            return True
        if self.safety.may_send(call, None, now):
            self.wait(call, now)
        else:
            self.end(call, now)
        return False

    def wait(self, call: Call, now: int, front: bool = True) -> None:
        """Let a call wait; it is turned away once it is too late, while its client can still try again."""
        self.admission.hold(call, front)
        if surplus := self.admission.surplus():
            self.end(surplus, now)  # at once: its client can come again while that is of use
        self.alarm(now, self.last_chance(call) - now, lambda t: self.shed(call, t))

    def shed(self, call: Call, now: int) -> None:
        """Turn a waiting call away once it is too late."""
        if call.held and now >= self.last_chance(call):
            self.end(call, now)

    def dispatch(self, now: int) -> None:
        """Send waiting calls while there is room."""
        while call := self.admission.next(now):
            if now >= self.last_chance(call):
                self.end(call, now)
            elif not self.place(call, now):
                return
        if self.admission.waiting and not self.resuming and not self.admission.out:
            overdrawn, limit = max(0.0, -self.admission.credit), self.admission.limit
            self.resuming = True
            self.alarm(now, SECOND * (overdrawn / limit if limit > 0 else 1), self.resume)

    def resume(self, now: int) -> None:
        """The limit lets a call out again though no answer came."""
        self.resuming = False
        self.dispatch(now)

    def last_chance(self, call: Call) -> int:
        """When a waiting call must be sent to be answered before its aim; before its end if work was done."""
        seen = self.latency[call.klass.name]
        if self.settings.tier or call.attempts:
            return call.give_up - int(seen.mean)
        return call.aim_by - int(seen.mean + seen.dev)

    def end(self, call: Call, now: int, away: bool = False) -> None:
        """The final answer, if still owed: refused where that is a promise we can keep, else failed."""
        if call.id not in self.calls:
            return
        refused = self.safety.may_refuse(call)
        self.actions.append(
            actions.RejectRequest(call.id, self.advice(call, away))
            if refused
            else actions.FailRequest(call.id)
        )
        self.forget(call)

    def advice(self, call: Call, away: bool) -> int:
        """When a client may come back: once a call or so has ended; spread, so that not all come at once.

        Where its class is turned away, as late as may be.
        """
        if not (most := self.settings.max_retry_after) or self.settings.tier:
            return 0
        soon = most if away else min(most, self.latency[call.klass.name].mean / max(1, self.admission.out))
        return min(most, max(1000, int(soon * (0.5 + call.id * GOLDEN % 1))))

    def forget(self, call: Call, streams: int = -1) -> None:
        """The request is over: what is out for it, but the attempt that streams, is work for nobody."""
        if self.settings.cancellation_allowed:
            for number, attempt in enumerate(call.attempts):
                if attempt.result is None and number != streams:
                    self.actions.append(actions.CancelAttempt(call.id, number))
        del self.calls[call.id]
        self.admission.release(call)

    def on_gone(self, now: int, event: events.ClientDisconnected | events.ResponseStarted) -> None:
        """The client has left, or has the answer's beginning: nothing more is owed."""
        if call := self.calls.get(event.request_id):
            self.forget(call, event.attempt if isinstance(event, events.ResponseStarted) else -1)
            self.dispatch(now)
