"""The error of a configuration file."""

from __future__ import annotations

from oakbridge.sources.problem import Problem


class ConfigFileError(ValueError):
    """A configuration file that can't be used; ``problems`` has every mistake with its place."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems
