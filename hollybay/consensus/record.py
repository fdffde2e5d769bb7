"""A record on disk: bytes that tell whether they are complete.

Pure. A record is a header (magic, version, sequence number, length of the data), a checksum of header and
data, and the data. A torn record, a file of another program and a record of a newer build are told apart
from data and from each other, so that a process that must not vote can say why.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

__all__ = [
    "MAX_RECORD_BYTES",
    "RECORD_OVERHEAD_BYTES",
    "DecodedRecord",
    "RecordIntegrity",
    "decode_record",
    "encode_record",
]

_HEADER = struct.Struct(">8sHQI")  # magic, version, sequence number, bytes of data
_MAGIC = b"hbaccord"
_VERSION = 1
_CHECKSUM_BYTES = 16
_SEQUENCE_LIMIT = 1 << 64
# The longest data of a record, where no other limit is given.
MAX_RECORD_BYTES = 8 << 20
# At least the bytes that a record has beside its data: a reader reads so many more.
RECORD_OVERHEAD_BYTES = 256


class RecordIntegrity(Enum):
    """What the bytes of a file are. The values are published: the suffixes of quarantined files."""

    INTACT = "sound"
    EMPTY = "empty"
    TORN = "torn"  # begins as a record of ours, and is incomplete or altered
    FOREIGN = "foreign"  # another program's
    NEWER = "newer"  # of a build whose version of records this one does not know


@dataclass(frozen=True, slots=True)
class DecodedRecord:
    """The result of decoding.

    Parameters
    ----------
    integrity
        What the bytes are.
    sequence
        One more than the record before; 0 unless it is intact.
    data
        Empty unless it is intact.
    """

    integrity: RecordIntegrity
    sequence: int = 0
    data: bytes = b""


def _checksum(header: bytes, data: bytes) -> bytes:
    return blake2b(header + data, digest_size=_CHECKSUM_BYTES, person=b"hollybay.record").digest()


def encode_record(sequence: int, data: bytes, max_bytes: int = MAX_RECORD_BYTES) -> bytes:
    """The bytes of a record.

    Parameters
    ----------
    sequence
        One more than the record before.
    max_bytes
        The longest data.

    Raises
    ------
    ValueError
        The sequence number is out of range, or the data too long.
    """
    if not 0 <= sequence < _SEQUENCE_LIMIT or len(data) > max_bytes:
        raise ValueError(f"a record of count {sequence} and {len(data)} bytes")
    header = _HEADER.pack(_MAGIC, _VERSION, sequence, len(data))
    return header + _checksum(header, data) + data


def decode_record(encoded: bytes) -> DecodedRecord:
    """A record from its bytes; nothing is taken as data unless all of it is as it was written."""
    if not encoded:
        return DecodedRecord(RecordIntegrity.EMPTY)
    if encoded[: len(_MAGIC)] != _MAGIC[: len(encoded)]:
        return DecodedRecord(RecordIntegrity.FOREIGN)
    if len(encoded) < _HEADER.size:
        return DecodedRecord(RecordIntegrity.TORN)
    header, rest = encoded[: _HEADER.size], encoded[_HEADER.size :]
    _, version, sequence, length = _HEADER.unpack(header)
    if version > _VERSION:
        return DecodedRecord(RecordIntegrity.NEWER)
    checksum, data = rest[:_CHECKSUM_BYTES], rest[_CHECKSUM_BYTES:]
    if version != _VERSION or len(data) != length or checksum != _checksum(header, data):
        return DecodedRecord(RecordIntegrity.TORN)
    return DecodedRecord(RecordIntegrity.INTACT, sequence, data)
