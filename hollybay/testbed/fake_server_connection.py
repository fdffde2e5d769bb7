"""Server side of a connection of a node to a fake server: parses requests and writes responses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol, cast

__all__ = ["ConnectionOwner", "Job", "ScriptedAnswer", "ServerConnection"]

END_OF_HEAD = b"\r\n\r\n"
MAX_REQUEST_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class ScriptedAnswer:
    """The scripted response to a request.

    Attributes
    ----------
    status
        The status code: 200 is sent once the request's work is done, any other at once.
    unprocessed
        Whether the request is rejected unprocessed, as by a full server.
    reset
        Whether the connection is reset instead.
    never
        Whether no response is sent.
    headers
        Additional headers of the response.
    """

    status: int = 200
    unprocessed: bool = False
    reset: bool = False
    never: bool = False
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True, eq=False)
class Job:
    """A request that a server processes.

    Attributes
    ----------
    request_id
        The id of the request.
    work
        Seconds of work at speed 1.
    connection
        The connection for its response; None once the node has closed it.
    timer
        Completes the job; None while it waits for a core.
    """

    request_id: str
    work: float
    connection: ServerConnection | None
    timer: asyncio.TimerHandle | None = None


class ConnectionOwner(Protocol):
    """Callbacks of a server connection."""

    is_hanging: bool

    def admit(self, connection: ServerConnection) -> bool:
        """Whether to accept a new connection; it is reset otherwise."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """Called when a connection is closed."""

    def job_cancelled(self, job: Job) -> None:
        """Called when the connection of a job is closed."""

    def first_byte(self) -> None:
        """Called at the first byte of a request."""

    def request(self, connection: ServerConnection, target: bytes, headers: dict[bytes, bytes]) -> None:
        """Called when a complete request has been received."""


class ServerConnection(asyncio.Protocol):
    """A connection of the node that carries one request at a time."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.buffer = b""
        self.parsed_bytes = 0  # of a request with a chunked body: up to the last complete chunk
        self.job: Job | None = None
        self.is_new = True  # no request has been received on it yet
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection if the server does not accept it."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.owner.admit(self):
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Notify the server, also of the job in progress, if any."""
        self.owner.connection_closed(self)
        job, self.job = self.job, None
        if job is not None:
            self.owner.job_cancelled(job)

    def data_received(self, data: bytes) -> None:
        """Pass a complete request to the server; a server that hangs ignores all data."""
        if self.owner.is_hanging:
            return
        if not self.buffer:
            self.owner.first_byte()
        self.buffer += data
        if len(self.buffer) > MAX_REQUEST_BYTES:
            self.transport.abort()
            return
        end = self.buffer.find(END_OF_HEAD)
        if end < 0 or self.job is not None:
            return
        request_line, headers = _parse_head(self.buffer[:end])
        request_length = self._request_length(end + len(END_OF_HEAD), headers)
        if request_length is None or len(self.buffer) < request_length:
            return
        self.buffer = self.buffer[request_length:]
        self.parsed_bytes = 0
        self.owner.request(self, request_line.split(b" ", 2)[1], headers)

    def _request_length(self, body_start: int, headers: dict[bytes, bytes]) -> int | None:
        """Return the length of the request with its body; None while the end of a chunked one is missing."""
        if headers.get(b"transfer-encoding") != b"chunked":
            return body_start + int(headers.get(b"content-length", b"0"))
        position = max(body_start, self.parsed_bytes)
        while (line_end := self.buffer.find(b"\r\n", position)) >= 0:
            size = int(self.buffer[position:line_end], 16)
            position = line_end + 2 + size + 2
            if position > len(self.buffer):
                return None
            self.parsed_bytes = position
            if size == 0:
                return position
        return None

    def write(self, response: ScriptedAnswer, body: bytes, load_report: bytes = b"") -> None:
        """Write a response with Content-Length."""
        lines = [b"HTTP/1.1 %d x" % response.status, b"Content-Length: %d" % len(body)]
        if response.unprocessed:
            lines.append(b"X-Unprocessed: 1")
        if load_report:
            lines.append(b"X-Backend-Load: TEXT " + load_report)
        lines += [b"%s: %s" % pair for pair in response.headers]
        if not self.transport.is_closing():
            self.transport.write(b"\r\n".join(lines) + END_OF_HEAD + body)


def _parse_head(head: bytes) -> tuple[bytes, dict[bytes, bytes]]:
    """Parse the request line, and the headers into a dict by lower-case name."""
    request_line, *lines = head.split(b"\r\n")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return request_line, headers
