"""How many nodes may keep to one server, where servers hold fewer connections than there are nodes."""

from __future__ import annotations

__all__ = ["Room"]

# What a refused connect leaves of the part of all nodes that may keep to a server, and the time (ns) in which
# that part doubles again: long against the seconds for which connections are kept.
LEAVES, DOUBLES = 0.8, 30_000_000_000
# Word counts for nothing where there are so many times the nodes that have an address.
STRANGERS = 1.5


class Room:
    """The part of all nodes that may have a server on their idle lists, as this node takes it.

    Where nodes tell one another what they have at servers, an idle one is on everybody's list, and soon
    everybody has a connection to the fastest: more than it holds, and whoever comes is refused while it has
    time. Each refusal that this node meets lessens the part, wherever it was: a node of one request a second
    would need minutes to learn it of each server. Who belongs to the part is drawn by lot, the same at all
    nodes, so those that stay are those that have their connections. A server that is down refuses, too; the
    part is less for a while then, which does no harm where it is still many nodes. Not thread-safe.
    """

    __slots__ = ("at", "part", "told")

    def __init__(self, told: int) -> None:
        self.told = told  # the number of nodes in the settings: so many have an address
        self.part = 1.0
        self.at = 0

    def listed(self, now: int, owners: float, nodes: float, heard: int) -> float:
        """The part at this time (ns).

        owners: how many keep to a server where nodes do not talk, at the least; nodes: how many there are, as
        far as this one knows; heard: how many have told what they have at servers. Where there are many more
        nodes than the settings tell, most have no address and are heard by nobody: what seems idle is not.
        """
        least = owners / nodes
        return max(self._grown(now), least) if heard and nodes < STRANGERS * self.told else least

    def refused(self, now: int) -> None:
        """A connect was refused."""
        self.part = max(1e-4, self._grown(now) * LEAVES)

    def _grown(self, now: int) -> float:
        if self.part < 1.0:
            self.part = min(1.0, self.part * 2.0 ** (max(0, now - self.at) / DOUBLES))
        self.at = now
        return self.part
