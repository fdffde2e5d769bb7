"""What a process of the tier saw: events on the machine's monotonic clock (ns), in a file of its own.

An event is a four-byte length (big endian) and a MessagePack array; what a kill left of the last one is
passed over. Events that are written within one turn of the loop may reach the file in one write; nothing is
held back across turns, so that a killed process loses at most what it did in its last turn.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from pathlib import Path
from typing import TypeAlias

import msgspec

__all__ = [
    "Answered",
    "Arrived",
    "Asked",
    "Beat",
    "Began",
    "Called",
    "Event",
    "EventLog",
    "Left",
    "NodeEnded",
    "Posted",
    "Said",
    "ServerDown",
    "ServerUp",
    "Told",
    "Under",
    "read_events",
]

_LENGTH = struct.Struct(">I")
# A longer event is none: the file was torn or is another's.
MAX_EVENT = 1 << 20


class _Event(msgspec.Struct, array_like=True, frozen=True, tag=True):
    at: int


class Asked(_Event, frozen=True):
    """A client has a request to make; its last byte is written as soon as a node takes the connection."""

    rid: str
    cls: int
    deadline: int
    tenant: str
    work: int  # ns at speed 1


class Posted(_Event, frozen=True):
    """Its bytes went to this node; fresh: on a connection opened for it."""

    rid: str
    node: str
    fresh: bool


class Answered(_Event, frozen=True):
    """What its client saw in the end: a value of testbed.ledger.FinalOutcome."""

    rid: str
    final: str
    status: int
    retry_after: float | None
    late: int  # ns that the answer lay unread in the client's process


class ServerUp(_Event, frozen=True):
    """A server listens: capacity in seconds of work a second when warm, by so many cores."""

    server: str
    capacity: float
    cores: int
    cold: bool


class ServerDown(_Event, frozen=True):
    """A server has crashed."""

    server: str


class Arrived(_Event, frozen=True):
    """A request is whole at a server; first: when its first byte came; work in ns at speed 1."""

    rid: str
    server: str
    first: int
    work: int
    zone: int
    cell: int
    runs: bool  # not turned away


class Began(_Event, frozen=True):
    """A core of the server has begun with it."""

    rid: str
    server: str


class Left(_Event, frozen=True):
    """It is no more at the server: done, given up by its node, or lost in a crash."""

    rid: str
    server: str
    done: bool


class Told(_Event, frozen=True):
    """A list has left for a node that tells this of a server."""

    node: str
    server: str
    ready: bool


class NodeEnded(_Event, frozen=True):
    """A node's process has ended (killed: by the rig, without a drain)."""

    node: str
    killed: bool


class Called(_Event, frozen=True):
    """An operator's call to a node's door has ended: its status, 0 for none, and how long (ns) it took."""

    node: str
    status: int
    took: int


class Beat(_Event, frozen=True):
    """A process's own clockwork: late so many ns; starved: ns without a core while ready, since the last."""

    process: str
    late: int
    starved: int


class Under(_Event, frozen=True):
    """A request has begun at a node, under the narrower of these policies."""

    node: str
    names: tuple[str, ...]


class Said(_Event, frozen=True):
    """An operator was told what became of a change: an exit status of `hollybay policy`; began: ns."""

    change: str
    code: int
    text: str
    began: int


Event: TypeAlias = (
    Asked
    | Posted
    | Answered
    | ServerUp
    | ServerDown
    | Arrived
    | Began
    | Left
    | Told
    | NodeEnded
    | Called
    | Beat
    | Under
    | Said
)
_decoder: msgspec.msgpack.Decoder[Event] = msgspec.msgpack.Decoder(Event)


class EventLog:
    """Writes events to a new file; flush() hands what was written since to the system in one write."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("xb", buffering=0)
        self._encoder = msgspec.msgpack.Encoder()
        self._pending = bytearray()

    def write(self, event: Event) -> None:
        """Add an event; it is in the file after the next flush."""
        data = self._encoder.encode(event)
        self._pending += _LENGTH.pack(len(data))
        self._pending += data

    def flush(self) -> None:
        """Hand over what is pending. OSError: the disk is full."""
        if self._pending:
            pending, self._pending = self._pending, bytearray()
            self._file.write(pending)

    def close(self) -> None:
        """Flush and close."""
        self.flush()
        self._file.close()


def read_events(path: Path) -> Iterator[Event]:
    """The events of one file, up to its end or to what a kill left of the last one.

    ValueError: what stands there is no event, and not for being cut off.
    """
    data = path.read_bytes()
    at = 0
    while at + 4 <= len(data):
        (length,) = _LENGTH.unpack_from(data, at)
        if length > MAX_EVENT:
            raise ValueError(f"{path.name}: no event at byte {at}")
        if at + 4 + length > len(data):
            return
        try:
            yield _decoder.decode(memoryview(data)[at + 4 : at + 4 + length])
        except msgspec.DecodeError as error:
            raise ValueError(f"{path.name}: no event at byte {at}: {error}") from None
        at += 4 + length
