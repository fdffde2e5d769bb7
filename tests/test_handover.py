"""Two processes of one node on one address: distribution of new connections, and upgrades under load."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import Counter
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path

from hollybay.proxy.config import Config
from hollybay.proxy.downstream.service_state import CLOSING_STATES
from hollybay.proxy.handover import ListenerGroup
from hollybay.proxy.shutdown import shut_down_gracefully
from hollybay.testbed.loopback import (
    LIMIT,
    FakeDiscovery,
    Listener,
    ScriptedServer,
    read_message,
    request,
    running,
    write_config,
)
from hollybay.testbed.reserved_port import reserved_port


def test_files_of_dead_processes_are_removed_and_do_not_count(tmp_path: Path) -> None:
    one, two, three = (ListenerGroup(tmp_path, "node") for _ in range(3))
    assert one.count_others() == 0
    one.join()
    two.join()
    assert (one.count_others(), two.count_others(), three.count_others()) == (1, 1, 2)
    assert ListenerGroup(tmp_path, "another").count_others() == 0
    assert two._lock is not None
    os.close(two._lock)  # as when its process is killed
    two._lock = None
    assert one.count_others() == 0 and len(list(tmp_path.iterdir())) == 1
    one.leave()
    assert three.count_others() == 0 and not list(tmp_path.iterdir())


def test_without_a_folder_no_other_process_is_known() -> None:
    group = ListenerGroup(None, "node")
    group.join()
    assert group.count_others() == 0
    group.leave()


def test_the_new_process_gets_all_new_connections_and_the_old_one_loses_none(tmp_path: Path) -> None:
    async def play() -> None:
        old_group, new_group = ListenerGroup(tmp_path, "node"), ListenerGroup(tmp_path, "node")
        first, second = ScriptedServer("s-1"), ScriptedServer("s-1")
        (tmp_path / "1").mkdir()
        (tmp_path / "2").mkdir()

        def shared(config: Config) -> Config:
            return replace(config, admin=("127.0.0.1", 0))

        async with running(tmp_path / "1" / "c.json", FakeDiscovery(), first, adjust=shared) as old:
            old_group.join()
            old.clients.ready = True
            old_reader, old_writer = await old.connect()
            old_writer.write(request(rid="k-1"))
            assert b" 200 " in (await read_message(old_reader))[0]

            def new_config(config: Config) -> Config:
                return replace(shared(config), listen=("127.0.0.1", old.port))

            async with running(tmp_path / "2" / "c.json", FakeDiscovery(), second, adjust=new_config) as new:
                assert new.port == old.port
                assert new.clients.listener is not None
                assert new_group.take_new_connections(new.clients.listener, new_group.count_others())
                new_group.join()
                draining = asyncio.ensure_future(
                    shut_down_gracefully(
                        old.clients, old.dispatcher, accept_period_s=0.0, listener_group=old_group
                    )
                )
                async with asyncio.timeout(LIMIT):
                    while old.clients.service_state not in CLOSING_STATES:
                        await asyncio.sleep(0)
                    # The old process still serves its connections and closes each of them after a response.
                    # The node stays ready all the time.
                    old_writer.write(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                    head, _ = await read_message(old_reader)
                    assert b" 200 " in head and b"connection: close" in head
                    for n in range(50):
                        assert b" 200 " in await new.ask(request(rid=f"r-{n}"))
                    await draining
                assert (len(first.heads), len(second.heads)) == (1, 50)
                assert old.clients.listener is None
                for n in range(20):
                    assert b" 200 " in await new.ask(request(rid=f"q-{n}"))
            old_writer.close()

    asyncio.run(play())


class NodeProcess:
    """Process that runs `python -m hollybay.proxy`, as the platform starts it."""

    def __init__(self, config: Path, folder: Path) -> None:
        self.environ = {**os.environ, "BALANCER_CONFIG": str(config), "TMPDIR": str(folder)}
        self.log_lines: list[str] = []

    async def start(self, *until: str) -> bool:
        """Start the process and wait until it logs one of the texts; False if it exits before that."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hollybay.proxy", env=self.environ, stderr=asyncio.subprocess.PIPE
        )
        assert self.process.stderr is not None
        async with asyncio.timeout(LIMIT):
            while line := (await self.process.stderr.readline()).decode():
                self.log_lines.append(line)
                if any(text in line for text in until):
                    return True
        return False

    async def end(self, number: signal.Signals) -> int:
        self.process.send_signal(number)
        async with asyncio.timeout(LIMIT):
            _, rest = await self.process.communicate()
        self.log_lines += rest.decode().splitlines()
        assert self.process.returncode is not None
        return self.process.returncode


