"""A member of the replicated configuration log: connects the parts of one process and routes its requests.

The parts communicate with other processes only through a `Transport`, and with their node only through a
`DataPlane`, so the same code runs over sockets (`hollybay.proxy.consensus_member`) and on a virtual clock
(`hollybay.simulation.consensus_simulation`).

See Also
--------
hollybay.consensus.lease_client : renews the lease that requests are served under
hollybay.consensus.voter : votes for epochs and grants leases
hollybay.consensus.coordinator : takes a change through its epochs
"""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from . import messages
from .background_tasks import BackgroundTasks
from .bootstrap import Bootstrap
from .change_requests import ChangeRequests
from .coordinator import ChangeCoordinator
from .core import EpochState, Stage
from .durable_acceptor import Disk, DurableAcceptor
from .durable_file import no_step
from .environment import Environment
from .http_status import NOT_FOUND, OK
from .interfaces import DataPlane, MemberSettings, Response
from .lease_client import LeaseClient
from .log import PolicyLog
from .log_events import LogEvent
from .log_fetch import Fetcher
from .log_replica import LogReplica
from .log_server import LogServer
from .long_requests import LongRequests
from .outgoing_requests import PeerClient
from .policy_requests import PolicyRequests
from .proposals import Proposals
from .queries import Queries
from .replies import rejected, respond
from .request_content import RequestContent
from .requests import Transport
from .status import node_status, voter_status
from .store import StoreError
from .transfer import Uploads
from .voter import Voter

__all__ = ["Service"]

PROCESS_NUMBER_BITS = 48

_Handler = Callable[[Any], Coroutine[Any, Any, Response]]


@dataclass(frozen=True, slots=True)
class _Route:
    """The handler of a POST request.

    Attributes
    ----------
    message : type
        The type of the message in the body.
    handler : callable
    is_long : bool
        Whether the request may take longer than a client waits.
    voter_only : bool
        Whether a process that is not a voter rejects the request before it decodes the body.
    """

    message: type
    handler: _Handler
    is_long: bool = False
    voter_only: bool = False


