"""Decision whether to hold a request for an existing connection or to open another connection."""

from __future__ import annotations

__all__ = ["HoldAccount"]

# Decay of the recorded hold time per second, in units of the cost of a connection. Requests that are held
# only occasionally therefore never add up to it.
DECAY_PER_S = 1.0


class HoldAccount:
    """Recent hold time of the requests to one server, compared with the cost of a connection.

    A request is held until its connection has settled (`SETTLE_S` of `request_sender`). Once the recent hold
    time, including the next hold, exceeds the cost of a connection, another connection is opened instead and
    the recorded time is reset: the ski-rental algorithm. Not thread-safe.
    """

    __slots__ = ("at", "held")

    def __init__(self) -> None:
        self.held = 0.0  # recent hold time (s), as of `at`
        self.at = 0.0  # time (s) of the last update

    def allows(self, hold: float, price: float, now: float) -> bool:
        """Whether to hold a request, whose hold is then recorded; False to open a connection instead.

        Parameters
        ----------
        hold
            Time (s) for which the request would be held.
        price
            Total hold time (s) that justifies another connection.
        now
            Time (s) of a monotonic clock.
        """
        decay = DECAY_PER_S * price * max(0.0, now - self.at)
        self.held = max(0.0, self.held - decay) + hold
        self.at = now
        if self.held <= price:
            return True
        self.held = 0.0
        return False
