"""The changes that were proposed to one voter: their queue, the batch that it proposes, and their status.

Pure except for the clock (ns) that it is given. The service reports what was decided and asks for what to
propose.
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

# How long a voter accepts no change after its disk could not store an entry.
STORAGE_RETRY_NS = 2 * SECOND
DROPPED_BY_OPERATOR = (ChangeProblem.from_reason(DroppedByOperator(), CHANGE),)


def problems_of(reasons: Sequence[Reason]) -> tuple[ChangeProblem, ...]:
    """Reasons why nodes cannot serve a change, as problems of it."""
    return tuple(ChangeProblem(CHANGE, "", str(reason)) for reason in reasons[:MAX_REASONS])


@dataclass(slots=True)
class _ActiveBatch:
    """The batch that this voter proposes as the next entry.

    Parameters
    ----------
    policy
        The name of the entry.
    has_begun
        Whether an epoch names the entry.
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
        The present time, ns.
    """

    def __init__(self, log: PolicyLog, clock: Callable[[], int]) -> None:
        self.log = log
        self.clock = clock
        self.queue = ProposalQueue()
        self._active: _ActiveBatch | None = None
        self._storage_full_until = 0

    def __len__(self) -> int:
        """How many changes are waiting or under way."""
        return len(self.queue)

    @property
    def has_active_batch(self) -> bool:
        """Whether a batch of this voter is being decided."""
        return self._active is not None

    @property
    def is_storage_full(self) -> bool:
        """Whether changes are rejected because the disk could not store an entry a moment ago."""
        return self.clock() < self._storage_full_until

    def is_proposing(self, policy: str) -> bool:
        """Whether this is the entry of the active batch."""
        return self._active is not None and self._active.policy == policy

    def offer(self, change: Change, state: ResourceState) -> OfferReply:
        """Queue a proposed change, or say why not; state: the newest that this voter knows."""
        return self.queue.offer(change, state, self.clock())

    # Batches

    def next_batch_delay_ns(self) -> int | None:
        """Time until there may be a batch; None: not before another event."""
        return self.queue.next_batch_delay_ns(self.clock())

    def next_batch(self, state: ResourceState) -> Batch | None:
        """Form the next batch on the state in force; None: there is none now."""
        assembled = self.queue.next_batch(state, self.clock())
        return assembled.batch if assembled is not None else None

    def batch_proposed(self, policy: str, batch: Batch) -> None:
        """The batch is proposed as the entry of this name."""
        self._active = _ActiveBatch(policy, batch)

    def storage_failed(self) -> None:
        """The disk cannot store an entry: forget the queue, so that proposers turn to other voters."""
        self.queue = ProposalQueue()
        self._storage_full_until = self.clock() + STORAGE_RETRY_NS

    def reject_batch(
        self, batch: Batch, culprits: Mapping[str, Sequence[Reason]], reasons: Sequence[Reason]
    ) -> None:
        """The batch cannot be served: the changes that were named are rejected, the others wait again.

        Parameters
        ----------
        culprits
            Why each change cannot be served, by its id in hex.
        reasons
            What nodes reported without naming a change.
        """
        by_id = {bytes.fromhex(change_id): problems_of(reasons) for change_id, reasons in culprits.items()}
        self.queue.batch_dropped(batch, by_id, self.clock(), problems_of(reasons))

    def batch_superseded(self, batch: Batch, policy: str) -> None:
        """Another entry than that of the batch is in force or under way: the batch waits again."""
        state = self.log.state(policy)
        self.queue.batch_superseded(batch, state if state is not None else EMPTY, self.clock())

    # Epochs

    def epoch_begun(self, state: EpochState) -> None:
        """An epoch names a new entry: that of the active batch, or another one that came first."""
        active = self._active
        if active is None:
            return
        if state.new == active.policy:
            active.has_begun = True
            return
        self._active = None
        self.batch_superseded(active.batch, state.policy)

    def epoch_settled(self, acceptor: DurableAcceptor, state: EpochState, dropped: Set[str]) -> None:
        """An epoch has settled: the active batch was decided, superseded or dropped.

        Parameters
        ----------
        dropped
            The entries that an operator asked to drop.
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
            self._unserved(acceptor, active.policy, batch)

    def _unserved(self, acceptor: DurableAcceptor, name: str, batch: Batch) -> None:
        """Reject the changes of a batch that nodes named; all, where a node can serve no new policy."""
        culprits = acceptor.reports.culprits.get(name, {})
        reasons_for_all = acceptor.reports.cannot_serve_any.get(name)
        if reasons_for_all is not None:
            culprits = {change.id.hex(): reasons_for_all for change in batch.changes}
        reported = acceptor.reports.unserviceable.get(name, {})
        reasons = [MemberReason(node, reason) for node, texts in reported.items() for reason in texts]
        self.reject_batch(batch, culprits, reasons)

    # Status of a change

    def change_status(self, change: str, acceptor: DurableAcceptor) -> ChangeReply:
        """What became of one change, as far as this voter knows.

        Parameters
        ----------
        change
            The id of the change in hex.

        Raises
        ------
        RejectedError
            It is not an id, or this voter knows nothing yet.
        """
        change_id = _parse_change_id(change)
        if len(change_id) != CHANGE_ID_BYTES or acceptor.state is None:
            raise RejectedError(f"change: {change[:40]!r} is no id, or this keeper knows nothing yet")
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
        """The status of a change by what is decided, whichever voter proposed it; None: no epoch has it."""
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
        """The status of a change of a revision, with an epoch since which it is in force, or a later one."""
        epochs = [
            entry.state.epoch for entry in acceptor.history if version_of(entry.state.policy) >= revision
        ]
        name = self._name_at_version(decided.policy, revision)
        return ChangeReply(change, ChangeOutcome.IN_FORCE, name, min(epochs, default=decided.epoch))

    def _name_at_version(self, name: str, version: int) -> str:
        """The name of the entry of a version on the chain that ends with `name`; empty if it was pruned."""
        policy = self.log.policy(name)
        while policy is not None and policy.version > version:
            policy = self.log.policy(policy.parent_name)
        return policy.name if policy is not None and policy.version == version else ""


def _parse_change_id(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise RejectedError(f"change: {text[:40]!r} is no id") from None


def _queue_status(change: str, outcome: Outcome) -> ChangeReply:
    """The status of a change that is not in force, by its outcome in the queue."""
    if isinstance(outcome, Rejected):
        return ChangeReply(change, ChangeOutcome.REJECTED, problems=list(outcome.problems))
    if isinstance(outcome, Pending):
        return ChangeReply(change, ChangeOutcome.QUEUED, wait_ms=outcome.wait_ns // MS)
    if isinstance(outcome, UnderWay):
        # As far as this voter knows no epoch names it yet.
        return ChangeReply(change, ChangeOutcome.QUEUED)
    return ChangeReply(change, ChangeOutcome.UNKNOWN)
