"""Server selection by speed-aware join-idle-queue (SA-JIQ).

An attempt goes to a uniformly random idle server of the fastest speed class that has one, else to a server
drawn by capacity. A node sees only its own share of the traffic and may take a busy server for an idle one.
For this reason each server is in the idle index of a few nodes only, which then know most of its attempts in
flight (`pool_builder`).
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

# The largest number of picks in search of a server that is not excluded for the request and has not been
# tried.
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
        Provides the queueing delay.
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
        self.local, self.remote, self.largest_size = self.builder.empty_pools()
        self.keepalive = int(IDLE_CLOSE_SHARE * settings.idle_timeout)  # ns
        self.reporting_peers = 0  # other nodes that report their load

    @property
    def has_remote(self) -> bool:
        """Whether there are servers in remote zones."""
        return bool(self.remote.speed_classes)

    # Updates

    def rebuild(self, now: int) -> None:
        """Rebuild the pools; called at each review and after each server list."""
        self.local, self.remote, self.largest_size = self.builder.build(now, self.reporting_peers)

    def schedule_idle(self, server: TrackedServer, now: int) -> None:
        """List a server as idle again from its `idle_from` time on."""
        schedule_idle(server, now, next(self.tie_breaks))

    def apply_peer_load(self, event: PeerLoad, now: int) -> None:
        """Update the attempts in flight that other nodes report, and with them which servers are idle."""
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
        """Stop sending to a server until a review finds that its ejection is over."""
        remove_from_idle(server)
        server.speed_class = None

    # Selection

    def pick_idle_local(self, now: int) -> TrackedServer | None:
        """Return an idle server of the fastest local speed class that has one."""
        return self.local.pick_idle(now)

    def pick(self, request: TrackedRequest, now: int) -> TrackedServer | None:
        """Return a server for an attempt that may go anywhere; None if no server may be used."""
        attempts = request.attempts
        if self.endpoints.ready_after_drain and not attempts:
            drained = self._pick_ready_after_drain(request, now)
            if drained is not None:
                return drained
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
        """Return a server; for a share of requests, remote zones are tried first."""
        server: TrackedServer | None = None
        if remote_share > 0.0 and self.random.random() < remote_share:
            server = self._pick_remote(now)
        if server is None:
            server = self.local.pick_idle(now) or self._draw_local(request, now)
        return server or self._pick_remote(now)

    def _draw_local(self, request: TrackedRequest, now: int) -> TrackedServer | None:
        """Return a local server drawn by capacity; if it is busy, a remote one where that is worth it."""
        server = self.local.draw(now, self.keepalive)
        if server is None or not server.in_flight or not self.remote.speed_classes:
            return server
        if self.estimates.zone_reachability.remote_unreachable:
            return server
        return self.cross_zone.prefer(request.class_index, server, self._pick_remote(now))

    def _pick_remote(self, now: int) -> TrackedServer | None:
        return self.remote.pick_idle(now) or self.remote.draw(now, self.keepalive)

    def _pick_ready_after_drain(self, request: TrackedRequest, now: int) -> TrackedServer | None:
        """Return a server that has become ready after draining; each one is returned only once.

        Its present state is unknown, and the other picks may not reach a slow or remote server for a long
        time.
        """
        ready_after_drain = self.endpoints.ready_after_drain
        while ready_after_drain:
            server = self.endpoints.servers.get(ready_after_drain[-1])
            if server is None or server.state != ServerState.READY:
                ready_after_drain.pop()
                continue
            if server.speed_class is None or server.in_flight:
                return None
            if max(server.idle_from, server.slow_start_send_at) > now:
                return None
            if self._excludes(server, request, now):
                return None
            ready_after_drain.pop()
            return server
        return None

    def pick_within(self, request: TrackedRequest, scope: RetryScope, now: int) -> TrackedServer | None:
        """Return an untried server within a scope; keyed retries are rare, so all servers are scanned."""
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
        """Whether a server recently rejected the tenant, or may fail a request that must not be retried."""
        if server.reported_failure_rate > UNSAFE_FAILURE_RATE:
            unsafe = self.settings.classes[request.class_index].effect == Effect.UNSAFE
            # While all servers are saturated, the risk of a failure is better than a rejection.
            if unsafe and not self.load_shedder.servers_are_saturated(now):
                return True
        return bool(server.rejected_tenants) and server.rejected_tenants.get(request.tenant, 0) > now
