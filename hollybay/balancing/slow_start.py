"""Slow start: the capacity of a server that has just started, and the rate at which each node may send to it.

All nodes together may send work to a starting server at a rate of overload_multiple (a ratio, see `Settings`)
times its present capacity. Each node divides that rate by the estimated number of nodes (`traffic_share`),
and keeps an interval (ns) between its own sends. The total rate stays within the limit without communication.
"""

from __future__ import annotations

from random import Random

from .interface import Settings
from .state import TrackedServer

__all__ = ["SLOW_START_BUDGET_SHARE", "SlowStart", "send_interval"]

# The share (0 to 1) of the permitted rate that all nodes together plan to use: with an overload_multiple of 4
# it is 1.6 times the server's present capacity, as servers often have more than the minimum capacity of their
# age. The rest is a margin for random variation, uneven traffic, and underestimated service times.
SLOW_START_BUDGET_SHARE = 0.4


def send_interval(service_time: float, size: float, factor: float, multiple: float, nodes: float) -> int:
    """Return the time (ns) between two sends of one node to a starting server.

    If a node's share is less than one request, its interval becomes longer; rounding up to one request of
    every node would exceed the budget.

    Parameters
    ----------
    service_time
        Time (ns) that a request takes at a server of size 1.
    size
        The server's size when warm.
    factor
        The minimum share (0 to 1) of its size that it has at present.
    multiple
        Settings.overload_multiple.
    nodes
        The number of nodes that share the budget.
    """
    return int(service_time / size / (SLOW_START_BUDGET_SHARE * multiple * factor / nodes))


class SlowStart:
    """Updates the slow-start state of servers.

    Parameters
    ----------
    settings
        The node's settings, of which warm_up (ns), cold_share (0 to 1) and overload_multiple are used.
    random
        The node's source of random numbers.
    """

    __slots__ = ("random", "settings")

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        self.random = random

    def factor(self, server: TrackedServer, now: int) -> float:
        """Return the minimum share (0 to 1) of its size that a server has at its age.

        The share grows linearly from cold_share to 1 over the warm-up time.
        """
        warm_up = self.settings.warm_up
        age = now - server.up_since
        if not warm_up or not server.up_since or age >= warm_up:
            return 1.0
        cold_share = self.settings.cold_share
        return cold_share + (1.0 - cold_share) * max(0, age) / warm_up

    def update_interval(self, server: TrackedServer, service_time: float, nodes: float, now: int) -> None:
        """Update the send interval of a starting server.

        Parameters
        ----------
        server
            A server with a slow-start factor below 1.
        service_time
            Time (ns) that a request takes at a server of size 1.
        nodes
            The number of nodes that share the server's budget.
        now
            The time (ns).
        """
        interval = send_interval(
            service_time, server.size, server.slow_start_factor, self.settings.overload_multiple, nodes
        )
        server.slow_start_interval = interval
        # The server is new, or the interval has become shorter: a random start keeps nodes from sending at
        # the same time.
        if server.slow_start_send_at < 0 or server.slow_start_send_at > now + interval:
            server.slow_start_send_at = now + int(self.random.random() * interval)

    @staticmethod
    def record_send(server: TrackedServer, now: int) -> None:
        """Charge one request that was sent to a starting server at a time (ns)."""
        server.slow_start_send_at = max(server.slow_start_send_at, now) + server.slow_start_interval
        server.idle_from = max(server.idle_from, server.slow_start_send_at)
