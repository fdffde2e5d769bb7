"""Which zone can be reached, from how a node's connects go there: sooner than a list tells of a lost one."""

from __future__ import annotations

__all__ = ["Reach"]

# Share of connects that fail at which a zone is taken for lost; the most of the traffic that is then kept
# from it, as the rest sees it come back; and what one answer leaves of that share.
LOST_FROM, LOST_MOST, LOST_FADE = 0.25, 0.95, 0.8


class Reach:
    """The node's own zone (near) and all others (far): the share of connects that fail, as a running mean.

    A server that is down alone shows in its own record. When a whole zone goes, a node with few requests
    meets each of its servers once in seconds, and would try them all, one after another and each several
    times. It does harm where many servers of one zone fail at once and its others could bear the load:
    that part of the traffic then crosses.
    """

    __slots__ = ("far", "near")

    def __init__(self) -> None:
        self.near = 0.0
        self.far = 0.0

    def note(self, near: bool, failed: bool, weight: float) -> None:
        """How a connect went; weight: of one event in the mean. What works counts for more, so that a zone
        with some servers down is none that is lost, and one that comes back is seen at once."""
        share = self.near if near else self.far
        share = share + weight * (1.0 - share) if failed else share * LOST_FADE
        if near:
            self.near = share
        else:
            self.far = share

    @property
    def far_lost(self) -> bool:
        """Whether crossing brings nothing."""
        return self.far > LOST_FROM and self.far > 2.0 * self.near

    def away(self, spill: float) -> float:
        """The share of requests that try far zones first, where loads alone would have spill of them go."""
        if self.far_lost:
            return (1.0 - LOST_MOST) * spill
        if self.near > LOST_FROM and self.near > 2.0 * self.far:
            return max(spill, min(LOST_MOST, (self.near - LOST_FROM) / LOST_FROM))
        return spill
