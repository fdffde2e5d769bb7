"""A saying: what one node has at servers now, whole, in datagrams of at most 256 bytes.

Form (big endian): "hb", version 1, number of the node (u16), its process (u32), count of its sayings (u32),
part and parts (u8 each), entries (u8), then for each a server's mark (u32) and how many of the node's
requests are there (u8). Whole states, not changes: one that is lost, doubled or late does no harm that the
next does not mend.
"""

from __future__ import annotations

import struct
from collections.abc import Hashable, Mapping
from functools import lru_cache
from typing import NamedTuple
from zlib import crc32

__all__ = ["MOST_ENTRIES", "MOST_PARTS", "SIZE", "Saying", "mark", "parse", "word"]

SIZE = 256
_HEAD = struct.Struct(">2sBHIIBBB")
_ENTRY = struct.Struct(">IB")
_MAGIC, _VERSION = b"hb", 1
MOST_ENTRIES = (SIZE - _HEAD.size) // _ENTRY.size
# A node that is at more servers than these hold says the rest not at all: who has that many sees for itself.
MOST_PARTS = 8


@lru_cache(maxsize=4096)
def mark(server: Hashable) -> int:
    """The number that stands for a server in a saying; two servers may share one, see Held."""
    return crc32(repr(server).encode())


class Saying(NamedTuple):
    """One datagram. process: of the node, drawn at its start; turn: the number of its saying, from 1."""

    node: int
    process: int
    turn: int
    part: int
    parts: int
    held: Mapping[int, int]  # by mark


def word(node: int, process: int, count: int, held: Mapping[int, int]) -> list[bytes]:
    """The datagrams of one state: at least one, as an empty state is news too.

    Those with the most come first, and beyond MOST_PARTS datagrams the rest is left out. ValueError: a
    figure is out of its range.
    """
    entries = sorted(((n, m) for m, n in held.items() if n > 0), reverse=True)[: MOST_PARTS * MOST_ENTRIES]
    parts = max(1, -(-len(entries) // MOST_ENTRIES))
    datagrams = []
    try:
        for part in range(parts):
            mine = entries[part * MOST_ENTRIES : (part + 1) * MOST_ENTRIES]
            head = _HEAD.pack(_MAGIC, _VERSION, node, process, count, part, parts, len(mine))
            datagrams.append(head + b"".join(_ENTRY.pack(m, min(n, 255)) for n, m in mine))
    except struct.error as error:
        raise ValueError(f"a saying of node {node}: {error}") from None
    return datagrams


def parse(data: bytes) -> Saying | None:
    """What a datagram says; None where it is none of these, whatever else it is."""
    if not _HEAD.size <= len(data) <= SIZE:
        return None
    magic, version, node, process, count, part, parts, entries = _HEAD.unpack_from(data)
    if (magic, version) != (_MAGIC, _VERSION) or len(data) != _HEAD.size + entries * _ENTRY.size:
        return None
    if not count or not part < parts <= MOST_PARTS or (entries < MOST_ENTRIES and part + 1 < parts):
        return None
    held = dict(_ENTRY.iter_unpack(data[_HEAD.size :]))
    if len(held) != entries or not all(held.values()):
        return None
    return Saying(node, process, count, part, parts, held)
