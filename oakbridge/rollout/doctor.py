"""What is wrong with a fleet, and what to do about it.  Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from oakbridge.fleet.health import DRAINED, instance_health, is_healthy
from oakbridge.rollout.journal import Entry
from oakbridge.rollout.machine import Fate, Stage

CLOCK_OFF_S = 5.0
CERTIFICATE_DAYS = 30.0
BAD, NOTE = "bad", "note"
OPEN = frozenset({Stage.RUNNING, Stage.GATING, Stage.UNDOING})


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that somebody should look at."""

    weight: str  # bad: something does not serve, or nobody knows; note: it should be known
    where: str
    what: str
    do: str


def examine(
    agents: Mapping[str, Mapping[str, Any] | str], entries: Sequence[Entry], now: float,
    certificates: Mapping[str, float] | None = None, members: Sequence[Mapping[str, Any]] | None = None,
) -> list[Finding]:  # fmt: skip
    """All findings, the bad ones first.

    ``agents``: what each answered, or why there is no answer; ``entries``: the journal, newest first;
    ``certificates``: days that each certificate at hand is still good for; ``members``: whom a node knows.
    """
    found: list[Finding] = []
    for name, told in agents.items():
        found += _agent(name, told, now)
    rows = {
        f"{agent}/{row['name']}": row
        for agent, told in agents.items() if not isinstance(told, str) for row in told["instances"]
    }  # fmt: skip
    for name, row in rows.items():
        found += _instance(name, row)
    found += _rollouts(entries, rows) + _versions(agents) + _leases(agents)
    if members is not None:
        found += _drift(agents, rows, members)
    for name, days in (certificates or {}).items():
        if days < CERTIFICATE_DAYS:
            word = f"is good for {days:.0f} more days" if days > 0 else "has run out"
            found.append(
                Finding(NOTE if days > 0 else BAD, name, f"its certificate {word}", "issue a new one")
            )
    return sorted(found, key=lambda f: f.weight != BAD)


def _agent(name: str, told: Mapping[str, Any] | str, now: float) -> list[Finding]:
    if isinstance(told, str):
        return [
            Finding(BAD, name, f"no answer: {told}", "look at the host, the agent's process, its certificate")
        ]
    off = told["time"] - now
    if abs(off) > CLOCK_OFF_S:
        return [
            Finding(NOTE, name, f"its clock is off by {off:+.0f} s", "set it: times in reports come from it")
        ]
    return []


def _instance(name: str, row: Mapping[str, Any]) -> list[Finding]:
    word = instance_health(row)
    if word == DRAINED:
        return [Finding(NOTE, name, "drained", f"`fleet undrain --only {name}` when it should serve again")]
    if is_healthy(word):
        return []
    does = {
        "silent": "the node runs and says nothing: frozen, or starved",
        "crash loop": "look at its last words and node.log; roll back what changed last",
        "watching": "a change is being watched; wait",
    }
    last = f" ({row['last_exit']})" if row["last_exit"] else ""
    return [Finding(BAD, name, word + last, does.get(word, "look at node.log in the agent's state folder"))]


def _rollouts(entries: Sequence[Entry], rows: Mapping[str, Mapping[str, Any]]) -> list[Finding]:
    found = []
    for entry in entries:
        record = entry.record
        unknown = [name for name, row in record.rows if row.fate is Fate.UNKNOWN]
        where, go_on = f"rollout {entry.id}", f"`fleet resume {entry.id}`"
        if record.stage in OPEN:
            found.append(
                Finding(BAD, where, f"it stands at {record.stage.value}", f"{go_on}, if no tool has it")
            )
        elif unknown and all(row["generation"] <= entry.id for n, row in rows.items() if n in unknown):
            told = ", ".join(unknown[:3]) + (f" and {len(unknown) - 3} more" if len(unknown) > 3 else "")
            found.append(Finding(BAD, where, f"unknown still: {told}", f"{go_on} takes them along"))
    newest = next((e for e in entries if e.record.stage is Stage.DONE), None)
    if newest is not None:
        behind = [n for n, row in rows.items() if 0 < row["generation"] < newest.id and _reached(newest, n)]
        if behind and not any(f.where == f"rollout {newest.id}" for f in found):
            told = ", ".join(behind[:3]) + (f" and {len(behind) - 3} more" if len(behind) > 3 else "")
            found.append(Finding(BAD, f"rollout {newest.id}", f"behind it: {told}", "roll it out to them"))
    return found


def _reached(entry: Entry, name: str) -> bool:
    return any(n == name and row.fate is Fate.TOOK for n, row in entry.record.rows)


def _versions(agents: Mapping[str, Mapping[str, Any] | str]) -> list[Finding]:
    versions = Counter(str(told.get("version", "")) for told in agents.values() if not isinstance(told, str))
    if len(versions) < 2:
        return []
    told = ", ".join(f"{n} of {version or 'an older one'}" for version, n in versions.most_common())
    return [Finding(NOTE, "agents", f"they are of several versions: {told}", "bring them to one")]


def _leases(agents: Mapping[str, Mapping[str, Any] | str]) -> list[Finding]:
    held = Counter(
        str(told["lease"]["holder"])
        for told in agents.values() if not isinstance(told, str) and told["lease"]["alive"]
    )  # fmt: skip
    return [
        Finding(
            NOTE, "lease", f"{holder} has it at {n} agents", "a rollout is under way, or its tool has died"
        )
        for holder, n in held.items()
    ]


def _drift(
    agents: Mapping[str, Mapping[str, Any] | str],
    rows: Mapping[str, Mapping[str, Any]],
    members: Sequence[Mapping[str, Any]],
) -> list[Finding]:
    """Where the inventory and the members' own view differ."""
    found, held = [], {str(m["name"]): m for m in members}
    for name, row in rows.items():
        if not row.get("member"):
            continue
        told = held.get(name)
        if told is None or told["state"] in ("failed", "left"):
            how = "do not know it" if told is None else f"call it {told['state']}"
            by = f" by the word of {told['by']}" if told is not None and told["by"] else ""
            if is_healthy(instance_health(row)):
                do = f"`oakbridge peers why {name}` at two sites; look whether UDP and TCP reach {row['member']}"
                found.append(Finding(BAD, name, f"its agent finds it well, and the members {how}{by}", do))
        elif told["address"] != row["member"]:
            what = f"members know it at {told['address']}, its agent has it at {row['member']}"
            found.append(Finding(NOTE, name, what, "restart it, or look who else has its name"))
    for name, told in sorted(held.items()):
        if told["state"] in ("failed", "left") or name in rows:
            continue
        if isinstance(agents.get(name.partition("/")[0]), str):
            what = "its agent does not answer, and the members find it there"
            found.append(Finding(NOTE, name, what, "the node serves; look at the agent"))
        else:
            what = f"a member at {told['address']} that no agent of the inventory runs"
            found.append(Finding(NOTE, name, what, "add its agent to the inventory, or end it"))
    return found
