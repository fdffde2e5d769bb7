"""Received parts of a body, with the small ones joined into blocks.

A body may come in chunks of a few bytes. An object for each would cost ten times its payload, and memory
budgets charge the payload alone.
"""

from __future__ import annotations

from collections import deque

__all__ = ["BLOCK_BYTES", "JOINED_BELOW_BYTES", "Blocks", "append_block"]

# Smaller parts are joined; larger ones are stored as they are, without a copy.
JOINED_BELOW_BYTES = 1 << 10
# Maximum size of a block of joined parts.
BLOCK_BYTES = 16 << 10

Blocks = list[bytes | bytearray] | deque[bytes | bytearray]
"""Parts of a body, in order. The last one may grow if it is a bytearray."""


def append_block(blocks: Blocks, data: bytes | bytearray) -> None:
    """Append a part of a body: to the last block if both are small, else as a block of its own."""
    if len(data) < JOINED_BELOW_BYTES and blocks:
        last = blocks[-1]
        if type(last) is bytearray:
            if len(last) + len(data) <= BLOCK_BYTES:
                last += data
                return
        elif len(last) < JOINED_BELOW_BYTES:
            blocks[-1] = bytearray(last) + data
            return
    blocks.append(data)
