"""Coordination of a change: the ballots that move the group from one epoch to the next until it is settled.

A voter coordinates the changes that were proposed to it, and takes over a change that no voter has
coordinated for a while. Each step is one ballot (`ballots`).
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

# Seconds after which a voter takes over a change that no voter coordinates. The stagger is added once per
# place in the list of voters, so that they do not all take over at the same time.
TAKE_OVER_AFTER_S, TAKE_OVER_STAGGER_S = 1.0, 0.4
# Seconds between two checks for a change that no voter coordinates; each is multiplied by a random factor
# in the range of IDLE_JITTER.
IDLE_INTERVAL_S = 0.25
IDLE_JITTER = (0.8, 1.2)
MIN_IDLE_S = 0.001
# Range of seconds that a superseded proposer waits, so that the other one can finish.
SUPERSEDED_BACKOFF_S = (0.01, 0.05)
# Range of seconds to wait after a failed ballot, doubled for each consecutive failure, MAX_DOUBLINGS times at
# most.
FAILED_BACKOFF_S = (0.02, 0.05)
MAX_DOUBLINGS = 5


class CoordinatorHost(Learner, Protocol):
    """The voter on whose behalf changes are coordinated."""

    acceptor: DurableAcceptor | None

    def require_acceptor(self) -> DurableAcceptor:
        """The acceptor of this process. NoVoterError: this process is not a voter."""
        ...

    def become_voter(self) -> None:
        """Start to act as a voter, if a policy names this process as one and it does not yet."""
        ...

    def learn_as_voter_and_leaseholder(self, state: EpochState, source: str) -> Coroutine[Any, Any, None]:
        """Pass a decided epoch to the acceptor and the leaseholder; a disk error is logged."""
        ...

    async def recover_acceptor(self) -> None:
        """Restore an acceptor without state from what the other voters know."""
        ...


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A policy to propose from this process, and the epoch to propose it in."""

    policy: PolicyVersion
    epoch: int


