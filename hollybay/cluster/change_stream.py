"""A stream of changes of resources that goes through a run: who proposes what when, and what must come of it.

Operators propose changes one by one and in bursts, at every keeper, some of them twice under one id, while
the plan's faults go on; each is followed to its end. Afterwards the logs on the nodes' disks are read:

1. Each proposal was told one end, in force or refused, and no reasons but its own; whoever proposed the same
   change was told the same.
2. What was told to be in force was decided, once, and is in the resources of every node; what was told to be
   refused is in none.
3. A sound change was refused only while a disk was full; a bad or outdated one was refused; of two changes
   that create the same route at most one is in force.
4. All nodes hold the same resources.
"""

from __future__ import annotations

import asyncio
import random
import re
import shutil
import tempfile
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from hollybay.consensus.change_tracker import ChangeTracker
from hollybay.consensus.cluster_view import ClusterView
from hollybay.consensus.log import PolicyLog
from hollybay.consensus.policy import version_of
from hollybay.consensus.verdict import Verdict
from hollybay.proxy.admin_client import call_policy
from hollybay.resources.model import CHANGE_ID_BYTES, Change, Delete, Kind, Operation, Upsert
from hollybay.resources.state import ResourceState
from hollybay.routing.resource_tables import encode_table
from hollybay.routing.schema import PathTable, RouteTable
from hollybay.testbed.scratch import in_memory
from hollybay.units import SECOND

from .plan import Plan
from .planted import FULL_DISK
from .records import Said
from .rig import Outcome, _Rig

__all__ = ["Burst", "FullDisk", "Proposal", "Sort", "Stream", "Told", "Tracked", "check", "play", "proposals"]

CALL_LIMIT = 2.0  # s for one call of an operator
NO_SPACE = "No space left"
ROUTE_NAME = r"'(n\d{3}-)?r\d{3}'"


class Sort(Enum):
    """What is to come of a proposal."""

    SOUND = "sound"  # in force
    CHAINED = "chained"  # in force, and then replaced and deleted by two more
    RIVAL = "rival"  # one of two that create the same route
    OUTDATED = "outdated"  # refused: made on a version that is not there
    BAD = "bad"  # refused: no node can serve it
    UNFIT = "unfit"  # refused: one node cannot serve it


@dataclass(frozen=True, slots=True)
class Burst:
    """So many changes at once, one of four bad or unfit. at: seconds from the run's start.

    keeper: the number of the one that is called.
    """

    at: float
    count: int
    keeper: int = 0


@dataclass(frozen=True, slots=True)
class FullDisk:
    """A node's disk is full from one moment to another, in seconds from the run's start."""

    node: str
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class Stream:
    """Changes from one moment to another (s) at a steady rate (1/s), and bursts beside them.

    limit: s for which each is followed. unfit: the node that cannot serve the unfit changes; it must not be
    cut off or stopped, as the others go on without it then.
    """

    begin: float
    end: float
    rate: float
    bursts: tuple[Burst, ...] = ()
    full_disks: tuple[FullDisk, ...] = ()
    unfit: str = "n004"
    limit: float = 15.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Proposal:
    """One change. at: seconds from the run's start; keepers: the number of the keeper that each of its
    proposers calls first.
    """

    at: float
    sort: Sort
    change: Change
    keepers: tuple[int, ...]


@dataclass(slots=True)
class Tracked:
    """What became of a change. told: by each of its proposers; began, ended: s from the run's start."""

    sort: Sort
    change: Change
    began: float
    ended: float = 0.0
    told: list[Verdict] = field(default_factory=list)


def route(name: str, cls: str | None = None, part: str = "a") -> bytes:
    """The body of a route for paths that no client asks for."""
    return encode_table(
        RouteTable(name=name, cls=cls, path=PathTable(prefix=f"/view-schedule/{name}/{part}"))
    )


def proposals(stream: Stream, keepers: int) -> list[Proposal]:
    """All proposals of a stream, in order of time."""
    chance = random.Random(stream.seed)
    found: list[Proposal] = []

    def add(at: float, sort: Sort, operation: Operation, keeper: int | None) -> None:
        change_id = chance.randbytes(CHANGE_ID_BYTES)
        change = Change(change_id, 0, f"{sort.value} change", "the rig", (operation,))
        first = chance.randrange(keepers) if keeper is None else keeper
        twice = chance.random() < 0.25
        found.append(Proposal(at, sort, change, (first, (first + 1) % keepers) if twice else (first,)))

    def add_one(at: float, sort: Sort, keeper: int | None = None) -> None:
        name = f"r{len(found):03d}"
        if sort is Sort.UNFIT:
            name = f"{stream.unfit}-{name}"
        if sort is Sort.OUTDATED:
            add(at, sort, Delete(Kind.ROUTE, name, 1), keeper)
        elif sort is Sort.BAD:
            add(at, sort, Upsert(Kind.ROUTE, name, 0, route(name, cls="nobody")), keeper)
        else:
            add(at, sort, Upsert(Kind.ROUTE, name, 0, route(name)), keeper)
            if sort is Sort.RIVAL:
                add(at, sort, Upsert(Kind.ROUTE, name, 0, route(name, part="b")), keeper)

    sorts = (Sort.SOUND, Sort.UNFIT, Sort.CHAINED, Sort.RIVAL, Sort.OUTDATED, Sort.BAD)
    for number in range(int((stream.end - stream.begin) * stream.rate)):
        add_one(stream.begin + number / stream.rate, sorts[number % len(sorts)])
    sound = (Sort.SOUND,) * 3
    in_burst = (*sound, Sort.BAD, *sound, Sort.UNFIT)
    for burst in stream.bursts:
        for number in range(burst.count):
            add_one(burst.at, in_burst[number % len(in_burst)], burst.keeper)
    return sorted(found, key=lambda proposal: proposal.at)


# What must hold


def check(tracked: Iterable[Tracked], states: Mapping[str, ResourceState], stream: Stream) -> list[str]:
    """What does not hold, by the rules of the module; states: of each node at the end."""
    found: list[str] = []
    if len({state.digest for state in states.values()}) != 1:
        shown = {name: f"{state.revision}-{state.digest.hex()[:8]}" for name, state in states.items()}
        found.append(f"nodes hold different resources: {shown}")
    everything = list(tracked)
    for one in everything:
        found += [f"{_shown(one)}: {text}" for text in _wrong(one, states, stream)]
    return found + _rivals(everything)


def _shown(one: Tracked) -> str:
    return f"{one.sort.value} change {one.change.id.hex()[:6]} of {one.began:.1f} s"


def _wrong(one: Tracked, states: Mapping[str, ResourceState], stream: Stream) -> list[str]:
    """What does not hold of one change."""
    codes = {verdict.code for verdict in one.told}
    if codes not in ({0}, {1}):
        return [f"was told {[(verdict.code, verdict.text) for verdict in one.told]}"]
    in_force = codes == {0}
    found = [f"is told of another: {text}" for text in _of_others(one)]
    for name, state in states.items():
        times = sum(ids.count(one.change.id) for ids in state.change_ids_by_revision.values())
        if times != int(in_force):
            found.append(f"told to be {'in force' if in_force else 'refused'}, {name} has it {times} times")
    if in_force and one.sort in (Sort.BAD, Sort.OUTDATED, Sort.UNFIT):
        found.append("is in force")
    sound = one.sort in (Sort.SOUND, Sort.CHAINED)
    if not in_force and sound and not _for_want_of_space(one, stream):
        found.append(f"is refused: {one.told[0].reasons}")
    return found


def _of_others(one: Tracked) -> list[str]:
    """Reasons that name another route than its own."""
    name = one.change.operations[0].name
    texts = [text for verdict in one.told for reasons in verdict.reasons.values() for text in reasons]
    return [text for text in texts if re.search(ROUTE_NAME, text) and f"'{name}'" not in text]


def _for_want_of_space(one: Tracked, stream: Stream) -> bool:
    """Whether it was refused as a disk was full, at such a time."""
    during = any(one.began < disk.end and one.ended > disk.begin for disk in stream.full_disks)
    return during and all(NO_SPACE in str(verdict.reasons) for verdict in one.told)


def _rivals(tracked: Iterable[Tracked]) -> list[str]:
    """Routes that two changes created."""
    created: dict[str, int] = {}
    for one in tracked:
        if one.sort is Sort.RIVAL and all(verdict.code == 0 for verdict in one.told):
            name = one.change.operations[0].name
            created[name] = created.get(name, 0) + 1
    return [f"route {name} was created {times} times" for name, times in created.items() if times > 1]


# A run with a stream


class _Proposer(ChangeTracker):
    """An operator who calls one keeper before the others."""

    def __init__(self, doors: list[str], first: int) -> None:
        super().__init__(self._called, doors)
        self.first = doors[first]

    async def _called(self, door: str, path: str, body: bytes | None) -> bytes:
        return await call_policy(door, path, body, CALL_LIMIT)

    def voters_in_order(self, view: ClusterView) -> list[str]:
        return sorted(super().voters_in_order(view), key=lambda door: door != self.first)


class _StreamRig(_Rig):
    """The rig, with operators who propose the changes of a stream."""

    def __init__(self, plan: Plan, folder: Path, defect: str, stream: Stream) -> None:
        super().__init__(plan, folder, lambda tick: None, defect)
        self.stream = stream
        self.tracked: list[Tracked] = []

    def now(self) -> float:
        """Seconds since the run's start."""
        return (time.monotonic_ns() - self.began) / SECOND

    async def _all(self, runs: list[Any], faults: list[Any], beside: list[Any]) -> None:
        faults += [
            self.loop.create_task(self._propose(one)) for one in proposals(self.stream, self.run.keepers)
        ]
        faults += [self.loop.create_task(self._fill(disk)) for disk in self.stream.full_disks]
        await super()._all(runs, faults, beside)

    async def _fill(self, disk: FullDisk) -> None:
        mark = self.folder / "accord" / disk.node / FULL_DISK
        await self._at(int(disk.begin * SECOND))
        mark.touch()
        await self._at(int(disk.end * SECOND))
        mark.unlink()

    async def _propose(self, proposal: Proposal) -> None:
        await self._at(int(proposal.at * SECOND))
        change, keepers = proposal.change, proposal.keepers
        one = await self._followed(proposal.sort, change, keepers)
        if proposal.sort is not Sort.CHAINED or one.told[0].code:
            return
        name = change.operations[0].name
        for version, operation in enumerate((Upsert, Delete)):
            base = self._revision_of(one)
            then: Operation = (
                Upsert(Kind.ROUTE, name, base, route(name, part="b"))
                if operation is Upsert
                else Delete(Kind.ROUTE, name, base)
            )
            change_id = bytes([version + 1]) + change.id[1:]
            one = await self._followed(
                Sort.CHAINED, Change(change_id, base, "the next of a chain", "the rig", (then,)), keepers
            )
            if one.told[0].code:
                return

    @staticmethod
    def _revision_of(one: Tracked) -> int:
        """The revision of the policy that a change is in force with."""
        return version_of(one.told[0].change)

    async def _followed(self, sort: Sort, change: Change, keepers: tuple[int, ...]) -> Tracked:
        """Propose a change, by one operator or two at once, until they are told what became of it."""
        one = Tracked(sort, change, self.now())
        self.tracked.append(one)
        began = time.monotonic_ns()
        doors = self.called[: self.run.keepers]
        proposers = [_Proposer(doors, first) for first in keepers]
        one.told = await asyncio.gather(*(each.submit(change, self.stream.limit) for each in proposers))
        one.ended = self.now()
        for verdict in one.told:
            # The oracle knows policies; a refused change never had one.
            name = verdict.change if verdict.code == 0 else ""
            self.events.append(Said(time.monotonic_ns(), name, verdict.code, verdict.text, began))
        return one


@dataclass(frozen=True, slots=True)
class Told:
    """What came of a run: its outcome, each change, and the resources on each node's disk at the end."""

    outcome: Outcome
    tracked: tuple[Tracked, ...]
    states: dict[str, ResourceState]

    @property
    def largest_batch(self) -> int:
        """How many changes were decided together at the most."""
        return max(
            len(ids) for state in self.states.values() for ids in state.change_ids_by_revision.values()
        )


def on_disk(folder: Path, serves: list[str]) -> ResourceState:
    """The resources after the policy that a node serves under, from its log on disk."""
    log = PolicyLog(folder)
    log.open()
    state = log.state(serves[-1])
    assert state is not None, (folder, serves, log.names())
    return state


async def play(plan: Plan, stream: Stream, defect: str = "") -> Told:
    """Play a plan with a stream of changes; as rig.play."""
    folder = Path(tempfile.mkdtemp(prefix="tier-", dir=in_memory()))
    planted = "+".join(part for part in ("disk-full-by-mark", "unfit-by-name", defect) if part)
    rig = _StreamRig(plan, folder, planted, stream)
    try:
        outcome = await rig.play()
        states = {
            said["name"]: on_disk(folder / "accord" / said["name"] / "policies", said["serves"])
            for said in outcome.status.values()
        }
        return Told(outcome, tuple(rig.tracked), states)
    except asyncio.CancelledError:
        raise
    finally:
        await rig.close()
        shutil.rmtree(folder, ignore_errors=True)
