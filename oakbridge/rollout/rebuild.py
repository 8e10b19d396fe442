"""A journal that was lost, made again from what the agents remember.  Pure.

Agents keep the ends of their last steps under the steps' ids, which name the rollout, and the generation that each
instance runs.  What is not there any more (waves, who began it, why) is said to be unknown rather than guessed;
instances that a rollout never reached left no trace, so a rollout that is rebuilt may have been larger.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from oakbridge.rollout.machine import InstanceOutcome, InstanceStatus, Phase, RolloutRecord
from oakbridge.rollout.plan import Target
from oakbridge.rollout.step_report import OUTCOMES

_STEP = re.compile(r"r(\d+)-(back-)?(.+)")


@dataclass(frozen=True, slots=True)
class RebuiltRollout:
    """One rollout as the agents remember it, and an instance that has its files (None: none has)."""

    id: int
    record: RolloutRecord
    held_by: Target | None


def rebuild(
    agents: Mapping[str, Sequence[Mapping[str, Any]]], silent: Sequence[str] = ()
) -> list[RebuiltRollout]:
    """All rollouts that any agent remembers, oldest first; ``agents``: the instances' rows by agent."""
    rows: dict[int, dict[str, InstanceStatus]] = {}
    targets: dict[int, dict[str, Target]] = {}
    holders: dict[int, Target] = {}
    for agent, instances in sorted(agents.items()):
        for told in instances:
            _read(agent, told, rows, targets)
            here = Target(agent, told["name"], "", told["generation"])
            holders.setdefault(told["generation"], here)
            holders.setdefault(told["previous"], here)
    found = []
    for number in sorted(rows):
        reason = "rebuilt from the agents"
        if silent:
            reason += f"; {len(silent)} of them did not answer"
        fates = {row.outcome for row in rows[number].values()}
        done = fates == {InstanceOutcome.APPLIED} and not silent
        stage = (
            Phase.DONE
            if done
            else Phase.ROLLED_BACK
            if InstanceOutcome.APPLIED not in fates
            else Phase.HALTED
        )
        wave = tuple(targets[number][name] for name in sorted(targets[number]))
        named = tuple((name, rows[number][name]) for name in sorted(rows[number]))
        record = RolloutRecord((wave,), len(wave), False, stage, 0, named, reason)
        found.append(RebuiltRollout(number, record, holders.get(number)))
    return found


def _read(
    agent: str,
    told: Mapping[str, Any],
    rows: dict[int, dict[str, InstanceStatus]],
    targets: dict[int, dict[str, Target]],
) -> None:
    """One instance's steps, oldest first: a later word on the same rollout goes before an earlier one."""
    for step, verdict, reason in told["outcomes"]:
        if (found := _STEP.fullmatch(step)) is None:
            continue
        number, back, name = int(found[1]), bool(found[2]), f"{agent}/{told['name']}"
        fate = OUTCOMES[verdict]
        if back:
            if fate is not InstanceOutcome.APPLIED:
                continue
            fate, reason = InstanceOutcome.ROLLED_BACK, "taken back"
        base = told["previous"] if told["generation"] == number else 0
        targets.setdefault(number, {})[name] = Target(agent, told["name"], "", base)
        rows.setdefault(number, {})[name] = InstanceStatus(fate, reason)
    if (step := told["step"]) is not None and (found := _STEP.fullmatch(step["id"])) and not found[2]:
        name = f"{agent}/{told['name']}"
        targets.setdefault(int(found[1]), {})[name] = Target(agent, told["name"], "", told["generation"])
        rows.setdefault(int(found[1]), {})[name] = InstanceStatus(
            InstanceOutcome.UNKNOWN, "its step is under way"
        )
