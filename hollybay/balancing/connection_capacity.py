"""The share of nodes that may keep connections to a server that accepts fewer than there are nodes."""

from __future__ import annotations

__all__ = ["DOUBLING_TIME_NS", "REFUSAL_FACTOR", "ConnectionCapacity"]

# The factor by which a refused connection reduces the share of nodes that may list a server as idle.
REFUSAL_FACTOR = 0.8
# The time (ns) in which that share doubles again: long compared with the seconds for which idle connections
# are kept.
DOUBLING_TIME_NS = 30_000_000_000
# The lower bound of the share; a share of 0 could not recover.
MIN_SHARE = 1e-4
# Load reports of peers are ignored if the estimated number of nodes is this many times the configured one.
MAX_UNCONFIGURED_RATIO = 1.5


class ConnectionCapacity:
    """The share of all nodes that may have a server in their idle index, as estimated by this node.

    Where nodes report their load to each other, an idle server is in the index of all nodes, and soon all of
    them hold a connection to the fastest servers. A server that accepts fewer connections refuses further
    nodes even while it is idle. Each refused connection of this node reduces the share for all servers,
    because a node with one request a second would need minutes to learn a share for each server. The nodes
    within the share are selected by a hash that all nodes compute alike, so the nodes that remain are nodes
    that hold connections already. A server that is down refuses connections, too; the share is then lower for
    a while, which is harmless as long as it still covers many nodes.

    Parameters
    ----------
    configured_nodes
        The number of nodes in the settings; only these have a known address.
    """

    __slots__ = ("configured_nodes", "share", "updated_at")

    def __init__(self, configured_nodes: int) -> None:
        self.configured_nodes = configured_nodes
        self.share = 1.0
        self.updated_at = 0

    def idle_index_share(self, now: int, owners: float, nodes: float, reporting_peers: int) -> float:
        """Return the share (0 to 1) of nodes that may list a server as idle.

        Parameters
        ----------
        now
            The time (ns).
        owners
            The minimum number of nodes that list a server, used where nodes do not report to each other.
        nodes
            The estimated number of nodes.
        reporting_peers
            The number of peers whose load is known. If there are far more nodes than configured, most nodes
            have no known address and do not report to each other: a server that looks idle may be busy.
        """
        least = owners / nodes
        if reporting_peers and nodes < MAX_UNCONFIGURED_RATIO * self.configured_nodes:
            return max(self._recovered_share(now), least)
        return least

    def record_refusal(self, now: int) -> None:
        """Record a connection that was refused at a time (ns)."""
        self.share = max(MIN_SHARE, self._recovered_share(now) * REFUSAL_FACTOR)

    def _recovered_share(self, now: int) -> float:
        if self.share < 1.0:
            elapsed = max(0, now - self.updated_at)
            self.share = min(1.0, self.share * 2.0 ** (elapsed / DOUBLING_TIME_NS))
        self.updated_at = now
        return self.share
