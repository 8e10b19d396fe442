"""The error of a configuration file."""

from __future__ import annotations

from oakbridge.sources.problem import Problem


class ConfigFileError(ValueError):
    """A configuration file that can't be used; ``problems`` has every mistake with its place.

    ``is_transient``: it could not be read, and may be readable in a moment.
    """

    def __init__(self, problems: list[Problem], *, is_transient: bool = False) -> None:
        self.is_transient = is_transient
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems
