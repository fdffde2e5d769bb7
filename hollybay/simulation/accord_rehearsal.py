"""A whole tier's accord on a virtual clock: the service itself, under loss, partitions, crashes and pauses.

    python -m hollybay.simulation.accord_rehearsal --seeds 1..1000

Every process is a `Service` with a disk of its own; what it calls and what it does to its node is the
stage's. Operators propose and drop changes from a seed while faults come and go; requests begin everywhere
all the time and are put to the oracle. At the end all faults are over, and a last change must come into force
at every node.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import random
import sys
import tempfile
import time
import warnings
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hollybay.consensus import messages
from hollybay.consensus.change_tracker import ChangeTracker, PolicyProposal
from hollybay.consensus.interfaces import MemberSettings, OperatorFileChanges
from hollybay.consensus.invariants import (
    OutcomeReported,
    ReportedOutcome,
    RequestBegun,
    Violation,
    find_violations,
)
from hollybay.consensus.log_entry import Entry
from hollybay.consensus.log_events import LogEvent
from hollybay.consensus.policy import version_of
from hollybay.consensus.requests import CallFailedError
from hollybay.consensus.service import Service
from hollybay.consensus.verdict import ExitStatus, Verdict
from hollybay.resources.model import Change, Delete, Key, Kind, Operation, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.testbed.scratch import in_memory
from hollybay.units import SECOND

from .loop import Process, SimLoop

__all__ = ["Played", "Shape", "play", "shape_of", "stream_shape_of"]

UNFIT = b"# no node with an odd number can serve this\n"
FILE = "file"  # the route that stands for an operator file here
RESOURCES = 12  # that the stream of changes is about


@dataclass(frozen=True, slots=True)
class Shape:
    """How large, how long (virtual s), and how much goes wrong."""

    nodes: int = 6
    keepers: int = 3
    seconds: float = 60.0
    lease: float = 1.5
    late: float = 0.0
    loss: float = 0.03  # of calls, in each direction
    doubles: float = 0.02
    faults: float = 0.25  # a second: one of crash, pause, partition, one-way loss, disk full, disk lost
    losses: int = 1  # disks of keepers that may be lost
    drops: float = 0.2  # part of the changes that their operator gives up
    proposals: float = 0.6  # a second: changes of the whole policy
    stream: float = 0.0  # a second: changes of single resources, by group commit
    unfit: float = 0.05  # part of these that some nodes cannot serve


@dataclass
class Played:
    """What came of a seed."""

    seed: int
    faults: list[Violation] = field(default_factory=list)
    begun: int = 0
    held: int = 0  # changes that came into force
    dropped: int = 0
    open: int = 0  # of which an operator heard nothing final
    streamed: int = 0  # changes of single resources that came into force
    refused: int = 0  # and that were refused
    wrong: list[str] = field(default_factory=list)  # where a proposer was told what is not so
    decided: int = 0  # epochs
    rounds: int = 0  # of ballots that were begun for them
    trace: str = ""
    ended: bool = False  # whether the last change came into force everywhere
    why: str = ""


class _Seat:
    """One process's place: its disk, its service while it runs."""

    def __init__(self, stage: _Stage, n: int) -> None:
        self.stage = stage
        self.n = n
        self.name = f"n{n:02d}"
        self.door = f"10.0.0.{n + 1}:90"
        self.service: Service | None = None
        self.process: Process | None = None
        self.lives = 0
        self.full = False
        self.under: tuple[str, ...] = ()
        self.state: ResourceState = EMPTY

    @property
    def up(self) -> bool:
        return self.service is not None

    def start(self) -> None:
        """A new process."""
        stage = self.stage
        self.lives += 1
        process = self.process = Process(stage.loop, f"{self.name}.{self.lives}")  # type: ignore[abstract]
        self.under = ()
        process.call_soon(self._begin)

    def _begin(self) -> None:
        stage, process = self.stage, self.process
        assert process is not None
        terms = MemberSettings(
            self.name,
            self.door,
            stage.keepers,
            stage.ns(stage.shape.lease),
            stage.ns(stage.shape.late),
            stage.folder,
        )
        self.service = Service(
            terms,
            lambda door, path, body, limit: stage.call(self, door, path, body, limit),
            self,
            stage.clock,
            lambda: int(stage.loop.now * 1000) + stage.ahead_ms,
            self._disk,
            random.Random(f"{stage.seed} {self.name} {self.lives}"),
            "boot",
            self._step,
        )
        process.create_task(self.service.start())

    def _step(self, word: str) -> None:
        if self.full and word.startswith("write"):
            raise OSError(28, "No space left on device")

    def _disk(self, work: Callable[[], None]) -> Awaitable[None]:
        assert self.process is not None
        return self.process.run_in_executor(None, work)

    def kill(self) -> None:
        """End it without a word."""
        if self.process is not None:
            self.process.kill()
        self.service = self.process = None

    # What the service does to its node

    async def compile_policy(self, entry: Entry) -> list[str]:
        await asyncio.sleep(self.stage.chance.uniform(0.001, 0.03))
        assert entry.state is not None
        # What came into force while this node was away is served by it; only what is new is refused.
        keys = {*(entry.changed_keys or ()), Key(Kind.ROUTE, FILE)}
        there = [one for key in sorted(keys) if (one := entry.state.resources.get(key)) is not None]
        return [reason for one in there if (reason := self._refuses(one.body))]

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        await asyncio.sleep(self.stage.chance.uniform(0.001, 0.03))
        found: dict[bytes, list[str]] = {}
        for change in changes:
            reasons = [self._refuses(one.body) for one in change.operations if isinstance(one, Upsert)]
            if any(reasons):
                found[change.id] = [reason for reason in reasons if reason]
        return found

    def _refuses(self, body: bytes) -> str:
        return "route x: does not hold here" if body.startswith(UNFIT) and self.n % 2 else ""

    async def read_operator_file(self, file: bytes, state: ResourceState) -> OperatorFileChanges:
        there = state.get(Kind.ROUTE, FILE)
        if there is not None and there.body == file:
            return OperatorFileChanges((), None)
        version = there.version if there is not None else 0
        return OperatorFileChanges((Upsert(Kind.ROUTE, FILE, version, file),), None)

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        self.under = tuple(entry.policy.name for entry in entries)
        self.state = entries[0].state if len(entries) == 1 and entries[0].state is not None else EMPTY

    def log_event(self, event: LogEvent, **fields: object) -> None:
        if event is LogEvent.TASK_FAILED:
            self.stage.failed.append(f"{self.name}: {fields}")
        self.stage.played.rounds += event is LogEvent.COORDINATING
        self.stage.played.decided += event is LogEvent.DECIDED
        self.stage.loop.note(f"{self.name} {event} {fields}")


class _Stage:
    def __init__(self, seed: int, shape: Shape, folder: Path) -> None:
        self.seed = seed
        self.shape = shape
        self.folder = folder
        self.loop = SimLoop(seed, most_steps=20_000_000)  # type: ignore[abstract]
        self.chance = random.Random(f"stage {seed}")
        self.seats = [_Seat(self, n) for n in range(shape.nodes)]
        self.by_door = {seat.door: seat for seat in self.seats}
        self.keepers = tuple(seat.door for seat in self.seats[: shape.keepers])
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.quiet = False  # no faults any more
        self.events: list[RequestBegun | OutcomeReported] = []
        self.failed: list[str] = []
        self.losses = 0
        self.ahead_ms = 0
        self.played = Played(seed)
        self.number = 0
        self.told: list[tuple[Change, Verdict]] = []

    def clock(self) -> int:
        return int(self.loop.now * SECOND)

    @staticmethod
    def ns(seconds: float) -> int:
        return int(seconds * SECOND)

    # The network

    async def call(
        self, caller: _Seat | None, door: str, path: str, body: bytes | None, limit: float
    ) -> bytes:
        """A call and its answer, each late, lost or doubled as it comes."""
        chance, shape = self.chance, self.shape
        seat = self.by_door.get(door)
        name = caller.name if caller is not None else "operator"
        lossy = 0.0 if self.quiet or caller is None else shape.loss
        began = self.loop.now
        home = asyncio.get_running_loop()
        answered: asyncio.Future[bytes] = home.create_future()

        def way() -> float:
            slow = not self.quiet and chance.random() < 0.02
            return chance.uniform(0.2, 0.9) if slow else chance.uniform(0.0002, 0.004)

        def arrive() -> None:
            if seat is None or seat.process is None or seat.service is None or (name, seat.name) in self.cut:
                return
            seat.process.create_task(serve(seat, seat.service))

        async def serve(seat: _Seat, service: Service) -> None:
            answer = await service.answer(path, body)
            if (seat.name, name) in self.cut or chance.random() < lossy:
                return
            self.loop.call_later(way(), back, answer)

        def back(answer: Any) -> None:
            if answered.done():
                return
            if answer.status >= 400:
                answered.set_exception(CallFailedError(answer.body.decode(), answer.status))
            else:
                answered.set_result(answer.body)

        times = 1 + (chance.random() < (0.0 if self.quiet else shape.doubles))
        for _ in range(times):
            if chance.random() >= lossy:
                self.loop.call_later(way(), arrive)
        try:
            async with asyncio.timeout(max(0.001, limit - (self.loop.now - began))):
                return await answered
        except TimeoutError:
            raise CallFailedError(f"{door}: no answer") from None

    # Requests

    async def requests(self) -> None:
        """Requests begin everywhere, all the time."""
        while True:
            await asyncio.sleep(self.chance.uniform(0.002, 0.02))
            for seat in self.chance.sample(self.seats, k=min(3, len(self.seats))):
                service = seat.service
                if service is None or seat.process is None or seat.process.stopped:
                    continue
                if service.may_begin_request():
                    self.events.append(RequestBegun(self.clock(), seat.name, seat.under))

    # Faults

    async def trouble(self) -> None:
        """Faults come and go."""
        if not self.shape.faults:
            return
        while not self.quiet:
            await asyncio.sleep(self.chance.expovariate(self.shape.faults))
            if self.quiet:
                return
            kind = self.chance.choice(
                ("crash", "crash", "pause", "pause", "part", "one way", "full", "lose", "halves", "clock")
            )
            seat = self.chance.choice(self.seats)
            lasts = self.chance.choice((0.2, 1.0, 3.0, 6.0)) * self.chance.uniform(0.5, 1.5)
            self.loop.note(f"trouble {kind} {seat.name} {lasts:.2f}")
            self.loop.create_task(self._bring(kind, seat, lasts))

    async def _bring(self, kind: str, seat: _Seat, lasts: float) -> None:
        others = [one for one in self.seats if one is not seat]
        cut: set[tuple[str, str]] = set()
        if kind in ("crash", "lose"):
            if not seat.up:
                return
            seat.kill()
            if kind == "lose":
                # One disk at a time and few in all: what a majority lost nobody can know.
                if self.losses >= self.shape.losses:
                    kind = "crash"
                else:
                    self.losses += 1
                    self._wipe(seat)
            await asyncio.sleep(lasts)
            if not seat.up:
                seat.start()
            return
        if kind == "pause":
            process = seat.process
            if process is None or process.stopped:
                return
            process.stop_running()
            await asyncio.sleep(lasts)
            if process.alive:
                process.go_on()
            return
        if kind == "clock":
            self.ahead_ms = -3_600_000 if not self.ahead_ms else 0  # the wall's clock, back by an hour
            return
        if kind == "full":
            seat.full = True
            await asyncio.sleep(lasts)
            seat.full = False
            return
        if kind == "part":
            cut = {(a.name, b.name) for a in (seat,) for b in others} | {(b.name, seat.name) for b in others}
        elif kind == "one way":
            cut = {(seat.name, b.name) for b in others}
        elif kind == "halves":
            half = {one.name for one in self.chance.sample(self.seats, k=len(self.seats) // 2)}
            cut = {
                (a.name, b.name)
                for a in self.seats
                for b in self.seats
                if (a.name in half) != (b.name in half)
            }
        self.cut |= cut
        await asyncio.sleep(lasts)
        self.cut -= cut

    def _wipe(self, seat: _Seat) -> None:
        for path in sorted((self.folder / seat.name).rglob("*"), reverse=True):
            path.unlink() if path.is_file() else path.rmdir()

    # Operators

    async def operator_call(self, door: str, path: str, body: bytes | None) -> bytes:
        return await self.call(None, door, path, body, 2.0)

    async def operators(self) -> None:
        """Propose, sometimes drop, and follow each to its end, or be gone in the middle."""
        number = 0
        while not self.quiet:
            await asyncio.sleep(self.chance.uniform(0.2, 1.8) / self.shape.proposals)
            if self.quiet:
                return
            number += 1
            file = b"# change %d\n" % number
            if self.chance.random() < 0.2:
                file = UNFIT + file
            keepers = None
            if self.chance.random() < 0.15:
                keepers = self._other_board()
            drops = self.chance.random() < self.shape.drops
            follows = self.chance.random() < 0.8
            self.loop.create_task(self._change(file, keepers, drops, follows, self.chance.random() < 0.3))

    def _other_board(self) -> list[str] | None:
        for seat in self.seats:
            keeping = seat.service.acceptor if seat.service is not None else None
            if keeping is not None and keeping.state is not None:
                policy = keeping.log.policy(keeping.state.decided.policy)
                if policy is not None:
                    board = list(policy.voters)
                    strangers = [one.door for one in self.seats if one.door not in board]
                    if strangers:
                        board.remove(self.chance.choice(board))
                        return sorted([*board, self.chance.choice(strangers)])
        return None

    async def _change(
        self, file: bytes, keepers: list[str] | None, drops: bool, follows: bool, twice: bool
    ) -> None:
        follow = ChangeTracker(self.operator_call, self.chance.sample(self.keepers, len(self.keepers)))
        verdict = await follow.propose(
            PolicyProposal(f"because {file!r}", "", file, voters=keepers), limit=0.0
        )
        if verdict.change and drops:
            await asyncio.sleep(self.chance.uniform(0.0, 0.4))
            await follow.drop(verdict.change)
        if verdict.change and verdict.code == 3 and follows:
            verdict = await follow.track(verdict.change, verdict.epoch, limit=self.chance.choice((5.0, 20.0)))
        self._note(verdict)

    # Changes of single resources

    async def stream(self) -> None:
        """Propose changes of a few resources all the time, on what is in force or on what is old by now."""
        if not self.shape.stream:
            return
        while not self.quiet:
            await asyncio.sleep(self.chance.expovariate(self.shape.stream))
            change = self._resource_change()
            if change is not None and not self.quiet:
                self.loop.create_task(self._streamed(change))

    def _resource_change(self) -> Change | None:
        states = [seat.state for seat in self.seats if seat.up and seat.state.revision]
        if not states:
            return None
        state = self.chance.choice(states)  # of any node: an old one at times
        name = f"r{self.chance.randrange(RESOURCES)}"
        there = state.get(Kind.ROUTE, name)
        self.number += 1
        body = b"%d" % self.number
        if self.chance.random() < self.shape.unfit:
            body = UNFIT + body
        operation: Operation = Upsert(Kind.ROUTE, name, there.version if there is not None else 0, body)
        if there is not None and self.chance.random() < 0.2:
            operation = Delete(Kind.ROUTE, name, there.version)
        return Change(self.chance.randbytes(16), state.revision, f"change {self.number}", "", (operation,))

    async def _streamed(self, change: Change) -> None:
        follow = ChangeTracker(self.operator_call, self.chance.sample(self.keepers, len(self.keepers)))
        limit = self.chance.choice((3.0, 20.0, 60.0))
        proposed_at = self.keepers[-1:] if self.chance.random() < 0.1 else ()
        for door in proposed_at:  # its proposer does not wait for the answer
            self.loop.create_task(self._posted(door, change))
        verdict = await follow.submit(change, limit, proposed_at)
        self.told.append((change, verdict))

    async def _posted(self, door: str, change: Change) -> None:
        with suppress(CallFailedError):
            await self.operator_call(
                door, "change", messages.encode(messages.ChangeCall(messages.change_to_text(change)))
            )

    def _check_told(self) -> None:
        """Whether every proposer was told what is so, by the resources that all nodes ended with."""
        ends = {seat.state.digest for seat in self.seats}
        if len(ends) != 1:
            self.played.wrong.append(f"nodes end with {len(ends)} states")
        state = self.seats[0].state
        for change, verdict in self.told:
            revision = state.revision_of(change.id)
            if verdict.code == 0:
                self.played.streamed += 1
                if revision is None:
                    self.played.wrong.append(f"{change.reason} was said to be in force: {verdict}")
            elif verdict.code == 1:
                self.played.refused += 1
                if revision is not None:
                    self.played.wrong.append(f"{change.reason} was said to be refused: {verdict}")
                self._check_reason(change, verdict)

    def _check_reason(self, change: Change, verdict: Verdict) -> None:
        """A change is refused for what itself holds: its version, or a body that nodes cannot serve."""
        reasons = [reason for texts in verdict.reasons.values() for reason in texts]
        unfit = any(isinstance(one, Upsert) and one.body.startswith(UNFIT) for one in change.operations)
        for reason in reasons:
            if "does not hold here" in reason and not unfit:
                self.played.wrong.append(f"{change.reason} was refused for another: {verdict}")
        if not reasons:
            self.played.wrong.append(f"{change.reason} was refused for nothing: {verdict}")

    def _note(self, verdict: Verdict) -> None:
        if not verdict.change:
            return
        if verdict.code == 0:
            self.played.held += 1
            self.events.append(OutcomeReported(self.clock(), verdict.change, ReportedOutcome.IN_FORCE))
        elif verdict.code == 1:
            self.played.dropped += 1
            self.events.append(OutcomeReported(self.clock(), verdict.change, ReportedOutcome.NOT_IN_FORCE))
        else:
            self.played.open += 1

    # The whole

    async def play(self) -> None:
        for seat in self.seats:
            seat.start()
        await asyncio.sleep(0.2)
        body = messages.encode(messages.BootstrapCall(file=base64.b64encode(b"# first\n").decode()))
        while True:
            try:
                await self.operator_call(self.keepers[0], "found", body)
                break
            except CallFailedError as error:
                if "founded already" in str(error):
                    break
                await asyncio.sleep(0.2)
        beside = [
            self.loop.create_task(work)
            for work in (self.requests(), self.trouble(), self.operators(), self.stream())
        ]
        await asyncio.sleep(self.shape.seconds)
        self.quiet = True
        for seat in self.seats:
            seat.full = False
            if seat.process is not None and seat.process.stopped:
                seat.process.go_on()
            if not seat.up:
                seat.start()
        self.cut.clear()
        await asyncio.sleep(12.0 + 4 * (self.shape.lease + self.shape.late))
        verdict = Verdict(ExitStatus.UNKNOWN)
        for n in range(4):
            follow = ChangeTracker(self.operator_call, [seat.door for seat in self.seats])
            verdict = await follow.propose(PolicyProposal("the last", "", b"# the last %d\n" % n), limit=60.0)
            self._note(verdict)
            if verdict.code == 0:
                break
            await asyncio.sleep(3.0)
        await asyncio.sleep(1.0)
        for task in beside:
            task.cancel()
        under = {seat.under for seat in self.seats}
        self.played.ended = verdict.code == 0 and under == {(verdict.change,)}
        if self.shape.stream and verdict.code == 0 and len(under) == 1:
            # A change of the stream that was proposed before may have come after the last one.
            (names,) = under
            self.played.ended = len(names) == 1 and version_of(names[0]) >= version_of(verdict.change)
        self.played.why = f"{verdict} {under}"

    def run(self) -> Played:
        self.loop.run_until_complete(self.play())
        played = self.played
        played.faults = find_violations(self.events)
        self._check_told()
        played.begun = sum(isinstance(one, RequestBegun) for one in self.events)
        played.trace = self.loop.trace
        if played.wrong:
            played.ended = False
            played.why = "; ".join(played.wrong[:3])
        if self.failed:
            played.ended = False
            played.why = "; ".join(self.failed[:3])
        return played


def play(seed: int, shape: Shape | None = None) -> Played:
    """One seed; the same seed plays the same."""
    with tempfile.TemporaryDirectory(prefix="accord-", dir=in_memory()) as folder, warnings.catch_warnings():
        warnings.filterwarnings("ignore", "coroutine .* was never awaited")  # of processes that were killed
        return _Stage(seed, shape or shape_of(seed), Path(folder)).run()


def stream_shape_of(seed: int) -> Shape:
    """Tiers of several shapes with a stream of changes of resources, by seed.

    A hole that is known (docs/DESIGN-accord.md, When it blocks) can show here as a seed that does not end:
    one of three keepers lost its disk, another has voted for NARROW, and a node says no at the third.
    """
    return (
        Shape(stream=8.0, proposals=0.05, seconds=40.0),
        Shape(stream=3.0, proposals=0.1, seconds=40.0, faults=0.6, loss=0.1),
        Shape(stream=20.0, proposals=0.05, seconds=30.0, nodes=5, keepers=5),
        Shape(stream=8.0, proposals=0.05, seconds=60.0, late=6.0, faults=0.15),
        Shape(stream=8.0, proposals=0.05, seconds=20.0, faults=0.0, loss=0.0, doubles=0.0, unfit=0.2),
    )[seed % 5]


def shape_of(seed: int) -> Shape:
    """Tiers of several shapes, by seed."""
    return (
        Shape(),
        Shape(nodes=5, keepers=5, seconds=40.0),
        Shape(late=6.0, seconds=80.0, faults=0.15),
        Shape(faults=0.6, loss=0.1, seconds=40.0),
    )[seed % 4]


def main() -> int:
    """Play seeds; 1 if one broke the guarantee or did not come to its end."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seeds", default="1..50")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--stream", action="store_true", help="with a stream of changes of resources")
    words = parser.parse_args()
    low, _, high = words.seeds.partition("..")
    seeds = range(int(low), int(high or low) + 1)
    began = time.monotonic()
    bad = 0
    total = Played(0)
    with ProcessPoolExecutor(words.jobs) as pool:
        shapes = [stream_shape_of(seed) if words.stream else shape_of(seed) for seed in seeds]
        for played in pool.map(play, seeds, shapes, chunksize=1):
            total.streamed += played.streamed
            total.refused += played.refused
            total.begun += played.begun
            total.held += played.held
            total.dropped += played.dropped
            total.open += played.open
            if played.faults or not played.ended:
                bad += 1
                print(f"seed {played.seed}: {played.why}")
                for fault in played.faults[:5]:
                    print(f"  {fault.at / SECOND:.3f} {fault.node}: {fault.reason}")
    print(
        f"{len(seeds)} seeds in {time.monotonic() - began:.0f} s: {total.begun} requests began, "
        f"{total.held} changes in force, {total.dropped} nowhere, {total.open} not followed to their end; "
        f"of resources {total.streamed} in force, {total.refused} refused; "
        f"{bad} seeds bad"
    )
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
