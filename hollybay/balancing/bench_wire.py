"""Frames of the simulator's wire protocol: binary, little-endian, fixed-size records and one shared tail.

A batch is a header, event records and a tail; a reply is a header, action records and a tail. Records refer
to text and lists by offset and length in the tail. Records are named as in the protocol's specification.
"""

from __future__ import annotations

import struct
from typing import BinaryIO, NamedTuple

BATCH_HEAD = struct.Struct("<IIIQ")
REPLY_HEAD = struct.Struct("<III")
EVENT_SIZE = 56
ACTION_SIZE = 32
ENTRY = struct.Struct("<6sBBHBfQ")

# Event codes, and the layout of each record; a record starts with its code.
ENLIST, TOPOLOGY, ORDER, ACK_FIRST, RESULT, CANCELLED_BY_CLIENT, FIRED, HEALTH, WHISPER, RETIRE, DIRECTORY = (
    range(1, 12)
)
E_ENLIST = struct.Struct("<xIQII")
E_TOPOLOGY = struct.Struct("<xIBIH")
E_ORDER = struct.Struct("<xIQBHQQQH")
E_ACK_FIRST = struct.Struct("<xIQH6sQ")
E_RESULT = struct.Struct("<xIQBQ6sHHB4f")
E_CANCELLED = struct.Struct("<xIQ")
E_FIRED = struct.Struct("<xII")
E_HEALTH = struct.Struct("<xI6sHQB4f")
E_WHISPER = struct.Struct("<xIHII")
E_RETIRE = struct.Struct("<xI")
E_DIRECTORY = struct.Struct("<xHII")

# Action codes, and the layout of each record, padded to ACTION_SIZE.
(
    CLOSE,
    TURN_AWAY,
    BUG,
    RETRACT,
    DROP_REQUEST,
    ANNOUNCE,
    PROBE,
    GET_LIST,
    WAKE_AT,
    KEEP_INFORMED,
    JOURNAL_LINE,
    SUBMIT_TO,
) = range(1, 13)
A_CLOSE = struct.Struct("<BI6s21x")
A_TURN_AWAY = struct.Struct("<BIQQ11x")
A_TEXT = struct.Struct("<BIII19x")
A_RETRACT = struct.Struct("<BIQH17x")
A_DROP_REQUEST = struct.Struct("<BIQ19x")
A_PROBE = A_CLOSE
A_GET_LIST = struct.Struct("<BI27x")
A_WAKE_AT = struct.Struct("<BIQI15x")
A_KEEP_INFORMED = struct.Struct("<BIB26x")
A_SUBMIT_TO = struct.Struct("<BIQ6sQ5x")

# The largest valid size (bytes) of a batch; a larger one means that the header is corrupt.
MAX_FRAME = 1 << 30


class WireError(Exception):
    """The input is not a valid frame."""


class Batch(NamedTuple):
    """One frame from the simulator.

    Attributes
    ----------
    number
        The number of the batch, which the reply repeats.
    now
        The time (ns).
    size
        The number of records.
    records, tail
        The concatenated records, and the bytes that they refer to.
    """

    number: int
    now: int
    size: int
    records: bytes
    tail: bytes


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read the next batch; None at a clean end of input.

    Raises
    ------
    WireError
        If the input is not a batch, or ends within one.
    """
    head = stream.read(BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < BATCH_HEAD.size:
        raise WireError(f"truncated header: {len(head)} of {BATCH_HEAD.size} bytes")
    number, count, size, now = BATCH_HEAD.unpack(head)
    size -= 8  # the size in the header includes the 8 bytes of the time
    if size < count * EVENT_SIZE or size > MAX_FRAME:
        raise WireError(f"malformed header: {count} records cannot take {size} bytes")
    body = stream.read(size) if size else b""
    if len(body) < size:
        raise WireError(f"truncated frame: {len(body)} of {size} bytes")
    split = count * EVENT_SIZE
    return Batch(number, now, count, body[:split], body[split:])


def tail_bytes(tail: bytes, offset: int, length: int) -> bytes:
    """Return a slice of the tail.

    Raises
    ------
    WireError
        If the slice exceeds the tail.
    """
    if offset + length > len(tail):
        raise WireError(f"field outside the tail: {offset}+{length} of {len(tail)} bytes")
    return tail[offset : offset + length]


def write_reply(number: int, records: list[bytes], tail: bytes) -> bytes:
    """Return a reply frame."""
    body = b"".join(records)
    return REPLY_HEAD.pack(number, 4 + len(body) + len(tail), len(records)) + body + tail
