"""Group commit searched through: keepers with their queues, proposers and nodes, in any order of events.

The agreement on epochs has a model check of its own (model.py). Here it is taken as given: epochs form one
sequence, one batch at a time is proposed and then decided or dropped, and a keeper learns of each epoch late,
one after another or by a snapshot. Around it runs the real code of the queues, states and batches, while
answers are lost, proposals are repeated at other keepers, batches lose to others, keepers die with their
queues, and nodes receive deltas and snapshots late, twice, out of order and from several keepers.

`walk` goes one way drawn from a seed and then lets everything come to its end without faults: every change
that was offered must be answered, and all states be equal.

    python -m hollybay.consensus.batch_model_check --walks 2000
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from immutables import Map

from hollybay.resources.batch import Batch, BatchMismatch, follow
from hollybay.resources.log import BatchLog
from hollybay.resources.model import (
    CHANGE_ID_BYTES,
    Change,
    ChangeRefused,
    Delete,
    Key,
    Kind,
    Operation,
    Problem,
    Upsert,
)
from hollybay.resources.state import EMPTY, ResourceState

from .group_commit import (
    Busy,
    InForce,
    Outcome,
    ProposalQueue,
    Queued,
    QueueSettings,
    Rejected,
    RejectedNow,
    UnderWay,
    Unknown,
    combined,
)

__all__ = ["Bounds", "Delivery", "Found", "Parts", "Replica", "World", "walk"]

CANNOT = (Problem("change", "", "a node cannot serve it"),)
NAMES = ("a", "b")
# How many events the last part of a walk, without faults, may need for each change; many more than it does.
ROUNDS_FOR_EACH = 40
INBOX = 4  # deliveries that are on their way to one node


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far a walk goes. bad: the part of all changes that no node can serve."""

    keepers: int = 3
    nodes: int = 2
    changes: int = 9
    steps: int = 150
    crashes: int = 4
    offers: int = 4  # of each change
    bad: float = 0.25
    log_batches: int = 3  # that a keeper can serve deltas of
    settings: QueueSettings = field(
        default_factory=lambda: QueueSettings(
            max_changes=4, max_batch_changes=3, linger_ns=0, max_wait_ns=10_000, initial_batch_ns=1
        )
    )


@dataclass(frozen=True, slots=True)
class Delivery:
    """What a node is sent: batches that follow one another, on a snapshot or on what it has."""

    snapshot: ResourceState | None
    batches: tuple[Batch, ...]


class Replica:
    """The resources of a node."""

    def __init__(self, state: ResourceState) -> None:
        self.state = state

    def receive(self, delivery: Delivery) -> None:
        """Take a delivery in, whole or not at all. BatchMismatch: it does not follow what is here."""
        state = self.state
        if delivery.snapshot is not None:
            state = self.after_snapshot(delivery.snapshot)
        for batch in delivery.batches:
            state = self.after_batch(state, batch)
        self.state = state

    def after_snapshot(self, snapshot: ResourceState) -> ResourceState:
        """The state that a snapshot brings; never an older one than is here."""
        if snapshot.revision < self.state.revision:
            raise BatchMismatch(f"snapshot: {snapshot.revision} is before {self.state.revision}")
        return snapshot

    def after_batch(self, state: ResourceState, batch: Batch) -> ResourceState:
        """The state after one more batch; one that is contained already is passed over."""
        if batch.revision <= state.revision:
            return state
        return follow(state, batch)


@dataclass(frozen=True, slots=True)
class Parts:
    """What is searched: the real parts, or one with a defect.

    remembers_ids: whether states know which changes were decided; verdict: how a proposer judges what the
    keepers told it that it proposed to. voids_answers: whether a proposer that offers its change to a keeper
    again forgets what that one said before.
    """

    queue: type[ProposalQueue] = ProposalQueue
    replica: type[Replica] = Replica
    remembers_ids: bool = True
    voids_answers: bool = True
    verdict: Callable[[list[Outcome]], Outcome] = combined


@dataclass(frozen=True, slots=True)
class Epoch:
    """One epoch: a batch is proposed, or the tier is settled again, with it or without it."""

    batch: Batch
    settled: bool
    decided: bool = False


