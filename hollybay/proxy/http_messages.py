"""What both sides of the node share: messages as they are passed on, limits, and reading from a socket."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import cast

import h11

from . import system
from .streaming_body import Upload

log = logging.getLogger("hollybay.proxy")

Headers = list[tuple[bytes, bytes]]

# The longest head of a message; longer ones are answered 431, or count as a break where a server sent them.
MAX_HEAD = 16 << 10
# The longest body, of a request or an answer, that is held until it is whole. Longer ones go on as they come.
MAX_BODY = 64 << 10
# The longest body that is passed on at all: 32 MB are usual, beyond that somebody means harm.
LONG_BODY = 40 << 20
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
# What Linux tells of a TCP connection (struct tcp_info): its state in the first byte, and the milliseconds
# since the last bytes came, whether or not anybody has read them.
TCP_ESTABLISHED = 1
_SINCE_LAST = slice(52, 56)
# The kernel's clock for that goes in steps of so many milliseconds, which are taken off.
_COARSE = 4
# All reads go here and are taken out before the next one: no connection holds a buffer of its own.
_shared = memoryview(bytearray(READ_SIZE))


@dataclass(slots=True)
class Message:
    """A request as it goes on to a server."""

    method: bytes
    target: bytes
    headers: Headers
    body: Sequence[bytes]
    size: int
    upload: Upload | None = None  # in place of the body, where that is long


@dataclass(slots=True)
class Answer:
    """A server's answer; a long one has a body of None and a length where the server told it."""

    status: int
    headers: Headers
    body: Sequence[bytes] | None = None
    length: int | None = None


def pairs(event: h11.Request | h11.Response) -> Headers:
    """The headers of an event as a plain list, names in lower case: h11's own type is slow to go through."""
    return [(name.lower(), value) for name, value in event.headers.raw_items()]


def not_passed_on(names: Iterable[bytes] = ()) -> frozenset[bytes]:
    """The names of headers that end here: those of the connection, and these."""
    return _OWN.union(names)


def end_to_end(headers: Headers, drop: Collection[bytes]) -> Headers:
    """The headers that belong to the message itself; names that Connection lists are left out too."""
    for name, value in headers:
        if name == b"connection":
            drop = {*drop, *(token.strip().lower() for token in value.split(b","))}
    return [pair for pair in headers if pair[0] not in drop]


def head(first: bytes, headers: Headers) -> bytes:
    """A message's head. Its parts come from what h11 has read and checked, or are the node's own words: to
    have h11 check and copy them once more on their way out would cost as much as reading them."""
    return b"%s\r\n%s\r\n" % (first, b"".join([b"%s: %s\r\n" % pair for pair in headers]))


class Peer(asyncio.BufferedProtocol):
    """One TCP connection that reads through the shared buffer and knows whether written bytes still wait."""

    transport: asyncio.Transport

    def __init__(self, sock: socket.socket) -> None:
        # The socket itself: what a loop hands out in its place is slower to ask, and it is asked often.
        self.sock = sock
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

    def unread(self) -> int:
        """How many bytes of the peer the kernel holds that the loop has not come to yet."""
        return system.unread_bytes(self.sock)

    def connected(self) -> bool:
        """Whether the kernel knows the connection as whole in both directions, whatever the loop has read."""
        if self.transport.is_closing():
            return False
        return bool(self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_ESTABLISHED)

    def waited(self) -> tuple[bool, int]:
        """Whether the peer holds the connection open, and for how long (ms) its last bytes have been here.

        The bytes may have waited here, before the accept or before the read, for as long as the loop was busy
        with others: that time is the node's own, not the peer's. A close may wait behind them.
        """
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SINCE_LAST.stop)
        return info[0] == TCP_ESTABLISHED, max(0, int.from_bytes(info[_SINCE_LAST], sys.byteorder) - _COARSE)

    def read_on(self, reading: bool) -> None:
        """Read from the socket, or leave to the kernel (and so to the sender) what comes."""
        if reading == self.reading or self.transport.is_closing():
            return
        self.reading = reading
        if reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
