"""The delay with which this node reads requests, and the share of requests that it rejects because of it.

This guards against anything that delays the node: more requests than its CPU can serve, clients that keep
opening connections, a shared or slow machine, a paused process. Rejections are cheap only if they are early:
a request served too late is lost all the same, and its client retries. The measure is wrong if requests are
read late for another reason (a request queued behind another one on its connection must not count), and it
does not help if a rejection costs as much as a response.
"""

from __future__ import annotations

__all__ = ["WINDOW_NS", "EventLoopDelay"]

# A node is late if it reads requests with a delay above this share of the shortest latency objective.
LIMIT_SHARE = 0.1
# The window (ns) over which the delay is averaged, and the weight of one window in the share that is
# rejected: a single pause causes few rejections.
WINDOW_NS = 100_000_000
WINDOW_WEIGHT = 0.4
# The share that is rejected per unit of lateness (delay / limit - 1), and the largest share. The share is
# proportional to the present delay: an integrated share would go on rejecting after the cause has gone.
SHED_PER_LATENESS = 0.25
MAX_SHED_SHARE = 0.9
# A smaller share counts as 0.
MIN_SHED_SHARE = 0.01
# The largest number of windows without a request for which the share decays.
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
        """Record the delay (ns) with which a request was read; True if `shed_share` was updated."""
        self.window_delay += delay
        self.window_requests += 1
        span = now - self.window_start
        if span < WINDOW_NS:
            return False
        lateness = self.window_delay / self.window_requests / self.limit - 1.0
        share = max(0.0, min(MAX_SHED_SHARE, SHED_PER_LATENESS * lateness))
        # Windows without requests count as windows without a delay: the share decays for each of them.
        self.shed_share *= (1.0 - WINDOW_WEIGHT) ** min(MAX_IDLE_WINDOWS, span / WINDOW_NS - 1.0)
        self.shed_share += WINDOW_WEIGHT * (share - self.shed_share)
        if self.shed_share < MIN_SHED_SHARE:
            self.shed_share = 0.0
        self.window_start = now
        self.window_delay = 0
        self.window_requests = 0
        return True
