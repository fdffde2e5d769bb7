"""The admin server of a running node: requests, drained servers, the drained node, metrics, slow clients."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

from hollybay.proxy import admin_server
from hollybay.proxy.admin_service import AdminService
from hollybay.proxy.assembly import start_admin
from hollybay.proxy.config import ConfigError, load
from hollybay.testbed.loopback import (
    LIMIT,
    FakeDiscovery,
    RunningNode,
    ScriptedServer,
    read_message,
    request,
    round_trip,
    running,
    write_config,
)


@asynccontextmanager
async def running_admin_service(
    tmp_path: Path, *backends: ScriptedServer, scratch: str = ""
) -> AsyncIterator[tuple[RunningNode, AdminService, FakeDiscovery]]:
    fake_discovery = FakeDiscovery()
    async with running(tmp_path / "c.json", fake_discovery, *backends) as node:
        config = replace(node.clients.config, admin=("127.0.0.1", 0), scratch_folder=scratch)
        service = AdminService(config, node.clients, node.dispatcher)
        await service.open()
        fake_discovery.tell(*backends)
        async with asyncio.timeout(LIMIT):
            while len(service.server_drains.drains.discovered) < len(backends):
                await asyncio.sleep(0)
        node.clients.ready = True
        try:
            yield node, service, fake_discovery
        finally:
            service.close()


async def send_request(service: AdminService, line: str) -> tuple[int, bytes]:
    """Send an admin request; return the status and body of its response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", service.server.port)
    async with asyncio.timeout(LIMIT):
        data = f"{line} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode()
        head, body = await round_trip(reader, writer, data)
        assert b"connection: close" in head.lower()
        assert await reader.read() == b""
    writer.close()
    return int(head.split()[1]), body


def metrics(text: bytes) -> dict[tuple[str, str], float]:
    return {
        (sample.name.removeprefix("edge_balancer_"), sample.labels.get("class", "")): sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
    }


def test_a_drained_server_gets_no_requests_until_it_is_enabled(tmp_path: Path) -> None:
    async def scenario() -> None:
        one, two = ScriptedServer("s-1"), ScriptedServer("s-2")
        async with running_admin_service(tmp_path, one, two) as (node, service, fake_discovery):
            for n in range(20):
                assert b" 200 " in await node.ask(request(rid=f"a-{n}"))
            assert one.heads and two.heads
            assert await send_request(service, "POST /-/servers/s-1/disable") == (200, b"out\n")
            assert (await send_request(service, "POST /-/servers/s-1/disable"))[0] == 200
            before = len(one.heads)
            fake_discovery.tell(one, two)  # discovery still reports the server as ready
            await fake_discovery.until(lambda: fake_discovery.calls > 2)
            for n in range(20):
                assert b" 200 " in await node.ask(request(rid=f"b-{n}"))
            assert len(one.heads) == before
            samples = metrics((await send_request(service, "GET /-/metrics"))[1])
            assert samples["servers_known", ""] == 2 and samples["servers_excluded", ""] == 1
            # One call to enable ends the drain, although it was requested twice.
            assert (await send_request(service, "POST /-/servers/s-1/enable"))[0] == 200
            for n in range(200):
                assert b" 200 " in await node.ask(request(rid=f"c-{n}"))
                if len(one.heads) > before:
                    break
            assert len(one.heads) > before
            assert (await send_request(service, "POST /-/servers/s-9/disable"))[0] == 404
            assert (await send_request(service, "POST /-/servers/s-9/enable"))[0] == 404

    asyncio.run(scenario())


def test_drains_are_kept_across_processes_and_shared_between_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        first, second = tmp_path / "1", tmp_path / "2"
        first.mkdir()
        second.mkdir()
        shared = str(tmp_path)
        one, two = ScriptedServer("s-1"), ScriptedServer("s-2")
        async with running_admin_service(first, one, two, scratch=shared) as (_, service, _fake_discovery):
            await send_request(service, "POST /-/servers/s-1/disable")
            three, four = ScriptedServer("s-1"), ScriptedServer("s-2")
            async with running_admin_service(second, three, four, scratch=shared) as (
                node,
                second_service,
                _,
            ):
                # Both are processes of one node: they have the same name, and share the scratch folder.
                assert second_service.server_drains.drains.drained == {"s-1"}
                for n in range(20):
                    assert b" 200 " in await node.ask(request(rid=f"a-{n}"))
                assert not three.heads and four.heads
                await send_request(service, "POST /-/servers/s-2/disable")
                async with asyncio.timeout(LIMIT):
                    while second_service.server_drains.drains.drained != {"s-1", "s-2"}:
                        await asyncio.sleep(0.01)
                # An invalid file changes nothing.
                path = second_service.server_drains.drain_file.path
                assert path is not None
                path.write_bytes(b"{")
                second_service.server_drains.read_file()
                assert second_service.server_drains.drains.drained == {"s-1", "s-2"}

    asyncio.run(scenario())


