"""The rules of the fault soak, checked on the requests of clients and the attempts at servers."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

from soak_clients import RESPONSE_SLACK_S, Outcome, SentRequest
from soak_server import body_of

# An attempt that begins later than this after its request has finished is a violation.
AFTER_FINISH_SLACK_S = 0.1
DEADLINE_SLACK_S = 0.15
DRAIN_SLACK_S = 0.25 + 0.05  # the setting stop-sending-within, and 50 ms more
PROCESS_PAUSE_S = 0.15  # a process may be paused between reading the clock and a write
DEDUPLICATION_WINDOW_S = 5.0
LONG_BODY_BYTES = 64 * 1024  # a node may forward a response from this size on while it arrives
CLOSE_NOTICE_S = 0.1  # until a busy server notices that a node has closed its connection
CLOCK_RESOLUTION_S = 0.02  # of kernel timestamps, which count jiffies


@dataclass(slots=True)
class ServedAttempt:
    """One attempt, as a server logged it; times in seconds of CLOCK_MONOTONIC."""

    server: str
    class_name: str
    began_at: float  # when its first bytes arrived
    received_at: float  # when the request was complete
    timeout_s: float
    ended_at: float | None = None
    result: str = ""


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """The period in which a node counts as notified not to use a server."""

    node: int
    server: str
    since: float
    until: float
    published_at: float = 0.0  # when discovery published the drain


@dataclass(slots=True)
class Findings:
    """All violations, by the name of the broken rule."""

    by_rule: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    # Long responses that were cut off while a node forwarded them, counted by node.
    truncated_long_responses: Counter[int] = field(default_factory=Counter)

    def add(self, rule: str, text: str) -> None:
        """Add a violation."""
        self.by_rule[rule].append(text)

    def __str__(self) -> str:
        """Return one line per broken rule, with its first violations."""
        return "\n".join(
            f"{rule}: {len(texts)}: {'; '.join(texts[:4])}" for rule, texts in self.by_rule.items()
        )


def read_attempts(
    logs: Iterable[Path], kills: Mapping[str, list[float]]
) -> dict[str, list[ServedAttempt]]:
    """Return the attempts at all servers by request id, ordered by the time of complete receipt.

    ``kills``: the times at which each server's process was killed; a killed process logs no end of
    the attempt it was serving.
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
                open_attempts[entry["id"]].result = entry["how"]
        for attempt in open_attempts.values():
            kills_after = [at for at in kills.get(path.stem, ()) if at > attempt.received_at]
            if attempt.ended_at is None and kills_after:
                attempt.ended_at, attempt.result = min(kills_after), "killed"
    for attempts in found.values():
        attempts.sort(key=lambda attempt: attempt.received_at)
    return found


def check(
    requests: list[SentRequest],
    attempts: dict[str, list[ServedAttempt]],
    notices: list[DrainNotice],
) -> Findings:
    """Return all violations of the rules by these requests and their attempts."""
    findings = Findings()
    notices_by_target: dict[tuple[int, str], list[DrainNotice]] = defaultdict(list)
    for notice in notices:
        notices_by_target[notice.node, notice.server].append(notice)
    for request in requests:
        own_attempts = attempts.get(request.request_id, [])
        _check_response(request, own_attempts, findings)
        _check_attempts(request, own_attempts, findings)
        for attempt in own_attempts:
            for drain_notice in notices_by_target[request.node, attempt.server]:
                if (
                    drain_notice.since + DRAIN_SLACK_S + PROCESS_PAUSE_S
                    < attempt.began_at
                    < drain_notice.until
                ):
                    late_s = attempt.began_at - drain_notice.since
                    published_for_s = attempt.began_at - drain_notice.published_at
                    text = (
                        f"{request.request_id} to {attempt.server} at {attempt.began_at:.3f}"
                        f" {late_s:.3f} s after the notice and"
                        f" {published_for_s:.3f} s after discovery published the drain"
                    )
                    findings.add("drain", text)
    return findings


def _check_response(
    request: SentRequest, own_attempts: list[ServedAttempt], findings: Findings
) -> None:
    request_id, outcome = request.request_id, request.outcome
    if outcome is Outcome.ANSWERED:
        late_s = request.finished_at - request.sent_at - request.timeout_s
        if late_s > RESPONSE_SLACK_S:
            findings.add("lost", f"{request_id} was answered {late_s:.3f} s late")
        if request.status == 200 and not _has_own_body(request):
            findings.add("lost", f"{request_id} got a wrong response: {request.body[:40]!r}")
        if request.status not in (200, 502, 503):
            findings.add("lost", f"{request_id} got status {request.status}")
    elif outcome is Outcome.INCOMPLETE:
        if own_attempts:
            findings.add(
                "lost", f"{request_id} was forwarded, though its client never sent all of it"
            )
    elif outcome is Outcome.CUT_SHORT and request.body_length >= LONG_BODY_BYTES:
        findings.truncated_long_responses[request.node] += 1
    elif outcome in (Outcome.CUT_SHORT, Outcome.NO_RESPONSE):
        findings.add("lost", f"{request_id}: {outcome.value}, on node {request.node}")
    elif outcome is Outcome.CLOSED:
        if own_attempts:
            findings.add(
                "lost",
                f"{request_id} was forwarded, and its connection was closed without a response",
            )
        elif request.on_new_connection and not request.in_crowd:
            findings.add("lost", f"{request_id} got no response: its new connection was closed")


def _has_own_body(request: SentRequest) -> bool:
    parts = request.body.split(b":")
    if len(parts) != 3 or not parts[1].isdigit():
        return False
    return request.body == body_of(request.request_id, int(parts[1]))


def _check_attempts(
    request: SentRequest, own_attempts: list[ServedAttempt], findings: Findings
) -> None:
    request_id = request.request_id
    for attempt in own_attempts:
        if attempt.began_at > request.finished_at + AFTER_FINISH_SLACK_S + CLOCK_RESOLUTION_S:
            late_s = attempt.began_at - request.finished_at
            findings.add(
                "lost",
                f"{request_id} ({request.outcome.value}) sent {late_s:.3f} s after it had finished",
            )
        left_s = request.sent_at + request.timeout_s - attempt.received_at
        if attempt.timeout_s > left_s + DEADLINE_SLACK_S:
            findings.add(
                "deadline",
                f"{request_id} was forwarded with {attempt.timeout_s:.3f} s of {left_s:.3f} s left",
            )
    for before, after in pairwise(own_attempts):
        if before.ended_at is None or before.ended_at > after.received_at + CLOSE_NOTICE_S:
            findings.add("duplicate", f"{request_id}: two attempts at the same time")
    ran = [candidate for candidate in own_attempts if candidate.result not in ("not processed",)]
    if request.class_name == "book" and len(ran) > 1:
        findings.add("duplicate", f"{request_id} ran {len(ran)} times")
    window_s = ran[-1].received_at - ran[0].received_at if ran else 0.0
    if request.class_name == "close" and window_s > DEDUPLICATION_WINDOW_S:
        findings.add("duplicate", f"{request_id} was retried after its deduplication window")
