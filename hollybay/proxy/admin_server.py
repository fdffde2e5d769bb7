"""Admin server: listens on the admin address; each of its connections carries one HTTP request.

`AdminConnection` reads requests and writes responses; `AdminService` carries the requests out. Imported only
if the configuration has an admin address.

Operators get a response within a second even if the node is busy. The server therefore has reserved file
descriptors, and a silent connection is closed if a new one needs its place.
"""

from __future__ import annotations

import asyncio
import socket

from . import system
from .admin_connection import MAX_REQUEST_BYTES, AdminConnection, AdminHandler

__all__ = ["MAX_CONNECTIONS", "AdminServer"]

MAX_CONNECTIONS = 16
DEFAULT_BACKLOG = 64


class AdminServer:
    """Listener for admin requests, with its connections.

    Parameters
    ----------
    handler
        Function that carries out a request and returns its response, or an awaitable of it.

    Attributes
    ----------
    max_policy_request_bytes
        Limit for the head and body of a policy request.
    max_connections
        Maximum number of connections; one more closes the oldest.
    backlog
        Length of the kernel's accept queue.
    port
        Port that it listens on; 0 before `open`.
    """

    def __init__(self, handler: AdminHandler) -> None:
        self.handler = handler
        self.max_policy_request_bytes = MAX_REQUEST_BYTES
        self.max_connections = MAX_CONNECTIONS
        self.backlog = DEFAULT_BACKLOG
        self.port = 0
        self.loop = asyncio.get_running_loop()
        self.connections: dict[AdminConnection, None] = {}  # ordered by age
        self._listener: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> int:
        """Listen on an address and return the port; port 0 lets the kernel choose.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        sock = system.tcp_socket(host)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.setblocking(False)
        self._listener = await self.loop.create_server(
            lambda: AdminConnection(self, self.handler), sock=sock, backlog=self.backlog
        )
        self.port = int(sock.getsockname()[1])
        return self.port

    def add_connection(self, connection: AdminConnection) -> None:
        """Register a connection.

        Above `max_connections`, the oldest connection without a running handler is closed; if all others have
        one, that is the new connection.
        """
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            oldest = next(other for other in self.connections if other.handler_task is None)
            oldest.abort()

    def remove_connection(self, connection: AdminConnection) -> None:
        """Remove a connection that is closed or being closed."""
        self.connections.pop(connection, None)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()
