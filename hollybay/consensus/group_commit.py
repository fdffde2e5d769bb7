"""Group commit: proposed changes wait in a queue at a voter, and one decision commits a batch of them.

The queue is pure: it reads no clock and performs no I/O. All times are ns of one monotonic clock that the
caller reads. A change that was accepted (`Queued`) has exactly one final outcome: `InForce` or `Rejected`.

The proposer calls `next_batch` when the cluster is settled, has the batch decided, and reports the result:

    next_batch --> batch in progress --> decided     its changes are in force
                                     --> dropped     the changes that nodes named are rejected; rest requeued
                                     --> superseded  another voter's batch was decided first; all are requeued

Requeued changes keep their place before all later ones; their next batch is built on the newest state.

If a batch is dropped and no node named a change, it is split (binary splitting, as in group testing): the
next batch is its first half, and so on, until a batch of a single change is dropped, which is then rejected.
One bad change among n costs at most about 2 * log2(n) further batches; the other changes are decided.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import takewhile

from hollybay.resources.batch import Assembled, Batch, assemble
from hollybay.resources.model import CHANGE, Change, ChangeProblem, ChangeRejectedError
from hollybay.resources.rejection_reasons import CannotBeServed, TooLarge
from hollybay.resources.state import ResourceState
from hollybay.resources.wire import encode_change

from .outcome_history import FinalOutcome, OutcomeHistory
from .proposal_outcomes import (
    AlreadyDecided,
    AlreadyQueued,
    Busy,
    InForce,
    OfferRejected,
    OfferReply,
    Outcome,
    Pending,
    Queued,
    Rejected,
    UnderWay,
    Unknown,
)
from .queue_settings import QueueSettings
from .wait_estimate import Backlog, estimated_wait_ns, retry_after_ns, updated_average_ns

__all__ = ["ProposalQueue"]

# The problem of a change that was alone in a dropped batch for which no node gave a reason.
CANNOT_BE_SERVED = ChangeProblem.from_reason(CannotBeServed(), CHANGE)


@dataclass(slots=True)
class _QueuedChange:
    """A change without a final outcome.

    Parameters
    ----------
    size
        Size of the encoded change in bytes.
    sequence
        Its position in order of arrival; never changes.
    offered_at
        When it was accepted, ns.
    group
        If nonzero, the change shares a batch only with changes of the same group; see
        `ProposalQueue._split_batch`.
    """

    change: Change
    size: int
    sequence: int
    offered_at: int
    group: int = 0


@dataclass(frozen=True, slots=True)
class _BatchInProgress:
    """The batch that is being decided, and when it was formed (ns)."""

    batch: Batch
    started_at: int


class ProposalQueue:
    """The queue of changes proposed to one voter, first in, first out; see the module.

    Attributes
    ----------
    average_batch_ns
        Average duration of a batch.
    bytes
        Total size of the changes without a final outcome.
    """

    def __init__(self, settings: QueueSettings | None = None) -> None:
        self.settings = settings or QueueSettings()
        self.average_batch_ns = self.settings.initial_batch_ns
        self.bytes = 0
        self._waiting: OrderedDict[bytes, _QueuedChange] = OrderedDict()  # by change id, in order of sequence
        self._under_way: dict[bytes, _QueuedChange] = {}  # by change id: the changes of the batch in progress
        self._under_way_bytes = 0
        self._in_progress: _BatchInProgress | None = None
        self._ended = OutcomeHistory(self.settings.max_outcomes, self.settings.outcome_ns)
        self._last_sequence = 0
        self._last_group = 0

    def __len__(self) -> int:
        """Number of changes without a final outcome, including those of the batch in progress."""
        return len(self._waiting) + len(self._under_way)

    @property
    def batch_in_progress(self) -> Batch | None:
        """The batch that was formed last, until its result is reported."""
        return self._in_progress.batch if self._in_progress is not None else None

    # Proposals

    def offer(self, change: Change, state: ResourceState, now: int) -> OfferReply:
        """Queue a proposed change, or return the reason why it was not queued.

        Parameters
        ----------
        state
            The newest state that this voter knows.
        """
        self._ended.expire(now)
        earlier = self._earlier_reply(change.id, state, now)
        if earlier is not None:
            return earlier
        try:
            state.check(change)
        except ChangeRejectedError as error:
            return OfferRejected(error.problems)
        size = len(encode_change(change))
        if size > self.settings.max_change_bytes:
            reason = TooLarge(size, self.settings.max_change_bytes)
            return OfferRejected((ChangeProblem.from_reason(reason, CHANGE),))
        waiting_bytes = self.bytes - self._under_way_bytes
        wait = self._estimated_wait_ns(len(self._waiting) + 1, waiting_bytes + size, now)
        if self._is_full(size) or wait > self.settings.max_wait_ns:
            return Busy(retry_after_ns(self._backlog(now), wait, self.settings))
        return Queued(self._position(self._enqueue(change, size, now)), wait)

    def _enqueue(self, change: Change, size: int, now: int) -> _QueuedChange:
        """Append a change to the queue."""
        self._last_sequence += 1
        queued = _QueuedChange(change, size, self._last_sequence, now)
        self._waiting[change.id] = queued
        self.bytes += size
        return queued

    def _earlier_reply(self, change_id: bytes, state: ResourceState, now: int) -> OfferReply | None:
        """The reply to a change that was offered before, or None if it is new."""
        revision = state.revision_of(change_id)
        if revision is not None:
            self._finish(change_id, InForce(revision), now)
            return AlreadyDecided(revision)
        if change_id in self._under_way or change_id in self._waiting:
            return AlreadyQueued()
        match self._ended.get(change_id):
            case InForce(ended_revision):
                return AlreadyDecided(ended_revision)
            case Rejected(problems):
                return OfferRejected(problems)
        return None

    def outcome(self, change_id: bytes, now: int) -> Outcome:
        """The state or final outcome of a change that this queue accepted."""
        self._ended.expire(now)
        if change_id in self._under_way and self._in_progress is not None:
            return UnderWay(self._in_progress.batch.revision)
        waiting = self._waiting.get(change_id)
        if waiting is not None:
            position = self._position(waiting)
            return Pending(position, self._estimated_wait_ns(position + 1, 0, now))
        return self._ended.get(change_id) or Unknown()

    # Batches

    def next_batch_delay_ns(self, now: int) -> int | None:
        """Time until `next_batch` may return a batch; 0 for now, None if only another event can allow one."""
        if self._in_progress is not None or not self._waiting:
            return None
        oldest = next(iter(self._waiting.values()))
        if oldest.group or len(self._waiting) >= self.settings.max_batch_changes:
            return 0
        return max(0, oldest.offered_at + self.settings.linger_ns - now)

    def next_batch(self, state: ResourceState, now: int) -> Assembled | None:
        """Form the next batch on the newest state, or return None if none is due (`next_batch_delay_ns`).

        Changes that no longer apply to the state are rejected with their problems; changes that the state
        already contains are recorded as in force. A change that applies to the state but conflicts with an
        earlier one of the batch stays queued until the batch has ended, as that may be dropped or superseded.
        At most `max_batch_changes` are considered per call; the method may be called again at once.
        """
        self._ended.expire(now)
        if self.next_batch_delay_ns(now) != 0:
            return None
        candidates = [queued.change for queued in self._batch_candidates()]
        assembled = assemble(state, self._without_decided(candidates, state, now))
        rejections = self._final_rejections(assembled.rejected, state)
        for change, error in rejections:
            self._finish(change.id, Rejected(error.problems), now)
        if not assembled.batch.changes:
            return None
        self._start(assembled.batch, now)
        return replace(assembled, rejected=tuple(rejections))

    def _batch_candidates(self) -> list[_QueuedChange]:
        """The first changes of the queue, as many as one batch holds by count, bytes and group."""
        candidates: list[_QueuedChange] = []
        size = 0
        for queued in self._waiting.values():
            size += queued.size
            if candidates and (size > self.settings.max_batch_bytes or queued.group != candidates[0].group):
                break
            candidates.append(queued)
            if len(candidates) == self.settings.max_batch_changes:
                break
        return candidates

    def _without_decided(self, changes: Iterable[Change], state: ResourceState, now: int) -> list[Change]:
        """The changes that a state does not contain; the others are recorded as in force."""
        undecided: list[Change] = []
        for change in changes:
            if not self._finish_if_decided(change.id, state, now):
                undecided.append(change)
        return undecided

    def _final_rejections(
        self, rejected: Iterable[tuple[Change, ChangeRejectedError]], state: ResourceState
    ) -> list[tuple[Change, ChangeRejectedError]]:
        """Of the changes that do not apply within their batch, those that do not apply to the state alone."""
        rejections: list[tuple[Change, ChangeRejectedError]] = []
        for change, _ in rejected:
            try:
                state.check(change)
            except ChangeRejectedError as error:
                rejections.append((change, error))
        return rejections

    def _start(self, batch: Batch, now: int) -> None:
        """Make a batch the one in progress."""
        for change in batch.changes:
            queued = self._waiting.pop(change.id)
            self._under_way[change.id] = queued
            self._under_way_bytes += queued.size
        self._in_progress = _BatchInProgress(batch, now)

    # Results of a batch

    def batch_decided(self, batch: Batch, now: int) -> None:
        """Record that a batch of this or another voter is in force.

        If it is another voter's, the changes of the batch in progress are requeued.
        """
        self._ended.expire(now)
        if self._is_own(batch):
            self._record_duration(now)
        for change in batch.changes:
            self._finish(change.id, InForce(batch.revision), now)
        self._requeue()

    def batch_dropped(
        self,
        batch: Batch,
        reasons: Mapping[bytes, tuple[ChangeProblem, ...]],
        now: int,
        problems: tuple[ChangeProblem, ...] = (),
    ) -> None:
        """Record that a batch of this or another voter was dropped because a node cannot serve it.

        If no change is named, a batch of this voter is split.

        Parameters
        ----------
        reasons
            The problems of each change that a node named, by change id; ids that are not in the batch are
            ignored.
        problems
            Problems that nodes reported without naming a change.
        """
        self._ended.expire(now)
        is_own = self._is_own(batch)
        if is_own:
            self._record_duration(now)
        culprits = {change.id: reasons[change.id] for change in batch.changes if change.id in reasons}
        if not culprits and len(batch.changes) == 1:
            culprits = {batch.changes[0].id: problems}
        for change_id, change_problems in culprits.items():
            self._finish(change_id, Rejected(change_problems or (CANNOT_BE_SERVED,)), now)
        if is_own:
            # The change that caused an earlier split is in this batch: the others need no groups any more.
            for queued in self._waiting.values():
                queued.group = 0
            if culprits:
                self._ungroup_batch()
            else:
                self._split_batch()
        self._requeue()

    def batch_superseded(self, batch: Batch, state: ResourceState, now: int) -> None:
        """Record that another batch was decided before this voter's; `state` is the state after it.

        Changes that the state contains are recorded as in force; the others are requeued.
        """
        self._ended.expire(now)
        if not self._is_own(batch):
            return
        for change_id in list(self._under_way):
            self._finish_if_decided(change_id, state, now)
        self._requeue()

    def _split_batch(self) -> None:
        """Divide the changes of the batch in progress into two groups, proposed one after the other."""
        members = list(self._under_way.values())
        half = (len(members) + 1) // 2
        self._last_group += 2
        for queued in members[:half]:
            queued.group = self._last_group - 1
        for queued in members[half:]:
            queued.group = self._last_group

    def _ungroup_batch(self) -> None:
        """Remove the changes of the batch in progress from their group."""
        for queued in self._under_way.values():
            queued.group = 0

    def _requeue(self) -> None:
        """Put the changes of the batch in progress back in their place, before all later ones."""
        if self._under_way:
            last_sequence = next(reversed(self._under_way.values())).sequence
            # Changes between them that conflicted with the batch have stayed in the queue.
            between = takewhile(lambda queued: queued.sequence < last_sequence, self._waiting.values())
            front = sorted((*self._under_way.values(), *between), key=lambda queued: queued.sequence)
            for queued in reversed(front):
                self._waiting[queued.change.id] = queued
                self._waiting.move_to_end(queued.change.id, last=False)
        self._under_way.clear()
        self._under_way_bytes = 0
        self._in_progress = None

    def _is_own(self, batch: Batch) -> bool:
        return self._in_progress is not None and self._in_progress.batch == batch

    # Outcomes

    def _finish(self, change_id: bytes, outcome: FinalOutcome, now: int) -> None:
        """Record the final outcome of a change; does nothing if this queue does not hold it."""
        queued = self._waiting.pop(change_id, None)
        if queued is None:
            queued = self._under_way.pop(change_id, None)
            if queued is None:
                return
            self._under_way_bytes -= queued.size
        self.bytes -= queued.size
        self._ended.add(change_id, outcome, now)

    def _finish_if_decided(self, change_id: bytes, state: ResourceState, now: int) -> bool:
        """Record a change as in force if a state contains it; returns whether it does."""
        revision = state.revision_of(change_id)
        if revision is None:
            return False
        self._finish(change_id, InForce(revision), now)
        return True

    # Estimates

    def _position(self, queued: _QueuedChange) -> int:
        """An upper bound of the number of changes before one: some sequence numbers in between have ended."""
        return queued.sequence - next(iter(self._waiting.values())).sequence

    def _is_full(self, size: int) -> bool:
        return len(self) >= self.settings.max_changes or self.bytes + size > self.settings.max_bytes

    def _record_duration(self, now: int) -> None:
        """Add the duration of the batch in progress, which ends now, to the average."""
        if self._in_progress is not None:
            duration_ns = now - self._in_progress.started_at
            self.average_batch_ns = updated_average_ns(self.average_batch_ns, duration_ns)

    def _estimated_wait_ns(self, changes: int, size: int, now: int) -> int:
        return estimated_wait_ns(self._backlog(now), changes, size, self.settings)

    def _backlog(self, now: int) -> Backlog:
        """The work that precedes a change offered now."""
        oldest = [next(iter(queue.values())) for queue in (self._under_way, self._waiting) if queue]
        in_progress = self._in_progress
        return Backlog(
            average_batch_ns=self.average_batch_ns,
            elapsed_batch_ns=now - in_progress.started_at if in_progress is not None else None,
            splits_batches=any(queued.group for queued in oldest),
            longest_wait_ns=max((now - queued.offered_at for queued in oldest), default=0),
        )
