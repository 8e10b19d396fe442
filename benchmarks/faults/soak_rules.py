"""The rules of the fault soak: what clients and servers saw, checked against each other."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

from soak_clients import ANSWER_SLACK_S, Outcome, SentRequest
from soak_server import body_of

AFTER_LEAVE_S = 0.1  # an attempt that begins later is for a request that is over
DEADLINE_SLACK_S = 0.15
DRAIN_S = 0.25 + 0.05
HELD_UP_S = 0.15  # a process may be held up so long between a clock's reading and a write
DEDUPLICATION_S = 5.0
LONG_BODY_BYTES = 64 * 1024  # from here on an answer may be passed on as it comes
NOTICE_S = 0.1  # until a server that is busy notices that a node has closed its connection
CLOCK_S = 0.02  # of timestamps of the kernel, which are whole jiffies


@dataclass(slots=True)
class ServedAttempt:
    """One attempt, as a server knows it."""

    server: str
    class_name: str
    began_at: float
    whole_at: float
    timeout_s: float
    ended_at: float | None = None
    how: str = ""


@dataclass(frozen=True, slots=True)
class Told:
    """That a node was told not to use a server, from one time to another."""

    node: int
    server: str
    since: float
    until: float
    published_at: float = 0.0  # when discovery had it


@dataclass(slots=True)
class Findings:
    """All violations, by rule."""

    by_rule: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    # Long answers that a node had begun to pass on and that broke off, by node.
    cut_long: Counter[int] = field(default_factory=Counter)

    def add(self, rule: str, text: str) -> None:
        """Add a violation."""
        self.by_rule[rule].append(text)

    def __str__(self) -> str:
        """Return a line for each rule, with its first violations."""
        return "\n".join(f"{r}: {len(v)}: {'; '.join(v[:4])}" for r, v in self.by_rule.items())


def read_attempts(
    logs: Iterable[Path], kills: Mapping[str, list[float]]
) -> dict[str, list[ServedAttempt]]:
    """Return the attempts of all servers, by request, in the order in which they came whole.

    ``kills``: when each server's process was killed: it logs no end of what it had.
    """
    found: dict[str, list[ServedAttempt]] = defaultdict(list)
    for path in logs:
        open_attempts: dict[str, ServedAttempt] = {}
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            if entry["event"] == "request":
                attempt = ServedAttempt(
                    path.stem,
                    entry["cls"],
                    entry["began"],
                    entry["whole"],
                    entry["timeout_us"] / 1e6,
                )
                found[entry["id"]].append(attempt)
                open_attempts[entry["id"]] = attempt
            elif entry["id"] in open_attempts:
                open_attempts[entry["id"]].ended_at = entry["at"]
                open_attempts[entry["id"]].how = entry["how"]
        for attempt in open_attempts.values():
            after = [at for at in kills.get(path.stem, ()) if at > attempt.whole_at]
            if attempt.ended_at is None and after:
                attempt.ended_at, attempt.how = min(after), "killed"
    for attempts in found.values():
        attempts.sort(key=lambda attempt: attempt.whole_at)
    return found


def check(
    requests: list[SentRequest], attempts: dict[str, list[ServedAttempt]], told: list[Told]
) -> Findings:
    """Return all violations of the rules."""
    findings = Findings()
    drains: dict[tuple[int, str], list[Told]] = defaultdict(list)
    for one in told:
        drains[one.node, one.server].append(one)
    for request in requests:
        made = attempts.get(request.request_id, [])
        _check_answer(request, made, findings)
        _check_attempts(request, made, findings)
        for attempt in made:
            for drain in drains[request.node, attempt.server]:
                if drain.since + DRAIN_S + HELD_UP_S < attempt.began_at < drain.until:
                    late_s = attempt.began_at - drain.since
                    had_s = attempt.began_at - drain.published_at
                    text = (
                        f"{request.request_id} to {attempt.server} at {attempt.began_at:.3f}"
                        f" {late_s:.3f} s after the news, which discovery had for {had_s:.3f} s"
                    )
                    findings.add("drain", text)
    return findings


def _check_answer(request: SentRequest, made: list[ServedAttempt], findings: Findings) -> None:
    name, outcome = request.request_id, request.outcome
    if outcome is Outcome.ANSWERED:
        late_s = request.ended_at - request.sent_at - request.timeout_s
        if late_s > ANSWER_SLACK_S:
            findings.add("lost", f"{name} answered {late_s:.3f} s late")
        if request.status == 200 and not _is_its_own(request):
            findings.add("lost", f"{name} got a wrong answer: {request.body[:40]!r}")
        if request.status not in (200, 502, 503):
            findings.add("lost", f"{name} got status {request.status}")
    elif outcome is Outcome.NEVER_WHOLE:
        if made:
            findings.add("lost", f"{name} was forwarded, and never was whole")
    elif outcome is Outcome.CUT_SHORT and request.body_length >= LONG_BODY_BYTES:
        findings.cut_long[request.node] += 1
    elif outcome in (Outcome.CUT_SHORT, Outcome.SILENT):
        findings.add("lost", f"{name}: {outcome.value}, on node {request.node}")
    elif outcome is Outcome.CLOSED:
        if made:
            findings.add("lost", f"{name} was forwarded, and its connection closed unanswered")
        elif request.on_new_connection and not request.in_crowd:
            findings.add("lost", f"{name} was closed unanswered on a new connection")


def _is_its_own(request: SentRequest) -> bool:
    parts = request.body.split(b":")
    if len(parts) != 3 or not parts[1].isdigit():
        return False
    return request.body == body_of(request.request_id, int(parts[1]))


def _check_attempts(request: SentRequest, made: list[ServedAttempt], findings: Findings) -> None:
    name = request.request_id
    for attempt in made:
        if attempt.began_at > request.ended_at + AFTER_LEAVE_S + CLOCK_S:
            late_s = attempt.began_at - request.ended_at
            findings.add(
                "lost", f"{name} ({request.outcome.value}) sent {late_s:.3f} s after its end"
            )
        left_s = request.sent_at + request.timeout_s - attempt.whole_at
        if attempt.timeout_s > left_s + DEADLINE_SLACK_S:
            findings.add("deadline", f"{name} told {attempt.timeout_s:.3f} s of {left_s:.3f} s")
    for before, after in pairwise(made):
        if before.ended_at is None or before.ended_at > after.whole_at + NOTICE_S:
            findings.add("duplicate", f"{name}: two attempts at once")
    ran = [one for one in made if one.how not in ("not processed",)]
    if request.class_name == "book" and len(ran) > 1:
        findings.add("duplicate", f"{name} ran {len(ran)} times")
    window_s = ran[-1].whole_at - ran[0].whole_at if ran else 0.0
    if request.class_name == "close" and window_s > DEDUPLICATION_S:
        findings.add("duplicate", f"{name} was repeated after its window")
