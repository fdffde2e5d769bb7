"""Builds the pools from which servers are picked, at each review and after each server list."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify
from math import log
from random import Random
from typing import NamedTuple

from .cross_zone import SPEED_CLASS_RATIO, CrossZoneRouter
from .endpoints import Endpoints
from .interface import ServerState, Settings, WeightMode
from .load_shedding import LoadShedder
from .reported_failures import EXCLUSION_FAILURE_RATE, EXPIRED_REPORT_DECAY
from .server_pool import ServerPool
from .slow_start import SlowStart
from .state import SpeedClass, TrackedServer
from .units import SECOND

__all__ = ["PoolBuilder", "Pools"]

# The mean number of nodes per zone that have a server in their idle index. With 1, a third of the servers
# would have no owner by chance; with 3 it is a twentieth. With many owners, each one misses the attempts that
# the others have in flight.
OWNERS_PER_ZONE = 3.0
# The factor applied to the capacity of a server on probation.
PROBATION_CAPACITY_SHARE = 0.1
# The weight of one review in the mean load of a server.
MEAN_LOAD_WEIGHT = 0.4
# If the ejected servers have more than this share of the capacity, a common cause is more likely than bad
# servers, and the ejected ones stay in the pools.
MAX_EJECTED_SHARE = 0.5
# Bounds of the factor by which a server's load relative to the mean changes its capacity.
MIN_LOAD_FACTOR = 0.1
MAX_LOAD_FACTOR = 2.0
# The exponent of a server's speed relative to the mean in its capacity.
SPEED_EXPONENT = 0.5


class Pools(NamedTuple):
    """The pools of the local and of the remote zones, and the size of the largest server."""

    local: ServerPool
    remote: ServerPool
    largest_size: float


class PoolBuilder:
    """Updates the servers' sizes and capacities, and builds pools from them.

    Parameters
    ----------
    settings
        The node's settings.
    endpoints
        The servers.
    cross_zone
        Receives the mean loads of the local and the remote zones.
    load_shedder
        Its queue limits are updated.
    random
        The node's source of random numbers.
    tie_breaks
        Increasing numbers that order servers which become idle at the same time.
    """

    def __init__(
        self,
        settings: Settings,
        endpoints: Endpoints,
        cross_zone: CrossZoneRouter,
        load_shedder: LoadShedder,
        random: Random,
        tie_breaks: Iterator[int],
    ) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.estimates = cross_zone.estimates
        self.cross_zone = cross_zone
        self.load_shedder = load_shedder
        self.slow_start = SlowStart(settings, random)
        self.random = random
        self.tie_breaks = tie_breaks
        self.live_weights = settings.weight_mode == WeightMode.LIVE

    def empty_pools(self) -> Pools:
        """Return pools without servers."""
        return Pools(self._empty_pool(), self._empty_pool(), 1.0)

    def _empty_pool(self) -> ServerPool:
        return ServerPool([], [], [], self.random)

    def build(self, now: int, reporting_peers: int) -> Pools:
        """Update all estimates that depend on lists and reviews, and return new pools.

        Parameters
        ----------
        now
            The time (ns).
        reporting_peers
            The number of other nodes that report their load.
        """
        ready = self._update_sizes(now)
        total_size = _total_size(ready)
        local, remote = self._by_zone(self._without_ejected(ready, total_size, now))
        local_load, remote_load = self._reported_loads(ready)
        if not local:
            local, remote = remote, []
            local_load, remote_load = remote_load, 0.0
        if self.cross_zone.local_share < 0.0 and ready:
            self.cross_zone.initialize(sum(server.size for server in local), total_size)
        self._update_estimates(len(ready), total_size, now)
        self.load_shedder.update_queue_limits()
        local_pool, self.cross_zone.local_load = self._build_pool(local, local_load, now, reporting_peers)
        remote_pool, self.cross_zone.remote_load = self._build_pool(remote, remote_load, now, reporting_peers)
        return Pools(local_pool, remote_pool, max((server.size for server in ready), default=1.0))

    # Sizes and loads

    def _update_sizes(self, now: int) -> list[TrackedServer]:
        """Remove all servers from their speed classes, and update size and load of those that are ready."""
        endpoints = self.endpoints
        freshness = endpoints.update_freshness(now)
        ready: list[TrackedServer] = []
        for server in endpoints.servers.values():
            server.idle_position = -1
            server.speed_class = None
            if server.state != ServerState.READY:
                continue
            if self.live_weights:
                # A live weight is size / (1 + requests per core).
                server.nominal_size = endpoints.max_weight_by_kind[server.kind] or 1.0
                load = max(0.0, server.nominal_size / server.weight - 1.0)
                server.reported_load = load * freshness
            server.size = server.nominal_size / self.estimates.slowdown_by_kind[server.kind]
            ready.append(server)
        return ready

    @staticmethod
    def _without_ejected(ready: list[TrackedServer], total_size: float, now: int) -> list[TrackedServer]:
        ejected_size = _total_size([server for server in ready if server.ejected_until > now])
        if ejected_size > MAX_EJECTED_SHARE * total_size:
            return ready
        return [server for server in ready if server.ejected_until <= now]

    def _by_zone(self, servers: list[TrackedServer]) -> tuple[list[TrackedServer], list[TrackedServer]]:
        zone = self.settings.zone
        local = [server for server in servers if server.zone == zone]
        remote = [server for server in servers if server.zone != zone]
        return local, remote

    def _reported_loads(self, ready: list[TrackedServer]) -> tuple[float, float]:
        """Return the reported loads times sizes, summed over the local and over the remote zones."""
        local = remote = 0.0
        for server in ready:
            if server.zone == self.settings.zone:
                local += server.reported_load * server.size
            else:
                remote += server.reported_load * server.size
        return local, remote

    def _update_estimates(self, ready: int, total_size: float, now: int) -> None:
        estimates = self.estimates
        estimates.service_times.update_mean(estimates.offered)
        estimates.effective_nodes = estimates.traffic_share.effective_nodes(now, total_size)
        if not self.live_weights and ready:
            # Attempts in flight per server, assuming that all nodes are like this one.
            load = estimates.effective_nodes * self.load_shedder.queueing_delay.in_flight / ready
            estimates.mean_server_load += MEAN_LOAD_WEIGHT * (load - estimates.mean_server_load)

    # Pools

    def _build_pool(
        self, servers: list[TrackedServer], total_load: float, now: int, reporting_peers: int
    ) -> tuple[ServerPool, float]:
        """Return the pool of some servers, and their mean load, given their total load."""
        if not servers:
            return self._empty_pool(), 0.0
        self._update_capacities(servers, now)
        speed_classes = self._build_speed_classes(servers, now, reporting_peers)
        all_excluded = all(server.reported_failure_rate >= EXCLUSION_FAILURE_RATE for server in servers)
        cumulative_capacity: list[float] = []
        drawable: list[TrackedServer] = []
        capacity = 0.0
        for server in servers:
            excluded = server.reported_failure_rate >= EXCLUSION_FAILURE_RATE and not all_excluded
            if not server.on_probation and not excluded:
                capacity += server.effective_capacity
                cumulative_capacity.append(capacity)
                drawable.append(server)
        pool = ServerPool(speed_classes, cumulative_capacity, drawable, self.random)
        return pool, total_load / sum(server.size * server.slow_start_factor for server in servers)

    def _update_capacities(self, servers: list[TrackedServer], now: int) -> None:
        """Update each server's effective capacity from its age, load, speed and failures."""
        endpoints, estimates = self.endpoints, self.estimates
        size = sum(server.size for server in servers)
        mean_load = sum(server.reported_load * server.size for server in servers) / size
        mean_slowdown = sum(server.slowdown * server.size for server in servers) / size
        use_slowdown = endpoints.stale or not self.live_weights
        # The requests that a server gets until the next list takes effect, assuming that all nodes are like
        # this one. Load above the mean is corrected over that time; a stronger correction would oscillate.
        rate = estimates.effective_nodes * estimates.request_rate / len(endpoints.servers)
        turnover = max(1.0, rate * (SECOND + endpoints.list_interval) / SECOND)
        for server in servers:
            relative = 1.0 + (mean_load - server.reported_load) / turnover
            factor = max(MIN_LOAD_FACTOR, min(MAX_LOAD_FACTOR, relative))
            if use_slowdown:
                factor *= (mean_slowdown / server.slowdown) ** SPEED_EXPONENT
            server.slow_start_factor = self.slow_start.factor(server, now)
            server.effective_capacity = (
                server.size * server.slow_start_factor * factor * (1.0 - _failure_rate(server, now))
            )
            if server.on_probation:
                server.effective_capacity *= PROBATION_CAPACITY_SHARE

    def _build_speed_classes(
        self, servers: list[TrackedServer], now: int, reporting_peers: int
    ) -> list[SpeedClass]:
        """Group servers by speed class, the fastest first, and list the idle ones."""
        estimates = self.estimates
        # The share of nodes that list a server as idle: few nodes or, where nodes report their load to each
        # other, as many as its connection capacity allows.
        index_share = estimates.connection_capacity.idle_index_share(
            now, OWNERS_PER_ZONE * self.settings.zones, estimates.effective_nodes, reporting_peers
        )
        slow_start_nodes = estimates.traffic_share.slow_start_nodes(estimates.effective_nodes)
        class_width = log(SPEED_CLASS_RATIO)
        by_speed: dict[int, SpeedClass] = {}
        for server in servers:
            speed = round(log(server.size) / class_width)
            speed_class = by_speed.get(speed)
            if speed_class is None:
                speed_class = by_speed[speed] = SpeedClass()
            server.speed_class = speed_class
            server.in_idle_index = _in_idle_index(server, index_share)
            if server.slow_start_factor < 1.0:
                self.slow_start.update_interval(server, estimates.service_times.mean, slow_start_nodes, now)
            if server.in_idle_index and not server.in_flight:
                self._list_idle(server, speed_class, now)
        for speed_class in by_speed.values():
            heapify(speed_class.pending_idle)
        return [by_speed[speed] for speed in sorted(by_speed, reverse=True)]

    def _list_idle(self, server: TrackedServer, speed_class: SpeedClass, now: int) -> None:
        if server.slow_start_factor < 1.0:
            server.idle_from = max(server.idle_from, server.slow_start_send_at)
        if server.idle_from <= now:
            server.idle_position = len(speed_class.idle)
            speed_class.idle.append(server)
        else:
            speed_class.pending_idle.append((server.idle_from, next(self.tie_breaks), server))


def _total_size(servers: list[TrackedServer]) -> float:
    total = 0.0
    for server in servers:
        total += server.size
    return total


def _failure_rate(server: TrackedServer, now: int) -> float:
    """Return the failure rate that the server reports or, if none is valid, that of this node's attempts."""
    if server.reported_failure_until > now:
        return server.reported_failure_rate
    # An expired report decays; otherwise a server that gets no requests could not show that it has recovered.
    server.reported_failure_rate *= EXPIRED_REPORT_DECAY
    return server.failure_rate


def _in_idle_index(server: TrackedServer, index_share: float) -> bool:
    """Whether this node may list a server as idle: as one of its owners, or on probation or slow start."""
    if server.on_probation:
        return True
    if server.reported_failure_rate >= EXCLUSION_FAILURE_RATE:
        return False
    return server.ownership_rank < index_share or server.slow_start_factor < 1.0
