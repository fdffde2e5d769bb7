"""Handlers of requests that draft or propose resource changes, and the batches made of queued changes."""

from __future__ import annotations

import base64

from hollybay.resources.batch import Batch
from hollybay.resources.model import CHANGE_ID_BYTES, Change, Operation, Upsert
from hollybay.resources.state import ResourceState
from hollybay.resources.wire import encode_change
from hollybay.units import SECOND

from . import messages
from .change_builder import delete_operations, drain_operations, drained_servers, format_operations
from .coordinator import IDLE_INTERVAL_S, ChangeCoordinator
from .core import Stage
from .durable_acceptor import DurableAcceptor
from .environment import Environment
from .errors import RejectedError
from .http_status import ACCEPTED, CONFLICT
from .interfaces import Response
from .log_entry import Entry
from .log_events import LogEvent
from .log_replica import LogReplica
from .log_server import LogServer
from .policy import PolicyVersion, successor_policy
from .proposal_outcomes import Busy, OfferRejected, Queued
from .proposals import Proposals
from .replies import busy, ok
from .request_content import RequestContent
from .serviceability import Serviceability
from .store import StoreError
from .voter import Voter

__all__ = ["ChangeRequests"]

MAX_DRAFT_BYTES = 64 << 10  # longest encoded change in a reply; a longer one is fetched in chunks
MAX_LINES_BYTES = 128 << 10  # bytes of readable lines in a reply
JSON_LINE_OVERHEAD_BYTES = 4  # bytes of each line in JSON besides its characters


