"""The nodes in the model of group commit: they receive deltas and snapshots, store them and restart.

Deliveries arrive late, twice, out of order and from several voters.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from hollybay.resources.batch import BatchMismatchError
from hollybay.resources.state import ResourceState

from .batch_model import Delivery, ModelState, Move, Node, Voter
from .batch_model_invariants import require

__all__ = ["NodeMoves", "delivery_from"]

# How many deliveries may be on their way to one node.
INBOX = 4
# How often a batch of a mixed delivery gets lost, and a delivery arrives only once.
LOST_BATCH_PROBABILITY = 0.5
SINGLE_DELIVERY_PROBABILITY = 0.7


class NodeMoves(ModelState):
    """What nodes may do."""

    def node_moves(self, node: Node) -> Iterator[Move]:
        """What a node may do."""
        for voter in self.voters:
            if voter.alive and voter.state.revision:
                yield "send", partial(self._send, node, voter)
                yield "mix", partial(self._send_mixed, node, voter)
        if node.inbox:
            yield "receive", partial(self._receive, node)
        if node.stored.revision < node.replica.state.revision:
            yield "store", partial(self._store, node)
            yield "restart", partial(self._restart_node, node)

    def _send(self, node: Node, voter: Voter) -> None:
        """A voter answers what a node lacks, from the revision that it had when it asked."""
        node.inbox.append(delivery_from(voter, node.replica.state.revision))
        del node.inbox[:-INBOX]

    def _send_mixed(self, node: Node, voter: Voter) -> None:
        """The node asks one voter for a snapshot and another one for what it lacks, or a batch gets lost."""
        other = self.random.choice([candidate for candidate in self.voters if candidate.alive])
        batches = list(delivery_from(voter, node.replica.state.revision).batches)
        snapshot: ResourceState | None = other.snapshot
        if batches and self.random.random() < LOST_BATCH_PROBABILITY:
            del batches[self.random.randrange(len(batches))]
            snapshot = None
        node.inbox.append(Delivery(snapshot, tuple(batches)))
        del node.inbox[:-INBOX]

    def _receive(self, node: Node) -> None:
        """A delivery arrives; it may arrive again."""
        index = self.random.randrange(len(node.inbox))
        delivery = node.inbox[index]
        if self.random.random() < SINGLE_DELIVERY_PROBABILITY:
            del node.inbox[index]
        before = node.replica.state.revision
        try:
            node.replica.receive(delivery)
        except BatchMismatchError:
            require(node.replica.state.revision == before, f"node {node.number} took in half of a delivery")
        after = node.replica.state.revision
        require(after >= before, f"node {node.number} went back from {before} to {after}")

    def _store(self, node: Node) -> None:
        node.stored = node.replica.state

    def _restart_node(self, node: Node) -> None:
        """A node dies and starts from its disk; what was on its way may still arrive."""
        node.replica = self.parts.replica(node.stored)


def delivery_from(voter: Voter, revision: int) -> Delivery:
    """What a voter sends to one that has a revision: a delta, or its snapshot with all that follows it."""
    if revision >= voter.snapshot.revision:
        return Delivery(None, voter.log.since(revision) or ())
    return Delivery(voter.snapshot, voter.log.since(voter.snapshot.revision) or ())
