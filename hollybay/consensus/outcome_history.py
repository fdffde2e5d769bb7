"""The outcomes of changes that have ended, bounded in number and age. Pure; times are ns."""

from __future__ import annotations

from collections import OrderedDict

from .proposal_outcomes import InForce, Rejected

__all__ = ["FinalOutcome", "OutcomeHistory"]

FinalOutcome = InForce | Rejected


class OutcomeHistory:
    """The last outcomes, by the ids of the changes.

    Parameters
    ----------
    max_outcomes, max_age_ns
        How many are remembered, and for how long.
    """

    def __init__(self, max_outcomes: int, max_age_ns: int) -> None:
        self._max_outcomes = max_outcomes
        self._max_age_ns = max_age_ns
        self._ended: OrderedDict[bytes, tuple[int, FinalOutcome]] = (
            OrderedDict()
        )  # with the time; oldest first

    def get(self, change_id: bytes) -> FinalOutcome | None:
        """The outcome of a change; None: it has not ended, or is forgotten."""
        ended = self._ended.get(change_id)
        return ended[1] if ended is not None else None

    def latest(self) -> FinalOutcome | None:
        """The outcome of the change that ended last; None: none is remembered."""
        return next(reversed(self._ended.values()))[1] if self._ended else None

    def add(self, change_id: bytes, outcome: FinalOutcome, now: int) -> None:
        """Remember the outcome of a change that ends now."""
        self._ended[change_id] = (now, outcome)

    def expire(self, now: int) -> None:
        """Forget outcomes that are too many or too old."""
        while self._ended:
            oldest, _ = next(iter(self._ended.values()))
            if len(self._ended) <= self._max_outcomes and now - oldest <= self._max_age_ns:
                return
            self._ended.popitem(last=False)