class LoadClient:
    """Client that sends successive unsafe requests on a kept-alive connection, and counts the statuses."""

    def __init__(self, port: int, name: str) -> None:
        self.port = port
        self.name = name
        self.statuses: Counter[int] = Counter()
        self.number = 0
        self.stop = False

    async def run(self) -> None:
        streams = None
        while not self.stop:
            self.number += 1
            data = request("send", rid=f"{self.name}-{self.number}")
            while True:
                if streams is None:
                    streams = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    async with asyncio.timeout(LIMIT):
                        streams[1].write(data)
                        head, _ = await read_message(streams[0])
                except (ConnectionError, asyncio.IncompleteReadError) as error:
                    # A close between two requests may cross a request, which is then retried on a new
                    # connection.
                    assert not getattr(error, "partial", b"")
                    streams = None
                    continue
                break
            self.statuses[int(head.split()[1])] += 1
            if b"connection: close" in head.lower():
                streams[1].close()
                streams = None
        if streams is not None:
            streams[1].close()


async def is_ready(admin_port: int) -> bool:
    reader, writer = await asyncio.open_connection("127.0.0.1", admin_port)
    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return b" 200 " in head


def test_upgrades_under_load_lose_no_request_even_if_a_new_process_fails(tmp_path: Path) -> None:
    """Three builds that work, one that does not start, and one that dies after it has begun to listen."""

    async def play(port: int, admins: list[int]) -> None:
        fake_discovery = FakeDiscovery()
        servers = [ScriptedServer(f"s-{n}") for n in range(4)]
        listeners: list[Listener] = [fake_discovery, *servers]
        for listener in listeners:
            await listener.start()
        fake_discovery.tell(*servers)

        def config(n: int, **changes: object) -> Path:
            path = tmp_path / f"{n}.json"
            listen, admin = f"127.0.0.1:{port}", f"127.0.0.1:{admins[n]}"
            write_config(path, fake_discovery, listen=listen, admin=admin, **changes)
            return path

        old = NodeProcess(config(0), tmp_path)
        assert await old.start("listens on")
        clients = [LoadClient(port, f"c{n}") for n in range(8)]
        load = [asyncio.ensure_future(client.run()) for client in clients]
        served_before = 0

        async def wait_for_requests(count: int) -> None:
            nonlocal served_before
            served_before = len(servers[0].heads)
            await servers[0].until(lambda: len(servers[0].heads) >= served_before + count)

        await wait_for_requests(50)
        broken = NodeProcess(config(1, seed="no number"), tmp_path)
        assert not await broken.start("listens on")
        await wait_for_requests(50)
        for n in (2, 3, 4):
            new = NodeProcess(config(n), tmp_path)
            assert await new.start("listens on")
            if n == 3:
                # It gets all new connections when it is killed; after that, the old process gets them again.
                await new.end(signal.SIGKILL)
                await wait_for_requests(50)
                continue
            async with asyncio.timeout(LIMIT):
                while not await is_ready(admins[n]):
                    await asyncio.sleep(0)
            assert await old.end(signal.SIGTERM) == 0
            assert any("0 connections left" in line for line in old.log_lines)
            old = new
            await wait_for_requests(50)
        for client in clients:
            client.stop = True
        await asyncio.gather(*load)
        assert await old.end(signal.SIGTERM) == 0
        for listener in listeners:
            await listener.stop()
        ids = Counter(
            line.split(b": ")[1]
            for server in servers
            for head in server.heads
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"x-correlation-id")
        )
        sent = sum(client.number for client in clients)
        served = sum(client.statuses[200] for client in clients)
        assert sent == sum(sum(client.statuses.values()) for client in clients)
        # No request has run twice, and each one with status 200 has run.
        assert set(ids.values()) == {1} and served <= len(ids) <= sent
        # A killed process loses at most the requests of its connections; a graceful upgrade loses none.
        assert sent - served <= len(clients)

    with ExitStack() as reserved_ports:
        port = reserved_ports.enter_context(reserved_port())
        # Admin ports of the processes, reserved so that no other test uses them meanwhile.
        admins = [reserved_ports.enter_context(reserved_port()) for _ in range(5)]
        asyncio.run(play(port, admins))
