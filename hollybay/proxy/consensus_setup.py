"""Set-up of the node's consensus member from its configuration and its operator file.

Imported only if the operator file has an [accord] table.
"""

from __future__ import annotations

from pathlib import Path

from hollybay.consensus.interfaces import MemberSettings
from hollybay.consensus.messages import MAX_CALL_BYTES
from hollybay.proxy.downstream.listener import ClientListener
from hollybay.routing.schema import ConsensusTable

from .admin_service import AdminService
from .config import Config, ConfigError
from .consensus_member import ConsensusMember
from .operator_file import OperatorFile

__all__ = [
    "MAX_POLICY_CONNECTIONS",
    "POLICY_BACKLOG",
    "create_consensus_member",
    "member_settings",
    "required_descriptors",
]

# Bounds of the number of connections of the admin server: all nodes of a large cluster call when an epoch is
# decided.
MIN_POLICY_CONNECTIONS = 16
MAX_POLICY_CONNECTIONS = 256
SOCKETS_PER_POLICY_CONNECTION = 4  # sockets of the node for each connection, within the bounds
MAX_OUTGOING_CALLS = 40  # concurrent calls of the member to others
# Length of the kernel's accept queue. Hundreds of connections arrive at once when an epoch is decided, and
# the kernel retries a connect only after a second if the queue is full.
POLICY_BACKLOG = 1024

ANY_HOSTS = frozenset({"0.0.0.0", "::"})


def required_descriptors(sockets: int) -> int:
    """Return how many file descriptors consensus needs on a node with a limit of sockets."""
    return _max_connections(sockets) + MAX_OUTGOING_CALLS


def _max_connections(sockets: int) -> int:
    wanted = sockets // SOCKETS_PER_POLICY_CONNECTION
    return min(MAX_POLICY_CONNECTIONS, max(MIN_POLICY_CONNECTIONS, wanted))


def member_settings(table: ConsensusTable, config: Config) -> MemberSettings:
    """Derive the settings of the member from the [accord] table and the configuration.

    Raises
    ------
    ConfigError
        The configuration has no admin address that other nodes can use, or no usable name.
    """
    if config.admin is None:
        raise ConfigError("admin: missing, but required by the operator file's [accord]")
    host, port = config.admin
    if table.address is None and (host in ANY_HOSTS or not port):
        raise ConfigError(f"admin: {host}:{port} is no address of one node, at which others can call it")
    if not config.name or "/" in config.name or config.name.startswith("."):
        raise ConfigError(f"name: {config.name!r} is no name of a folder, which [accord] needs")
    return MemberSettings(
        name=config.name,
        address=table.address or (f"[{host}]:{port}" if ":" in host else f"{host}:{port}"),
        voters=tuple(sorted(table.voters)),
        lease_ns=table.lease,
        grace_ns=table.grace if table.after_expiry == "narrow" else 0,
        folder=Path(table.folder),
    )


def create_consensus_member(
    settings: MemberSettings,
    config: Config,
    operator_file: OperatorFile,
    clients: ClientListener,
    admin_service: AdminService,
) -> ConsensusMember:
    """Create the consensus member of a node and connect it to the node's parts, without starting it.

    The admin server must not be open yet, as its limits are raised for policy requests.
    """
    server = admin_service.server
    server.max_policy_request_bytes = MAX_CALL_BYTES
    server.max_connections = _max_connections(config.sockets)
    server.backlog = POLICY_BACKLOG
    member = ConsensusMember(settings, config.settings, operator_file.admission, admin_service)
    admin_service.policy_handler = member
    clients.policy_agreement = member
    return member
