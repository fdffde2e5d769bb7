"""The changes that were proposed to one keeper: its queue, the batch that it wants to be next, and what
became of each.

Pure but for the clock that it is given (ns): the service tells it what was decided, and asks it what to
propose.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import dataclass

from hollybay.resources.batch import Batch
from hollybay.resources.model import CHANGE_ID_BYTES, Change, Problem
from hollybay.resources.state import EMPTY, ResourceState

from . import messages
from .core import EpochState, policies_named
from .durable_acceptor import DurableAcceptor
from .group_commit import InForce, Offered, Pending, ProposalQueue, UnderWay
from .group_commit import Rejected as RejectedHere
from .log import PolicyLog
from .policy import RejectedError, version_of

__all__ = ["Proposals", "problems_of"]

SECOND = 1_000_000_000
# ns for which no change is taken by a keeper whose disk took none.
FULL_FOR = 2 * SECOND
GIVEN_UP = (Problem("change", "", "given up by an operator"),)


def problems_of(reasons: Sequence[str]) -> tuple[Problem, ...]:
    """Reasons of nodes as problems of a change."""
    return tuple(Problem("change", "", reason) for reason in reasons[: messages.MOST_REASONS])


@dataclass(slots=True)
class _UnderWay:
    """The batch that this keeper wants to be next. began: whether an epoch names its policy."""

    policy: str
    batch: Batch
    began: bool = False


class Proposals:
    """See above. log: of the process; clock: ns."""

    def __init__(self, log: PolicyLog, clock: Callable[[], int]) -> None:
        self.log = log
        self.clock = clock
        self.queue = ProposalQueue()
        self._under_way: _UnderWay | None = None
        self._full_until = 0

    def __len__(self) -> int:
        """How many changes wait or are under way."""
        return len(self.queue)

    @property
    def busy(self) -> bool:
        """Whether a batch is under way."""
        return self._under_way is not None

    @property
    def full(self) -> bool:
        """Whether no change is taken, as the disk took none a moment ago."""
        return self.clock() < self._full_until

    def holds(self, policy: str) -> bool:
        """Whether this is the policy of the batch that is under way."""
        return self._under_way is not None and self._under_way.policy == policy

    def offer(self, change: Change, state: ResourceState) -> Offered:
        """A change is proposed; state: the newest that this keeper knows."""
        return self.queue.offer(change, state, self.clock())

    # What goes on

    def next_take_ns(self) -> int | None:
        """In how many ns there may be a batch; None: not before something else happens."""
        return self.queue.next_take_ns(self.clock())

    def take(self, state: ResourceState) -> Batch | None:
        """The next batch, on what is in force; None: there is none now."""
        assembled = self.queue.take(state, self.clock())
        return assembled.batch if assembled is not None else None

    def propose(self, policy: str, batch: Batch) -> None:
        """The batch is proposed, as this policy."""
        self._under_way = _UnderWay(policy, batch)

    def cannot_store(self) -> None:
        """The disk takes no entry. Other keepers may have room: who asks hears that nothing is known here."""
        self.queue = ProposalQueue()
        self._full_until = self.clock() + FULL_FOR

    def refuse(
        self, batch: Batch, named_changes: Mapping[str, Sequence[str]], reasons: Sequence[str]
    ) -> None:
        """The batch cannot be served: the changes that were named are refused, the others wait again."""
        by_id = {bytes.fromhex(change): problems_of(texts) for change, texts in named_changes.items()}
        self.queue.dropped(batch, by_id, self.clock(), problems_of(reasons))

    def lost(self, batch: Batch, policy: str) -> None:
        """Another policy than that of the batch is in force, or goes on: the batch waits again."""
        after = self.log.state(policy)
        self.queue.lost(batch, after if after is not None else EMPTY, self.clock())

    def begun(self, state: EpochState) -> None:
        """An epoch names a policy that is to come: that of the batch, or another one that came before it."""
        under_way = self._under_way
        if under_way is None:
            return
        if state.new == under_way.policy:
            under_way.began = True
            return
        self._under_way = None
        self.lost(under_way.batch, state.policy)

    def settled(self, keeping: DurableAcceptor, state: EpochState, given_up: Set[str]) -> None:
        """An epoch has settled: the batch has come to its end, one way or another."""
        under_way = self._under_way
        if under_way is None:
            return
        self._under_way = None
        batch = under_way.batch
        if state.policy == under_way.policy:
            self.queue.decided(batch, self.clock())
        elif not under_way.began or version_of(state.policy) >= batch.revision:
            self.lost(batch, state.policy)
        elif under_way.policy in given_up:
            self.queue.dropped(batch, {change.id: GIVEN_UP for change in batch.changes}, self.clock())
        else:
            self._dropped(keeping, under_way.policy, batch)

    def _dropped(self, keeping: DurableAcceptor, name: str, batch: Batch) -> None:
        """Nodes could not serve a batch: only the changes that they named are refused, if they named any."""
        named_changes = keeping.culprits.get(name, {})
        whole = keeping.whole.get(name)
        if whole is not None:
            named_changes = {change.id.hex(): whole for change in batch.changes}
        refusals = keeping.refusals.get(name, {})
        reasons = [f"{node}: {reason}" for node, texts in refusals.items() for reason in texts]
        self.refuse(batch, named_changes, reasons)

    # What became of a change

    def became_of(self, change: str, keeping: DurableAcceptor) -> messages.ChangeReply:
        """What became of one change, as far as this keeper knows. RejectedError: it is no id."""
        try:
            change_id = bytes.fromhex(change)
        except ValueError:
            raise RejectedError(f"change: {change[:40]!r} is no id") from None
        if len(change_id) != CHANGE_ID_BYTES or keeping.keeper is None:
            raise RejectedError(f"change: {change[:40]!r} is no id, or this keeper knows nothing yet")
        state = keeping.keeper.decided
        # What is decided says it, whatever this keeper had to do with it.
        for name in policies_named(state):
            resources = self.log.state(name)
            revision = resources.revision_of(change_id) if resources is not None else None
            if revision is None:
                continue
            if name == state.new:
                return messages.ChangeReply(change, messages.ChangeOutcome.UNDER_WAY, name, state.epoch)
            return self._in_force(keeping, state, change, revision)
        outcome = self.queue.outcome(change_id, self.clock())
        if isinstance(outcome, InForce):
            return self._in_force(keeping, state, change, outcome.revision)
        if isinstance(outcome, RejectedHere):
            return messages.ChangeReply(
                change, messages.ChangeOutcome.REFUSED, problems=list(outcome.problems)
            )
        if isinstance(outcome, Pending):
            return messages.ChangeReply(
                change, messages.ChangeOutcome.QUEUED, wait_ms=outcome.wait_ns // 1_000_000
            )
        if isinstance(outcome, UnderWay):
            return messages.ChangeReply(
                change, messages.ChangeOutcome.QUEUED
            )  # no epoch names it yet, as far as is known
        return messages.ChangeReply(change, messages.ChangeOutcome.UNKNOWN)

    def _in_force(
        self, keeping: DurableAcceptor, decided: EpochState, change: str, revision: int
    ) -> messages.ChangeReply:
        """A change of this revision, and an epoch since which it is in force, or a later one."""
        since = [one.state.epoch for one in keeping.history if version_of(one.state.policy) >= revision]
        name = self._at_version(decided.policy, revision)
        return messages.ChangeReply(
            change, messages.ChangeOutcome.IN_FORCE, name, min(since, default=decided.epoch)
        )

    def _at_version(self, name: str, version: int) -> str:
        """The name of the entry of a version, on the chain that ends with a policy; empty: it is let go."""
        policy = self.log.get(name)
        while policy is not None and policy.version > version:
            policy = self.log.get(policy.parent_name)
        return policy.name if policy is not None and policy.version == version else ""
