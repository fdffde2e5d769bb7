"""Pools of connections to servers: select a connection for each attempt, and close idle connections."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from itertools import takewhile

from hollybay.balancing import interface as api
from hollybay.units import SECOND

from .. import system
from ..addresses import Address
from ..discovery_list import DiscoveryUpdate
from ..http_messages import names_not_forwarded
from ..memory_budget import MemoryBudget
from ..name_table import NameTable
from ..parse_turns import ParseTurns
from .attempt import UpstreamAttempt
from .connection import ServerConnection
from .connector import Establish, connect, establish
from .endpoint import Endpoint, PooledConnection
from .health_check import HEALTH_CHECK_LIMIT_NS, health_check
from .request_sender import connection_cost
from .states import UpstreamConnectionState

__all__ = ["DRAIN_GRACE_SHARE", "MAX_UNSETTLED", "UpstreamPools"]

log = logging.getLogger("hollybay.proxy")

# If a server has this many idle connections and none has settled, no other connection is opened: the request
# waits for the one that has been idle longest, which takes less than SETTLE_S.
MAX_UNSETTLED = 4
SWEEP_INTERVAL_S = 0.25  # between two checks for connections that have been idle too long
# Share of the drain grace period after which attempts that are not completely written are ended.
DRAIN_GRACE_SHARE = 0.75


class UpstreamPools:
    """The known servers, and the connections to them.

    Parameters
    ----------
    settings
        Settings of the balancer.
    names
        Table of the names on the wire.
    limit
        Maximum number of connections to servers.
    memory
        Memory budget of all connections, those of clients included.
    """

    def __init__(self, settings: api.Settings, names: NameTable, limit: int, memory: MemoryBudget) -> None:
        self.settings = settings
        self.memory = memory
        self.attempts_written = 0  # number of attempts whose request was completely written, since the start
        self.stalled_streams = 0  # number of streamed responses whose server sent nothing for too long
        self.names = names
        self.limit = limit
        self.load_report_header = b"x-backend-load"
        self.headers_not_forwarded = names_not_forwarded((self.load_report_header, b"x-unprocessed"))
        self.establish: Establish = establish
        self.loop = asyncio.get_running_loop()
        self.parse_turns = ParseTurns(self.loop)  # of the clients' connections, too
        self.endpoints: dict[api.ServerId, Endpoint] = {}
        # The server that was listed last at each address; also one that was removed, while attempts at it are
        # still to be written.
        self.at_address: dict[Address, Endpoint] = {}
        self._replaced: list[Endpoint] = []
        self.connections: set[ServerConnection] = set()
        # Idle connections and the time (s, clock of the event loop) since which they are idle, longest first.
        self.idle_since: OrderedDict[PooledConnection, float] = OrderedDict()
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.opening: set[UpstreamAttempt] = set()  # attempts whose connection is still being opened

    def apply(self, update: DiscoveryUpdate) -> None:
        """Apply a server list: update addresses, and drain servers that drain, are gone or have moved."""
        if update.servers.kind != api.ListKind.CHANGES:
            for server_id in [known for known in self.endpoints if known not in update.addresses]:
                self._remove(server_id)
        for server in update.servers.servers:
            self._apply_server(server, update.addresses[str(server.id)])

    def _apply_server(self, server: api.Server, address: Address) -> None:
        """Apply one entry of a server list."""
        endpoint = self.endpoints.get(server.id)
        if endpoint is not None and endpoint.address != address:
            self._remove(server.id)
            endpoint = None
        if server.state == api.ServerState.GONE:
            if endpoint is not None:
                self._remove(server.id)
            return
        if endpoint is None:
            endpoint = self._add(Endpoint(server.id, address, server.up_since))
        elif endpoint.up_since != server.up_since:
            endpoint.up_since = server.up_since
            self._close_idle(endpoint)  # they lead to the process that was there before
        if server.state == api.ServerState.DRAINING:
            self._drain(endpoint)
        elif endpoint.drain_timer is not None:
            endpoint.drain_timer.cancel()
            endpoint.drain_timer = None

    def _add(self, endpoint: Endpoint) -> Endpoint:
        """Add a server; from now on nothing is sent to another one that had its address before."""
        self.endpoints[endpoint.id] = endpoint
        replaced = self.at_address.get(endpoint.address)
        self.at_address[endpoint.address] = endpoint
        if replaced is not None:
            is_listed = self.endpoints.get(replaced.id) is replaced
            endpoint.replaces = replaced if is_listed else None
            replaced.is_replaced = True
            self._close_idle(replaced)
            self._replaced.append(replaced)
        return endpoint

    def end_replaced_attempts(self) -> None:
        """End the attempts at servers whose address now has another one, once the balancer knows the list.

        A connection that is being opened for them would reach that one.
        """
        replaced, self._replaced = self._replaced, []
        for endpoint in replaced:
            self._end_unwritten_attempts(endpoint)

    def _remove(self, server_id: api.ServerId) -> None:
        """Remove a server; one that is still listed at its address gets that back."""
        endpoint = self.endpoints.pop(server_id)
        self._drain(endpoint)
        replaced, endpoint.replaces = endpoint.replaces, None
        latest = self.at_address.get(endpoint.address)
        if latest is not endpoint:
            while latest is not None and latest.replaces is not endpoint:
                latest = latest.replaces
            if latest is not None:
                latest.replaces = replaced
        elif replaced is not None:
            replaced.is_replaced = False
            self.at_address[endpoint.address] = replaced
        elif endpoint.unwritten_attempts:
            grace = DRAIN_GRACE_SHARE * self.settings.drain_grace / SECOND
            self.loop.call_later(grace, self._forget_address, endpoint)
        else:
            self._forget_address(endpoint)

    def _forget_address(self, endpoint: Endpoint) -> None:
        """Forget a removed server's address, unless another server has it by now."""
        if self.at_address.get(endpoint.address) is endpoint:
            del self.at_address[endpoint.address]

    @staticmethod
    def _close_idle(endpoint: Endpoint) -> None:
        for connection in list(endpoint.idle):
            connection.close()

    def _drain(self, endpoint: Endpoint) -> None:
        self._close_idle(endpoint)
        if endpoint.drain_timer is None:
            grace = DRAIN_GRACE_SHARE * self.settings.drain_grace / SECOND
            endpoint.write_cutoff = self.loop.time() + grace
            endpoint.drain_timer = self.loop.call_later(grace, self._end_unwritten_attempts, endpoint)

    def _end_unwritten_attempts(self, endpoint: Endpoint) -> None:
        # A request that is still being written after the grace period would reach a server that has drained.
        for attempt in list(endpoint.unwritten_attempts):
            attempt.end(api.Result.NOT_DELIVERED)

    def send(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt."""
        endpoint = self.endpoints.get(attempt.server)
        if endpoint is None or endpoint.is_replaced:
            attempt.end(api.Result.NOT_SENT)
            return
        attempt.unwritten_attempts = endpoint.unwritten_attempts
        endpoint.unwritten_attempts[attempt] = None
        connection = self._pick_idle(endpoint)
        if connection is not None:
            self.remove_idle(connection)
            connection.stop_timer()
            connection.begin(attempt)
            return
        if self._is_full():
            if not self.idle_since:
                # NOT_SENT, as the node lacks a descriptor, which is no failure of the server.
                log.warning("cannot open a connection to a server: the limit of connections is reached")
                attempt.end(api.Result.NOT_SENT)
                return
            next(iter(self.idle_since)).close()
        self.opening.add(attempt)
        attempt.connecting = self.loop.create_task(self._connect(endpoint, attempt))
        # Not in a `finally` of the task, as a task that is cancelled before its first step never runs it.
        attempt.connecting.add_done_callback(lambda _: self.opening.discard(attempt))

    def _is_full(self) -> bool:
        """Whether the limit of connections is reached."""
        return len(self.connections) + len(self.opening) >= self.limit

    def _pick_idle(self, endpoint: Endpoint) -> PooledConnection | None:
        """Return the idle connection for the next attempt; None if a connection is to be opened."""
        while endpoint.idle:
            connection = self._pick_settled(endpoint.idle)
            if not connection.is_alive():
                connection.close()
                continue
            hold = connection.settle_time_left()
            if hold <= 0.0 or len(endpoint.idle) >= MAX_UNSETTLED or self._is_full():
                return connection
            return (
                connection if endpoint.hold_budget.allows(hold, connection_cost(), self.loop.time()) else None
            )
        return None

    def _pick_settled(self, idle: list[PooledConnection]) -> PooledConnection:
        """Return the most recently used idle connection that has settled, or else the next one to settle."""
        now = self.loop.time()
        for connection in reversed(idle):
            if connection.is_settled(now):
                return connection
        return min(reversed(idle), key=lambda connection: connection.response_ended_at)

    async def _connect(self, endpoint: Endpoint, attempt: UpstreamAttempt) -> None:
        try:
            sock = system.tcp_socket(endpoint.address[0])
        except OSError as error:
            # NOT_SENT, as the node lacks a descriptor, which is no failure of the server. If the exception
            # were propagated, the attempt and its request would not end before their deadline.
            log.warning("cannot create a socket for a connection to a server: %s", error)
            attempt.connecting = None
            attempt.end(api.Result.NOT_SENT)
            return
        sock.setblocking(False)
        connection = ServerConnection(self, endpoint, attempt, sock)
        try:
            await self._open(connection, attempt)
        except OSError:  # includes TimeoutError
            attempt.connecting = None
            attempt.end(api.Result.NOT_DELIVERED)
            return
        if connection.state is UpstreamConnectionState.CLOSED:
            attempt.end(api.Result.NOT_DELIVERED)
        elif attempt.result is not None:
            connection.keep()
        else:
            connection.begin(attempt)

    async def _open(self, connection: ServerConnection, attempt: UpstreamAttempt) -> None:
        """Connect a connection's socket and create its transport; whatever fails leaves neither behind."""
        sock, address = connection.sock, connection.endpoint.address
        try:
            limit = self.settings.connect_timeout / SECOND
            await connect(sock, address, limit, self.establish)
            # From here on, the end of the attempt does not cancel this task. The event loop would close the
            # transport without calling `connection_lost`, and the connection would be counted forever.
            attempt.connecting = None
            await self.loop.create_connection(lambda: connection, sock=sock)
        except BaseException:
            sock.close()
            self.connection_closed(connection)
            raise

    def add_idle(self, connection: PooledConnection) -> None:
        """Add an idle connection to the pool of its server, or close it if the server drains."""
        if connection.endpoint.drain_timer is not None or connection.endpoint.is_replaced:
            connection.close()
            return
        connection.set_reading(True)
        connection.endpoint.idle.append(connection)
        self.idle_since[connection] = connection.response_ended_at
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that have been idle for most of the time that servers allow."""
        self.sweep_timer = None
        before = (
            self.loop.time() + SWEEP_INTERVAL_S - api.IDLE_CLOSE_SHARE * self.settings.idle_timeout / SECOND
        )
        for connection in list(
            takewhile(lambda connection: self.idle_since[connection] <= before, self.idle_since)
        ):
            connection.close()
        if self.idle_since:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def remove_idle(self, connection: PooledConnection) -> None:
        """Remove a connection from the pool, if it is there."""
        if connection in self.idle_since:
            del self.idle_since[connection]
            connection.endpoint.idle.remove(connection)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove a connection that is closed."""
        connection.account.close()
        self.remove_idle(connection)
        self.connections.discard(connection)

    def close_idle(self, server: api.ServerId) -> None:
        """Close the idle connections to one server."""
        endpoint = self.endpoints.get(server)
        if endpoint is not None:
            self._close_idle(endpoint)

    def probe(self, server: api.ServerId, feed: Callable[[api.Event], None]) -> None:
        """Check the health of a server, and request its load report if reports are polled."""
        reports = self.settings.report_mode == api.ReportMode.PROBES
        endpoint = self.endpoints.get(server)
        host = endpoint.address[0].encode() if endpoint is not None else b""
        attempt = health_check(server, host, reports, self.names, feed)
        limit = HEALTH_CHECK_LIMIT_NS / SECOND
        attempt.timer = self.loop.call_later(limit, attempt.end, api.Result.TIMEOUT)
        self.send(attempt)
