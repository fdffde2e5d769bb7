"""A scripted TCP server, the base of stand-ins that speak for themselves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["LIMIT", "OK", "Listener", "read_message"]

LIMIT = 20.0  # seconds; nothing is waited for longer: what waits then fails, it does not go on
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Listener:
    """A TCP server that keeps count of its connections and can be waited for."""

    def __init__(self) -> None:
        self.address = ""
        self.accepted = 0
        self.changed = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.append(writer)
        self.note()
        try:
            await self.talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def note(self) -> None:
        """Something has happened that a test may wait for."""
        self.changed.set()

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT):
            while not holds():
                self.changed.clear()
                await self.changed.wait()

    async def stop(self) -> None:
        """Take no new connection and end the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """A head and the body that its Content-Length tells."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head, await reader.readexactly(length)
