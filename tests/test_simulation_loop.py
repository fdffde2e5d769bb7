"""The simulated event loop and network: virtual time, reproducible traces, and network faults."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hollybay.simulation.loop import Deadlock, SimLoop, StepLimit
from hollybay.simulation.network import Link, Network, SimTransport

ROOT = Path(__file__).resolve().parent.parent
# SimLoop doesn't implement subprocesses and pipes, so that it is abstract for the type checker.
new_loop: Callable[..., SimLoop] = SimLoop


def run_loop(main: Any, seed: int = 1, **more: Any) -> tuple[Any, SimLoop]:
    loop = new_loop(seed, **more)
    return loop.run_until_complete(main(loop)), loop


def test_time_advances_only_when_no_callback_is_ready() -> None:
    async def main(loop: SimLoop) -> list[float]:
        began = loop.time()
        await asyncio.sleep(3600)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(86_400):
                await loop.create_future()
        return [loop.time() - began]

    (took,), loop = run_loop(main)
    assert took == pytest.approx(90_000) and loop.steps < 30 and not loop.pending_callbacks()


def test_call_soon_keeps_its_order_and_simultaneous_timers_do_not() -> None:
    async def main(loop: SimLoop) -> tuple[list[int], list[int]]:
        soon: list[int] = []
        timed: list[int] = []
        for n in range(20):
            loop.call_soon(soon.append, n)
            loop.call_at(2000.0, timed.append, n)
        cancelled = loop.call_at(1999.0, timed.append, 99)
        cancelled.cancel()
        await asyncio.sleep(1500)
        return soon, timed

    orders = set()
    for seed in range(5):
        (soon, timed), _ = run_loop(main, seed)
        assert soon == list(range(20)) and sorted(timed) == list(range(20))
        orders.add(tuple(timed))
    assert len(orders) == 5
    assert run_loop(main, 3)[0] == run_loop(main, 3)[0]


def test_a_deadlock_and_an_endless_loop_raise() -> None:
    with pytest.raises(Deadlock):
        run_loop(lambda loop: asyncio.wait_for(loop.create_future(), None))

    async def spin(loop: SimLoop) -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(StepLimit):
        run_loop(spin, max_steps=1000)


def test_signals_and_executor_calls_are_steps() -> None:
    async def main(loop: SimLoop) -> list[str]:
        seen: list[str] = []
        loop.add_signal_handler(15, seen.append, "term")
        assert loop.deliver_signal(15) and not loop.deliver_signal(1)
        seen.append(await loop.run_in_executor(None, lambda: "done"))
        with pytest.raises(ZeroDivisionError):
            await loop.run_in_executor(None, lambda: 1 // 0)
        assert loop.remove_signal_handler(15) and not loop.deliver_signal(15)
        return seen

    assert run_loop(main)[0] == ["term", "done"]


def test_unhandled_exceptions_are_recorded() -> None:
    async def main(loop: SimLoop) -> None:
        loop.call_soon(lambda: 1 // 0)
        await asyncio.sleep(1)

    _, loop = run_loop(main)
    (context,) = loop.errors
    assert isinstance(context["exception"], ZeroDivisionError)


def test_a_check_runs_after_every_step() -> None:
    checked = 0

    async def main(loop: SimLoop) -> None:
        def check() -> None:
            nonlocal checked
            checked += 1

        loop.after_step = check
        await asyncio.sleep(1)
        await asyncio.sleep(1)

    _, loop = run_loop(main)
    assert checked == loop.steps > 3


class Echo(asyncio.Protocol):
    """Echoes data, and logs how the connection ended."""

    def __init__(self, log: list[object]) -> None:
        self.log = log

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, SimTransport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.log.append(type(exc).__name__ if exc else "closed")


class Caller(asyncio.Protocol):
    """Stores the received pieces."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.ended: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self.more = asyncio.Event()
        self.paused = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, SimTransport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.pieces.append(data)
        self.more.set()

    def pause_writing(self) -> None:
        self.paused += 1

    def resume_writing(self) -> None:
        self.paused -= 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended.set_result(type(exc).__name__ if exc else "closed")
        self.more.set()

    async def have(self, size: int) -> bytes:
        while sum(map(len, self.pieces)) < size and not self.ended.done():
            self.more.clear()
            await self.more.wait()
        return b"".join(self.pieces)


async def connected(net: Network, log: list[object], host: str = "s") -> Caller:
    if (host, 80) not in net.listening:
        await net.create_server(lambda: Echo(log), host, 80)
    _, caller = await net.create_connection(Caller, host, 80)
    assert isinstance(caller, Caller)
    return caller


