"""A problem in a configuration or server file, with its place."""

from __future__ import annotations

from dataclasses import dataclass

FieldPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem: its place, and a text that says what was expected there and what was found."""

    file: str
    path: FieldPath
    expected: str
    line: int | None = None

    def field_name(self) -> str:
        """Return the field's path as text, such as ``endpoints[3].weight``."""
        text = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in self.path)
        return text.removeprefix(".")

    def __str__(self) -> str:
        """Return a text of one line: file, line, field and what was expected."""
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        return ": ".join(part for part in (place, self.field_name(), self.expected) if part)
