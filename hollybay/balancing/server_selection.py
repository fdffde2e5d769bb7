"""Which server gets an attempt: speed-aware join-idle-queue (SA-JIQ).

A uniformly random idle server of the fastest speed class that has one, else a draw by capacity. A node sees
only its own part of the traffic, so "idle" is corrected: each server is in the idle index of few nodes only,
which then know what it has in flight (`pool_builder`).
"""

from __future__ import annotations

from itertools import count
from random import Random

from .cross_zone import CrossZoneRouter
from .endpoints import Endpoints
from .interface import IDLE_CLOSE_SHARE, Effect, PeerLoad, ServerState, Settings
from .load_shedding import LoadShedder
from .pool_builder import PoolBuilder
from .reported_failures import UNSAFE_FAILURE_RATE
from .retries import ANYWHERE, RetryScope
from .server_pool import remove_from_idle, schedule_idle
from .state import TrackedRequest, TrackedServer

__all__ = ["ServerSelector"]

# Picks until one is neither excluded for the request nor has been tried.
MAX_PICKS = 4


class ServerSelector:
    """Picks servers from the pools of the local and the remote zones.

    Parameters
    ----------
    settings
        The node's settings.
    endpoints
        The servers.
    cross_zone
        Decides which requests go to remote zones.
    load_shedder
        Knows the queueing delay.
    random
        The node's source of random numbers.
    """

    def __init__(
        self,
        settings: Settings,
        endpoints: Endpoints,
        cross_zone: CrossZoneRouter,
        load_shedder: LoadShedder,
        random: Random,
    ) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.estimates = cross_zone.estimates
        self.cross_zone = cross_zone
        self.load_shedder = load_shedder
        self.random = random
        self.tie_breaks = count(1)
        self.builder = PoolBuilder(settings, endpoints, cross_zone, load_shedder, random, self.tie_breaks)
        self.local, self.remote, self.largest_size = self.builder.empty()
        self.keepalive = int(IDLE_CLOSE_SHARE * settings.idle_timeout)  # ns
        self.reporting_peers = 0  # other nodes that report their load

    @property
    def has_remote(self) -> bool:
        """Whether there are servers in remote zones."""
        return bool(self.remote.speed_classes)

    # Changes

    def rebuild(self, now: int) -> None:
        """Build the pools anew: at each review and each list."""
        self.local, self.remote, self.largest_size = self.builder.build(now, self.reporting_peers)

    def schedule_idle(self, server: TrackedServer, now: int) -> None:
        """Have a server taken for idle again, once its time has come."""
        schedule_idle(server, now, next(self.tie_breaks))

    def apply_peer_load(self, event: PeerLoad, now: int) -> None:
        """Take in what other nodes have in flight: each node knows then which servers are idle."""
        self.reporting_peers = event.nodes
        for server_id, in_flight in event.in_flight.items():
            server = self.endpoints.servers.get(server_id)
            if server is None:
                continue
            server.in_flight = max(0, server.in_flight - server.peer_in_flight + in_flight)
            server.peer_in_flight = in_flight
            if server.in_flight:
                remove_from_idle(server)
            else:
                self.schedule_idle(server, now)

    def eject(self, server: TrackedServer) -> None:
        """Stop sending to a server, until a review finds its ejection over."""
        remove_from_idle(server)
        server.speed_class = None

    # Picks

    def pick_idle_local(self, now: int) -> TrackedServer | None:
        """Return an idle server of the fastest local speed class that has one."""
        return self.local.pick_idle(now)

    def pick(self, request: TrackedRequest, now: int) -> TrackedServer | None:
        """Return the server of a request's next attempt, wherever it may go; None where none may be used."""
        attempts = request.attempts
        if self.endpoints.returned and not attempts:
            returned = self._pick_returned(request, now)
            if returned is not None:
                return returned
        remote_share = self.cross_zone.remote_first_share(attempts) if self.remote.speed_classes else 0.0
        server: TrackedServer | None = None
        for _ in range(MAX_PICKS):
            server = self._pick_any(request, remote_share, now)
            if server is None:
                return None
            tried = any(attempt.server is server for attempt in attempts)
            if not (self._excludes(server, request, now) or tried):
                return server
        if server is not None and self._excludes(server, request, now):
            return self.pick_within(request, ANYWHERE, now) or server
        return server

    def _pick_any(self, request: TrackedRequest, remote_share: float, now: int) -> TrackedServer | None:
        """Return a server, remote first for a share of requests."""
        server: TrackedServer | None = None
        if remote_share > 0.0 and self.random.random() < remote_share:
            server = self._pick_remote(now)
        if server is None:
            server = self.local.pick_idle(now) or self._draw_local(request, now)
        return server or self._pick_remote(now)

    def _draw_local(self, request: TrackedRequest, now: int) -> TrackedServer | None:
        """Return a local server by capacity, or a remote one where it is busy and that is worth the price."""
        server = self.local.draw(now, self.keepalive)
        if server is None or not server.in_flight or not self.remote.speed_classes:
            return server
        if self.estimates.zone_reachability.remote_unreachable:
            return server
        return self.cross_zone.prefer(request.class_index, server, self._pick_remote(now))

    def _pick_remote(self, now: int) -> TrackedServer | None:
        return self.remote.pick_idle(now) or self.remote.draw(now, self.keepalive)

    def _pick_returned(self, request: TrackedRequest, now: int) -> TrackedServer | None:
        """Return a server that came back from draining, once.

        How it does is not known yet, and if it is slow or remote the other picks may not reach it for long.
        """
        returned = self.endpoints.returned
        while returned:
            server = self.endpoints.servers.get(returned[-1])
            if server is None or server.state != ServerState.READY:
                returned.pop()
                continue
            if server.speed_class is None or server.in_flight:
                return None
            if max(server.idle_from, server.slow_start_send_at) > now:
                return None
            if self._excludes(server, request, now):
                return None
            returned.pop()
            return server
        return None

    def pick_within(self, request: TrackedRequest, scope: RetryScope, now: int) -> TrackedServer | None:
        """Return a server within a scope that has not been tried; keyed retries are rare, so it scans all."""
        tried = [attempt.server for attempt in request.attempts]
        candidates = [
            server
            for server in self.endpoints.servers.values()
            if server.speed_class is not None
            and not server.on_probation
            and server.slow_start_factor >= 1.0
            and scope.allows(server)
            and server not in tried
        ]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda server: (
                self._excludes(server, request, now),
                server.in_flight,
                -server.effective_capacity,
            ),
        )

    def _excludes(self, server: TrackedServer, request: TrackedRequest, now: int) -> bool:
        """Whether a server lately rejected the request's tenant, or may fail what must not be retried."""
        if server.reported_failure_rate > UNSAFE_FAILURE_RATE:
            unsafe = self.settings.classes[request.class_index].effect == Effect.UNSAFE
            # Where all others are full, the risk that it fails is better than a rejection.
            if unsafe and not self.load_shedder.servers_are_full(now):
                return True
        return bool(server.rejected_tenants) and server.rejected_tenants.get(request.tenant, 0) > now
