"""The sizes of messages, in bytes: what is accepted, what is held in memory, and what is read at once."""

from __future__ import annotations

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_HELD_BODY_BYTES",
    "READ_SIZE_BYTES",
    "SMALL_BODY_BYTES",
]

MAX_HEAD_BYTES = 16 << 10
"""The longest head. A client's longer one is answered 431; a server's counts as a broken response."""

MAX_HELD_BODY_BYTES = 64 << 10
"""The longest body, of a request or a response, that is held until it is complete; others are streamed."""

MAX_BODY_BYTES = 40 << 20
"""The longest body that is forwarded at all: usual ones have up to 32 MB."""

SMALL_BODY_BYTES = 8 << 10
"""Bodies up to this size are not charged to the budget of bodies."""

READ_SIZE_BYTES = 16 << 10
"""One read, and so the most that one connection adds to a buffer before its reading is paused."""
