"""An acceptor with durable state: promises, votes and decided epochs are on disk before they are sent.

Messages are handled one at a time. For each, the next state and the reply are computed, the durable part of
the state is written, and only then is the state adopted and the reply returned. Clocks and disk are passed
in; the acceptor itself communicates with no other process.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

from hollybay.units import MS

from .acceptor import Acceptor, Lease
from .core import (
    NO_BALLOT,
    Accept,
    Accepted,
    Decided,
    EpochState,
    LeaseGrant,
    Prepare,
    Promise,
    Stage,
    policies_named,
)
from .errors import RejectedError
from .log import PolicyLog
from .member_reports import MemberReports
from .messages import (
    AcceptReply,
    BlockingLease,
    HistoryEntry,
    KnowledgeReply,
    LeaseCall,
    LeaseReply,
    PrepareReply,
)
from .persisted_acceptor import PersistedAcceptor
from .policy import PolicyVersion
from .reasons import Barred, MissingPolicies, Uninitialized
from .store import Store, StoreError

__all__ = ["Disk", "DurableAcceptor", "clock_margin"]

MAX_HISTORY = 200  # epochs kept in the history
# Margin for clock drift: the lease divided by this, plus a constant (ns).
CLOCK_DRIFT_DIVISOR = 20
CLOCK_MARGIN_NS = 50 * MS

Disk = Callable[[Callable[[], None]], Awaitable[None]]


def clock_margin(lease: int) -> int:
    """How much longer an acceptor treats a lease as valid than the leaseholder does, for clock drift, ns."""
    return lease // CLOCK_DRIFT_DIVISOR + CLOCK_MARGIN_NS


class DurableAcceptor:
    """An acceptor whose state survives a restart of the process.

    Parameters
    ----------
    number : int
        The number of the voter.
    store : Store
        Holds the durable part of the state.
    log : PolicyLog
    clock : callable
        The time in ns, on a clock that also advances while the process is stopped.
    wall_clock : callable
        The time of day in ms.
    longest_lease : int
        The longest lease that may be granted, with its grace time, ns.
    disk : Disk
        Runs functions that block on the disk.

    Attributes
    ----------
    state : Acceptor or None
        None until the acceptor has been bootstrapped, or has recovered from other voters.
    history : list of HistoryEntry
        The last epochs that it learned.
    reports : MemberReports
        What leaseholders have reported.
    storage_failure : str
        Why the state could not be read or written; empty if it could.
    last_coordinated : int
        When a proposer last sent a request here, this voter last ran a ballot, or an epoch was last
        decided, ns.
    """

    def __init__(
        self,
        number: int,
        store: Store,
        log: PolicyLog,
        clock: Callable[[], int],
        wall_clock: Callable[[], int],
        longest_lease: int,
        disk: Disk,
    ) -> None:
        self.number = number
        self.store = store
        self.log = log
        self.clock = clock
        self.wall_clock = wall_clock
        self.longest_lease = longest_lease
        self.disk = disk
        self.state: Acceptor | None = None
        self.history: list[HistoryEntry] = []
        self.reports = MemberReports()
        self.storage_failure = ""
        self.last_coordinated = 0

    # Persistence

    def open(self) -> None:
        """Restore the state that the previous process wrote.

        The state stays None if there is no record, if the record may not be the last one that was written,
        or if the log lacks a policy that it names. The acceptor must then recover from the other voters.

        Raises
        ------
        StoreError
            No record on the disk is intact, or a newer build wrote it.
        """
        data = self.store.open()
        if data is None or self.store.may_be_stale:
            return
        persisted = PersistedAcceptor.decode(data, str(self.store.folder))
        if any(self.log.policy(name) is None for name in policies_named(persisted.decided)):
            return  # the disk has lost part of the log and may have lost other records, too
        longest = max(self.longest_lease, persisted.longest_lease)
        acceptor = persisted.acceptor(self.number)
        self.state = acceptor.restarted(self.clock(), longest + clock_margin(longest))
        self.history = persisted.history

    async def _adopt(self, after: Acceptor) -> None:
        """Write a new state to disk, then adopt it. StoreError: the state is unchanged."""
        before = self.state
        history = self._history_with(after)
        if before is None or _is_durable_part_changed(before, after):
            await self._write(after, history)
        self.state = after
        self.history = history

    def _history_with(self, after: Acceptor) -> list[HistoryEntry]:
        """The history that goes with a new state."""
        if self.state is not None and after.decided == self.state.decided:
            return self.history
        entry = HistoryEntry(after.decided, self.wall_clock())
        earlier = [known for known in self.history if known.state.epoch < after.decided.epoch]
        return [*earlier, entry][-MAX_HISTORY:]

    async def _write(self, after: Acceptor, history: list[HistoryEntry]) -> None:
        data = PersistedAcceptor.of(after, self.longest_lease, history).encode()
        try:
            await self.disk(lambda: self.store.put(data))
        except StoreError as error:
            self.storage_failure = str(error)
            raise
        self.storage_failure = ""

    def has_policies(self, state: EpochState) -> bool:
        """Whether all policies that an epoch names are on disk."""
        return all(self.log.policy(name) is not None for name in policies_named(state))

    # Bootstrap and recovery

    async def bootstrap(self, policy: PolicyVersion) -> None:
        """Begin at epoch 0 with the first policy, which is on disk.

        Raises
        ------
        RejectedError
            The acceptor began with another policy, or is at a later epoch.
        StoreError
            The state could not be written to disk.
        """
        state = EpochState(0, Stage.SETTLED, policy.name)
        if self.state is not None:
            decided = self.state.decided
            if decided == state:
                return
            raise RejectedError(f"founded already: epoch {decided.epoch}, {decided.policy}")
        await self._adopt(Acceptor(self.number, state))

    async def recover(self, known: Iterable[tuple[EpochState, EpochState | None]]) -> None:
        """Recover the state from what a majority of the other voters know, unless there is a state already.

        known: for each of them, the decided epoch that it knows and the epoch that it has voted for.
        """
        if self.state is None:
            # Any lease that this voter granted before has ended after this time.
            longest = self.longest_lease + clock_margin(self.longest_lease)
            await self._adopt(Acceptor.recovered(self.number, self.clock(), longest, known))

    def knowledge(self) -> KnowledgeReply:
        """What this acceptor knows, for a voter that has no state."""
        if self.state is None:
            return KnowledgeReply(False)
        accepted = self.state.accepted
        return KnowledgeReply(
            True,
            self.state.promised != NO_BALLOT,
            self.state.decided,
            accepted[1] if accepted is not None else None,
        )

    # Handling messages

    async def learn_decided(self, state: EpochState) -> bool:
        """Learn that an epoch is decided; returns whether it was new. Its policies must be on disk."""
        if self.state is None or state.epoch <= self.state.decided.epoch or not self.has_policies(state):
            return False
        await self._adopt(self.state.on_decided(Decided(state)))
        return True

    def grant_lease(self, call: LeaseCall) -> LeaseReply:
        """Reply to a request for a lease. RejectedError: the lease exceeds `longest_lease`."""
        if self.state is None:
            return LeaseReply()
        length = call.lease + call.grace
        if length > self.longest_lease:
            raise RejectedError(f"lease: {length} ns, and {self.longest_lease} at most are granted here")
        now = self.clock()
        request = call.request
        self.reports.record(now, call)
        if request.state is not None and request.state.epoch > self.state.decided.epoch:
            return LeaseReply()  # leases are granted only on epochs whose policies are on this disk
        after, answer = self.state.grant_lease(
            now, request, call.lease + clock_margin(call.lease), call.grace
        )
        self.state = after  # not written: leases are not durable, see `Acceptor.no_vote_before`
        if isinstance(answer, LeaseGrant):
            return LeaseReply(grant=answer)
        return LeaseReply(decided=answer.state if answer is not None else None)

    async def prepare(self, message: Prepare) -> PrepareReply:
        """Reply to a proposer that requests a promise."""
        if self.state is None:
            return PrepareReply()
        self.last_coordinated = self.clock()
        after, answer = self.state.on_prepare(message)
        if isinstance(answer, Promise):
            await self._adopt(after)
            return PrepareReply(promise=answer, decided_epoch=after.decided.epoch)
        return PrepareReply(
            decided=answer.state if answer is not None else None,
            decided_epoch=after.decided.epoch,
            promised_number=after.promised[0],
        )

    async def accept(self, message: Accept) -> AcceptReply:
        """Reply to a proposer that requests a vote; the policies of the epoch must be on disk."""
        state = self.state
        if state is None:
            return AcceptReply(withheld_because=str(Uninitialized()))
        if not self.has_policies(message.state):
            reason = MissingPolicies(policies_named(message.state))
            return AcceptReply(decided_epoch=state.decided.epoch, withheld_because=str(reason))
        now = self.clock()
        self.last_coordinated = now
        after, answer = state.on_accept(now, message)
        if isinstance(answer, Accepted):
            await self._adopt(after)
            return AcceptReply(accepted=answer, decided_epoch=after.decided.epoch)
        is_barred = message.state.epoch <= state.last_barred_epoch
        return AcceptReply(
            decided=answer.state if answer is not None else None,
            decided_epoch=state.decided.epoch,
            promised_number=state.promised[0],
            blocking_leases=self.leases_blocking_vote(now, message.state),
            no_vote_for=max(0, state.no_vote_before - now),
            withheld_because=str(Barred(state.last_barred_epoch)) if is_barred else "",
        )

    # Leases as reported to proposers and operators

    def leases_blocking_vote(self, now: int, state: EpochState) -> list[BlockingLease]:
        """The leases that must end before this acceptor may vote for an epoch.

        For JOINT these include the leases of nodes that cannot serve the new policy.

        Parameters
        ----------
        now
            The time (ns).
        state
            The epoch.
        """
        if self.state is None:
            return []
        found = [self._blocking_lease(now, lease) for lease in self.state.blocking_leases(now, state)]
        if state.stage is Stage.JOINT:
            unable = set(self.state.nodes_unable_to_serve(now))
            found += [
                self._blocking_lease(now, lease._replace(grace_end=0), cannot_serve=True)
                for lease in self.state.leases
                if lease.node in unable
            ]
        return found

    def older_leases(self, now: int) -> list[BlockingLease]:
        """The leases on epochs before the decided one that are valid or in their grace time. now: ns."""
        if self.state is None:
            return []
        return [
            self._blocking_lease(now, lease)
            for lease in self.state.leases
            if lease.epoch < self.state.decided.epoch and max(lease.lease_end, lease.grace_end) > now
        ]

    def _blocking_lease(self, now: int, lease: Lease, cannot_serve: bool = False) -> BlockingLease:
        member = self.reports.members.get(lease.node)
        name = member.name if member is not None else "?"
        remaining = max(lease.lease_end, lease.grace_end) - now
        return BlockingLease(name, lease.node, lease.epoch, remaining, cannot_serve)

    def promised_number(self) -> int:
        """The number of the highest ballot that this acceptor has promised."""
        return self.state.promised[0] if self.state is not None else NO_BALLOT[0]


def _is_durable_part_changed(before: Acceptor, after: Acceptor) -> bool:
    """Whether two states differ in the fields that must survive a restart."""
    return (before.decided, before.promised, before.accepted, before.last_barred_epoch) != (
        after.decided,
        after.promised,
        after.accepted,
        after.last_barred_epoch,
    )