class ChangeCoordinator:
    """Coordinates the changes of one voter, one at a time.

    Parameters
    ----------
    voter : CoordinatorHost
    replica : LogReplica
    environment : Environment
    process : int
        The number of this process, part of its ballot numbers.
    proposals : Proposals
    peers : PeerClient
    propose_next : callable
        Proposes the next policy from the queued changes; returns whether there was a batch.
    spawn : callable
        Starts a background task.
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
        self.dropping: set[str] = set()  # names of the policies to drop
        self.coordinating = ""  # name of the policy that this process coordinates
        self.rejected: dict[str, Reason] = {}  # by policy: why its change never began
        self.wakeup = asyncio.Event()
        self._failed_ballots = 0  # consecutive failures

    # Requests from the service

    def wake(self) -> None:
        """Check for work now instead of at the next interval."""
        self.wakeup.set()

    def begin(self, policy: PolicyVersion, epoch: int) -> None:
        """Make a policy the pending one, to be proposed in this epoch."""
        self.pending = PendingChange(policy, epoch)
        self.dropping.discard(policy.name)

    def is_pending(self, name: str) -> bool:
        """Whether this is the pending policy."""
        return self.pending is not None and self.pending.policy.name == name

    def other_pending(self, name: str) -> str:
        """The name of the pending policy if it is another one than `name`, else empty."""
        if self.pending is None or self.pending.policy.name == name:
            return ""
        return self.pending.policy.name

    def take_over(self, name: str) -> None:
        """Coordinate the change to a policy from this process, starting now."""
        self.coordinating = name
        self.wake()

    def clear_dropped(self) -> set[str]:
        """Clear the policies to drop, once an epoch has settled; returns them."""
        dropped = set(self.dropping)
        self.dropping.clear()
        return dropped

    def progress(self) -> ChangeProgress:
        """The progress of changes at this voter, for its status."""
        return ChangeProgress(
            queued=len(self.proposals),
            pending=self.pending.policy.name if self.pending is not None else "",
            rejected=self.rejected,
            coordinating=self.coordinating,
            blocking_leases=self.ballots.blocking_leases,
        )

    # Main loop

    async def run(self) -> None:
        """Coordinate changes until they settle: own ones, and those that no other voter coordinates."""
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
        """Do the next piece of work; returns whether more may be due at once."""
        acceptor = self.voter.acceptor
        if acceptor is not None and acceptor.state is None:
            await self.voter.recover_acceptor()
            return False
        if self._has_work():
            await self._advance()
            return True
        return await self.propose_next()

    def _idle_time(self) -> float:
        """The time to wait for work, in seconds."""
        idle = IDLE_INTERVAL_S * self.rng.uniform(*IDLE_JITTER)
        next_batch = self.proposals.next_batch_delay_ns() if self._may_propose() else None
        return idle if next_batch is None else min(idle, max(MIN_IDLE_S, next_batch / SECOND))

    def _may_propose(self) -> bool:
        """Whether the next batch can be proposed as soon as it is ready."""
        acceptor = self.voter.acceptor
        return (
            acceptor is not None
            and acceptor.state is not None
            and acceptor.state.decided.stage is Stage.SETTLED
            and not self.proposals.has_active_batch
        )

    def _has_work(self) -> bool:
        """Whether this process has a change to coordinate now."""
        acceptor = self.voter.acceptor
        if acceptor is None or acceptor.state is None:
            return False
        state = acceptor.state.decided
        if state.stage is Stage.SETTLED:
            self._clear_superseded(state)
            return self.pending is not None
        self._resolve_pending(state)
        if self.coordinating == state.new:
            return True
        voters = self.replica.voter_addresses(state)
        own_address = self.environment.settings.address
        index = voters.index(own_address) if own_address in voters else len(voters)
        take_over_after_s = TAKE_OVER_AFTER_S + TAKE_OVER_STAGGER_S * index
        return self.clock() - acceptor.last_coordinated > take_over_after_s * SECOND

    def _clear_superseded(self, state: EpochState) -> None:
        """Clear the pending policy if its epoch has passed: it has ended, or another change came first."""
        pending = self.pending
        if pending is None or pending.epoch == state.epoch + 1:
            return
        self.pending = None
        name = pending.policy.name
        if name != state.policy and not self.proposals.is_proposing(name):
            self.rejected.setdefault(name, SupersededOrDropped())

    def _resolve_pending(self, state: EpochState) -> None:
        """Clear the pending policy once a change has begun: it is that change, or was superseded by it."""
        if self.pending is None:
            return
        if self.pending.policy.name != state.new:
            self.rejected[self.pending.policy.name] = Superseded(state.new)
        else:
            self.coordinating = state.new
        self.pending = None

    # Ballots

    def _proposal(self, state: EpochState) -> EpochState:
        """The epoch to propose after a decided one."""
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

    def _current_proposal(self, state: EpochState) -> EpochState | None:
        """The epoch to propose now, or None if a settled epoch has no pending policy to follow it."""
        if state.stage is Stage.SETTLED and self.pending is None:
            return None
        return self._proposal(state)

    async def _advance(self) -> None:
        """Run one ballot for the next epoch."""
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
            self.announcer.announce(state, acceptor)  # leases on an earlier epoch block the next one
        self.data_plane.log_event(
            LogEvent.COORDINATING,
            epoch=proposal.epoch,
            stage=stage_label(proposal.stage),
            change=proposal.new or proposal.policy,
        )
        outcome = await self.ballots.run(
            acceptor, state, proposal, addresses, voter_sets, lambda: self._current_proposal(state)
        )
        await self._back_off_after(outcome, acceptor)

    async def _back_off_after(self, outcome: BallotOutcome, acceptor: DurableAcceptor) -> None:
        """Wait before the next ballot, depending on the outcome of the last one."""
        if outcome is BallotOutcome.DECIDED:
            self._failed_ballots = 0
        elif outcome is BallotOutcome.SUPERSEDED:
            # Another proposer is active. If both continued, each would keep superseding the other's ballots.
            self.coordinating = ""
            acceptor.last_coordinated = self.clock()
            await asyncio.sleep(self.rng.uniform(*SUPERSEDED_BACKOFF_S))
        else:
            self._failed_ballots = min(self._failed_ballots + 1, MAX_DOUBLINGS)
            await asyncio.sleep(self.rng.uniform(*FAILED_BACKOFF_S) * 2**self._failed_ballots)
