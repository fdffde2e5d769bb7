"""What share of all traffic is a node's own, told without talk: by what servers report that all send them."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["Census"]

SECOND = 1_000_000_000
# Time (ns) over which own attempts and reports are counted: long against chance at a few requests a second,
# short against a tier that lost most of its nodes.
HORIZON = 6 * SECOND
# The share that the settings tell (one of all nodes) counts as so many attempts seen, and before so many
# reports were heard nothing else is taken for true.
PRIOR, HEARD_LEAST = 4.0, 6
# The settings' number stands unless the share found is beyond so many times it, or below that part, for so
# long; and again once within the second. By chance, or while reports begin, it is off for less.
# Taken at once, or as it is within the band, it cost 0.001 to 0.002 of the worth on drawn days.
BAND, BACK, HOLD = 2.0, 1.4, 3 * SECOND
# A share is at most so many times that of the settings, or that part of it.
FACTOR_MOST = 30.0
# One report counts as at most so many times the mean of those before.
LOUDEST = 4.0
# Of a cold server's budget a node takes no more than if the tier were so much smaller than told: all nodes
# may be wrong in the same direction at once.
COLD_FACTOR = 3.0


class Census:
    """Own attempts, over those that servers tell of from all nodes.

    A share follows who is really there, and what each is offered: the shares of all nodes are one together,
    also when most are dead, the settings tell a wrong number, or one gets a multiple of the mean. Where
    answers tell no rate, it is the number in the settings. It does harm where servers report a rate that is
    not theirs from all nodes, within FACTOR_MOST.
    """

    __slots__ = ("at", "attempts", "away", "field", "heard", "level", "nodes", "seen")

    def __init__(self, nodes: int, fields: Sequence[str], now: int) -> None:
        self.nodes = nodes
        self.field = fields.index("rate") if "rate" in fields else -1
        self.away = 0  # for how long (ns) the settings' number has been off
        self.at = now
        self.attempts = 0.0  # own, fading
        self.seen = 0.0  # seconds over which they were counted, fading
        self.heard = 0
        self.level = 0.0  # requests a second that servers tell, for each unit of their size

    def sent(self) -> None:
        """This node has sent an attempt."""
        self.attempts += 1.0

    def hear(self, report: Sequence[float], size: float) -> None:
        """An answer tells what its server gets; size: the server's, relative to others, above 0."""
        if not 0 <= self.field < len(report) or not report[self.field] >= 0.0:
            return
        told = report[self.field] / size
        if self.heard >= HEARD_LEAST:
            told = min(told, LOUDEST * max(self.level, 0.1))
        self.heard += 1
        self.level += (told - self.level) / min(self.heard, 24)

    def others(self, now: int, size: float) -> float:
        """1 over this node's share of all traffic: so many nodes there are, were all like this one.

        size: of all servers together. At least 1.
        """
        span = max(0, now - self.at)
        self.at = now
        keep = max(0.0, 1.0 - span / HORIZON)
        self.seen = self.seen * keep + span / SECOND
        self.attempts *= keep
        if self.heard < HEARD_LEAST:
            return float(self.nodes)
        total = self.level * size * self.seen
        found = (total + PRIOR * self.nodes) / (self.attempts + PRIOR)
        off = max(found / self.nodes, self.nodes / found)
        taken = self.away >= HOLD
        self.away = self.away + span if off > (BACK if taken else BAND) else 0
        if self.away < HOLD:
            return float(self.nodes)
        return max(1.0, self.nodes / FACTOR_MOST, min(found, self.nodes * FACTOR_MOST))

    def for_cold(self, others: float) -> float:
        """The number of nodes by which a cold server's budget is dealt."""
        return max(others, self.nodes / COLD_FACTOR)
