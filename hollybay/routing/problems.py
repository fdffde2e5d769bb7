"""Problems of an operator file, and the error that reports them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["FileProblem", "OperatorError"]

# Maximum number of problems reported for one file.
MAX_PROBLEMS = 200
MAX_SHOWN_VALUE = 80  # characters


@dataclass(frozen=True, slots=True)
class FileProblem:
    """One problem of an operator file.

    Attributes
    ----------
    table
        The table, as the file names it; empty: the file itself.
    key
        The key in the table; empty: the table itself.
    value
        The value stated; None: not shown.
    reason
        Why it is not valid; shown to the operator.
    """

    table: str
    key: str
    value: object
    reason: str

    @property
    def reason_with_value(self) -> str:
        """The reason, followed by the value."""
        return self.reason if self.value is None else f"{self.reason} (= {_format_value(self.value)})"

    def __str__(self) -> str:
        value = "" if self.value is None else f" = {_format_value(self.value)}"
        at = ": ".join(part for part in (self.table and f"[{self.table}]", self.key) if part)
        return f"{at}{value}: {self.reason}" if at else self.reason


def _format_value(value: object) -> str:
    """Return a value as problems show it, truncated if it is long."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_VALUE else text[:MAX_SHOWN_VALUE] + "..."


class OperatorError(ValueError):
    """The file is not valid; no part of it took effect.

    Parameters
    ----------
    file
        The file's name.
    problems
        All problems found; the first `MAX_PROBLEMS` are reported.
    """

    def __init__(self, file: str, problems: Sequence[FileProblem]) -> None:
        self.file = file
        reported = problems[:MAX_PROBLEMS]
        if len(problems) > MAX_PROBLEMS:
            more = FileProblem("", "", None, f"{len(problems) - MAX_PROBLEMS} further problems")
            reported = [*reported, more]
        self.problems = tuple(reported)
        super().__init__("\n".join(f"{file}: {problem}" for problem in self.problems))
