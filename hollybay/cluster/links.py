"""What may happen to the bytes between two processes, at the end of the connection that is the rig's own.

A Link stands for all connections between two ends. Its state says what becomes of bytes toward the node
(`down`) and from it (`up`), and of new connections. A Linked protocol puts an ordinary one behind a link; a
Door is a listening socket whose link can be cut: while it is, the kernel leaves connects unanswered, as a
network does that loses them.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from typing import Annotated, Any, cast

import msgspec

__all__ = ["Door", "Link", "Linked", "State"]


class State(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The state of a link; the default is a sound one.

    cut: no new connection, no byte either way; what was on its way is delivered when the link is sound again,
    as TCP does. lost_up, lost_down: one direction only. hold: bytes wait both ways, new connections come
    through. lag: each byte this much later (s). rate: bytes a second in each direction of each connection,
    0: any. lose: part of datagrams that never arrive (connections lose nothing, TCP sends again). reset:
    connections are reset, new ones as soon as they are there.
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
    """All connections between two ends, and the state that they are in."""

    def __init__(self) -> None:
        self.state = State()
        self.lines: set[Linked] = set()
        self.doors: list[Door] = []

    def put(self, state: State) -> None:
        """Take on a state, at once and for all connections."""
        self.state = state
        for door in self.doors:
            door.follow()
        for line in list(self.lines):
            if state.reset:
                line.abort()
            else:
                line.up.pump()
                line.down.pump()


class _Pipe:
    """One direction of one connection: bytes in order, each when its time has come."""

    def __init__(self, link: Link, lost: Callable[[State], bool], deliver: Callable[[bytes], None]) -> None:
        self.link = link
        self.lost = lost
        self.deliver = deliver
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[tuple[float, bytes, Callable[[], None] | None]] = deque()
        self.free_at = 0.0  # when the bytes before are through, where the rate is bounded
        self.timer: asyncio.TimerHandle | None = None
        self.dead = False

    def put(self, data: bytes, then: Callable[[], None] | None = None) -> None:
        """Bytes come in; then: called when they have gone out."""
        state = self.link.state
        now = self.loop.time()
        due = now + state.lag
        if state.rate > 0.0:
            self.free_at = max(self.free_at, now) + len(data) / state.rate
            due = max(due, self.free_at)
        if not self.waiting and due <= now and not self._held(state):
            self._out(data, then)
            return
        self.waiting.append((due, data, then))
        self.pump()

    def _held(self, state: State) -> bool:
        return state.cut or state.hold or self.lost(state)

    def _out(self, data: bytes, then: Callable[[], None] | None) -> None:
        if data:
            self.deliver(data)
        if then is not None:
            then()

    def pump(self) -> None:
        """Deliver what is due, and wake for the rest."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.waiting and not self.dead and not self._held(self.link.state):
            due, data, then = self.waiting[0]
            if due > self.loop.time():
                self.timer = self.loop.call_at(due, self.pump)
                return
            self.waiting.popleft()
            self._out(data, then)

    def kill(self) -> None:
        """Deliver nothing any more."""
        self.dead = True
        self.waiting.clear()
        if self.timer is not None:
            self.timer.cancel()


class _Transport(asyncio.Transport):
    """The transport that the protocol behind a link sees."""

    def __init__(self, line: Linked) -> None:
        super().__init__()
        self.line = line
        self.closing = False

    def write(self, data: Any) -> None:
        if not self.closing:
            self.line.down.put(bytes(data))

    def send(self, data: bytes, then: Callable[[], None]) -> None:
        """Write, and be told when the bytes have passed the link."""
        if not self.closing:
            self.line.down.put(data, then)

    def is_closing(self) -> bool:
        return self.closing or self.line.real.is_closing()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.line.down.put(b"", self.line.real.close)

    def abort(self) -> None:
        self.closing = True
        self.line.abort()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.line.real.get_extra_info(name, default)


class Linked(asyncio.Protocol):
    """A connection behind a link; down: toward the peer, up: from it."""

    def __init__(self, link: Link, inner: asyncio.Protocol) -> None:
        self.link = link
        self.inner = inner
        self.real: asyncio.Transport
        self.up = _Pipe(link, lambda state: state.lost_up, inner.data_received)
        self.down = _Pipe(link, lambda state: state.lost_down, lambda data: self.real.write(data))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.real = cast(asyncio.Transport, transport)
        self.link.lines.add(self)
        self.inner.connection_made(_Transport(self))
        if self.link.state.reset:
            self.abort()

    def data_received(self, data: bytes) -> None:
        self.up.put(data)

    def eof_received(self) -> bool:
        self.up.put(b"", self.real.close)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.lines.discard(self)
        self.up.kill()
        self.down.kill()
        self.inner.connection_lost(exc)

    def abort(self) -> None:
        """Reset the connection."""
        sock = self.real.get_extra_info("socket")
        if sock is not None:  # with a reset, as abort() alone may say goodbye with a FIN
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.real.abort()


class Door:
    """A listening socket on loopback behind a link. make: the protocol of one connection."""

    BACKLOG = 512

    def __init__(self, link: Link, make: Callable[[], asyncio.Protocol], port: int = 0) -> None:
        self.link = link
        self.make = make
        self.loop = asyncio.get_running_loop()
        self.port = port
        self.sock: socket.socket | None = None
        self.shut = False  # connects are left unanswered
        self._fill: list[socket.socket] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        link.doors.append(self)

    def open(self) -> int:
        """Listen, at the port of an earlier life if there was one; the port. OSError: it is taken."""
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
        self.shut = False
        self.loop.add_reader(sock.fileno(), self._accept)
        self.follow()
        return self.port

    def follow(self) -> None:
        """Do as the link's state says."""
        if self.sock is None or self.link.state.cut == self.shut:
            return
        self.shut = self.link.state.cut
        if self.shut:
            # With its queue full and nobody accepting, the kernel drops the first packet of every connect.
            self.loop.remove_reader(self.sock.fileno())
            self.sock.listen(0)
            for _ in range(4):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(("127.0.0.1", self.port))
                self._fill.append(filler)
        else:
            for filler in self._fill:
                filler.close()
            self._fill.clear()
            self.sock.listen(self.BACKLOG)
            self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(64):
            if self.sock is None or self.shut:
                return
            try:
                conn, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(
                self.loop.connect_accepted_socket(lambda: Linked(self.link, self.make()), conn)
            )
            self._tasks.add(task)
            task.add_done_callback(self._taken)

    def _taken(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # the peer went before its connection was taken

    def close(self) -> None:
        """Listen no more: connects are refused from now on."""
        if self.sock is None:
            return
        if not self.shut:
            self.loop.remove_reader(self.sock.fileno())
        for filler in self._fill:
            filler.close()
        self._fill.clear()
        self.sock.close()
        self.sock = None
