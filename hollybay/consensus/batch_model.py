"""The state of the group commit model check: voters with their queues, proposers, nodes and epochs.

Agreement on epochs has a model check of its own (`model_check`) and is assumed here: epochs form one
sequence, one batch at a time is proposed and then decided or dropped, and voters learn of epochs with a
delay, one by one or by a snapshot. Queues, resource states and batches are the production code.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from immutables import Map

from hollybay.resources.batch import Batch, BatchMismatchError, apply_batch
from hollybay.resources.model import CHANGE, Change, ChangeProblem
from hollybay.resources.rejection_reasons import CannotBeServed
from hollybay.resources.state import EMPTY, ResourceState

from .batch_model_log import BatchLog
from .group_commit import ProposalQueue
from .proposal_outcomes import InForce, Outcome, Rejected, Unknown, combined_outcome
from .queue_settings import QueueSettings

__all__ = [
    "CANNOT_SERVE",
    "Bounds",
    "Components",
    "Delivery",
    "Epoch",
    "ModelState",
    "Move",
    "Node",
    "Proposer",
    "Replica",
    "Voter",
    "ids_of",
    "number_of",
]

# The problems of a change that no node can serve.
CANNOT_SERVE = (ChangeProblem.from_reason(CannotBeServed(), CHANGE),)
# Size of a batch in the log of a voter, and the bound of the log. The bound is out of reach, so that only the
# number of batches limits the log.
BATCH_BYTES = 1
MAX_LOG_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of a walk.

    Parameters
    ----------
    voters, nodes, changes, steps, crashes
        Number of each; of crashes the maximum.
    offers
        Maximum number of offers of each change.
    unserviceable_fraction
        The fraction of changes that no node can serve.
    log_batches
        Number of batches that the log of a voter holds.
    settings
        The settings of the queues.
    """

    voters: int = 3
    nodes: int = 2
    changes: int = 9
    steps: int = 150
    crashes: int = 4
    offers: int = 4
    unserviceable_fraction: float = 0.25
    log_batches: int = 3
    settings: QueueSettings = field(
        default_factory=lambda: QueueSettings(
            max_changes=4, max_batch_changes=3, linger_ns=0, max_wait_ns=10_000, initial_batch_ns=1
        )
    )


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message to a node: consecutive batches that follow a snapshot or the node's own state."""

    snapshot: ResourceState | None
    batches: tuple[Batch, ...]


class Replica:
    """The resources of a node."""

    def __init__(self, state: ResourceState) -> None:
        self.state = state

    def receive(self, delivery: Delivery) -> None:
        """Apply a delivery completely or not at all. BatchMismatchError: it does not follow the state."""
        state = self.state
        if delivery.snapshot is not None:
            state = self.after_snapshot(delivery.snapshot)
        for batch in delivery.batches:
            state = self.after_batch(state, batch)
        self.state = state

    def after_snapshot(self, snapshot: ResourceState) -> ResourceState:
        """The state after a snapshot is installed. BatchMismatchError: it is older than the present state."""
        if snapshot.revision < self.state.revision:
            raise BatchMismatchError(f"snapshot: {snapshot.revision} is before {self.state.revision}")
        return snapshot

    def after_batch(self, state: ResourceState, batch: Batch) -> ResourceState:
        """The state after one more batch; a batch that it already contains is ignored."""
        if batch.revision <= state.revision:
            return state
        return apply_batch(state, batch)


@dataclass(frozen=True, slots=True)
class Components:
    """The components to check: the production ones, or some with a planted defect.

    Parameters
    ----------
    queue, replica
        The classes of queues and of the replicas of nodes.
    remembers_ids
        Whether resource states record the ids of decided changes.
    discards_earlier_answers
        Whether a proposer that offers its change to a voter again discards the earlier answer of that voter.
    verdict
        Combines the answers of all voters to which a proposer offered its change.
    """

    queue: type[ProposalQueue] = ProposalQueue
    replica: type[Replica] = Replica
    remembers_ids: bool = True
    discards_earlier_answers: bool = True
    verdict: Callable[[list[Outcome]], Outcome] = combined_outcome


