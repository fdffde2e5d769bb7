"""Starts and controls processes of hollow nodes and voters, and collects their reports."""

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

__all__ = ["Fleet", "FleetError", "HollowProcess", "fleet", "version_of"]

ROOT = Path(__file__).resolve().parents[2]
VOTERS = 3
STATUS_BUSY = 503
MAX_CONCURRENT_STARTS = 6
MAX_LINE_BYTES = 1 << 24  # of a report
CALL_LIMIT_S = 10.0
POLL_INTERVAL_S = 0.1
READY_LIMIT_S = 90.0
_ADDRESSES_PER_PROCESS = 1 << 12


class FleetError(Exception):
    """A process ended, a call failed, or a condition did not hold in time; the message says which."""


class HollowProcess:
    """A process of hollow nodes, controlled over its standard input and output."""

    def __init__(self) -> None:
        self.addresses: list[str] = []
        self._process: asyncio.subprocess.Process | None = None

    async def launch(self, command: list[str]) -> None:
        """Start the process, and wait for the addresses of its nodes."""
        self._process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            limit=MAX_LINE_BYTES,
        )
        listening: Listening = msgspec.json.decode(await self._read_line(), type=Listening)
        self.addresses = listening.addresses

    async def execute(self, command: Command) -> None:
        """Send a command, and wait until it has been executed."""
        await self._send(command)

    async def report(self, version: int = NO_VERSION) -> Report:
        """Get the counts since the last reset."""
        return msgspec.json.decode(await self._send(ReportNow(version)), type=Report)

    async def end(self) -> None:
        """End the process, and wait for its end."""
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

    async def _send(self, command: Command) -> bytes:
        assert self._process is not None and self._process.stdin is not None
        if self._process.stdin.is_closing():
            raise FleetError(f"process of hollow nodes ended with exit status {await self._process.wait()}")
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")
        return await self._read_line()

    async def _read_line(self) -> bytes:
        assert self._process is not None and self._process.stdout is not None
        line = await self._process.stdout.readline()
        if not line:
            raise FleetError(f"process of hollow nodes ended with exit status {await self._process.wait()}")
        return line


