"""Admin service: carries out admin requests on a running node.

Requests begin and end administrative drains of servers, drain the node and put it back into service, and read
its state and metrics. Imported only if the configuration has an admin address.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path

from hollybay.admin.metrics import CONTENT_TYPE, MetricsCollector, NodeMetrics
from hollybay.admin.requests import AdminOperation, AdminRequest
from hollybay.admin.responses import AdminResponse
from hollybay.balancing.interface import ServerId
from hollybay.proxy.downstream.listener import ClientListener

from .accounts import DiscrepancyTracker, balances
from .admin_server import AdminServer
from .config import Config
from .drain_file import DrainFile
from .node_drain import NodeDrain
from .policy_requests import PolicyRequestHandler
from .request_dispatcher import RequestDispatcher
from .server_drains import DrainNotPersistedError, ServerDrains, UnknownServerError

__all__ = ["AdminService"]

log = logging.getLogger("hollybay.proxy")

# Interval at which the drain file, which other processes of the node may write, is checked for changes.
DRAIN_FILE_POLL_INTERVAL_S = 0.2
NODE_TAG_BYTES = 6
# Interval of the check of the accounts of the node, and how long an entry may be wrong before it is logged.
ACCOUNT_CHECK_INTERVAL_S = 5.0
ACCOUNT_TOLERANCE_S = 10.0


class AdminService:
    """Admin server of a node, the administrative drains of servers, and the drain of the node itself.

    Parameters
    ----------
    config
        Configuration of the node; `admin` is the address to listen on.
    clients
        Downstream side of the node, whose readiness and connections the drain of the node controls.
    dispatcher
        Request dispatcher of the node, which applies the drains and provides metrics.

    Attributes
    ----------
    policy_handler
        Handler of policy requests; None unless the node replicates its policy. A replicated policy also
        determines the administrative drains.
    name, folder
        Name and folder of the files that the processes of this node share; `folder` is None if there are
        none.
    """

    def __init__(self, config: Config, clients: ClientListener, dispatcher: RequestDispatcher) -> None:
        self.config = config
        self.clients = clients
        self.dispatcher = dispatcher
        self.loop = asyncio.get_running_loop()
        self.node_drain = NodeDrain(clients, dispatcher)
        self.server = AdminServer(self.handle)
        self.metrics = MetricsCollector(self.collect_metrics)
        self.policy_handler: PolicyRequestHandler | None = None
        self.name = f"hollybay-{_node_tag(config)}"
        self.folder = Path(config.scratch_folder) if config.scratch_folder else None
        self.server_drains = ServerDrains(dispatcher, DrainFile(self.folder, self.name))
        self._poll_timer: asyncio.TimerHandle | None = None
        self._account_tracker = DiscrepancyTracker(ACCOUNT_TOLERANCE_S)
        self._account_timer: asyncio.TimerHandle | None = None
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
        dispatcher.apply_drains = self.server_drains.apply
        if config.known_servers is not None:
            self.server_drains.apply(config.known_servers)

    async def open(self) -> int:
        """Apply the drain file, which another process of this node may have written, and listen.

        Returns
        -------
        int
            Port that it listens on.
        """
        assert self.config.admin is not None
        self._poll_drain_file()
        self._check_accounts()
        host, port = self.config.admin
        port = await self.server.open(host, port)
        log.info("admin server: address=%s:%d", host, port)
        return port

    def close(self) -> None:
        """Close the admin server and stop all timers."""
        self.server.close()
        self.node_drain.close()
        for timer in (self._poll_timer, self._account_timer):
            if timer is not None:
                timer.cancel()

    # Admin requests

    def handle(self, request: AdminRequest) -> AdminResponse | Awaitable[AdminResponse]:
        """Carry out a request and return its response, or an awaitable of it for policy requests."""
        return self._handlers[request.operation](request)

    def _handle_ready(self, _request: AdminRequest) -> AdminResponse:
        if self.clients.is_healthy:
            return AdminResponse.text(HTTPStatus.OK, "ready")
        return AdminResponse.text(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")

    def _handle_metrics(self, _request: AdminRequest) -> AdminResponse:
        return AdminResponse(HTTPStatus.OK, self.metrics.render(), CONTENT_TYPE)

    def _handle_servers(self, _request: AdminRequest) -> AdminResponse:
        return AdminResponse.json(HTTPStatus.OK, self.server_drains.describe())

    def _handle_drain_server(self, request: AdminRequest) -> AdminResponse:
        return self._change_drain(request.server, drained=True)

    def _handle_enable_server(self, request: AdminRequest) -> AdminResponse:
        return self._change_drain(request.server, drained=False)

    def _handle_drain_node(self, _request: AdminRequest) -> AdminResponse:
        self.node_drain.begin()
        return AdminResponse.text(HTTPStatus.OK, "draining")

    def _handle_resume_node(self, _request: AdminRequest) -> AdminResponse:
        if self.clients.is_shutting_down:
            return AdminResponse.text(HTTPStatus.CONFLICT, "the process ends")
        self.node_drain.end()
        return AdminResponse.text(HTTPStatus.OK, "in service")

    def _handle_policy(self, request: AdminRequest) -> AdminResponse | Awaitable[AdminResponse]:
        if self.policy_handler is None:
            return AdminResponse.text(HTTPStatus.NOT_FOUND, "no such call")
        return self.policy_handler.handle_policy_request(request)

    # Administrative drains of servers

    def set_policy_drains(self, drained: set[ServerId]) -> None:
        """Drain exactly the given servers, as the replicated policy requires."""
        if drained != self.server_drains.drains.drained:
            self.server_drains.set_drained(drained)

    def _change_drain(self, server_id: str, drained: bool) -> AdminResponse:
        if self.policy_handler is not None:
            return AdminResponse.text(
                HTTPStatus.CONFLICT,
                "this node is in an accord: hollybay policy propose --out SERVER, or --in",
            )
        try:
            self.server_drains.change(server_id, drained)
        except UnknownServerError:
            return AdminResponse.text(HTTPStatus.NOT_FOUND, "no such server")
        except DrainNotPersistedError:
            return AdminResponse.text(HTTPStatus.INTERNAL_SERVER_ERROR, "cannot be kept")
        return AdminResponse.text(HTTPStatus.OK, "out" if drained else "in use")

    def _poll_drain_file(self) -> None:
        if self.policy_handler is None:
            self.server_drains.read_file()
        if self.folder is not None:
            self._poll_timer = self.loop.call_later(DRAIN_FILE_POLL_INTERVAL_S, self._poll_drain_file)

    # Metrics

    def _check_accounts(self) -> None:
        """Log each count of the node that differs from what it stands for, once for as long as it does."""
        self._account_timer = self.loop.call_later(ACCOUNT_CHECK_INTERVAL_S, self._check_accounts)
        for discrepancy in self._account_tracker.check(self, self.loop.time()):
            log.error("account %s", discrepancy)

    def collect_metrics(self) -> NodeMetrics:
        """Return a snapshot of the node's metrics."""
        counters = self.dispatcher.counters
        rejections = self.dispatcher.balancer.load_shedder.rejections
        return NodeMetrics(
            classes=[request_class.name for request_class in self.dispatcher.settings.classes],
            served=counters.served,
            rejected=counters.rejected,
            failed=counters.failed,
            attempts=self.dispatcher.pools.attempts_written,
            stalled_clients=counters.stalled_clients,
            stalled_servers=self.dispatcher.pools.stalled_streams,
            in_flight=self.dispatcher.unfinished_requests,
            servers_known=len(self.server_drains.drains.discovered),
            servers_excluded=self.server_drains.drains.count_excluded(self.dispatcher.balancer.avoids),
            reloads_ok=counters.reloads_ok,
            reloads_failed=counters.reloads_failed,
            rejection_causes={cause.value: count for cause, count in rejections.items()},
            accounts={
                account.name: (balance.counted, balance.expected)
                for account, balance in balances(self).items()
            },
        )


def _node_tag(config: Config) -> str:
    """Return a hash that distinguishes the node from others that use the same folder."""
    identity = repr((config.name, config.listen)).encode()
    return hashlib.blake2b(identity, digest_size=NODE_TAG_BYTES).hexdigest()
