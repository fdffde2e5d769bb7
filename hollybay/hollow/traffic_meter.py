"""An event loop that counts the traffic of its connections.

Bytes are application data. Segments are the kernel's counts (TCP_INFO) of connections that this process
aborted, read just before.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import uvloop

__all__ = ["Conversation", "MeteredLoop", "TrafficCounters"]

_TCP_INFO_LENGTH = 144
_SEGMENTS = struct.Struct("=II")  # sent, received
_SEGMENTS_AT = 136
# Segments sent after the count is read: the end of the connection and its acknowledgement.
_CLOSING_SEGMENTS = 2


@dataclass(slots=True)
class Conversation:
    """All data of a connection, in both directions; `opened`: by this process."""

    opened: bool
    received: bytearray = field(default_factory=bytearray)
    sent: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class TrafficCounters:
    """Traffic of all connections of a loop; `conversations` is None if they are not recorded."""

    bytes_received: int = 0
    bytes_sent: int = 0
    opened: int = 0
    accepted: int = 0
    segments: int = 0
    segment_connections: int = 0
    conversations: list[Conversation] | None = None


class _MeteredTransport:
    """Wraps a transport and counts its writes."""

    def __init__(
        self, inner: asyncio.Transport, traffic: TrafficCounters, conversation: Conversation | None
    ) -> None:
        self._inner = inner
        self._traffic = traffic
        self._conversation = conversation
        self._counted = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def write(self, data: bytes) -> None:
        self._traffic.bytes_sent += len(data)
        if self._conversation is not None:
            self._conversation.sent += data
        self._inner.write(data)

    def count_segments(self) -> None:
        """Add the kernel's segment count of the connection, once, before it is closed."""
        sock = self._inner.get_extra_info("socket")
        if self._counted or sock is None:
            return
        self._counted = True
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_LENGTH)
        except OSError:
            return
        if len(info) < _SEGMENTS_AT + _SEGMENTS.size:
            return
        sent, received = _SEGMENTS.unpack_from(info, _SEGMENTS_AT)
        self._traffic.segments += sent + received + _CLOSING_SEGMENTS
        self._traffic.segment_connections += 1

    def abort(self) -> None:
        self.count_segments()
        self._inner.abort()


class _MeteredProtocol(asyncio.Protocol):
    """Wraps a protocol, counts its reads, and gives it a metered transport."""

    def __init__(self, inner: asyncio.Protocol, traffic: TrafficCounters, opened: bool) -> None:
        self._inner = inner
        self._traffic = traffic
        self._opened = opened
        self._conversation = Conversation(opened) if traffic.conversations is not None else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        traffic = self._traffic
        if self._opened:
            traffic.opened += 1
        else:
            traffic.accepted += 1
        if traffic.conversations is not None and self._conversation is not None:
            traffic.conversations.append(self._conversation)
        metered = _MeteredTransport(cast(asyncio.Transport, transport), traffic, self._conversation)
        self._inner.connection_made(cast(asyncio.BaseTransport, metered))

    def data_received(self, data: bytes) -> None:
        self._traffic.bytes_received += len(data)
        if self._conversation is not None:
            self._conversation.received += data
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()


class MeteredLoop(uvloop.Loop):
    """The event loop of a real node, which counts the traffic of its connections in `traffic`."""

    def __init__(self) -> None:
        self.traffic = TrafficCounters()

    async def create_connection(self, protocol_factory: Callable[[], Any], *args: Any, **more: Any) -> Any:
        def metered() -> asyncio.Protocol:
            return _MeteredProtocol(protocol_factory(), self.traffic, opened=True)

        return await super().create_connection(metered, *args, **more)

    async def create_server(self, protocol_factory: Callable[[], Any], *args: Any, **more: Any) -> Any:
        def metered() -> asyncio.Protocol:
            return _MeteredProtocol(protocol_factory(), self.traffic, opened=False)

        return await super().create_server(metered, *args, **more)
