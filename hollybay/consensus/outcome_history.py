"""The final outcomes of changes, bounded in number and age. Pure; times are ns."""

from __future__ import annotations

from collections import OrderedDict

from .proposal_outcomes import InForce, Rejected

__all__ = ["FinalOutcome", "OutcomeHistory"]

FinalOutcome = InForce | Rejected


class OutcomeHistory:
    """The most recent final outcomes, by change id.

    Parameters
    ----------
    max_outcomes, max_age_ns
        How many outcomes are kept, and for how long.
    """

    def __init__(self, max_outcomes: int, max_age_ns: int) -> None:
        self._max_outcomes = max_outcomes
        self._max_age_ns = max_age_ns
        self._ended: OrderedDict[bytes, tuple[int, FinalOutcome]] = (
            OrderedDict()
        )  # (time, outcome), oldest first

    def get(self, change_id: bytes) -> FinalOutcome | None:
        """The outcome of a change, or None if it has none yet or it was removed."""
        ended = self._ended.get(change_id)
        return ended[1] if ended is not None else None

    def latest(self) -> FinalOutcome | None:
        """The most recent outcome, or None if there is none."""
        return next(reversed(self._ended.values()))[1] if self._ended else None

    def add(self, change_id: bytes, outcome: FinalOutcome, now: int) -> None:
        """Add the outcome of a change."""
        self._ended[change_id] = (now, outcome)

    def expire(self, now: int) -> None:
        """Remove the oldest outcomes until the bounds of number and age are met."""
        while self._ended:
            oldest, _ = next(iter(self._ended.values()))
            if len(self._ended) <= self._max_outcomes and now - oldest <= self._max_age_ns:
                return
            self._ended.popitem(last=False)
