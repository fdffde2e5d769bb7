"""Bootstrap of a consensus group: an operator gives the first policy to one voter, which distributes it."""

from __future__ import annotations

import asyncio

from hollybay.resources.state import EMPTY

from . import messages
from .change_builder import bootstrap_change
from .core import EpochState, Stage
from .durable_acceptor import DurableAcceptor
from .environment import Environment
from .errors import RejectedError
from .interfaces import Response
from .log_events import LogEvent
from .log_replica import LogReplica
from .outgoing_requests import CALL_LIMIT_S, PeerClient
from .policy import PolicyVersion, first_policy
from .reasons import texts_of
from .replies import ok
from .request_content import RequestContent
from .serviceability import Serviceability
from .store import StoreError
from .voter import Voter

__all__ = ["Bootstrap"]

# Attempts to send the first policy to each voter.
BOOTSTRAP_ATTEMPTS = 4
# Seconds for a voter to bootstrap if the first policy is too long for a request and must be fetched.
LONG_POLICY_LIMIT_S = 5.0


class Bootstrap:
    """Handles bootstrap requests."""

    def __init__(
        self,
        environment: Environment,
        replica: LogReplica,
        peers: PeerClient,
        voter: Voter,
        serviceability: Serviceability,
        content: RequestContent,
    ) -> None:
        self.environment = environment
        self.settings = environment.settings
        self.replica = replica
        self.peers = peers
        self.voter = voter
        self.serviceability = serviceability
        self.content = content

    async def on_bootstrap(self, call: messages.BootstrapCall) -> Response:
        """Bootstrap from an operator's file, or from the first policy of another voter."""
        acceptor = self.voter.require_acceptor()
        if call.policy:
            return await self._bootstrap_from_voter(acceptor, call)
        return await self._bootstrap_from_file(acceptor, call)

    # Requests of operators

    async def _bootstrap_from_file(self, acceptor: DurableAcceptor, call: messages.BootstrapCall) -> Response:
        """Make the first policy from an operator file, and distribute it to the other voters."""
        addresses = sorted(self.settings.voters)
        others = [address for address in addresses if address != self.settings.address]
        await self._check_not_bootstrapped(acceptor, others)
        read = await self.content.read_file(call.file, call.upload, EMPTY)
        changes = (bootstrap_change(read.operations),) if read.operations else ()
        policy = first_policy(changes, addresses)
        reasons = await self.serviceability.prepare(await self.replica.store(policy))
        if reasons:
            raise RejectedError("file: " + "; ".join(texts_of(reasons)))
        await self.voter.bootstrap(acceptor, policy)
        reached = await self._distribute(policy, others)
        self.content.uploads.discard(call.upload)
        self.environment.data_plane.log_event(LogEvent.BOOTSTRAPPED, policy=policy.name, keepers=addresses)
        return ok({"policy": policy.name, "keepers": [self.settings.address, *reached]})

    async def _check_not_bootstrapped(self, acceptor: DurableAcceptor, others: list[str]) -> None:
        """Check that the group may be bootstrapped.

        A bootstrap by this voter may be repeated as long as no ballot has followed it, so that one that did
        not reach all voters can be completed.

        Raises
        ------
        RejectedError
            Another voter is bootstrapped and its state differs, a ballot has begun, or a voter did not reply.
        """
        replies = dict(await self.peers.all_answers(others, "tell", None, messages.KnowledgeReply))
        own = acceptor.knowledge()
        bootstrapped = [
            address
            for address, reply in replies.items()
            if reply.bootstrapped and (reply.has_promised or reply.decided != own.decided)
        ]
        if bootstrapped or own.has_promised or (own.decided is not None and own.decided.epoch):
            where = ", ".join(bootstrapped) or self.settings.address
            raise RejectedError(f"founded already at {where}; a voter without state recovers from the others")
        if len(replies) < len(others):
            unanswered = ", ".join(address for address in others if address not in replies)
            raise RejectedError(
                f"keepers: no reply from {unanswered}; bootstrap needs a reply from every voter"
            )

    async def _distribute(self, policy: PolicyVersion, others: list[str]) -> list[str]:
        """Send the first policy to the other voters; returns those that have taken it.

        A voter that was not reached recovers from the others later, and has no vote on the first change.
        """
        entry = messages.policy_to_text(policy)
        is_short = len(entry) <= messages.CHUNK_BYTES
        call = messages.BootstrapCall(
            policy=policy.name, entry=entry if is_short else "", source=self.settings.address
        )
        body = messages.encode(call)
        limit = CALL_LIMIT_S if is_short else LONG_POLICY_LIMIT_S
        missing = others
        for _ in range(BOOTSTRAP_ATTEMPTS):
            reached = await asyncio.gather(
                *(self.peers.reaches(address, "found", body, limit) for address in missing)
            )
            missing = [address for address, answered in zip(missing, reached, strict=True) if not answered]
        return [address for address in others if address not in missing]

    # Requests of other voters

    async def _bootstrap_from_voter(
        self, acceptor: DurableAcceptor, call: messages.BootstrapCall
    ) -> Response:
        """Take the first policy of another voter."""
        known = acceptor.state
        if known is not None and known.decided != EpochState(0, Stage.SETTLED, call.policy):
            raise RejectedError(f"founded already: epoch {known.decided.epoch}, {known.decided.policy}")
        own_voters = ", ".join(self.settings.voters)
        if call.source is None or call.source not in self.settings.voters:
            raise RejectedError(f"keepers: expected one of {own_voters}, got {call.source}")
        policy = await self._obtain_first_policy(call, call.source)
        if self.settings.address not in policy.voters or set(policy.voters) != set(self.settings.voters):
            raise RejectedError(f"keepers: expected {own_voters}, got {', '.join(policy.voters)}")
        await self.voter.bootstrap(acceptor, policy)
        return ok({"policy": policy.name})

    async def _obtain_first_policy(self, call: messages.BootstrapCall, source: str) -> PolicyVersion:
        """Store the first policy, from the request or fetched from its sender, and return it."""
        if call.entry:
            await self.replica.store(messages.policy_from_text(call.entry, call.policy))
        fetched = await self.replica.fetcher.fetch(call.policy, [source])
        if fetched.problem is not None:
            raise StoreError(str(fetched.problem))
        if fetched.policy is None:
            reason = self.replica.fetcher.failures.get(source)
            raise RejectedError(f"policy: {call.policy} could not be fetched from {source}: {reason}")
        return fetched.policy
