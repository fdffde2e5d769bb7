"""A process of hollow nodes, controlled by lines of JSON on its input; it ends at the end of its input."""

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
from .traffic_meter import MeteredLoop, TrafficCounters

__all__ = ["COMPILED_FOR", "Process", "main"]

# Between the starts of two nodes, so that their first requests don't arrive all at once.
START_PAUSE_S = 0.005
MAX_REPORTED_PROBLEMS = 5
# The settings that policies are compiled for with --compile.
COMPILED_FOR = Settings(
    (RequestClass("view-schedule", Effect.SAFE, 3.0, 200 * MS, 500 * MS),), hedging_allowed=True
)


class Process:
    """The nodes of a process and their meters."""

    def __init__(self, traffic: TrafficCounters, nodes: list[HollowNode]) -> None:
        self.traffic = traffic
        self.nodes = nodes
        self.meter = Meter()
        self.probe = LatenessProbe()
        self._calls_in = self._calls_out = 0

    async def listen(self, host: str) -> Listening:
        """Let each node listen at its own address: the first at `host`, the others at those that follow."""
        first = ipaddress.IPv4Address(host)
        return Listening([await node.listen(str(first + n)) for n, node in enumerate(self.nodes)])

    async def start(self, voters: list[str]) -> None:
        """Start all nodes, one after another."""
        for node in self.nodes:
            await node.start(tuple(voters))
            await asyncio.sleep(START_PAUSE_S)

    def reset(self) -> None:
        """Reset the counters."""
        initial = TrafficCounters()
        for name in ("bytes_sent", "bytes_received", "opened", "accepted", "segments", "segment_connections"):
            setattr(self.traffic, name, getattr(initial, name))
        self._calls_in, self._calls_out = self._calls()
        self.probe.start()
        self.meter.reset()

    def silence(self, count: int) -> None:
        """Stop the first `count` nodes without notice to the voters, and leave them out of reports."""
        for node in self.nodes[:count]:
            node.close()
        self.nodes = self.nodes[count:]

    def report(self, version: int) -> Report:
        """The counters since the last reset."""
        spent = self.meter.read(ResourceUsage())
        calls_in, calls_out = self._calls()
        services = [node.service for node in self.nodes if node.service is not None]
        traffic = self.traffic
        return Report(
            nodes=len(self.nodes),
            serving=sum(service.may_begin_request() for service in services),
            cpu_s=spent.cpu_s,
            wall_s=spent.wall_s,
            waited_s=spent.waited_s,
            late_s=self.probe.worst,
            memory_bytes=memory_bytes(),
            bytes_sent=traffic.bytes_sent,
            bytes_received=traffic.bytes_received,
            opened=traffic.opened,
            accepted=traffic.accepted,
            segments_each=traffic.segments / traffic.segment_connections
            if traffic.segment_connections
            else 0.0,
            calls_in=calls_in - self._calls_in,
            calls_out=calls_out - self._calls_out,
            in_force_ns=[at for node in self.nodes if (at := node.in_force_since(version)) is not None],
            problems=[problem for node in self.nodes for problem in node.problems][:MAX_REPORTED_PROBLEMS],
        )

    def close(self) -> None:
        """Stop all nodes."""
        self.probe.stop()
        for node in self.nodes:
            node.close()

    def _calls(self) -> tuple[int, int]:
        services = [node.service for node in self.nodes if node.service is not None]
        return (
            sum(service.requests_in for service in services),
            sum(service.peers.calls for service in services),
        )


async def execute_commands(process: Process, reader: asyncio.StreamReader) -> None:
    """Execute commands until the end of the input."""
    while line := await reader.readline():
        command = decode_command(line)
        if isinstance(command, Start):
            await process.start(command.keepers)
        elif isinstance(command, Reset):
            process.reset()
        elif isinstance(command, Silence):
            process.silence(command.nodes)
        elif isinstance(command, ReportNow):
            _write_line(process.report(command.version))
            continue
        _write_line(True)


def _write_line(reply: object) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
    sys.stdout.buffer.flush()


async def _run(options: argparse.Namespace, loop: MeteredLoop) -> None:
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    settings = COMPILED_FOR if options.compile else None
    nodes = [
        HollowNode(f"{options.name}{n:04d}", options.folder, options.lease_ms * MS, options.seed, settings)
        for n in range(options.nodes)
    ]
    process = Process(loop.traffic, nodes)
    _write_line(await process.listen(options.host))
    gc.freeze()
    try:
        await execute_commands(process, reader)
    finally:
        process.close()


def main(arguments: list[str] | None = None) -> int:
    """Run until the end of the input."""
    parser = argparse.ArgumentParser(
        prog="python -m hollybay.hollow", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--nodes", type=int, default=1, help="number of nodes")
    parser.add_argument("--name", default="hollow", help="prefix of their names")
    parser.add_argument("--host", default="127.60.0.1", help="address of the first; the others follow")
    parser.add_argument("--folder", type=Path, required=True, help="folder for the nodes' stored state")
    parser.add_argument("--lease-ms", type=int, default=5000, help="requested duration of leases (ms)")
    parser.add_argument("--seed", type=int, default=1, help="seed of the random choices")
    parser.add_argument("--compile", action="store_true", help="compile each policy, as a real node does")
    options = parser.parse_args(arguments)
    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, MeteredLoop)
        runner.run(_run(options, loop))
    return 0
