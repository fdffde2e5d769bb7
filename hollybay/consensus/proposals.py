"""The changes proposed to one voter: their queue, the batch that the voter proposes, and their status.

Pure except for the clock (ns) that is passed in. The service reports decided epochs and requests the batches
to propose.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import dataclass

from hollybay.resources.batch import Batch
from hollybay.resources.model import CHANGE, CHANGE_ID_BYTES, Change, ChangeProblem
from hollybay.resources.rejection_reasons import DroppedByOperator
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.units import MS, SECOND

from .core import EpochState, policies_named
from .durable_acceptor import DurableAcceptor
from .errors import RejectedError
from .group_commit import ProposalQueue
from .log import PolicyLog
from .messages import MAX_REASONS, ChangeOutcome, ChangeReply
from .policy import version_of
from .proposal_outcomes import InForce, OfferReply, Outcome, Pending, Rejected, UnderWay
from .reasons import MemberReason, Reason

__all__ = ["Proposals", "problems_of"]

# How long a voter accepts no changes after an entry could not be stored on its disk.
STORAGE_RETRY_NS = 2 * SECOND
DROPPED_BY_OPERATOR = (ChangeProblem.from_reason(DroppedByOperator(), CHANGE),)


def problems_of(reasons: Sequence[Reason]) -> tuple[ChangeProblem, ...]:
    """Convert reasons why nodes cannot serve a change into problems of the change."""
    return tuple(ChangeProblem(CHANGE, "", str(reason)) for reason in reasons[:MAX_REASONS])


@dataclass(slots=True)
class _ActiveBatch:
    """The batch that this voter proposes as the next entry.

    Parameters
    ----------
    policy
        The name of the entry.
    has_begun
        Whether a decided epoch names the entry.
    """

    policy: str
    batch: Batch
    has_begun: bool = False


class Proposals:
    """The proposed changes of one voter; see the module.

    Parameters
    ----------
    log
        The replicated log of this process.
    clock
        Returns the current time, ns.
    """

    def __init__(self, log: PolicyLog, clock: Callable[[], int]) -> None:
        self.log = log
        self.clock = clock
        self.queue = ProposalQueue()
        self._active: _ActiveBatch | None = None
        self._storage_full_until = 0

    def __len__(self) -> int:
        """Number of changes that are queued or under way."""
        return len(self.queue)

    @property
    def has_active_batch(self) -> bool:
        """Whether a batch of this voter is being decided."""
        return self._active is not None

    @property
    def is_storage_full(self) -> bool:
        """Whether new changes are rejected because an entry could not be stored a moment ago."""
        return self.clock() < self._storage_full_until

    def is_proposing(self, policy: str) -> bool:
        """Whether this is the name of the active batch's entry."""
        return self._active is not None and self._active.policy == policy

    def offer(self, change: Change, state: ResourceState) -> OfferReply:
        """Queue a proposed change, or return why not; state: the newest that this voter knows."""
        return self.queue.offer(change, state, self.clock())

    # Batches

    def next_batch_delay_ns(self) -> int | None:
        """Time until there may be a batch; None if only another event can allow one."""
        return self.queue.next_batch_delay_ns(self.clock())

    def next_batch(self, state: ResourceState) -> Batch | None:
        """Form the next batch on the state in force, or return None if none is due."""
        assembled = self.queue.next_batch(state, self.clock())
        return assembled.batch if assembled is not None else None

    def batch_proposed(self, policy: str, batch: Batch) -> None:
        """Record that a batch is proposed as the entry of this name."""
        self._active = _ActiveBatch(policy, batch)

    def storage_failed(self) -> None:
        """Discard the queue after an entry could not be stored, so that proposers turn to other voters."""
        self.queue = ProposalQueue()
        self._storage_full_until = self.clock() + STORAGE_RETRY_NS

    def reject_batch(
        self, batch: Batch, culprits: Mapping[str, Sequence[Reason]], reasons: Sequence[Reason]
    ) -> None:
        """Record that a batch cannot be served: the named changes are rejected, the others requeued.

        Parameters
        ----------
        culprits
            Why each change cannot be served, by its id in hex.
        reasons
            Reasons that nodes reported without naming a change.
        """
        by_id = {bytes.fromhex(change_id): problems_of(reasons) for change_id, reasons in culprits.items()}
        self.queue.batch_dropped(batch, by_id, self.clock(), problems_of(reasons))

    def batch_superseded(self, batch: Batch, policy: str) -> None:
        """Requeue a batch: another entry, named `policy`, is in force or under way."""
        state = self.log.state(policy)
        self.queue.batch_superseded(batch, state if state is not None else EMPTY, self.clock())

    # Epochs

    def epoch_begun(self, state: EpochState) -> None:
        """Record that a decided epoch names a new entry: the active batch's, or one that came before it."""
        active = self._active
        if active is None:
            return
        if state.new == active.policy:
            active.has_begun = True
            return
        self._active = None
        self.batch_superseded(active.batch, state.policy)

    def epoch_settled(self, acceptor: DurableAcceptor, state: EpochState, dropped: Set[str]) -> None:
        """Record that an epoch has settled: the active batch was decided, superseded or dropped.

        Parameters
        ----------
        dropped
            Names of the entries that an operator asked to drop.
        """
        active = self._active
        if active is None:
            return
        self._active = None
        batch = active.batch
        if state.policy == active.policy:
            self.queue.batch_decided(batch, self.clock())
        elif not active.has_begun or version_of(state.policy) >= batch.revision:
            self.batch_superseded(batch, state.policy)
        elif active.policy in dropped:
            reasons = {change.id: DROPPED_BY_OPERATOR for change in batch.changes}
            self.queue.batch_dropped(batch, reasons, self.clock())
        else:
            self._reject_unserviceable(acceptor, active.policy, batch)

    def _reject_unserviceable(self, acceptor: DurableAcceptor, name: str, batch: Batch) -> None:
        """Reject the changes that nodes named, or the whole batch if a node can serve no new policy."""
        culprits = acceptor.reports.culprits.get(name, {})
        reasons_for_all = acceptor.reports.cannot_serve_any.get(name)
        if reasons_for_all is not None:
            culprits = {change.id.hex(): reasons_for_all for change in batch.changes}
        reported = acceptor.reports.unserviceable.get(name, {})
        reasons = [MemberReason(node, reason) for node, texts in reported.items() for reason in texts]
        self.reject_batch(batch, culprits, reasons)

    # Status of a change

    def change_status(self, change: str, acceptor: DurableAcceptor) -> ChangeReply:
        """The status of one change, as far as this voter knows.

        Parameters
        ----------
        change
            The id of the change in hex.

        Raises
        ------
        RejectedError
            The text is not an id, or this voter has no state yet.
        """
        change_id = _parse_change_id(change)
        if len(change_id) != CHANGE_ID_BYTES or acceptor.state is None:
            raise RejectedError(f"change: {change[:40]!r} is not an id, or this voter knows nothing yet")
        decided = acceptor.state.decided
        reply = self._decided_status(change, change_id, acceptor, decided)
        if reply is not None:
            return reply
        outcome = self.queue.outcome(change_id, self.clock())
        if isinstance(outcome, InForce):
            return self._in_force(acceptor, decided, change, outcome.revision)
        return _queue_status(change, outcome)

    def _decided_status(
        self, change: str, change_id: bytes, acceptor: DurableAcceptor, decided: EpochState
    ) -> ChangeReply | None:
        """The status of a change by the decided epoch, whichever voter proposed it; None if that lacks it."""
        for name in policies_named(decided):
            resources = self.log.state(name)
            revision = resources.revision_of(change_id) if resources is not None else None
            if revision is None:
                continue
            if name == decided.new:
                return ChangeReply(change, ChangeOutcome.UNDER_WAY, name, decided.epoch)
            return self._in_force(acceptor, decided, change, revision)
        return None

    def _in_force(
        self, acceptor: DurableAcceptor, decided: EpochState, change: str, revision: int
    ) -> ChangeReply:
        """The status of a change decided in a revision, with the earliest known epoch that contains it."""
        epochs = [
            entry.state.epoch for entry in acceptor.history if version_of(entry.state.policy) >= revision
        ]
        name = self._name_at_version(decided.policy, revision)
        return ChangeReply(change, ChangeOutcome.IN_FORCE, name, min(epochs, default=decided.epoch))

    def _name_at_version(self, name: str, version: int) -> str:
        """The name of a version's entry in the chain that ends with `name`; empty if it was pruned."""
        policy = self.log.policy(name)
        while policy is not None and policy.version > version:
            policy = self.log.policy(policy.parent_name)
        return policy.name if policy is not None and policy.version == version else ""


def _parse_change_id(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise RejectedError(f"change: {text[:40]!r} is not an id") from None


def _queue_status(change: str, outcome: Outcome) -> ChangeReply:
    """The status of a change that no epoch names, by its outcome in the queue."""
    if isinstance(outcome, Rejected):
        return ChangeReply(change, ChangeOutcome.REJECTED, problems=list(outcome.problems))
    if isinstance(outcome, Pending):
        return ChangeReply(change, ChangeOutcome.QUEUED, wait_ms=outcome.wait_ns // MS)
    if isinstance(outcome, UnderWay):
        # The batch is being proposed, but this voter knows of no epoch that names it yet.
        return ChangeReply(change, ChangeOutcome.QUEUED)
    return ChangeReply(change, ChangeOutcome.UNKNOWN)
