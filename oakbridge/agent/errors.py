"""The agent's errors.  Operators see the texts of those that refuse their requests."""

from __future__ import annotations


class AgentError(Exception):
    """The base class of the agent's errors."""


class StepConflictError(AgentError):
    """A step was refused, and nothing has changed.

    The same request is always refused again, unless a subclass says otherwise.
    """


class BaseMismatchError(StepConflictError):
    """The step's base generation is not the one that the instance runs."""

    def __init__(self, running: int, expected: int) -> None:
        super().__init__(
            f"it runs generation {running}, and the step is for one that runs {expected}"
        )
        self.running = running
        self.expected = expected


class StaleGenerationError(StepConflictError):
    """The step's target generation is not newer than the one that the instance runs."""

    def __init__(self, target: int, running: int) -> None:
        super().__init__(f"generation {target} is not newer than {running}")
        self.target = target
        self.running = running


class StepNotDurableError(StepConflictError):
    """The step can't be written to disk; the same request may succeed once the disk works again."""

    def __init__(self, step_id: str) -> None:
        super().__init__(f"step {step_id} can't be written down at the moment")
        self.step_id = step_id


class StepInProgressError(StepConflictError):
    """Another step is in progress; the same request may succeed once that step has finished."""

    def __init__(self, step_id: str, state: str) -> None:
        super().__init__(f"step {step_id} is under way ({state})")
        self.step_id = step_id
        self.state = state


class StoreError(AgentError):
    """The agent's state on disk is invalid or in use, or something may not be written to it."""

    def __init__(self, where: object, problem: str) -> None:
        """``where`` is a path or a field's name."""
        super().__init__(f"{where}: {problem}")
        self.where = where
        self.problem = problem


class StoreUnavailableError(StoreError):
    """The disk failed with a transient error; a retry may succeed."""


class AgentConfigError(AgentError, ValueError):
    """``agent.toml`` is invalid or can't be read."""

    def __init__(self, problems: list[str]) -> None:
        """``problems`` has one line for each problem."""
        super().__init__("\n".join(problems))
        self.problems = problems


class AgentConfigUnreadableError(AgentConfigError):
    """Reading ``agent.toml`` failed with a transient error; a retry may succeed."""
