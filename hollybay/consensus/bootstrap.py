"""The beginning of a group: an operator gives the first policy to one voter, which passes it on."""

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

# Requests to each voter, until it answers.
BOOTSTRAP_ATTEMPTS = 4
# Seconds that a voter may take to fetch a first policy that is longer than a request, and to begin.
LONG_POLICY_LIMIT_S = 5.0


class Bootstrap:
    """Answers requests to begin."""

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
        """Begin, as an operator wants or another voter has begun."""
        acceptor = self.voter.require_acceptor()
        if call.policy:
            return await self._join(acceptor, call)
        return await self._begin(acceptor, call)

    # From an operator

    async def _begin(self, acceptor: DurableAcceptor, call: messages.BootstrapCall) -> Response:
        """Begin under a file, and pass the policy to the other voters."""
        addresses = sorted(self.settings.voters)
        others = [address for address in addresses if address != self.settings.address]
        await self._check_not_begun(acceptor, others)
        read = await self.content.read_file(call.file, call.upload, EMPTY)
        changes = (bootstrap_change(read.operations),) if read.operations else ()
        policy = first_policy(changes, addresses)
        reasons = await self.serviceability.prepare(await self.replica.store(policy))
        if reasons:
            raise RejectedError("file: " + "; ".join(texts_of(reasons)))
        await self.voter.bootstrap(acceptor, policy)
        reached = await self._pass_on(policy, others)
        self.content.uploads.discard(call.upload)
        self.environment.data_plane.log_event(LogEvent.BOOTSTRAPPED, policy=policy.name, keepers=addresses)
        return ok({"policy": policy.name, "keepers": [self.settings.address, *reached]})

    async def _check_not_begun(self, acceptor: DurableAcceptor, others: list[str]) -> None:
        """RejectedError: a voter has begun already, or does not answer.

        What this very voter began, and nobody has continued, may be brought to its end.
        """
        replies = dict(await self.peers.all_answers(others, "tell", None, messages.KnowledgeReply))
        own = acceptor.knowledge()
        begun = [
            address
            for address, reply in replies.items()
            if reply.bootstrapped and (reply.has_promised or reply.decided != own.decided)
        ]
        if begun or own.has_promised or (own.decided is not None and own.decided.epoch):
            where = ", ".join(begun) or self.settings.address
            raise RejectedError(f"founded already at {where}; a keeper learns from the others by itself")
        if len(replies) < len(others):
            unanswered = ", ".join(address for address in others if address not in replies)
            raise RejectedError(
                f"keepers: {unanswered} did not answer; all must be there when an accord begins"
            )

    async def _pass_on(self, policy: PolicyVersion, others: list[str]) -> list[str]:
        """Pass the first policy to the other voters; those that were reached.

        A voter that is not reached learns from the others, and has no vote on the first change.
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

    # From another voter

    async def _join(self, acceptor: DurableAcceptor, call: messages.BootstrapCall) -> Response:
        """Begin under the first policy of another voter."""
        known = acceptor.state
        if known is not None and known.decided != EpochState(0, Stage.SETTLED, call.policy):
            raise RejectedError(f"founded already: epoch {known.decided.epoch}, {known.decided.policy}")
        own_voters = ", ".join(self.settings.voters)
        if call.source is None or call.source not in self.settings.voters:
            raise RejectedError(f"keepers: {own_voters} here, not {call.source}")
        policy = await self._first_policy(call, call.source)
        if self.settings.address not in policy.voters or set(policy.voters) != set(self.settings.voters):
            raise RejectedError(f"keepers: {own_voters} here, not {', '.join(policy.voters)}")
        await self.voter.bootstrap(acceptor, policy)
        return ok({"policy": policy.name})

    async def _first_policy(self, call: messages.BootstrapCall, source: str) -> PolicyVersion:
        """The first policy, out of the request or from the voter that sent it; it is on disk."""
        if call.entry:
            await self.replica.store(messages.policy_from_text(call.entry, call.policy))
        fetched = await self.replica.fetcher.fetch(call.policy, [source])
        if fetched.problem is not None:
            raise StoreError(str(fetched.problem))
        if fetched.policy is None:
            reason = self.replica.fetcher.failures.get(source)
            raise RejectedError(f"policy: {call.policy} is not to be had: {reason}")
        return fetched.policy
