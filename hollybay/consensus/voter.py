"""The voter of this process: replies to leaseholders and proposers, and learns decided epochs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from . import messages
from .core import EpochState, Stage, has_quorum, policies_named
from .durable_acceptor import DurableAcceptor
from .environment import Environment
from .errors import NoVoterError, RejectedError
from .interfaces import Response
from .log_events import LogEvent
from .log_replica import LogReplica
from .messages import voter_number
from .outgoing_requests import PeerClient
from .policy import PolicyVersion
from .replies import ok
from .store import Store, StoreError

__all__ = ["Voter"]

CATCH_UP_LIMIT_S = 0.3  # seconds to wait for replies of other voters about a later epoch


class Voter:
    """Votes for epochs and grants leases, once the log names this process as a voter.

    Parameters
    ----------
    environment : Environment
    replica : LogReplica
    peers : PeerClient
    learn_as_leaseholder : callable
        Called with an epoch for the leaseholder of this process, and an address that has its policies.
    on_decided : callable
        Called with the acceptor and the decided epoch that it has learned of.
    """

    def __init__(
        self,
        environment: Environment,
        replica: LogReplica,
        peers: PeerClient,
        learn_as_leaseholder: Callable[[EpochState, str], Awaitable[None]],
        on_decided: Callable[[DurableAcceptor, EpochState], None],
    ) -> None:
        self.environment = environment
        self.replica = replica
        self.peers = peers
        self.acceptor: DurableAcceptor | None = None
        self.log_is_open = False
        self._lock = asyncio.Lock()  # the acceptor handles one message at a time
        self._learn_as_leaseholder = learn_as_leaseholder
        self._on_decided = on_decided

    # Becoming a voter

    def require_acceptor(self) -> DurableAcceptor:
        """The acceptor of this process. NoVoterError: it is not a voter."""
        if self.acceptor is None:
            raise NoVoterError
        return self.acceptor

    def become_voter(self) -> None:
        """Become a voter if this process is named as one and no other process is the voter of its name."""
        if self.acceptor is not None or not self.log_is_open:
            return
        if self.replica.own_address not in self.replica.known_addresses:
            return
        if not self.environment.may_vote_here():
            return
        acceptor = self._open_acceptor()
        self.acceptor = acceptor
        state = acceptor.state
        self._log_event(LogEvent.VOTER_STARTED, epoch=state.decided.epoch if state is not None else -1)

    def _open_acceptor(self) -> DurableAcceptor:
        environment = self.environment
        settings = environment.settings
        acceptor = DurableAcceptor(
            voter_number(settings.address),
            Store(environment.folder, "keeper", environment.before_disk_step),
            self.replica.log,
            environment.clock,
            environment.wall_clock,
            settings.lease_ns + settings.grace_ns,
            environment.disk,
        )
        try:
            acceptor.open()
        except StoreError as error:
            acceptor.storage_failure = str(error)
            self._log_event(LogEvent.VOTER_STORAGE_FAILED, error=str(error))
        return acceptor

    async def bootstrap(self, acceptor: DurableAcceptor, policy: PolicyVersion) -> None:
        """Bootstrap an acceptor with the first policy, which is on disk."""
        async with self._lock:
            await acceptor.bootstrap(policy)

    # Learning epochs

    async def recover_acceptor(self) -> None:
        """Recover an acceptor without state from what the other voters know."""
        acceptor = self.acceptor
        if acceptor is None or acceptor.state is not None:
            return
        addresses = sorted(self.replica.known_addresses - {self.replica.own_address})
        replies = await self.peers.all_answers(addresses, "tell", None, messages.KnowledgeReply)
        known = {
            address: reply
            for address, reply in dict(replies).items()
            if reply.bootstrapped and reply.decided is not None
        }
        if not known:
            return
        try:
            await self._recover_from(acceptor, known)
        except StoreError as error:
            self._log_event(LogEvent.VOTER_STORAGE_FAILED, error=str(error))

    async def _recover_from(
        self, acceptor: DurableAcceptor, known: dict[str, messages.KnowledgeReply]
    ) -> None:
        """Recover from other voters, if they are a quorum and the policies they name can be fetched."""
        latest = max(reply.decided for reply in known.values() if reply.decided is not None)
        source = next(address for address, reply in known.items() if reply.decided == latest)
        if not await self.replica.fetch_all(latest, source):
            return
        voter_sets = self.replica.voter_sets(latest)
        self.replica.known_addresses.update(self.replica.voter_addresses(latest))
        if not has_quorum(voter_sets, (voter_number(address) for address in known)):
            return
        async with self._lock:
            await acceptor.recover(
                (reply.decided, reply.accepted) for reply in known.values() if reply.decided is not None
            )
        state = acceptor.state
        assert state is not None
        self._log_event(LogEvent.VOTER_RECOVERED, epoch=state.decided.epoch, mute=state.last_barred_epoch)

    async def acceptor_learns(self, state: EpochState, source: str) -> bool:
        """Let the acceptor learn of a decided epoch, once its policies are on disk.

        Parameters
        ----------
        state : EpochState
        source : str
            The address of a process that has the policies.

        Returns
        -------
        bool
            Whether the epoch was new to the acceptor.

        Raises
        ------
        StoreError
            The new state could not be written to disk.
        """
        acceptor = self.acceptor
        if acceptor is None or acceptor.state is None:
            return False
        if state.epoch <= acceptor.state.decided.epoch:
            return False
        if not await self.replica.fetch_all(state, source):
            return False
        async with self._lock:
            is_news = await acceptor.learn_decided(state)
        if not is_news:
            return False
        if state.stage is Stage.PREPARE:
            acceptor.reports.forget(state.new)  # reports from an earlier proposal of the same policy
        self._on_decided(acceptor, state)
        return True

    async def learn(self, state: EpochState, source: str) -> None:
        """Let the leaseholder of this process learn of an epoch."""
        await self._learn_as_leaseholder(state, source)

    async def learn_as_voter_and_leaseholder(self, state: EpochState, source: str) -> None:
        """Let the acceptor and the leaseholder learn of an epoch; a disk failure is logged."""
        try:
            await self.acceptor_learns(state, source)
        except StoreError as error:
            self._log_event(LogEvent.VOTER_STORAGE_FAILED, error=str(error))
        await self.learn(state, source)

    async def catch_up(self) -> None:
        """Ask the other voters for a later epoch, and learn it."""
        acceptor = self.require_acceptor()
        assert acceptor.state is not None
        addresses = self.replica.other_voters(acceptor.state.decided)
        for address, reply in await self.peers.all_answers(
            addresses, "tell", None, messages.KnowledgeReply, limit=CATCH_UP_LIMIT_S
        ):
            if reply.decided is not None:
                await self.acceptor_learns(reply.decided, address)

    # Requests of other processes

    async def on_lease_call(self, call: messages.LeaseCall) -> Response:
        """Reply to a leaseholder that requests a lease."""
        acceptor = self.require_acceptor()
        if call.request.state is not None:
            await self.acceptor_learns(call.request.state, call.address)
        async with self._lock:
            return ok(acceptor.grant_lease(call))

    async def on_prepare_call(self, call: messages.PrepareCall) -> Response:
        """Reply to a proposer that requests a promise."""
        acceptor = self.require_acceptor()
        async with self._lock:
            return ok(await acceptor.prepare(call.prepare))

    async def on_accept_call(self, call: messages.AcceptCall) -> Response:
        """Reply to a proposer that requests a vote, after fetching the policies of the epoch."""
        acceptor = self.require_acceptor()
        await self.replica.fetch_all(call.accept.state, call.source)
        async with self._lock:
            return ok(await acceptor.accept(call.accept))

    async def on_join(self, notice: messages.DecidedNotice) -> Response:
        """Become a voter of the next policy, and recover from the current voters before it is proposed."""
        for name in policies_named(notice.state):
            fetched = await self.replica.fetch(name, notice.source)
            if fetched.policy is not None:
                self.replica.known_addresses.update(fetched.policy.voters)
        self.replica.known_addresses.add(self.replica.own_address)
        self.become_voter()
        await self.recover_acceptor()
        if self.acceptor is None or self.acceptor.state is None:
            raise RejectedError("keepers: could not recover the state from a majority of the voters")
        return Response(200, b"{}")

    def knowledge(self) -> Response:
        """What the acceptor knows, for a voter that has no state."""
        return ok(self.require_acceptor().knowledge())

    def _log_event(self, event: LogEvent, **fields: object) -> None:
        self.environment.data_plane.log_event(event, **fields)
