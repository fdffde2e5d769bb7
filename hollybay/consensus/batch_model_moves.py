"""The moves of the group commit model: all events including faults, and a final phase without faults.

Here are the moves of voters: their batches may be superseded, and they may crash and lose their queues. The
moves of proposers and nodes are in `batch_model_proposers` and `batch_model_nodes`.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from hollybay.resources.batch import Batch, apply_batch

from .batch_model import CANNOT_SERVE, Epoch, Move, Voter, ids_of, number_of
from .batch_model_invariants import (
    check_complete,
    check_queue_rejection,
    check_state,
    require,
)
from .batch_model_nodes import NodeMoves, delivery_from
from .batch_model_proposers import ProposerMoves
from .proposal_outcomes import Rejected

__all__ = ["World"]

# Maximum number of rounds of the final phase per change, far more than it needs.
MAX_FINAL_ROUNDS_PER_CHANGE = 40
# Probability that a voter learns which change of a dropped batch nodes named.
NAMING_PROBABILITY = 0.6


class World(ProposerMoves, NodeMoves):
    """A model state with its moves."""

    # Moves

    def moves(self) -> Iterator[Move]:
        """All moves that are possible now; the first word of a move's name is its kind."""
        if len(self.proposers) < self.bounds.changes:
            yield "think", self.make_change
        if self.epochs and not self.epochs[-1].settled:
            yield "settle", self._settle
        for voter in self.voters:
            if voter.alive:
                yield from self.proposer_moves(voter)
                yield from self._voter_moves(voter)
            else:
                yield f"return voter {voter.number}", partial(self._restart_voter, voter)
        for node in self.nodes:
            yield from self.node_moves(node)

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

    # Voters

    def _may_form_batch(self, voter: Voter) -> bool:
        settled = not voter.known_epochs or self.epochs[voter.known_epochs - 1].settled
        return settled and voter.next_batch is None and voter.queue.next_batch_delay_ns(self.now) == 0

    def _form_batch(self, voter: Voter) -> None:
        before = self._rejected_at(voter)
        assembled = voter.queue.next_batch(self.visible_state(voter.state), self.now)
        if assembled is not None:
            voter.next_batch = assembled.batch
        for change_id in self._rejected_at(voter) - before:
            check_queue_rejection(voter, self.proposer_of(change_id).change)

    def _rejected_at(self, voter: Voter) -> set[bytes]:
        """The ids of the changes that a voter accepted and then rejected."""
        outcomes = {change_id: voter.queue.outcome(change_id, self.now) for change_id in voter.accepted}
        return {change_id for change_id, outcome in outcomes.items() if isinstance(outcome, Rejected)}

    def _propose(self, voter: Voter) -> None:
        """A voter proposes its batch if it knows the last epoch; otherwise another batch supersedes it."""
        batch, voter.next_batch = voter.next_batch, None
        assert batch is not None
        if voter.known_epochs == len(self.epochs):
            self.epochs.append(Epoch(batch, settled=False))
            voter.known_epochs += 1
        else:
            voter.queue.batch_superseded(batch, self.visible_state(voter.state), self.now)

    def _propose_and_crash(self, voter: Voter) -> None:
        """A voter proposes its batch and crashes before it learns of the epoch."""
        known_epochs = voter.known_epochs
        self._propose(voter)
        voter.known_epochs = known_epochs
        self._crash(voter)

    def _settle(self) -> None:
        """The proposed batch is decided, or dropped if nodes cannot serve it. Its proposer may be down."""
        batch = self.epochs[-1].batch
        if any(self.proposer_of(change_id).is_unserviceable for change_id in ids_of(batch)):
            self.epochs.append(Epoch(batch, settled=True))
            return
        for change_id in ids_of(batch):
            require(change_id not in self.decided_ids, f"change {change_id.hex()[-2:]} is decided twice")
            self.decided_ids.add(change_id)
        self.states.append(apply_batch(self.visible_state(self.states[-1]), batch))
        self.epochs.append(Epoch(batch, settled=True, decided=True))

    def _learn_by_chance(self, voter: Voter) -> None:
        self._learn(voter, names=self.random.random() < NAMING_PROBABILITY)

    def _learn(self, voter: Voter, names: bool) -> None:
        """A voter learns of the next epoch. names: whether nodes named a change that they cannot serve."""
        epoch = self.epochs[voter.known_epochs]
        voter.known_epochs += 1
        voter.next_batch = None
        own = voter.queue.batch_in_progress
        if not epoch.settled:
            if own is not None and own != epoch.batch:
                voter.queue.batch_superseded(own, self.visible_state(voter.state), self.now)
            return
        if epoch.decided:
            if epoch.batch.revision == voter.state.revision + 1:
                self._append(voter, epoch.batch)
            voter.queue.batch_decided(epoch.batch, self.now)
            return
        unserviceable = [
            change_id for change_id in ids_of(epoch.batch) if self.proposer_of(change_id).is_unserviceable
        ]
        reasons = dict.fromkeys(unserviceable[:1], CANNOT_SERVE) if names else {}
        voter.queue.batch_dropped(epoch.batch, reasons, self.now, CANNOT_SERVE)

    def _append(self, voter: Voter, batch: Batch) -> None:
        """Append a batch to a voter's log; if that is full, it is replaced by a snapshot first."""
        if voter.state.revision - voter.snapshot.revision >= self.bounds.log_batches:
            voter.snapshot = voter.state
            voter.log = self.new_log()
        voter.state = apply_batch(self.visible_state(voter.state), batch)
        voter.log.append(batch, 1)

    def _catch_up(self, voter: Voter) -> None:
        """A voter that is behind installs a snapshot of the last state and skips the epochs before it."""
        voter.known_epochs = len(self.epochs)
        voter.next_batch = None
        if voter.state.revision < len(self.states) - 1:
            voter.state = voter.snapshot = self.states[-1]
            voter.log = self.new_log()
        own = voter.queue.batch_in_progress
        if own is not None:
            voter.queue.batch_superseded(own, self.visible_state(voter.state), self.now)

    def _crash(self, voter: Voter) -> None:
        """A voter crashes and loses its queue; its state is on its disk."""
        self.crashes += 1
        voter.alive = False
        voter.next_batch = None

    def _restart_voter(self, voter: Voter) -> None:
        voter.alive = True
        voter.queue = self.components.queue(self.bounds.settings)
        voter.accepted = set()

    # Final phase

    def finish(self) -> None:
        """Continue without faults until every offered change has an outcome. InvariantError: one has none."""
        for voter in self.voters:
            if not voter.alive:
                self._restart_voter(voter)
        for _ in range(MAX_FINAL_ROUNDS_PER_CHANGE * (len(self.proposers) + 1)):
            self.now += 1
            if not self._run_faultless_round():
                break
        for proposer in self.proposers:
            number = number_of(proposer.change.id)
            require(proposer.is_answered or not proposer.answers, f"change {number} is never answered")
        for node in self.nodes:
            node.inbox.clear()
            node.replica.receive(delivery_from(self.voters[0], node.replica.state.revision))
        check_complete(self)

    def _run_faultless_round(self) -> bool:
        """Run one round without faults; returns whether anything is left to do."""
        if self.epochs and not self.epochs[-1].settled:
            self._settle()
        for voter in self.voters:
            while voter.known_epochs < len(self.epochs):
                self._learn(voter, names=False)
        for proposer in self.proposers:
            self.poll_all(proposer)
        for voter in self.voters:
            if self._may_form_batch(voter):
                self._form_batch(voter)
            if voter.next_batch is not None:
                self._propose(voter)
        check_state(self)
        has_open_change = any(proposer.answers and not proposer.is_answered for proposer in self.proposers)
        return has_open_change or any(voter.known_epochs < len(self.epochs) for voter in self.voters)
