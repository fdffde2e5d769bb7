"""A record as bytes that tell whether they are whole: magic, form, count, length, checksum.

Pure. A record that is torn, another program's or of a newer build is told apart from data, and each from the
others, so that a node that must not vote says why.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

__all__ = ["Fate", "Found", "pack", "unpack"]

_HEAD = struct.Struct(">8sHQI")
_MAGIC, VERSION = b"hbaccord", 1
_CHECK = 16
MOST = 8 << 20


class Fate(Enum):
    """What a file's bytes are."""

    SOUND = "sound"
    EMPTY = "empty"
    TORN = "torn"  # begun as one of ours, and not whole, or not what was written
    FOREIGN = "foreign"
    NEWER = "newer"  # of a build whose form this one does not know


@dataclass(frozen=True, slots=True)
class Found:
    """What stands there; count and data only where it is sound."""

    fate: Fate
    count: int = 0
    data: bytes = b""


def _check(head: bytes, data: bytes) -> bytes:
    return blake2b(head + data, digest_size=_CHECK, person=b"hollybay.record").digest()


def pack(count: int, data: bytes, most: int = MOST) -> bytes:
    """The bytes of a record; count: one more than the record before; most: bytes of data.

    ValueError: out of range.
    """
    if not 0 <= count < 1 << 64 or len(data) > most:
        raise ValueError(f"a record of count {count} and {len(data)} bytes")
    head = _HEAD.pack(_MAGIC, VERSION, count, len(data))
    return head + _check(head, data) + data


def unpack(found: bytes) -> Found:
    """What these bytes are; nothing of them is read as data unless all of it is what was written."""
    if not found:
        return Found(Fate.EMPTY)
    if found[: len(_MAGIC)] != _MAGIC[: len(found)]:
        return Found(Fate.FOREIGN)
    if len(found) < _HEAD.size:
        return Found(Fate.TORN)
    head = found[: _HEAD.size]
    _, version, count, length = _HEAD.unpack(head)
    if version > VERSION:
        return Found(Fate.NEWER)
    check, data = found[_HEAD.size : _HEAD.size + _CHECK], found[_HEAD.size + _CHECK :]
    if version != VERSION or len(data) != length or check != _check(head, data):
        return Found(Fate.TORN)
    return Found(Fate.SOUND, count, data)
