"""The servers of the local or of the remote zones, as they are picked: idle ones first, else by capacity.

A pool has the idle servers by speed class, the fastest class first, and a table for draws in proportion to
capacity. Pools are built anew at each review and each list; between, servers enter and leave the idle lists.
"""

from __future__ import annotations

from bisect import bisect_right
from heapq import heappop, heappush
from random import Random

from .state import SpeedClass, TrackedServer

__all__ = ["ServerPool", "remove_from_idle", "schedule_idle"]

# Draws by capacity in search of a server to which this node has an idle connection.
WEIGHTED_DRAWS = 4


def remove_from_idle(server: TrackedServer) -> None:
    """Take a server that has an attempt in flight off the list of idle ones."""
    if server.idle_position < 0 or server.speed_class is None:
        return
    idle = server.speed_class.idle
    last = idle.pop()
    if last is not server:
        idle[server.idle_position] = last
        last.idle_position = server.idle_position
    server.idle_position = -1


def schedule_idle(server: TrackedServer, now: int, tie_break: int) -> None:
    """Have a server taken for idle from its time on, if it may be and nothing is in flight there.

    One that is listed before its time leaves the list: its time was put off, by an attempt that is not
    counted as in flight.

    Parameters
    ----------
    server
        The server.
    now
        The time (ns).
    tie_break
        A number that is larger each time.
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
        Speed classes, the fastest first; empty where there is no server.
    cumulative_capacity
        Running sums of the effective capacities of `servers`.
    servers
        Those that may be drawn by capacity.
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
        """Return a server drawn by capacity: of a few draws the first that needs no new connection.

        A connection costs the server work, the first request time, and all nodes together a price. Drawn from
        all servers, each comes up again only after its connection was closed as idle.

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