def test_a_drained_node_closes_connections_until_it_is_resumed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_admin_service(tmp_path, ScriptedServer("s-1")) as (node, service, _):
            idle, idle_writer = await node.connect()
            busy, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                writer.write(request(rid="r-1"))
                assert b" 200 " in (await read_message(busy))[0]
                assert (await send_request(service, "GET /-/ready"))[0] == 200
                assert (await send_request(service, "POST /-/drain"))[0] == 200
                assert (await send_request(service, "GET /-/ready"))[0] == 503
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                assert b" 503 " in (await read_message(busy))[0]
                # Idle and used connections are closed; a request that arrives on a new one is still served.
                assert await idle.read() == b""
                assert await busy.read() == b""
                assert b"connection: close" in await node.ask(request(rid="r-2"))
                assert (await send_request(service, "POST /-/resume"))[0] == 200
                assert (await send_request(service, "GET /-/ready"))[0] == 200
                head = await node.ask(request(rid="r-3"))
                assert b" 200 " in head and b"close" not in head
            idle_writer.close()
            writer.close()

    asyncio.run(scenario())


def test_metrics_agree_with_what_clients_and_servers_observed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
            if b"/send" in head:
                writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            elif b"r-away" in head:
                writer.write(b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        server = ScriptedServer("s-1", script)
        async with running_admin_service(tmp_path, server) as (node, service, _):
            for n in range(5):
                assert b" 200 " in await node.ask(request(rid=f"r-{n}"))
            assert b" 502 " in await node.ask(request("send", rid="r-s"))
            assert b" 503 " in await node.ask(request(rid="r-away"))
            samples = metrics((await send_request(service, "GET /-/metrics"))[1])
            assert samples["served_total", "view"] == 5 and samples["served_total", "book"] == 0
            assert samples["failed_total", "send"] == 1 and samples["refused_total", "view"] == 1
            assert samples["attempts_total", ""] == len(server.heads)
            assert samples["in_flight", ""] == 0

    asyncio.run(scenario())


def test_silent_clients_do_not_block_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_admin_service(tmp_path, ScriptedServer("s-1")) as (_, service, _fake_discovery):
            silent = []
            for n in range(3 * admin_server.MAX_CONNECTIONS):
                _, writer = await asyncio.open_connection("127.0.0.1", service.server.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\n" if n % 2 else b"")
                silent.append(writer)
            assert (await send_request(service, "GET /-/ready"))[0] == 200
            assert len(service.server.connections) <= admin_server.MAX_CONNECTIONS
            for writer in silent:
                writer.close()

    asyncio.run(scenario())


def test_an_invalid_request_is_rejected_and_the_server_stays_open(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_admin_service(tmp_path, ScriptedServer("s-1")) as (_, service, _fake_discovery):
            assert (await send_request(service, "GET /-/drain"))[0] == 405
            assert (await send_request(service, "GET /nothing"))[0] == 404
            for invalid in (
                b"\x00\xff\r\n\r\n",
                b"GET / HTTP/1.1\r\n" + b"A: " + b"x" * 20_000 + b"\r\n\r\n",
            ):
                reader, writer = await asyncio.open_connection("127.0.0.1", service.server.port)
                writer.write(invalid)
                async with asyncio.timeout(LIMIT):
                    assert (await reader.read()).startswith(
                        (b"HTTP/1.1 400", b"HTTP/1.1 413", b"HTTP/1.1 431")
                    )
                writer.close()
            assert (await send_request(service, "GET /-/ready"))[0] == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("target", ["/-/ready", "/-/metrics", "/-/none"])
def test_a_head_request_gets_the_head_of_a_response(target: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_admin_service(tmp_path, ScriptedServer("s-1")) as (_, service, _):
            answers = []
            for method in ("HEAD", "GET"):
                reader, writer = await asyncio.open_connection("127.0.0.1", service.server.port)
                async with asyncio.timeout(LIMIT):
                    writer.write(f"{method} {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
                    answers.append(await reader.read())
                writer.close()
            head, _, body = answers[0].partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 ") and b"connection: close" in head.lower()
            assert body == b"" and answers[1].partition(b"\r\n\r\n")[2] != b""

    asyncio.run(scenario())


def test_the_server_list_shows_drained_servers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_admin_service(tmp_path, ScriptedServer("s-1")) as (_, service, _fake_discovery):
            await send_request(service, "POST /-/servers/s-1/disable")
            status, body = await send_request(service, "GET /-/servers")
            assert status == 200 and b'"id": "s-1"' in body and b'"disabled": true' in body

    asyncio.run(scenario())


def test_without_an_admin_address_its_modules_are_not_imported(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            config = node.clients.config
            assert config.admin is None and node.dispatcher.apply_drains is None
            assert await start_admin(config, node.clients, node.dispatcher) is None
            assert not node.clients.listener or not node.clients.listener.getsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEPORT
            )

    asyncio.run(scenario())
    code = (
        "import sys, hollybay.proxy.__main__\n"
        "mine = ('hollybay.admin', 'prometheus_client')\n"
        "print([name for name in sys.modules if name.startswith(mine)])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_an_invalid_admin_address_is_rejected_by_field(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    fake_discovery = FakeDiscovery()
    fake_discovery.address = "127.0.0.1:1"
    for admin in ("nowhere", 7, "127.0.0.1:0", "127.0.0.1:99999"):
        write_config(path, fake_discovery, admin=admin)
        with pytest.raises(ConfigError, match="^admin: "):
            load({"BALANCER_CONFIG": str(path)})
    write_config(path, fake_discovery)
    config = load({"BALANCER_CONFIG": str(path), "BALANCER_ADMIN": "127.0.0.1:19000", "TMPDIR": "/t"})
    assert config.admin == ("127.0.0.1", 19000) and config.scratch_folder == "/t"