class Service:
    """A member of the replicated configuration log.

    Parameters
    ----------
    settings : MemberSettings
    transport : Transport
        Sends requests to other processes.
    data_plane : DataPlane
        The node at which policies are put in force.
    clock, wall_clock, disk, rng, boot_id, before_disk_step, may_vote_here
        See `Environment`.
    """

    def __init__(
        self,
        settings: MemberSettings,
        transport: Transport,
        data_plane: DataPlane,
        clock: Callable[[], int],
        wall_clock: Callable[[], int],
        disk: Disk,
        rng: random.Random,
        boot_id: str,
        before_disk_step: Callable[[str], None] = no_step,
        may_vote_here: Callable[[], bool] = lambda: True,
    ) -> None:
        self.environment = Environment(
            settings, data_plane, clock, wall_clock, disk, rng, boot_id, before_disk_step, may_vote_here
        )
        self.settings = settings
        self.clock = clock
        self.process = rng.getrandbits(PROCESS_NUMBER_BITS)
        self.requests_in = 0
        self.tasks = BackgroundTasks(
            lambda error: data_plane.log_event(LogEvent.TASK_FAILED, error=repr(error))
        )
        self.peers = PeerClient(settings.address, transport, self.answer)
        self.log = PolicyLog(self.environment.folder / "policies", before_disk_step)
        self.log_server = LogServer(self.log, disk)
        self.proposals = Proposals(self.log, clock)
        self.uploads = Uploads()
        self.long_requests = LongRequests(self.tasks)
        self._create_roles()
        self._create_handlers()

    def _create_roles(self) -> None:
        """Create the protocol roles of this process."""
        environment = self.environment
        fetcher = Fetcher(
            self.log,
            lambda address, path: self.peers.call(address, path, None),
            environment.disk,
            self.tasks.spawn,
        )
        self.replica = LogReplica(
            environment, self.log, fetcher, lambda: self.lease_client.leaseholder.latest_epoch
        )
        self.lease_client = LeaseClient(
            environment, self.process, self.replica, self.peers, self.tasks, self._on_learned
        )
        self.voter = Voter(environment, self.replica, self.peers, self.lease_client.learn, self._on_decided)
        self.coordinator = ChangeCoordinator(
            self.voter,
            self.replica,
            environment,
            self.process,
            self.proposals,
            self.peers,
            lambda: self.change_requests.propose_next(),
            self.tasks.spawn,
        )

    def _create_handlers(self) -> None:
        """Create the request handlers of this process."""
        environment, replica, voter = self.environment, self.replica, self.voter
        serviceability = self.lease_client.serviceability
        content = RequestContent(environment, replica, self.uploads)
        self.bootstrap = Bootstrap(environment, replica, self.peers, voter, serviceability, content)
        self.policy_requests = PolicyRequests(
            environment,
            replica,
            self.peers,
            self.tasks,
            voter,
            serviceability,
            self.coordinator,
            content,
        )
        self.change_requests = ChangeRequests(
            environment,
            replica,
            voter,
            serviceability,
            self.coordinator,
            self.proposals,
            content,
            self.log_server,
        )
        self.queries = Queries(environment, replica, voter, self.proposals, self.log_server, self.status)
        self._routes = self._build_routes()

    def _build_routes(self) -> dict[str, _Route]:
        """The handlers of POST requests, by path."""
        voter = self.voter
        return {
            "know": _Route(messages.DecidedNotice, self._on_decided_notice),
            "propose": _Route(messages.ProposeCall, self.policy_requests.on_propose),
            "change": _Route(messages.ChangeCall, self.change_requests.on_change),
            "draft": _Route(messages.DraftCall, self.change_requests.on_draft, is_long=True),
            "upload": _Route(messages.UploadCall, self._on_upload),
            "drop": _Route(messages.DropCall, self.policy_requests.on_drop),
            "found": _Route(messages.BootstrapCall, self.bootstrap.on_bootstrap, is_long=True),
            "join": _Route(messages.DecidedNotice, voter.on_join),
            "ask": _Route(messages.LeaseCall, voter.on_lease_call, voter_only=True),
            "prepare": _Route(messages.PrepareCall, voter.on_prepare_call, voter_only=True),
            "accept": _Route(messages.AcceptCall, voter.on_accept_call, voter_only=True),
        }

    # Start and shutdown

    async def start(self) -> None:
        """Restore the state on disk, and begin to request leases.

        If the log or a record cannot be read, an event is logged and the process continues without it.
        """
        data_plane = self.environment.data_plane
        try:
            await self.environment.disk(self.log.open)
        except StoreError as error:
            data_plane.log_event(LogEvent.LOG_NOT_OPENED, error=str(error))
        for file, reason in self.log.quarantined.items():
            data_plane.log_event(LogEvent.QUARANTINED, file=file, reason=reason)
        self.voter.log_is_open = True
        self.lease_client.restore()
        self.voter.become_voter()
        self.lease_client.apply()
        self.tasks.spawn(self.lease_client.run())
        self.tasks.spawn(self.coordinator.run())

    def close(self) -> None:
        """Cancel all background tasks."""
        self.tasks.cancel_all()

    # Policies in force

    @property
    def policies_in_force(self) -> tuple[str, ...]:
        """The policies that were last put in force at the node."""
        return self.lease_client.policies_in_force

    @property
    def acceptor(self) -> DurableAcceptor | None:
        """The acceptor of this process; None if it is not a voter."""
        return self.voter.acceptor

    def may_begin_request(self) -> bool:
        """Whether a request may begin now; if so, the policies that apply to it are in force at the node."""
        return self.lease_client.may_begin_request()

    # Requests

    async def answer(self, path: str, body: bytes | None) -> Response:
        """Handle a request of an operator or of another process.

        Parameters
        ----------
        path : str
            The path below /-/policy/.
        body : bytes or None
            None for GET.
        """
        self.requests_in += 1
        return await respond(path, self._answer(path, body))

    async def _answer(self, path: str, body: bytes | None) -> Response:
        if body is None:
            return await self.queries.answer(path)
        route = self._routes.get(path)
        if route is None:
            return rejected(NOT_FOUND, "no such call")
        if route.voter_only:
            self.voter.require_acceptor()
        message: Any = messages.decode(body, route.message)
        if route.is_long:
            return await self.long_requests.answer(body, lambda: route.handler(message))
        return await route.handler(message)

    async def _on_decided_notice(self, notice: messages.DecidedNotice) -> Response:
        """Learn of a decided epoch in the background, as fetching its policies may take long."""
        self.tasks.spawn(self.voter.learn_as_voter_and_leaseholder(notice.state, notice.source))
        return Response(OK, b"{}")

    async def _on_upload(self, call: messages.UploadCall) -> Response:
        """Take one chunk of an upload."""
        self.uploads.add(call, self.clock())
        return Response(OK, b"{}")

    # Epochs

    def _on_learned(self, state: EpochState) -> None:
        """Called when the leaseholder has learned of a later epoch, whose policies are on disk."""
        self.voter.become_voter()
        if state.stage is Stage.SETTLED and self.voter.acceptor is None:
            self.tasks.spawn(self._prune(state))

    def _on_decided(self, acceptor: DurableAcceptor, state: EpochState) -> None:
        """Called when the acceptor has learned that a later epoch is decided."""
        if state.stage is Stage.SETTLED:
            dropped = self.coordinator.clear_dropped()
            self.tasks.spawn(self._prune(state))
            self.proposals.epoch_settled(acceptor, state, dropped)
        else:
            self.proposals.epoch_begun(state)
        acceptor.last_coordinated = self.clock()
        self.coordinator.wake()

    def _prune(self, state: EpochState) -> Coroutine[Any, Any, None]:
        """Remove log entries that neither this epoch nor the node needs."""
        return self.replica.prune({state.policy, *self.policies_in_force})

    # Status

    def status(self) -> dict[str, object]:
        """The status of this process, for operators and `hollybay policy`."""
        now = self.clock()
        holder = self.lease_client.leaseholder
        unserviceable = self.lease_client.serviceability.unserviceable
        found = node_status(
            self.settings,
            holder,
            now,
            process=self.process,
            voters=self.replica.voter_addresses(holder.latest_epoch),
            unserviceable={name: why.reasons for name, why in unserviceable.items()},
            failed_fetches=self.replica.fetcher.failures,
            requests_in=self.requests_in,
            requests_out=self.peers.calls,
        )
        progress = self.coordinator.progress()
        return found | voter_status(self.acceptor, self.log, progress, self.settings.grace_ns, now)
