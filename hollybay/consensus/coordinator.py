"""Driving a change: the rounds by which a keeper brings it from one epoch to the next until it is settled.

A keeper drives what was proposed to it, and takes over what nobody has brought further for a while. Each
round asks the keepers for promises, then for votes (core.Driver), and tells all of what was decided.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from . import messages
from .core import Accept, EpochState, Proposer, Stage, VoterSets, effective_policies, policies_named
from .durable_acceptor import DurableAcceptor
from .interfaces import DataPlane, MemberSettings
from .messages import number_of
from .outgoing_requests import PeerClient
from .policy import Policy, RejectedError
from .proposals import Proposals
from .status import ChangeProgress
from .store import StoreError
from .waiting import wait_at_most

__all__ = ["IDLE", "ChangeCoordinator", "CoordinatorHost", "PendingChange", "announcement"]

SECOND = 1_000_000_000  # ns
# Seconds for which whoever drives waits for more promises once it has enough.
MORE_PROMISES = 0.03
# Seconds between two asks for votes that must wait for leases: soon, then seldom.
VOTE_AGAIN, VOTE_SELDOM = 0.02, 0.1
# Seconds after which a keeper takes over a change that nobody brings further; each place on the board more.
TAKE_OVER, TAKE_OVER_EACH = 1.0, 0.4
# Seconds after which those are told again who have not moved on.
TELL_AGAIN = 0.5
# Nodes that are told of an epoch at once, at most.
TOLD_AT_ONCE = 32
IDLE = 0.25  # seconds between two looks for a change that hangs
# Seconds for which whoever drives lets others begin, where two of them want to at once.
GIVE_WAY = (0.01, 0.05)


class CoordinatorHost(Protocol):
    """The process that a driver works for: its keeper, and what it learns."""

    keeping: DurableAcceptor | None

    def become_keeper(self) -> None:
        """Be a keeper, if this process is named as one and is none yet."""
        ...

    def doors_of(self, state: EpochState | None) -> list[str]:
        """The addresses of the keepers of an epoch."""
        ...

    def boards(self, state: EpochState) -> VoterSets:
        """The keepers, by their numbers, of each policy of an epoch that is here."""
        ...

    async def learn(self, state: EpochState, by: str) -> None:
        """The node hears of an epoch from an address."""
        ...

    async def learn_keeper(self, state: EpochState, by: str) -> bool:
        """The keeper hears of a decided epoch from an address; whether that was news. StoreError."""
        ...

    async def heard(self, state: EpochState, by: str) -> None:
        """Both hear of it; a disk that fails is written down."""
        ...

    async def learn_all(self) -> None:
        """A keeper that knows nothing asks all others what they know."""
        ...

    async def propose_next(self) -> bool:
        """Make the next policy of the changes that wait; whether there was anything. StoreError."""
        ...


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A policy that this keeper wants to be next, from which epoch on."""

    policy: Policy
    epoch: int


def announcement(state: EpochState, own_address: str) -> bytes:
    """The body of the call by which others hear of an epoch from a process at an address."""
    return messages.encode(messages.DecidedNotice(messages.FORM, state, own_address))


class ChangeCoordinator:
    """Drives changes for a member, one at a time.

    process: the number of this process, which its ballots carry; clock: ns; spawn: starts a task of the
    member.
    """

    def __init__(
        self,
        member: CoordinatorHost,
        terms: MemberSettings,
        process: int,
        hands: DataPlane,
        proposals: Proposals,
        outgoing: PeerClient,
        clock: Callable[[], int],
        chance: random.Random,
        spawn: Callable[[Coroutine[Any, Any, Any]], object],
    ) -> None:
        self.member = member
        self.terms = terms
        self.process = process
        self.hands = hands
        self.proposals = proposals
        self.outgoing = outgoing
        self.clock = clock
        self.chance = chance
        self.spawn = spawn
        self.pending: PendingChange | None = None
        self.dropping: set[str] = set()  # policies to be given up, by name
        self.driving = ""  # the policy that is brought further here
        self.waits: list[messages.BlockingLease] = []
        self.refused: dict[str, str] = {}  # policies that never began: why
        self.work = asyncio.Event()
        self._ballot = 0  # the highest count of a ballot that it has seen
        self._beaten = False  # by a higher ballot, in this round
        self._lost = 0  # rounds of ballots that came to nothing, one after another

    # What the member asks for

    def wake(self) -> None:
        """Look for work now."""
        self.work.set()

    def begin(self, policy: Policy, epoch: int) -> None:
        """A policy is to be proposed as this epoch."""
        self.pending = PendingChange(policy, epoch)
        self.dropping.discard(policy.name)

    def is_pending(self, name: str) -> bool:
        """Whether a policy is the one that is about to begin."""
        return self.pending is not None and self.pending.policy.name == name

    def other_pending(self, name: str) -> str:
        """The policy that is about to begin, where it is another than this one; else ""."""
        if self.pending is None or self.pending.policy.name == name:
            return ""
        return self.pending.policy.name

    def take_over(self, name: str) -> None:
        """Drive the change to a policy from here, now."""
        self.driving = name
        self.wake()

    def end_drops(self) -> set[str]:
        """A change is settled: the policies that were to be given up until then."""
        given_up = set(self.dropping)
        self.dropping.clear()
        return given_up

    def progress(self) -> ChangeProgress:
        """How changes fare here."""
        return ChangeProgress(
            queued=len(self.proposals),
            pending=self.pending.policy.name if self.pending is not None else "",
            refused=self.refused,
            driving=self.driving,
            waits=self.waits,
        )

    # Rounds

    async def run(self) -> None:
        """Bring changes to their end: one that was asked for here, or one that nobody brings further."""
        while True:
            self.work.clear()
            self.member.become_keeper()
            try:
                if self.member.keeping is not None and self.member.keeping.keeper is None:
                    await self.member.learn_all()
                elif self._has_work():
                    await self._advance()
                    continue
                elif await self.member.propose_next():
                    continue
            except StoreError as error:
                self.hands.say("keeper", error=str(error))
                await asyncio.sleep(IDLE)
            self.driving = ""
            self.waits = []
            idle = IDLE * self.chance.uniform(0.8, 1.2)
            linger = self.proposals.next_take_ns() if self._may_propose() else None
            await wait_at_most(self.work, idle if linger is None else min(idle, max(0.001, linger / SECOND)))

    def _may_propose(self) -> bool:
        """Whether the next batch may be made here as soon as there is one."""
        keeping = self.member.keeping
        return (
            keeping is not None
            and keeping.keeper is not None
            and keeping.keeper.decided.stage is Stage.SETTLED
            and not self.proposals.busy
        )

    def _has_work(self) -> bool:
        """Whether there is something to drive here, now."""
        keeping = self.member.keeping
        if keeping is None or keeping.keeper is None:
            return False
        state = keeping.keeper.decided
        if state.stage is Stage.SETTLED:
            pending = self.pending
            if pending is not None and pending.epoch != state.epoch + 1:
                # Another change was decided first, or this one was and is over.
                self.pending = None
                if pending.policy.name != state.policy and not self.proposals.holds(pending.policy.name):
                    self.refused.setdefault(
                        pending.policy.name, "another change came first, or it was dropped"
                    )
            return self.pending is not None
        if self.pending is not None:
            if self.pending.policy.name != state.new:
                self.refused[self.pending.policy.name] = f"{state.new} came first"
            else:
                self.driving = state.new
            self.pending = None
        if self.driving == state.new:
            return True
        board = self.member.doors_of(state)
        place = board.index(self.terms.door) if self.terms.door in board else len(board)
        patience = TAKE_OVER + TAKE_OVER_EACH * place
        return self.clock() - keeping.heard > patience * SECOND

    def _wish(self, state: EpochState) -> EpochState:
        """What should come after an epoch."""
        epoch = state.epoch + 1
        if state.stage is Stage.SETTLED:
            assert self.pending is not None
            return EpochState(epoch, Stage.PREPARE, state.policy, self.pending.policy.name)
        keeping = self._keeping()
        no = any(one.no for one in self.waits) or bool(keeping.refusals.get(state.new))
        if state.new in self.dropping or (state.stage is Stage.PREPARE and no):
            return EpochState(epoch, Stage.SETTLED, state.policy)
        if state.stage is Stage.PREPARE:
            return EpochState(epoch, Stage.NARROW, state.policy, state.new)
        return EpochState(epoch, Stage.SETTLED, state.new)

    async def _advance(self) -> None:
        """One epoch further, if the keepers will."""
        keeping = self._keeping()
        assert keeping.keeper is not None
        keeping.heard = self.clock()
        state = keeping.keeper.decided
        wish = self._wish(state)
        self.driving = wish.new or state.new
        doors = self.member.doors_of(state)
        boards = self.member.boards(state)
        if len(boards) < len(policies_named(state)):
            await asyncio.sleep(IDLE)
            return
        if state.stage is not Stage.SETTLED:
            self._tell_all(state)  # whoever has not heard of it holds it up
        self.hands.say("drives", epoch=wish.epoch, stage=wish.stage.name, change=wish.new or wish.policy)
        driver = Proposer(self.process, boards, wish)
        driver, asked = await self._promised(driver, state, doors)
        if asked is not None and await self._votes(driver, asked, state, doors):
            self._lost = 0
        elif self._beaten:
            # Another one drives: two that went on would only take each other's promises back.
            self._beaten = False
            self.driving = ""
            keeping.heard = self.clock()
            await asyncio.sleep(self.chance.uniform(*GIVE_WAY))
        else:
            self._lost = min(self._lost + 1, 5)
            await asyncio.sleep(self.chance.uniform(0.02, 0.05) * 2**self._lost)

    async def _promised(
        self, driver: Proposer, state: EpochState, doors: list[str]
    ) -> tuple[Proposer, Accept | None]:
        """Ask for promises; those of keepers that voted for nothing count first, so that the wish is free
        where it may be."""
        keeping = self._keeping()
        driver, call = driver.begin(max(keeping.above(), self._ballot))
        self._ballot = call.ballot[0]
        found: list[tuple[str, messages.PrepareReply]] = []
        body = messages.encode(messages.PrepareCall(messages.FORM, call))
        async for door, answer in self.outgoing.answers(
            doors, "prepare", body, messages.PrepareReply, MORE_PROMISES, boards=driver.boards
        ):
            self._ballot = max(self._ballot, answer.above)
            if answer.know is not None:
                await self.member.learn_keeper(answer.know, door)
                await self.member.learn(answer.know, door)
                return driver, None
            if answer.epoch < state.epoch:
                self.spawn(self.outgoing.reaches(door, "know", announcement(state, self.terms.door)))
            found.append((door, answer))
        found.sort(key=lambda one: one[1].promise is None or one[1].promise.accepted is not None)
        asked: Accept | None = None
        for door, answer in found:
            if answer.promise is not None:
                driver, accept = driver.hear_promise(answer.promise._replace(keeper=number_of(door)))
                asked = asked or accept
        return driver, asked

    async def _votes(self, driver: Proposer, asked: Accept, state: EpochState, doors: list[str]) -> bool:
        """Ask for votes until a majority has voted; False: it must begin anew."""
        keeping = self._keeping()
        body = messages.encode(messages.AcceptCall(messages.FORM, asked, self.terms.door))
        voted: set[str] = set()
        again = VOTE_AGAIN
        silent = 0
        loop = asyncio.get_running_loop()
        told = loop.time()
        while True:
            keeping.heard = self.clock()
            if loop.time() - told > TELL_AGAIN and state.stage is not Stage.SETTLED:
                told = loop.time()
                self._tell_all(state)  # whoever has not heard of it holds it up
            waits: dict[int, messages.BlockingLease] = {}
            heard = False
            left = [door for door in doors if door not in voted]
            async for door, answer in self.outgoing.answers(
                left, "accept", body, messages.AcceptReply, MORE_PROMISES, driver.boards
            ):
                heard = True
                if answer.vote is not None:
                    voted.add(door)
                    driver, know = driver.hear_accepted(answer.vote._replace(keeper=number_of(door)))
                    if know is not None:
                        await self._decided(know.state, doors)
                        return True
                elif answer.know is not None:
                    await self.member.learn_keeper(answer.know, door)
                    await self.member.learn(answer.know, door)
                    return False
                elif answer.above > asked.ballot[0]:
                    self._ballot = max(self._ballot, answer.above)
                    self._beaten = True
                    return False
                elif answer.epoch < state.epoch:
                    self.spawn(self.outgoing.reaches(door, "know", announcement(state, self.terms.door)))
                for one in answer.waits:
                    waits[one.process] = one
            self.waits = sorted(waits.values(), key=lambda one: one.name)
            silent = 0 if heard else silent + 1
            if silent > 3 or asked.state != self._current_wish(state):
                # One vote among those that promised made it ask for this; another majority may leave it free.
                return False
            await asyncio.sleep(again)
            again = min(VOTE_SELDOM, again * 1.3)

    def _current_wish(self, state: EpochState) -> EpochState | None:
        """What should come after an epoch now; None: nothing, as what was pending is not any more."""
        if state.stage is Stage.SETTLED and self.pending is None:
            return None
        return self._wish(state)

    async def _decided(self, state: EpochState, doors: list[str]) -> None:
        """An epoch is decided: all may know."""
        self.waits = []
        self.hands.say(
            "decided",
            epoch=state.epoch,
            stage=state.stage.name,
            policies=list(effective_policies(state)),
            change=state.new,
        )
        await self.member.learn_keeper(state, self.terms.door)
        self._tell_all(state, doors)

    def _tell_all(self, state: EpochState, doors: list[str] | None = None) -> None:
        """Tell keepers and nodes of an epoch, those first that this keeper heard last."""
        keeping = self._keeping()
        members = sorted(keeping.members.values(), key=lambda one: -one.heard)
        recent = self.clock() - 3 * (self.terms.lease + self.terms.late)
        found = dict.fromkeys([*(doors or self.member.doors_of(state))])
        found |= dict.fromkeys(m.door for m in members if m.heard > recent and m.serving < state.epoch)
        found.pop(self.terms.door, None)
        body = announcement(state, self.terms.door)
        waiting = iter(found)

        async def tell() -> None:
            for door in waiting:
                await self.outgoing.reaches(door, "know", body)

        self.spawn(self.member.heard(state, self.terms.door))
        for _ in range(min(TOLD_AT_ONCE, len(found))):
            self.spawn(tell())

    def _keeping(self) -> DurableAcceptor:
        """The keeper that it drives for. RejectedError: this process is none."""
        if self.member.keeping is None:
            raise RejectedError("no keeper here")
        return self.member.keeping
