"""Exchange of load reports with the other nodes over UDP.

Imported only if the operator file has a [peers] table. `hollybay.gossip` implements the protocol; this module
sends and receives the datagrams. No datagram raises an exception outside this module, and datagrams from
addresses that are not in the configuration are discarded.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hollybay.balancing import interface as api
from hollybay.gossip import LocalLoad, RemoteLoad, decode_report, encode_reports
from hollybay.gossip.load_report import MAX_DATAGRAM_BYTES
from hollybay.units import SECOND

from . import system
from .addresses import Address, parse_address
from .config import ConfigError, PeerFields
from .request_dispatcher import RequestDispatcher

__all__ = ["LoadReportExchange", "PeerAddresses", "parse_peer_addresses"]

MAX_DATAGRAMS_PER_READ = 1024
MIN_REPORT_INTERVAL_S = 0.001
# Datagrams are read before each decision, as only decisions use them, and at this interval, so that the
# receive buffer does not fill up. Waking up for each datagram would cost CPU time that grows with the square
# of the number of nodes.
READ_INTERVAL_S = 0.1
RECEIVE_BUFFER_BYTES = 1 << 20
INCARNATION_BYTES = 4


class PeerAddresses(NamedTuple):
    """Addresses for load reports.

    Attributes
    ----------
    listen
        Address that this node receives reports on.
    nodes
        Address of each node, in the order of their numbers.
    """

    listen: Address
    nodes: list[Address]


def parse_peer_addresses(fields: PeerFields, node_count: int) -> PeerAddresses:
    """Parse the addresses for load reports.

    Parameters
    ----------
    fields
        `Config.peers`: the unvalidated fields of the configuration.
    node_count
        Number of nodes in the settings.

    Raises
    ------
    ConfigError
        A field is missing or invalid, or the settings forbid load reports; the message contains the name of
        the field.
    """
    if fields.allowed is False:
        raise ConfigError("settings.caps.peers: false, but the operator file's [peers] requires true")
    if not isinstance(fields.peers, list) or len(fields.peers) < node_count:
        raise ConfigError(
            f"peers: no list of {node_count} addresses, which the operator file's [peers] requires"
        )
    try:
        nodes = [parse_address(str(text)) for text in fields.peers]
    except ValueError as error:
        raise ConfigError(f"peers: {error}") from None
    try:
        listen = parse_address(str(fields.peer_listen))
    except ValueError as error:
        raise ConfigError(f"peer_listen: {error}") from None
    return PeerAddresses(listen, nodes)


class LoadReportExchange:
    """Sends the load reports of this node, and receives those of the others.

    Parameters
    ----------
    dispatcher
        Request dispatcher of this node, which gets the load of the others as `PeerLoad` events.
    addresses
        Addresses of this and the other nodes.
    interval_ns
        Maximum time between two reports of this node (ns).
    expiry_ns
        Time for which a report of another node is valid (ns).

    Attributes
    ----------
    invalid_datagrams
        Number of datagrams that were discarded: from an unknown address, or malformed.

    Raises
    ------
    ConfigError
        The address to listen on cannot be bound.
    """

    def __init__(
        self, dispatcher: RequestDispatcher, addresses: PeerAddresses, interval_ns: int, expiry_ns: int
    ) -> None:
        self.dispatcher = dispatcher
        self.node_number = dispatcher.settings.node
        self.interval_ns = interval_ns
        self.incarnation = int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
        self.local_load = LocalLoad(interval_ns)
        self.remote_load = RemoteLoad(self.node_number, len(addresses.nodes), expiry_ns)
        self.invalid_datagrams = 0
        self._other_nodes = [
            node_address for number, node_address in enumerate(addresses.nodes) if number != self.node_number
        ]
        self._node_numbers = {node_address: number for number, node_address in enumerate(addresses.nodes)}
        self._known_peer_count = 0  # number of peers that was last passed to the balancer
        self._loop = asyncio.get_running_loop()
        self._socket = _bind(addresses.listen)
        self._read_timer = self._loop.call_later(READ_INTERVAL_S, self._read_periodically)
        self._send_timer: asyncio.TimerHandle | None = None
        # Staggered by the number of the node, for nodes that start at the same time.
        delay_ns = interval_ns * (self.node_number + 1) / (len(addresses.nodes) + 1)
        self._schedule_report(delay_ns / SECOND)

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._send_timer is not None:
            self._send_timer.cancel()
        self._read_timer.cancel()
        self._socket.close()

    # Events of the request dispatcher

    def attempt_started(self, server: api.ServerId) -> None:
        """Count an attempt that is being sent to a server."""
        self.local_load.attempt_started(server)
        self._report_soon()

    def attempt_finished(self, server: api.ServerId) -> None:
        """Count an attempt that ended."""
        self.local_load.attempt_finished(server)
        self._report_soon()

    def servers_changed(self, servers: Iterable[api.ServerId]) -> None:
        """Set the servers of the current server list."""
        self.remote_load.set_servers(servers)

    def poll(self) -> None:
        """Read the received datagrams and discard expired reports; called before a request is decided."""
        now = system.monotonic_ns()
        changed = self.remote_load.expire(now)
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # ICMP error in reply to an earlier datagram, as the peer's port is closed
                continue
            report = decode_report(data)
            if report is None or self._node_numbers.get(sender[:2]) != report.node:
                self.invalid_datagrams += 1
                continue
            changed |= self.remote_load.receive(report, now)
        self._notify_balancer(changed)

    # Sending

    def _report_soon(self) -> None:
        latest = self._loop.time() + MIN_REPORT_INTERVAL_S
        if self._send_timer is None or self._send_timer.when() > latest:
            self._schedule_report(MIN_REPORT_INTERVAL_S)

    def _schedule_report(self, delay_s: float) -> None:
        if self._send_timer is not None:
            self._send_timer.cancel()
        self._send_timer = self._loop.call_later(delay_s, self._on_send_timer)

    def _on_send_timer(self) -> None:
        self._send_timer = None
        now = system.monotonic_ns()
        if self.local_load.is_due(now):
            self._send_report(now)
        self._schedule_report(self.interval_ns / SECOND)

    def _send_report(self, now: int) -> None:
        in_flight = self.local_load.begin_report(now)
        sequence = self.local_load.sequence
        for datagram in encode_reports(self.node_number, self.incarnation, sequence, in_flight):
            for node_address in self._other_nodes:
                try:
                    self._socket.sendto(datagram, node_address)
                except OSError:  # a buffer is full or the peer has ended; the next report replaces this one
                    continue

    # Receiving

    def _read_periodically(self) -> None:
        self._read_timer = self._loop.call_later(READ_INTERVAL_S, self._read_periodically)
        self.poll()

    def _notify_balancer(self, changed: Mapping[api.ServerId, int]) -> None:
        peer_count = self.remote_load.peer_count
        if changed or peer_count != self._known_peer_count:
            self._known_peer_count = peer_count
            self.dispatcher.feed(api.PeerLoad(changed, peer_count))


def _bind(listen: Address) -> socket.socket:
    """Bind a UDP socket; ConfigError if the address cannot be bound."""
    host, port = listen
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    try:
        sock.bind(listen)
    except OSError as error:
        sock.close()
        raise ConfigError(f"peer_listen: {host}:{port}: {error}") from None
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock
