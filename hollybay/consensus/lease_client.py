"""The lease client of this process: renews its lease, and applies the policies in force to its node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from hollybay.units import SECOND

from . import messages
from .background_tasks import BackgroundTasks
from .core import Decided, EpochState, LeaseGrant, LeaseRequest, Stage, has_quorum, policies_named
from .environment import Environment
from .errors import RejectedError
from .grace_store import GraceRecord, GraceStore
from .leaseholder import Leaseholder
from .log_events import LogEvent
from .log_replica import LogReplica, voter_set
from .messages import stage_label, voter_number
from .outgoing_requests import CALL_LIMIT_S, PeerClient
from .reasons import PrunedSinceFetch, texts_of
from .requests import CallFailedError
from .serviceability import Serviceability, Unserviceable, bounded_reasons
from .store import StoreError
from .waiting import wait_at_most

__all__ = ["LeaseClient"]

# Renewal periods per lease duration; each period is shortened by a random factor.
PERIODS_PER_LEASE = 2
RENEWAL_JITTER = (0.85, 1.0)
# Rounds per renewal period while no quorum has granted; the interval is also shortened by a random factor.
RETRIES_PER_PERIOD = 5
RETRY_JITTER = (0.5, 1.0)
MIN_ROUND_INTERVAL_S = 0.02
REQUESTS_PER_LEASE = 3  # the time limit of a request is the lease duration divided by this


class LeaseClient:
    """Requests leases from the voters for one process, and puts policies in force at its node.

    Parameters
    ----------
    environment : Environment
    process : int
        The number of this process.
    replica : LogReplica
    peers : PeerClient
    tasks : BackgroundTasks
    on_learned : callable
        Called with a later epoch once this process has its policies.
    """

    def __init__(
        self,
        environment: Environment,
        process: int,
        replica: LogReplica,
        peers: PeerClient,
        tasks: BackgroundTasks,
        on_learned: Callable[[EpochState], None],
    ) -> None:
        self.environment = environment
        self.settings = environment.settings
        self.data_plane = environment.data_plane
        self.clock = environment.clock
        self.replica = replica
        self.peers = peers
        self.tasks = tasks
        self.leaseholder = Leaseholder(process)
        self.serviceability = Serviceability(
            environment.data_plane, replica, self._mark_unserviceable, self._clear_unserviceable
        )
        self.grace_store = GraceStore(environment, replica.log)
        self.policies_in_force: tuple[str, ...] = ()  # as last applied to the node
        self.valid_until = 0  # ns; until then requests may begin under these policies without another check
        self._epoch_learned = asyncio.Event()  # set when there is a later epoch to request a lease on
        self._learn_lock = asyncio.Lock()
        self._on_learned = on_learned

    # Policies in force

    def may_begin_request(self) -> bool:
        """Whether a request may begin now; if so, the policies that apply to it are in force at the node."""
        if self.clock() < self.valid_until:
            return True
        self.apply()
        return bool(self.policies_in_force)

    def apply(self) -> None:
        """Put the policies that the leaseholder serves under now in force at the node."""
        now = self.clock()
        holder = self.leaseholder
        policies = holder.policies_in_force(now)
        has_lease = now < holder.lease_end
        if policies != self.policies_in_force:
            policies = self._put_in_force(policies, has_lease)
        end = holder.lease_end if has_lease else holder.grace_end
        self.valid_until = end if policies else 0

    def _put_in_force(self, policies: tuple[str, ...], has_lease: bool) -> tuple[str, ...]:
        """Put policies in force at the node, or none if the log lacks one of them; returns those in force."""
        log = self.replica.log
        entries = tuple(entry for name in policies if (entry := log.entry(name)) is not None)
        if len(entries) < len(policies):
            policies = entries = ()
        self.policies_in_force = policies
        self.data_plane.apply_policies(entries)
        state = self.leaseholder.effective_epoch
        self.data_plane.log_event(
            LogEvent.IN_FORCE if policies else LogEvent.NOTHING_IN_FORCE,
            epoch=state.epoch if state is not None else -1,
            stage=stage_label(state.stage) if state is not None else "",
            policies=list(policies),
            late=bool(policies) and not has_lease,
        )
        return policies

    def _mark_unserviceable(self, name: str) -> None:
        names = self.leaseholder.unserviceable_policies | {name}
        self.leaseholder = self.leaseholder._replace(unserviceable_policies=names)

    def _clear_unserviceable(self, name: str) -> None:
        names = self.leaseholder.unserviceable_policies - {name}
        self.leaseholder = self.leaseholder._replace(unserviceable_policies=names)

    # Grace time across a restart

    def restore(self) -> None:
        """Resume the grace time of the previous process, if any; voters still wait for its end."""
        try:
            remembered = self.grace_store.read()
        except StoreError as error:
            self.data_plane.log_event(LogEvent.GRACE_STORE_FAILED, error=str(error))
            return
        if remembered is None:
            return
        for addresses in remembered.voter_sets:
            self.replica.known_addresses.update(addresses)
        if remembered.boot_id == self.environment.boot_id and self.clock() < remembered.grace_end:
            self.tasks.spawn(self._resume(remembered))

    async def _resume(self, remembered: GraceRecord) -> None:
        for name in policies_named(remembered.state):
            entry = self.replica.log.entry(name)
            if entry is None or entry.state is None or await self.serviceability.prepare(entry):
                return
        if self.leaseholder.effective_epoch is None:
            # The grace time of the previous process carries over; its lease does not.
            self.leaseholder = self.leaseholder._replace(
                effective_epoch=remembered.state, lease_end=0, grace_end=remembered.grace_end
            )
            self.apply()

    def save_grace(self) -> None:
        """Write to disk what the next process may serve under, if the record there is out of date."""
        record = self.grace_store.record(self.leaseholder)
        if record is not None:
            self.tasks.spawn(self.grace_store.write(record))

    # Renewal

    async def run(self) -> None:
        """Request leases in rounds until cancelled."""
        while True:
            before = self.leaseholder.effective_epoch
            self._epoch_learned.clear()
            await self._round()
            now_effective = self.leaseholder.effective_epoch
            advanced = now_effective != before and now_effective is not None
            if advanced or self._epoch_learned.is_set():
                continue  # without delay: the next request lets voters release the lease on the earlier epoch
            elapsed = (self.clock() - self.leaseholder.requested_at) / SECOND
            await wait_at_most(self._epoch_learned, max(MIN_ROUND_INTERVAL_S, self._interval() - elapsed))

    def _interval(self) -> float:
        """The time between the beginnings of two rounds, seconds."""
        period = self.settings.lease_ns / SECOND / PERIODS_PER_LEASE
        holder = self.leaseholder
        granted = holder.effective_epoch is not None and has_quorum(holder.voter_sets, holder.grants)
        if granted or holder.latest_epoch is None:
            return period * self.environment.rng.uniform(*RENEWAL_JITTER)
        # Rounds are repeated faster, so that several of them fit into what remains of the lease.
        return period / RETRIES_PER_PERIOD * self.environment.rng.uniform(*RETRY_JITTER)

    async def _round(self) -> None:
        """Request a lease from all voters.

        The round ends when a quorum has granted it, all voters have replied, or a later epoch is known.
        """
        self.leaseholder, request = self.leaseholder.begin_round(self.clock())
        body = messages.encode(self._lease_call(request))
        limit = min(CALL_LIMIT_S, self.settings.lease_ns / SECOND / REQUESTS_PER_LEASE)
        calls = {
            self.tasks.spawn(self._request(address, body, limit))
            for address in self.replica.voter_addresses(request.state)
        }
        waiting: set[asyncio.Task[Any]] = set(calls)
        learned = asyncio.get_running_loop().create_task(self._epoch_learned.wait())
        try:
            while waiting and not learned.done():
                _, waiting = await asyncio.wait({*waiting, learned}, return_when=asyncio.FIRST_COMPLETED)
                waiting.discard(learned)
                holder = self.leaseholder
                if holder.effective_epoch == request.state and has_quorum(holder.voter_sets, holder.grants):
                    break
        finally:
            learned.cancel()

    def _lease_call(self, request: LeaseRequest) -> messages.LeaseCall:
        why = Unserviceable(())
        if request.state is not None and request.state.new:
            why = self.serviceability.unserviceable.get(request.state.new, why)
        return messages.LeaseCall(
            form=messages.MESSAGE_VERSION,
            request=request,
            name=self.settings.name,
            address=self.settings.address,
            lease=self.settings.lease_ns,
            grace=self.settings.grace_ns,
            reasons=texts_of(why.reasons),
            culprits={change: texts_of(reasons) for change, reasons in why.culprits.items()},
            cannot_serve_any=why.cannot_serve_any,
        )

    async def _request(self, address: str, body: bytes, limit: float) -> None:
        """Request a lease from one voter, and handle its reply."""
        try:
            reply = messages.decode(await self.peers.call(address, "ask", body, limit), messages.LeaseReply)
        except (CallFailedError, RejectedError):
            return
        if reply.grant is not None:
            self._handle_grant(reply.grant._replace(voter=voter_number(address)))
        elif reply.decided is not None:
            await self.learn(reply.decided, address)

    def _handle_grant(self, grant: LeaseGrant) -> None:
        before = self.leaseholder
        after = before.on_grant(grant, self.settings.lease_ns, self.settings.grace_ns)
        self.leaseholder = after
        if after.effective_epoch is not before.effective_epoch or after.lease_end != before.lease_end:
            self.apply()
            self.save_grace()

    # Later epochs

    async def learn(self, state: EpochState, source: str) -> None:
        """Learn of a later epoch: fetch its policies, prepare them, and request a lease on it.

        source: the address of a process that has the policies.
        """
        if self._is_known(state):
            return
        async with self._learn_lock:
            if self._is_known(state):
                return
            voter_sets = await self._prepare(state, source)
            if voter_sets is None:
                return  # the epoch will be announced again
            self.leaseholder = self.leaseholder.on_decided(Decided(state), voter_sets)
            self.data_plane.log_event(
                LogEvent.EPOCH_LEARNED,
                epoch=state.epoch,
                stage=stage_label(state.stage),
                policies=list(policies_named(state)),
            )
            self._on_learned(state)
        self._epoch_learned.set()

    def _is_known(self, state: EpochState) -> bool:
        latest = self.leaseholder.latest_epoch
        return latest is not None and state.epoch <= latest.epoch

    async def _prepare(self, state: EpochState, source: str) -> tuple[frozenset[int], ...] | None:
        """Fetch and prepare the policies of an epoch; returns their voter sets, or None if one is missing."""
        if state.stage is Stage.PREPARE and state.new in self.serviceability.unserviceable:
            # The cause may be gone: for example, a disk that was full may have space again.
            self.serviceability.clear(state.new)
        voter_sets: list[frozenset[int]] = []
        for name in policies_named(state):
            fetched = await self.replica.fetch(name, source)
            if fetched.policy is None:
                return None
            self.replica.known_addresses.update(fetched.policy.voters)
            voter_sets.append(voter_set(fetched.policy))
            entry = self.replica.log.entry(name)
            if entry is not None:
                await self.serviceability.prepare(entry)
            else:
                # The policy is not on this disk. The node cannot serve it now, but may be able to later.
                reasons = bounded_reasons([fetched.problem or PrunedSinceFetch()])
                self.serviceability.mark(name, Unserviceable(reasons, cannot_serve_any=True))
        return tuple(voter_sets)
