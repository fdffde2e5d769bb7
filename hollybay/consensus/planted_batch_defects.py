"""Defects of group commit that its model check must find: each a part with one rule left out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from hollybay.resources.batch import Batch, BatchMismatch
from hollybay.resources.model import Change, ChangeRefused, Problem
from hollybay.resources.state import ResourceState

from .batch_model_check import CANNOT, Delivery, Parts, Replica
from .group_commit import (
    InForce,
    Offered,
    Outcome,
    Pending,
    ProposalQueue,
    Rejected,
    UnderWay,
    Unknown,
    combined,
)

__all__ = ["DEFECTS"]

PATIENCE = 5  # steps after which the queue that does so gives a change up


class _RefusesWholeBatch(ProposalQueue):
    """It refuses all of a batch when nodes name one of its changes."""

    def dropped(
        self,
        batch: Batch,
        reasons: Mapping[bytes, tuple[Problem, ...]],
        now: int,
        problems: tuple[Problem, ...] = (),
    ) -> None:
        named = {change.id: CANNOT for change in batch.changes} if reasons else {}
        super().dropped(batch, named, now, problems)


class _NeverDivides(ProposalQueue):
    """It proposes the same batch again where nobody said which change was bad."""

    def _divide(self, split: bool) -> None:
        super()._divide(split=False)


class _RefusesTooEarly(ProposalQueue):
    """It refuses what does not fit beside a change of the same batch, though that may never be decided."""

    def _lasting_refusal(self, change: Change, error: ChangeRefused, state: ResourceState) -> ChangeRefused:
        return error


class _LosesBatches(ProposalQueue):
    """It does not propose again what lost to another keeper's batch."""

    def lost(self, batch: Batch, state: ResourceState, now: int) -> None:
        if self.under_way == batch:
            for change_id in list(self._under_way):
                self.bytes -= self._under_way.pop(change_id).size
        super().lost(batch, state, now)


class _TellsOfAnother(ProposalQueue):
    """It tells whoever waits what became of the change that ended last."""

    def outcome(self, change_id: bytes, now: int) -> Outcome:
        found = super().outcome(change_id, now)
        if isinstance(found, Pending) and self._ended:
            return next(reversed(self._ended.values()))[1]
        return found


class _TellsTooEarly(ProposalQueue):
    """It takes what is under way for decided."""

    def outcome(self, change_id: bytes, now: int) -> Outcome:
        found = super().outcome(change_id, now)
        return InForce(found.revision) if isinstance(found, UnderWay) else found


class _GivesUp(ProposalQueue):
    """It refuses what has waited long, though its batch of a life before may still be decided."""

    def offer(self, change: Change, state: ResourceState, now: int) -> Offered:
        for change_id, waiting in list(self._waiting.items()):
            if now - waiting.offered_at > PATIENCE:
                self._end(change_id, Rejected((Problem("change", "", "waited too long"),)), now)
        return super().offer(change, state, now)


class _TakesGaps(Replica):
    """It takes batches in whatever revision they are made on."""

    def after_batch(self, state: ResourceState, batch: Batch) -> ResourceState:
        if batch.revision <= state.revision:
            return state
        try:
            return replace(state, revision=batch.revision - 1).applied(batch.changes, batch.revision)
        except ChangeRefused as error:
            raise BatchMismatch(str(error)) from None


class _TakesOldSnapshots(Replica):
    """It takes in a snapshot that is older than what it has."""

    def after_snapshot(self, snapshot: ResourceState) -> ResourceState:
        return snapshot


class _TrustsTheBase(Replica):
    """It takes a snapshot for the state that the delta beside it was made on."""

    def receive(self, delivery: Delivery) -> None:
        snapshot, batches = delivery.snapshot, delivery.batches
        if snapshot is not None and batches and snapshot.revision < batches[0].revision - 1:
            state = replace(snapshot, revision=batches[0].revision - 1)
            for batch in batches:
                try:
                    state = state.applied(batch.changes, batch.revision)
                except ChangeRefused as error:
                    raise BatchMismatch(str(error)) from None
            self.state = state
            return
        super().receive(delivery)


class _TakesHalf(Replica):
    """It takes in what fits of a delivery and leaves the rest."""

    def after_snapshot(self, snapshot: ResourceState) -> ResourceState:
        self.state = super().after_snapshot(snapshot)
        return self.state

    def after_batch(self, state: ResourceState, batch: Batch) -> ResourceState:
        self.state = super().after_batch(state, batch)
        return self.state


def _first_refusal(outcomes: list[Outcome]) -> Outcome:
    """It takes one keeper's refusal for that of all."""
    refused = next((one for one in outcomes if isinstance(one, Rejected)), None)
    return refused if refused is not None else combined(outcomes)


def _unknown_is_refused(outcomes: list[Outcome]) -> Outcome:
    """It takes a keeper that has forgotten its change for one that refused it."""
    return combined(Rejected(()) if isinstance(one, Unknown) else one for one in outcomes)


DEFECTS: dict[str, Parts] = {
    "one bad change drops its batch": Parts(queue=_RefusesWholeBatch),
    "a batch is never divided": Parts(queue=_NeverDivides),
    "refused for a batch that is not decided": Parts(queue=_RefusesTooEarly),
    "a lost batch is not offered again": Parts(queue=_LosesBatches),
    "a proposer is told of another's outcome": Parts(queue=_TellsOfAnother),
    "in force before the decision": Parts(queue=_TellsTooEarly),
    "refused for its long wait": Parts(queue=_GivesUp),
    "a change is decided twice": Parts(remembers_ids=False),
    "a delta over a gap": Parts(replica=_TakesGaps),
    "a snapshot older than the state": Parts(replica=_TakesOldSnapshots),
    "a snapshot older than the delta's base": Parts(replica=_TrustsTheBase),
    "half of a delivery": Parts(replica=_TakesHalf),
    "one refusal taken for all": Parts(verdict=_first_refusal),
    "a keeper that forgot taken for a no": Parts(verdict=_unknown_is_refused),
    "an old refusal counted after a new offer": Parts(voids_answers=False),
}
