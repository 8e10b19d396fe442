"""What became of the load when a site was lost and came back, beside what a policy that knows the truth does.  Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from oakbridge.lab.history import History
from oakbridge.lab.schedule import Step, StepKind

S = 1_000_000
SERVER_STEPS = (StepKind.SERVERS_DOWN, StepKind.SERVERS_UP, StepKind.SERVERS_SPEED)
SPANS = ("servers down", "cut", "servers slow")
REFUSED = (429, 503)
NEVER = 1e9
WINDOW = 5 * S  # in which load is set against what a server can do
BACK = 0.9  # of its usual part: a site carries it again
LEFT = 0.05  # of what a site had carried


@dataclass(frozen=True, slots=True)
class Loss:
    """One site's trouble, by the plan."""

    site: str
    kind: str
    at: int
    until: int


def losses(history: History) -> list[Loss]:
    """Whole sites that were lost, in order."""
    return [
        Loss(f.site, f.kind, f.at, min(history.duration_us, f.at + (f.lasts or history.duration_us)))
        for f in sorted(history.plan.faults, key=lambda f: f.at)
        if f.site is not None and f.kind in SPANS and f.share == 1.0
    ]


def _troubled(history: History) -> set[int]:
    """The seconds in which a site was lost."""
    return {s for loss in losses(history) for s in range(loss.at // S, -(-loss.until // S))}


def _second(history: History, at: int) -> int:
    return int((at - history.begin_us) // S)


class Truth:
    """What each server can do at each moment, and who reaches whom."""

    def __init__(self, history: History) -> None:
        self.history, self.plan = history, history.plan
        self.sizes = [
            self.plan.servers.sizes[h.number % len(self.plan.servers.sizes)] for h in history.fleet.servers
        ]
        self._steps: dict[str, list[Step]] = defaultdict(list)
        for step in history.schedule.steps:
            if step.kind in SERVER_STEPS:
                for name in step.names:
                    self._steps[name].append(step)

    def rate(self, number: int, at: int) -> float:
        """Requests a second that a server can do then."""
        servers, speed, up, cold = self.plan.servers, 1.0, True, -1
        for step in self._steps.get(self.history.fleet.servers[number].name, ()):
            if step.at_us > at:
                break
            if step.kind is StepKind.SERVERS_SPEED:
                speed = step.speed
            else:
                up = step.kind is StepKind.SERVERS_UP
                cold = step.at_us if up else -1
        if not up:
            return 0.0
        warmth = 1.0
        if cold >= 0 and servers.cold_for:
            warmth = servers.cold + (1 - servers.cold) * min(1.0, (at - cold) / servers.cold_for)
        return servers.workers / (servers.time / S) * self.sizes[number] * speed * warmth

    def parts(self, at: int) -> list[frozenset[str]]:
        """Sites that reach each other then, both ways."""
        sites = [s.name for s in self.plan.sites]
        cut = set()
        for loss in losses(self.history):
            if loss.kind == "cut" and loss.at <= at < loss.until:
                fault = next(f for f in self.plan.faults if f.at == loss.at and f.site == loss.site)
                for other in sites:
                    if other != loss.site and fault.other in (None, other):
                        cut |= {(loss.site, other), (other, loss.site)}
        parts: list[set[str]] = []
        for site in sites:
            joined = next((p for p in parts if all((site, s) not in cut for s in p)), None)
            if joined is None:
                parts.append({site})
            else:
                joined.add(site)
        return [frozenset(p) for p in parts]

    def best(self, second: int, offered: Counter[tuple[str, int]]) -> float:
        """The worth that can be served in a second, of what comes in by site and class: most worth first."""
        at, total = second * S + S // 2, 0.0
        worth = [c.worth for c in self.plan.classes]
        for part in self.parts(at):
            room = sum(self.rate(h.number, at) for h in self.history.fleet.servers if h.site in part)
            for k in sorted(range(len(worth)), key=lambda k: -worth[k]):
                taken = min(
                    room, sum(n for (site, klass), n in offered.items() if klass == k and site in part)
                )
                room -= taken
                total += taken * worth[k]
        return total


def kept(history: History) -> float | None:
    """Worth served in time while a site was lost, over what a policy that knows the truth at once serves."""
    seconds, truth, got = _troubled(history), Truth(history), 0.0
    names = [s.name for s in history.plan.sites]
    offered: dict[int, Counter[tuple[str, int]]] = defaultdict(Counter)
    for row in history.requests:
        second = _second(history, row["due"])
        if second not in seconds:
            continue
        if row["tries"] == 1:
            offered[second][names[row["site"]], row["class"]] += 1
        if row["status"] == 200 and row["took"] <= row["aim"]:
            got += history.plan.classes[row["class"]].worth
    best = sum(truth.best(second, came) for second, came in offered.items())
    return got / best if best else None


def moved(history: History) -> float | None:
    """Seconds until nearly all that a lost site had carried is served elsewhere or refused at once, the longest."""
    found = []
    for loss in losses(history):
        if loss.kind == "servers slow":
            continue
        before = _carried(history, loss.site, max(0, loss.at - 5 * S), loss.at)
        if before is None or not before:
            continue
        unsettled: Counter[int] = Counter()
        for row in history.requests:
            at = row["due"] - history.begin_us
            good = row["status"] == 200 and row["took"] <= row["aim"]
            if row["tries"] == 1 and loss.at <= at < loss.until and not good and row["status"] not in REFUSED:
                unsettled[(at - loss.at) // S] += 1
        late = [second for second, count in unsettled.items() if count > LEFT * before]
        found.append(float(max(late) + 1) if late else 0.0)
    return max(found, default=None)


def _carried(history: History, site: str, since: int, until: int) -> float | None:
    """Requests a second at a site's servers."""
    ours = {h.number for h in history.fleet.servers if h.site == site}
    if until <= since:
        return None
    count = sum(
        1 for e in history.executions if e["server"] in ours and since <= e["came"] - history.begin_us < until
    )
    return count * S / (until - since)


def carries(history: History) -> float | None:
    """Seconds from a site's return until it carries its usual part again, the longest of those followed by calm."""
    found = []
    spans = losses(history)
    for n, loss in enumerate(spans):
        end = spans[n + 1].at if n + 1 < len(spans) else history.duration_us
        if loss.kind != "servers down" or end - loss.until < 10 * S:
            continue
        before = _carried(history, loss.site, max(0, spans[0].at - 5 * S), spans[0].at)
        if not before:
            continue
        for start in range(loss.until, end - 2 * S, S // 2):
            if (_carried(history, loss.site, start, start + 2 * S) or 0.0) >= BACK * before:
                found.append((start - loss.until) / S)
                break
        else:
            found.append(NEVER)
    return max(found, default=None)


def overload(history: History) -> float | None:
    """Requests at the busiest server over what it could do, in windows of 5 s."""
    if not history.executions:
        return None
    truth = Truth(history)
    counts: Counter[tuple[int, int]] = Counter()
    for row in history.executions:
        at = row["came"] - history.begin_us
        if 0 <= at < history.duration_us // WINDOW * WINDOW:
            counts[row["server"], at // WINDOW] += 1
    worst = 0.0
    for (server, window), count in counts.items():
        able = [truth.rate(server, window * WINDOW + step) for step in range(0, WINDOW, S // 2)]
        if all(able):  # in a window in which it was down a part is lost either way
            worst = max(worst, count / (sum(able) / len(able) * WINDOW / S))
    return worst


def out_of_order(history: History) -> float | None:
    """The part of the refusals that came while requests worth less were served, second by second."""
    seconds = _troubled(history)
    worth = [c.worth for c in history.plan.classes]
    refused, served = defaultdict[int, Counter[float]](Counter), defaultdict[int, Counter[float]](Counter)
    for row in history.requests:
        second = _second(history, row["due"])
        if second in seconds:
            if row["status"] in REFUSED:
                refused[second][worth[row["class"]]] += 1
            elif row["status"] == 200:
                served[second][worth[row["class"]]] += 1
    total = sum(sum(c.values()) for c in refused.values())
    wrong = 0
    for second, counts in refused.items():
        for limit in counts:
            above = sum(n for w, n in counts.items() if w >= limit)
            below = sum(n for w, n in served[second].items() if w < limit)
            wrong += min(above, below) if limit == max(counts) else 0
    return wrong / total if total else None


def storm(history: History) -> float | None:
    """Executions for each request that was due, in the second where these are most."""
    due = Counter(_second(history, r["due"]) for r in history.requests)
    came = Counter(_second(history, e["came"]) for e in history.executions)
    rates = [came[s] / n for s, n in due.items() if 0 <= s < history.duration_us // S and n >= 20]
    return max(rates, default=None)


def site_changes(history: History) -> float | None:
    """Changes of one site's state in one node's view, the most, for each begin and end of a loss."""
    counts = Counter(
        (c.observer, c.site) for c in history.site_changes if 0 <= c.at_us <= history.duration_us
    )
    ends = sum(1 + (loss.until < history.duration_us) for loss in losses(history))
    return max(counts.values()) / ends if counts and ends else None


FIGURES: dict[str, Callable[[History], float | None]] = {
    "kept": kept,
    "moved": moved,
    "carries": carries,
    "overload": overload,
    "out of order": out_of_order,
    "storm": storm,
    "site changes": site_changes,
}


def seconds_of(history: History, sites: Iterable[str]) -> dict[str, list[float]]:
    """Requests a second at each site's servers, for charts."""
    number = {h.number: h.site for h in history.fleet.servers}
    counts: dict[str, Counter[int]] = {site: Counter() for site in sites}
    for row in history.executions:
        counts[number[row["server"]]][_second(history, row["came"])] += 1
    return {
        site: [float(c[s]) for s in range(max(1, history.duration_us // S))] for site, c in counts.items()
    }
