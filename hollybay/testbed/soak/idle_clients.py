"""Idle clients up to a node's descriptors: they connect, say nothing, and come again when they are closed."""

from __future__ import annotations

import asyncio

__all__ = ["Crowd"]

HOST = "127.0.0.1"
RECONNECT_PAUSE_S = 0.05


class Crowd:
    """Connections on which nothing is sent.

    Parameters
    ----------
    port
        Where the node listens.
    size
        How many.
    """

    def __init__(self, port: int, size: int) -> None:
        self.port = port
        self.size = size
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Let all connect."""
        self.tasks = [asyncio.ensure_future(self._stay()) for _ in range(self.size)]

    def leave(self) -> None:
        """Let all leave."""
        for task in self.tasks:
            task.cancel()

    async def stop(self) -> None:
        """Let all leave, and wait for that."""
        self.leave()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _stay(self) -> None:
        """Connect, wait for the node's close, and come again, until new ones are refused."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
            except OSError:
                return
            try:
                await reader.read()
            except OSError:
                pass
            finally:
                writer.transport.abort()
            await asyncio.sleep(RECONNECT_PAUSE_S)
