"""How evenly servers are loaded, compared with chance: Poisson arrivals at the same rates.

The input is each request's visit to a server; times count from the schedule's start.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from scipy.special import pdtr

from oakbridge.lab.schedule import Span

SECOND_US = 1_000_000
WINDOW_US = 10 * SECOND_US
HERD_WINDOW_US = 2 * SECOND_US  # length of the window after an event
SIMILARITY_WINDOW_US = SECOND_US  # length of the window after an event
EULER_GAMMA = 0.58
BISECTION_STEPS = 24
RATIO_STEP = 0.02
MIN_PROBABILITY = 1e-300

Visit = tuple[int, int, int]  # server, arrival, end; a plain tuple, as a run has millions


@dataclass(frozen=True, slots=True)
class WindowLoad:
    """Arrivals in one window at each available server, and its fair share of all arrivals."""

    arrivals: Mapping[int, int]
    fair_shares: Mapping[int, float]

    @property
    def has_arrivals(self) -> bool:
        """Whether there were any arrivals."""
        return sum(self.fair_shares.values()) > 0

    def ratios(self) -> Iterator[float]:
        """Yield each server's load over its fair share."""
        return (self.arrivals[server] / self.fair_shares[server] for server in self.arrivals)


@dataclass(slots=True)
class Visits:
    """All visits to the servers of a fleet."""

    rows: list[Visit]
    fair_parts: list[float]  # by server, fair fraction of all requests; the sum is 1
    workers: int  # requests that a server processes at once
    duration_us: int
    unavailable: dict[int, list[Span]] = field(default_factory=dict)  # by server

    def is_available(self, server: int, begin_us: int, end_us: int) -> bool:
        """Return whether a server was available for all of this time."""
        spans = self.unavailable.get(server, ())
        return all(end_us <= span.begin_us or begin_us >= span.end_us for span in spans)

    def window_load(self, begin_us: int, end_us: int) -> WindowLoad:
        """Return the load of the servers that were available for the whole window."""
        servers = [
            server
            for server, part in enumerate(self.fair_parts)
            if part > 0 and self.is_available(server, begin_us, end_us)
        ]
        arrivals = Counter(server for server, at_us, _ in self.rows if begin_us <= at_us < end_us)
        total = sum(arrivals[server] for server in servers)
        parts = sum(self.fair_parts[server] for server in servers)
        return WindowLoad(
            arrivals={server: arrivals[server] for server in servers},
            fair_shares={server: total * self.fair_parts[server] / parts for server in servers},
        )


