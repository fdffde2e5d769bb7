"""Planted defects of group commit that its model check must find: components that each omit one rule."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from hollybay.resources.batch import Batch, BatchMismatchError
from hollybay.resources.model import Change, ChangeProblem, ChangeRejectedError
from hollybay.resources.state import ResourceState

from .batch_model import CANNOT_SERVE, Components, Delivery, Replica
from .group_commit import ProposalQueue
from .proposal_outcomes import (
    InForce,
    OfferReply,
    Outcome,
    Pending,
    Rejected,
    UnderWay,
    Unknown,
    combined_outcome,
)

__all__ = ["DEFECTS"]

# Steps after which `_RejectsLateChanges` rejects a queued change.
MAX_WAIT_STEPS = 5


class _RejectsWholeBatch(ProposalQueue):
    """Rejects all changes of a batch if nodes name one of them."""

    def batch_dropped(
        self,
        batch: Batch,
        reasons: Mapping[bytes, tuple[ChangeProblem, ...]],
        now: int,
        problems: tuple[ChangeProblem, ...] = (),
    ) -> None:
        named = {change.id: CANNOT_SERVE for change in batch.changes} if reasons else {}
        super().batch_dropped(batch, named, now, problems)


class _NeverSplits(ProposalQueue):
    """Proposes the same batch again if no node named a change."""

    def _split_batch(self) -> None:
        self._ungroup_batch()


class _RejectsTooEarly(ProposalQueue):
    """Rejects a change that conflicts with another one of its batch, although that may never be decided."""

    def _final_rejections(
        self, rejected: Iterable[tuple[Change, ChangeRejectedError]], *_args: ResourceState
    ) -> list[tuple[Change, ChangeRejectedError]]:
        return list(rejected)


class _LosesBatches(ProposalQueue):
    """Loses the changes of a superseded batch."""

    def batch_superseded(self, batch: Batch, state: ResourceState, now: int) -> None:
        if self.batch_in_progress == batch:
            for change_id in list(self._under_way):
                self.bytes -= self._under_way.pop(change_id).size
        super().batch_superseded(batch, state, now)


class _ReportsAnotherOutcome(ProposalQueue):
    """Reports the outcome of the change that ended last instead of the requested one's."""

    def outcome(self, change_id: bytes, now: int) -> Outcome:
        outcome = super().outcome(change_id, now)
        return self._ended.latest() or outcome if isinstance(outcome, Pending) else outcome


class _ReportsTooEarly(ProposalQueue):
    """Reports a change that is under way as in force."""

    def outcome(self, change_id: bytes, now: int) -> Outcome:
        outcome = super().outcome(change_id, now)
        return InForce(outcome.revision) if isinstance(outcome, UnderWay) else outcome


class _RejectsLateChanges(ProposalQueue):
    """Rejects changes that waited long, although a batch from before a restart may still be decided."""

    def offer(self, change: Change, state: ResourceState, now: int) -> OfferReply:
        for change_id, waiting in list(self._waiting.items()):
            if now - waiting.offered_at > MAX_WAIT_STEPS:
                self._finish(change_id, Rejected((ChangeProblem("change", "", "waited too long"),)), now)
        return super().offer(change, state, now)


class _AcceptsGaps(Replica):
    """Applies batches regardless of the revision that they are based on."""

    def after_batch(self, state: ResourceState, batch: Batch) -> ResourceState:
        if batch.revision <= state.revision:
            return state
        try:
            return replace(state, revision=batch.revision - 1).with_batch(batch.changes, batch.revision)
        except ChangeRejectedError as error:
            raise BatchMismatchError(str(error)) from None


class _AcceptsOldSnapshots(Replica):
    """Installs a snapshot that is older than its state."""

    def after_snapshot(self, snapshot: ResourceState) -> ResourceState:
        return snapshot


class _IgnoresDeltaBase(Replica):
    """Assumes without a check that the batches of a delivery follow its snapshot."""

    def receive(self, delivery: Delivery) -> None:
        snapshot, batches = delivery.snapshot, delivery.batches
        if snapshot is not None and batches and snapshot.revision < batches[0].revision - 1:
            state = replace(snapshot, revision=batches[0].revision - 1)
            for batch in batches:
                try:
                    state = state.with_batch(batch.changes, batch.revision)
                except ChangeRejectedError as error:
                    raise BatchMismatchError(str(error)) from None
            self.state = state
            return
        super().receive(delivery)


class _AppliesPartially(Replica):
    """Applies the first part of a delivery if the rest does not follow."""

    def after_snapshot(self, snapshot: ResourceState) -> ResourceState:
        self.state = super().after_snapshot(snapshot)
        return self.state

    def after_batch(self, state: ResourceState, batch: Batch) -> ResourceState:
        self.state = super().after_batch(state, batch)
        return self.state


def _first_rejection(outcomes: list[Outcome]) -> Outcome:
    """Takes a rejection by one voter for a rejection by all."""
    rejection = next((outcome for outcome in outcomes if isinstance(outcome, Rejected)), None)
    return rejection if rejection is not None else combined_outcome(outcomes)


def _unknown_is_rejected(outcomes: list[Outcome]) -> Outcome:
    """Takes a voter that no longer knows the change for one that rejected it."""
    return combined_outcome(Rejected(()) if isinstance(outcome, Unknown) else outcome for outcome in outcomes)


DEFECTS: dict[str, Components] = {
    "one bad change drops its batch": Components(queue=_RejectsWholeBatch),
    "a batch is never divided": Components(queue=_NeverSplits),
    "refused for a batch that is not decided": Components(queue=_RejectsTooEarly),
    "a lost batch is not offered again": Components(queue=_LosesBatches),
    "a proposer is told of another's outcome": Components(queue=_ReportsAnotherOutcome),
    "in force before the decision": Components(queue=_ReportsTooEarly),
    "refused for its long wait": Components(queue=_RejectsLateChanges),
    "a change is decided twice": Components(remembers_ids=False),
    "a delta over a gap": Components(replica=_AcceptsGaps),
    "a snapshot older than the state": Components(replica=_AcceptsOldSnapshots),
    "a snapshot older than the delta's base": Components(replica=_IgnoresDeltaBase),
    "half of a delivery": Components(replica=_AppliesPartially),
    "one refusal taken for all": Components(verdict=_first_rejection),
    "a keeper that forgot taken for a no": Components(verdict=_unknown_is_rejected),
    "an old refusal counted after a new offer": Components(discards_earlier_answers=False),
}
