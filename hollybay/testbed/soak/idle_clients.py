"""Idle clients that use up a node's file descriptors: they send nothing, and reconnect when closed."""

from __future__ import annotations

import asyncio

__all__ = ["IdleClients"]

HOST = "127.0.0.1"
RECONNECT_PAUSE_S = 0.05


class IdleClients:
    """Client connections on which nothing is sent.

    Parameters
    ----------
    port
        The node's port.
    size
        Number of connections.
    """

    def __init__(self, port: int, size: int) -> None:
        self.port = port
        self.size = size
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Open all connections."""
        self.tasks = [asyncio.ensure_future(self._stay_connected()) for _ in range(self.size)]

    def disconnect(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()

    async def stop(self) -> None:
        """Close all connections and wait until they are closed."""
        self.disconnect()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _stay_connected(self) -> None:
        """Connect, and reconnect after each close, until a connection is refused."""
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
