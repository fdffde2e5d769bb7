"""A long request body on its way from its client to a server: neither side waits for the whole of it.

Up to MAX_BODY a body is held whole before anything is sent. A longer one goes on as it comes. As long as
all its bytes fit the room for such bodies they are kept, and another attempt can begin anew; beyond that
what a server has taken is dropped, the body is spent, and the client is read at the pace of the server.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .flow_control import Source

__all__ = ["KEPT_MOST", "WINDOW", "Room", "Sink", "Upload"]

# Bytes that wait for a server before the client is read no further, once nothing is kept any more.
WINDOW = 64 << 10
# The most of one body that is kept for another attempt.
KEPT_MOST = 2 << 20


class Sink(Protocol):
    """Where the body goes: one attempt."""

    def more(self) -> None:
        """There is more to pull, or the body is whole."""


class Room:
    """Memory for kept bodies, all together (bytes)."""

    __slots__ = ("total", "used")

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0

    def book(self, size: int) -> bool:
        """Take so much, if it is there."""
        if self.used + size > self.total:
            return False
        self.used += size
        return True


class Upload:
    """One body. length: as its client told it, None where it comes in chunks; until: when (ns) its client
    would go, were it whole already."""

    __slots__ = (
        "_at",
        "_booked",
        "_kept",
        "_pieces",
        "_room",
        "_source",
        "_waiting",
        "length",
        "sink",
        "spent",
        "until",
        "whole",
    )

    def __init__(self, length: int | None, source: Source, room: Room) -> None:
        self.length = length
        self.until = 0
        self.whole = False  # its last byte has come
        self.spent = False  # a part of it is here no more
        self.sink: Sink | None = None
        self._source = source
        self._room = room
        self._booked = 0
        self._kept = True
        self._pieces: deque[bytes] = deque()
        self._at = 0  # pieces that the present sink has pulled and that are kept
        self._waiting = 0  # bytes that no sink has pulled

    @property
    def taken(self) -> bool:
        """Whether another attempt cannot begin: one is under way, or bytes are gone."""
        return self.spent or self.sink is not None

    @property
    def exhausted(self) -> bool:
        """Whether the sink has pulled all there is, to the end."""
        return self.whole and self._at >= len(self._pieces)

    def put(self, data: bytes) -> None:
        """More of it has come."""
        if self._kept and not (self._booked + len(data) <= KEPT_MOST and self._room.book(len(data))):
            self._keep_no_more()
        if self._kept:
            self._booked += len(data)
        self._pieces.append(data)
        self._waiting += len(data)
        if self.sink is not None:
            self.sink.more()
        if not self._kept and self._waiting > WINDOW:
            self._source.read_on(False)

    def end(self) -> None:
        """Its last byte has come."""
        self.whole = True
        if self.sink is not None:
            self.sink.more()

    def open(self, sink: Sink) -> None:
        """Begin to pull, from its first byte."""
        assert not self.taken
        self.sink = sink

    def pull(self) -> bytes:
        """What comes next, b"" where nothing has come yet."""
        if self._at >= len(self._pieces):
            return b""
        data = self._pieces[self._at]
        if self._kept:
            self._at += 1
        else:
            self._pieces.popleft()
            self.spent = True
        self._waiting -= len(data)
        if not self._kept and self._waiting <= WINDOW // 2:
            self._source.read_on(True)
        return data

    def leave(self, sink: Sink) -> None:
        """That attempt is over."""
        if self.sink is sink:
            self.sink = None
            if self._kept:
                self._at = 0
                self._waiting = self._booked

    def close(self) -> None:
        """The request is over: its room is free again."""
        self.sink = None
        self.spent = True
        self._pieces.clear()
        self._at = 0
        self._give_back()

    def _keep_no_more(self) -> None:
        self._kept = False
        for _ in range(self._at):
            self._pieces.popleft()
            self.spent = True
        self._at = 0
        self._give_back()

    def _give_back(self) -> None:
        self._room.used -= self._booked
        self._booked = 0
