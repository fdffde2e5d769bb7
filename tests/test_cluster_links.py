"""The effect of each link state on bytes and connections, over real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from hollybay.cluster.links import Link, LinkedListener, LinkedProtocol, LinkState

LIMIT = 10.0


class Echo(asyncio.Protocol):
    """Echoes all received data."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


def run_scenario(scenario: Callable[[Link, LinkedListener], Awaitable[None]]) -> None:
    async def run() -> None:
        link = Link()
        listener = LinkedListener(link, Echo)
        listener.open()
        try:
            async with asyncio.timeout(LIMIT):
                await scenario(link, listener)
        finally:
            listener.close()

    asyncio.run(run())


async def connect(listener: LinkedListener) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", listener.port)


async def echoed(streams: Any, data: bytes) -> bytes:
    streams[1].write(data)
    return cast(bytes, await streams[0].readexactly(len(data)))


async def silent(streams: Any) -> bool:
    """Whether nothing arrives within 0.15 s while the loop runs."""
    try:
        async with asyncio.timeout(0.15):
            await streams[0].readexactly(1)
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize(
    "state", [LinkState(cut=True), LinkState(hold=True), LinkState(lost_up=True), LinkState(lost_down=True)]
)
def test_blocked_bytes_wait_and_arrive_in_order_afterwards(state: LinkState) -> None:
    async def scenario(link: Link, listener: LinkedListener) -> None:
        streams = await connect(listener)
        assert await echoed(streams, b"one") == b"one"
        link.set_state(state)
        streams[1].write(b"two")
        await asyncio.sleep(0)
        streams[1].write(b"three")
        assert await silent(streams)
        link.set_state(LinkState())
        assert await streams[0].readexactly(8) == b"twothree"

    run_scenario(scenario)


def test_a_cut_link_leaves_new_connections_unanswered_until_it_recovers() -> None:
    async def scenario(link: Link, listener: LinkedListener) -> None:
        link.set_state(LinkState(cut=True))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await connect(listener)
        link.set_state(LinkState())
        assert await echoed(await connect(listener), b"x") == b"x"

    run_scenario(scenario)


def test_a_reset_ends_open_and_new_connections() -> None:
    async def scenario(link: Link, listener: LinkedListener) -> None:
        streams = await connect(listener)
        assert await echoed(streams, b"x") == b"x"
        link.set_state(LinkState(reset=True))
        with pytest.raises(ConnectionResetError):
            await streams[0].readexactly(1)
        again = await connect(listener)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await again[0].readexactly(1)
        link.set_state(LinkState())
        assert await echoed(await connect(listener), b"y") == b"y"
        assert len(link.connections) == 1

    run_scenario(scenario)


def test_bytes_lag_and_are_throttled() -> None:
    async def scenario(link: Link, listener: LinkedListener) -> None:
        loop = asyncio.get_running_loop()
        streams = await connect(listener)
        link.set_state(LinkState(lag=0.1))
        began = loop.time()
        assert await echoed(streams, b"x") == b"x"
        assert loop.time() - began >= 0.19  # once each way, on a clock of whole ms
        link.set_state(LinkState(rate=1000.0))
        began = loop.time()
        assert await echoed(streams, bytes(200)) == bytes(200)
        assert loop.time() - began >= 0.39

    run_scenario(scenario)


def test_a_closed_listener_refuses_connections_and_reopens_on_its_port() -> None:
    async def scenario(link: Link, listener: LinkedListener) -> None:
        port = listener.port
        listener.close()
        with pytest.raises(ConnectionRefusedError):
            await connect(listener)
        assert listener.open() == port
        assert await echoed(await connect(listener), b"x") == b"x"

    run_scenario(scenario)


def test_a_close_arrives_after_the_bytes_before_it() -> None:
    class Parting(Echo):
        def data_received(self, data: bytes) -> None:
            self.transport.write(data)
            self.transport.close()
            self.transport.write(b"never")

    async def run() -> None:
        link = Link()
        listener = LinkedListener(link, Parting)
        listener.open()
        link.set_state(LinkState(lag=0.05))
        async with asyncio.timeout(LIMIT):
            streams = await connect(listener)
            streams[1].write(b"bye")
            assert await streams[0].read() == b"bye"
        listener.close()

    asyncio.run(run())


def test_a_client_behind_a_link() -> None:
    async def scenario(link: Link, listener: LinkedListener) -> None:
        heard = asyncio.Event()

        class Client(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                heard.set()

        mine = Link()
        transport, connection = await asyncio.get_running_loop().create_connection(
            lambda: LinkedProtocol(mine, Client()), "127.0.0.1", listener.port
        )
        mine.set_state(LinkState(lost_up=True))
        connection.down.put(b"x")
        await asyncio.sleep(0.1)
        assert not heard.is_set()
        mine.set_state(LinkState())
        await heard.wait()
        transport.close()

    run_scenario(scenario)
