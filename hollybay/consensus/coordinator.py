"""Coordinating a change: bringing it from one epoch to the next until it is settled.

A voter coordinates what was proposed to it, and takes over a change that nobody has coordinated for a while.
Each step is a ballot (`ballots`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from hollybay.units import SECOND

from .announcer import Announcer
from .ballots import BallotOutcome, BallotRunner, Learner
from .core import EpochState, Stage, policies_named
from .durable_acceptor import DurableAcceptor
from .environment import Environment
from .log_events import LogEvent
from .log_replica import LogReplica
from .messages import stage_label
from .outgoing_requests import PeerClient
from .policy import PolicyVersion
from .proposals import Proposals
from .reasons import Reason, Superseded, SupersededOrDropped
from .status import ChangeProgress
from .store import StoreError
from .waiting import wait_at_most

__all__ = ["IDLE_INTERVAL_S", "ChangeCoordinator", "CoordinatorHost", "PendingChange"]

# Seconds after which a voter takes over a change that nobody coordinates, and more for each place among the
# voters, so that they do not start at once.
TAKE_OVER_AFTER_S, TAKE_OVER_STAGGER_S = 1.0, 0.4
# Seconds between two looks for a change that nobody coordinates.
IDLE_INTERVAL_S = 0.25
IDLE_JITTER = (0.8, 1.2)
MIN_IDLE_S = 0.001
# Seconds for which a superseded proposer leaves the way to the other one.
SUPERSEDED_BACKOFF_S = (0.01, 0.05)
# Seconds after a failed ballot, doubled for each one in a row up to the maximum.
FAILED_BACKOFF_S = (0.02, 0.05)
MAX_DOUBLINGS = 5


class CoordinatorHost(Learner, Protocol):
    """The voter that is coordinated for."""

    acceptor: DurableAcceptor | None

    def require_acceptor(self) -> DurableAcceptor:
        """The acceptor here. NoVoterError: this process is no voter."""
        ...

    def become_voter(self) -> None:
        """Be a voter, if this process is named as one and is none yet."""
        ...

    def learn_as_voter_and_leaseholder(self, state: EpochState, source: str) -> Coroutine[Any, Any, None]:
        """The acceptor and the leaseholder learn of an epoch; a disk that fails is logged."""
        ...

    async def recover_acceptor(self) -> None:
        """An acceptor that knows nothing asks all others what they know."""
        ...


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A policy that is to be proposed here, and the epoch that it is to begin with."""

    policy: PolicyVersion
    epoch: int


class ChangeCoordinator:
    """Coordinates changes for one voter, one at a time.

    Parameters
    ----------
    voter : CoordinatorHost
    replica : LogReplica
    environment : Environment
    process : int
        The number of this process, which its ballots carry.
    proposals : Proposals
    peers : PeerClient
    propose_next : callable
        Makes the next policy of the changes that wait; whether there was anything.
    spawn : callable
        Starts a task.
    """

    def __init__(
        self,
        voter: CoordinatorHost,
        replica: LogReplica,
        environment: Environment,
        process: int,
        proposals: Proposals,
        peers: PeerClient,
        propose_next: Callable[[], Awaitable[bool]],
        spawn: Callable[[Coroutine[Any, Any, Any]], object],
    ) -> None:
        self.voter = voter
        self.replica = replica
        self.environment = environment
        self.data_plane = environment.data_plane
        self.clock = environment.clock
        self.rng = environment.rng
        self.proposals = proposals
        self.propose_next = propose_next
        self.announcer = Announcer(environment, replica, peers, voter.learn_as_voter_and_leaseholder, spawn)
        self.ballots = BallotRunner(environment, process, voter, peers, self.announcer)
        self.pending: PendingChange | None = None
        self.dropping: set[str] = set()  # policies to be given up, by name
        self.coordinating = ""  # the policy that is coordinated here
        self.rejected: dict[str, Reason] = {}  # policies that never began: why
        self.wakeup = asyncio.Event()
        self._failed_ballots = 0  # one after another

    # What the service asks for

    def wake(self) -> None:
        """Look for work now."""
        self.wakeup.set()

    def begin(self, policy: PolicyVersion, epoch: int) -> None:
        """A policy is to be proposed, to begin with this epoch."""
        self.pending = PendingChange(policy, epoch)
        self.dropping.discard(policy.name)

    def is_pending(self, name: str) -> bool:
        """Whether a policy is the one that is about to begin."""
        return self.pending is not None and self.pending.policy.name == name

    def other_pending(self, name: str) -> str:
        """The policy that is about to begin, where it is another than this one; else empty."""
        if self.pending is None or self.pending.policy.name == name:
            return ""
        return self.pending.policy.name

    def take_over(self, name: str) -> None:
        """Coordinate the change to a policy from here, now."""
        self.coordinating = name
        self.wake()

    def end_drops(self) -> set[str]:
        """A change is settled: the policies that were to be given up until then."""
        dropped = set(self.dropping)
        self.dropping.clear()
        return dropped

    def progress(self) -> ChangeProgress:
        """The progress of changes here."""
        return ChangeProgress(
            queued=len(self.proposals),
            pending=self.pending.policy.name if self.pending is not None else "",
            rejected=self.rejected,
            coordinating=self.coordinating,
            blocking_leases=self.ballots.blocking_leases,
        )

    # Steps

    async def run(self) -> None:
        """Bring changes to their end: those that began here, and those that nobody else coordinates."""
        while True:
            self.wakeup.clear()
            self.voter.become_voter()
            try:
                if await self._step():
                    continue
            except StoreError as error:
                self.data_plane.log_event(LogEvent.VOTER_STORAGE_FAILED, error=str(error))
                await asyncio.sleep(IDLE_INTERVAL_S)
            self.coordinating = ""
            self.ballots.blocking_leases = []
            await wait_at_most(self.wakeup, self._idle_time())

    async def _step(self) -> bool:
        """Do what is to be done now; whether there may be more at once."""
        acceptor = self.voter.acceptor
        if acceptor is not None and acceptor.state is None:
            await self.voter.recover_acceptor()
            return False
        if self._has_work():
            await self._advance()
            return True
        return await self.propose_next()

    def _idle_time(self) -> float:
        """How long to wait for work, seconds."""
        idle = IDLE_INTERVAL_S * self.rng.uniform(*IDLE_JITTER)
        next_batch = self.proposals.next_batch_delay_ns() if self._may_propose() else None
        return idle if next_batch is None else min(idle, max(MIN_IDLE_S, next_batch / SECOND))

    def _may_propose(self) -> bool:
        """Whether the next batch may be made here as soon as there is one."""
        acceptor = self.voter.acceptor
        return (
            acceptor is not None
            and acceptor.state is not None
            and acceptor.state.decided.stage is Stage.SETTLED
            and not self.proposals.has_active_batch
        )

    def _has_work(self) -> bool:
        """Whether there is a change to coordinate here, now."""
        acceptor = self.voter.acceptor
        if acceptor is None or acceptor.state is None:
            return False
        state = acceptor.state.decided
        if state.stage is Stage.SETTLED:
            self._forget_overtaken(state)
            return self.pending is not None
        self._join_change(state)
        if self.coordinating == state.new:
            return True
        voters = self.replica.voter_addresses(state)
        own_address = self.environment.settings.address
        index = voters.index(own_address) if own_address in voters else len(voters)
        patience = TAKE_OVER_AFTER_S + TAKE_OVER_STAGGER_S * index
        return self.clock() - acceptor.last_coordinated > patience * SECOND

    def _forget_overtaken(self, state: EpochState) -> None:
        """Another change was decided before the pending one, or that one was and is over."""
        pending = self.pending
        if pending is None or pending.epoch == state.epoch + 1:
            return
        self.pending = None
        name = pending.policy.name
        if name != state.policy and not self.proposals.is_proposing(name):
            self.rejected.setdefault(name, SupersededOrDropped())

    def _join_change(self, state: EpochState) -> None:
        """A change is under way: the pending one, which is coordinated here, or another."""
        if self.pending is None:
            return
        if self.pending.policy.name != state.new:
            self.rejected[self.pending.policy.name] = Superseded(state.new)
        else:
            self.coordinating = state.new
        self.pending = None

    # Ballots

    def _proposal(self, state: EpochState) -> EpochState:
        """The epoch that should follow a decided one."""
        epoch = state.epoch + 1
        if state.stage is Stage.SETTLED:
            assert self.pending is not None
            return EpochState(epoch, Stage.PREPARE, state.policy, self.pending.policy.name)
        is_unserviceable = any(lease.cannot_serve for lease in self.ballots.blocking_leases) or bool(
            self.voter.require_acceptor().reports.unserviceable.get(state.new)
        )
        if state.new in self.dropping or (state.stage is Stage.PREPARE and is_unserviceable):
            return EpochState(epoch, Stage.SETTLED, state.policy)
        if state.stage is Stage.PREPARE:
            return EpochState(epoch, Stage.JOINT, state.policy, state.new)
        return EpochState(epoch, Stage.SETTLED, state.new)

    def _wanted(self, state: EpochState) -> EpochState | None:
        """The epoch that should follow by now; None: nothing, as what was pending is not any more."""
        if state.stage is Stage.SETTLED and self.pending is None:
            return None
        return self._proposal(state)

    async def _advance(self) -> None:
        """Bring the group one epoch further, if a quorum votes for it."""
        acceptor = self.voter.require_acceptor()
        assert acceptor.state is not None
        acceptor.last_coordinated = self.clock()
        state = acceptor.state.decided
        proposal = self._proposal(state)
        self.coordinating = proposal.new or state.new
        addresses = self.replica.voter_addresses(state)
        voter_sets = self.replica.voter_sets(state)
        if len(voter_sets) < len(policies_named(state)):
            await asyncio.sleep(IDLE_INTERVAL_S)
            return
        if state.stage is not Stage.SETTLED:
            self.announcer.announce(state, acceptor)  # whoever has not heard of it blocks the next one
        self.data_plane.log_event(
            LogEvent.COORDINATING,
            epoch=proposal.epoch,
            stage=stage_label(proposal.stage),
            change=proposal.new or proposal.policy,
        )
        outcome = await self.ballots.run(
            acceptor, state, proposal, addresses, voter_sets, lambda: self._wanted(state)
        )
        await self._back_off_after(outcome, acceptor)

    async def _back_off_after(self, outcome: BallotOutcome, acceptor: DurableAcceptor) -> None:
        """Wait before the next ballot, as the last one ended."""
        if outcome is BallotOutcome.DECIDED:
            self._failed_ballots = 0
        elif outcome is BallotOutcome.SUPERSEDED:
            # Another proposer is at work: two that went on would only supersede each other.
            self.coordinating = ""
            acceptor.last_coordinated = self.clock()
            await asyncio.sleep(self.rng.uniform(*SUPERSEDED_BACKOFF_S))
        else:
            self._failed_ballots = min(self._failed_ballots + 1, MAX_DOUBLINGS)
            await asyncio.sleep(self.rng.uniform(*FAILED_BACKOFF_S) * 2**self._failed_ballots)
