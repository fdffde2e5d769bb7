"""Shares by member of a large group, most of which are 0, and how one compares with the others'.

Only shares above 0 are kept, so the cost of a comparison goes with the members that have one, not with the
size of the group: a node may know hundreds of thousands of tenants, of which a few are being rejected.
"""

from __future__ import annotations

__all__ = ["Shares"]

# A share that has faded below this is taken for 0 and forgotten.
LEAST_SHARE = 1e-6


class Shares:
    """A moving share (0 to 1) for each of `count` members, numbered from 0; all begin with 0."""

    __slots__ = ("_above", "count")

    def __init__(self, count: int) -> None:
        self.count = count
        self._above: dict[int, float] = {}

    def move(self, member: int, towards: float, weight: float) -> float:
        """Move a member's share towards a value by a weight (0 to 1); the new share."""
        before = self._above.get(member, 0.0)
        share = before + weight * (towards - before)
        if share > LEAST_SHARE:
            self._above[member] = share
            return share
        self._above.pop(member, None)
        return 0.0

    def median_of_others(self, member: int) -> float:
        """The upper median of all members' shares but one's; 0 where there is no other."""
        others = self.count - 1
        above = len(self._above) - (member in self._above)
        rank = others // 2 - (others - above)  # among those above 0
        if rank < 0 or not above:
            return 0.0
        return sorted(share for other, share in self._above.items() if other != member)[rank]
