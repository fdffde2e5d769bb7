"""The voter of this process, if it is one: its replies to leaseholders and proposers, and what it learns."""

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

CATCH_UP_LIMIT_S = 0.3  # seconds for which other voters are asked for a later epoch


class Voter:
    """Votes for epochs and grants leases, once the log names this process as a voter.

    Parameters
    ----------
    environment : Environment
    replica : LogReplica
    peers : PeerClient
    learn_as_leaseholder : callable
        Lets the leaseholder of this process learn of an epoch, from an address that has its policies.
    on_decided : callable
        Takes the acceptor and an epoch that it has learned to be decided.
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
        self._lock = asyncio.Lock()  # the acceptor answers one message after another
        self._learn_as_leaseholder = learn_as_leaseholder
        self._on_decided = on_decided

    # Beginnings

    def require_acceptor(self) -> DurableAcceptor:
        """The acceptor here. NoVoterError: this process is no voter."""
        if self.acceptor is None:
            raise NoVoterError
        return self.acceptor

    def become_voter(self) -> None:
        """Be a voter, if this process is named as one and is none yet."""
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
        """Begin under the first policy, which is on disk."""
        async with self._lock:
            await acceptor.bootstrap(policy)

    # Learning

    async def recover_acceptor(self) -> None:
        """An acceptor that knows nothing asks all other voters what they know."""
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
        """Take up what other voters know, if they are a quorum and have the policies."""
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
        """Bring a decided epoch to the acceptor, once its policies are on disk.

        Parameters
        ----------
        state : EpochState
        source : str
            The address of a process that has the policies.

        Returns
        -------
        bool
            Whether that was news.

        Raises
        ------
        StoreError
            It could not be written.
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
            acceptor.reports.forget(state.new)  # of an earlier time that it was proposed
        self._on_decided(acceptor, state)
        return True

    async def learn(self, state: EpochState, source: str) -> None:
        """Bring an epoch to the leaseholder of this process."""
        await self._learn_as_leaseholder(state, source)

    async def learn_as_voter_and_leaseholder(self, state: EpochState, source: str) -> None:
        """Bring an epoch to the acceptor and to the leaseholder; a disk that fails is logged."""
        try:
            await self.acceptor_learns(state, source)
        except StoreError as error:
            self._log_event(LogEvent.VOTER_STORAGE_FAILED, error=str(error))
        await self.learn(state, source)

    async def catch_up(self) -> None:
        """Learn from the other voters whether there is a later epoch."""
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
        """A leaseholder requests a lease."""
        acceptor = self.require_acceptor()
        if call.request.state is not None:
            await self.acceptor_learns(call.request.state, call.address)
        async with self._lock:
            return ok(acceptor.grant_lease(call))

    async def on_prepare_call(self, call: messages.PrepareCall) -> Response:
        """A proposer asks for a promise."""
        acceptor = self.require_acceptor()
        async with self._lock:
            return ok(await acceptor.prepare(call.prepare))

    async def on_accept_call(self, call: messages.AcceptCall) -> Response:
        """A proposer asks for a vote; the policies of the epoch come first."""
        acceptor = self.require_acceptor()
        await self.replica.fetch_all(call.accept.state, call.source)
        async with self._lock:
            return ok(await acceptor.accept(call.accept))

    async def on_join(self, notice: messages.DecidedNotice) -> Response:
        """Be a voter of the next policy: learn all from the present ones before it is proposed."""
        for name in policies_named(notice.state):
            fetched = await self.replica.fetch(name, notice.source)
            if fetched.policy is not None:
                self.replica.known_addresses.update(fetched.policy.voters)
        self.replica.known_addresses.add(self.replica.own_address)
        self.become_voter()
        await self.recover_acceptor()
        if self.acceptor is None or self.acceptor.state is None:
            raise RejectedError("it does not hear a majority of the keepers")
        return Response(200, b"{}")

    def knowledge(self) -> Response:
        """What the acceptor knows, for one that knows nothing."""
        return ok(self.require_acceptor().knowledge())

    def _log_event(self, event: LogEvent, **fields: object) -> None:
        self.environment.data_plane.log_event(event, **fields)
