"""Hollow nodes are to their keepers what real nodes are: the same messages, the same bytes."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import pytest

from hollybay.admin.requests import AdminRequest
from hollybay.admin.responses import AdminResponse
from hollybay.consensus import messages
from hollybay.hollow.fleet import FleetError, fleet
from hollybay.hollow.messages import Report, ReportNow, Reset, decode_command
from hollybay.hollow.node import HollowNode
from hollybay.hollow.traffic_meter import Conversation, MeteredLoop
from hollybay.proxy.admin_client import call_policy
from hollybay.testbed.loopback import LIMIT, FakeDiscovery, settings
from hollybay.units import MS

LEASE_MS = 3_000
ROOT = Path(__file__).resolve().parents[1]
T = TypeVar("T")


def played(work: Callable[[MeteredLoop], Coroutine[Any, Any, T]]) -> T:
    """Run on a loop that counts."""
    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, MeteredLoop)
        return runner.run(work(loop))


# What keepers hear of a node, and what a node answers them


@dataclass
class Heard:
    """Of one node: its calls, and its answers to calls of keepers, as bytes without what must differ."""

    calls: set[bytes] = field(default_factory=set)
    answers: set[tuple[bytes, bytes]] = field(default_factory=set)


def normalised(data: bytes, name: str, addresses: list[str]) -> bytes:
    """Without names, addresses, and the numbers that each process draws or counts for itself."""
    for address in addresses:
        data = data.replace(address.encode(), b"ADDRESS")
    data = data.replace(f"hollybay {name}".encode(), b"hollybay NAME")
    data = data.replace(f'"name":"{name}"'.encode(), b'"name":"NAME"')
    data = re.sub(rb"(?i)(content-length: )\d+", rb"\g<1>N", data)
    return re.sub(rb'"ask":\[\d+,\d+,', b'"ask":[PROCESS,TURN,', data)


def heard_of(name: str, address: str, keepers: list[str], conversations: list[Conversation]) -> Heard:
    """What these conversations of keepers hold of a node."""
    found = Heard()
    addresses = [address, *keepers]
    for one in conversations:
        if not one.received or not one.sent:
            continue
        if one.opened and f"Host: {address}\r\n".encode() in bytes(one.sent):
            # Which of the keepers told is chance.
            request = re.sub(rb"hollybay k\d", b"hollybay KEEPER", bytes(one.sent))
            answer = bytes(one.received)
            found.answers.add((normalised(request, name, addresses), normalised(answer, name, addresses)))
        elif not one.opened and f"User-Agent: hollybay {name}\r\n".encode() in bytes(one.received):
            found.calls.add(normalised(bytes(one.received), name, addresses))
    return found


def kinds(heard: Heard) -> set[str]:
    """The targets of the calls."""
    return {one.split(b" ")[1].decode() for one in heard.calls}


# One run: three keepers, and nodes of each kind


class ShortLease(HollowNode):
    """Planted: asks for another lease than it was told to."""

    def __init__(self, name: str, folder: Path) -> None:
        super().__init__(name, folder, (LEASE_MS - 1) * MS, 1)


class NoNews(HollowNode):
    """Planted: does not take news from keepers, and hears of a change when it renews."""

    def _answer(self, request: AdminRequest) -> AdminResponse | Awaitable[AdminResponse]:
        return (
            AdminResponse.text(404, "no such call")
            if request.policy_path == "know"
            else super()._answer(request)
        )


class NoFetch(HollowNode):
    """Planted: fetches policies under another name."""

    async def _call(self, door: str, path: str, body: bytes | None, limit: float) -> bytes:
        if path.startswith(("since/", "snapshot/")):
            return await call_policy(door, path, body, limit, "somebody")
        return await super()._call(door, path, body, limit)


def free_address() -> str:
    """An address on which nothing listens, of a part of the loopback that only this test uses."""
    with socket.socket() as one:
        one.bind(("127.78.0.1", 0))
        return f"127.78.0.1:{one.getsockname()[1]}"


@asynccontextmanager
async def real_node(folder: Path, address: str, keepers: list[str]) -> AsyncIterator[None]:
    """A real node in a process of its own, named real."""
    fake_discovery = FakeDiscovery()
    await fake_discovery.start()
    fake_discovery.tell()
    config = {
        "name": "real", "listen": free_address(), "discovery": fake_discovery.address, "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": settings(), "admin": address,
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text(
        f'[accord]\nkeepers = {json.dumps(keepers)}\nfolder = "{folder}"\nlease = "{LEASE_MS}ms"\n'
    )
    environ = os.environ | {
        "BALANCER_CONFIG": str(folder / "config.json"),
        "HOLLYBAY_OPERATOR": str(folder / "operator.toml"),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "hollybay.proxy", env=environ, cwd=ROOT, stderr=asyncio.subprocess.DEVNULL
    )
    try:
        yield
    finally:
        process.kill()
        await process.wait()
        await fake_discovery.stop()


@asynccontextmanager
async def hollow_process(folder: Path, keepers: list[str]) -> AsyncIterator[str]:
    """One hollow node in a process of its own, started by the command; its address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "hollybay.hollow", "--folder", str(folder), "--lease-ms", str(LEASE_MS),
        "--host", "127.79.0.1", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, cwd=ROOT,
    )  # fmt: skip
    assert process.stdin is not None and process.stdout is not None
    try:
        address = json.loads(await process.stdout.readline())["addresses"][0]
        process.stdin.write(json.dumps({"type": "start", "keepers": keepers}).encode() + b"\n")
        assert json.loads(await process.stdout.readline()) is True
        yield address
    finally:
        with contextlib.suppress(ConnectionError):
            process.stdin.close()
        assert await process.wait() == 0


