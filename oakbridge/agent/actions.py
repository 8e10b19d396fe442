"""What the state machine of an instance asks for; ``executor`` carries it out, in order.

Every action can be carried out twice with the same end.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.agent.records import Generation, InstanceRecord


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Have this record on disk before any action that follows."""

    record: InstanceRecord


@dataclass(frozen=True, slots=True)
class StageGeneration:
    """Write the generation beside the one in use and have it checked; then call ``on_staged``."""

    target: Generation


@dataclass(frozen=True, slots=True)
class DiscardGeneration:
    """Delete a staged generation."""

    target: Generation


@dataclass(frozen=True, slots=True)
class ActivateGeneration:
    """Point the link at this generation, by one rename; then call ``on_activated``."""

    target: Generation


@dataclass(frozen=True, slots=True)
class RunGeneration:
    """Have the node run this generation, which the link shows; the empty one: have it not run."""

    target: Generation


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``on_timer`` at this time."""

    at_us: int


Action = (
    PersistRecord
    | StageGeneration
    | DiscardGeneration
    | ActivateGeneration
    | RunGeneration
    | SetTimer
)
