"""A run with a stream of resource changes: generates the proposals, tracks each, and checks the results.

Operators propose changes one by one and in bursts, at every voter, some of them twice under one ID, during
the faults of the plan; each change is tracked to its outcome. Then the logs on the nodes' disks are checked:

1. Each proposal has one reported outcome, in force or rejected, with no reasons of other changes; all
   proposers of one change receive the same outcome.
2. A change reported in force was decided exactly once and is in the resources of every node; a change
   reported rejected is in none.
3. A valid change was rejected only while a disk was full; a bad or outdated one was rejected; of two changes
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

from .harness import Outcome, _Harness
from .plan import Plan
from .planted import FULL_DISK
from .records import Said

__all__ = [
    "Burst",
    "ChangeKind",
    "FullDisk",
    "Proposal",
    "Stream",
    "StreamResult",
    "TrackedChange",
    "find_violations",
    "proposals",
    "run_stream",
]

CALL_LIMIT = 2.0  # time-out of an operator's call, s
NO_SPACE = "No space left"
ROUTE_NAME = r"'(n\d{3}-)?r\d{3}'"


class ChangeKind(Enum):
    """Kinds of proposals, with their expected outcome."""

    SOUND = "sound"  # in force
    CHAINED = "chained"  # in force, then replaced and deleted by two more changes
    RIVAL = "rival"  # one of two that create the same route
    OUTDATED = "outdated"  # rejected: based on a version that does not exist
    BAD = "bad"  # rejected: no node can serve it
    UNFIT = "unfit"  # rejected: one node cannot serve it


@dataclass(frozen=True, slots=True)
class Burst:
    """A number of simultaneous changes, one of four bad or unfit. at: seconds from the start of the run.

    voter: the number of the voter that is called first.
    """

    at: float
    count: int
    voter: int = 0


@dataclass(frozen=True, slots=True)
class FullDisk:
    """A span in which the disk of a node is full, in seconds from the start of the run."""

    node: str
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class Stream:
    """Changes at a steady rate (1/s) from begin to end (s), with additional bursts.

    limit: s for which each change is tracked. unfit: the node that cannot serve the unfit changes; it must
    not be cut off or stopped, since the others then continue without it.
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
    """One change. at: seconds from the start of the run; voters: for each of its proposers, the number of the
    voter that it calls first.
    """

    at: float
    kind: ChangeKind
    change: Change
    voters: tuple[int, ...]


@dataclass(slots=True)
class TrackedChange:
    """The outcome of a change. verdicts: one for each proposer; began, ended: s from the start of the run."""

    kind: ChangeKind
    change: Change
    began: float
    ended: float = 0.0
    verdicts: list[Verdict] = field(default_factory=list)


def route(name: str, cls: str | None = None, part: str = "a") -> bytes:
    """Return the encoded body of a route for paths that no client requests."""
    return encode_table(
        RouteTable(name=name, cls=cls, path=PathTable(prefix=f"/view-schedule/{name}/{part}"))
    )


def proposals(stream: Stream, voters: int) -> list[Proposal]:
    """Return all proposals of a stream, in order of time."""
    rng = random.Random(stream.seed)
    found: list[Proposal] = []

    def add(at: float, kind: ChangeKind, operation: Operation, voter: int | None) -> None:
        change_id = rng.randbytes(CHANGE_ID_BYTES)
        change = Change(change_id, 0, f"{kind.value} change", "the rig", (operation,))
        first = rng.randrange(voters) if voter is None else voter
        twice = rng.random() < 0.25
        found.append(Proposal(at, kind, change, (first, (first + 1) % voters) if twice else (first,)))

    def add_one(at: float, kind: ChangeKind, voter: int | None = None) -> None:
        name = f"r{len(found):03d}"
        if kind is ChangeKind.UNFIT:
            name = f"{stream.unfit}-{name}"
        if kind is ChangeKind.OUTDATED:
            add(at, kind, Delete(Kind.ROUTE, name, 1), voter)
        elif kind is ChangeKind.BAD:
            add(at, kind, Upsert(Kind.ROUTE, name, 0, route(name, cls="nobody")), voter)
        else:
            add(at, kind, Upsert(Kind.ROUTE, name, 0, route(name)), voter)
            if kind is ChangeKind.RIVAL:
                add(at, kind, Upsert(Kind.ROUTE, name, 0, route(name, part="b")), voter)

    sorts = (
        ChangeKind.SOUND,
        ChangeKind.UNFIT,
        ChangeKind.CHAINED,
        ChangeKind.RIVAL,
        ChangeKind.OUTDATED,
        ChangeKind.BAD,
    )
    for number in range(int((stream.end - stream.begin) * stream.rate)):
        add_one(stream.begin + number / stream.rate, sorts[number % len(sorts)])
    sound = (ChangeKind.SOUND,) * 3
    in_burst = (*sound, ChangeKind.BAD, *sound, ChangeKind.UNFIT)
    for burst in stream.bursts:
        for number in range(burst.count):
            add_one(burst.at, in_burst[number % len(in_burst)], burst.voter)
    return sorted(found, key=lambda proposal: proposal.at)


# Checks


def find_violations(
    tracked: Iterable[TrackedChange], states: Mapping[str, ResourceState], stream: Stream
) -> list[str]:
    """Return violations of the rules above; states: the resources of each node at the end."""
    found: list[str] = []
    if len({state.digest for state in states.values()}) != 1:
        shown = {name: f"{state.revision}-{state.digest.hex()[:8]}" for name, state in states.items()}
        found.append(f"nodes hold different resources: {shown}")
    everything = list(tracked)
    for one in everything:
        found += [f"{_describe(one)}: {text}" for text in _change_violations(one, states, stream)]
    return found + _duplicate_routes(everything)


def _describe(one: TrackedChange) -> str:
    return f"{one.kind.value} change {one.change.id.hex()[:6]} of {one.began:.1f} s"


def _change_violations(one: TrackedChange, states: Mapping[str, ResourceState], stream: Stream) -> list[str]:
    """Return the violations of one change."""
    codes = {verdict.code for verdict in one.verdicts}
    if codes not in ({0}, {1}):
        return [f"proposers received {[(verdict.code, verdict.text) for verdict in one.verdicts]}"]
    in_force = codes == {0}
    found = [f"reported with a reason of another change: {text}" for text in _foreign_reasons(one)]
    for name, state in states.items():
        times = sum(ids.count(one.change.id) for ids in state.change_ids_by_revision.values())
        if times != int(in_force):
            found.append(
                f"reported {'in force' if in_force else 'rejected'}, but {name} applied it {times} times"
            )
    if in_force and one.kind in (ChangeKind.BAD, ChangeKind.OUTDATED, ChangeKind.UNFIT):
        found.append("is in force, expected to be rejected")
    sound = one.kind in (ChangeKind.SOUND, ChangeKind.CHAINED)
    if not in_force and sound and not _refused_for_full_disk(one, stream):
        found.append(f"is rejected: {one.verdicts[0].reasons}")
    return found


def _foreign_reasons(one: TrackedChange) -> list[str]:
    """Return the reasons that name a route of another change."""
    name = one.change.operations[0].name
    texts = [text for verdict in one.verdicts for reasons in verdict.reasons.values() for text in reasons]
    return [text for text in texts if re.search(ROUTE_NAME, text) and f"'{name}'" not in text]


def _refused_for_full_disk(one: TrackedChange, stream: Stream) -> bool:
    """Whether the change was rejected for a full disk while a disk was full."""
    during = any(one.began < disk.end and one.ended > disk.begin for disk in stream.full_disks)
    return during and all(NO_SPACE in str(verdict.reasons) for verdict in one.verdicts)


def _duplicate_routes(tracked: Iterable[TrackedChange]) -> list[str]:
    """Return the routes that more than one change created."""
    created: dict[str, int] = {}
    for one in tracked:
        if one.kind is ChangeKind.RIVAL and all(verdict.code == 0 for verdict in one.verdicts):
            name = one.change.operations[0].name
            created[name] = created.get(name, 0) + 1
    return [f"route {name} was created {times} times" for name, times in created.items() if times > 1]


# Running a plan with a stream


class _Proposer(ChangeTracker):
    """An operator who calls one voter before the others."""

    def __init__(self, addresses: list[str], first: int) -> None:
        super().__init__(self._call, addresses)
        self.first = addresses[first]

    async def _call(self, address: str, path: str, body: bytes | None) -> bytes:
        return await call_policy(address, path, body, CALL_LIMIT)

    def voters_in_order(self, view: ClusterView) -> list[str]:
        return sorted(super().voters_in_order(view), key=lambda address: address != self.first)


