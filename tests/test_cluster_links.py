"""Links between two ends: what each state does to bytes and to connections, over real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from hollybay.cluster.links import Door, Link, Linked, State

LIMIT = 10.0


class Echo(asyncio.Protocol):
    """Answers each piece with the same."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


def played(scene: Callable[[Link, Door], Awaitable[None]]) -> None:
    async def run() -> None:
        link = Link()
        door = Door(link, Echo)
        door.open()
        try:
            async with asyncio.timeout(LIMIT):
                await scene(link, door)
        finally:
            door.close()

    asyncio.run(run())


async def connect(door: Door) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", door.port)


async def echoed(streams: Any, data: bytes) -> bytes:
    streams[1].write(data)
    return cast(bytes, await streams[0].readexactly(len(data)))


async def silent(streams: Any) -> bool:
    """Whether nothing comes while other work of the loop goes on."""
    try:
        async with asyncio.timeout(0.15):
            await streams[0].readexactly(1)
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize(
    "state", [State(cut=True), State(hold=True), State(lost_up=True), State(lost_down=True)]
)
def test_bytes_wait_while_they_cannot_pass_and_come_in_order_afterwards(state: State) -> None:
    async def scene(link: Link, door: Door) -> None:
        streams = await connect(door)
        assert await echoed(streams, b"one") == b"one"
        link.put(state)
        streams[1].write(b"two")
        await asyncio.sleep(0)
        streams[1].write(b"three")
        assert await silent(streams)
        link.put(State())
        assert await streams[0].readexactly(8) == b"twothree"

    played(scene)


def test_a_cut_link_leaves_new_connections_unanswered_until_it_is_sound() -> None:
    async def scene(link: Link, door: Door) -> None:
        link.put(State(cut=True))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await connect(door)
        link.put(State())
        assert await echoed(await connect(door), b"x") == b"x"

    played(scene)


def test_a_reset_ends_what_is_open_and_what_comes() -> None:
    async def scene(link: Link, door: Door) -> None:
        streams = await connect(door)
        assert await echoed(streams, b"x") == b"x"
        link.put(State(reset=True))
        with pytest.raises(ConnectionResetError):
            await streams[0].readexactly(1)
        again = await connect(door)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await again[0].readexactly(1)
        link.put(State())
        assert await echoed(await connect(door), b"y") == b"y"
        assert len(link.lines) == 1

    played(scene)


def test_bytes_lag_and_are_throttled() -> None:
    async def scene(link: Link, door: Door) -> None:
        loop = asyncio.get_running_loop()
        streams = await connect(door)
        link.put(State(lag=0.1))
        began = loop.time()
        assert await echoed(streams, b"x") == b"x"
        assert loop.time() - began >= 0.19  # once each way, on a clock of whole ms
        link.put(State(rate=1000.0))
        began = loop.time()
        assert await echoed(streams, bytes(200)) == bytes(200)
        assert loop.time() - began >= 0.39

    played(scene)


def test_a_door_that_closes_refuses_and_opens_at_its_old_port() -> None:
    async def scene(link: Link, door: Door) -> None:
        port = door.port
        door.close()
        with pytest.raises(ConnectionRefusedError):
            await connect(door)
        assert door.open() == port
        assert await echoed(await connect(door), b"x") == b"x"

    played(scene)


def test_a_goodbye_comes_after_the_bytes_before_it() -> None:
    class Parting(Echo):
        def data_received(self, data: bytes) -> None:
            self.transport.write(data)
            self.transport.close()
            self.transport.write(b"never")

    async def run() -> None:
        link = Link()
        door = Door(link, Parting)
        door.open()
        link.put(State(lag=0.05))
        async with asyncio.timeout(LIMIT):
            streams = await connect(door)
            streams[1].write(b"bye")
            assert await streams[0].read() == b"bye"
        door.close()

    asyncio.run(run())


def test_a_client_behind_a_link() -> None:
    async def scene(link: Link, door: Door) -> None:
        heard = asyncio.Event()

        class Client(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                heard.set()

        mine = Link()
        transport, line = await asyncio.get_running_loop().create_connection(
            lambda: Linked(mine, Client()), "127.0.0.1", door.port
        )
        mine.put(State(lost_up=True))
        line.down.put(b"x")
        await asyncio.sleep(0.1)
        assert not heard.is_set()
        mine.put(State())
        await heard.wait()
        transport.close()

    played(scene)
