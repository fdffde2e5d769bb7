"""The state of the model check of group commit: voters with their queues, proposers, nodes and epochs.

The agreement on epochs has a model check of its own (`model_check`). Here it is given: epochs form one
sequence, one batch at a time is proposed and then decided or dropped, and each voter learns of an epoch late,
one after another or by a snapshot. Queues, states and batches are the real code.
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
    "CANNOT",
    "Bounds",
    "Delivery",
    "Epoch",
    "ModelState",
    "Move",
    "Node",
    "Parts",
    "Proposer",
    "Replica",
    "Voter",
    "ids_of",
    "number_of",
]

# Why nodes cannot serve a bad change.
CANNOT = (ChangeProblem.from_reason(CannotBeServed(), CHANGE),)
# The size that each batch has in the log of a voter, and its bound: it is bounded by number alone.
BATCH_BYTES = 1
MAX_LOG_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far a walk goes.

    Parameters
    ----------
    voters, nodes, changes, steps, crashes
        How many there are of each.
    offers
        How often each change is offered.
    bad
        The fraction of changes that no node can serve.
    log_batches
        How many batches the log of a voter holds.
    settings
        Of the queues.
    """

    voters: int = 3
    nodes: int = 2
    changes: int = 9
    steps: int = 150
    crashes: int = 4
    offers: int = 4
    bad: float = 0.25
    log_batches: int = 3
    settings: QueueSettings = field(
        default_factory=lambda: QueueSettings(
            max_changes=4, max_batch_changes=3, linger_ns=0, max_wait_ns=10_000, initial_batch_ns=1
        )
    )


@dataclass(frozen=True, slots=True)
class Delivery:
    """What a node receives: consecutive batches, on a snapshot or on its own state."""

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
        """The state of a snapshot; never an older one than the present."""
        if snapshot.revision < self.state.revision:
            raise BatchMismatchError(f"snapshot: {snapshot.revision} is before {self.state.revision}")
        return snapshot

    def after_batch(self, state: ResourceState, batch: Batch) -> ResourceState:
        """The state after one more batch; one that it contains already is ignored."""
        if batch.revision <= state.revision:
            return state
        return apply_batch(state, batch)


@dataclass(frozen=True, slots=True)
class Parts:
    """What is searched: the real parts, or one with a defect.

    Parameters
    ----------
    queue, replica
        The classes.
    remembers_ids
        Whether states know which changes were decided.
    voids_answers
        Whether a proposer that offers its change to a voter again forgets the earlier answer of that voter.
    verdict
        How a proposer judges the answers of all voters that it offered its change to.
    """

    queue: type[ProposalQueue] = ProposalQueue
    replica: type[Replica] = Replica
    remembers_ids: bool = True
    voids_answers: bool = True
    verdict: Callable[[list[Outcome]], Outcome] = combined_outcome


@dataclass(frozen=True, slots=True)
class Epoch:
    """One epoch: a batch is proposed, or the tier is settled again, with it or without it."""

    batch: Batch
    settled: bool
    decided: bool = False


@dataclass(slots=True)
class Voter:
    """A voter.

    Parameters
    ----------
    state, known_epochs
        What it knows to be decided; both are on its disk.
    log, snapshot
        Its last batches, and the state before them.
    next_batch
        The batch that it has formed and not proposed yet.
    accepted
        The changes that its queue accepted.
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
    """Who proposed one change. answers: the last outcome by voter, of all that it was offered to."""

    change: Change
    bad: bool
    answers: dict[int, Outcome] = field(default_factory=dict)
    offers: int = 0
    verdict: Outcome = field(default_factory=Unknown)

    @property
    def is_answered(self) -> bool:
        """Whether it was told what became of the change, for good."""
        return isinstance(self.verdict, InForce | Rejected)


@dataclass(slots=True)
class Node:
    """A node. stored: what is on its disk; inbox: what is on its way to it."""

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


# The name of a move, and what it does.
Move = tuple[str, Callable[[], None]]


class ModelState:
    """Everything at one moment of a walk."""

    def __init__(self, seed: int, bounds: Bounds, parts: Parts) -> None:
        self.random = random.Random(seed)
        self.bounds = bounds
        self.parts = parts
        self.now = 0
        self.epochs: list[Epoch] = []
        self.states: list[ResourceState] = [EMPTY]  # by revision
        self.decided_ids: set[bytes] = set()
        self.voters = [self._new_voter(number, EMPTY) for number in range(bounds.voters)]
        self.nodes = [Node(number, parts.replica(EMPTY), EMPTY) for number in range(bounds.nodes)]
        self.proposers: list[Proposer] = []
        self.crashes = 0

    def _new_voter(self, number: int, state: ResourceState) -> Voter:
        return Voter(number, self.parts.queue(self.bounds.settings), state, self.new_log(), state)

    def new_log(self) -> BatchLog:
        """An empty log of a voter."""
        return BatchLog(self.bounds.log_batches, MAX_LOG_BYTES)

    def seen(self, state: ResourceState) -> ResourceState:
        """A state as the parts see it."""
        return state if self.parts.remembers_ids else replace(state, revision_by_change_id=Map())

    def proposer_of(self, change_id: bytes) -> Proposer:
        """The proposer of a change."""
        return self.proposers[number_of(change_id)]

    def all_states(self) -> Iterator[tuple[str, ResourceState]]:
        """The state of each voter and node, with its name."""
        for voter in self.voters:
            yield f"keeper {voter.number}", voter.state
        for node in self.nodes:
            yield f"node {node.number}", node.replica.state

    def ids_at(self, revision: int) -> tuple[bytes, ...]:
        """The changes that were decided as a revision."""
        if revision >= len(self.states):
            return ()
        return self.states[revision].change_ids_by_revision.get(revision, ())