class _StreamHarness(_Harness):
    """A harness with operators who propose the changes of a stream."""

    def __init__(self, plan: Plan, folder: Path, defect: str, stream: Stream) -> None:
        super().__init__(plan, folder, lambda tick: None, defect)
        self.stream = stream
        self.tracked: list[TrackedChange] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return (time.monotonic_ns() - self.started_at) / SECOND

    async def _wait_for_clients(self, runs: list[Any], faults: list[Any], beside: list[Any]) -> None:
        faults += [
            self.loop.create_task(self._propose(one)) for one in proposals(self.stream, self.run.keepers)
        ]
        faults += [self.loop.create_task(self._fill_disk(disk)) for disk in self.stream.full_disks]
        await super()._wait_for_clients(runs, faults, beside)

    async def _fill_disk(self, disk: FullDisk) -> None:
        mark = self.folder / "accord" / disk.node / FULL_DISK
        await self._sleep_until(int(disk.begin * SECOND))
        mark.touch()
        await self._sleep_until(int(disk.end * SECOND))
        mark.unlink()

    async def _propose(self, proposal: Proposal) -> None:
        await self._sleep_until(int(proposal.at * SECOND))
        change, voters = proposal.change, proposal.voters
        one = await self._propose_and_track(proposal.kind, change, voters)
        if proposal.kind is not ChangeKind.CHAINED or one.verdicts[0].code:
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
            one = await self._propose_and_track(
                ChangeKind.CHAINED,
                Change(change_id, base, "the next of a chain", "the rig", (then,)),
                voters,
            )
            if one.verdicts[0].code:
                return

    @staticmethod
    def _revision_of(one: TrackedChange) -> int:
        """Return the revision of the policy with which a change came into force."""
        return version_of(one.verdicts[0].change)

    async def _propose_and_track(
        self, kind: ChangeKind, change: Change, voters: tuple[int, ...]
    ) -> TrackedChange:
        """Propose a change, by one operator or two at once, and wait for the verdict of each."""
        one = TrackedChange(kind, change, self.now())
        self.tracked.append(one)
        began = time.monotonic_ns()
        addresses = self.policy_addresses[: self.run.keepers]
        proposers = [_Proposer(addresses, first) for first in voters]
        one.verdicts = await asyncio.gather(*(each.submit(change, self.stream.limit) for each in proposers))
        one.ended = self.now()
        for verdict in one.verdicts:
            # The atomicity check works on policies; a rejected change never had one.
            name = verdict.change if verdict.code == 0 else ""
            self.events.append(Said(time.monotonic_ns(), name, verdict.code, verdict.text, began))
        return one


@dataclass(frozen=True, slots=True)
class StreamResult:
    """The result of a run: its outcome, each change, and the resources on each node's disk at the end."""

    outcome: Outcome
    tracked: tuple[TrackedChange, ...]
    states: dict[str, ResourceState]

    @property
    def largest_batch(self) -> int:
        """Return the largest number of changes that were decided together."""
        return max(
            len(ids) for state in self.states.values() for ids in state.change_ids_by_revision.values()
        )


def state_from_log(folder: Path, serves: list[str]) -> ResourceState:
    """Return the resources of the policy under which a node serves, from its log on disk."""
    log = PolicyLog(folder)
    log.open()
    state = log.state(serves[-1])
    assert state is not None, (folder, serves, log.names())
    return state


async def run_stream(plan: Plan, stream: Stream, defect: str = "") -> StreamResult:
    """Run a plan with a stream of changes, like harness.run_plan."""
    folder = Path(tempfile.mkdtemp(prefix="tier-", dir=in_memory()))
    planted = "+".join(part for part in ("disk-full-by-mark", "unfit-by-name", defect) if part)
    harness = _StreamHarness(plan, folder, planted, stream)
    try:
        outcome = await harness.execute()
        states = {
            said["name"]: state_from_log(folder / "accord" / said["name"] / "policies", said["serves"])
            for said in outcome.status.values()
        }
        return StreamResult(outcome, tuple(harness.tracked), states)
    except asyncio.CancelledError:
        raise
    finally:
        await harness.close()
        shutil.rmtree(folder, ignore_errors=True)
