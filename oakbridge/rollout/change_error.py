"""The error of a change that cannot be made."""

from __future__ import annotations


class ChangeError(ValueError):
    """A change cannot be made.

    ``place`` is the file, setting or option that is invalid, or "" where none is known.
    """

    def __init__(self, problem: str, place: str = "") -> None:
        super().__init__(f"{place}: {problem}" if place else problem)
        self.problem, self.place = problem, place
