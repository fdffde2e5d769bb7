"""Load of the other nodes according to their reports, and the load that this node reports.

A report is valid for a limited time, so that a node that died, was stopped or is partitioned stops counting.
Expiry is checked when the load is used, on a clock that keeps running while the process is stopped: a process
that was stopped itself discards all expired reports when it continues.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Iterable, Mapping

from .load_report import LoadReport, server_hash

__all__ = ["LocalLoad", "RemoteLoad"]

# Number of past incarnations kept per node: a delayed report of one of them must not count.
_MAX_PAST_INCARNATIONS = 4


class _Peer:
    """State of one other node.

    Attributes
    ----------
    incarnation, past_incarnations
        The node's present process, and its processes before that.
    sequence
        Sequence number of the last complete report; 0 before the first.
    received_at_ns
        When the last complete report was received, or before that the first part (ns).
    in_flight
        The last complete report: requests in flight by server hash.
    incomplete_sequence, parts
        Sequence number of the report whose parts are being collected, and the parts received by index.
    """

    __slots__ = (
        "in_flight",
        "incarnation",
        "incomplete_sequence",
        "parts",
        "past_incarnations",
        "received_at_ns",
        "sequence",
    )

    def __init__(self, incarnation: int, past_incarnations: list[int], now_ns: int) -> None:
        self.incarnation = incarnation
        self.past_incarnations = past_incarnations
        self.sequence = 0
        self.received_at_ns = now_ns
        self.in_flight: Mapping[int, int] = {}
        self.incomplete_sequence = 0
        self.parts: dict[int, LoadReport] = {}

    def add_part(self, report: LoadReport, now_ns: int) -> dict[int, int] | None:
        """Collect a part of a report; return the requests in flight by server hash once it is complete."""
        if report.sequence != self.incomplete_sequence:
            self.incomplete_sequence = report.sequence
            self.parts = {}
        self.parts[report.part] = report
        if len(self.parts) < report.part_count:
            return None
        in_flight: dict[int, int] = {}
        for part in self.parts.values():
            in_flight |= part.in_flight
        self.parts = {}
        self.sequence = report.sequence
        self.received_at_ns = now_ns
        return in_flight


class RemoteLoad:
    """Sum of the load of all other nodes, by the last report of each.

    The load of a hash that two servers share is reported for neither of them.

    Parameters
    ----------
    node
        Number of this node, whose own reports are ignored.
    node_count
        Number of configured nodes; reports with a higher node number are ignored.
    expiry_ns
        How long a report is valid (ns).

    Attributes
    ----------
    total
        Requests in flight of all other nodes by server hash.
    ignored_reports
        Number of datagrams that were ignored: of an unknown node, of a past incarnation, or out of order.
    """

    def __init__(self, node: int, node_count: int, expiry_ns: int) -> None:
        self.node = node
        self.node_count = node_count
        self.expiry_ns = expiry_ns
        self.peers: dict[int, _Peer] = {}
        self.total: Counter[int] = Counter()
        self.ignored_reports = 0
        self._servers: dict[int, Hashable | None] = {}  # by hash; None if two servers share it
        self._next_expiry_ns = 0  # no report expires before this time

    @property
    def peer_count(self) -> int:
        """Number of other nodes with a valid report, as of the last call of `expire` or `receive`."""
        return len(self.peers)

    def set_servers(self, servers: Iterable[Hashable]) -> None:
        """Set the servers whose load is reported to the caller."""
        self._servers = {}
        for server in servers:
            hashed = server_hash(server)
            self._servers[hashed] = None if hashed in self._servers else server

    def receive(self, report: LoadReport, now_ns: int) -> dict[Hashable, int]:
        """Apply a report.

        Parameters
        ----------
        report
            One datagram of another node.
        now_ns
            Current time.

        Returns
        -------
        dict
            Requests in flight of all other nodes, for the servers where they changed.
        """
        changed = self.expire(now_ns)
        if report.node == self.node or report.node >= self.node_count:
            self.ignored_reports += 1
            return changed
        peer = self.peers.get(report.node)
        if peer is not None and report.incarnation in peer.past_incarnations:
            self.ignored_reports += 1
            return changed
        if peer is None:
            peer = self.peers[report.node] = _Peer(report.incarnation, [], now_ns)
        elif report.incarnation != peer.incarnation:
            changed |= self._replace(peer, {})
            past = [*peer.past_incarnations, peer.incarnation][-_MAX_PAST_INCARNATIONS:]
            peer = self.peers[report.node] = _Peer(report.incarnation, past, now_ns)
        if report.sequence <= peer.sequence or report.sequence < peer.incomplete_sequence:
            self.ignored_reports += 1
            return changed
        in_flight = peer.add_part(report, now_ns)
        if in_flight is not None:
            changed |= self._replace(peer, in_flight)
        return changed

    def expire(self, now_ns: int) -> dict[Hashable, int]:
        """Discard expired reports.

        Returns
        -------
        dict
            Requests in flight of all other nodes, for the servers where they changed.
        """
        changed: dict[Hashable, int] = {}
        if now_ns < self._next_expiry_ns:
            return changed
        oldest = now_ns
        for number, peer in list(self.peers.items()):
            if now_ns - peer.received_at_ns >= self.expiry_ns:
                changed |= self._replace(peer, {})
                del self.peers[number]
            else:
                oldest = min(oldest, peer.received_at_ns)
        self._next_expiry_ns = oldest + self.expiry_ns
        return changed

    def _replace(self, peer: _Peer, in_flight: Mapping[int, int]) -> dict[Hashable, int]:
        """Replace the load of a peer; return the new totals of the servers where they changed."""
        previous = peer.in_flight
        peer.in_flight = in_flight
        changed: dict[Hashable, int] = {}
        for hashed in previous.keys() | in_flight.keys():
            difference = in_flight.get(hashed, 0) - previous.get(hashed, 0)
            if not difference:
                continue
            self.total[hashed] += difference
            if not self.total[hashed]:
                del self.total[hashed]
            server = self._servers.get(hashed)
            if server is not None:
                changed[server] = self.total[hashed]
        return changed


class LocalLoad:
    """Load of this node: what to report, and when.

    Parameters
    ----------
    interval_ns
        Longest time between two reports (ns); a change is reported at once.

    Attributes
    ----------
    sequence
        Sequence number of the last report; 0 before the first.
    """

    def __init__(self, interval_ns: int) -> None:
        self.interval_ns = interval_ns
        self.sequence = 0
        self._in_flight: Counter[int] = Counter()  # by server hash
        self._changed = True  # since the last report
        self._reported_at_ns = 0

    def attempt_started(self, server: Hashable) -> None:
        """Count an attempt that is sent to a server."""
        self._in_flight[server_hash(server)] += 1
        self._changed = True

    def attempt_finished(self, server: Hashable) -> None:
        """Count an attempt that ended."""
        hashed = server_hash(server)
        self._in_flight[hashed] -= 1
        if self._in_flight[hashed] <= 0:
            del self._in_flight[hashed]
        self._changed = True

    def is_due(self, now_ns: int) -> bool:
        """Whether a report is to be sent."""
        return self._changed or now_ns - self._reported_at_ns >= self.interval_ns

    def begin_report(self, now_ns: int) -> Mapping[int, int]:
        """Begin the next report; return the requests in flight by server hash, now counted as reported."""
        self.sequence += 1
        self._changed = False
        self._reported_at_ns = now_ns
        return self._in_flight
