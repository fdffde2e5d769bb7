"""A share that is given up, dealt by worth: pure reckoning, for all that turns requests away."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["by_worth", "deal"]


def by_worth(worths: Sequence[float], costs: Sequence[float]) -> list[int]:
    """The classes, the least worth for its cost first."""
    return sorted(range(len(worths)), key=lambda c: worths[c] / max(costs[c], 1.0))


def deal(
    share: float, amounts: Sequence[float], worths: Sequence[float], costs: Sequence[float]
) -> list[float]:
    """A share of all amounts as one share of each class's, the least worth for its cost first."""
    shares = [0.0] * len(amounts)
    left = share * sum(amounts)
    for c in by_worth(worths, costs):
        shares[c] = min(1.0, left / amounts[c]) if amounts[c] > 0.0 else 0.0
        left = max(0.0, left - amounts[c])
    return shares
