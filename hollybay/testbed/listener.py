"""A scripted TCP server, the base of fake servers and of a fake discovery that speak for themselves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["LIMIT", "OK", "Listener", "encode_ok", "read_message", "request_once", "round_trip"]

LIMIT = 20.0  # seconds; nothing is waited for longer: what waits then fails, it does not go on
END_OF_HEAD = b"\r\n\r\n"


def encode_ok(body: bytes) -> bytes:
    """A 200 answer with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


OK = encode_ok(b"ok")


class Listener:
    """A TCP server that keeps count of its connections and can be waited for.

    Attributes
    ----------
    address
        Where it listens, host and port; "" before its start.
    accepted
        How many connections it has accepted.
    changed
        Set whenever something has happened that a test may wait for.
    writers
        Those of all connections so far.
    """

    def __init__(self) -> None:
        self.address = ""
        self.accepted = 0
        self.changed = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self._conversations: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.append(writer)
        self.note()
        conversation = asyncio.ensure_future(self.talk(reader, writer))
        self._conversations.add(conversation)
        try:
            await conversation
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._conversations.discard(conversation)
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends. Subclasses say how."""
        raise NotImplementedError

    def note(self) -> None:
        """Something has happened that a test may wait for."""
        self.changed.set()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition holds, asked after each change. TimeoutError: not within LIMIT."""
        async with asyncio.timeout(LIMIT):
            while not holds():
                self.changed.clear()
                await self.changed.wait()

    async def stop(self) -> None:
        """Take no new connection and end the open ones."""
        if self._server is not None:
            self._server.close()
        for conversation in self._conversations:
            conversation.cancel()
        for writer in self.writers:
            writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read a head, and the body that its Content-Length tells.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection ended before that.
    """
    head = await reader.readuntil(END_OF_HEAD)
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head, await reader.readexactly(length)


async def round_trip(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
) -> tuple[bytes, bytes]:
    """Send a request on an open connection; the head and the body of its response.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection ended before that.
    """
    writer.write(data)
    return await read_message(reader)


async def request_once(port: int, data: bytes) -> tuple[bytes, bytes]:
    """Send a request on a connection of its own to a port on loopback; the head and body of its response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        return await round_trip(reader, writer, data)
    finally:
        writer.transport.abort()
