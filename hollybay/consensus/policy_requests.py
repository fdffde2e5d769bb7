"""Handlers of requests that propose a policy as a whole (a file, voters, an earlier state) or drop one."""

from __future__ import annotations

import asyncio

from hollybay.resources.model import Operation
from hollybay.resources.state import ResourceState

from . import messages
from .announcer import announcement
from .background_tasks import BackgroundTasks
from .change_builder import drain_operations, proposed_change
from .coordinator import ChangeCoordinator
from .core import EpochState, Stage
from .durable_acceptor import DurableAcceptor
from .environment import Environment
from .errors import RejectedError
from .http_status import ACCEPTED, UNPROCESSABLE
from .interfaces import OperatorFileChanges, Response
from .log_entry import Entry
from .log_events import LogEvent
from .log_replica import LogReplica
from .outgoing_requests import PeerClient
from .policy import PolicyVersion, successor_policy
from .reasons import texts_of
from .replies import ok, rejected
from .request_content import RequestContent
from .requests import CallFailedError
from .serviceability import Serviceability
from .voter import Voter

__all__ = ["PolicyRequests"]


class PolicyRequests:
    """Handles these requests at a voter."""

    def __init__(
        self,
        environment: Environment,
        replica: LogReplica,
        peers: PeerClient,
        tasks: BackgroundTasks,
        voter: Voter,
        serviceability: Serviceability,
        coordinator: ChangeCoordinator,
        content: RequestContent,
    ) -> None:
        self.environment = environment
        self.replica = replica
        self.peers = peers
        self.tasks = tasks
        self.voter = voter
        self.serviceability = serviceability
        self.coordinator = coordinator
        self.content = content

    # Proposals

    async def on_propose(self, call: messages.ProposeCall) -> Response:
        """Propose the next policy if this node can serve it; the voters then coordinate the change."""
        acceptor = self.voter.require_acceptor()
        if acceptor.state is None:
            raise RejectedError("this keeper knows nothing yet; `hollybay policy found` begins an accord")
        await self.voter.catch_up()
        state = acceptor.state.decided
        base = self.replica.base(state)
        policy = await self._next_policy(call, base)
        if state.stage is not Stage.SETTLED:
            if state.new == policy.name:  # a repeated request: the operator does not know the outcome
                return ok(messages.ProposeReply(policy.name, state.epoch), ACCEPTED)
            raise RejectedError(f"{state.new} is under way; wait for its end, or use `hollybay policy drop`")
        other = self.coordinator.other_pending(policy.name)
        if other:
            raise RejectedError(f"another proposal is pending: {other}")
        await self._add_voters(acceptor, state, base.policy, policy)
        reasons = await self.serviceability.prepare(await self.replica.store(policy))
        if reasons:
            return rejected(UNPROCESSABLE, f"{policy.name} does not hold here", texts_of(reasons))
        if acceptor.state.decided != state or self.coordinator.other_pending(policy.name):
            raise RejectedError("another change came first")
        self._begin(policy, state.epoch + 1)
        return ok(messages.ProposeReply(policy.name, state.epoch + 1), ACCEPTED)

    def _begin(self, policy: PolicyVersion, epoch: int) -> None:
        self.coordinator.begin(policy, epoch)
        self.coordinator.rejected.pop(policy.name, None)
        self.environment.data_plane.log_event(
            LogEvent.PROPOSED, change=policy.name, reason=policy.reason, author=policy.author
        )
        self.coordinator.wake()

    async def _next_policy(self, call: messages.ProposeCall, base: Entry) -> PolicyVersion:
        """The policy that a request proposes, based on the one in force."""
        old, resources = base.policy, base.state
        assert resources is not None
        parent = bytes.fromhex(call.parent)
        if parent != old.digest:
            raise RejectedError(f"parent: made on {parent.hex()[:12] or 'nothing'}, in force is {old.name}")
        requested = await self._requested(call, resources)
        voters = _voters(call.voters, requested.voters)
        change = proposed_change(resources, requested.operations, call.reason, call.author, parent)
        changes = (change,) if requested.operations else ()
        policy, _ = successor_policy(old, resources, changes, voters, call.reason, call.author)
        return policy

    async def _requested(self, call: messages.ProposeCall, state: ResourceState) -> OperatorFileChanges:
        """The operations that a request asks for, and the voters that its file names."""
        operations: tuple[Operation, ...] = ()
        voters = None
        if call.like_policy:
            operations = await self.content.operations_to_match(state, call.like_policy)
        elif call.file is not None or call.upload:
            read = await self.content.read_file(call.file or "", call.upload, state)
            operations, voters = read.operations, read.voters
        if call.servers_out is not None:
            operations += drain_operations(state, call.servers_out)
        return OperatorFileChanges(operations, voters)

    async def _add_voters(
        self, acceptor: DurableAcceptor, state: EpochState, old: PolicyVersion, new: PolicyVersion
    ) -> None:
        """Have each new voter join and catch up before the policy that names it is proposed."""
        added = [address for address in new.voters if address not in old.voters]
        member_addresses = {member.address for member in acceptor.reports.members.values()}
        missing = [address for address in added if address not in member_addresses]
        if missing:
            raise RejectedError(f"keepers: {', '.join(missing)}: no node there requests leases of this voter")
        for address in added:
            try:
                await self.peers.call(address, "join", announcement(state, self.replica.own_address))
            except CallFailedError as error:
                raise RejectedError(f"keepers: {address}: {error}") from None

    # Drops

    async def on_drop(self, call: messages.DropCall) -> Response:
        """Drop a change, unless it is decided already."""
        acceptor = self.voter.require_acceptor()
        if acceptor.state is None:
            raise RejectedError("this keeper knows nothing yet")
        # A pending change still begins and is dropped afterwards, so that all voters learn its outcome.
        is_pending = self.coordinator.is_pending(call.change)
        state = acceptor.state.decided
        if state.new != call.change and not is_pending and not call.forwarded:
            raise RejectedError(f"{call.change or 'nothing'} is not under way; {state.policy} is in force")
        self.coordinator.dropping.add(call.change)
        if not call.forwarded:
            self.tasks.spawn(self._forward_drop(call.change, state))
        self.coordinator.wake()
        return Response(ACCEPTED, b"{}")

    async def _forward_drop(self, change: str, state: EpochState) -> None:
        """Forward a drop to the other voters; the one that coordinates the change carries it out.

        If one of them, possibly the coordinator, cannot be reached, this process takes over. Otherwise it
        does not: voters that coordinate at the same time supersede each other's ballots.
        """
        body = messages.encode(messages.DropCall(change, True))
        reached = await asyncio.gather(
            *(self.peers.reaches(address, "drop", body) for address in self.replica.other_voters(state))
        )
        if not all(reached) and change in self.coordinator.dropping:
            self.coordinator.take_over(change)


def _voters(requested: list[str] | None, voters_in_file: list[str] | None) -> list[str] | None:
    """The voters that a request names, directly or in its file; None to keep the present ones."""
    if requested is not None and voters_in_file is not None and set(requested) != set(voters_in_file):
        raise RejectedError("keepers: the file's [accord] names other voters than the request")
    return requested if requested is not None else voters_in_file
