"""Moving shares by member of a large group, and a comparison of one member with the others.

Only shares above 0 are stored, so the time of a comparison depends on the number of members with such a share
and not on the size of the group: a node may know hundreds of thousands of tenants, few of which are rejected.
"""

from __future__ import annotations

__all__ = ["MIN_SHARE", "OutlierShares"]

# A share that has decayed below this counts as 0 and is removed.
MIN_SHARE = 1e-6


class OutlierShares:
    """An exponentially weighted share (0 to 1) for each member of a group.

    Parameters
    ----------
    count
        The number of members, which are numbered from 0. All shares start at 0.
    """

    __slots__ = ("_nonzero", "count")

    def __init__(self, count: int) -> None:
        self.count = count
        self._nonzero: dict[int, float] = {}

    def update(self, member: int, sample: float, weight: float) -> float:
        """Move a member's share towards a sample and return the new share.

        Parameters
        ----------
        member
            The member's number.
        sample
            The observed value, 0 to 1.
        weight
            The sample's weight in the moving share, 0 to 1.
        """
        before = self._nonzero.get(member, 0.0)
        share = before + weight * (sample - before)
        if share > MIN_SHARE:
            self._nonzero[member] = share
            return share
        self._nonzero.pop(member, None)
        return 0.0

    def median_of_others(self, member: int) -> float:
        """Return the upper median of the shares of all members except one; 0 if there is no other."""
        others = self.count - 1
        nonzero = len(self._nonzero) - (member in self._nonzero)
        rank = others // 2 - (others - nonzero)  # of the median among the shares above 0
        if rank < 0 or not nonzero:
            return 0.0
        return sorted(share for other, share in self._nonzero.items() if other != member)[rank]
