"""Discovery that answers nonsense or does not wait: the list in force stays, and the watch goes on."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from hollybay.proxy.discovery import NO_CHANGE_PAUSE_S
from hollybay.testbed.loopback import FakeDiscovery, ScriptedServer, read_message, request, running, settings


class Scripted(FakeDiscovery):
    """Gives its list once, then what the script holds, then its list again."""

    def __init__(self, *script: bytes) -> None:
        super().__init__()
        self.script = list(script)

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            self.calls += 1
            self.note()
            body = json.dumps({"version": self.version, "full": True, "servers": self.lines}).encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            if self.calls > 1 and self.script:
                answer = self.script.pop(0)
            writer.write(answer)


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


NONSENSE = {
    "noise": b"\x00\xff\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}",
    "no JSON": answer(b'{"version":'),
    "no list": answer(b"[]"),
    "deep": answer(b"[" * 100_000),
    "a state nobody knows": answer(
        b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"127.0.0.1:1","state":"LOST"}]}'
    ),
    "no address": answer(b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"x","state":"SERVING"}]}'),
    "senseless numbers": answer(
        b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"127.0.0.1:1","state":"SERVING",'
        b'"weight":NaN,"cell":1e999}]}'
    ),
    "a list as zone": answer(
        b'{"version":9,"full":true,"servers":[{"id":"s-9","addr":"127.0.0.1:1","state":"SERVING","zone":[]}]}'
    ),
    "an error": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("kind", NONSENSE)
def test_nonsense_changes_nothing_and_the_watch_goes_on(kind: str, tmp_path: Path) -> None:
    async def play() -> None:
        fake_discovery, server = Scripted(NONSENSE[kind]), ScriptedServer("s-1")
        async with running(tmp_path / "c.json", fake_discovery, server) as node:
            await fake_discovery.until(lambda: fake_discovery.calls >= 3)
            assert list(node.dispatcher.balancer.servers) == ["s-1"]
            assert b" 200 " in await node.ask(request())

    asyncio.run(play())


def test_a_discovery_that_does_not_wait_is_not_polled_without_a_pause(tmp_path: Path) -> None:
    async def play() -> None:
        fake_discovery = Scripted()
        async with running(tmp_path / "c.json", fake_discovery, ScriptedServer("s-1")):
            loop = asyncio.get_running_loop()
            seen, began = fake_discovery.calls, loop.time()
            await fake_discovery.until(lambda: fake_discovery.calls >= seen + 4)
            assert loop.time() - began >= 2 * NO_CHANGE_PAUSE_S

    asyncio.run(play())


def test_a_node_without_any_list_polls_until_one_arrives(tmp_path: Path) -> None:
    """On demand the balancer watches once it has a list: with none from before it never would."""

    async def play() -> None:
        fake_discovery = Scripted(NONSENSE["an error"])
        fake_discovery.calls = 1  # the first call meets the script
        on_demand = settings(**{"membership-mode": "subscribe"})
        async with running(
            tmp_path / "c.json", fake_discovery, ScriptedServer("s-1"), settings=on_demand
        ) as node:
            assert fake_discovery.calls >= 3
            assert b" 200 " in await node.ask(request())

    asyncio.run(play())
