"""The actions that an instance's state machine returns; ``executor`` carries them out in order.

Every action is idempotent.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.agent.records import Generation, InstanceRecord


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Write this record to disk before any later action is carried out."""

    record: InstanceRecord


@dataclass(frozen=True, slots=True)
class StageGeneration:
    """Write the generation's files beside the current ones, check them, and call ``on_staged``."""

    target: Generation


@dataclass(frozen=True, slots=True)
class DiscardGeneration:
    """Delete a staged generation's files."""

    target: Generation


@dataclass(frozen=True, slots=True)
class ActivateGeneration:
    """Point the ``current`` link at this generation, by one rename; then call ``on_activated``."""

    target: Generation


@dataclass(frozen=True, slots=True)
class RunGeneration:
    """Run the node with this generation, which is current; stop it for the empty generation."""

    target: Generation


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``on_timer`` at the time ``at_us`` of the agent's clock."""

    at_us: int


Action = (
    PersistRecord
    | StageGeneration
    | DiscardGeneration
    | ActivateGeneration
    | RunGeneration
    | SetTimer
)
