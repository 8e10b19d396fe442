"""The errors that an agent's parts raise."""

from __future__ import annotations


class AgentError(Exception):
    """The base of the agent's errors."""


class StepConflictError(AgentError):
    """A step does not fit what the instance runs, and never will; nothing has changed."""


class BaseMismatchError(StepConflictError):
    """The step is for an instance that runs another generation."""

    def __init__(self, running: int, expected: int) -> None:
        super().__init__(
            f"it runs generation {running}, and the step is for one that runs {expected}"
        )
        self.running = running
        self.expected = expected


class StaleGenerationError(StepConflictError):
    """The step's generation is not newer than the one that the instance runs."""

    def __init__(self, target: int, running: int) -> None:
        super().__init__(f"generation {target} is not newer than {running}")
        self.target = target
        self.running = running


class StepNotDurableError(StepConflictError):
    """A step can't be written down now: the same request may succeed once the disk can be written."""

    def __init__(self, step_id: str) -> None:
        super().__init__(f"step {step_id} can't be written down at the moment")
        self.step_id = step_id


class StepInProgressError(StepConflictError):
    """Another step is in progress: the same request may succeed once that one has ended."""

    def __init__(self, step_id: str, state: str) -> None:
        super().__init__(f"step {step_id} is under way ({state})")
        self.step_id = step_id
        self.state = state


class StoreError(AgentError):
    """The agent's state on disk, or what should be written to it, can't be used."""

    def __init__(self, where: object, problem: str) -> None:
        """``where`` is a path or the name of a field."""
        super().__init__(f"{where}: {problem}")
        self.where = where
        self.problem = problem


class StoreUnavailableError(StoreError):
    """The disk fails at the moment; the same call may succeed soon."""


class AgentConfigError(AgentError, ValueError):
    """``agent.toml`` can't be used."""

    def __init__(self, problems: list[str]) -> None:
        """``problems``: one line for each mistake."""
        super().__init__("\n".join(problems))
        self.problems = problems


class AgentConfigUnreadableError(AgentConfigError):
    """``agent.toml`` can't be read at the moment; the same call may succeed soon."""
