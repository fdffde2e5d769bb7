"""Discovery with invalid or immediate responses: the current list stays in force, and the watch continues."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from hollybay.proxy.discovery import NO_CHANGE_PAUSE_S
from hollybay.proxy.discovery_list import DiscoveryUpdate
from hollybay.testbed.loopback import FakeDiscovery, ScriptedServer, read_message, request, running, settings


class ScriptedDiscovery(FakeDiscovery):
    """Responds with its list once, then with the responses of a script, then with its list again."""

    def __init__(self, *script: bytes) -> None:
        super().__init__()
        self.script = list(script)

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            self.calls += 1
            self.note()
            body = json.dumps({"version": self.version, "full": True, "servers": self.lines}).encode()
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            if self.calls > 1 and self.script:
                response = self.script.pop(0)
            writer.write(response)


def ok_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


INVALID_RESPONSES = {
    "noise": b"\x00\xff\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}",
    "no JSON": ok_response(b'{"version":'),
    "no list": ok_response(b"[]"),
    "deep": ok_response(b"[" * 100_000),
    "a state nobody knows": ok_response(
        b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"127.0.0.1:1","state":"LOST"}]}'
    ),
    "no address": ok_response(
        b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"x","state":"SERVING"}]}'
    ),
    "senseless numbers": ok_response(
        b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"127.0.0.1:1","state":"SERVING",'
        b'"weight":NaN,"cell":1e999}]}'
    ),
    "a list as zone": ok_response(
        b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"127.0.0.1:1","state":"SERVING","zone":[]}]}'
    ),
    "an error": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("kind", INVALID_RESPONSES)
def test_an_invalid_response_has_no_effect_and_the_watch_continues(kind: str, tmp_path: Path) -> None:
    async def play() -> None:
        fake_discovery, server = ScriptedDiscovery(INVALID_RESPONSES[kind]), ScriptedServer("s-1")
        async with running(tmp_path / "c.json", fake_discovery, server) as node:
            await fake_discovery.until(lambda: fake_discovery.calls >= 3)
            assert list(node.dispatcher.balancer.servers) == ["s-1"]
            assert b" 200 " in await node.ask(request())

    asyncio.run(play())


def test_a_discovery_that_does_not_wait_is_not_polled_in_a_busy_loop(tmp_path: Path) -> None:
    async def play() -> None:
        fake_discovery = ScriptedDiscovery()
        async with running(tmp_path / "c.json", fake_discovery, ScriptedServer("s-1")):
            loop = asyncio.get_running_loop()
            calls, started_at = fake_discovery.calls, loop.time()
            await fake_discovery.until(lambda: fake_discovery.calls >= calls + 4)
            assert loop.time() - started_at >= 2 * NO_CHANGE_PAUSE_S

    asyncio.run(play())


def test_a_node_without_any_list_polls_until_one_arrives(tmp_path: Path) -> None:
    """In on-demand mode the balancer starts to watch only when it has a list, so the client must start it."""

    async def play() -> None:
        fake_discovery = ScriptedDiscovery(INVALID_RESPONSES["an error"])
        fake_discovery.calls = 1  # so that the script already applies to the first call
        on_demand = settings(**{"membership-mode": "subscribe"})
        async with running(
            tmp_path / "c.json", fake_discovery, ScriptedServer("s-1"), settings=on_demand
        ) as node:
            assert fake_discovery.calls >= 3
            assert b" 200 " in await node.ask(request())

    asyncio.run(play())


def test_an_error_while_a_list_is_applied_does_not_end_the_watch(tmp_path: Path) -> None:
    """Guards against a node that keeps its old list for ever, as the task of its watch has ended."""

    async def play() -> None:
        fake_discovery, first, second = FakeDiscovery(), ScriptedServer("s-1"), ScriptedServer("s-2")
        async with running(tmp_path / "c.json", fake_discovery, first, second) as node:
            await node.until(lambda: "s-2" in node.dispatcher.balancer.servers)
            apply, failures = node.dispatcher.apply_update, 0

            def fail_twice(update: DiscoveryUpdate) -> None:
                nonlocal failures
                failures += 1
                if failures <= 2:
                    raise LookupError("an error of the node")
                apply(update)

            node.dispatcher.apply_update = fail_twice  # type: ignore[method-assign]
            fake_discovery.tell(first)
            await node.until(lambda: list(node.dispatcher.balancer.servers) == ["s-1"])
            assert failures >= 3
            assert b" 200 " in await node.ask(request())

    asyncio.run(play())
