"""Budgets of repeats by name: each request saves a part of one, each repeat spends one."""

from __future__ import annotations

__all__ = ["BUDGETS", "SAVED", "Budgets"]

# Repeats that one budget saves up at most, and how many budgets are kept: those that nobody has used for
# longest go first, as names that are used no more do.
SAVED, BUDGETS = 10.0, 4096


class Budgets:
    """What each name has left."""

    __slots__ = ("saved",)

    def __init__(self) -> None:
        self.saved: dict[str, float] = {}

    def save(self, name: str, part: float) -> None:
        """A request adds a part of a repeat."""
        saved = self.saved.pop(name, 1.0) + part
        self.saved[name] = min(saved, SAVED)
        if len(self.saved) > BUDGETS:
            del self.saved[next(iter(self.saved))]

    def spend(self, name: str) -> bool:
        """Take a repeat; False: none is left."""
        saved = self.saved.get(name, 0.0)
        if saved < 1.0:
            return False
        self.saved[name] = saved - 1.0
        return True
