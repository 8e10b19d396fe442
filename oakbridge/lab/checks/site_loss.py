"""The load and the service during the loss of a site and after its return."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from itertools import pairwise

from oakbridge.lab.checks.check import NEVER_S
from oakbridge.lab.checks.ground_truth import GroundTruth, SiteLoss, site_losses
from oakbridge.lab.checks.service import STATUS_OK, is_served_in_time
from oakbridge.lab.history import History
from oakbridge.lab.schedule import Span

SECOND_US = 1_000_000
REJECTED_STATUSES = (429, 503)
BEFORE_US = 5 * SECOND_US  # time before a loss in which a site's usual load is measured
MAX_UNSETTLED = 0.05  # fraction of a site's usual load
RECOVERED_LOAD = 0.9  # fraction of its usual load from which a site counts as recovered
LOAD_WINDOW_US = 2 * SECOND_US
LOAD_STEP_US = SECOND_US // 2
CALM_US = 10 * SECOND_US  # minimum time from a return to the next loss or the run's end
OVERLOAD_WINDOW_US = 5 * SECOND_US
MIN_REQUESTS_PER_S = 20  # in a second that is evaluated for retry amplification


def _second(history: History, at_us: int) -> int:
    return int((at_us - history.begin_us) // SECOND_US)


def _seconds_of_loss(history: History) -> set[int]:
    return {
        second
        for loss in site_losses(history)
        for second in range(loss.span.begin_us // SECOND_US, -(-loss.span.end_us // SECOND_US))
    }


def kept_weight_fraction(history: History) -> float | None:
    """Return the weight served in time while a site was lost, over the possible maximum.

    The maximum is that of a policy that knows the capacities and the reachability in each second.
    """
    seconds, truth, served = _seconds_of_loss(history), GroundTruth(history), 0.0
    names = [site.name for site in history.plan.sites]
    offered: dict[int, Counter[tuple[str, int]]] = defaultdict(Counter)
    for row in history.requests:
        second = _second(history, row["due"])
        if second not in seconds:
            continue
        if row["tries"] == 1:
            offered[second][names[row["site"]], row["class"]] += 1
        if is_served_in_time(row):
            served += history.plan.classes[row["class"]].worth
    maximum = sum(truth.max_served_weight(second, requests) for second, requests in offered.items())
    return served / maximum if maximum else None


def longest_until_moved(history: History) -> float | None:
    """Return the most seconds until a lost site's load was served elsewhere or rejected.

    The load has moved after the last second in which more than 5% of the site's usual load is
    neither served in time nor rejected.
    """
    found = []
    for loss in site_losses(history):
        if loss.kind == "servers slow":
            continue
        before = _load_before(history, loss.site, loss.span.begin_us)
        if not before:
            continue
        unsettled = _unsettled_by_second(history, loss)
        late = [second for second, count in unsettled.items() if count > MAX_UNSETTLED * before]
        found.append(float(max(late) + 1) if late else 0.0)
    return max(found, default=None)


def _unsettled_by_second(history: History, loss: SiteLoss) -> Counter[int]:
    """Count the first tries that are neither served in time nor rejected, by second of the loss."""
    unsettled: Counter[int] = Counter()
    for row in history.requests:
        at_us = row["due"] - history.begin_us
        is_in_loss = loss.span.begin_us <= at_us < loss.span.end_us
        is_settled = is_served_in_time(row) or row["status"] in REJECTED_STATUSES
        if row["tries"] == 1 and is_in_loss and not is_settled:
            unsettled[(at_us - loss.span.begin_us) // SECOND_US] += 1
    return unsettled


def _load_before(history: History, site: str, at_us: int) -> float:
    return _site_load(history, site, Span(max(0, at_us - BEFORE_US), at_us))


def _site_load(history: History, site: str, span: Span) -> float:
    """Return the requests per second at a site's servers; 0 for an empty span."""
    if span.end_us <= span.begin_us:
        return 0.0
    numbers = {server.number for server in history.fleet.servers if server.site == site}
    count = sum(
        1
        for row in history.executions
        if row["server"] in numbers
        and span.begin_us <= row["came"] - history.begin_us < span.end_us
    )
    return count * SECOND_US / (span.end_us - span.begin_us)


def longest_recovery_time(history: History) -> float | None:
    """Return the longest time, in seconds, from a site's return until it has 0.9 of its usual load.

    The load is measured in windows of 2 s.  The usual load is that before the first loss.  Returns
    less than 10 s before the next loss or the run's end are left out.
    """
    losses = site_losses(history)
    if not losses:
        return None
    first_loss_us = losses[0].span.begin_us
    ends_us = [later.span.begin_us for _, later in pairwise(losses)] + [history.duration_us]
    found = []
    for loss, end_us in zip(losses, ends_us, strict=True):
        if loss.kind != "servers down" or end_us - loss.span.end_us < CALM_US:
            continue
        usual = _load_before(history, loss.site, first_loss_us)
        if usual:
            calm = Span(loss.span.end_us, end_us)
            found.append(_recovery_time(history, loss.site, calm, RECOVERED_LOAD * usual))
    return max(found, default=None)


