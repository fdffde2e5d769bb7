"""How long a request waits now, as a node's own open attempts tell: sooner than answers and lists."""

from __future__ import annotations

__all__ = ["Pressure"]

# The spans (ns) over which attempts are counted, and the weight of one in the running mean.
SPAN, WEIGHT = 250_000_000, 0.3
# A class is refused the likelier the further the wait is beyond what it may be, and wholly at so many times
# that.
WHOLLY = 3.0


class Pressure:
    """Little's law over a node's own attempts: what is out, by what is sent a second, is the time of one.

    Answers tell of a queue when they have gone through it, and lists later still; what is out grows with the
    queue. It holds at any number of nodes: each sees a sample of all servers.
    """

    __slots__ = ("out", "rate", "sent", "since")

    def __init__(self, now: int) -> None:
        self.out = 0
        self.sent = 0
        self.rate = 0.0  # attempts a second
        self.since = now

    def begin(self) -> None:
        """An attempt is out."""
        self.out += 1
        self.sent += 1

    def end(self) -> None:
        """It is back, however it ended."""
        self.out = max(0, self.out - 1)

    def wait(self, now: int) -> float:
        """The mean time (ns) that an attempt takes now; 0 where too little was sent to tell."""
        span = now - self.since
        if span >= SPAN:
            weight = 1.0 - (1.0 - WEIGHT) ** (span / SPAN)
            self.rate += weight * (self.sent * 1e9 / span - self.rate)
            self.sent = 0
            self.since = now
        return self.out * 1e9 / self.rate if self.rate > 1.0 else 0.0

    def refuses(self, now: int, most: float) -> float:
        """The share of a class to refuse whose requests may keep others waiting for so long (ns)."""
        return max(0.0, min(1.0, (self.wait(now) / most - 1.0) / (WHOLLY - 1.0)))
