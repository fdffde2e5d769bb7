"""A scripted TCP server, base class of fake servers and of the fake discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["LIMIT", "OK", "Listener", "encode_ok", "read_message", "request_once", "round_trip"]

LIMIT = 20.0  # time-out (s) of every wait in tests
END_OF_HEAD = b"\r\n\r\n"


def encode_ok(body: bytes) -> bytes:
    """Encode a 200 response with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


OK = encode_ok(b"ok")


class Listener:
    """A TCP server that counts its connections; tests can wait for a condition on it.

    Attributes
    ----------
    address
        Its host and port; "" before its start.
    accepted
        Number of connections accepted.
    changed
        Set on each change that a test may wait for.
    writers
        The writers of all connections so far.
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
        """Serve one connection until it ends. Implemented by subclasses."""
        raise NotImplementedError

    def note(self) -> None:
        """Signal a change that a test may wait for."""
        self.changed.set()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition holds; it is checked after each change. Raises TimeoutError after LIMIT."""
        async with asyncio.timeout(LIMIT):
            while not holds():
                self.changed.clear()
                await self.changed.wait()

    async def stop(self) -> None:
        """Stop listening and abort the open connections."""
        if self._server is not None:
            self._server.close()
        for conversation in self._conversations:
            conversation.cancel()
        for writer in self.writers:
            writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read a head, and a body of the length given by its Content-Length.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection closed before the end of the message.
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
    """Send a request on an open connection; returns head and body of the response.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection closed before the end of the response.
    """
    writer.write(data)
    return await read_message(reader)


async def request_once(port: int, data: bytes) -> tuple[bytes, bytes]:
    """Send a request to a loopback port on a new connection; returns head and body of the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        return await round_trip(reader, writer, data)
    finally:
        writer.transport.abort()
