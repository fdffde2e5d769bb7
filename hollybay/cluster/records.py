"""Event logs: the events of one process, with times of the machine's monotonic clock (ns), in its own file.

An event is a four-byte length (big endian) and a MessagePack array; an event truncated by a kill is ignored.
Events of one event loop iteration may reach the file in one write; none is held back beyond the iteration, so
a killed process loses at most the events of its last iteration.
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
# A longer length means that the file is corrupt or not an event log.
MAX_EVENT = 1 << 20


class _Event(msgspec.Struct, array_like=True, frozen=True, tag=True):
    at: int


class Asked(_Event, frozen=True):
    """A client starts a request; its last byte is written as soon as a node accepts the connection."""

    rid: str
    cls: int
    deadline: int
    tenant: str
    work: int  # ns at speed 1


class Posted(_Event, frozen=True):
    """A request was written to this node; fresh: on a connection opened for it."""

    rid: str
    node: str
    fresh: bool


class Answered(_Event, frozen=True):
    """The outcome at the client: a value of testbed.ledger.FinalOutcome."""

    rid: str
    final: str
    status: int
    retry_after: float | None
    late: int  # ns that the response lay unread in the client's process


class ServerUp(_Event, frozen=True):
    """A server has started: capacity in seconds of work a second when warm, over its cores."""

    server: str
    capacity: float
    cores: int
    cold: bool


class ServerDown(_Event, frozen=True):
    """A server has crashed."""

    server: str


class Arrived(_Event, frozen=True):
    """A server received a request completely; first: time of its first byte; work in ns at speed 1."""

    rid: str
    server: str
    first: int
    work: int
    zone: int
    cell: int
    runs: bool  # not rejected


class Began(_Event, frozen=True):
    """A core of the server has begun the request."""

    rid: str
    server: str


class Left(_Event, frozen=True):
    """A request has left the server: done, abandoned by its node, or lost in a crash."""

    rid: str
    server: str
    done: bool


class Told(_Event, frozen=True):
    """A list with this state of a server was sent to a node."""

    node: str
    server: str
    ready: bool


class NodeEnded(_Event, frozen=True):
    """A node's process has ended (killed: by the harness, without a drain)."""

    node: str
    killed: bool


class Called(_Event, frozen=True):
    """An operator's call to an admin endpoint has ended: status, 0 for no response, and duration (ns)."""

    node: str
    status: int
    took: int


class Beat(_Event, frozen=True):
    """A process's periodic timer: its delay (ns); starved: ns runnable without a core since the last."""

    process: str
    late: int
    starved: int


class Under(_Event, frozen=True):
    """A request has begun at a node, under the intersection of these policies."""

    node: str
    names: tuple[str, ...]


class Said(_Event, frozen=True):
    """The outcome of a change reported to an operator: an exit status of `hollybay policy`; began: ns."""

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
    """Writes events to a new file; flush() passes all pending events to the kernel in one write."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("xb", buffering=0)
        self._encoder = msgspec.msgpack.Encoder()
        self._pending = bytearray()

    def write(self, event: Event) -> None:
        """Append an event to the pending ones; the next flush writes it."""
        data = self._encoder.encode(event)
        self._pending += _LENGTH.pack(len(data))
        self._pending += data

    def flush(self) -> None:
        """Write the pending events. OSError: the disk is full."""
        if self._pending:
            pending, self._pending = self._pending, bytearray()
            self._file.write(pending)

    def close(self) -> None:
        """Flush and close."""
        self.flush()
        self._file.close()


def read_events(path: Path) -> Iterator[Event]:
    """Yield the events of one file, up to its end or to a truncated last event.

    ValueError: invalid data that truncation does not explain.
    """
    data = path.read_bytes()
    at = 0
    while at + 4 <= len(data):
        (length,) = _LENGTH.unpack_from(data, at)
        if length > MAX_EVENT:
            raise ValueError(f"{path.name}: invalid event at byte {at}")
        if at + 4 + length > len(data):
            return
        try:
            yield _decoder.decode(memoryview(data)[at + 4 : at + 4 + length])
        except msgspec.DecodeError as error:
            raise ValueError(f"{path.name}: invalid event at byte {at}: {error}") from None
        at += 4 + length
