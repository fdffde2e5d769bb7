"""Client side of a connection to a node: sends one request at a time and parses the responses."""

from __future__ import annotations

import asyncio
import socket
import sys
from dataclasses import dataclass
from typing import Protocol, cast

from hollybay.units import MS

from .client_request import ClientRequest

__all__ = ["ClientConnection", "ConnectionOwner", "Response", "parse_response"]

END_OF_HEAD = b"\r\n\r\n"
# Position in struct tcp_info of the time (ms) since data was last received.
TCP_INFO_SINCE_LAST_DATA = slice(52, 56)
# Clock granularity (ms): shorter times don't show that data was waiting to be read.
TCP_INFO_RESOLUTION_MS = 4


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    Attributes
    ----------
    status
        The status code.
    body
        The body, of the length given by Content-Length.
    retry_after_s
        The value of Retry-After; None if it has none.
    keeps_alive
        Whether the connection can be reused.
    """

    status: int
    body: bytes
    retry_after_s: float | None
    keeps_alive: bool


def parse_response(data: bytes) -> Response | None:
    """Parse the response at the start of `data`; None if it is incomplete."""
    end = data.find(END_OF_HEAD)
    if end < 0:
        return None
    status_line, *lines = data[:end].lower().split(b"\r\n")
    length = 0
    keeps_alive = True
    retry_after_s: float | None = None
    for line in lines:
        name, _, value = line.partition(b":")
        if name == b"content-length":
            length = int(value)
        elif name == b"connection" and value.strip() == b"close":
            keeps_alive = False
        elif name == b"retry-after":
            retry_after_s = float(value)
    body = data[end + len(END_OF_HEAD) :]
    if len(body) < length:
        return None
    return Response(int(status_line.split(b" ", 2)[1]), body, retry_after_s, keeps_alive)


class ConnectionOwner(Protocol):
    """Callbacks of a client connection."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Called when a connection is established."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Called when a connection is closed."""

    def request_sent(self, request: ClientRequest, port: int) -> None:
        """Called when a request is written to a connection to this port."""

    def response_received(
        self, connection: ClientConnection, request: ClientRequest, response: Response
    ) -> None:
        """Called when a complete response has been received."""

    def connection_broken(self, request: ClientRequest, received: bytes) -> None:
        """Called when a connection closes before the response is complete; `received` is what came of it."""


class ClientConnection(asyncio.Protocol):
    """A client connection that carries one request at a time.

    Parameters
    ----------
    owner
        Receives the callbacks.
    request
        The request to send once the connection is established.
    port
        The node's port.
    """

    def __init__(self, owner: ConnectionOwner, request: ClientRequest, port: int) -> None:
        self.owner = owner
        self.request: ClientRequest | None = request
        self.port = port
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request, or abort if its deadline has passed."""
        self.transport = cast(asyncio.Transport, transport)
        self.owner.connection_opened(self)
        assert self.request is not None
        if self.request.time_left_ms():
            self.send(self.request)
        else:
            self.transport.abort()

    def send(self, request: ClientRequest) -> None:
        """Send a request; the connection must be idle."""
        assert self.transport is not None
        self.request = request
        self.buffer = b""
        request.is_sent = True
        self.owner.request_sent(request, self.port)
        self.transport.write(request.encode())

    def connection_lost(self, _exc: Exception | None) -> None:
        """Notify the owner, also of the request in flight, if any."""
        self.owner.connection_closed(self)
        request, self.request = self.request, None
        if request is not None:
            self.owner.connection_broken(request, self.buffer)

    def eof_received(self) -> bool:
        """Close this side too."""
        return False

    def data_received(self, data: bytes) -> None:
        """Pass a complete response to the owner; data without a request in flight is dropped."""
        request = self.request
        if request is None:
            return
        self.buffer += data
        response = parse_response(self.buffer)
        if response is None:
            return
        self.request = None
        self.buffer = b""
        self.owner.response_received(self, request, response)

    def unread_ns(self) -> int:
        """Time since data was last received, while unread: a delay of the client process, not the node."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None:
            return 0
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SINCE_LAST_DATA.stop)
        since_last_ms = int.from_bytes(info[TCP_INFO_SINCE_LAST_DATA], sys.byteorder)
        return max(0, since_last_ms - TCP_INFO_RESOLUTION_MS) * MS

    def abort(self) -> None:
        """Reset the connection, if it is established."""
        if self.transport is not None:
            self.transport.abort()
