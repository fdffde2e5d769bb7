"""One TCP connection, to a client or a server: reads through a shared buffer, and the kernel's view of it.

What the kernel knows of a connection may be ahead of what the event loop has read: a close, or bytes.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from typing import cast

from . import system
from .message_limits import READ_SIZE_BYTES

__all__ = ["TCP_ESTABLISHED", "TcpConnection"]

log = logging.getLogger("hollybay.proxy")

# What Linux tells of a TCP connection (struct tcp_info): its state in the first byte, and the time (ms) since
# the last bytes came, whether or not anybody has read them.
TCP_ESTABLISHED = 1
_SINCE_LAST_RECEIVE = slice(52, 56)
# The kernel's clock for that goes in steps of this size, which is taken off.
_KERNEL_CLOCK_STEP_MS = 4
# All reads go here and are taken out before the next one: no connection holds a buffer of its own.
_shared_buffer = memoryview(bytearray(READ_SIZE_BYTES))


class TcpConnection(asyncio.BufferedProtocol):
    """A TCP connection that knows whether bytes that were written still wait in the process.

    Parameters
    ----------
    sock
        The connected socket. What a loop hands out in its place is slower to ask, and it is asked often.

    Attributes
    ----------
    is_write_buffered
        Whether bytes that were written wait in the process, as the kernel has not taken them.
    reading
        Whether the loop reads from the socket.
    """

    transport: asyncio.Transport

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.is_write_buffered = False
        self.reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask to be told of bytes that the kernel did not take at once, and when it has taken the last."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer of all connections."""
        return _shared_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read; an exception that nobody foresaw ends this connection and nothing else."""
        try:
            self.received(_shared_buffer[:nbytes])
        except Exception:
            log.exception("unforeseen input, its connection is closed")
            self.transport.abort()

    def received(self, data: memoryview) -> None:
        """Handle bytes that have come; they must be copied before this returns."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        """Take note that the kernel has not taken all that was written."""
        self.is_write_buffered = True

    def resume_writing(self) -> None:
        """Take note that the kernel has taken all that was written."""
        self.is_write_buffered = False

    def unread_bytes(self) -> int:
        """Return how many bytes the kernel holds that the loop has not read yet."""
        return system.unread_bytes(self.sock)

    def is_connected(self) -> bool:
        """Tell whether the kernel knows the connection as open in both directions, whatever was read."""
        if self.transport.is_closing():
            return False
        return bool(self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_ESTABLISHED)

    def read_delay(self) -> tuple[bool, int]:
        """Ask the kernel how long the last bytes have been here.

        They may have waited, before the accept or before the read, for as long as the loop was busy with
        others: that time is the node's own, not the peer's. A close may wait behind them.

        Returns
        -------
        bool
            Whether the peer holds the connection open.
        int
            Time (ms) since its last bytes came.
        """
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SINCE_LAST_RECEIVE.stop)
        since_last_ms = int.from_bytes(info[_SINCE_LAST_RECEIVE], sys.byteorder)
        return info[0] == TCP_ESTABLISHED, max(0, since_last_ms - _KERNEL_CLOCK_STEP_MS)

    def set_reading(self, reading: bool) -> None:
        """Read from the socket, or leave to the kernel (and so to the sender) what comes."""
        if reading == self.reading or self.transport.is_closing():
            return
        self.reading = reading
        if reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