async def serve_epoch(keepers: list[HollowNode], names: set[str], epoch: int) -> None:
    """Wait until all keepers have heard of each of these nodes that it serves under an epoch."""
    async with asyncio.timeout(4 * LIMIT):
        while True:
            serving = []
            for keeper in keepers:
                assert keeper.service is not None and keeper.service.acceptor is not None
                members = keeper.service.acceptor.reports.members.values()
                serving.append({one.name for one in members if one.serving_epoch >= epoch})
            if all(names <= one for one in serving):
                return
            await asyncio.sleep(0.02)


async def proposed(keeper: HollowNode, out: list[str]) -> None:
    status = msgspec.json.decode(await call_policy(keeper.address, "", None, LIMIT))
    body = messages.encode(messages.ProposeCall(None, status["keeper"]["digest"], "why", "me", out))
    await call_policy(keeper.address, "propose", body, LIMIT)


async def one_run(loop: MeteredLoop, folder: Path) -> dict[str, Heard]:
    """What keepers heard of each kind of node in a run with two changes."""
    loop.traffic.conversations = []
    keepers = [HollowNode(f"k{n}", folder / "keepers", LEASE_MS * MS, 1) for n in range(3)]
    addresses = [await keeper.listen("127.0.0.1") for keeper in keepers]
    for keeper in keepers:
        await keeper.start(tuple(addresses))
    await call_policy(
        addresses[0],
        "found",
        messages.encode(messages.BootstrapCall(file=base64.b64encode(b"").decode())),
        LIMIT,
    )
    planted: list[HollowNode] = [
        ShortLease("short-lease", folder / "planted"),
        NoNews("no-news", folder / "planted", LEASE_MS * MS, 1),
        NoFetch("no-fetch", folder / "planted", LEASE_MS * MS, 1),
    ]
    doors = {"real": free_address()}
    (folder / "real").mkdir()
    async with (
        real_node(folder / "real", doors["real"], addresses),
        hollow_process(folder, addresses) as door,
    ):
        doors["hollow0000"] = door
        for node in planted:
            doors[node.name] = await node.listen("127.0.0.1")
            await node.start(tuple(addresses))
        await serve_epoch(keepers, set(doors), 0)
        for number in (1, 2):
            await proposed(keepers[0], [f"s-{number}"])
            await serve_epoch(keepers, set(doors), 3 * number)
        for node in [*planted, *keepers]:
            node.close()
    return {name: heard_of(name, at, addresses, loop.traffic.conversations) for name, at in doors.items()}


def test_a_hollow_node_is_to_its_keepers_what_a_real_one_is(tmp_path: Path) -> None:
    heard = played(lambda loop: one_run(loop, tmp_path))
    real, hollow = heard["real"], heard["hollow0000"]
    assert kinds(real) >= {"/-/policy/ask"} and len(kinds(real)) == 4, kinds(real)  # and three policies
    assert len(real.calls) >= 10 and real.answers
    assert real.calls == hollow.calls
    assert real.answers == hollow.answers
    # What was planted is found.
    assert heard["short-lease"].calls != real.calls and heard["short-lease"].answers == real.answers
    assert heard["no-news"].answers != real.answers
    assert kinds(heard["no-fetch"]) == {"/-/policy/ask"}


# Many of them in a process


def test_many_nodes_hold_leases_take_in_a_change_and_fall_silent(tmp_path: Path) -> None:
    async def play(loop: MeteredLoop) -> None:
        async with fleet(tmp_path, 12, LEASE_MS, nodes_per_process=6) as running:
            assert len({one for member in running.nodes for one in member.addresses}) == 12
            await running.reset()
            version, began = await running.change(["s-1"])
            reports = await running.until(lambda one: len(one.in_force_ns) == one.nodes, version)
            assert [one.nodes for one in reports] == [1, 1, 1, 6, 6]
            assert all(at > began for one in reports for at in one.in_force_ns)
            assert all(one.cpu_s > 0 and one.bytes_sent > 0 and not one.problems for one in reports), reports
            keepers, nodes = reports[:3], reports[3:]
            # Each node calls each keeper at least twice for each of three epochs, as no lease ran out.
            assert all(one.calls_out >= 6 * 18 for one in nodes), nodes
            assert all(one.calls_in >= 12 * 6 for one in keepers), keepers
            assert all(4 < one.segments_each < 40 for one in nodes), nodes
            assert await running.silence(0.5) == 6
            version, _ = await running.change(["s-2"])
            reports = await running.until(lambda one: len(one.in_force_ns) == one.nodes, version)
            assert [one.nodes for one in reports] == [1, 1, 1, 3, 3]

    played(play)


def test_a_fleet_without_its_process_says_so(tmp_path: Path) -> None:
    async def play(loop: MeteredLoop) -> None:
        with pytest.raises(FleetError, match="ended with"):
            async with fleet(tmp_path, 1, LEASE_MS, nodes_per_process=1) as running:
                await running.nodes[0].end()
                await running.reports()

    played(play)


def test_commands_that_are_none_end_a_process_of_hollow_nodes(tmp_path: Path) -> None:
    assert isinstance(decode_command(b'{"type": "reset"}'), Reset)
    assert decode_command(b'{"type": "report", "version": 7}') == ReportNow(7)
    for line in (b"{}", b"[", b'{"type": "nothing"}', b'{"type": "silence", "nodes": "all"}'):
        with pytest.raises(msgspec.DecodeError):
            decode_command(line)
    command = [sys.executable, "-m", "hollybay.hollow", "--folder", str(tmp_path)]
    done = subprocess.run(command, input=b"nothing\n", capture_output=True, timeout=LIMIT, check=False)
    assert done.returncode and Report.__struct_fields__[0] == "nodes"
