"""Distribution of a share of work to reject over request classes, lowest priority first."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["ascending_priority", "distribute_by_priority"]


def ascending_priority(priority_weights: Sequence[float], costs: Sequence[float]) -> list[int]:
    """Return the class indexes in ascending order of priority weight per cost.

    Parameters
    ----------
    priority_weights
        The value of a response, by class.
    costs
        The work of a request (ns at a server of size 1, or 1 where all cost the same), by class.
    """
    return sorted(
        range(len(priority_weights)), key=lambda index: priority_weights[index] / max(costs[index], 1.0)
    )


def distribute_by_priority(
    share: float, amounts: Sequence[float], priority_weights: Sequence[float], costs: Sequence[float]
) -> list[float]:
    """Distribute a share of all work over the classes, lowest priority first.

    Parameters
    ----------
    share
        The share (0 to 1) of the sum of all amounts that is to be rejected.
    amounts
        The work offered, by class, in any one unit.
    priority_weights, costs
        As in `ascending_priority`.

    Returns
    -------
    list of float
        The share (0 to 1) of each class's work that is to be rejected.
    """
    shares = [0.0] * len(amounts)
    remaining = share * sum(amounts)
    for index in ascending_priority(priority_weights, costs):
        shares[index] = min(1.0, remaining / amounts[index]) if amounts[index] > 0.0 else 0.0
        remaining = max(0.0, remaining - amounts[index])
    return shares