class Fleet:
    """Three voters in their own processes, and processes of hollow nodes."""

    def __init__(self, folder: Path, lease_ms: int) -> None:
        self.folder = folder
        self.lease_ms = lease_ms
        self.voters: list[HollowProcess] = []
        self.nodes: list[HollowProcess] = []
        self._starting = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

    @property
    def voter_addresses(self) -> list[str]:
        """The addresses of the voters."""
        return [address for voter in self.voters for address in voter.addresses]

    async def add(self, name: str, nodes: int, compiles: bool) -> HollowProcess:
        """Start a process, of a voter if it compiles policies; its nodes do not request leases yet."""
        process = HollowProcess()
        (self.voters if compiles else self.nodes).append(process)
        number = len(self.voters) + len(self.nodes)
        first = number * _ADDRESSES_PER_PROCESS
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
            await process.launch([*command, *(["--compile"] if compiles else [])])
        return process

    async def bootstrap(self, file: bytes = b"") -> None:
        """Bootstrap the consensus group with an operator file."""
        for voter in self.voters:
            await voter.execute(Start(self.voter_addresses))
        first = self.voter_addresses[0]
        try:
            await ChangeTracker(self._call, [first]).bootstrap(first, file)
        except CallFailedError as error:
            raise FleetError(f"bootstrap of the consensus group failed: {error}") from None

    async def call(self, path: str, body: bytes | None) -> bytes:
        """Call the first voter, as an operator does. Raises FleetError on an error status or a time-out."""
        try:
            return await self._call(self.voter_addresses[0], path, body)
        except CallFailedError as error:
            raise FleetError(f"{path}: {error}") from None

    async def start_nodes(self) -> None:
        """Start all hollow nodes, and wait until each holds leases and serves."""
        await asyncio.gather(*(process.execute(Start(self.voter_addresses)) for process in self.nodes))
        await self.until(lambda report: report.serving == report.nodes)

    async def until(self, holds: Callable[[Report], bool], version: int = NO_VERSION) -> list[Report]:
        """Poll all processes until a condition holds for each report; FleetError after READY_LIMIT_S."""
        end = asyncio.get_running_loop().time() + READY_LIMIT_S
        while True:
            reports = await self.reports(version)
            if all(holds(report) for report in reports):
                return reports
            if asyncio.get_running_loop().time() > end:
                slow = next(report for report in reports if not holds(report))
                raise FleetError(
                    f"condition not met within {READY_LIMIT_S:.0f} s: {slow.serving} of {slow.nodes} nodes "
                    f"serve, problems: {slow.problems}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def reports(self, version: int = NO_VERSION) -> list[Report]:
        """Get the reports of all processes, the voters' first."""
        return list(
            await asyncio.gather(*(process.report(version) for process in [*self.voters, *self.nodes]))
        )

    async def reset(self) -> None:
        """Reset the counters of all processes."""
        await asyncio.gather(*(process.execute(Reset()) for process in [*self.voters, *self.nodes]))

    async def silence(self, part: float) -> int:
        """Stop a fraction of the hollow nodes without notice to the voters; returns their number."""
        counts = [round(part * len(process.addresses)) for process in self.nodes]
        for process, count in zip(self.nodes, counts, strict=True):
            await process.execute(Silence(count))
        return sum(counts)

    async def change(self, out: list[str], reason: str = "capacity") -> tuple[int, int]:
        """Propose in a batch of its own that these servers are drained; returns its version and time (ns)."""
        status = msgspec.json.decode(await self.call("", None))
        body = messages.encode(messages.ProposeCall(None, status["keeper"]["digest"], reason, "rig", out))
        began = boot_time_ns()
        changed = messages.decode(await self.call("propose", body), messages.ProposeReply)
        return version_of(changed.change), began

    async def propose_change(self, change: Change) -> bool:
        """Propose a change of resources.

        Returns
        -------
        bool
            Whether the voter accepted it; if not, it can be proposed again later.

        Raises
        ------
        FleetError
            It was rejected and cannot be retried.
        """
        body = messages.encode(messages.ChangeCall(base64.b64encode(encode_change(change)).decode()))
        try:
            await self._call(self.voter_addresses[0], "change", body)
        except CallFailedError as error:
            if error.status in (0, STATUS_BUSY):
                return False
            raise FleetError(f"change: {error}") from None
        return True

    async def change_status(self, change: Change) -> messages.ChangeReply:
        """The status of a change at the first voter."""
        return messages.decode(await self.call(f"change/{change.id.hex()}", None), messages.ChangeReply)

    async def _call(self, address: str, path: str, body: bytes | None) -> bytes:
        return await call_policy(address, path, body, CALL_LIMIT_S)

    async def end(self) -> None:
        """End all processes."""
        await asyncio.gather(*(process.end() for process in [*self.voters, *self.nodes]))


def version_of(policy: str) -> int:
    """The version in a policy's name."""
    return int(policy.split("-")[0])


@asynccontextmanager
async def fleet(
    folder: Path, nodes: int, lease_ms: int, nodes_per_process: int = 50, file: bytes = b""
) -> AsyncIterator[Fleet]:
    """Run voters with a bootstrapped consensus group, and hollow nodes that hold leases."""
    running = Fleet(folder, lease_ms)
    try:
        starts = [running.add(f"keeper{n}-", 1, compiles=True) for n in range(VOTERS)]
        starts += [
            running.add(f"n{first:05d}-", min(nodes_per_process, nodes - first), compiles=False)
            for first in range(0, nodes, nodes_per_process)
        ]
        await asyncio.gather(*starts)
        await running.bootstrap(file)
        await running.start_nodes()
        yield running
    finally:
        await running.end()