class ChangeRequests:
    """Handles drafts and proposals of resource changes at a voter, and proposes queued changes in batches."""

    def __init__(
        self,
        environment: Environment,
        replica: LogReplica,
        voter: Voter,
        serviceability: Serviceability,
        coordinator: ChangeCoordinator,
        proposals: Proposals,
        content: RequestContent,
        log_server: LogServer,
    ) -> None:
        self.environment = environment
        self.replica = replica
        self.voter = voter
        self.serviceability = serviceability
        self.coordinator = coordinator
        self.proposals = proposals
        self.content = content
        self.log_server = log_server

    # Drafts

    async def on_draft(self, call: messages.DraftCall) -> Response:
        """Build the requested change against the resources in force, without proposing it."""
        acceptor = self.voter.require_acceptor()
        if acceptor.state is None:
            raise RejectedError("this keeper knows nothing yet; `hollybay policy found` begins an accord")
        await self.voter.catch_up()
        base = self.replica.base(acceptor.state.decided)
        state = base.state
        assert state is not None
        operations = await self._draft_operations(call, base, state)
        policy = base.policy.name
        if not operations:
            return ok(messages.DraftReply(policy, "", 0))
        change_id = self.environment.rng.randbytes(CHANGE_ID_BYTES)
        change = Change(change_id, state.revision, call.reason, call.author, operations)
        state.check(change)
        lines = format_operations(state, operations)
        data = encode_change(change)
        if len(data) <= MAX_DRAFT_BYTES:
            text = base64.b64encode(data).decode()
            return ok(messages.DraftReply(policy, text, len(operations), _truncated(lines)))
        draft = change.id.hex()
        self.log_server.cache(f"draft/{draft}", draft, data)
        return ok(messages.DraftReply(policy, "", len(operations), _truncated(lines), draft))

    async def _draft_operations(
        self, call: messages.DraftCall, base: Entry, state: ResourceState
    ) -> tuple[Operation, ...]:
        """The operations that a request for a draft asks for."""
        operations: tuple[Operation, ...] = ()
        if call.like_policy:
            operations = await self.content.operations_to_match(state, call.like_policy)
        elif call.file is not None or call.upload:
            operations = await self._file_operations(call, base, state)
        operations += delete_operations(state, call.delete)
        if call.servers_out or call.servers_in:
            drained = (set(drained_servers(state)) | set(call.servers_out)) - set(call.servers_in)
            operations += drain_operations(state, drained)
        return operations

    async def _file_operations(
        self, call: messages.DraftCall, base: Entry, state: ResourceState
    ) -> tuple[Operation, ...]:
        read = await self.content.read_file(call.file or "", call.upload, state)
        if read.voters is not None and set(read.voters) != set(base.policy.voters):
            raise RejectedError("keepers: the file's [accord] names other voters; change them with --keeper")
        if not call.partial:
            return read.operations
        return tuple(operation for operation in read.operations if isinstance(operation, Upsert))

    # Proposals

    async def on_change(self, call: messages.ChangeCall) -> Response:
        """Queue a proposed change of resources for the next batch."""
        acceptor = self.voter.require_acceptor()
        if acceptor.state is None:
            return busy("this keeper knows nothing yet", IDLE_INTERVAL_S)
        if self.proposals.is_storage_full:
            raise StoreError("a log entry could not be stored on disk a moment ago")
        change = await self.content.change(call.change, call.upload)
        state = self._decided_resources(acceptor)
        if change.base_revision > state.revision:
            await self.voter.catch_up()
            state = self._decided_resources(acceptor)
            if change.base_revision > state.revision:
                return busy(
                    f"made on {change.base_revision}, and this keeper knows of {state.revision}",
                    IDLE_INTERVAL_S,
                )
        return self._offer(change, call.upload, state, acceptor)

    def _offer(
        self, change: Change, upload: str, state: ResourceState, acceptor: DurableAcceptor
    ) -> Response:
        """Offer a change to the queue and reply with the result."""
        offered = self.proposals.offer(change, state)
        self.content.uploads.discard(upload)
        change_id = change.id.hex()
        if isinstance(offered, Busy):
            return busy("the proposal queue is full or its wait too long", offered.retry_after_ns / SECOND)
        if isinstance(offered, OfferRejected):
            problems = list(offered.problems)
            reply = messages.ChangeReply(change_id, messages.ChangeOutcome.REJECTED, problems=problems)
            return ok(reply, CONFLICT)
        if isinstance(offered, Queued):
            self.environment.data_plane.log_event(
                LogEvent.QUEUED, change=change_id, reason=change.reason, author=change.author
            )
            self.coordinator.wake()
        return ok(self.proposals.change_status(change_id, acceptor), ACCEPTED)

    def _decided_resources(self, acceptor: DurableAcceptor) -> ResourceState:
        """The resources of the latest decided policy that this voter knows."""
        assert acceptor.state is not None
        state = self.replica.base(acceptor.state.decided).state
        assert state is not None
        return state

    # Batches

    async def propose_next(self) -> bool:
        """Propose the next policy from the queued changes, if the group is settled.

        Returns
        -------
        bool
            Whether a batch was formed, even if it was then rejected or superseded.

        Raises
        ------
        StoreError
            The entry could not be stored on disk.
        """
        acceptor = self.voter.acceptor
        if acceptor is None or acceptor.state is None or self.proposals.has_active_batch:
            return False
        decided = acceptor.state.decided
        base = self.replica.log.entry(decided.policy)
        if decided.stage is not Stage.SETTLED or base is None or base.state is None:
            return False
        batch = self.proposals.next_batch(base.state)
        if batch is None:
            return False
        policy, _ = successor_policy(base.policy, base.state, batch.changes)
        entry = await self._store(policy)
        if not await self._is_serviceable(entry, batch):
            return True
        if acceptor.state.decided != decided or self.coordinator.pending is not None:
            self.proposals.batch_superseded(batch, acceptor.state.decided.policy)
            return True
        self._begin(entry.policy, decided.epoch + 1, batch)
        return True

    async def _store(self, policy: PolicyVersion) -> Entry:
        """Store the next policy on disk. StoreError: it could not be written."""
        try:
            return await self.replica.store(policy)
        except StoreError:
            self.proposals.storage_failed()
            raise

    async def _is_serviceable(self, entry: Entry, batch: Batch) -> bool:
        """Whether the local node can serve an entry; rejects the batch if it cannot."""
        reasons = await self.serviceability.prepare(entry)
        if not reasons:
            return True
        name = entry.policy.name
        unserviceable = self.serviceability.unserviceable[name]
        # The mark is not needed: a later batch is another policy, or one that the node can serve by then.
        self.serviceability.clear(name)
        self.proposals.reject_batch(batch, unserviceable.culprits, reasons)
        return False

    def _begin(self, policy: PolicyVersion, epoch: int, batch: Batch) -> None:
        """Have the coordinator propose a policy in this epoch."""
        self.coordinator.begin(policy, epoch)
        self.proposals.batch_proposed(policy.name, batch)
        self.environment.data_plane.log_event(
            LogEvent.PROPOSED, change=policy.name, reason=policy.reason, author=policy.author
        )


def _truncated(lines: list[str]) -> list[str]:
    """Truncate readable lines to MAX_LINES_BYTES."""
    left = MAX_LINES_BYTES
    for index, line in enumerate(lines):
        left -= len(line) + JSON_LINE_OVERHEAD_BYTES
        if left < 0:
            return [*lines[:index], f"and {len(lines) - index} more lines"]
    return lines
