"""What other nodes have at each server, from what they said last, and what this one has, to be said.

Whatever a node said counts for a time and no longer: one that is dead, stopped or cut off is no burden to
servers for ever. The time is looked at when the figures are used (look), on a clock that goes on while a
process is stopped: one that was stopped itself wakes and knows that all it heard is old.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Iterable, Mapping

from .load_report import Saying, mark

__all__ = ["Held", "Own"]

# Processes of a node that ended: what they said may still be on its way and must not count.
_FORMER = 4


class _Peer:
    """One other node."""

    __slots__ = ("at", "count", "former", "held", "parts", "process", "word")

    def __init__(self, saying: Saying, now: int) -> None:
        self.process = saying.process
        self.former: list[int] = []
        self.count = 0  # of the last whole state
        self.at = now
        self.held: Mapping[int, int] = {}
        self.word = 0  # the count of the state whose parts are coming, and those that have come
        self.parts: dict[int, Saying] = {}


class Held:
    """What all others have at servers, by what each said last.

    forget: how long (ns) a saying counts. Marks that two servers share count for neither.
    """

    def __init__(self, me: int, nodes: int, forget: int) -> None:
        self.me = me
        self.nodes = nodes
        self.forget = forget
        self.peers: dict[int, _Peer] = {}
        self.total: Counter[int] = Counter()  # by mark
        self.servers: dict[int, Hashable | None] = {}  # by mark; None: two share it
        self.ignored = 0  # sayings of nobody, of a former process, or old
        self.next = 0  # when the oldest saying is over, at the earliest

    def know(self, servers: Iterable[Hashable]) -> None:
        """The servers that there are now."""
        self.servers = {}
        for server in servers:
            m = mark(server)
            self.servers[m] = None if m in self.servers else server

    def hear(self, saying: Saying, now: int) -> dict[Hashable, int]:
        """Take in a saying; what all others have now at the servers where that has changed."""
        changed = self.look(now)
        peer = self.peers.get(saying.node)
        if saying.node == self.me or saying.node >= self.nodes:
            self.ignored += 1
            return changed
        if peer is None:
            peer = self.peers[saying.node] = _Peer(saying, now)
        elif saying.process != peer.process:
            if saying.process in peer.former:
                self.ignored += 1
                return changed
            changed |= self._replace(peer, {})
            former = [*peer.former, peer.process][-_FORMER:]
            peer = self.peers[saying.node] = _Peer(saying, now)
            peer.former = former
        if saying.turn <= peer.count:
            self.ignored += 1
            return changed
        if saying.turn != peer.word:
            if saying.turn < peer.word:
                self.ignored += 1
                return changed
            peer.word = saying.turn
            peer.parts = {}
        peer.parts[saying.part] = saying
        if len(peer.parts) < saying.parts:
            return changed
        whole: dict[int, int] = {}
        for part in peer.parts.values():
            whole |= part.held
        peer.parts = {}
        peer.count = saying.turn
        peer.at = now
        changed |= self._replace(peer, whole)
        return changed

    def look(self, now: int) -> dict[Hashable, int]:
        """Forget what is too old; what all others have now at the servers where that has changed."""
        changed: dict[Hashable, int] = {}
        if now < self.next:
            return changed
        oldest = now
        for number, peer in list(self.peers.items()):
            if now - peer.at >= self.forget:
                changed |= self._replace(peer, {})
                del self.peers[number]
            else:
                oldest = min(oldest, peer.at)
        self.next = oldest + self.forget
        return changed

    @property
    def heard(self) -> int:
        """How many others were heard within the time, as of the last look."""
        return len(self.peers)

    def _replace(self, peer: _Peer, held: Mapping[int, int]) -> dict[Hashable, int]:
        old, peer.held = peer.held, held
        changed: dict[Hashable, int] = {}
        for m in old.keys() | held.keys():
            change = held.get(m, 0) - old.get(m, 0)
            if not change:
                continue
            self.total[m] += change
            if not self.total[m]:
                del self.total[m]
            server = self.servers.get(m)
            if server is not None:
                changed[server] = self.total[m]
        return changed


class Own:
    """What this node has at servers, and when it is to be said: when it has changed, and now and then."""

    def __init__(self, every: int) -> None:
        self.every = every
        self.held: Counter[int] = Counter()
        self.count = 0
        self.changed = True
        self.said = 0

    def began(self, server: Hashable) -> None:
        """An attempt is out there."""
        self.held[mark(server)] += 1
        self.changed = True

    def ended(self, server: Hashable) -> None:
        """It is back."""
        m = mark(server)
        self.held[m] -= 1
        if self.held[m] <= 0:
            del self.held[m]
        self.changed = True

    def due(self, now: int) -> bool:
        """Whether there is something to say."""
        return self.changed or now - self.said >= self.every

    def say(self, now: int) -> Mapping[int, int]:
        """The state to say; it counts as said."""
        self.count += 1
        self.changed = False
        self.said = now
        return self.held
