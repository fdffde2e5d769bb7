"""How many nodes may keep connections to one server, where a server accepts fewer than there are nodes."""

from __future__ import annotations

__all__ = ["DOUBLING_TIME_NS", "REFUSAL_FACTOR", "ConnectionCapacity"]

# What one refused connect leaves of the share of nodes that may list a server as idle.
REFUSAL_FACTOR = 0.8
# The time (ns) in which that share doubles again: long against the seconds for which connections are kept.
DOUBLING_TIME_NS = 30_000_000_000
# The share never falls below this, so that it can recover.
MIN_SHARE = 1e-4
# Load reports of peers are ignored where there are this many times as many nodes as configured.
MAX_UNCONFIGURED_RATIO = 1.5


class ConnectionCapacity:
    """The share of all nodes that may have a server in their idle index, as estimated by this node.

    Where nodes tell each other their load, an idle server is in the index of all of them, and soon all of
    them hold a connection to the fastest: more than it accepts, and a newcomer is refused while the server
    has time. Each refusal that this node meets reduces the share for all servers, as a node with one request
    a second would need minutes to learn it for each. Which nodes belong to the share follows from a hash that
    all nodes compute alike, so those that stay are those that hold connections. A server that is down also
    refuses; the share is lower for a while then, which is harmless while it still covers many nodes.

    Parameters
    ----------
    configured_nodes
        The number of nodes in the settings: so many have a known address.
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
            The least number of nodes that list a server, used where nodes do not report to each other.
        nodes
            The estimated number of nodes.
        reporting_peers
            The number of peers whose load is known. Where there are far more nodes than configured, most have
            no known address and report to nobody: a server that looks idle may not be.
        """
        least = owners / nodes
        if reporting_peers and nodes < MAX_UNCONFIGURED_RATIO * self.configured_nodes:
            return max(self._recovered_share(now), least)
        return least

    def record_refusal(self, now: int) -> None:
        """Record a refused connect at a time (ns)."""
        self.share = max(MIN_SHARE, self._recovered_share(now) * REFUSAL_FACTOR)

    def _recovered_share(self, now: int) -> float:
        if self.share < 1.0:
            elapsed = max(0, now - self.updated_at)
            self.share = min(1.0, self.share * 2.0 ** (elapsed / DOUBLING_TIME_NS))
        self.updated_at = now
        return self.share