@dataclass(frozen=True, slots=True)
class Epoch:
    """One epoch: a batch is proposed, or the group is settled again, with the batch decided or dropped."""

    batch: Batch
    settled: bool
    decided: bool = False


@dataclass(slots=True)
class Voter:
    """A voter.

    Parameters
    ----------
    state, known_epochs
        What it knows to be decided; kept on its disk.
    log, snapshot
        Its latest batches, and the state before them.
    next_batch
        The batch that it has formed but not proposed yet.
    accepted
        The ids of the changes that its queue accepted.
    """

    number: int
    queue: ProposalQueue
    state: ResourceState
    log: BatchLog
    snapshot: ResourceState
    known_epochs: int = 0
    next_batch: Batch | None = None
    alive: bool = True
    accepted: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class Proposer:
    """The proposer of one change. answers: the latest outcome from each voter to which it was offered."""

    change: Change
    is_unserviceable: bool
    answers: dict[int, Outcome] = field(default_factory=dict)
    offers: int = 0
    verdict: Outcome = field(default_factory=Unknown)

    @property
    def is_answered(self) -> bool:
        """Whether it has received a final outcome of its change."""
        return isinstance(self.verdict, InForce | Rejected)


@dataclass(slots=True)
class Node:
    """A node. stored: the state on its disk; inbox: the deliveries in transit to it."""

    number: int
    replica: Replica
    stored: ResourceState
    inbox: list[Delivery] = field(default_factory=list)


def ids_of(batch: Batch) -> tuple[bytes, ...]:
    """The ids of the changes in a batch."""
    return tuple(change.id for change in batch.changes)


def number_of(change_id: bytes) -> int:
    """The number of a change, by its id."""
    return int.from_bytes(change_id, "big")


# The name of a move, and the function that makes it.
Move = tuple[str, Callable[[], None]]


class ModelState:
    """The mutable state of the model during a walk."""

    def __init__(self, seed: int, bounds: Bounds, components: Components) -> None:
        self.random = random.Random(seed)
        self.bounds = bounds
        self.components = components
        self.now = 0
        self.epochs: list[Epoch] = []
        self.states: list[ResourceState] = [EMPTY]  # by revision
        self.decided_ids: set[bytes] = set()
        self.voters = [self._new_voter(number, EMPTY) for number in range(bounds.voters)]
        self.nodes = [Node(number, components.replica(EMPTY), EMPTY) for number in range(bounds.nodes)]
        self.proposers: list[Proposer] = []
        self.crashes = 0

    def _new_voter(self, number: int, state: ResourceState) -> Voter:
        return Voter(number, self.components.queue(self.bounds.settings), state, self.new_log(), state)

    def new_log(self) -> BatchLog:
        """An empty log for a voter."""
        return BatchLog(self.bounds.log_batches, MAX_LOG_BYTES)

    def visible_state(self, state: ResourceState) -> ResourceState:
        """A resource state as the components see it: without change ids if they do not remember them."""
        return state if self.components.remembers_ids else replace(state, revision_by_change_id=Map())

    def proposer_of(self, change_id: bytes) -> Proposer:
        """The proposer of a change."""
        return self.proposers[number_of(change_id)]

    def all_states(self) -> Iterator[tuple[str, ResourceState]]:
        """The state of each voter and node, with its name."""
        for voter in self.voters:
            yield f"voter {voter.number}", voter.state
        for node in self.nodes:
            yield f"node {node.number}", node.replica.state

    def ids_at(self, revision: int) -> tuple[bytes, ...]:
        """The ids of the changes that were decided in a revision."""
        if revision >= len(self.states):
            return ()
        return self.states[revision].change_ids_by_revision.get(revision, ())