def test_segmented_bytes_keep_their_order() -> None:
    async def main(loop: SimLoop) -> tuple[bytes, int, list[object]]:
        log: list[object] = []
        net = Network(loop, Link(split=0.9))
        caller = await connected(net, log)
        sent = b""
        for n in range(200):
            piece = bytes([n]) * (1 + n % 7)
            sent += piece
            caller.transport.write(piece)
            if n % 20 == 0:
                await asyncio.sleep(0.001)
        got = await caller.have(len(sent))
        assert got == sent
        caller.transport.close()
        await asyncio.sleep(1)
        assert not net.transports
        return got, len(caller.pieces), log

    counts = set()
    for seed in range(4):
        (_, pieces, log), loop = run_loop(main, seed)
        assert pieces > 200 and log == ["closed"] and not loop.errors and not loop.pending_callbacks()
        counts.add(pieces)
    assert len(counts) > 1


def test_reset_crash_and_refused_connection() -> None:
    async def main(loop: SimLoop) -> None:
        log: list[object] = []
        net = Network(loop)
        first = await connected(net, log)
        first.transport.abort()
        assert await first.ended == "closed"
        await asyncio.sleep(1)
        assert log == ["ConnectionResetError"]
        second, third = await connected(net, log), await connected(net, log)
        net.crash("s")
        assert [await second.ended, await third.ended] == ["ConnectionResetError"] * 2
        with pytest.raises(ConnectionRefusedError):
            await net.create_connection(Caller, "s", 80)
        assert not net.transports

    run_loop(main)


def test_a_partition_is_silent_and_blocks_new_connections() -> None:
    async def main(loop: SimLoop) -> None:
        net = Network(loop)
        caller = await connected(net, [])
        caller.transport.write(b"one")
        assert await caller.have(3) == b"one"
        net.partitions.add(frozenset(("client", "s")))
        caller.transport.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(caller.have(6), 3600)
        assert not caller.ended.done()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(net.create_connection(Caller, "s", 80), 1.0)
        net.partitions.clear()
        again = await connected(net, [])
        again.transport.write(b"three")
        assert await again.have(5) == b"three"

    run_loop(main)


def test_a_paused_reader_pauses_the_writer_until_it_resumes() -> None:
    class PausedReader(Echo):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(5.0, self.transport.resume_reading)

        def data_received(self, data: bytes) -> None:
            self.log.append(len(data))

    async def main(loop: SimLoop) -> None:
        log: list[Any] = []
        net = Network(loop, Link(window=1000, buffer=0, split=0.0))
        await net.create_server(lambda: PausedReader(log), "s", 80)
        _, caller = await net.create_connection(Caller, "s", 80)
        assert isinstance(caller, Caller)
        caller.transport.set_write_buffer_limits(high=0)
        for _ in range(10):
            caller.transport.write(b"x" * 400)
        await asyncio.sleep(1)
        assert caller.paused == 1 and not log
        await asyncio.sleep(10)
        assert caller.paused == 0 and sum(log) == 4000

    run_loop(main)


SCRIPT = """
import asyncio, random, sys
sys.path.insert(0, {root!r})
from tests.test_simulation_loop import echo_traffic
from hollybay.simulation.loop import SimLoop
loop = SimLoop(int(sys.argv[1]))
print(loop.run_until_complete(echo_traffic(loop)), loop.steps, loop.trace)
"""


async def echo_traffic(loop: SimLoop) -> int:
    """Run clients and echo servers under crashes and partitions; returns the number of bytes received."""
    chance = random.Random(loop.random.random())
    net = Network(loop, Link(split=0.5))
    total = 0

    async def client(n: int) -> None:
        nonlocal total
        for _ in range(6):
            await asyncio.sleep(chance.random())
            try:
                async with asyncio.timeout(0.5):
                    caller = await connected(net, [], f"s{chance.randrange(5)}")
                    caller.transport.write(b"x" * chance.randrange(1, 300))
                    total += len(await caller.have(100))
                    caller.transport.close()
            except (TimeoutError, OSError):
                pass

    async def inject_faults() -> None:
        for n in range(8):
            await asyncio.sleep(chance.random())
            net.crash(f"s{n % 5}")
            net.partitions ^= {frozenset(("client", f"s{(n + 2) % 5}"))}

    await asyncio.gather(inject_faults(), *(client(n) for n in range(20)))
    return total


def test_the_same_seed_gives_the_same_trace_in_two_processes_under_any_hash_seed() -> None:
    def run(seed: int, hashes: str) -> str:
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT.format(root=str(ROOT)), str(seed)],
            env={**os.environ, "PYTHONHASHSEED": hashes},
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
        )
        return done.stdout

    first = run(7, "1")
    assert first == run(7, "2") == run(7, "random")
    assert first != run(8, "1") and int(first.split()[1]) > 1000


def test_different_runs_have_different_traces() -> None:
    traces = {run_loop(echo_traffic, seed)[1].trace for seed in range(6)}
    assert len(traces) == 6
    _, loop = run_loop(echo_traffic, 2)
    before = loop.trace
    loop.record_trace("something")
    assert loop.trace != before
