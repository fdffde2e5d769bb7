"""Many hollow nodes in one process, led by lines of JSON on its input; it ends with its input."""

from __future__ import annotations

import argparse
import asyncio
import gc
import ipaddress
import sys
from pathlib import Path

import msgspec

from hollybay.balancing.interface import Effect, RequestClass, Settings
from hollybay.units import MS

from .messages import Listening, Report, ReportNow, Reset, Silence, Start, decode_command
from .meter import LatenessProbe, Meter, ResourceUsage, memory_bytes
from .node import HollowNode
from .traffic_meter import MeteredLoop, Wire

__all__ = ["COMPILED_FOR", "Process", "main"]

# Between the starts of two nodes: their first calls would else all come at once.
START_PAUSE_S = 0.005
MOST_PROBLEMS = 5
# What a policy is compiled for, where the nodes of the process compile.
COMPILED_FOR = Settings(
    (RequestClass("view-schedule", Effect.SAFE, 3.0, 200 * MS, 500 * MS),), hedging_allowed=True
)


class Process:
    """The nodes of one process. host: the address of the first; each further node has the one after it."""

    def __init__(self, wire: Wire, nodes: list[HollowNode]) -> None:
        self.wire = wire
        self.nodes = nodes
        self.meter = Meter()
        self.probe = LatenessProbe()
        self._calls_in = self._calls_out = 0

    async def listen(self, host: str) -> Listening:
        """Give each node an address of its own."""
        begin = ipaddress.IPv4Address(host)
        return Listening([await node.listen(str(begin + n)) for n, node in enumerate(self.nodes)])

    async def start(self, keepers: list[str]) -> None:
        """Let all nodes begin, one after another."""
        for node in self.nodes:
            await node.start(tuple(keepers))
            await asyncio.sleep(START_PAUSE_S)

    def reset(self) -> None:
        """Count from now on."""
        wire = Wire()
        for name in ("bytes_sent", "bytes_received", "opened", "accepted", "segments", "segment_connections"):
            setattr(self.wire, name, getattr(wire, name))
        self._calls_in, self._calls_out = self._calls()
        self.probe.start()
        self.meter.reset()

    def silence(self, count: int) -> None:
        """Let so many nodes end without a word, and report of them no more."""
        for node in self.nodes[:count]:
            node.close()
        self.nodes = self.nodes[count:]

    def report(self, version: int) -> Report:
        """What was counted since the reset."""
        spent = self.meter.read(ResourceUsage())
        calls_in, calls_out = self._calls()
        services = [node.service for node in self.nodes if node.service is not None]
        wire = self.wire
        return Report(
            nodes=len(self.nodes),
            serving=sum(service.may_begin_request() for service in services),
            cpu_s=spent.cpu_s,
            wall_s=spent.wall_s,
            waited_s=spent.waited_s,
            late_s=self.probe.worst,
            memory_bytes=memory_bytes(),
            bytes_sent=wire.bytes_sent,
            bytes_received=wire.bytes_received,
            opened=wire.opened,
            accepted=wire.accepted,
            segments_each=wire.segments / wire.segment_connections if wire.segment_connections else 0.0,
            calls_in=calls_in - self._calls_in,
            calls_out=calls_out - self._calls_out,
            in_force_ns=[at for node in self.nodes if (at := node.in_force_since(version)) is not None],
            problems=[problem for node in self.nodes for problem in node.problems][:MOST_PROBLEMS],
        )

    def close(self) -> None:
        """End all nodes."""
        self.probe.stop()
        for node in self.nodes:
            node.close()

    def _calls(self) -> tuple[int, int]:
        services = [node.service for node in self.nodes if node.service is not None]
        return sum(one.requests_in for one in services), sum(one.peers.calls for one in services)


async def lead(process: Process, reader: asyncio.StreamReader) -> None:
    """Carry out commands until there are no more."""
    while line := await reader.readline():
        command = decode_command(line)
        if isinstance(command, Start):
            await process.start(command.keepers)
        elif isinstance(command, Reset):
            process.reset()
        elif isinstance(command, Silence):
            process.silence(command.nodes)
        elif isinstance(command, ReportNow):
            _tell(process.report(command.version))
            continue
        _tell(True)


def _tell(answer: object) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


async def _run(words: argparse.Namespace, loop: MeteredLoop) -> None:
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    settings = COMPILED_FOR if words.compile else None
    nodes = [
        HollowNode(f"{words.name}{n:04d}", words.folder, words.lease_ms * MS, words.seed, settings)
        for n in range(words.nodes)
    ]
    process = Process(loop.wire, nodes)
    _tell(await process.listen(words.host))
    gc.freeze()
    try:
        await lead(process, reader)
    finally:
        process.close()


def main(arguments: list[str] | None = None) -> int:
    """Run until the input ends."""
    parser = argparse.ArgumentParser(
        prog="python -m hollybay.hollow", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--nodes", type=int, default=1, help="how many")
    parser.add_argument("--name", default="hollow", help="what their names begin with")
    parser.add_argument("--host", default="127.60.0.1", help="address of the first; the others follow")
    parser.add_argument("--folder", type=Path, required=True, help="for what each keeps on disk")
    parser.add_argument("--lease-ms", type=int, default=5000, help="for how long they ask for leases")
    parser.add_argument("--seed", type=int, default=1, help="of the chance in their pauses")
    parser.add_argument("--compile", action="store_true", help="compile each policy, as a real node does")
    words = parser.parse_args(arguments)
    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, MeteredLoop)
        runner.run(_run(words, loop))
    return 0
