"""What both sides of the node share: messages as they are passed on, limits, and reading from a socket."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import termios
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import cast

log = logging.getLogger("elderscale")

Headers = list[tuple[bytes, bytes]]

# The longest head of a message; longer ones are answered 431, or count as a break where a server sent them.
MAX_HEAD = 16 << 10
# The longest body of a request. Everything is held until it is whole.
MAX_BODY = 64 << 10
# The longest body of an answer that is told its length: the page says 64 KiB, servers were seen to send some
# hundred; beyond the page's size each takes its room from a budget that all share.
MAX_ANSWER = 2 << 20
# Bodies up to this size need no room of the body budget.
SMALL_BODY = 8 << 10
# One read, and so the most that one connection adds to a buffer before its reading is paused.
READ_SIZE = 16 << 10

# Headers of one connection, not of the message (RFC 9110, 7.6.1), and those that the node words itself.
_OWN = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
# All reads go here and are taken out before the next one: no connection holds a buffer of its own.
_shared = memoryview(bytearray(READ_SIZE))


@dataclass(frozen=True, slots=True)
class Message:
    """A request as it goes on to a server."""

    method: bytes
    target: bytes
    headers: Headers
    body: Sequence[bytes]
    size: int


@dataclass(frozen=True, slots=True)
class Answer:
    """A server's answer; a long one has a body of None and a length where the server told it."""

    status: int
    headers: Headers
    body: Sequence[bytes] | None = None
    length: int | None = None


def end_to_end(headers: Iterable[tuple[bytes, bytes]], without: Iterable[bytes] = ()) -> Headers:
    """The headers that belong to the message itself; names that Connection lists are left out too."""
    pairs = list(headers)
    drop = set(_OWN).union(without)
    for name, value in pairs:
        if name == b"connection":
            drop.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in pairs if name not in drop]


class Peer(asyncio.BufferedProtocol):
    """One TCP connection that reads through the shared buffer and knows whether written bytes still wait."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.unsent = False  # bytes written wait in the process, the kernel has not taken them
        self.reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Told of every byte that the kernel did not take at once, and again when it has taken the last.
        self.transport.set_write_buffer_limits(high=0)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _shared

    def buffer_updated(self, nbytes: int) -> None:
        # The last resort: what nobody foresaw in a peer's bytes ends this connection and nothing else.
        try:
            self.received(_shared[:nbytes])
        except Exception:
            log.exception("unforeseen input, its connection is closed")
            self.transport.abort()

    def received(self, data: memoryview) -> None:
        """Bytes have come; they must be copied before this returns."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def unread(self) -> bool:
        """Whether the kernel holds bytes of the peer that the loop has not come to yet."""
        sock = self.transport.get_extra_info("socket")
        return any(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))

    def read_on(self, reading: bool) -> None:
        """Read from the socket, or leave to the kernel (and so to the sender) what comes."""
        if reading == self.reading or self.transport.is_closing():
            return
        self.reading = reading
        if reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
