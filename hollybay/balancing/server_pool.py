"""A pool of the servers of the local or of the remote zones: idle servers are picked first, else by capacity.

A pool contains the idle servers by speed class, the fastest class first, and a table for random draws in
proportion to capacity. Pools are rebuilt at each review and after each server list; in between, servers are
added to and removed from the idle lists.
"""

from __future__ import annotations

from bisect import bisect_right
from heapq import heappop, heappush
from random import Random

from .state import SpeedClass, TrackedServer

__all__ = ["ServerPool", "remove_from_idle", "schedule_idle"]

# The number of draws by capacity in search of a server to which this node has an idle connection.
WEIGHTED_DRAWS = 4


def remove_from_idle(server: TrackedServer) -> None:
    """Remove a server that has an attempt in flight from the list of idle servers."""
    if server.idle_position < 0 or server.speed_class is None:
        return
    idle = server.speed_class.idle
    last = idle.pop()
    if last is not server:
        idle[server.idle_position] = last
        last.idle_position = server.idle_position
    server.idle_position = -1


def schedule_idle(server: TrackedServer, now: int, tie_break: int) -> None:
    """List a server as idle from its `idle_from` time on, if it may be listed and has nothing in flight.

    A server that is listed although `idle_from` is in the future is removed from the list: that time was
    postponed by an attempt that does not count as in flight, such as one whose request body is pending.

    Parameters
    ----------
    server
        The server.
    now
        The time (ns).
    tie_break
        A number that increases with each call.
    """
    speed_class = server.speed_class
    if server.in_flight or speed_class is None or not server.in_idle_index:
        return
    if server.idle_position >= 0:
        if server.idle_from <= now:
            return
        remove_from_idle(server)
    heappush(speed_class.pending_idle, (server.idle_from, tie_break, server))


class ServerPool:
    """Picks from one group of servers.

    Parameters
    ----------
    speed_classes
        Speed classes, the fastest first; empty if there is no server.
    cumulative_capacity
        Running sums of the effective capacities of `servers`.
    servers
        The servers that may be drawn by capacity.
    random
        The node's source of random numbers.
    """

    __slots__ = ("cumulative_capacity", "random", "servers", "speed_classes")

    def __init__(
        self,
        speed_classes: list[SpeedClass],
        cumulative_capacity: list[float],
        servers: list[TrackedServer],
        random: Random,
    ) -> None:
        self.speed_classes = speed_classes
        self.cumulative_capacity = cumulative_capacity
        self.servers = servers
        self.random = random

    def pick_idle(self, now: int) -> TrackedServer | None:
        """Return a uniformly random idle server of the fastest speed class that has one."""
        for speed_class in self.speed_classes:
            pending = speed_class.pending_idle
            idle = speed_class.idle
            while pending and pending[0][0] <= now:
                server = heappop(pending)[2]
                if (
                    server.idle_position < 0
                    and not server.in_flight
                    and server.idle_from <= now
                    and server.speed_class is speed_class
                ):
                    server.idle_position = len(idle)
                    idle.append(server)
            if idle:
                return idle[int(self.random.random() * len(idle))]
        return None

    def draw(self, now: int, keepalive: int) -> TrackedServer | None:
        """Return a server drawn by capacity: of a few draws, the first one that needs no new connection.

        A new connection costs the server work, delays the first request, and has a price for all nodes
        together. With a single draw from all servers, a server would be drawn again only after its connection
        had been closed as idle.

        Parameters
        ----------
        now
            The time (ns).
        keepalive
            How long (ns) an idle connection stays open.
        """
        if not self.servers:
            return None
        sums = self.cumulative_capacity
        first: TrackedServer | None = None
        for _ in range(WEIGHTED_DRAWS):
            position = bisect_right(sums, self.random.random() * sums[-1])
            server = self.servers[min(position, len(self.servers) - 1)]
            if server.slow_start_factor < 1.0 and server.slow_start_send_at > now:
                continue
            own_in_flight = server.in_flight != server.peer_in_flight
            if not own_in_flight and server.last_answer_at > now - keepalive:
                return server
            first = first or server
        return first
