"""Set-up of the node's consensus member from its configuration and its operator file.

Imported only where the operator file has an [accord] table.
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

# Connections of the admin server at once. All nodes of a large cluster call when an epoch is decided.
MIN_POLICY_CONNECTIONS = 16
MAX_POLICY_CONNECTIONS = 256
SOCKETS_PER_POLICY_CONNECTION = 4  # sockets of the node for each of them, between these bounds
MAX_OUTGOING_CALLS = 40  # calls of the member to others that are under way at once
# Connections that the kernel holds until they are accepted. Hundreds come at once when an epoch is decided,
# and a connect that finds the queue full is tried again a second later.
POLICY_BACKLOG = 1024

ANY_HOSTS = frozenset({"0.0.0.0", "::"})


def required_descriptors(sockets: int) -> int:
    """Return how many file descriptors consensus takes on a node with a limit of sockets."""
    return _max_connections(sockets) + MAX_OUTGOING_CALLS


def _max_connections(sockets: int) -> int:
    wanted = sockets // SOCKETS_PER_POLICY_CONNECTION
    return min(MAX_POLICY_CONNECTIONS, max(MIN_POLICY_CONNECTIONS, wanted))


def member_settings(table: ConsensusTable, config: Config) -> MemberSettings:
    """Derive the settings of the member from the [accord] table and the configuration.

    Raises
    ------
    ConfigError
        The configuration gives no address at which other nodes can call this one, or no usable name.
    """
    if config.admin is None:
        raise ConfigError("admin: missing, and the operator file's [accord] needs it")
    host, port = config.admin
    if table.address is None and (host in ANY_HOSTS or not port):
        raise ConfigError(f"admin: {host}:{port}: other nodes call there, and it is no address of one node")
    if not config.name or "/" in config.name or config.name.startswith("."):
        raise ConfigError(f"name: {config.name!r} names no folder, which the operator file's [accord] needs")
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
    """Create the consensus member of a node and connect it with the node's parts, without starting it.

    The admin server must not be open yet: its limits are raised to those of policy requests.
    """
    server = admin_service.server
    server.max_policy_request_bytes = MAX_CALL_BYTES
    server.max_connections = _max_connections(config.sockets)
    server.backlog = POLICY_BACKLOG
    member = ConsensusMember(settings, config.settings, operator_file.admission, admin_service)
    admin_service.policy_handler = member
    clients.policy_agreement = member
    return member
