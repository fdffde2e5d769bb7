"""Request body that is streamed to a server while it is still arriving.

A body of up to `MAX_HELD_BODY_BYTES` is buffered, and sent when it is complete; a longer one is streamed. As
long as all its bytes fit in the budget and in `MAX_RETAINED_BYTES`, they are retained, so that another
attempt can send it from the beginning. After that, the bytes that were passed to a server are dropped: no
other attempt can send the body, and the client is read only as fast as the server reads.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .body_blocks import append_block
from .flow_control import BodySource
from .memory_budget import MemoryBudget

__all__ = ["MAX_RETAINED_BYTES", "WINDOW_BYTES", "BodySink", "RetentionBudget", "StreamingBody"]

# Number of bytes waiting for the server above which reading from the client pauses, once the body is no
# longer retained.
WINDOW_BYTES = 16 << 10
# Maximum number of bytes of one body that are retained for another attempt.
MAX_RETAINED_BYTES = 2 << 20


class BodySink(Protocol):
    """Consumer of a body: the connection of one attempt."""

    def body_available(self) -> None:
        """Handle that more of the body can be pulled, or that it is complete."""


class RetentionBudget:
    """Memory budget for the retained bytes of all streaming bodies.

    Parameters
    ----------
    total
        Size of the budget (bytes).
    memory
        Memory budget of all connections, which this budget is part of.

    Attributes
    ----------
    used
        Number of bytes that are reserved; of a body that is not retained, those that still wait.
    """

    __slots__ = ("memory", "total", "used")

    def __init__(self, total: int, memory: MemoryBudget) -> None:
        self.total = total
        self.memory = memory
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve a number of bytes; if there is no room, reserve nothing and return False."""
        if self.used + size > self.total or not self.memory.has_room_for_body(size):
            return False
        self.memory.charge(size)
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Release a number of bytes."""
        if size:
            self.used -= size
            self.memory.release(size)


class StreamingBody:
    """Request body that is streamed from a client to a server.

    Parameters
    ----------
    length
        Length (bytes) that the client stated; None if the body is chunked.
    source
        The client's connection.
    budget
        Memory budget for retained bytes.

    Attributes
    ----------
    client_deadline
        Deadline (ns of the monotonic clock) of the client if the body had been complete when streaming began.
    is_complete
        Whether the last byte has arrived.
    has_dropped_bytes
        Whether bytes were dropped, so that no other attempt can send the body.
    sink
        Connection of the attempt that is sending the body; None if there is none.
    bytes_pulled
        Number of bytes that sinks have pulled so far, which shows whether a server takes the body.
    """

    __slots__ = (
        "_blocks",
        "_budget",
        "_is_retained",
        "_offset",
        "_position",
        "_reserved",
        "_source",
        "_waiting",
        "bytes_pulled",
        "client_deadline",
        "has_dropped_bytes",
        "is_complete",
        "length",
        "sink",
    )

    def __init__(self, length: int | None, source: BodySource, budget: RetentionBudget) -> None:
        self.length = length
        self.client_deadline = 0
        self.is_complete = False
        self.has_dropped_bytes = False
        self.sink: BodySink | None = None
        self.bytes_pulled = 0
        self._source = source
        self._budget = budget
        self._reserved = 0  # number of bytes reserved in the budget
        self._is_retained = True
        self._blocks: deque[bytes | bytearray] = deque()
        # The current sink has pulled this number of blocks, and this number of bytes of the next one.
        self._position = 0
        self._offset = 0
        self._waiting = 0  # number of bytes that the current sink has not pulled

    @property
    def is_taken(self) -> bool:
        """Whether no other attempt can send the body: one is sending it, or bytes were dropped."""
        return self.has_dropped_bytes or self.sink is not None

    @property
    def reserved_bytes(self) -> int:
        """Number of bytes that are reserved in the budget."""
        return self._reserved

    @property
    def is_accounted(self) -> bool:
        """Whether the retention budget or the window bounds the memory of the bytes that wait."""
        return self._is_retained or self._waiting - self._reserved <= WINDOW_BYTES

    @property
    def is_exhausted(self) -> bool:
        """Whether the sink has pulled the whole body."""
        return self.is_complete and self._waiting == 0

    def append(self, data: bytes | bytearray) -> None:
        """Append bytes that have arrived."""
        if self._is_retained and not self._reserve(len(data)):
            self._stop_retaining()
        append_block(self._blocks, data)
        self._waiting += len(data)
        if self.sink is not None:
            self.sink.body_available()
        if not self._is_retained and self._waiting > WINDOW_BYTES:
            self._source.set_reading(False)

    def complete(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        if self.sink is not None:
            self.sink.body_available()

    def attach(self, sink: BodySink) -> None:
        """Let the connection of an attempt pull the body from its first byte."""
        assert not self.is_taken
        self.sink = sink

    def pull(self) -> bytes:
        """Return the next part of the body; empty if none is available."""
        if self._waiting == 0:
            return b""
        data = self._next_retained() if self._is_retained else self._next_dropped()
        self._waiting -= len(data)
        self.bytes_pulled += len(data)
        if not self._is_retained:
            self._release_pulled()
            if self._waiting <= WINDOW_BYTES // 2:
                self._source.set_reading(True)
        return data

    def _next_retained(self) -> bytes:
        """Return the part behind the position, up to the end of its block, and advance the position."""
        if self._offset == len(self._blocks[self._position]):  # the block was pulled, and has not grown
            self._position += 1
            self._offset = 0
        block = self._blocks[self._position]
        data = bytes(block) if self._offset == 0 else bytes(memoryview(block)[self._offset :])
        self._offset = len(block)
        return data

    def _next_dropped(self) -> bytes:
        """Return the first block and drop it."""
        self.has_dropped_bytes = True
        return bytes(self._blocks.popleft())

    def detach(self, sink: BodySink) -> None:
        """Detach the connection of an attempt that has sent the whole body, or has ended."""
        if self.sink is sink:
            self.sink = None
            if self._is_retained:
                self._position = self._offset = 0
                self._waiting = self._reserved

    def close(self) -> None:
        """Drop all bytes, as the request has ended."""
        self.sink = None
        self.has_dropped_bytes = True
        self._blocks.clear()
        self._position = self._offset = self._waiting = 0
        self._release()

    def _reserve(self, size: int) -> bool:
        """Reserve memory for more bytes, within the limits of the body and of the budget."""
        if self._reserved + size > MAX_RETAINED_BYTES or not self._budget.reserve(size):
            return False
        self._reserved += size
        return True

    def _stop_retaining(self) -> None:
        """Drop what the current sink has pulled, and from now on each block when it is pulled."""
        self._is_retained = False
        for _ in range(self._position):
            self._blocks.popleft()
        if self._offset:
            rest = self._blocks.popleft()[self._offset :]
            if rest:
                self._blocks.appendleft(rest)
            self.has_dropped_bytes = True
        self._position = self._offset = 0
        self._release_pulled()

    def _release_pulled(self) -> None:
        """Release what is reserved beyond the bytes that wait: those were passed to a server and dropped."""
        pulled = self._reserved - self._waiting
        if pulled > 0:
            self._reserved -= pulled
            self._budget.release(pulled)

    def _release(self) -> None:
        reserved, self._reserved = self._reserved, 0
        self._budget.release(reserved)
