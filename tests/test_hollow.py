"""Hollow nodes exchange the same messages with their voters as real nodes do, byte for byte."""

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


def run_metered(work: Callable[[MeteredLoop], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on a metered loop."""
    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, MeteredLoop)
        return runner.run(work(loop))


# Traffic between voters and a node


@dataclass
class NodeTraffic:
    """A node's requests to voters, and the voters' requests to it with its replies; all normalised."""

    calls: set[bytes] = field(default_factory=set)
    replies: set[tuple[bytes, bytes]] = field(default_factory=set)


def normalised(data: bytes, name: str, addresses: list[str]) -> bytes:
    """Replace names, addresses, and numbers that each process draws or counts itself."""
    for address in addresses:
        data = data.replace(address.encode(), b"ADDRESS")
    data = data.replace(f"hollybay {name}".encode(), b"hollybay NAME")
    data = data.replace(f'"name":"{name}"'.encode(), b'"name":"NAME"')
    data = re.sub(rb"(?i)(content-length: )\d+", rb"\g<1>N", data)
    return re.sub(rb'"ask":\[\d+,\d+,', b'"ask":[PROCESS,TURN,', data)


def traffic_of(name: str, address: str, voters: list[str], conversations: list[Conversation]) -> NodeTraffic:
    """Extract a node's traffic from the conversations of the voters."""
    traffic = NodeTraffic()
    addresses = [address, *voters]
    for conversation in conversations:
        if not conversation.received or not conversation.sent:
            continue
        if conversation.opened and f"Host: {address}\r\n".encode() in bytes(conversation.sent):
            # Which voter sent the request varies from run to run.
            request = re.sub(rb"hollybay k\d", b"hollybay KEEPER", bytes(conversation.sent))
            reply = bytes(conversation.received)
            traffic.replies.add((normalised(request, name, addresses), normalised(reply, name, addresses)))
        elif not conversation.opened and f"User-Agent: hollybay {name}\r\n".encode() in bytes(
            conversation.received
        ):
            traffic.calls.add(normalised(bytes(conversation.received), name, addresses))
    return traffic


def targets(traffic: NodeTraffic) -> set[str]:
    """The request targets of a node's calls."""
    return {call.split(b" ")[1].decode() for call in traffic.calls}


# A run with three voters and nodes of each kind


class WrongLease(HollowNode):
    """Defect: requests a lease of another duration than configured."""

    def __init__(self, name: str, folder: Path) -> None:
        super().__init__(name, folder, (LEASE_MS - 1) * MS, 1)


class IgnoresNotices(HollowNode):
    """Defect: rejects notices of voters, and learns of a change only when it renews its lease."""

    def _answer(self, request: AdminRequest) -> AdminResponse | Awaitable[AdminResponse]:
        return (
            AdminResponse.text(404, "no such call")
            if request.policy_path == "know"
            else super()._answer(request)
        )


class FetchesUnderOtherName(HollowNode):
    """Defect: fetches policies under another name."""

    async def _call(self, address: str, path: str, body: bytes | None, limit: float) -> bytes:
        if path.startswith(("since/", "snapshot/")):
            return await call_policy(address, path, body, limit, "somebody")
        return await super()._call(address, path, body, limit)


def free_address() -> str:
    """A free address, on a part of the loopback network that only this test uses."""
    with socket.socket() as one:
        one.bind(("127.78.0.1", 0))
        return f"127.78.0.1:{one.getsockname()[1]}"


@asynccontextmanager
async def real_node(folder: Path, address: str, voters: list[str]) -> AsyncIterator[None]:
    """Run a real node in its own process, with the name "real"."""
    fake_discovery = FakeDiscovery()
    await fake_discovery.start()
    fake_discovery.tell()
    config = {
        "name": "real", "listen": free_address(), "discovery": fake_discovery.address, "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": settings(), "admin": address,
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text(
        f'[accord]\nkeepers = {json.dumps(voters)}\nfolder = "{folder}"\nlease = "{LEASE_MS}ms"\n'
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
async def hollow_process(folder: Path, voters: list[str]) -> AsyncIterator[str]:
    """Run a hollow node in its own process by the command; yields its address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "hollybay.hollow", "--folder", str(folder), "--lease-ms", str(LEASE_MS),
        "--host", "127.79.0.1", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, cwd=ROOT,
    )  # fmt: skip
    assert process.stdin is not None and process.stdout is not None
    try:
        address = json.loads(await process.stdout.readline())["addresses"][0]
        process.stdin.write(json.dumps({"type": "start", "keepers": voters}).encode() + b"\n")
        assert json.loads(await process.stdout.readline()) is True
        yield address
    finally:
        with contextlib.suppress(ConnectionError):
            process.stdin.close()
        assert await process.wait() == 0


async def wait_for_epoch(voters: list[HollowNode], names: set[str], epoch: int) -> None:
    """Wait until each of these nodes has reported to all voters that it serves under an epoch, or a later."""
    async with asyncio.timeout(4 * LIMIT):
        while True:
            serving = []
            for voter in voters:
                assert voter.service is not None and voter.service.acceptor is not None
                members = voter.service.acceptor.reports.members.values()
                serving.append({member.name for member in members if member.serving_epoch >= epoch})
            if all(names <= reported for reported in serving):
                return
            await asyncio.sleep(0.02)


async def propose(voter: HollowNode, out: list[str]) -> None:
    status = msgspec.json.decode(await call_policy(voter.address, "", None, LIMIT))
    body = messages.encode(messages.ProposeCall(None, status["keeper"]["digest"], "why", "me", out))
    await call_policy(voter.address, "propose", body, LIMIT)


async def record_run(loop: MeteredLoop, folder: Path) -> dict[str, NodeTraffic]:
    """The traffic of voters with each kind of node, in a run with two changes."""
    loop.traffic.conversations = []
    voters = [HollowNode(f"k{n}", folder / "voters", LEASE_MS * MS, 1) for n in range(3)]
    addresses = [await voter.listen("127.0.0.1") for voter in voters]
    for voter in voters:
        await voter.start(tuple(addresses))
    await call_policy(
        addresses[0],
        "found",
        messages.encode(messages.BootstrapCall(file=base64.b64encode(b"").decode())),
        LIMIT,
    )
    planted: list[HollowNode] = [
        WrongLease("wrong-lease", folder / "planted"),
        IgnoresNotices("ignores-notices", folder / "planted", LEASE_MS * MS, 1),
        FetchesUnderOtherName("other-name", folder / "planted", LEASE_MS * MS, 1),
    ]
    nodes = {"real": free_address()}
    (folder / "real").mkdir()
    async with (
        real_node(folder / "real", nodes["real"], addresses),
        hollow_process(folder, addresses) as hollow_address,
    ):
        nodes["hollow0000"] = hollow_address
        for node in planted:
            nodes[node.name] = await node.listen("127.0.0.1")
            await node.start(tuple(addresses))
        await wait_for_epoch(voters, set(nodes), 0)
        for number in (1, 2):
            await propose(voters[0], [f"s-{number}"])
            await wait_for_epoch(voters, set(nodes), 3 * number)
        for node in [*planted, *voters]:
            node.close()
    return {name: traffic_of(name, at, addresses, loop.traffic.conversations) for name, at in nodes.items()}


def test_hollow_node_exchanges_the_same_messages_with_voters_as_a_real_node(tmp_path: Path) -> None:
    traffic = run_metered(lambda loop: record_run(loop, tmp_path))
    real, hollow = traffic["real"], traffic["hollow0000"]
    # Requests for leases, and fetches of three policies.
    assert targets(real) >= {"/-/policy/ask"} and len(targets(real)) == 4, targets(real)
    assert len(real.calls) >= 10 and real.replies
    assert real.calls == hollow.calls
    assert real.replies == hollow.replies
    # Each planted defect is found.
    assert traffic["wrong-lease"].calls != real.calls and traffic["wrong-lease"].replies == real.replies
    assert traffic["ignores-notices"].replies != real.replies
    assert targets(traffic["other-name"]) == {"/-/policy/ask"}


# Many nodes in a process


def test_many_nodes_hold_leases_apply_a_change_and_stop_without_notice(tmp_path: Path) -> None:
    async def play(loop: MeteredLoop) -> None:
        async with fleet(tmp_path, 12, LEASE_MS, nodes_per_process=6) as running:
            assert len({address for process in running.nodes for address in process.addresses}) == 12
            await running.reset()
            version, began = await running.change(["s-1"])
            reports = await running.until(lambda one: len(one.in_force_ns) == one.nodes, version)
            assert [one.nodes for one in reports] == [1, 1, 1, 6, 6]
            assert all(at > began for one in reports for at in one.in_force_ns)
            assert all(one.cpu_s > 0 and one.bytes_sent > 0 and not one.problems for one in reports), reports
            voters, nodes = reports[:3], reports[3:]
            # No lease has expired, so each node calls each voter at least twice for each of three epochs.
            assert all(one.calls_out >= 6 * 18 for one in nodes), nodes
            assert all(one.calls_in >= 12 * 6 for one in voters), voters
            assert all(4 < one.segments_each < 40 for one in nodes), nodes
            assert await running.silence(0.5) == 6
            version, _ = await running.change(["s-2"])
            reports = await running.until(lambda one: len(one.in_force_ns) == one.nodes, version)
            assert [one.nodes for one in reports] == [1, 1, 1, 3, 3]

    run_metered(play)


def test_call_to_an_ended_process_raises_an_error(tmp_path: Path) -> None:
    async def play(loop: MeteredLoop) -> None:
        with pytest.raises(FleetError, match="ended with"):
            async with fleet(tmp_path, 1, LEASE_MS, nodes_per_process=1) as running:
                await running.nodes[0].end()
                await running.reports()

    run_metered(play)


def test_invalid_command_ends_a_process_of_hollow_nodes(tmp_path: Path) -> None:
    assert isinstance(decode_command(b'{"type": "reset"}'), Reset)
    assert decode_command(b'{"type": "report", "version": 7}') == ReportNow(7)
    for line in (b"{}", b"[", b'{"type": "nothing"}', b'{"type": "silence", "nodes": "all"}'):
        with pytest.raises(msgspec.DecodeError):
            decode_command(line)
    command = [sys.executable, "-m", "hollybay.hollow", "--folder", str(tmp_path)]
    done = subprocess.run(command, input=b"nothing\n", capture_output=True, timeout=LIMIT, check=False)
    assert done.returncode and Report.__struct_fields__[0] == "nodes"
