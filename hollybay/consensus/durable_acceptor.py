"""A keeper with its disk: what it says is there before it is said; and what it knows of the nodes.

Calls are answered one after another. An answer is worked out, what must outlive the process is brought to the
disk, and only then the new state is taken on and the answer given. It tells times by a clock that it is given
(ns, one that goes on while a process is stopped) and reaches nobody by itself.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import msgspec

from .core import (
    NO_BALLOT,
    Accept,
    Accepted,
    Acceptor,
    Ballot,
    Decided,
    EpochState,
    LeaseGrant,
    Prepare,
    Promise,
    Stage,
    policies_named,
)
from .log import PolicyLog
from .messages import (
    AcceptReply,
    BlockingLease,
    HistoryEntry,
    KnowledgeReply,
    LeaseCall,
    LeaseReply,
    PrepareReply,
)
from .policy import Policy, RejectedError
from .store import Store, StoreError

__all__ = ["DurableAcceptor", "KnownMember", "margin"]

HISTORY = 200  # epochs that are kept
SECOND = 1_000_000_000
FORGOTTEN = 600 * SECOND  # ns after which a process that asks no more is not shown any longer


def margin(lease: int) -> int:
    """How much longer (ns) a keeper takes a lease to last, for clocks that run apart."""
    return lease // 20 + 50_000_000


class _Said(msgspec.Struct, frozen=True, array_like=True):
    """What is on disk. longest: the longest lease (ns, with late time) that may have been granted."""

    decided: EpochState
    promised: Ballot
    accepted: tuple[Ballot, EpochState] | None
    mute: int
    longest: int
    history: list[HistoryEntry]


@dataclass(slots=True)
class KnownMember:
    """A process that asks for leases, as this keeper heard it last. heard: ns."""

    name: str
    door: str
    heard: int
    epoch: int  # that it asks for
    serving: int
    able: bool
    reasons: list[str]


Disk = Callable[[Callable[[], None]], Awaitable[None]]


class DurableAcceptor:
    """One keeper. me: its number; longest: the longest lease that it may grant, ns, with late time.

    disk: runs what touches the disk, and comes back when it is done; clock, wall: ns, ms.
    """

    def __init__(
        self,
        me: int,
        store: Store,
        log: PolicyLog,
        clock: Callable[[], int],
        wall: Callable[[], int],
        longest: int,
        disk: Disk,
    ) -> None:
        self.me = me
        self.store = store
        self.log = log
        self.clock = clock
        self.wall = wall
        self.longest = longest
        self.disk = disk
        self.keeper: Acceptor | None = None  # None: it knows nothing, and must learn or be founded
        self.history: list[HistoryEntry] = []
        self.members: dict[int, KnownMember] = {}
        self.refusals: dict[str, dict[str, list[str]]] = {}  # policy, node: why it cannot serve it
        self.culprits: dict[str, dict[str, list[str]]] = {}  # policy, change: why a node cannot serve it
        self.whole: dict[str, list[str]] = {}  # policy: why a node could serve none at all
        self.failed = ""  # why what it says cannot be kept
        self._swept = 0
        self.heard = 0  # when somebody last drove here, ns

    def open(self) -> None:
        """Take up what this keeper said in a life before. StoreError: that is not known; it must learn."""
        data = self.store.open()
        if data is None or self.store.doubtful:
            return
        try:
            said: _Said = msgspec.msgpack.decode(data, type=_Said)
        except msgspec.DecodeError as error:
            raise StoreError(f"{self.store.folder}: {error}") from None
        if any(self.log.get(name) is None for name in policies_named(said.decided)):
            return  # a disk that lost some of it: what else it lost is not known
        kept = Acceptor(self.me, said.decided, said.promised, said.accepted, mute=said.mute)
        longest = max(self.longest, said.longest)
        self.keeper = kept.reborn(self.clock(), longest + margin(longest))
        self.history = said.history

    # What must outlive the process

    async def _take(self, after: Acceptor, longest: int = 0) -> None:
        """Take on a new state, on disk first. StoreError: it stays as it was."""
        before = self.keeper
        history = self.history
        if before is None or after.decided != before.decided:
            entry = HistoryEntry(after.decided, self.wall())
            history = [*(one for one in history if one.state.epoch < after.decided.epoch), entry][-HISTORY:]
        said = _Said(
            after.decided, after.promised, after.accepted, after.mute, max(longest, self.longest), history
        )
        if before is None or before[1:4] != after[1:4] or before.mute != after.mute:
            data = msgspec.msgpack.encode(said)
            try:
                await self.disk(lambda: self.store.put(data))
            except StoreError as error:
                self.failed = str(error)
                raise
            self.failed = ""
        self.keeper = after
        self.history = history

    def holds(self, state: EpochState) -> bool:
        """Whether all policies that an epoch names are on disk."""
        return all(self.log.get(name) is not None for name in policies_named(state))

    # Beginnings

    async def found(self, policy: Policy) -> None:
        """Begin the accord, under this policy, which is on disk already. RejectedError: it has begun."""
        state = EpochState(0, Stage.SETTLED, policy.name)
        if self.keeper is not None:
            if self.keeper.decided == state:
                return
            raise RejectedError(
                f"founded already: epoch {self.keeper.decided.epoch}, {self.keeper.decided.policy}"
            )
        await self._take(Acceptor(self.me, state))

    async def learn_all(self, told: Iterable[tuple[EpochState, EpochState | None]]) -> None:
        """A keeper that knows nothing takes up what a majority of the others told."""
        if self.keeper is None:
            # What it granted in a life before is over in so long, if it had one.
            longest = self.longest + margin(self.longest)
            await self._take(Acceptor.anew(self.me, self.clock(), longest, told))

    def tell(self) -> KnowledgeReply:
        """What it knows."""
        if self.keeper is None:
            return KnowledgeReply(False)
        accepted = self.keeper.accepted
        promised = self.keeper.promised != NO_BALLOT
        return KnowledgeReply(
            True, promised, self.keeper.decided, accepted[1] if accepted is not None else None
        )

    # Calls

    async def know(self, state: EpochState) -> bool:
        """Learn what is decided; whether that was news. Its policies are on disk already."""
        if self.keeper is None or state.epoch <= self.keeper.decided.epoch or not self.holds(state):
            return False
        await self._take(self.keeper.hear_know(Decided(state)))
        return True

    def ask(self, words: LeaseCall) -> LeaseReply:
        """A node asks for a lease."""
        if self.keeper is None:
            return LeaseReply()
        if words.lease + words.late > self.longest:
            raise RejectedError(
                f"lease: {words.lease + words.late} ns, and {self.longest} at most are granted here"
            )
        now = self.clock()
        ask = words.ask
        self._note(now, words)
        if ask.state is not None and ask.state.epoch > self.keeper.decided.epoch:
            return LeaseReply()  # it knows more, and will tell; no grant on what is not on this disk
        after, answer = self.keeper.hear_ask(now, ask, words.lease + margin(words.lease), words.late)
        self.keeper = after  # leases are not on disk, see core
        if isinstance(answer, LeaseGrant):
            return LeaseReply(grant=answer)
        return LeaseReply(know=answer.state if answer is not None else None)

    def _note(self, now: int, words: LeaseCall) -> None:
        ask = words.ask
        epoch = ask.state.epoch if ask.state is not None else -1
        self.members[ask.node] = KnownMember(
            words.name, words.door, now, epoch, ask.serving, ask.able, list(words.reasons)
        )
        if ask.state is not None and ask.state.new and not ask.able:
            self.refusals.setdefault(ask.state.new, {})[words.name] = list(words.reasons)
            self._blame(ask.state.new, words)
            while len(self.refusals) > 16:
                del self.refusals[next(iter(self.refusals))]
        if now - self._swept > SECOND:
            self._swept = now
            for process in [p for p, one in self.members.items() if now - one.heard > FORGOTTEN]:
                del self.members[process]

    def _blame(self, policy: str, words: LeaseCall) -> None:
        """Note which changes of a batch a node names."""
        reasons = [f"{words.name}: {reason}" for reason in words.reasons]
        for change, texts in words.culprits.items():
            its_own = [f"{words.name}: {text}" for text in texts]
            self.culprits.setdefault(policy, {}).setdefault(change, its_own)
        if words.whole:
            self.whole.setdefault(policy, reasons)
        for noted in (self.culprits, self.whole):
            while len(noted) > 16:
                del noted[next(iter(noted))]

    def forget_refusals(self, policy: str) -> None:
        """A policy is proposed again: what nodes said of it before counts no more."""
        self.refusals.pop(policy, None)
        self.culprits.pop(policy, None)
        self.whole.pop(policy, None)

    async def prepare(self, call: Prepare) -> PrepareReply:
        """Somebody who drives asks for a promise."""
        if self.keeper is None:
            return PrepareReply()
        self.heard = self.clock()
        after, answer = self.keeper.hear_prepare(call)
        if isinstance(answer, Promise):
            await self._take(after)
            return PrepareReply(promise=answer, epoch=after.decided.epoch)
        return PrepareReply(
            know=answer.state if answer is not None else None,
            epoch=after.decided.epoch,
            above=after.promised[0],
        )

    async def accept(self, call: Accept) -> AcceptReply:
        """Somebody who drives asks for a vote; the policies of the epoch are on disk already."""
        keeper = self.keeper
        if keeper is None:
            return AcceptReply(why="it knows nothing yet")
        if not self.holds(call.state):
            return AcceptReply(
                epoch=keeper.decided.epoch,
                why=f"it has not all of {' and '.join(policies_named(call.state))}",
            )
        now = self.clock()
        self.heard = now
        after, answer = keeper.hear_accept(now, call)
        if isinstance(answer, Accepted):
            await self._take(after)
            return AcceptReply(vote=answer, epoch=after.decided.epoch)
        return AcceptReply(
            know=answer.state if answer is not None else None,
            epoch=keeper.decided.epoch,
            above=keeper.promised[0],
            waits=self.waits(now, call.state),
            quiet=max(0, keeper.quiet - now),
            why=f"mute up to epoch {keeper.mute}" if call.state.epoch <= keeper.mute else "",
        )

    def waits(self, now: int, state: EpochState) -> list[BlockingLease]:
        """Whom it waits for before it may vote for an epoch."""
        keeper = self.keeper
        if keeper is None:
            return []
        found = [
            self._waiting(now, one.node, one.epoch, one.until, one.late, False)
            for one in keeper.waits_for(now, state)
        ]
        if state.stage is Stage.NARROW:
            no = set(keeper.refused(now))
            found += [
                self._waiting(now, one.node, one.epoch, one.until, 0, True)
                for one in keeper.leases
                if one.node in no
            ]
        return found

    def _waiting(self, now: int, node: int, epoch: int, until: int, late: int, no: bool) -> BlockingLease:
        member = self.members.get(node)
        return BlockingLease(
            member.name if member is not None else "?", node, epoch, max(until, late) - now, no
        )

    def older(self, now: int) -> list[BlockingLease]:
        """The nodes that may still serve under an epoch before the one that it knows to be decided."""
        keeper = self.keeper
        if keeper is None:
            return []
        return [
            self._waiting(now, one.node, one.epoch, one.until, one.late, False)
            for one in keeper.leases
            if one.epoch < keeper.decided.epoch and max(one.until, one.late) > now
        ]

    def above(self) -> int:
        """The highest count of a ballot that it heeds."""
        return self.keeper.promised[0] if self.keeper is not None else NO_BALLOT[0]
