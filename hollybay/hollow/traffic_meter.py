"""An event loop that counts what goes over its connections.

Bytes are those of the application. Segments are what the kernel says of connections that this process
opened (TCP_INFO), as far as they had come when the connection was closed.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import uvloop

__all__ = ["Conversation", "MeteredLoop", "Wire"]

_TCP_INFO_LENGTH = 144
_SEGMENTS = struct.Struct("=II")  # sent, received
_SEGMENTS_AT = 136
# The end of a connection and its acknowledgement, which come after the count is taken.
_CLOSING_SEGMENTS = 2


@dataclass(slots=True)
class Conversation:
    """All bytes of one connection, both ways. opened: by this process."""

    opened: bool
    received: bytearray = field(default_factory=bytearray)
    sent: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Wire:
    """What went over all connections of a loop. conversations: None where they are not recorded."""

    bytes_received: int = 0
    bytes_sent: int = 0
    opened: int = 0
    accepted: int = 0
    segments: int = 0
    segment_connections: int = 0
    conversations: list[Conversation] | None = None


class _MeteredTransport:
    """A transport whose writes are counted; all else is the transport's own."""

    def __init__(self, inner: asyncio.Transport, wire: Wire, conversation: Conversation | None) -> None:
        self._inner = inner
        self._wire = wire
        self._conversation = conversation
        self._counted = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def write(self, data: bytes) -> None:
        self._wire.bytes_sent += len(data)
        if self._conversation is not None:
            self._conversation.sent += data
        self._inner.write(data)

    def count_segments(self) -> None:
        """Take the kernel's count, once, while the connection is there."""
        sock = self._inner.get_extra_info("socket")
        if self._counted or sock is None:
            return
        self._counted = True
        try:
            told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_LENGTH)
        except OSError:
            return
        if len(told) < _SEGMENTS_AT + _SEGMENTS.size:
            return
        sent, received = _SEGMENTS.unpack_from(told, _SEGMENTS_AT)
        self._wire.segments += sent + received + _CLOSING_SEGMENTS
        self._wire.segment_connections += 1

    def abort(self) -> None:
        self.count_segments()
        self._inner.abort()


class _MeteredProtocol(asyncio.Protocol):
    """A protocol whose reads are counted, and whose transport counts what is written."""

    def __init__(self, inner: asyncio.Protocol, wire: Wire, opened: bool) -> None:
        self._inner = inner
        self._wire = wire
        self._opened = opened
        self._conversation = Conversation(opened) if wire.conversations is not None else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        wire = self._wire
        if self._opened:
            wire.opened += 1
        else:
            wire.accepted += 1
        if wire.conversations is not None and self._conversation is not None:
            wire.conversations.append(self._conversation)
        metered = _MeteredTransport(cast(asyncio.Transport, transport), wire, self._conversation)
        self._inner.connection_made(cast(asyncio.BaseTransport, metered))

    def data_received(self, data: bytes) -> None:
        self._wire.bytes_received += len(data)
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
    """The loop of a real node, with its connections counted in `wire`."""

    def __init__(self) -> None:
        self.wire = Wire()

    async def create_connection(self, protocol_factory: Callable[[], Any], *args: Any, **more: Any) -> Any:
        def metered() -> asyncio.Protocol:
            return _MeteredProtocol(protocol_factory(), self.wire, opened=True)

        return await super().create_connection(metered, *args, **more)

    async def create_server(self, protocol_factory: Callable[[], Any], *args: Any, **more: Any) -> Any:
        def metered() -> asyncio.Protocol:
            return _MeteredProtocol(protocol_factory(), self.wire, opened=False)

        return await super().create_server(metered, *args, **more)
