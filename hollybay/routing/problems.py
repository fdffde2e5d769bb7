"""What is wrong with an operator file."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["OperatorError", "Problem"]

# Problems that are told of one file; more would be read by nobody.
MAX_PROBLEMS = 200
_SHOWN = 80  # characters of a value that are shown


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that does not hold: the table as it stands in the file, the key, its value and the reason."""

    table: str
    key: str
    value: object
    reason: str

    @property
    def reason_with_value(self) -> str:
        """The reason, and the value that it is about."""
        return self.reason if self.value is None else f"{self.reason} (= {_shown_value(self.value)})"

    def __str__(self) -> str:
        shown = "" if self.value is None else f" = {_shown_value(self.value)}"
        at = ": ".join(part for part in (self.table and f"[{self.table}]", self.key) if part)
        return f"{at}{shown}: {self.reason}" if at else self.reason


def _shown_value(value: object) -> str:
    """A value as problems show it, shortened."""
    text = repr(value)
    return text if len(text) <= _SHOWN else text[:_SHOWN] + "..."


class OperatorError(ValueError):
    """The file does not hold; nothing of it was taken over. problems: all that was found."""

    def __init__(self, file: str, problems: Sequence[Problem]) -> None:
        self.file = file
        told = problems[:MAX_PROBLEMS]
        if len(problems) > MAX_PROBLEMS:
            told = [*told, Problem("", "", None, f"{len(problems) - MAX_PROBLEMS} further problems")]
        self.problems = tuple(told)
        super().__init__("\n".join(f"{file}: {problem}" for problem in self.problems))
