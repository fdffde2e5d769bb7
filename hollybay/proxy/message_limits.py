"""Limits on the size of messages (bytes)."""

from __future__ import annotations

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_FIELDS",
    "MAX_HEAD_BYTES",
    "MAX_HELD_BODY_BYTES",
    "READ_SIZE_BYTES",
    "SMALL_BODY_BYTES",
    "SMALL_READ_SIZE_BYTES",
    "TINY_READ_SIZE_BYTES",
    "TINY_READ_SIZE_BYTES",
]

MAX_HEAD_BYTES = 16 << 10
"""Maximum size of a head. A longer one is rejected with 431 (client), or fails the attempt (server)."""

MAX_FIELDS = 128
"""Maximum number of fields of a head or of a trailer, each of which costs far more than its bytes."""

MAX_HELD_BODY_BYTES = 64 << 10
"""Maximum size of a request or response body that is buffered until it is complete; others are streamed."""

MAX_BODY_BYTES = 40 << 20
"""Maximum size of a forwarded body. Bodies of up to 32 MB are usual."""

SMALL_BODY_BYTES = 8 << 10
"""Maximum size of a request body that is not charged to the body budget."""

READ_SIZE_BYTES = 16 << 10
"""Maximum size of one read, and so of what a connection adds to a buffer before its reading is paused."""

SMALL_READ_SIZE_BYTES = 4 << 10
"""Maximum size of one read of a connection that waits for turns to parse what it has read."""

TINY_READ_SIZE_BYTES = 512
"""Maximum size of one read while the memory budget has nothing left."""

TINY_READ_SIZE_BYTES = 512
"""Maximum size of one read while the memory budget has nothing left."""
