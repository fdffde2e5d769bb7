"""The proposers in the group commit model: they create changes, offer them to voters and poll for outcomes.

Replies may be lost, and a change may be offered again to the same or another voter.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from hollybay.resources.model import CHANGE_ID_BYTES, Change, Delete, Key, Kind, Operation, Upsert

from .batch_model import ModelState, Move, Proposer, Voter, ids_of
from .batch_model_invariants import check_verdict
from .proposal_outcomes import Busy, InForce, OfferRejected, Outcome, Queued, Rejected, UnderWay, Unknown

__all__ = ["ProposerMoves"]

# The names of the routes that changes modify.
NAMES = ("a", "b")
# Probability that a change of an existing resource deletes it.
DELETE_PROBABILITY = 0.5


class ProposerMoves(ModelState):
    """The moves of proposers."""

    def proposer_moves(self, voter: Voter) -> Iterator[Move]:
        """The possible moves of proposers at a voter."""
        for proposer in self.proposers:
            if proposer.is_answered:
                continue
            if proposer.offers < self.bounds.offers:
                yield "offer", partial(self._offer, proposer, voter, is_reply_received=True)
                yield "offer-unheard", partial(self._offer, proposer, voter, is_reply_received=False)
            if voter.number in proposer.answers:
                yield "ask", partial(self._poll, proposer, voter)

    def make_change(self) -> None:
        """A proposer creates a change based on the state of some voter."""
        state = self.random.choice(self.voters).state
        name = self.random.choice(NAMES)
        existing = state.resources.get(Key(Kind.ROUTE, name))
        if existing is not None and self.random.random() < DELETE_PROBABILITY:
            operation: Operation = Delete(Kind.ROUTE, name, existing.version)
        else:
            base = existing.version if existing is not None else 0
            operation = Upsert(Kind.ROUTE, name, base, b"%d" % len(self.proposers))
        change_id = len(self.proposers).to_bytes(CHANGE_ID_BYTES, "big")
        change = Change(change_id, state.revision, "why", "who", (operation,))
        self.proposers.append(Proposer(change, self.random.random() < self.bounds.unserviceable_fraction))

    def _offer(self, proposer: Proposer, voter: Voter, is_reply_received: bool) -> None:
        """A proposer offers its change to a voter. is_reply_received: whether the reply arrives."""
        proposer.offers += 1
        if self.components.discards_earlier_answers:
            proposer.answers[voter.number] = Unknown()
        proposer.answers.setdefault(voter.number, Unknown())
        if proposer.change.base_revision > voter.state.revision:
            return  # a voter that is behind queues nothing and tells proposers to retry later
        answer = voter.queue.offer(proposer.change, self.visible_state(voter.state), self.now)
        if isinstance(answer, Queued):
            voter.accepted.add(proposer.change.id)
        if not is_reply_received or isinstance(answer, Busy):
            return
        outcome = self._outcome(voter, proposer.change.id)
        if isinstance(answer, OfferRejected) and not isinstance(outcome, InForce):
            outcome = Rejected(answer.problems)
        self._receive_answer(proposer, voter, outcome)

    def _poll(self, proposer: Proposer, voter: Voter) -> None:
        """A proposer requests the outcome of its change from a voter."""
        self._receive_answer(proposer, voter, self._outcome(voter, proposer.change.id))

    def _outcome(self, voter: Voter, change_id: bytes) -> Outcome:
        """The outcome of a change as a voter knows it: by decided epochs first, then by its queue."""
        revision = voter.state.revision_of(change_id)
        if revision is not None:
            return InForce(revision)
        last = self.epochs[voter.known_epochs - 1] if voter.known_epochs else None
        if last is not None and not last.settled and change_id in ids_of(last.batch):
            return UnderWay(last.batch.revision)
        return voter.queue.outcome(change_id, self.now)

    def _receive_answer(self, proposer: Proposer, voter: Voter, outcome: Outcome) -> None:
        proposer.answers[voter.number] = outcome
        proposer.verdict = self.components.verdict(list(proposer.answers.values()))
        check_verdict(self, proposer)

    def poll_all(self, proposer: Proposer) -> None:
        """A proposer polls all voters that it offered its change to, and offers it again if unknown."""
        for number in list(proposer.answers):
            if proposer.is_answered:
                return
            self._poll(proposer, self.voters[number])
            if isinstance(proposer.answers[number], Unknown):
                self._offer(proposer, self.voters[number], is_reply_received=True)
