"""The body of a request that is forwarded while it comes: neither side waits for the whole of it.

Up to `MAX_HELD_BODY_BYTES` a body is held until it is complete, and only then sent. A longer one is streamed.
As long as all its bytes fit in the budget and in `MAX_RETAINED_BYTES` they are retained, and another attempt
can begin anew. Beyond
that, what a server has taken is dropped: the body is spent, and the client is read at the pace of the server.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .flow_control import BodySource

__all__ = ["MAX_RETAINED_BYTES", "WINDOW_BYTES", "BodySink", "RetentionBudget", "StreamingBody"]

# Bytes that wait for a server before the client is read no further, once nothing is retained any more.
WINDOW_BYTES = 64 << 10
# The most of one body that is retained for another attempt.
MAX_RETAINED_BYTES = 2 << 20


class BodySink(Protocol):
    """Where a body goes: the connection of one attempt."""

    def body_available(self) -> None:
        """Take note that there is more to pull, or that the body is complete."""


class RetentionBudget:
    """Memory for the retained bytes of all streaming bodies together.

    Parameters
    ----------
    total
        Its size (bytes).

    Attributes
    ----------
    used
        How much of it (bytes) is reserved.
    """

    __slots__ = ("total", "used")

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve some bytes; False: there is no room for them, and none was reserved."""
        if self.used + size > self.total:
            return False
        self.used += size
        return True


class StreamingBody:
    """One body on its way from its client to a server.

    Parameters
    ----------
    length
        Its length (bytes) as its client stated it; None if it comes in chunks.
    source
        The client's connection.
    budget
        Memory for retained bytes.

    Attributes
    ----------
    client_deadline
        When (ns of the monotonic clock) its client would stop to wait, were the body complete already.
    is_complete
        Whether its last byte has come.
    is_spent
        Whether a part of it was dropped, so that no attempt can begin anew.
    sink
        The attempt that pulls it at present.
    """

    __slots__ = (
        "_budget",
        "_is_retained",
        "_pieces",
        "_position",
        "_reserved",
        "_source",
        "_waiting",
        "client_deadline",
        "is_complete",
        "is_spent",
        "length",
        "sink",
    )

    def __init__(self, length: int | None, source: BodySource, budget: RetentionBudget) -> None:
        self.length = length
        self.client_deadline = 0
        self.is_complete = False
        self.is_spent = False
        self.sink: BodySink | None = None
        self._source = source
        self._budget = budget
        self._reserved = 0  # bytes of the budget
        self._is_retained = True
        self._pieces: deque[bytes] = deque()
        self._position = 0  # how many of the retained pieces the present sink has pulled
        self._waiting = 0  # bytes that no sink has pulled

    @property
    def is_taken(self) -> bool:
        """Whether no other attempt can begin: one is under way, or bytes were dropped."""
        return self.is_spent or self.sink is not None

    @property
    def is_exhausted(self) -> bool:
        """Whether the sink has pulled all there is, to the end."""
        return self.is_complete and self._position >= len(self._pieces)

    def append(self, data: bytes) -> None:
        """Add what has come next."""
        if self._is_retained and not self._reserve(len(data)):
            self._stop_retaining()
        self._pieces.append(data)
        self._waiting += len(data)
        if self.sink is not None:
            self.sink.body_available()
        if not self._is_retained and self._waiting > WINDOW_BYTES:
            self._source.set_reading(False)

    def complete(self) -> None:
        """Take note that the last byte has come."""
        self.is_complete = True
        if self.sink is not None:
            self.sink.body_available()

    def attach(self, sink: BodySink) -> None:
        """Let an attempt pull the body from its first byte on."""
        assert not self.is_taken
        self.sink = sink

    def pull(self) -> bytes:
        """Return what comes next; empty if nothing has come yet."""
        if self._position >= len(self._pieces):
            return b""
        data = self._pieces[self._position]
        if self._is_retained:
            self._position += 1
        else:
            self._pieces.popleft()
            self.is_spent = True
        self._waiting -= len(data)
        if not self._is_retained and self._waiting <= WINDOW_BYTES // 2:
            self._source.set_reading(True)
        return data

    def detach(self, sink: BodySink) -> None:
        """End the pulling of an attempt that is over."""
        if self.sink is sink:
            self.sink = None
            if self._is_retained:
                self._position = 0
                self._waiting = self._reserved

    def close(self) -> None:
        """Drop all bytes: the request is over."""
        self.sink = None
        self.is_spent = True
        self._pieces.clear()
        self._position = 0
        self._release()

    def _reserve(self, size: int) -> bool:
        """Reserve memory for some bytes more, if the body may have them."""
        if self._reserved + size > MAX_RETAINED_BYTES or not self._budget.reserve(size):
            return False
        self._reserved += size
        return True

    def _stop_retaining(self) -> None:
        """Drop what the present sink has pulled, and everything that is pulled from here on."""
        self._is_retained = False
        for _ in range(self._position):
            self._pieces.popleft()
            self.is_spent = True
        self._position = 0
        self._release()

    def _release(self) -> None:
        self._budget.used -= self._reserved
        self._reserved = 0
