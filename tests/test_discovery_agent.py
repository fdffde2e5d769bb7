"""The fake discovery agent while it is down, and after its caller has disconnected."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from hollybay.testbed.discovery_agent import DiscoveryAgent
from hollybay.testbed.fake_environment import KINDS
from hollybay.testbed.fake_server import FakeServer
from hollybay.testbed.ledger import Ledger, RuleLimits
from hollybay.testbed.listener import read_message

WATCH = b"GET /registry/instances?index=%d&wait=5000 HTTP/1.1\r\nHost: discovery\r\n\r\n"
WHOLE = b"GET /registry/instances HTTP/1.1\r\nHost: discovery\r\n\r\n"


async def start_agent() -> tuple[DiscoveryAgent, FakeServer]:
    ledger = Ledger(RuleLimits((), 0, 0.5, 0))
    server = FakeServer("s-1", KINDS[0], ledger, lambda target, rng: 0.0)
    agent = DiscoveryAgent(ledger, [server])
    await agent.start()
    agent.publish()
    return agent, server


async def connect(agent: DiscoveryAgent) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = agent.address.partition(":")
    return await asyncio.open_connection(host, int(port))


# Guards against: an exception when a list is published after a node ended while its watch was open.
@pytest.mark.parametrize("reset", [False, True])
def test_change_is_not_written_to_a_watch_whose_caller_has_disconnected(reset: bool) -> None:
    async def play() -> list[dict[str, Any]]:
        raised: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: raised.append(context))
        agent, server = await start_agent()
        for _ in range(5):
            _, writer = await connect(agent)
            writer.write(WATCH % agent.version)
            known = agent.calls
            await agent.until(lambda known=known: agent.calls > known)  # type: ignore[misc]
            if reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()
            await asyncio.sleep(0.02)
            agent.publish(server)
            await asyncio.sleep(0.02)
        await agent.stop()
        await asyncio.sleep(0)
        return raised

    assert asyncio.run(play()) == []


# Guards against: a list in runs that are to have none, because a request for the full list got a response.
@pytest.mark.parametrize("call", [WHOLE, WATCH % 0])
def test_agent_that_is_down_does_not_respond(call: bytes) -> None:
    async def play() -> None:
        agent, _ = await start_agent()
        agent.down = True
        reader, writer = await connect(agent)
        writer.write(call)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(read_message(reader), 0.1)
        writer.transport.abort()
        _, second = await connect(agent)
        second.write(call)
        await agent.until(lambda: agent.calls == 2)
        agent.down = False
        agent.publish()
        await agent.stop()

    asyncio.run(play())
