"""Encoding of records on disk, with a checksum that shows whether a record is complete.

Pure. A record is a header (magic, version, sequence number, length of the data), a checksum of header and
data, and the data. Decoding distinguishes torn records, files of other programs and records of newer builds,
so that a process that must not vote can report the reason.
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
# Default limit for the data of a record, bytes.
MAX_RECORD_BYTES = 8 << 20
# Upper bound for the bytes of a record other than its data; readers read this many more than the data limit.
RECORD_OVERHEAD_BYTES = 256


class RecordIntegrity(Enum):
    """Result of checking the bytes of a file. The values are published: suffixes of quarantined files."""

    INTACT = "sound"
    EMPTY = "empty"
    TORN = "torn"  # begins like a record, but is incomplete or altered
    FOREIGN = "foreign"  # written by another program
    NEWER = "newer"  # written by a newer build, in a record version unknown to this one


@dataclass(frozen=True, slots=True)
class DecodedRecord:
    """The result of decoding.

    Parameters
    ----------
    integrity
        Whether the record is intact, and if not, why.
    sequence
        The sequence number of the record; 0 unless it is intact.
    data
        The data of the record; empty unless it is intact.
    """

    integrity: RecordIntegrity
    sequence: int = 0
    data: bytes = b""


def _checksum(header: bytes, data: bytes) -> bytes:
    return blake2b(header + data, digest_size=_CHECKSUM_BYTES, person=b"hollybay.record").digest()


def encode_record(sequence: int, data: bytes, max_bytes: int = MAX_RECORD_BYTES) -> bytes:
    """Encode a record.

    Parameters
    ----------
    sequence
        The sequence number, one more than that of the previous record.
    max_bytes
        Limit for the length of the data.

    Raises
    ------
    ValueError
        The sequence number is out of range, or the data is too long.
    """
    if not 0 <= sequence < _SEQUENCE_LIMIT or len(data) > max_bytes:
        raise ValueError(
            f"record {sequence} of {len(data)} bytes: "
            f"expected a number from 0 to {_SEQUENCE_LIMIT - 1} and at most {max_bytes} bytes"
        )
    header = _HEADER.pack(_MAGIC, _VERSION, sequence, len(data))
    return header + _checksum(header, data) + data


def decode_record(encoded: bytes) -> DecodedRecord:
    """Decode a record; data is returned only if the record is intact."""
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
