"""How long a request waits now, as a node's own open attempts tell: sooner than answers and lists."""

from __future__ import annotations

__all__ = ["Pressure"]

# The spans (ns) over which attempts are counted, and the weight of one in the running mean.
SPAN, WEIGHT = 250_000_000, 0.3
# A class is refused the likelier the further the wait is beyond what it may be, and wholly at so many times
# that.
WHOLLY = 3.0
# What is usual counts as so many attempts seen where usually none is out: at one request a second one that is
# out is no queue. It counts the less the more are usually out, and not from one on: they tell by themselves.
PRIOR = 1.0
# What a span leaves of what is taken for usual, and of how many attempts that must be known.
USUAL_KEEP, USUAL_LEAST = 0.98, 4.0


class Pressure:
    """Little's law over a node's own attempts: what is out, by what is sent a second, is the time of one.

    Answers tell of a queue when they have gone through it, and lists later still; what is out grows with the
    queue. It holds at any number of nodes: each sees a sample of all servers. Where that sample is small,
    what was usual for this node stands beside it.
    """

    __slots__ = ("area", "begun", "last", "out", "rate", "sent", "since")

    def __init__(self, now: int) -> None:
        self.out = 0
        self.sent = 0
        self.rate = 0.0  # attempts a second
        self.since = now
        self.last = now
        self.area = (
            0.0  # ns that attempts were out, all together, and how many: fading, the usual time of one
        )
        self.begun = 0.0

    def begin(self, now: int) -> None:
        """An attempt is out."""
        self._pass(now)
        self.out += 1
        self.sent += 1
        self.begun += 1.0

    def end(self, now: int) -> None:
        """It is back, however it ended."""
        self._pass(now)
        self.out = max(0, self.out - 1)

    def _pass(self, now: int) -> None:
        self.area += self.out * max(0, now - self.last)
        self.last = max(self.last, now)

    def wait(self, now: int) -> float:
        """The mean time (ns) that an attempt takes now; 0 where too little was sent to tell."""
        span = now - self.since
        if span >= SPAN:
            weight = 1.0 - (1.0 - WEIGHT) ** (span / SPAN)
            self.rate += weight * (self.sent * 1e9 / span - self.rate)
            self.sent = 0
            self.since = now
            keep = USUAL_KEEP ** (span / SPAN)
            self.area *= keep
            self.begun *= keep
        if self.rate <= 1.0:
            return 0.0
        usual = self.area / self.begun if self.begun >= USUAL_LEAST else 0.0
        few = PRIOR * max(0.0, 1.0 - self.rate * usual / 1e9) if usual > 0.0 else 0.0
        beside = few * 1e9 / usual if few else 0.0
        return (self.out + few) * 1e9 / (self.rate + beside)

    def refuses(self, now: int, most: float) -> float:
        """The share of a class to refuse whose requests may keep others waiting for so long (ns)."""
        return max(0.0, min(1.0, (self.wait(now) / most - 1.0) / (WHOLLY - 1.0)))