@dataclass(slots=True)
class Keeper:
    """A keeper.

    heard: how many epochs it knows; they are on its disk, with the state. snapshot: the state before its log.
    wish: its batch, which is not proposed yet. accepted: the changes that its queue accepted.
    """

    number: int
    queue: ProposalQueue
    state: ResourceState
    log: BatchLog
    snapshot: ResourceState
    heard: int = 0
    wish: Batch | None = None
    alive: bool = True
    accepted: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class Proposer:
    """Who proposed one change. answers: the last outcome by keeper, of all that it was offered to."""

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


class Broken(AssertionError):
    """An invariant does not hold."""


def require(holds: bool, text: str) -> None:
    """Broken: it does not hold."""
    if not holds:
        raise Broken(text)


Move = tuple[str, Callable[[], None]]


class World:
    """Everything at one moment, and all that may happen next."""

    def __init__(self, seed: int, bounds: Bounds, parts: Parts) -> None:
        self.chance = random.Random(seed)
        self.bounds = bounds
        self.parts = parts
        self.now = 0
        self.epochs: list[Epoch] = []
        self.states: list[ResourceState] = [EMPTY]  # by revision
        self.decided_ids: set[bytes] = set()
        self.keepers = [self._keeper(number, EMPTY) for number in range(bounds.keepers)]
        self.nodes = [Node(number, parts.replica(EMPTY), EMPTY) for number in range(bounds.nodes)]
        self.proposers: list[Proposer] = []
        self.crashes = 0

    def _keeper(self, number: int, state: ResourceState) -> Keeper:
        return Keeper(number, self.parts.queue(self.bounds.settings), state, self._log(), state)

    def _log(self) -> BatchLog:
        return BatchLog(self.bounds.log_batches, 1 << 20)

    def _seen(self, state: ResourceState) -> ResourceState:
        """A state as the parts see it."""
        return state if self.parts.remembers_ids else replace(state, decided=Map())

    # What may happen

    def moves(self) -> Iterator[Move]:
        """All that may happen now; the first word of each name is its kind."""
        if len(self.proposers) < self.bounds.changes:
            yield "think", self._think
        yield from self._epoch_moves()
        for keeper in self.keepers:
            if not keeper.alive:
                yield f"return keeper {keeper.number}", lambda k=keeper: self._return(k)  # type: ignore[misc]
                continue
            yield from self._keeper_moves(keeper)
        for node in self.nodes:
            yield from self._node_moves(node)

    def _keeper_moves(self, keeper: Keeper) -> Iterator[Move]:
        for proposer in self.proposers:
            if proposer.is_answered:
                continue
            if proposer.offers < self.bounds.offers:
                yield "offer", lambda p=proposer: self._offer(p, keeper, heard=True)  # type: ignore[misc]
                yield "offer-unheard", lambda p=proposer: self._offer(p, keeper, heard=False)  # type: ignore[misc]
            if keeper.number in proposer.answers:
                yield "ask", lambda p=proposer: self._ask(p, keeper)  # type: ignore[misc]
        if self._may_take(keeper):
            yield "take", lambda: self._take(keeper)
        if keeper.wish is not None:
            yield "propose", lambda: self._propose(keeper)
            if self.crashes < self.bounds.crashes:
                yield "propose-and-die", lambda: self._propose_and_die(keeper)
        if keeper.heard < len(self.epochs):
            yield "learn", lambda: self._learn(keeper, self.chance.random() < 0.6)
            if self.epochs[-1].settled:
                yield "jump", lambda: self._jump(keeper)
        if self.crashes < self.bounds.crashes:
            yield "crash", lambda: self._crash(keeper)

    def _node_moves(self, node: Node) -> Iterator[Move]:
        for keeper in self.keepers:
            if keeper.alive and keeper.state.revision:
                yield "send", lambda k=keeper: self._send(node, k)  # type: ignore[misc]
                yield "mix", lambda k=keeper: self._send_mixed(node, k)  # type: ignore[misc]
        if node.inbox:
            yield "receive", lambda: self._receive(node)
        if node.stored.revision < node.replica.state.revision:
            yield "store", lambda: self._store(node)
            yield "restart", lambda: self._restart(node)

    def _epoch_moves(self) -> Iterator[Move]:
        if self.epochs and not self.epochs[-1].settled:
            yield "settle", self._settle

    # Proposers

    def _think(self) -> None:
        """Somebody makes a change, on what some keeper knows."""
        state = self.chance.choice(self.keepers).state
        name = self.chance.choice(NAMES)
        there = state.resources.get(Key(Kind.ROUTE, name))
        if there is not None and self.chance.random() < 0.5:
            operation: Operation = Delete(Kind.ROUTE, name, there.version)
        else:
            base = there.version if there is not None else 0
            operation = Upsert(Kind.ROUTE, name, base, b"%d" % len(self.proposers))
        change_id = len(self.proposers).to_bytes(CHANGE_ID_BYTES, "big")
        change = Change(change_id, state.revision, "why", "who", (operation,))
        self.proposers.append(Proposer(change, self.chance.random() < self.bounds.bad))

    def _offer(self, proposer: Proposer, keeper: Keeper, heard: bool) -> None:
        """A change is offered to a keeper; heard: whether the answer arrives."""
        proposer.offers += 1
        if self.parts.voids_answers:
            proposer.answers[keeper.number] = Unknown()
        proposer.answers.setdefault(keeper.number, Unknown())
        if proposer.change.made_on > keeper.state.revision:
            return  # a keeper that is behind sends proposers away
        answer = keeper.queue.offer(proposer.change, self._seen(keeper.state), self.now)
        if isinstance(answer, Queued):
            keeper.accepted.add(proposer.change.id)
        if not heard or isinstance(answer, Busy):
            return
        outcome = self._outcome(keeper, proposer.change.id)
        if isinstance(answer, RejectedNow) and not isinstance(outcome, InForce):
            outcome = Rejected(answer.problems)
        self._tell(proposer, keeper, outcome)

    def _ask(self, proposer: Proposer, keeper: Keeper) -> None:
        """A proposer asks a keeper what became of its change."""
        self._tell(proposer, keeper, self._outcome(keeper, proposer.change.id))

    def _outcome(self, keeper: Keeper, change_id: bytes) -> Outcome:
        """What a keeper says of a change: by what it knows to be decided or proposed, then by its queue."""
        revision = keeper.state.revision_of(change_id)
        if revision is not None:
            return InForce(revision)
        last = self.epochs[keeper.heard - 1] if keeper.heard else None
        if last is not None and not last.settled and change_id in ids_of(last.batch):
            return UnderWay(last.batch.revision)
        return keeper.queue.outcome(change_id, self.now)

    def _tell(self, proposer: Proposer, keeper: Keeper, outcome: Outcome) -> None:
        proposer.answers[keeper.number] = outcome
        proposer.verdict = self.parts.verdict(list(proposer.answers.values()))
        self._check_verdict(proposer)

    # Keepers

    def _may_take(self, keeper: Keeper) -> bool:
        settled = not keeper.heard or self.epochs[keeper.heard - 1].settled
        return settled and keeper.wish is None and keeper.queue.next_take_ns(self.now) == 0

    def _take(self, keeper: Keeper) -> None:
        before = self._refused_at(keeper)
        assembled = keeper.queue.take(self._seen(keeper.state), self.now)
        if assembled is not None:
            keeper.wish = assembled.batch
        for change_id in self._refused_at(keeper) - before:
            self._check_refusal(keeper, self.proposer_of(change_id).change)

    def _refused_at(self, keeper: Keeper) -> set[bytes]:
        """The changes that a keeper accepted and refused."""
        outcomes = {change_id: keeper.queue.outcome(change_id, self.now) for change_id in keeper.accepted}
        return {change_id for change_id, outcome in outcomes.items() if isinstance(outcome, Rejected)}

    def _check_refusal(self, keeper: Keeper, change: Change) -> None:
        """A change that was refused when a batch was made does not fit what is decided."""
        try:
            keeper.state.check(change)
        except ChangeRefused:
            return
        require(False, f"change {int.from_bytes(change.id, 'big')} is refused, and fits what is decided")

    def _propose(self, keeper: Keeper) -> None:
        """The keeper has its batch proposed, if it knows the last epoch; else another one was first."""
        batch, keeper.wish = keeper.wish, None
        assert batch is not None
        if keeper.heard == len(self.epochs):
            self.epochs.append(Epoch(batch, settled=False))
            keeper.heard += 1
        else:
            keeper.queue.lost(batch, self._seen(keeper.state), self.now)

    def _propose_and_die(self, keeper: Keeper) -> None:
        """The keeper's batch is proposed, and it dies before it knows."""
        heard = keeper.heard
        self._propose(keeper)
        keeper.heard = heard
        self._crash(keeper)

    def _settle(self) -> None:
        """What was proposed is decided, or dropped where nodes cannot serve it; whoever drove may be dead."""
        batch = self.epochs[-1].batch
        if any(self.proposer_of(change_id).bad for change_id in ids_of(batch)):
            self.epochs.append(Epoch(batch, settled=True))
            return
        for change_id in ids_of(batch):
            require(change_id not in self.decided_ids, f"change {change_id.hex()[-2:]} is decided twice")
            self.decided_ids.add(change_id)
        self.states.append(follow(self._seen(self.states[-1]), batch))
        self.epochs.append(Epoch(batch, settled=True, decided=True))

    def _learn(self, keeper: Keeper, names: bool) -> None:
        """A keeper learns of the next epoch; names: whether nodes told it which changes they cannot serve."""
        epoch = self.epochs[keeper.heard]
        keeper.heard += 1
        keeper.wish = None
        own = keeper.queue.under_way
        if not epoch.settled:
            if own is not None and own != epoch.batch:
                keeper.queue.lost(own, self._seen(keeper.state), self.now)
            return
        if epoch.decided:
            if epoch.batch.revision == keeper.state.revision + 1:
                self._append(keeper, epoch.batch)
            keeper.queue.decided(epoch.batch, self.now)
            return
        bad = [one for one in ids_of(epoch.batch) if self.proposer_of(one).bad]
        reasons = dict.fromkeys(bad[:1], CANNOT) if names else {}
        keeper.queue.dropped(epoch.batch, reasons, self.now, CANNOT)

    def _append(self, keeper: Keeper, batch: Batch) -> None:
        """One more batch in a keeper's log; where that is full it begins anew behind a snapshot."""
        if keeper.state.revision - keeper.snapshot.revision >= self.bounds.log_batches:
            keeper.snapshot = keeper.state
            keeper.log = self._log()
        keeper.state = follow(self._seen(keeper.state), batch)
        keeper.log.append(batch, 1)

    def _jump(self, keeper: Keeper) -> None:
        """A keeper that is behind takes a snapshot of the last state and hears nothing of the rest."""
        keeper.heard = len(self.epochs)
        keeper.wish = None
        if keeper.state.revision < len(self.states) - 1:
            keeper.state = keeper.snapshot = self.states[-1]
            keeper.log = self._log()
        own = keeper.queue.under_way
        if own is not None:
            keeper.queue.lost(own, self._seen(keeper.state), self.now)

    def _crash(self, keeper: Keeper) -> None:
        """A keeper dies with its queue; what it knows to be decided is on its disk."""
        self.crashes += 1
        keeper.alive = False
        keeper.wish = None

    def _return(self, keeper: Keeper) -> None:
        keeper.alive = True
        keeper.queue = self.parts.queue(self.bounds.settings)
        keeper.accepted = set()

    # Nodes

    def _send(self, node: Node, keeper: Keeper) -> None:
        """A keeper answers what a node lacks, from the revision that it had when it asked."""
        node.inbox.append(delivery_from(keeper, node.replica.state.revision))
        del node.inbox[:-INBOX]

    def _send_mixed(self, node: Node, keeper: Keeper) -> None:
        """The node asks one keeper for a snapshot and another one for what it lacks, or a batch gets lost."""
        other = self.chance.choice([one for one in self.keepers if one.alive])
        batches = list(delivery_from(keeper, node.replica.state.revision).batches)
        snapshot: ResourceState | None = other.snapshot
        if batches and self.chance.random() < 0.5:
            del batches[self.chance.randrange(len(batches))]
            snapshot = None
        node.inbox.append(Delivery(snapshot, tuple(batches)))
        del node.inbox[:-INBOX]

    def _receive(self, node: Node) -> None:
        """A delivery arrives; it may arrive again."""
        place = self.chance.randrange(len(node.inbox))
        delivery = node.inbox[place]
        if self.chance.random() < 0.7:
            del node.inbox[place]
        before = node.replica.state.revision
        try:
            node.replica.receive(delivery)
        except BatchMismatch:
            require(node.replica.state.revision == before, f"node {node.number} took in half of a delivery")
        after = node.replica.state.revision
        require(after >= before, f"node {node.number} went back from {before} to {after}")

    def _store(self, node: Node) -> None:
        node.stored = node.replica.state

    def _restart(self, node: Node) -> None:
        """A node dies and starts from its disk; what was on its way may still arrive."""
        node.replica = self.parts.replica(node.stored)

    # Invariants

    def proposer_of(self, change_id: bytes) -> Proposer:
        """Who proposed a change."""
        return self.proposers[int.from_bytes(change_id, "big")]

    def check(self) -> None:
        """Broken: an invariant does not hold."""
        for holder, state in self._all_states():
            require(
                state.revision < len(self.states), f"{holder} is at {state.revision}, which nobody decided"
            )
            same = state.digest == self.states[state.revision].digest
            require(same, f"{holder} has another state at {state.revision}")
        for proposer in self.proposers:
            self._check_verdict(proposer)
        for keeper in self.keepers:
            self._check_queue(keeper)

    def _all_states(self) -> Iterator[tuple[str, ResourceState]]:
        for keeper in self.keepers:
            yield f"keeper {keeper.number}", keeper.state
        for node in self.nodes:
            yield f"node {node.number}", node.replica.state

    def _check_verdict(self, proposer: Proposer) -> None:
        """What a proposer was told is true, and of its own change."""
        change_id, verdict = proposer.change.id, proposer.verdict
        name = f"change {int.from_bytes(change_id, 'big')}"
        if isinstance(verdict, InForce):
            require(change_id in self.decided_ids, f"{name} is told to be in force and was not decided")
            there = self._ids_at(verdict.revision)
            require(change_id in there, f"{name} is told to be of revision {verdict.revision}")
        elif isinstance(verdict, Rejected):
            require(change_id not in self.decided_ids, f"{name} is told to be refused and is in force")
            if verdict.problems == CANNOT:
                require(proposer.bad, f"{name} is refused, and nodes can serve it")

    def _ids_at(self, revision: int) -> tuple[bytes, ...]:
        return self.states[revision].ids_at.get(revision, ()) if revision < len(self.states) else ()

    def _check_queue(self, keeper: Keeper) -> None:
        settings = self.bounds.settings
        require(len(keeper.queue) <= settings.max_changes, f"keeper {keeper.number}'s queue is too long")
        if keeper.alive:
            for change_id in keeper.accepted:
                known = not isinstance(keeper.queue.outcome(change_id, self.now), Unknown)
                require(known, f"keeper {keeper.number} forgot change {int.from_bytes(change_id, 'big')}")
        for proposer in self.proposers:
            outcome = keeper.queue.outcome(proposer.change.id, self.now)
            if isinstance(outcome, Rejected) and outcome.problems == CANNOT:
                number = int.from_bytes(proposer.change.id, "big")
                require(proposer.bad, f"change {number} is refused with a bad one")

    # The end

    def finish(self) -> None:
        """No more faults: all hear one another until every change is answered. Broken: one never is."""
        for keeper in self.keepers:
            if not keeper.alive:
                self._return(keeper)
        for _ in range(ROUNDS_FOR_EACH * (len(self.proposers) + 1)):
            self.now += 1
            if not self._one_calm_round():
                break
        for proposer in self.proposers:
            number = int.from_bytes(proposer.change.id, "big")
            require(proposer.is_answered or not proposer.answers, f"change {number} is never answered")
        for node in self.nodes:
            node.inbox.clear()
            node.replica.receive(delivery_from(self.keepers[0], node.replica.state.revision))
        self.check()
        for holder, state in self._all_states():
            require(state.revision == len(self.states) - 1, f"{holder} stays at {state.revision}")

    def _one_calm_round(self) -> bool:
        """Whether anything is left to do."""
        if self.epochs and not self.epochs[-1].settled:
            self._settle()
        for keeper in self.keepers:
            while keeper.heard < len(self.epochs):
                self._learn(keeper, names=False)
        for proposer in self.proposers:
            self._ask_again(proposer)
        for keeper in self.keepers:
            if self._may_take(keeper):
                self._take(keeper)
            if keeper.wish is not None:
                self._propose(keeper)
        self.check()
        open_ones = any(proposer.answers and not proposer.is_answered for proposer in self.proposers)
        return open_ones or any(keeper.heard < len(self.epochs) for keeper in self.keepers)

    def _ask_again(self, proposer: Proposer) -> None:
        """A proposer asks all that it offered its change to, and offers it again where it is not known."""
        for number in list(proposer.answers):
            if proposer.is_answered:
                return
            self._ask(proposer, self.keepers[number])
            if isinstance(proposer.answers[number], Unknown):
                self._offer(proposer, self.keepers[number], heard=True)


