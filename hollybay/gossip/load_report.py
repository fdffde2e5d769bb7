"""Encoding of load reports: the complete load of one node, in datagrams of at most 256 bytes.

A report holds the complete load rather than changes to an earlier report, so the next report corrects the
effect of a datagram that was lost, duplicated or delayed.

Format (big endian)
-------------------
========  =======================================================
bytes     field
========  =======================================================
2         magic number "hb"
1         version, 1
2         number of the node
4         incarnation of the node: a number drawn by its process
4         sequence number of the report, from 1
1         index of this part, from 0
1         number of parts
1         number of entries that follow
========  =======================================================

Each entry is the hash of a server's id (4 bytes) and the number of the node's requests in flight there (1
byte; 255 stands for that many or more).
"""

from __future__ import annotations

import struct
from collections.abc import Hashable, Mapping
from functools import lru_cache
from typing import NamedTuple
from zlib import crc32

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_ENTRIES",
    "MAX_PARTS",
    "LoadReport",
    "decode_report",
    "encode_reports",
    "server_hash",
]

MAX_DATAGRAM_BYTES = 256
_HEADER = struct.Struct(">2sBHIIBBB")
_ENTRY = struct.Struct(">IB")
_MAGIC, _VERSION = b"hb", 1
_MAX_COUNT = 255  # highest number of requests in flight that an entry can hold
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - _HEADER.size) // _ENTRY.size  # per datagram
MAX_PARTS = 8  # datagrams per report; of more servers, those with the least load are left out
_HASH_CACHE_SIZE = 4096


@lru_cache(maxsize=_HASH_CACHE_SIZE)
def server_hash(server: Hashable) -> int:
    """Return the number that stands for a server in reports; two servers may share one."""
    return crc32(repr(server).encode())


class LoadReport(NamedTuple):
    """One datagram of a load report.

    Attributes
    ----------
    node
        Number of the node.
    incarnation
        Random number that the node's process drew at its start.
    sequence
        Sequence number of the report within the incarnation, from 1.
    part, part_count
        Index of this datagram, and the number of datagrams of the report.
    in_flight
        Requests in flight by server hash.
    """

    node: int
    incarnation: int
    sequence: int
    part: int
    part_count: int
    in_flight: Mapping[int, int]


def encode_reports(node: int, incarnation: int, sequence: int, in_flight: Mapping[int, int]) -> list[bytes]:
    """Encode one load report as datagrams, the servers with the most requests first.

    There is at least one datagram, because an idle node reports that it is idle. Servers that do not fit into
    `MAX_PARTS` datagrams are left out.

    Raises
    ------
    ValueError
        A number is out of the range of its field.
    """
    by_load = sorted(((count, server) for server, count in in_flight.items() if count > 0), reverse=True)
    entries = by_load[: MAX_PARTS * MAX_ENTRIES]
    part_count = max(1, -(-len(entries) // MAX_ENTRIES))
    datagrams = []
    try:
        for part in range(part_count):
            part_entries = entries[part * MAX_ENTRIES : (part + 1) * MAX_ENTRIES]
            header = _HEADER.pack(
                _MAGIC, _VERSION, node, incarnation, sequence, part, part_count, len(part_entries)
            )
            body = b"".join(_ENTRY.pack(server, min(count, _MAX_COUNT)) for count, server in part_entries)
            datagrams.append(header + body)
    except struct.error as error:
        raise ValueError(f"load report of node {node}: {error}") from None
    return datagrams


def decode_report(data: bytes) -> LoadReport | None:
    """Decode a datagram; None if it is not a valid load report."""
    if not _HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    magic, version, node, incarnation, sequence, part, part_count, entry_count = _HEADER.unpack_from(data)
    if (magic, version) != (_MAGIC, _VERSION):
        return None
    if len(data) != _HEADER.size + entry_count * _ENTRY.size:
        return None
    if not sequence or not part < part_count <= MAX_PARTS:
        return None
    is_last = part + 1 == part_count
    if entry_count < MAX_ENTRIES and not is_last:
        return None
    in_flight = dict(_ENTRY.iter_unpack(data[_HEADER.size :]))
    if len(in_flight) != entry_count or not all(in_flight.values()):
        return None
    return LoadReport(node, incarnation, sequence, part, part_count, in_flight)
