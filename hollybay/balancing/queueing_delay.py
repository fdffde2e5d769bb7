"""An estimate of how long attempts take at present, from the number of a node's own attempts in flight.

Responses show a queue only after they have passed through it, and server lists later still. The number of
attempts in flight grows along with the queue.
"""

from __future__ import annotations

from .units import SECOND

__all__ = ["QueueingDelay"]

# The window (ns) over which attempts are counted, and the weight of one window in the moving send rate.
WINDOW_NS = 250_000_000
WINDOW_WEIGHT = 0.3
# The rejected share grows linearly with the delay beyond its limit, and is 1 at this many times the limit.
FULL_REJECTION_RATIO = 3.0
# The weight of the prior, in attempts in flight: at one request a second, a single attempt in flight is no
# queue. The prior decreases with the usual number of attempts in flight, and is 0 if that is 1 or more.
PRIOR_IN_FLIGHT = 1.0
# The factor by which each window reduces the baseline sums, and the number of attempts needed to use them.
BASELINE_DECAY = 0.98
MIN_BASELINE_ATTEMPTS = 4.0
# Below this send rate (attempts a second) no delay is estimated.
MIN_RATE = 1.0


class QueueingDelay:
    """Little's law applied to a node's own attempts: time in flight = number in flight / send rate.

    It holds for any number of nodes, as each node samples all servers. If that sample is small, the usual
    (baseline) time of an attempt is added as a prior.

    Parameters
    ----------
    now
        The time (ns).

    Attributes
    ----------
    in_flight
        Attempts in flight.
    rate
        The moving send rate, attempts a second.
    baseline_time, baseline_attempts
        Decaying sums of the time (ns) that attempts were in flight, and of their number. Their ratio is the
        usual time of an attempt.
    """

    __slots__ = (
        "baseline_attempts",
        "baseline_time",
        "in_flight",
        "rate",
        "updated_at",
        "window_attempts",
        "window_start",
    )

    def __init__(self, now: int) -> None:
        self.in_flight = 0
        self.rate = 0.0
        self.window_attempts = 0
        self.window_start = now
        self.updated_at = now
        self.baseline_time = 0.0
        self.baseline_attempts = 0.0

    def attempt_started(self, now: int) -> None:
        """Record that an attempt was sent at a time (ns)."""
        self._advance(now)
        self.in_flight += 1
        self.window_attempts += 1
        self.baseline_attempts += 1.0

    def attempt_ended(self, now: int) -> None:
        """Record that an attempt ended, with any result, at a time (ns)."""
        self._advance(now)
        self.in_flight = max(0, self.in_flight - 1)

    def _advance(self, now: int) -> None:
        self.baseline_time += self.in_flight * max(0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)

    def estimate(self, now: int) -> float:
        """Return the mean time (ns) that an attempt takes at present; 0 if too few attempts were sent."""
        if now - self.window_start >= WINDOW_NS:
            self._close_window(now)
        if self.rate <= MIN_RATE:
            return 0.0
        usual = (
            self.baseline_time / self.baseline_attempts
            if self.baseline_attempts >= MIN_BASELINE_ATTEMPTS
            else 0.0
        )
        prior = PRIOR_IN_FLIGHT * max(0.0, 1.0 - self.rate * usual / SECOND) if usual > 0.0 else 0.0
        prior_rate = prior * SECOND / usual if prior else 0.0
        return (self.in_flight + prior) * SECOND / (self.rate + prior_rate)

    def _close_window(self, now: int) -> None:
        """Update the moving rate from the window that ends now, and decay the baseline."""
        span = now - self.window_start
        weight = 1.0 - (1.0 - WINDOW_WEIGHT) ** (span / WINDOW_NS)
        self.rate += weight * (self.window_attempts * SECOND / span - self.rate)
        self.window_attempts = 0
        self.window_start = now
        keep = BASELINE_DECAY ** (span / WINDOW_NS)
        self.baseline_time *= keep
        self.baseline_attempts *= keep

    def rejection_share(self, now: int, limit: float) -> float:
        """Return the share (0 to 1) to reject of a class that may delay other classes by `limit` (ns)."""
        return max(0.0, min(1.0, (self.estimate(now) / limit - 1.0) / (FULL_REJECTION_RATIO - 1.0)))
