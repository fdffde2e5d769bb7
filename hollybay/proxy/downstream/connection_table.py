"""All client connections by phase and age: which are overdue, and which to close when room is short."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from itertools import takewhile
from typing import Any, Generic, Protocol, TypeVar

__all__ = ["SUSPECT_AFTER_S", "ConnectionTable", "TrackedConnection"]

# A connection that has sent nothing, or only part of a request, for this long (s) may be closed when room is
# short: a client that wants something sends it as soon as it is connected.
SUSPECT_AFTER_S = 0.25


class TrackedConnection(Protocol):
    """What the table asks of a connection."""

    # The phase that lists it; None: its request is complete, and it is in none.
    phase: OrderedDict[Any, float] | None

    def is_disposable(self) -> bool:
        """Tell whether a close loses nothing: no request is under way, and no bytes are unread."""
        ...

    def __hash__(self) -> int: ...


C = TypeVar("C", bound=TrackedConnection)


class ConnectionTable(Generic[C]):
    """All client connections, in the order in which they came, and those of each phase.

    A phase maps its connections to the loop time (s) of their last progress (in `unfinished`: of the
    request's first byte), the oldest first.

    Attributes
    ----------
    silent
        Connected, nothing received yet.
    unfinished
        Part of a request was received.
    idle
        Between a response and the next request.
    writing
        The client has yet to read its response.
    ending
        Lingering: sending is shut down.
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
        """Move a connection to a phase (None: to none), as of now."""
        if conn.phase is not None:
            conn.phase.pop(conn, None)
        conn.phase = phase
        if phase is not None:
            phase[conn] = self.loop.time()

    def touch(self, conn: C) -> None:
        """Note progress of a connection within its phase."""
        self.move(conn, conn.phase)

    def remove(self, conn: C) -> None:
        """Remove a connection that is closed or being closed."""
        self.move(conn, None)
        self.connections.pop(conn, None)

    def find_disposable(self) -> C | None:
        """Return the connection whose close costs least; None: each has a request under way or unread bytes.

        Unread bytes may be a whole request, and a close over them is a reset, which could destroy a response
        on its way. Such connections are read within a turn of the loop.
        """
        return next((conn for conn in self._by_cost_of_close() if conn.is_disposable()), None)

    def _by_cost_of_close(self) -> Iterator[C]:
        """Yield connections that may be closed between requests, those whose close costs least first.

        First those that are ending, and those that have been silent or unfinished for long. The client of an
        idle connection sends on a new one. Last come the young ones, of which one is usually silent: the one
        that was just accepted.
        """
        yield from self.ending
        suspect = self.loop.time() - SUSPECT_AFTER_S
        young: list[OrderedDict[C, float]] = []
        for phase in (self.silent, self.unfinished):
            for conn, since in phase.items():
                if since > suspect:
                    young.append(phase)
                    break
                yield conn
        yield from self.idle
        for phase in young:
            yield from phase

    @staticmethod
    def overdue(phase: OrderedDict[C, float], before: float) -> list[C]:
        """Return the connections of a phase whose time is not later than a time (s)."""
        return list(takewhile(lambda conn: phase[conn] <= before, phase))
