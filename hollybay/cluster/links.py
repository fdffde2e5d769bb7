"""Simulated faults on the connections between two processes, applied at the harness's end of the connection.

A Link stands for all connections between two ends. Its state determines what happens to bytes toward the
node (`down`) and from it (`up`), and to new connections. A LinkedProtocol puts an ordinary protocol behind a
link; a LinkedListener is a listening socket whose link can be cut: the kernel then leaves connects
unanswered, as on a network that loses their packets.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from typing import Annotated, Any, cast

import msgspec

__all__ = ["Link", "LinkState", "LinkedListener", "LinkedProtocol"]


class LinkState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The state of a link; the default has no fault.

    cut: no new connections and no bytes in either direction; bytes in transit are delivered when the link
    recovers, as with TCP. lost_up, lost_down: no bytes in that direction only. hold: bytes wait in both
    directions, new connections are accepted. lag: delay of each byte (s). rate: bytes a second in each
    direction of each connection, 0 for no limit. lose: share of datagrams that are lost (connections lose
    nothing, since TCP retransmits). reset: connections are reset, new ones as soon as they are open.
    """

    cut: bool = False
    lost_up: bool = False
    lost_down: bool = False
    hold: bool = False
    reset: bool = False
    lose: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    lag: Annotated[float, msgspec.Meta(ge=0, le=60)] = 0.0
    rate: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Link:
    """All connections between two ends, and their common state."""

    def __init__(self) -> None:
        self.state = LinkState()
        self.connections: set[LinkedProtocol] = set()
        self.listeners: list[LinkedListener] = []

    def set_state(self, state: LinkState) -> None:
        """Apply a state to all connections at once."""
        self.state = state
        for listener in self.listeners:
            listener.apply_state()
        for connection in list(self.connections):
            if state.reset:
                connection.abort()
            else:
                connection.up.pump()
                connection.down.pump()


class _Direction:
    """One direction of one connection: delivers bytes in order, each when it is due."""

    def __init__(
        self, link: Link, is_lost: Callable[[LinkState], bool], deliver: Callable[[bytes], None]
    ) -> None:
        self.link = link
        self.is_lost = is_lost
        self.deliver = deliver
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[tuple[float, bytes, Callable[[], None] | None]] = deque()
        self.rate_free_at = 0.0  # when the preceding bytes have passed, under a rate limit
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False

    def put(self, data: bytes, on_sent: Callable[[], None] | None = None) -> None:
        """Accept bytes; on_sent: called when they were delivered."""
        state = self.link.state
        now = self.loop.time()
        due = now + state.lag
        if state.rate > 0.0:
            self.rate_free_at = max(self.rate_free_at, now) + len(data) / state.rate
            due = max(due, self.rate_free_at)
        if not self.waiting and due <= now and not self._is_blocked(state):
            self._deliver(data, on_sent)
            return
        self.waiting.append((due, data, on_sent))
        self.pump()

    def _is_blocked(self, state: LinkState) -> bool:
        return state.cut or state.hold or self.is_lost(state)

    def _deliver(self, data: bytes, on_sent: Callable[[], None] | None) -> None:
        if data:
            self.deliver(data)
        if on_sent is not None:
            on_sent()

    def pump(self) -> None:
        """Deliver the bytes that are due, and schedule the rest."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.waiting and not self.stopped and not self._is_blocked(self.link.state):
            due, data, on_sent = self.waiting[0]
            if due > self.loop.time():
                self.timer = self.loop.call_at(due, self.pump)
                return
            self.waiting.popleft()
            self._deliver(data, on_sent)

    def stop(self) -> None:
        """Drop pending bytes and deliver nothing from now on."""
        self.stopped = True
        self.waiting.clear()
        if self.timer is not None:
            self.timer.cancel()


class _Transport(asyncio.Transport):
    """The transport that the protocol behind a link sees."""

    def __init__(self, connection: LinkedProtocol) -> None:
        super().__init__()
        self.connection = connection
        self.closing = False

    def write(self, data: Any) -> None:
        if not self.closing:
            self.connection.down.put(bytes(data))

    def send(self, data: bytes, on_sent: Callable[[], None]) -> None:
        """Write; on_sent is called when the bytes have passed the link."""
        if not self.closing:
            self.connection.down.put(data, on_sent)

    def is_closing(self) -> bool:
        return self.closing or self.connection.transport.is_closing()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.connection.down.put(b"", self.connection.transport.close)

    def abort(self) -> None:
        self.closing = True
        self.connection.abort()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.connection.transport.get_extra_info(name, default)


class LinkedProtocol(asyncio.Protocol):
    """Puts a protocol behind a link; down: toward the peer, up: from it."""

    def __init__(self, link: Link, protocol: asyncio.Protocol) -> None:
        self.link = link
        self.protocol = protocol
        self.transport: asyncio.Transport
        self.up = _Direction(link, lambda state: state.lost_up, protocol.data_received)
        self.down = _Direction(link, lambda state: state.lost_down, lambda data: self.transport.write(data))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.link.connections.add(self)
        self.protocol.connection_made(_Transport(self))
        if self.link.state.reset:
            self.abort()

    def data_received(self, data: bytes) -> None:
        self.up.put(data)

    def eof_received(self) -> bool:
        self.up.put(b"", self.transport.close)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.connections.discard(self)
        self.up.stop()
        self.down.stop()
        self.protocol.connection_lost(exc)

    def abort(self) -> None:
        """Reset the connection."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None:  # linger 0 forces a reset, where abort() alone may send a FIN
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.transport.abort()


class LinkedListener:
    """A listening socket on loopback behind a link. protocol_factory: makes the protocol of a connection."""

    BACKLOG = 512

    def __init__(self, link: Link, protocol_factory: Callable[[], asyncio.Protocol], port: int = 0) -> None:
        self.link = link
        self.protocol_factory = protocol_factory
        self.loop = asyncio.get_running_loop()
        self.port = port
        self.sock: socket.socket | None = None
        self.paused = False  # connects are left unanswered
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        link.listeners.append(self)

    def open(self) -> int:
        """Listen on the same port as before, if any; return the port. OSError: the port is in use."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(("127.0.0.1", self.port))
            sock.listen(self.BACKLOG)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.port = sock.getsockname()[1]
        self.paused = False
        self.loop.add_reader(sock.fileno(), self._accept)
        self.apply_state()
        return self.port

    def apply_state(self) -> None:
        """Pause or resume accepting, as the state of the link requires."""
        if self.sock is None or self.link.state.cut == self.paused:
            return
        self.paused = self.link.state.cut
        if self.paused:
            # While the accept queue is full, the kernel drops the SYN of every further connect.
            self.loop.remove_reader(self.sock.fileno())
            self.sock.listen(0)
            for _ in range(4):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(("127.0.0.1", self.port))
                self._fillers.append(filler)
        else:
            for filler in self._fillers:
                filler.close()
            self._fillers.clear()
            self.sock.listen(self.BACKLOG)
            self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(64):
            if self.sock is None or self.paused:
                return
            try:
                conn, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(
                self.loop.connect_accepted_socket(
                    lambda: LinkedProtocol(self.link, self.protocol_factory()), conn
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._on_accepted)

    def _on_accepted(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # retrieve it: the peer closed before its connection was set up

    def close(self) -> None:
        """Stop listening: the kernel refuses connects from now on."""
        if self.sock is None:
            return
        if not self.paused:
            self.loop.remove_reader(self.sock.fileno())
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.sock.close()
        self.sock = None
