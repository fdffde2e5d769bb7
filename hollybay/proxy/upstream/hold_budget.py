"""Decision whether to hold a request for an existing connection or to open another connection."""

from __future__ import annotations

__all__ = ["HoldBudget"]

# Decay of the recorded hold time per second, in units of the cost of a connection. Requests that are held
# only occasionally therefore never add up to it.
DECAY_PER_S = 1.0


class HoldBudget:
    """Recent hold time of the requests to one server, compared with the cost of a connection.

    A request is held until its connection has settled (`SETTLE_S` of `request_sender`). Once the recent hold
    time, including the next hold, exceeds the cost of a connection, another connection is opened instead and
    the recorded time is reset: the ski-rental algorithm. Not thread-safe.
    """

    __slots__ = ("hold_time", "updated_at")

    def __init__(self) -> None:
        self.hold_time = 0.0  # recent hold time (s), as of `updated_at`
        self.updated_at = 0.0  # time (s) of the last update

    def allows(self, hold: float, connection_cost: float, now: float) -> bool:
        """Whether to hold a request, whose hold is then recorded; False to open a connection instead.

        Parameters
        ----------
        hold
            Time (s) for which the request would be held.
        connection_cost
            Total hold time (s) that justifies another connection.
        now
            Time (s) of a monotonic clock.
        """
        decay = DECAY_PER_S * connection_cost * max(0.0, now - self.updated_at)
        self.hold_time = max(0.0, self.hold_time - decay) + hold
        self.updated_at = now
        if self.hold_time <= connection_cost:
            return True
        self.hold_time = 0.0
        return False