def _windows(visits: Visits) -> list[WindowLoad]:
    """Return the loads of all full windows of 10 s that have arrivals."""
    length_us = min(WINDOW_US, visits.duration_us)
    by_window: dict[int, list[Visit]] = defaultdict(list)
    for row in visits.rows:
        by_window[row[1] // length_us].append(row)
    windows = []
    for number in range(max(1, visits.duration_us // length_us)):
        window_visits = Visits(
            by_window.get(number, []),
            visits.fair_parts,
            visits.workers,
            visits.duration_us,
            visits.unavailable,
        )
        windows.append(window_visits.window_load(number * length_us, (number + 1) * length_us))
    return [window for window in windows if window.has_arrivals]


def load_ratio_percentile(visits: Visits, fraction: float = 0.99) -> float | None:
    """Return a percentile, by rank, of load / fair share over all servers and windows of 10 s."""
    ratios = sorted(ratio for window in _windows(visits) for ratio in window.ratios())
    if not ratios:
        return None
    return ratios[min(len(ratios) - 1, math.ceil(fraction * len(ratios)) - 1)]


def load_variation(visits: Visits) -> float | None:
    """Return the coefficient of variation of load / fair share: standard deviation / mean."""
    ratios = [ratio for window in _windows(visits) for ratio in window.ratios()]
    if not ratios:
        return None
    mean = sum(ratios) / len(ratios)
    variance = sum((ratio - mean) ** 2 for ratio in ratios) / len(ratios)
    return math.sqrt(variance) / mean


def chance_ratio_percentile(visits: Visits, fraction: float = 0.99) -> float | None:
    """Return what :func:`load_ratio_percentile` would be for independent Poisson arrivals.

    It is the ratio r for which the mean of P(X <= r * m) over all fair shares m is this fraction;
    X is Poisson with mean m.
    """
    means = [mean for window in _windows(visits) for mean in window.fair_shares.values()]
    if not means:
        return None

    def is_too_low(ratio: float) -> bool:
        return bool(
            sum(pdtr(math.floor(ratio * mean), mean) for mean in means) < fraction * len(means)
        )

    low, high = 1.0, 2.0
    while is_too_low(high):
        high *= 2
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if is_too_low(middle):
            low = middle
        else:
            high = middle
    return high


def load_ratio_over_chance(visits: Visits) -> float | None:
    """Return the 99th percentile of load / fair share, over that of chance alone."""
    observed = load_ratio_percentile(visits)
    chance = chance_ratio_percentile(visits)
    return observed / chance if observed is not None and chance else None


def idle_while_waiting(visits: Visits) -> float | None:
    """Return the fraction of the servers' time idle while a request waited at another server.

    It is the integral of min(idle servers, waiting requests) over time, divided by
    duration * servers.
    """
    if not visits.rows:
        return None
    lost_us = _IdleSweep(visits).lost_us()
    servers = sum(part > 0 for part in visits.fair_parts)
    return lost_us / (visits.duration_us * servers)


class _IdleSweep:
    """A sweep over all arrivals, ends and changes of availability in chronological order."""

    def __init__(self, visits: Visits) -> None:
        self._visits = visits
        self._present = [0] * len(visits.fair_parts)  # requests at each server
        self._is_usable = [part > 0 for part in visits.fair_parts]
        self._idle = sum(self._is_usable)
        self._waiting = 0

    def lost_us(self) -> int:
        """Return the integral of min(idle servers, waiting requests)."""
        lost_us = last_us = 0
        for at_us, server, change in self._changes():
            at_us = min(max(0, at_us), self._visits.duration_us)
            lost_us += min(self._idle, self._waiting) * (at_us - last_us)
            last_us = at_us
            self._apply(at_us, server, change)
        return lost_us

    def _changes(self) -> list[tuple[int, int, int]]:
        """Return time, server and change of its number of requests; 0: its availability changes."""
        changes = []
        for server, arrived_us, ended_us in self._visits.rows:
            changes += [(arrived_us, server, 1), (ended_us, server, -1)]
        for server, spans in self._visits.unavailable.items():
            for span in spans:
                changes += [(span.begin_us, server, 0), (span.end_us, server, 0)]
        return sorted(changes)

    def _apply(self, at_us: int, server: int, change: int) -> None:
        was_idle, was_waiting = self._is_idle(server), self._waiting_at(server)
        self._present[server] += change
        if not change:
            is_available = self._visits.is_available(server, at_us, at_us + 1)
            self._is_usable[server] = self._visits.fair_parts[server] > 0 and is_available
        self._waiting += self._waiting_at(server) - was_waiting
        self._idle += self._is_idle(server) - was_idle

    def _is_idle(self, server: int) -> bool:
        return self._is_usable[server] and not self._present[server]

    def _waiting_at(self, server: int) -> int:
        return max(0, self._present[server] - self._visits.workers)


def idle_beyond_chance(visits: Visits) -> float | None:
    """Return the longest gap, in seconds, between arrivals at an available server, beyond chance.

    By chance it is (ln n + 0.58) / r on average, the longest of n exponential gaps of mean 1 / r.
    """
    arrivals: dict[int, list[int]] = defaultdict(list)
    for server, at_us, _ in sorted(visits.rows, key=lambda row: row[1]):
        if 0 <= at_us < visits.duration_us:
            arrivals[server].append(at_us)
    total = sum(len(times) for times in arrivals.values())
    if not total:
        return None
    worst_s = 0.0
    for server, part in enumerate(visits.fair_parts):
        if part <= 0:
            continue
        times = [0, *arrivals[server], visits.duration_us]
        rate_per_s = total * part * SECOND_US / visits.duration_us
        chance_s = (math.log(max(1.0, total)) + EULER_GAMMA) / rate_per_s
        worst_s = max(worst_s, _longest_gap_us(visits, server, times) / SECOND_US - chance_s)
    return worst_s


def _longest_gap_us(visits: Visits, server: int, times: Sequence[int]) -> int:
    """Return the longest gap between two times in which the server was available."""
    return max(
        (
            end_us - begin_us
            for begin_us, end_us in itertools.pairwise(times)
            if visits.is_available(server, begin_us, end_us)
        ),
        default=0,
    )


def herd_peak(visits: Visits, events_us: Iterable[int]) -> float | None:
    """Return the highest load / fair share in the 2 s after an event, over that of chance.

    Events with fewer than one request per server in that window are left out as meaningless.
    """
    peaks = []
    for at_us in events_us:
        window = visits.window_load(at_us, at_us + HERD_WINDOW_US)
        means = list(window.fair_shares.values())
        if sum(means) >= len(means):
            peaks.append(max(window.ratios()) / _busiest_by_chance(means))
    return max(peaks, default=None)


def _busiest_by_chance(means: Sequence[float]) -> float:
    """Return the median of the largest ratio of independent Poisson counts to their means."""

    def log_probability(ratio: float) -> float:
        return sum(
            math.log(max(MIN_PROBABILITY, pdtr(math.floor(ratio * mean), mean))) for mean in means
        )

    ratio = 1.0
    while log_probability(ratio) < math.log(0.5):
        ratio += RATIO_STEP
    return ratio


def choice_similarity(visits: Visits, events_us: Iterable[int]) -> float | None:
    """Return how similarly replicas choose in the second after an event; 1: independently.

    It is the largest index of dispersion after any event: sum((c - m)^2 / m) / (n - 1) for the
    counts c at n servers with fair shares m.
    """
    dispersions = []
    for at_us in events_us:
        window = visits.window_load(at_us, at_us + SIMILARITY_WINDOW_US)
        arrivals, shares = window.arrivals, window.fair_shares
        if len(shares) > 1 and sum(shares.values()) >= len(shares) / 2:
            chi_squared = sum(
                (arrivals[server] - shares[server]) ** 2 / shares[server] for server in arrivals
            )
            dispersions.append(chi_squared / (len(shares) - 1))
    return max(dispersions, default=None)
