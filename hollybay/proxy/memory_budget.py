"""Budget for the memory that connections take, and the account of each connection.

Everything that a connection holds is charged before it is made: the connection itself, what was received and
not parsed, parsed heads, bodies, open requests, and bytes that the peer has not read. What cannot wait is
charged even if there is no room; while there is none, reads are of `TINY_READ_SIZE_BYTES` at most.
"""

from __future__ import annotations

from collections.abc import Callable

__all__ = [
    "CLIENT_CONNECTION_BYTES",
    "FIELD_BYTES",
    "HEAD_COPIES",
    "OPEN_REQUEST_BYTES",
    "RESPONSE_HEAD_BYTES",
    "RESPONSE_WINDOW_BYTES",
    "SERVER_CONNECTION_BYTES",
    "UPLOAD_BYTES",
    "MemoryAccount",
    "MemoryBudget",
]

CLIENT_CONNECTION_BYTES = 3 << 10
"""Memory that a connection from a client takes by itself."""

SERVER_CONNECTION_BYTES = 6 << 10
"""Memory that a connection to a server takes by itself."""

RESPONSE_WINDOW_BYTES = 16 << 10
"""What is held of a response without being charged, as it is reserved with the request."""

RESPONSE_HEAD_BYTES = 4 << 10
"""What is held of a response's head without being charged, as it is reserved with the request."""

OPEN_REQUEST_BYTES = RESPONSE_WINDOW_BYTES + RESPONSE_HEAD_BYTES + (8 << 10)
"""Memory that an open request takes besides its head and body, with the head and window of its response."""

UPLOAD_BYTES = 16 << 10
"""Memory that a streamed request body takes besides its window, which is that of the response."""

FIELD_BYTES = 320
"""Memory that a field of a head takes besides its bytes."""

HEAD_COPIES = 2
"""How often the bytes of a head are held: as fields, and encoded for the peer."""


# Part of the budget that bodies leave to connections, heads and open requests: they would otherwise shut out
# all other requests.
_BODY_MARGIN_DIVISOR = 4


class MemoryBudget:
    """Memory budget of all connections of a node.

    Parameters
    ----------
    total
        Size of the budget (bytes).

    Attributes
    ----------
    used
        Bytes that are charged.
    accounts
        The accounts of all open connections.
    on_release
        Called after memory was released; None if nothing waits for it.
    """

    __slots__ = ("accounts", "on_release", "total", "used")

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0
        self.accounts: set[MemoryAccount] = set()
        self.on_release: Callable[[], None] | None = None

    @property
    def is_short(self) -> bool:
        """Whether nothing is left."""
        return self.used >= self.total

    def set_aside(self, size: int) -> None:
        """Take a number of bytes out of the budget, for what is held as long as the node runs."""
        self.total -= size

    def has_room(self, size: int) -> bool:
        """Whether a number of bytes is left."""
        return self.used + size <= self.total

    def has_room_for_body(self, size: int) -> bool:
        """Whether a number of bytes is left for bodies, which may not take everything."""
        return self.used + size <= self.total - self.total // _BODY_MARGIN_DIVISOR

    def reserve(self, size: int) -> bool:
        """Charge a number of bytes; if there is no room, charge nothing and return False."""
        if self.used + size > self.total:
            return False
        self.used += size
        return True

    def charge(self, size: int) -> None:
        """Charge a number of bytes, whether or not there is room."""
        self.used += size

    def release(self, size: int) -> None:
        """Release a number of bytes."""
        self.used -= size
        if self.on_release is not None:
            self.on_release()


class MemoryAccount:
    """What one connection is charged for, from its opening to its close.

    Parameters
    ----------
    budget
        The budget of all connections.

    Attributes
    ----------
    charged
        Bytes that are charged to the budget.
    is_open
        Whether the connection is open; nothing is charged to the account of another one.
    """

    __slots__ = ("budget", "charged", "is_open")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.charged = 0
        self.is_open = False

    def open(self, size: int) -> None:
        """Charge the connection itself; the limits of connections are such that there is room."""
        self.is_open = True
        self.budget.accounts.add(self)
        self.charge(size)

    def reserve(self, size: int) -> bool:
        """Charge more bytes; if there is no room, charge nothing and return False."""
        if not self.is_open:
            return True
        budget = self.budget
        if budget.used + size > budget.total:
            return False
        budget.used += size
        self.charged += size
        return True

    def reserve_for_body(self, size: int) -> bool:
        """Charge more bytes for a body; if there is no room, charge nothing and return False."""
        return self.budget.has_room_for_body(size) and self.reserve(size)

    def charge(self, size: int) -> None:
        """Charge more bytes, whether or not there is room."""
        if self.is_open:
            self.charged += size
            self.budget.used += size

    def release(self, size: int) -> None:
        """Release some of the bytes."""
        if size and self.is_open:
            self.charged -= size
            budget = self.budget
            budget.used -= size
            if budget.on_release is not None:
                budget.on_release()

    def close(self) -> None:
        """Release everything, as the connection is closed."""
        self.release(self.charged)
        self.is_open = False
        self.budget.accounts.discard(self)
