"""The moves of the model check of group commit: all that may happen, with faults, and an end without.

Answers are lost, proposals are repeated at other voters, batches lose to others, voters die with their
queues, and nodes receive deltas and snapshots late, twice, out of order and from several voters.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

from hollybay.resources.batch import Batch, BatchMismatchError, apply_batch
from hollybay.resources.model import CHANGE_ID_BYTES, Change, Delete, Key, Kind, Operation, Upsert
from hollybay.resources.state import ResourceState

from .batch_model import (
    CANNOT,
    Delivery,
    Epoch,
    ModelState,
    Node,
    Proposer,
    Voter,
    ids_of,
    number_of,
)
from .batch_model_invariants import (
    check_complete,
    check_queue_rejection,
    check_state,
    check_verdict,
    require,
)
from .proposal_outcomes import Busy, InForce, Outcome, Queued, Rejected, RejectedNow, UnderWay, Unknown

__all__ = ["Move", "World"]

# The names of all routes.
NAMES = ("a", "b")
# How many events the end of a walk, without faults, may need for each change; many more than it does.
ROUNDS_FOR_EACH = 40
# How many deliveries may be on their way to one node.
INBOX = 4
# How often a change deletes a resource that exists, a voter learns which changes nodes named, a batch of a
# mixed delivery gets lost, and a delivery arrives only once.
DELETE_PROBABILITY = 0.5
NAMING_PROBABILITY = 0.6
LOST_BATCH_PROBABILITY = 0.5
SINGLE_DELIVERY_PROBABILITY = 0.7

# The name of a move, and what it does.
Move = tuple[str, Callable[[], None]]


class World(ModelState):
    """A model state, and all that may happen next."""

    # Moves

    def moves(self) -> Iterator[Move]:
        """All that may happen now; the first word of each name is its kind."""
        if len(self.proposers) < self.bounds.changes:
            yield "think", self._make_change
        if self.epochs and not self.epochs[-1].settled:
            yield "settle", self._settle
        for voter in self.voters:
            if voter.alive:
                yield from self._proposer_moves(voter)
                yield from self._voter_moves(voter)
            else:
                yield f"return keeper {voter.number}", partial(self._restart_voter, voter)
        for node in self.nodes:
            yield from self._node_moves(node)

    def _proposer_moves(self, voter: Voter) -> Iterator[Move]:
        for proposer in self.proposers:
            if proposer.is_answered:
                continue
            if proposer.offers < self.bounds.offers:
                yield "offer", partial(self._offer, proposer, voter, is_reply_received=True)
                yield "offer-unheard", partial(self._offer, proposer, voter, is_reply_received=False)
            if voter.number in proposer.answers:
                yield "ask", partial(self._poll, proposer, voter)

    def _voter_moves(self, voter: Voter) -> Iterator[Move]:
        may_crash = self.crashes < self.bounds.crashes
        if self._may_form_batch(voter):
            yield "take", partial(self._form_batch, voter)
        if voter.next_batch is not None:
            yield "propose", partial(self._propose, voter)
            if may_crash:
                yield "propose-and-die", partial(self._propose_and_crash, voter)
        if voter.known_epochs < len(self.epochs):
            yield "learn", partial(self._learn_by_chance, voter)
            if self.epochs[-1].settled:
                yield "jump", partial(self._catch_up, voter)
        if may_crash:
            yield "crash", partial(self._crash, voter)

    def _node_moves(self, node: Node) -> Iterator[Move]:
        for voter in self.voters:
            if voter.alive and voter.state.revision:
                yield "send", partial(self._send, node, voter)
                yield "mix", partial(self._send_mixed, node, voter)
        if node.inbox:
            yield "receive", partial(self._receive, node)
        if node.stored.revision < node.replica.state.revision:
            yield "store", partial(self._store, node)
            yield "restart", partial(self._restart_node, node)

    # Proposers

    def _make_change(self) -> None:
        """A proposer makes a change on the state that some voter knows."""
        state = self.random.choice(self.voters).state
        name = self.random.choice(NAMES)
        there = state.resources.get(Key(Kind.ROUTE, name))
        if there is not None and self.random.random() < DELETE_PROBABILITY:
            operation: Operation = Delete(Kind.ROUTE, name, there.version)
        else:
            base = there.version if there is not None else 0
            operation = Upsert(Kind.ROUTE, name, base, b"%d" % len(self.proposers))
        change_id = len(self.proposers).to_bytes(CHANGE_ID_BYTES, "big")
        change = Change(change_id, state.revision, "why", "who", (operation,))
        self.proposers.append(Proposer(change, self.random.random() < self.bounds.bad))

    def _offer(self, proposer: Proposer, voter: Voter, is_reply_received: bool) -> None:
        """A change is offered to a voter; is_reply_received: whether its answer arrives."""
        proposer.offers += 1
        if self.parts.voids_answers:
            proposer.answers[voter.number] = Unknown()
        proposer.answers.setdefault(voter.number, Unknown())
        if proposer.change.base_revision > voter.state.revision:
            return  # a voter that is behind sends proposers away
        answer = voter.queue.offer(proposer.change, self.seen(voter.state), self.now)
        if isinstance(answer, Queued):
            voter.accepted.add(proposer.change.id)
        if not is_reply_received or isinstance(answer, Busy):
            return
        outcome = self._outcome(voter, proposer.change.id)
        if isinstance(answer, RejectedNow) and not isinstance(outcome, InForce):
            outcome = Rejected(answer.problems)
        self._receive_answer(proposer, voter, outcome)

    def _poll(self, proposer: Proposer, voter: Voter) -> None:
        """A proposer asks a voter for the outcome of its change."""
        self._receive_answer(proposer, voter, self._outcome(voter, proposer.change.id))

    def _outcome(self, voter: Voter, change_id: bytes) -> Outcome:
        """The outcome of a change as a voter knows it: by epochs first, then by its queue."""
        revision = voter.state.revision_of(change_id)
        if revision is not None:
            return InForce(revision)
        last = self.epochs[voter.known_epochs - 1] if voter.known_epochs else None
        if last is not None and not last.settled and change_id in ids_of(last.batch):
            return UnderWay(last.batch.revision)
        return voter.queue.outcome(change_id, self.now)

    def _receive_answer(self, proposer: Proposer, voter: Voter, outcome: Outcome) -> None:
        proposer.answers[voter.number] = outcome
        proposer.verdict = self.parts.verdict(list(proposer.answers.values()))
        check_verdict(self, proposer)

    # Voters

    def _may_form_batch(self, voter: Voter) -> bool:
        settled = not voter.known_epochs or self.epochs[voter.known_epochs - 1].settled
        return settled and voter.next_batch is None and voter.queue.next_batch_delay_ns(self.now) == 0

    def _form_batch(self, voter: Voter) -> None:
        before = self._rejected_at(voter)
        assembled = voter.queue.next_batch(self.seen(voter.state), self.now)
        if assembled is not None:
            voter.next_batch = assembled.batch
        for change_id in self._rejected_at(voter) - before:
            check_queue_rejection(voter, self.proposer_of(change_id).change)

    def _rejected_at(self, voter: Voter) -> set[bytes]:
        """The changes that a voter accepted and then rejected."""
        outcomes = {change_id: voter.queue.outcome(change_id, self.now) for change_id in voter.accepted}
        return {change_id for change_id, outcome in outcomes.items() if isinstance(outcome, Rejected)}

    def _propose(self, voter: Voter) -> None:
        """A voter proposes its batch if it knows the last epoch; otherwise another batch came first."""
        batch, voter.next_batch = voter.next_batch, None
        assert batch is not None
        if voter.known_epochs == len(self.epochs):
            self.epochs.append(Epoch(batch, settled=False))
            voter.known_epochs += 1
        else:
            voter.queue.batch_superseded(batch, self.seen(voter.state), self.now)

    def _propose_and_crash(self, voter: Voter) -> None:
        """A voter proposes its batch and crashes before it knows the epoch."""
        known_epochs = voter.known_epochs
        self._propose(voter)
        voter.known_epochs = known_epochs
        self._crash(voter)

    def _settle(self) -> None:
        """The proposed batch is decided, or dropped if nodes cannot serve it; its proposer may be down."""
        batch = self.epochs[-1].batch
        if any(self.proposer_of(change_id).bad for change_id in ids_of(batch)):
            self.epochs.append(Epoch(batch, settled=True))
            return
        for change_id in ids_of(batch):
            require(change_id not in self.decided_ids, f"change {change_id.hex()[-2:]} is decided twice")
            self.decided_ids.add(change_id)
        self.states.append(apply_batch(self.seen(self.states[-1]), batch))
        self.epochs.append(Epoch(batch, settled=True, decided=True))

    def _learn_by_chance(self, voter: Voter) -> None:
        self._learn(voter, names=self.random.random() < NAMING_PROBABILITY)

    def _learn(self, voter: Voter, names: bool) -> None:
        """A voter learns of the next epoch; names: whether nodes told it which changes they cannot serve."""
        epoch = self.epochs[voter.known_epochs]
        voter.known_epochs += 1
        voter.next_batch = None
        own = voter.queue.batch_in_progress
        if not epoch.settled:
            if own is not None and own != epoch.batch:
                voter.queue.batch_superseded(own, self.seen(voter.state), self.now)
            return
        if epoch.decided:
            if epoch.batch.revision == voter.state.revision + 1:
                self._append(voter, epoch.batch)
            voter.queue.batch_decided(epoch.batch, self.now)
            return
        bad = [change_id for change_id in ids_of(epoch.batch) if self.proposer_of(change_id).bad]
        reasons = dict.fromkeys(bad[:1], CANNOT) if names else {}
        voter.queue.batch_dropped(epoch.batch, reasons, self.now, CANNOT)

    def _append(self, voter: Voter, batch: Batch) -> None:
        """One more batch in a voter's log; where that is full it begins anew behind a snapshot."""
        if voter.state.revision - voter.snapshot.revision >= self.bounds.log_batches:
            voter.snapshot = voter.state
            voter.log = self.new_log()
        voter.state = apply_batch(self.seen(voter.state), batch)
        voter.log.append(batch, 1)

    def _catch_up(self, voter: Voter) -> None:
        """A voter that is behind takes a snapshot of the last state and hears nothing of the rest."""
        voter.known_epochs = len(self.epochs)
        voter.next_batch = None
        if voter.state.revision < len(self.states) - 1:
            voter.state = voter.snapshot = self.states[-1]
            voter.log = self.new_log()
        own = voter.queue.batch_in_progress
        if own is not None:
            voter.queue.batch_superseded(own, self.seen(voter.state), self.now)

    def _crash(self, voter: Voter) -> None:
        """A voter dies with its queue; what it knows to be decided is on its disk."""
        self.crashes += 1
        voter.alive = False
        voter.next_batch = None

    def _restart_voter(self, voter: Voter) -> None:
        voter.alive = True
        voter.queue = self.parts.queue(self.bounds.settings)
        voter.accepted = set()

    # Nodes

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

    # The end

    def finish(self) -> None:
        """End the walk without faults until every change is answered. InvariantError: one never is."""
        for voter in self.voters:
            if not voter.alive:
                self._restart_voter(voter)
        for _ in range(ROUNDS_FOR_EACH * (len(self.proposers) + 1)):
            self.now += 1
            if not self._run_quiet_round():
                break
        for proposer in self.proposers:
            number = number_of(proposer.change.id)
            require(proposer.is_answered or not proposer.answers, f"change {number} is never answered")
        for node in self.nodes:
            node.inbox.clear()
            node.replica.receive(delivery_from(self.voters[0], node.replica.state.revision))
        check_complete(self)

    def _run_quiet_round(self) -> bool:
        """Whether anything is left to do."""
        if self.epochs and not self.epochs[-1].settled:
            self._settle()
        for voter in self.voters:
            while voter.known_epochs < len(self.epochs):
                self._learn(voter, names=False)
        for proposer in self.proposers:
            self._poll_all(proposer)
        for voter in self.voters:
            if self._may_form_batch(voter):
                self._form_batch(voter)
            if voter.next_batch is not None:
                self._propose(voter)
        check_state(self)
        open_ones = any(proposer.answers and not proposer.is_answered for proposer in self.proposers)
        return open_ones or any(voter.known_epochs < len(self.epochs) for voter in self.voters)

    def _poll_all(self, proposer: Proposer) -> None:
        """A proposer asks all that it offered its change to, and offers it again where it is not known."""
        for number in list(proposer.answers):
            if proposer.is_answered:
                return
            self._poll(proposer, self.voters[number])
            if isinstance(proposer.answers[number], Unknown):
                self._offer(proposer, self.voters[number], is_reply_received=True)


def delivery_from(voter: Voter, revision: int) -> Delivery:
    """What a voter sends to one that has a revision: a delta, or its snapshot with all that follows it."""
    if revision >= voter.snapshot.revision:
        return Delivery(None, voter.log.since(revision) or ())
    return Delivery(voter.snapshot, voter.log.since(voter.snapshot.revision) or ())