def ids_of(batch: Batch) -> tuple[bytes, ...]:
    """The ids of the changes in a batch."""
    return tuple(change.id for change in batch.changes)


def delivery_from(keeper: Keeper, revision: int) -> Delivery:
    """What a keeper sends to one that has a revision: a delta, or its snapshot with all that follows it."""
    if revision >= keeper.snapshot.revision:
        return Delivery(None, keeper.log.since(revision) or ())
    return Delivery(keeper.snapshot, keeper.log.since(keeper.snapshot.revision) or ())


# How often a walk takes each kind of move.
WEIGHTS = {
    "think": 2.0,
    "offer": 3.0,
    "offer-unheard": 1.0,
    "ask": 3.0,
    "take": 3.0,
    "propose": 3.0,
    "propose-and-die": 0.3,
    "settle": 3.0,
    "learn": 4.0,
    "jump": 0.6,
    "crash": 0.3,
    "return": 1.0,
    "send": 1.5,
    "mix": 0.7,
    "receive": 2.5,
    "store": 0.5,
    "restart": 0.4,
}


@dataclass
class Found:
    """What a walk came to. wrong: the invariant that did not hold, after these steps; empty where all did."""

    steps: list[str] = field(default_factory=list)
    wrong: str = ""
    answered: int = 0
    revisions: int = 0


