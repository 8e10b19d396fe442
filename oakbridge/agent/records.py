"""What an agent knows of an instance and of the steps that change it.

The values of the enums are stored and sent; ``record_codec`` has the form of records on disk.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

NO_DIGEST = "nothing"  # the digest of the generation that there is before the first
DEFAULT_WATCH_US = 5_000_000


class ChangeState(Enum):
    """Where the change of an instance's generation stands."""

    SETTLED = "settled"
    STAGING = "staging"
    ACTIVATING = "flipping"
    WATCHING = "watching"
    ROLLING_BACK = "undoing"


class Verdict(Enum):
    """How a step ended for an instance."""

    APPLIED = "took it"
    REJECTED = "did not"
    ROLLED_BACK = "undone"


@dataclass(frozen=True, slots=True)
class Generation:
    """All that an instance runs by, under one digest; numbers grow over the fleet's life."""

    number: int = 0
    digest: str = NO_DIGEST

    @property
    def is_empty(self) -> bool:
        """Whether this is the generation before the first, by which nothing runs."""
        return self.digest == NO_DIGEST


@dataclass(frozen=True, slots=True)
class Step:
    """An order to an instance that runs generation ``base_generation`` to run ``target``."""

    step_id: str
    token: int
    target: Generation
    base_generation: int
    watch_us: int = DEFAULT_WATCH_US  # for how long it must stay healthy, once it is ready


@dataclass(frozen=True, slots=True)
class StepOutcome:
    """How a step ended."""

    step_id: str
    verdict: Verdict
    reason: str = ""


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """What must outlive the agent: all that the state machine knows but times."""

    state: ChangeState = ChangeState.SETTLED
    current: Generation = Generation()  # what the link shows, once the change is settled
    previous: Generation = Generation()
    step: Step | None = None  # the one in progress
    rollback_reason: str = ""
    outcomes: tuple[StepOutcome, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """How an instance is run, as the agent's configuration had it when the instance was added."""

    listen: tuple[str, ...]
    control: Path  # the node's control socket
    member: str = ""  # the address among members, if it is one
