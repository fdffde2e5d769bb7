"""Assembly of a node from its configuration and its operator file.

Optional parts are imported only if the configuration or the operator file requires them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from hollybay.proxy.downstream.client_context import ACCEPT_BATCH
from hollybay.proxy.downstream.listener import ClientListener

from .config import Config, ConfigError
from .discovery import NO_VERSION, DiscoveryClient
from .memory_budget import CLIENT_CONNECTION_BYTES, SERVER_CONNECTION_BYTES, MemoryBudget
from .request_dispatcher import RequestDispatcher
from .upstream.pools import UpstreamPools

if TYPE_CHECKING:
    from hollybay.routing.schema import ConsensusTable

    from .admin_service import AdminService
    from .consensus_member import ConsensusMember
    from .handover import ListenerGroup
    from .load_reports import LoadReportExchange
    from .operator_file import OperatorFile

__all__ = [
    "OPERATOR_VARIABLE",
    "AdminParts",
    "NodeParts",
    "assemble",
    "consensus_descriptors",
    "load_operator_file",
    "start_admin",
    "start_load_reports",
]

OPERATOR_VARIABLE = "HOLLYBAY_OPERATOR"

# File descriptors for the event loop, the log, the listening socket and discovery, for the connections that
# one iteration of the event loop accepts above the limit, and for those that are closed one iteration later.
BASE_DESCRIPTORS = 24 + 3 * ACCEPT_BATCH
ADMIN_DESCRIPTORS = 24  # for the admin server, its connections and files
MIN_REQUEST_DESCRIPTORS = 64  # minimum for clients and servers if consensus is used
# Shares of the remaining descriptors, for servers and for clients.
UPSTREAM_PARTS = 4
DOWNSTREAM_PARTS = 5
ALL_PARTS = UPSTREAM_PARTS + DOWNSTREAM_PARTS
# Connections to servers, and those from clients, may take one part in this many of the memory budget each.
CONNECTIONS_MEMORY_DIVISOR = 4


class NodeParts(NamedTuple):
    """The parts of a node that every configuration has."""

    clients: ClientListener
    dispatcher: RequestDispatcher
    discovery: DiscoveryClient


class AdminParts(NamedTuple):
    """The parts of a node with an admin address.

    Attributes
    ----------
    service
        The admin service, listening.
    listener_group
        The processes of this node that listen on its address; this one has not joined yet.
    consensus_member
        The node's consensus member, started; None if the node does not replicate its policy.
    """

    service: AdminService
    listener_group: ListenerGroup
    consensus_member: ConsensusMember | None

    def close(self) -> None:
        """Stop consensus, the sharing of ids, and the admin service."""
        if self.consensus_member is not None:
            self.consensus_member.close()
        self.listener_group.close()
        self.service.close()


def assemble(config: Config, reserved_descriptors: int = 0) -> NodeParts:
    """Assemble the parts of a node without starting them.

    Parameters
    ----------
    config
        Configuration of the node.
    reserved_descriptors
        File descriptors that optional parts need.
    """
    available = config.sockets - BASE_DESCRIPTORS - reserved_descriptors
    if config.admin is not None:
        available -= ADMIN_DESCRIPTORS
    memory = MemoryBudget(config.memory_budget)
    for_connections = config.memory_budget // CONNECTIONS_MEMORY_DIVISOR
    server_limit = min(available * UPSTREAM_PARTS // ALL_PARTS, for_connections // SERVER_CONNECTION_BYTES)
    client_limit = min(available * DOWNSTREAM_PARTS // ALL_PARTS, for_connections // CLIENT_CONNECTION_BYTES)
    pools = UpstreamPools(config.settings, config.names, server_limit, memory)
    dispatcher = RequestDispatcher(config.settings, config.seed, pools)
    clients = ClientListener(config, dispatcher, client_limit)
    known_servers = config.known_servers
    discovery = DiscoveryClient(
        config.discovery,
        config.names,
        dispatcher,
        on_demand=config.settings.poll_required,
        version=known_servers.servers.version if known_servers is not None else NO_VERSION,
    )
    dispatcher.discovery = discovery
    if known_servers is not None:
        dispatcher.receive_update(known_servers)
        discovery.list_available.set()
    return NodeParts(clients, dispatcher, discovery)


def load_operator_file(config: Config, environ: Mapping[str, str]) -> OperatorFile | None:
    """Load the operator file that the environment names; None if it names none.

    Raises
    ------
    ConfigError
        The file is invalid, or a package that it needs is not installed.
    """
    path = environ.get(OPERATOR_VARIABLE)
    if not path:
        return None
    try:
        from .operator_file import OperatorFile
    except ModuleNotFoundError as error:
        raise ConfigError(f"{OPERATOR_VARIABLE}: {path}: needs {error.name}, see the extra `cli`") from None
    return OperatorFile(path, config.settings, config.seed)


def consensus_descriptors(table: ConsensusTable | None, config: Config) -> int:
    """Return how many file descriptors consensus needs; 0 without an [accord] table.

    Raises
    ------
    ConfigError
        Too few descriptors would be left, or the node cannot take part in consensus.
    """
    if table is None:
        return 0
    try:
        from .consensus_setup import member_settings, required_descriptors
    except ModuleNotFoundError as error:
        raise ConfigError(f"[accord]: needs {error.name}, see the extra `accord`") from None
    member_settings(table, config)
    needed = required_descriptors(config.sockets)
    if config.sockets - BASE_DESCRIPTORS - ADMIN_DESCRIPTORS - needed < MIN_REQUEST_DESCRIPTORS:
        raise ConfigError(
            f"limits.sockets: {config.sockets} is too small, as the operator file's [accord] needs {needed}"
        )
    return needed


def start_load_reports(
    config: Config, operator_file: OperatorFile | None, dispatcher: RequestDispatcher
) -> LoadReportExchange | None:
    """Start the exchange of load reports if the operator file has a [peers] table.

    Raises
    ------
    ConfigError
        An address is missing, invalid or cannot be bound.
    """
    table = operator_file.admission.policy.peers if operator_file is not None else None
    if table is None:
        return None
    from .load_reports import LoadReportExchange, parse_peer_addresses

    addresses = parse_peer_addresses(config.peers, config.settings.nodes)
    exchange = LoadReportExchange(dispatcher, addresses, table.every, table.forget)
    dispatcher.load_reporter = exchange
    exchange.servers_changed(dispatcher.balancer.servers)
    return exchange


async def start_admin(
    config: Config,
    clients: ClientListener,
    dispatcher: RequestDispatcher,
    operator_file: OperatorFile | None = None,
) -> AdminParts | None:
    """Start the admin service, and consensus if the operator file has an [accord] table.

    Returns
    -------
    AdminParts or None
        None if the configuration has no admin address.

    Raises
    ------
    ConfigError
        A package that the service needs is not installed, or the folder of consensus cannot be used.
    OSError
        The address cannot be bound.
    """
    if config.admin is None:
        return None
    try:
        from .admin_service import AdminService
    except ModuleNotFoundError as error:
        raise ConfigError(f"admin: needs {error.name}, see requirements.txt") from None
    from .handover import ListenerGroup

    service = AdminService(config, clients, dispatcher)
    consensus_member = None
    if operator_file is not None and operator_file.consensus_table is not None:
        from .consensus_setup import create_consensus_member, member_settings

        settings = member_settings(operator_file.consensus_table, config)
        consensus_member = create_consensus_member(settings, config, operator_file, clients, service)
        await consensus_member.start()
    await service.open()
    return AdminParts(service, ListenerGroup(service.folder, service.name), consensus_member)