def walk(seed: int, bounds: Bounds | None = None, parts: Parts | None = None) -> Found:
    """One way drawn from a seed, first the kind of move and then one of it; and its end without faults."""
    bounds = bounds or Bounds()
    world = World(seed, bounds, parts or Parts())
    found = Found()
    try:
        for _ in range(bounds.steps):
            found.steps.append(step(world))
            world.check()
        found.steps.append("faults end")
        world.finish()
    except (Broken, BatchMismatch) as error:
        found.wrong = str(error)
    found.answered = sum(proposer.is_answered for proposer in world.proposers)
    found.revisions = len(world.states) - 1
    return found


def step(world: World) -> str:
    """One move; its name."""
    world.now += 1
    kinds: dict[str, list[Move]] = {}
    for name, move in world.moves():
        kinds.setdefault(name.partition(" ")[0], []).append((name, move))
    (kind,) = world.chance.choices(list(kinds), [WEIGHTS[kind] for kind in kinds])
    name, move = world.chance.choice(kinds[kind])
    move()
    return name


def main() -> int:
    """Search, and tell what was found; 1 if an invariant did not hold."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    arguments = parser.parse_args()
    answered = revisions = 0
    for seed in range(arguments.first, arguments.first + arguments.walks):
        found = walk(seed)
        answered += found.answered
        revisions += found.revisions
        if found.wrong:
            print(f"seed {seed}: {found.wrong}, by")
            for line in found.steps:
                print(f"  {line}")
            return 1
    print(f"{arguments.walks} walks: {answered} changes answered, {revisions} batches decided")
    return 0


if __name__ == "__main__":
    sys.exit(main())
