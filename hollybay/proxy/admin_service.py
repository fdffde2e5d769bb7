"""Admin service: carries out admin requests on a running node.

Requests drain servers and end these administrative drains, drain the node and put it back into service, and
read its state and metrics. Imported only where the configuration has an admin address.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Awaitable, Callable
from pathlib import Path

from hollybay.admin.administrative_drains import AdministrativeDrains, DrainFileError
from hollybay.admin.metrics import CONTENT_TYPE, MetricsCollector, NodeMetrics
from hollybay.admin.requests import AdminOperation, AdminRequest
from hollybay.balancing.interface import ListKind, ServerId, ServerList, ServerState
from hollybay.proxy.downstream.listener import ClientListener

from . import system
from .addresses import Address
from .admin_server import AdminResponse, AdminServer
from .config import Config
from .consensus_port import PolicyRequestHandler
from .drain_file import DrainFile
from .name_table import DiscoveryUpdate
from .node_drain import NodeDrain
from .request_dispatcher import RequestDispatcher

__all__ = ["AdminService"]

log = logging.getLogger("hollybay.proxy")

# Interval at which a process reads the drains that another process of its node has written.
DRAIN_FILE_POLL_INTERVAL_S = 0.2
NODE_TAG_BYTES = 6


class AdminService:
    """Admin server of a node, the administrative drains of servers, and the drain of the node itself.

    Parameters
    ----------
    config
        Configuration of the node; `admin` is the address to listen on.
    clients
        Downstream side of the node, whose readiness and connections the drain of the node controls.
    node
        Data plane of the node, which gets the drains and is read for metrics.

    Attributes
    ----------
    policy_handler
        Handler of policy requests; None unless the node takes part in a replicated policy, which then also
        decides the administrative drains.
    name, folder
        Name and folder of the files that the processes of this node share; no folder if None.
    """

    def __init__(self, config: Config, clients: ClientListener, node: RequestDispatcher) -> None:
        self.config = config
        self.clients = clients
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.drains = AdministrativeDrains()
        self.node_drain = NodeDrain(clients, node)
        self.server = AdminServer(self.handle)
        self.metrics = MetricsCollector(self.take_metrics)
        self.policy_handler: PolicyRequestHandler | None = None
        self.name = f"hollybay-{_node_tag(config)}"
        self.folder = Path(config.scratch_folder) if config.scratch_folder else None
        self.drain_file = DrainFile(self.folder, self.name)
        self._addresses: dict[str, Address] = {}  # of the discovered servers, by id
        self._poll_timer: asyncio.TimerHandle | None = None
        self._handlers: dict[
            AdminOperation, Callable[[AdminRequest], AdminResponse | Awaitable[AdminResponse]]
        ] = {
            AdminOperation.READY: self._handle_ready,
            AdminOperation.METRICS: self._handle_metrics,
            AdminOperation.SERVERS: self._handle_servers,
            AdminOperation.DRAIN_SERVER: self._handle_drain_server,
            AdminOperation.ENABLE_SERVER: self._handle_enable_server,
            AdminOperation.DRAIN_NODE: self._handle_drain_node,
            AdminOperation.RESUME_NODE: self._handle_resume_node,
            AdminOperation.POLICY: self._handle_policy,
        }
        node.overlay = self.apply_drains
        if config.known_servers is not None:
            self.apply_drains(config.known_servers)

    async def open(self) -> int:
        """Apply the drains that another process of this node left, and listen; returns the port."""
        assert self.config.admin is not None
        self._poll_drain_file()
        host, port = self.config.admin
        port = await self.server.open(host, port)
        log.info("admin server: address=%s:%d", host, port)
        return port

    def close(self) -> None:
        """Close the admin server and stop all timers."""
        self.server.close()
        self.node_drain.close()
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    # Admin requests

    def handle(self, request: AdminRequest) -> AdminResponse | Awaitable[AdminResponse]:
        """Carry out a request and return its response, or an awaitable of it for policy requests."""
        return self._handlers[request.operation](request)

    def _handle_ready(self, _request: AdminRequest) -> AdminResponse:
        if self.clients.is_healthy:
            return AdminResponse.text(200, "ready")
        return AdminResponse.text(503, "not ready")

    def _handle_metrics(self, _request: AdminRequest) -> AdminResponse:
        return AdminResponse(200, self.metrics.render(), CONTENT_TYPE)

    def _handle_servers(self, _request: AdminRequest) -> AdminResponse:
        return AdminResponse.json(200, self.describe_servers())

    def _handle_drain_server(self, request: AdminRequest) -> AdminResponse:
        return self._change_drain(request.server, drained=True)

    def _handle_enable_server(self, request: AdminRequest) -> AdminResponse:
        return self._change_drain(request.server, drained=False)

    def _handle_drain_node(self, _request: AdminRequest) -> AdminResponse:
        self.node_drain.begin()
        return AdminResponse.text(200, "draining")

    def _handle_resume_node(self, _request: AdminRequest) -> AdminResponse:
        if self.clients.is_shutting_down:
            return AdminResponse.text(409, "the process ends")
        self.node_drain.end()
        return AdminResponse.text(200, "in service")

    def _handle_policy(self, request: AdminRequest) -> AdminResponse | Awaitable[AdminResponse]:
        if self.policy_handler is None:
            return AdminResponse.text(404, "no such call")
        return self.policy_handler.answer(request)

    def describe_servers(self) -> list[dict[str, object]]:
        """Describe each discovered or drained server and what is in force for it."""
        server_ids = sorted({*self.drains.discovered, *self.drains.drained}, key=str)
        return [self._describe_server(server_id) for server_id in server_ids]

    def _describe_server(self, server_id: ServerId) -> dict[str, object]:
        server = self.drains.discovered.get(server_id)
        drained = server_id in self.drains.drained
        return {
            "id": str(server_id),
            "state": server.state.name if server is not None else "UNKNOWN",
            "disabled": drained,
            "avoided": drained or self.node.balancer.avoids(server_id),
        }

    # Administrative drains of servers

    def apply_drains(self, update: DiscoveryUpdate) -> DiscoveryUpdate:
        """Record an update of discovery and return it with the drains applied."""
        if update.servers.kind != ListKind.CHANGES:
            self._addresses.clear()
        self._addresses.update(update.addresses)
        for server in update.servers.servers:
            if server.state == ServerState.GONE:
                self._addresses.pop(str(server.id), None)
        return DiscoveryUpdate(self.drains.update(update.servers), update.addresses)

    def set_policy_drains(self, drained: set[ServerId]) -> None:
        """Drain exactly the servers that the replicated policy drains."""
        if drained != self.drains.drained:
            self._set_drained(drained)

    def _change_drain(self, server_id: str, drained: bool) -> AdminResponse:
        if self.policy_handler is not None:
            return AdminResponse.text(
                409, "this node is in an accord: hollybay policy propose --out SERVER, or --in"
            )
        with self.drain_file.locked():
            self._read_drain_file()
            if not self.drains.is_known(server_id):
                return AdminResponse.text(404, "no such server")
            in_force = self.drains.drained
            wanted = in_force | {server_id} if drained else in_force - {server_id}
            if wanted != in_force:
                # Persisted first: a drain that was confirmed holds for the next process of the node.
                try:
                    self.drain_file.write(wanted)
                except OSError as error:
                    log.error("administrative drains not persisted: %s", error)
                    return AdminResponse.text(500, "cannot be kept")
                self._set_drained(wanted)
                log.info("administrative drain %s: server=%s", "began" if drained else "ended", server_id)
        return AdminResponse.text(200, "out" if drained else "in use")

    def _set_drained(self, drained: set[ServerId]) -> None:
        changed = self.drains.set_drained(drained, system.monotonic_ns())
        if changed:
            addresses = {str(server.id): self._addresses[str(server.id)] for server in changed}
            self.node.apply_update(DiscoveryUpdate(ServerList(ListKind.CHANGES, changed), addresses))

    def _read_drain_file(self) -> None:
        """Apply the drain file if it changed; an invalid file is logged and changes nothing."""
        if self.policy_handler is not None:
            return
        try:
            drained = self.drain_file.read_if_changed()
        except (OSError, DrainFileError) as error:
            log.error("%s: %s; the drains in force stay", self.drain_file.path, error)
            return
        if drained is not None:
            self._set_drained(set(drained))

    def _poll_drain_file(self) -> None:
        self._read_drain_file()
        if self.folder is not None:
            self._poll_timer = self.loop.call_later(DRAIN_FILE_POLL_INTERVAL_S, self._poll_drain_file)

    # Metrics

    def take_metrics(self) -> NodeMetrics:
        """Return a snapshot of the node's metrics."""
        counters = self.node.counters
        return NodeMetrics(
            classes=[request_class.name for request_class in self.node.settings.classes],
            served=counters.served,
            rejected=counters.rejected,
            failed=counters.failed,
            attempts=self.node.pools.written,
            in_flight=self.node.unanswered,
            servers_known=len(self.drains.discovered),
            servers_excluded=self.drains.count_excluded(self.node.balancer.avoids),
            reloads_ok=counters.reloads_ok,
            reloads_failed=counters.reloads_failed,
        )


def _node_tag(config: Config) -> str:
    """Hash of what tells a node apart from others that use the same folder."""
    identity = repr((config.name, config.listen)).encode()
    return hashlib.blake2b(identity, digest_size=NODE_TAG_BYTES).hexdigest()
