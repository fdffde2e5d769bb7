"""How late this node itself reads requests, and the share of requests that it rejects for that.

It guards against whatever makes the node late: more requests than its CPU can serve, clients that keep
opening connections, a shared or slow machine, a paused process. Only early rejection is cheap: what is served
late is lost all the same, and its client asks again. It misleads if requests are read late for another reason
(one held behind another on its connection must not count as queued), or if rejecting costs as much.
"""

from __future__ import annotations

__all__ = ["WINDOW_NS", "EventLoopDelay"]

# A node is short of time where it reads requests later than this share of the shortest latency objective.
LIMIT_SHARE = 0.1
# The window (ns) over which that is judged, and the weight of one window: a single pause rejects little.
WINDOW_NS = 100_000_000
WINDOW_WEIGHT = 0.4
# The share that is rejected per unit of lateness (delay / limit - 1), and the largest share. It follows the
# present delay: a share that had to be wound down would reject on after the cause has gone.
SHED_PER_LATENESS = 0.25
MAX_SHED_SHARE = 0.9
# A smaller share is taken for 0.
MIN_SHED_SHARE = 0.01
# The most windows without a request for which a share decays.
MAX_IDLE_WINDOWS = 50.0


class EventLoopDelay:
    """The share of requests to reject because the node's event loop is late.

    Parameters
    ----------
    objective
        The shortest latency objective (ns).
    now
        The time (ns).

    Attributes
    ----------
    shed_share
        The share (0 to 1) of requests to reject.
    window_start
        When (ns) the current window began.
    """

    __slots__ = ("limit", "shed_share", "window_delay", "window_requests", "window_start")

    def __init__(self, objective: int, now: int) -> None:
        self.limit = LIMIT_SHARE * objective
        self.shed_share = 0.0
        self.window_start = now
        self.window_delay = 0
        self.window_requests = 0

    def observe(self, delay: int, now: int) -> bool:
        """Record a request that was read late by a delay (ns); True where `shed_share` has been renewed."""
        self.window_delay += delay
        self.window_requests += 1
        span = now - self.window_start
        if span < WINDOW_NS:
            return False
        lateness = self.window_delay / self.window_requests / self.limit - 1.0
        share = max(0.0, min(MAX_SHED_SHARE, SHED_PER_LATENESS * lateness))
        # Windows without requests saw no delay: what was seen before them is as old as they are long.
        self.shed_share *= (1.0 - WINDOW_WEIGHT) ** min(MAX_IDLE_WINDOWS, span / WINDOW_NS - 1.0)
        self.shed_share += WINDOW_WEIGHT * (share - self.shed_share)
        if self.shed_share < MIN_SHED_SHARE:
            self.shed_share = 0.0
        self.window_start = now
        self.window_delay = 0
        self.window_requests = 0
        return True
