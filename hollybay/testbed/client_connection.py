"""One connection of a client to a node: it sends requests one after the other and parses the answers."""

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
# The field of struct tcp_info that holds the ms since the last bytes came.
TCP_INFO_SINCE_LAST_DATA = slice(52, 56)
# Less than this (ms) is the clock's own step, no time that the bytes lay unread.
TCP_INFO_RESOLUTION_MS = 4


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer.

    Attributes
    ----------
    status
        Its status code.
    body
        Its body, as long as Content-Length tells.
    retry_after_s
        The value of Retry-After; None without.
    keeps_alive
        Whether the connection may carry another request.
    """

    status: int
    body: bytes
    retry_after_s: float | None
    keeps_alive: bool


def parse_response(data: bytes) -> Response | None:
    """The answer at the start of these bytes, None before it is whole."""
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
    """What a client connection tells of itself."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """A connection is up."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection is gone."""

    def request_sent(self, request: ClientRequest, port: int) -> None:
        """The bytes of a request go to the node at this port."""

    def response_received(
        self, connection: ClientConnection, request: ClientRequest, response: Response
    ) -> None:
        """An answer has come whole."""

    def connection_broken(self, request: ClientRequest, received: bytes) -> None:
        """A connection ended under a request, after these bytes of its answer."""


class ClientConnection(asyncio.Protocol):
    """One client connection; it carries one request at a time.

    Parameters
    ----------
    owner
        Hears of all that happens here.
    request
        The request that it is opened for.
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
        """Send the request that it was opened for, unless its client waits no longer."""
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
        """Tell the owner, and of the request that it ended under."""
        self.owner.connection_closed(self)
        request, self.request = self.request, None
        if request is not None:
            self.owner.connection_broken(request, self.buffer)

    def eof_received(self) -> bool:
        """Close this side too."""
        return False

    def data_received(self, data: bytes) -> None:
        """Hand a whole answer to the owner; bytes that no request waits for are dropped."""
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
        """How long the last bytes lay here unread: lateness of the client's process, no fault of the node."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None:
            return 0
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SINCE_LAST_DATA.stop)
        since_last_ms = int.from_bytes(info[TCP_INFO_SINCE_LAST_DATA], sys.byteorder)
        return max(0, since_last_ms - TCP_INFO_RESOLUTION_MS) * MS

    def abort(self) -> None:
        """Reset the connection, if it is up."""
        if self.transport is not None:
            self.transport.abort()
