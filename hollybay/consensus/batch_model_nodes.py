"""The nodes in the group commit model: they receive deltas and snapshots, store their state and restart.

Deliveries may be late, duplicated, out of order and from several voters.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from hollybay.resources.batch import BatchMismatchError
from hollybay.resources.state import ResourceState

from .batch_model import Delivery, ModelState, Move, Node, Voter
from .batch_model_invariants import require

__all__ = ["NodeMoves", "delivery_from"]

# Maximum number of deliveries in transit to one node.
MAX_INBOX = 4
# Probability that a batch of a mixed delivery is lost, and that a delivery arrives only once.
LOST_BATCH_PROBABILITY = 0.5
SINGLE_DELIVERY_PROBABILITY = 0.7


class NodeMoves(ModelState):
    """The moves of nodes."""

    def node_moves(self, node: Node) -> Iterator[Move]:
        """The possible moves of a node."""
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
        """A voter replies to a node's request with all that follows the node's revision at this time."""
        node.inbox.append(delivery_from(voter, node.replica.state.revision))
        del node.inbox[:-MAX_INBOX]

    def _send_mixed(self, node: Node, voter: Voter) -> None:
        """A node gets the snapshot of one voter with the batches of another one, or a delta lacks a batch."""
        other = self.random.choice([candidate for candidate in self.voters if candidate.alive])
        batches = list(delivery_from(voter, node.replica.state.revision).batches)
        snapshot: ResourceState | None = other.snapshot
        if batches and self.random.random() < LOST_BATCH_PROBABILITY:
            del batches[self.random.randrange(len(batches))]
            snapshot = None
        node.inbox.append(Delivery(snapshot, tuple(batches)))
        del node.inbox[:-MAX_INBOX]

    def _receive(self, node: Node) -> None:
        """A node receives a delivery, which may arrive again later."""
        index = self.random.randrange(len(node.inbox))
        delivery = node.inbox[index]
        if self.random.random() < SINGLE_DELIVERY_PROBABILITY:
            del node.inbox[index]
        before = node.replica.state.revision
        try:
            node.replica.receive(delivery)
        except BatchMismatchError:
            require(node.replica.state.revision == before, f"node {node.number} applied a part of a delivery")
        after = node.replica.state.revision
        require(after >= before, f"node {node.number} went back from {before} to {after}")

    def _store(self, node: Node) -> None:
        node.stored = node.replica.state

    def _restart_node(self, node: Node) -> None:
        """A node restarts from its disk; deliveries in transit may still arrive."""
        node.replica = self.components.replica(node.stored)


def delivery_from(voter: Voter, revision: int) -> Delivery:
    """The delivery of a voter to a node at a revision: a delta, or a snapshot and all batches after it."""
    if revision >= voter.snapshot.revision:
        return Delivery(None, voter.log.since(revision) or ())
    return Delivery(voter.snapshot, voter.log.since(voter.snapshot.revision) or ())