def _recovery_time(history: History, site: str, calm: Span, wanted: float) -> float:
    for begin_us in range(calm.begin_us, calm.end_us - LOAD_WINDOW_US, LOAD_STEP_US):
        if _site_load(history, site, Span(begin_us, begin_us + LOAD_WINDOW_US)) >= wanted:
            return (begin_us - calm.begin_us) / SECOND_US
    return NEVER_S


def max_overload(history: History) -> float | None:
    """Return the highest ratio of requests at a server to its capacity, in windows of 5 s.

    Windows in which the server was down for a time are left out, as requests fail then anyway.
    """
    if not history.executions:
        return None
    truth = GroundTruth(history)
    end_us = history.duration_us // OVERLOAD_WINDOW_US * OVERLOAD_WINDOW_US
    counts: Counter[tuple[int, int]] = Counter()
    for row in history.executions:
        at_us = row["came"] - history.begin_us
        if 0 <= at_us < end_us:
            counts[row["server"], at_us // OVERLOAD_WINDOW_US] += 1
    worst = 0.0
    for (server, window), count in counts.items():
        begin_us = window * OVERLOAD_WINDOW_US
        samples_us = range(begin_us, begin_us + OVERLOAD_WINDOW_US, SECOND_US // 2)
        rates = [truth.capacity_per_s(server, at_us) for at_us in samples_us]
        if all(rates):
            mean_per_s = sum(rates) / len(rates)
            worst = max(worst, count / (mean_per_s * OVERLOAD_WINDOW_US / SECOND_US))
    return worst


def priority_inversions(history: History) -> float | None:
    """Return the fraction of rejections while requests of less weight were served, by second.

    Each second of a loss counts min(rejections of the heaviest rejected class, served requests of
    less weight); the sum is divided by all rejections.
    """
    seconds = _seconds_of_loss(history)
    weights = [table.worth for table in history.plan.classes]
    rejected: dict[int, Counter[float]] = defaultdict(Counter)
    served: dict[int, Counter[float]] = defaultdict(Counter)
    for row in history.requests:
        second = _second(history, row["due"])
        if second not in seconds:
            continue
        if row["status"] in REJECTED_STATUSES:
            rejected[second][weights[row["class"]]] += 1
        elif row["status"] == STATUS_OK:
            served[second][weights[row["class"]]] += 1
    total = sum(counts.total() for counts in rejected.values())
    inverted = 0
    for second, counts in rejected.items():
        heaviest = max(counts)
        lighter = sum(count for weight, count in served[second].items() if weight < heaviest)
        inverted += min(counts[heaviest], lighter)
    return inverted / total if total else None


def max_retry_amplification(history: History) -> float | None:
    """Return the highest ratio of executions to due requests, of seconds with 20 or more due."""
    due = Counter(_second(history, row["due"]) for row in history.requests)
    came = Counter(_second(history, row["came"]) for row in history.executions)
    ratios = [
        came[second] / count
        for second, count in due.items()
        if 0 <= second < history.duration_us // SECOND_US and count >= MIN_REQUESTS_PER_S
    ]
    return max(ratios, default=None)


def max_site_changes(history: History) -> float | None:
    """Return the most changes of a site's state in one view, per start or end of a loss."""
    counts = Counter(
        (change.observer, change.site)
        for change in history.site_changes
        if 0 <= change.at_us <= history.duration_us
    )
    edges = sum(2 if loss.span.end_us < history.duration_us else 1 for loss in site_losses(history))
    return max(counts.values()) / edges if counts and edges else None


FIGURES: dict[str, Callable[[History], float | None]] = {
    "kept": kept_weight_fraction,
    "moved": longest_until_moved,
    "carries": longest_recovery_time,
    "overload": max_overload,
    "out of order": priority_inversions,
    "storm": max_retry_amplification,
    "site changes": max_site_changes,
}


def site_load_by_second(history: History, sites: Iterable[str]) -> dict[str, list[float]]:
    """Return the requests per second at each site's servers, by second, for charts."""
    site_of = {server.number: server.site for server in history.fleet.servers}
    counts: dict[str, Counter[int]] = {site: Counter() for site in sites}
    for row in history.executions:
        counts[site_of[row["server"]]][_second(history, row["came"])] += 1
    seconds = range(max(1, history.duration_us // SECOND_US))
    return {site: [float(count[second]) for second in seconds] for site, count in counts.items()}
