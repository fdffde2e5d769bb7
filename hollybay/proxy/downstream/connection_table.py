"""Table of the client connections by phase and age, which selects those to close."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from itertools import takewhile
from typing import Any, Generic, Protocol, TypeVar

__all__ = ["STALE_AFTER_S", "ConnectionTable", "TrackedConnection"]

# A connection that has been silent or has had only part of a request for this long is closed first when there
# are too many: an honest client sends its request as soon as it is connected.
STALE_AFTER_S = 0.25


class TrackedConnection(Protocol):
    """Interface of a connection, as far as the table uses it."""

    # The phase that lists the connection; None while its request is complete and has no response.
    phase: OrderedDict[Any, float] | None

    def is_disposable(self) -> bool:
        """Whether closing loses nothing: no request is in progress, and no bytes are unread."""
        ...

    def __hash__(self) -> int: ...


C = TypeVar("C", bound=TrackedConnection)


class ConnectionTable(Generic[C]):
    """All client connections, and those in each phase.

    A phase maps its connections to the loop time (s) of their last progress, or of the first byte of the
    request in `unfinished`; the oldest come first.

    Attributes
    ----------
    connections
        All connections, the oldest first.
    silent
        Connections on which nothing was received yet.
    unfinished
        Connections on which part of a request was received.
    idle
        Connections between a response and the next request.
    writing
        Connections whose client has not read the whole response yet.
    ending
        Lingering connections, on which sending is shut down.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.connections: dict[C, None] = {}
        self.silent: OrderedDict[C, float] = OrderedDict()
        self.unfinished: OrderedDict[C, float] = OrderedDict()
        self.idle: OrderedDict[C, float] = OrderedDict()
        self.writing: OrderedDict[C, float] = OrderedDict()
        self.ending: OrderedDict[C, float] = OrderedDict()

    def move(self, conn: C, phase: OrderedDict[C, float] | None) -> None:
        """Move a connection to a phase at the current time; to no phase if None."""
        if conn.phase is not None:
            conn.phase.pop(conn, None)
        conn.phase = phase
        if phase is not None:
            phase[conn] = self.loop.time()

    def touch(self, conn: C) -> None:
        """Record progress of a connection within its phase."""
        self.move(conn, conn.phase)

    def remove(self, conn: C) -> None:
        """Remove a connection that is closed or being closed."""
        self.move(conn, None)
        self.connections.pop(conn, None)

    def find_disposable(self) -> C | None:
        """Return the connection with the least cost of closing.

        None if each connection has a request in progress or unread bytes. Unread bytes may be a complete
        request, and closing with unread bytes resets the connection, which could destroy a response in
        transit. The event loop reads such a connection in its next iteration.
        """
        return next((conn for conn in self._by_cost_of_close() if conn.is_disposable()), None)

    def _by_cost_of_close(self) -> Iterator[C]:
        """Yield the connections that may be closed, those with the least cost of closing first.

        First come lingering connections, then those that have been silent or unfinished for long, then idle
        ones, whose clients can open a new connection. Last come the recent silent and unfinished ones, among
        them usually the connection that was just accepted.
        """
        yield from self.ending
        stale_before = self.loop.time() - STALE_AFTER_S
        recent_phases: list[OrderedDict[C, float]] = []
        for phase in (self.silent, self.unfinished):
            for conn, since in phase.items():
                if since > stale_before:
                    recent_phases.append(phase)
                    break
                yield conn
        yield from self.idle
        for phase in recent_phases:
            yield from phase

    @staticmethod
    def overdue(phase: OrderedDict[C, float], before: float) -> list[C]:
        """Return the connections of a phase whose last progress is not later than a loop time (s)."""
        return list(takewhile(lambda conn: phase[conn] <= before, phase))
