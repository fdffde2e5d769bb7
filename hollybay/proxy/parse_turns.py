"""Turns of connections that have much to read or to parse, so that others are served in between.

A message in chunks of a few bytes takes long to parse, and libuv reads up to 32 times from one socket before
it turns to the next one. Without turns, one such client or server would hold up all requests.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

__all__ = ["CHUNK_COST_BYTES", "MAX_EVENTS_PER_TURN", "TURN_BYTES", "ParseTurns", "TurnTaker"]

# Number of parser events after which a connection waits for its next turn.
MAX_EVENTS_PER_TURN = 8
# Number of bytes that are read from one socket without a pause.
TURN_BYTES = 128 << 10
# Number of bytes that take as long to read as it takes to decode a chunk.
CHUNK_COST_BYTES = 512


class TurnTaker(Protocol):
    """A connection that has more bytes to parse or to read."""

    def take_turn(self) -> None:
        """Read and parse on, for one turn."""


class ParseTurns:
    """Round robin of connections; one of them takes its turn in each iteration of the event loop.

    Parameters
    ----------
    loop
        The event loop.
    """

    __slots__ = ("_is_scheduled", "_loop", "_waiting")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._is_scheduled = False
        self._waiting: OrderedDict[TurnTaker, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: TurnTaker) -> None:
        """Add a connection behind those that wait."""
        self._waiting[connection] = None
        self._schedule()

    def remove(self, connection: TurnTaker) -> None:
        """Remove a connection that has closed, if it waits."""
        self._waiting.pop(connection, None)

    def _run_next(self) -> None:
        """Let the connection that has waited for longest take its turn."""
        self._is_scheduled = False
        if not self._waiting:
            return
        connection, _ = self._waiting.popitem(last=False)
        self._schedule()
        connection.take_turn()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_next)
