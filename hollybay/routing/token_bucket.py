"""Token bucket rate limiting. The caller passes the time; this module reads no clock."""

from __future__ import annotations

from hollybay.units import SECOND

from .limits import Rate

__all__ = ["TokenBucket"]


class TokenBucket:
    """The number of tokens at a point in time.

    Parameters
    ----------
    tokens
        Tokens in the bucket.
    updated_at
        The time (ns) as of which `tokens` holds.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self, tokens: float, updated_at: int) -> None:
        self.tokens = tokens
        self.updated_at = updated_at

    @classmethod
    def full(cls, rate: Rate, now: int) -> TokenBucket:
        """Create a full bucket, which holds the burst of a rate."""
        return cls(float(rate.burst), now)

    def take(self, rate: Rate, now: int) -> int:
        """Take one token.

        Returns
        -------
        int
            0 if a token was taken, else the time (ns) until one will be available.
        """
        elapsed = max(0, now - self.updated_at)
        tokens = min(float(rate.burst), self.tokens + elapsed * rate.per_second / SECOND)
        self.updated_at = max(now, self.updated_at)
        if tokens >= 1.0:
            self.tokens = tokens - 1.0
            return 0
        self.tokens = tokens
        return max(1, int((1.0 - tokens) * SECOND / rate.per_second))

    def put_back(self, rate: Rate) -> None:
        """Return a token that was taken for a request that other limits then rejected."""
        self.tokens = min(float(rate.burst), self.tokens + 1.0)

    def is_full(self, rate: Rate, now: int) -> bool:
        """Tell whether the bucket has refilled, so that a new bucket would behave the same."""
        elapsed = max(0, now - self.updated_at)
        return self.tokens + elapsed * rate.per_second / SECOND >= rate.burst
