"""The records of an instance and of the steps that change it.

The values of the enums are stored on disk and sent to operators; ``record_codec`` has the stored
form of records.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

NO_DIGEST = "nothing"  # the digest of the empty generation
DEFAULT_WATCH_US = 5_000_000


class ChangeState(Enum):
    """The state of a change of an instance's generation."""

    SETTLED = "settled"
    STAGING = "staging"
    ACTIVATING = "flipping"
    WATCHING = "watching"
    ROLLING_BACK = "undoing"


class Verdict(Enum):
    """The result of a step for an instance."""

    APPLIED = "took it"
    REJECTED = "did not"
    ROLLED_BACK = "undone"


@dataclass(frozen=True, slots=True)
class Generation:
    """A complete set of an instance's files; numbers only grow over the fleet's lifetime."""

    number: int = 0
    digest: str = NO_DIGEST

    @property
    def is_empty(self) -> bool:
        """Whether this is the generation before the first one, with which no node runs."""
        return self.digest == NO_DIGEST


@dataclass(frozen=True, slots=True)
class Step:
    """A change of an instance from the generation numbered ``base_generation`` to ``target``."""

    step_id: str
    token: int
    target: Generation
    base_generation: int
    watch_us: int = DEFAULT_WATCH_US  # how long the node must stay healthy once it is ready


@dataclass(frozen=True, slots=True)
class StepOutcome:
    """The result of a step, with its reason."""

    step_id: str
    verdict: Verdict
    reason: str = ""


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """The state of an instance that must outlive the agent's process; it has no times."""

    state: ChangeState = ChangeState.SETTLED
    current: Generation = Generation()  # the link points at it once the change is settled
    previous: Generation = Generation()
    step: Step | None = None  # the step in progress
    rollback_reason: str = ""
    outcomes: tuple[StepOutcome, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """How an instance is run; from the agent's configuration when the instance was added."""

    listen: tuple[str, ...]
    control: Path  # the node's control socket
    member: str = ""  # the node's address among members; "" if it is not a member
