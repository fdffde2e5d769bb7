"""Which requests cross to another zone: a share that follows loads and answers, and single ones at once."""

from __future__ import annotations

from math import exp, log

from .estimates import REVIEW, Learning
from .interface import Result, Settings, WeightMode
from .state import Server, Try

__all__ = ["CLASS_RATIO", "Crossing", "ahead"]

# Speeds within this ratio make one class, and loads within it are the same: less is noise of the estimates.
CLASS_RATIO = 1.25
# Crossing zones starts when near answers take this share of their aim, and this much more than far ones.
SPILL_FROM, SPILL_MARGIN = 0.35, 0.1
SPILL_SLOW, SPILL_FAST = 0.1, 0.7  # gains of that: per review, and at once
# A request crosses zones at once where that saves this part of the price in worth that would come late; under
# one, as a request that stays delays the others there, too.
CROSS_PART = 0.5
# Part of the load that a list told which is likely still there: it is old, and queues are worked off.
TOLD_PART = 0.25


def ahead(s: Server) -> float:
    """Requests likely at a server now: this node's own, or what is left of those that a list told."""
    return max(float(s.held), TOLD_PART * s.load)


class Crossing:
    """How much of a node's traffic goes to the other zones first."""

    def __init__(self, settings: Settings, learned: Learning, now: int) -> None:
        self.settings = settings
        self.learned = learned
        self.crossed = now
        self.near_part = -1.0  # share of requests that need not cross, negative: not known yet
        self.spill = 0.0  # share of requests sent to far zones
        self.near_load = self.far_load = 0.0

    def begin(self, here: float, total: float) -> None:
        """Until loads are seen: as if every zone had the same traffic. here: of the total size, near."""
        self.near_part = min(1.0, self.settings.zones * here / total)
        self.spill = 1.0 - self.near_part

    def renew(self, now: int, stale: bool, any_far: bool) -> None:
        """Renew the share that crosses zones: when loads are told and at every review."""
        if self.near_part < 0.0:
            return
        learned = self.learned
        price = self.settings.prices.crossing
        error = 0.0
        if self.settings.weight_mode == WeightMode.LIVE and not stale:
            error = log((1.0 + self.near_load) / max((1.0 + self.far_load) * CLASS_RATIO, 2.0 + 10.0 * price))
        late = log(max(learned.near_late, 0.01) / max(learned.far_late + SPILL_MARGIN + price, SPILL_FROM))
        # Proportional and integral: the first answers a queue that grows, the second holds what has to
        # cross for long.
        error = max(-1.0, min(1.0, late if error == 0.0 else 0.5 * (error + late)))
        span = min(REVIEW, now - self.crossed) / REVIEW
        self.crossed = now
        self.near_part = min(1.0, max(0.1, self.near_part * exp(-SPILL_SLOW * span * error)))
        learned.far_late += 0.1 * span * (0.5 * learned.near_late - learned.far_late)
        self.spill = max(0.0, 1.0 - self.near_part * min(1.0, exp(-SPILL_FAST * error))) if any_far else 0.0

    def away(self, tried: list[Try]) -> float:
        """The share of requests that go far first: more than the load asks where the near zone is lost."""
        if tried and tried[-1].result == Result.CONNECT_FAILED and tried[-1].zone == self.settings.zone:
            return 1.0
        return self.learned.reach.away(self.spill)

    def across(self, cls: int, near: Server, far: Server | None) -> Server:
        """A far server in place of a busy near one, where that is worth its price.

        The share that crosses follows answers, and so lags by seconds behind a queue of this node's own. What
        it holds itself it knows at once: how likely an answer is late follows from that.
        """
        if far is None:
            return near
        c = self.settings.classes[cls]
        saved = c.priority_weight * (1.0 - c.late_weight) * (self._late(cls, near) - self._late(cls, far))
        return far if saved > CROSS_PART * self.settings.prices.crossing * self.learned.worth_asked else near

    def _late(self, cls: int, s: Server) -> float:
        """How likely one more request there is late, were response times exponential."""
        work = self.learned.work[cls]
        mean = work * (1.0 + ahead(s)) / (s.size * s.warmth)
        return exp(-self.settings.classes[cls].latency_objective / mean) if mean > 0.0 else 0.0
