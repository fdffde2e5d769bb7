"""One connection of a node to a fake server: it frames requests and writes answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol, cast

__all__ = ["ConnectionOwner", "Job", "ScriptedAnswer", "ServerConnection"]

END_OF_HEAD = b"\r\n\r\n"
MAX_REQUEST_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class ScriptedAnswer:
    """What a request meets by script.

    Attributes
    ----------
    status
        200 is served after its work, any other is answered at once.
    unprocessed
        Rejected unseen, as by a full server.
    reset
        The connection is reset.
    never
        There is no answer.
    headers
        Further headers of the answer.
    """

    status: int = 200
    unprocessed: bool = False
    reset: bool = False
    never: bool = False
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True, eq=False)
class Job:
    """A request at a server.

    Attributes
    ----------
    request_id
        Its id.
    work
        Seconds of work at speed 1.
    connection
        Where its answer goes; None once the node gave it up.
    timer
        Ends its service; None while it waits for a core.
    """

    request_id: str
    work: float
    connection: ServerConnection | None
    timer: asyncio.TimerHandle | None = None


class ConnectionOwner(Protocol):
    """What a server connection tells of itself."""

    cut: bool

    def admit(self, connection: ServerConnection) -> bool:
        """Take a new connection on; if not, it is reset."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """A connection is gone."""

    def given_up(self, job: Job) -> None:
        """The connection of a job is gone."""

    def first_byte(self) -> None:
        """A request begins to come."""

    def request(self, connection: ServerConnection, target: bytes, headers: dict[bytes, bytes]) -> None:
        """A request has come whole."""


class ServerConnection(asyncio.Protocol):
    """One connection of the node; it carries one request at a time."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.buffer = b""
        self.job: Job | None = None
        self.is_new = True  # no request has come on it yet
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset it, if the server does not take it on."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.owner.admit(self):
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Tell the server, and of the job that it ended under."""
        self.owner.connection_closed(self)
        job, self.job = self.job, None
        if job is not None:
            self.owner.given_up(job)

    def data_received(self, data: bytes) -> None:
        """Hand a whole request to the server; one that is cut off hears nothing."""
        if self.owner.cut:
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
        whole = end + len(END_OF_HEAD) + int(headers.get(b"content-length", b"0"))
        if len(self.buffer) < whole:
            return
        self.buffer = self.buffer[whole:]
        self.owner.request(self, request_line.split(b" ", 2)[1], headers)

    def write(self, answer: ScriptedAnswer, body: bytes, load_report: bytes = b"") -> None:
        """Write one answer, framed by its length."""
        lines = [b"HTTP/1.1 %d x" % answer.status, b"Content-Length: %d" % len(body)]
        if answer.unprocessed:
            lines.append(b"X-Unprocessed: 1")
        if load_report:
            lines.append(b"X-Backend-Load: TEXT " + load_report)
        lines += [b"%s: %s" % pair for pair in answer.headers]
        if not self.transport.is_closing():
            self.transport.write(b"\r\n".join(lines) + END_OF_HEAD + body)


def _parse_head(head: bytes) -> tuple[bytes, dict[bytes, bytes]]:
    """The request line, and the headers by their lower-case names."""
    request_line, *lines = head.split(b"\r\n")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return request_line, headers
