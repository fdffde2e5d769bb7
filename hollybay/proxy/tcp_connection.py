"""TCP connection to a client or a server, which reads into a shared buffer and can query the kernel's state.

The kernel may have received bytes or a close that the event loop has not read yet.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from typing import cast

from . import system
from .memory_budget import MemoryAccount, MemoryBudget
from .message_limits import READ_SIZE_BYTES, SMALL_READ_SIZE_BYTES, TINY_READ_SIZE_BYTES
from .parse_turns import CHUNK_COST_BYTES, TURN_BYTES, ParseTurns

__all__ = ["TCP_ESTABLISHED", "TcpConnection"]

log = logging.getLogger("hollybay.proxy")

# Fields of Linux's struct tcp_info: the state in the first byte, and the time (ms) since the last bytes
# arrived, whether or not they were read.
TCP_ESTABLISHED = 1
_SINCE_LAST_RECEIVE = slice(52, 56)
# Resolution of the kernel's clock for that time; it is subtracted from the time.
_KERNEL_CLOCK_STEP_MS = 4
MS_PER_S = 1000
# Buffer for the reads of all connections. Its content is copied before the next read, so that connections
# need no buffers of their own.
_shared_buffer = memoryview(bytearray(READ_SIZE_BYTES))
_small_buffer = _shared_buffer[:SMALL_READ_SIZE_BYTES]
_tiny_buffer = _shared_buffer[:TINY_READ_SIZE_BYTES]


class TcpConnection(asyncio.BufferedProtocol):
    """TCP connection that tracks whether written bytes are still buffered in the process.

    Parameters
    ----------
    sock
        The connected socket. It is queried often, and the wrapper that the transport provides is slower.
    turns
        Turns of all connections of the node.
    memory
        Memory budget of all connections of the node.

    Attributes
    ----------
    account
        Account of the memory that the connection takes.
    is_write_buffered
        Whether written bytes are buffered in the process, as the kernel has not accepted them yet.
    reading
        Whether the connection is to be read, as far as flow control is concerned.
    has_backlog
        Whether reading was paused, so that the bytes that are read next may have waited for that reason.
    is_waiting_for_turn
        Whether received bytes are still to be parsed or read, and nothing is read until the next turn.
    reads_little
        Whether reads are small, as what is read may not be parsed at once.
    """

    transport: asyncio.Transport

    def __init__(self, sock: socket.socket, turns: ParseTurns, memory: MemoryBudget) -> None:
        self.sock = sock
        self.turns = turns
        self.account = MemoryAccount(memory)
        self.is_write_buffered = False
        self.reading = True
        self.reads_little = False
        self.has_backlog = False
        self.is_waiting_for_turn = False
        self._buffer_size = READ_SIZE_BYTES
        self._bytes_in_turn = 0
        self._write_buffer_charge = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request callbacks when the kernel does not accept all bytes, and when it has accepted the last."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        memory = self.account.budget
        if memory.used >= memory.total:
            buffer = _tiny_buffer
        else:
            buffer = _small_buffer if self.reads_little else _shared_buffer
        self._buffer_size = len(buffer)
        return buffer

    def has_emptied_socket(self, size: int) -> bool:
        """Whether a read of this size has left nothing in the kernel."""
        return size < self._buffer_size

    def buffer_updated(self, nbytes: int) -> None:
        """Process received bytes; an unexpected exception closes only this connection."""
        try:
            self.received(_shared_buffer[:nbytes])
        except Exception:
            log.exception("received bytes could not be processed; closing the connection")
            self.transport.abort()

    def received(self, data: memoryview) -> None:
        """Process received bytes, which must be copied before this returns."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        """Record that the kernel has not accepted all written bytes."""
        self.is_write_buffered = True

    def resume_writing(self) -> None:
        """Record that the kernel has accepted all written bytes."""
        self.is_write_buffered = False
        if self._write_buffer_charge:
            charge, self._write_buffer_charge = self._write_buffer_charge, 0
            self.account.release(charge)

    def write_bytes(self, data: bytes) -> None:
        """Write bytes; if the kernel does not accept all of them, they are charged until it does.

        They are charged as a whole, as the transport holds the whole object until its last byte is accepted.
        """
        self.transport.write(data)
        if self.is_write_buffered:
            self._write_buffer_charge += len(data)
            self.account.charge(len(data))

    def unread_bytes(self) -> int:
        """Return the number of bytes in the kernel that the event loop has not read yet."""
        return system.unread_bytes(self.sock)

    def is_connected(self) -> bool:
        """Whether the connection is open in both directions, by the state of the kernel."""
        if self.transport.is_closing():
            return False
        return bool(self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_ESTABLISHED)

    def read_delay(self) -> tuple[bool, int]:
        """Ask the kernel how long ago the last bytes arrived.

        If the event loop was busy, the bytes may have waited for the accept or for the read. The node caused
        that delay, and not the peer. A close may have arrived after the bytes.

        Returns
        -------
        bool
            Whether the connection is still open in both directions.
        int
            Time (ms) since the last bytes arrived.
        """
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SINCE_LAST_RECEIVE.stop)
        since_last_ms = int.from_bytes(info[_SINCE_LAST_RECEIVE], sys.byteorder)
        return info[0] == TCP_ESTABLISHED, max(0, since_last_ms - _KERNEL_CLOCK_STEP_MS)

    def last_byte_age_s(self) -> float:
        """Return how long ago (s) the last bytes arrived."""
        return self.read_delay()[1] / MS_PER_S

    def set_reading(self, reading: bool) -> None:
        """Resume or pause reading; while it is paused, the kernel's flow control stops the sender.

        Nothing is read before the connection's turn.
        """
        if reading == self.reading or self.transport.is_closing():
            return
        self.reading = reading
        self.has_backlog = self.has_backlog or not reading
        if self.is_waiting_for_turn:
            return
        if reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def end_read(self, size: int, chunks: int) -> None:
        """Let others have their turn if the connection has had its own.

        Parameters
        ----------
        size
            Number of bytes that were read and parsed.
        chunks
            Number of chunks that they contained.
        """
        # A short read has emptied the socket, and the event loop turns to the next one.
        read_before = self._bytes_in_turn if size >= SMALL_READ_SIZE_BYTES else 0
        self._bytes_in_turn = read_before + size + chunks * CHUNK_COST_BYTES
        if self._bytes_in_turn >= TURN_BYTES:
            self.reads_little = chunks > 0  # what is read may have to wait to be parsed
            self.wait_for_turn()

    def wait_for_turn(self) -> None:
        """Parse and read on only after others had their turn."""
        if self.is_waiting_for_turn or self.transport.is_closing():
            return
        self._bytes_in_turn = 0
        self.has_backlog = True
        if self.reading:
            self.transport.pause_reading()
        self.is_waiting_for_turn = True
        self.turns.add(self)

    def take_turn(self) -> None:
        """Parse and read on, for one turn; an unexpected exception closes only this connection."""
        self.is_waiting_for_turn = False
        if self.transport.is_closing():
            return
        if self.reading:
            self.transport.resume_reading()
        try:
            self.parse_on()
        except Exception:
            log.exception("received bytes could not be parsed; closing the connection")
            self.transport.abort()

    def parse_on(self) -> None:
        """Parse bytes that were received before the connection's turn."""
        raise NotImplementedError

    def leave_turns(self) -> None:
        """Wait for no turn any more, as the connection is closed."""
        if self.is_waiting_for_turn:
            self.is_waiting_for_turn = False
            self.turns.remove(self)
