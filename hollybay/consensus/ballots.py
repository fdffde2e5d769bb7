"""One ballot: the promises and votes that a proposer collects from the voters to decide the next epoch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from . import messages
from .announcer import Announcer
from .core import Accept, EpochState, Stage, VoterSets, effective_policies
from .durable_acceptor import DurableAcceptor
from .environment import Environment
from .log_events import LogEvent
from .messages import stage_label, voter_number
from .outgoing_requests import PeerClient
from .proposer import Proposer

__all__ = ["BallotOutcome", "BallotRunner", "Learner"]

# Seconds for which further replies are awaited after a quorum has replied.
GATHER_TIME_S = 0.03
# Seconds between two requests for votes while leases block them; the interval grows up to the maximum.
VOTE_INTERVAL_S, MAX_VOTE_INTERVAL_S = 0.02, 0.1
VOTE_INTERVAL_GROWTH = 1.3
# Consecutive requests for votes without any reply after which the ballot has failed.
MAX_UNANSWERED_REQUESTS = 3
# Seconds between announcements of the decided epoch, to voters and to leaseholders on earlier epochs.
ANNOUNCE_INTERVAL_S = 0.5


class BallotOutcome(Enum):
    """How a ballot ended."""

    DECIDED = auto()
    SUPERSEDED = auto()  # a voter has promised a higher ballot to another proposer
    FAILED = auto()  # no quorum replied, a later epoch is known, or another epoch should now follow


class Learner(Protocol):
    """The learners (leaseholder and acceptor) of the process that runs a ballot."""

    async def learn(self, state: EpochState, source: str) -> None:
        """Let the leaseholder learn of an epoch, whose policies are available at the address `source`."""
        ...

    async def acceptor_learns(self, state: EpochState, source: str) -> bool:
        """Let the acceptor learn of a decided epoch; whether it was new. StoreError: the disk failed."""
        ...


@dataclass(slots=True)
class _Ballot:
    """A ballot in progress.

    Attributes
    ----------
    state : EpochState
        The decided epoch that the ballot is to follow.
    addresses : list of str
        The addresses of the voters.
    proposer : Proposer
    voted : set of str
        The addresses of the voters that have voted.
    unanswered_requests : int
        Consecutive requests for votes that no voter has replied to.
    """

    state: EpochState
    addresses: list[str]
    proposer: Proposer
    voted: set[str] = field(default_factory=set)
    unanswered_requests: int = 0


class BallotRunner:
    """Runs ballots for one process.

    Parameters
    ----------
    environment : Environment
    process : int
        The number of this process, which is part of its ballots.
    learner : Learner
    peers : PeerClient
    announcer : Announcer
    """

    def __init__(
        self,
        environment: Environment,
        process: int,
        learner: Learner,
        peers: PeerClient,
        announcer: Announcer,
    ) -> None:
        self.environment = environment
        self.process = process
        self.learner = learner
        self.peers = peers
        self.announcer = announcer
        self.blocking_leases: list[messages.BlockingLease] = []  # leases that the votes wait for
        self._highest_number = 0  # highest ballot number that was seen
        self._own_address = environment.settings.address

    async def run(
        self,
        acceptor: DurableAcceptor,
        state: EpochState,
        proposal: EpochState,
        addresses: list[str],
        voter_sets: VoterSets,
        wanted: Callable[[], EpochState | None],
    ) -> BallotOutcome:
        """Propose an epoch after a decided one.

        Parameters
        ----------
        acceptor : DurableAcceptor
            The acceptor of this process.
        state : EpochState
            The decided epoch.
        proposal : EpochState
            The epoch to follow it.
        addresses : list of str
            The addresses of the voters of the decided epoch.
        voter_sets : VoterSets
            The numbers of these voters, for each policy that the epoch names.
        wanted : callable
            Returns the epoch that should follow at present, or None. The ballot fails if that is not the
            epoch that it requests votes for.
        """
        ballot = _Ballot(state, addresses, Proposer(self.process, voter_sets, proposal))
        accept = await self._collect_promises(acceptor, ballot)
        if accept is None:
            return BallotOutcome.FAILED
        return await self._collect_votes(acceptor, ballot, accept, wanted)

    # Promises

    async def _collect_promises(self, acceptor: DurableAcceptor, ballot: _Ballot) -> Accept | None:
        """Request promises; returns the request for votes, or None if no quorum has promised.

        Promises of voters that have not voted are counted first, so that the proposer may propose its own
        epoch whenever a quorum of these allows it.
        """
        highest_number = max(acceptor.promised_number(), self._highest_number)
        ballot.proposer, prepare = ballot.proposer.begin_ballot(highest_number)
        self._highest_number = prepare.ballot[0]
        body = messages.encode(messages.PrepareCall(messages.MESSAGE_VERSION, prepare))
        replies: list[tuple[str, messages.PrepareReply]] = []
        async for address, reply in self.peers.answers(
            ballot.addresses,
            "prepare",
            body,
            messages.PrepareReply,
            GATHER_TIME_S,
            ballot.proposer.voter_sets,
        ):
            self._highest_number = max(self._highest_number, reply.promised_number)
            if reply.decided is not None:
                await self._learn(reply.decided, address)
                return None
            if reply.decided_epoch < ballot.state.epoch:
                self.announcer.notify(address, ballot.state)
            replies.append((address, reply))
        replies.sort(key=lambda answer: answer[1].promise is None or answer[1].promise.accepted is not None)
        return self._count_promises(ballot, replies)

    @staticmethod
    def _count_promises(ballot: _Ballot, replies: list[tuple[str, messages.PrepareReply]]) -> Accept | None:
        accept: Accept | None = None
        for address, reply in replies:
            if reply.promise is not None:
                promise = reply.promise._replace(voter=voter_number(address))
                ballot.proposer, request = ballot.proposer.on_promise(promise)
                accept = accept or request
        return accept

    # Votes

    async def _collect_votes(
        self,
        acceptor: DurableAcceptor,
        ballot: _Ballot,
        accept: Accept,
        wanted: Callable[[], EpochState | None],
    ) -> BallotOutcome:
        """Request votes until a quorum has voted or the ballot has failed."""
        body = messages.encode(messages.AcceptCall(messages.MESSAGE_VERSION, accept, self._own_address))
        interval = VOTE_INTERVAL_S
        loop = asyncio.get_running_loop()
        announced_at = loop.time()
        while True:
            acceptor.last_coordinated = self.environment.clock()
            is_due = loop.time() - announced_at > ANNOUNCE_INTERVAL_S
            if is_due and ballot.state.stage is not Stage.SETTLED:
                announced_at = loop.time()
                # Nodes that have not learned of the decided epoch hold earlier leases, which block votes.
                self.announcer.announce(ballot.state, acceptor)
            outcome = await self._request_votes(acceptor, ballot, accept, body)
            if outcome is not None:
                return outcome
            if ballot.unanswered_requests > MAX_UNANSWERED_REQUESTS or accept.state != wanted():
                # `accept` may be for an epoch that a voter had voted for when it promised. A new ballot, with
                # promises of another quorum, may be free to propose the wanted epoch.
                return BallotOutcome.FAILED
            await asyncio.sleep(interval)
            interval = min(MAX_VOTE_INTERVAL_S, interval * VOTE_INTERVAL_GROWTH)

    async def _request_votes(
        self, acceptor: DurableAcceptor, ballot: _Ballot, accept: Accept, body: bytes
    ) -> BallotOutcome | None:
        """Request votes once from the voters that have not voted; None: the ballot continues."""
        blocking: dict[int, messages.BlockingLease] = {}
        is_answered = False
        missing = [address for address in ballot.addresses if address not in ballot.voted]
        async for address, reply in self.peers.answers(
            missing, "accept", body, messages.AcceptReply, GATHER_TIME_S, ballot.proposer.voter_sets
        ):
            is_answered = True
            outcome = await self._handle_reply(acceptor, ballot, accept, address, reply)
            if outcome is not None:
                return outcome
            for lease in reply.blocking_leases:
                blocking[lease.process] = lease
        self.blocking_leases = sorted(blocking.values(), key=lambda lease: lease.name)
        ballot.unanswered_requests = 0 if is_answered else ballot.unanswered_requests + 1
        return None

    async def _handle_reply(
        self,
        acceptor: DurableAcceptor,
        ballot: _Ballot,
        accept: Accept,
        address: str,
        reply: messages.AcceptReply,
    ) -> BallotOutcome | None:
        """Handle the reply of one voter; None: the ballot continues."""
        if reply.accepted is not None:
            ballot.voted.add(address)
            vote = reply.accepted._replace(voter=voter_number(address))
            ballot.proposer, decided = ballot.proposer.on_accepted(vote)
            if decided is not None:
                await self._publish(acceptor, decided.state, ballot.addresses)
                return BallotOutcome.DECIDED
        elif reply.decided is not None:
            await self._learn(reply.decided, address)
            return BallotOutcome.FAILED
        elif reply.promised_number > accept.ballot[0]:
            self._highest_number = max(self._highest_number, reply.promised_number)
            return BallotOutcome.SUPERSEDED
        elif reply.decided_epoch < ballot.state.epoch:
            self.announcer.notify(address, ballot.state)
        return None

    async def _publish(self, acceptor: DurableAcceptor, state: EpochState, voters: list[str]) -> None:
        """Log a decided epoch, and announce it to all processes."""
        self.blocking_leases = []
        self.environment.data_plane.log_event(
            LogEvent.DECIDED,
            epoch=state.epoch,
            stage=stage_label(state.stage),
            policies=list(effective_policies(state)),
            change=state.new,
        )
        await self.learner.acceptor_learns(state, self._own_address)
        self.announcer.announce(state, acceptor, voters)

    async def _learn(self, state: EpochState, source: str) -> None:
        """Learn of a later epoch that a voter knows."""
        await self.learner.acceptor_learns(state, source)
        await self.learner.learn(state, source)
