"""The error of a configuration file that can't be used."""

from __future__ import annotations

from oakbridge.sources.problem import Problem


class ConfigFileError(ValueError):
    """A configuration file can't be used; ``problems`` has every problem with its place.

    ``is_transient``: the file could not be read because of a transient error.
    """

    def __init__(self, problems: list[Problem], *, is_transient: bool = False) -> None:
        self.is_transient = is_transient
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems
