"""Processes of hollow nodes and of keepers: started, founded, asked what they counted, ended."""

from __future__ import annotations

import asyncio
import base64
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec

from hollybay.consensus import messages
from hollybay.consensus.change_tracker import ChangeTracker
from hollybay.consensus.requests import CallFailedError
from hollybay.proxy.admin_client import call_policy
from hollybay.proxy.system import boot_time_ns
from hollybay.resources.model import Change
from hollybay.resources.wire import encode_change

from .messages import NO_VERSION, Command, Listening, Report, ReportNow, Reset, Silence, Start

__all__ = ["Fleet", "FleetError", "Member", "fleet", "version_of"]

ROOT = Path(__file__).resolve().parents[2]
KEEPERS = 3
TOO_BUSY = 503
STARTED_AT_ONCE = 6
LONGEST_LINE = 1 << 24  # of what a process reports (bytes)
CALL_LIMIT_S = 10.0
LOOK_S = 0.1
READY_LIMIT_S = 90.0
_NODES_OF_A_BLOCK = 1 << 12  # addresses that each process has for its nodes


class FleetError(Exception):
    """A process ended, or what was waited for did not come; the text says which."""


class Member:
    """One process, with what is said to it and what it answers."""

    def __init__(self) -> None:
        self.addresses: list[str] = []
        self._process: asyncio.subprocess.Process | None = None

    async def begin(self, command: list[str]) -> None:
        """Start it, and wait until it says where its nodes are called."""
        self._process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            limit=LONGEST_LINE,
        )
        told: Listening = msgspec.json.decode(await self._line(), type=Listening)
        self.addresses = told.addresses

    async def say(self, command: Command) -> None:
        """Have a command carried out."""
        await self._asked(command)

    async def report(self, version: int = NO_VERSION) -> Report:
        """What it counted since it was reset."""
        return msgspec.json.decode(await self._asked(ReportNow(version)), type=Report)

    async def end(self) -> None:
        """End it, and wait until it is gone."""
        if self._process is None:
            return
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()

    async def _asked(self, command: Command) -> bytes:
        assert self._process is not None and self._process.stdin is not None
        if self._process.stdin.is_closing():
            raise FleetError(f"a process of hollow nodes ended with {await self._process.wait()}")
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")
        return await self._line()

    async def _line(self) -> bytes:
        assert self._process is not None and self._process.stdout is not None
        line = await self._process.stdout.readline()
        if not line:
            raise FleetError(f"a process of hollow nodes ended with {await self._process.wait()}")
        return line


class Fleet:
    """Three keepers in processes of their own, and processes of hollow nodes."""

    def __init__(self, folder: Path, lease_ms: int) -> None:
        self.folder = folder
        self.lease_ms = lease_ms
        self.keepers: list[Member] = []
        self.nodes: list[Member] = []
        self._starting = asyncio.Semaphore(STARTED_AT_ONCE)

    @property
    def keeper_addresses(self) -> list[str]:
        """Where the keepers are called."""
        return [address for keeper in self.keepers for address in keeper.addresses]

    async def add(self, name: str, nodes: int, compiles: bool) -> Member:
        """Start a process; its nodes do not ask for leases yet."""
        member = Member()
        (self.keepers if compiles else self.nodes).append(member)
        number = len(self.keepers) + len(self.nodes)
        first = number * _NODES_OF_A_BLOCK
        host = f"127.{64 + (first >> 16)}.{first >> 8 & 255}.{first & 255 | 1}"
        command = [
            sys.executable,
            "-m",
            "hollybay.hollow",
            "--nodes",
            str(nodes),
            "--name",
            name,
            "--host",
            host,
            "--folder",
            str(self.folder),
            "--lease-ms",
            str(self.lease_ms),
            "--seed",
            str(number),
        ]
        async with self._starting:
            await member.begin([*command, *(["--compile"] if compiles else [])])
        return member

    async def found(self, file: bytes = b"") -> None:
        """Begin the accord with a file."""
        for keeper in self.keepers:
            await keeper.say(Start(self.keeper_addresses))
        first = self.keeper_addresses[0]
        try:
            await ChangeTracker(self._called, [first]).bootstrap(first, file)
        except CallFailedError as error:
            raise FleetError(f"found: {error}") from None

    async def call(self, path: str, body: bytes | None) -> bytes:
        """Call the first keeper, as an operator does. FleetError: it says no, or nothing."""
        try:
            return await self._called(self.keeper_addresses[0], path, body)
        except CallFailedError as error:
            raise FleetError(f"{path}: {error}") from None

    async def start_nodes(self) -> None:
        """Let all hollow nodes ask for leases, and wait until each holds one."""
        await asyncio.gather(*(member.say(Start(self.keeper_addresses)) for member in self.nodes))
        await self.until(lambda report: report.serving == report.nodes)

    async def until(self, holds: Callable[[Report], bool], version: int = NO_VERSION) -> list[Report]:
        """Ask all processes again and again until this holds for each report. FleetError: too late."""
        end = asyncio.get_running_loop().time() + READY_LIMIT_S
        while True:
            reports = await self.reports(version)
            if all(holds(report) for report in reports):
                return reports
            if asyncio.get_running_loop().time() > end:
                slow = next(report for report in reports if not holds(report))
                raise FleetError(
                    f"not within {READY_LIMIT_S:.0f} s: {slow.serving} of {slow.nodes} serve, {slow.problems}"
                )
            await asyncio.sleep(LOOK_S)

    async def reports(self, version: int = NO_VERSION) -> list[Report]:
        """The reports of all processes, those of the keepers first."""
        return list(await asyncio.gather(*(one.report(version) for one in [*self.keepers, *self.nodes])))

    async def reset(self) -> None:
        """Let all processes count from now on."""
        await asyncio.gather(*(one.say(Reset()) for one in [*self.keepers, *self.nodes]))

    async def silence(self, part: float) -> int:
        """Let a part of the hollow nodes end without a word; how many."""
        counts = [round(part * len(member.addresses)) for member in self.nodes]
        for member, count in zip(self.nodes, counts, strict=True):
            await member.say(Silence(count))
        return sum(counts)

    async def change(self, out: list[str], reason: str = "capacity") -> tuple[int, int]:
        """Propose that these servers are out, alone in a batch; the version, and when that was (ns)."""
        status = msgspec.json.decode(await self.call("", None))
        body = messages.encode(messages.ProposeCall(None, status["keeper"]["digest"], reason, "rig", out))
        began = boot_time_ns()
        changed = messages.decode(await self.call("propose", body), messages.ProposeReply)
        return version_of(changed.change), began

    async def propose_change(self, change: Change) -> bool:
        """Propose a change of resources; whether the keeper took it: else it is to be offered again later.

        FleetError: it is refused for good.
        """
        body = messages.encode(messages.ChangeCall(base64.b64encode(encode_change(change)).decode()))
        try:
            await self._called(self.keeper_addresses[0], "change", body)
        except CallFailedError as error:
            if error.status in (0, TOO_BUSY):
                return False
            raise FleetError(f"change: {error}") from None
        return True

    async def change_status(self, change: Change) -> messages.ChangeReply:
        """What the first keeper knows of a change."""
        return messages.decode(await self.call(f"change/{change.id.hex()}", None), messages.ChangeReply)

    async def _called(self, address: str, path: str, body: bytes | None) -> bytes:
        return await call_policy(address, path, body, CALL_LIMIT_S)

    async def end(self) -> None:
        """End all processes."""
        await asyncio.gather(*(member.end() for member in [*self.keepers, *self.nodes]))


def version_of(policy: str) -> int:
    """The version in a policy's name."""
    return int(policy.split("-")[0])


@asynccontextmanager
async def fleet(
    folder: Path, nodes: int, lease_ms: int, nodes_of_a_process: int = 50, file: bytes = b""
) -> AsyncIterator[Fleet]:
    """Keepers that have begun an accord, and so many hollow nodes that hold leases."""
    one = Fleet(folder, lease_ms)
    try:
        starts = [one.add(f"keeper{n}-", 1, compiles=True) for n in range(KEEPERS)]
        starts += [
            one.add(f"n{begin:05d}-", min(nodes_of_a_process, nodes - begin), compiles=False)
            for begin in range(0, nodes, nodes_of_a_process)
        ]
        await asyncio.gather(*starts)
        await one.found(file)
        await one.start_nodes()
        yield one
    finally:
        await one.end()
