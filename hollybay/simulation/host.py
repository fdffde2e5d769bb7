"""The node's machine under simulation: sockets as `hollybay.proxy` uses them, put in place by its seam."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from hollybay.proxy import system
from hollybay.units import SECOND

from .loop import BaseSimLoop
from .network import Address, Network, SimTransport

__all__ = ["SimHost", "SimSocket"]

_TCP_ESTABLISHED, _TCP_CLOSE_WAIT, _TCP_CLOSE = 1, 8, 7


class SimSocket:
    """A TCP socket: what the node calls of one, and no more."""

    def __init__(self, host: SimHost) -> None:
        self.host = host
        self.local: Address = (host.host_name, 0)
        self.end: SimTransport | None = None
        self.error = 0
        self.closed = False
        self.connect_done = asyncio.Event()  # a connect has ended, well or not
        self.accept_queue: deque[SimTransport] = deque()  # connections that wait to be accepted
        self._backlog = 0
        self.connect_started_at = 0.0  # when a connect began
        self._connecting: asyncio.Task[None] | None = None
        host.sockets[self] = None

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Nothing that is set matters here."""

    def setblocking(self, flag: bool) -> None:
        """Nothing here blocks."""

    def bind(self, address: Address) -> None:
        self.local = (self.host.host_name, address[1] or self.host.network.port())

    def getsockname(self) -> Address:
        return self.local

    def listen(self, backlog: int) -> None:
        self._backlog = backlog
        self.host.network.listen(self.local, self._on_connection)

    def _on_connection(self, end: SimTransport) -> bool:
        if len(self.accept_queue) >= self._backlog:
            return False
        self.accept_queue.append(end)
        self.host.readable(self)
        return True

    def accept(self) -> tuple[SimSocket, Address]:
        while self.accept_queue:
            end = self.accept_queue.popleft()
            if len(self.host.sockets) >= self.host.descriptors:
                self.accept_queue.appendleft(end)
                raise OSError(errno.EMFILE, "Too many open files")
            sock = SimSocket(self.host)
            sock.local, sock.end = self.local, end
            return sock, end.remote
        raise BlockingIOError

    def connect_ex(self, address: Address) -> int:
        self.connect_started_at = self.host.network.loop.now
        self._connecting = self.host.loop.create_task(self._connect(address))
        return errno.EINPROGRESS

    async def _connect(self, address: Address) -> None:
        try:
            end = await self.host.network.connect(self.host.host_name, address)
        except OSError as error:
            self.error = error.errno or errno.ECONNREFUSED
        else:
            self.end = end
        self.connect_done.set()
        self.host.writable(self)

    def getsockopt(self, level: int, option: int, size: int = 0) -> Any:
        """SO_ERROR, or as much of struct tcp_info as the node reads."""
        if level == socket.SOL_SOCKET and option == socket.SO_ERROR:
            return self.error
        end = self.end
        state = _TCP_CLOSE
        since = 0
        if end is not None and not end.lost:
            state = _TCP_CLOSE_WAIT if end.peer_finished else _TCP_ESTABLISHED
            since = int(1000 * (self.host.network.loop.now - end.last_received_at))
        info = bytes([state]) + bytes(51) + since.to_bytes(4, "little")
        return info[:size]

    def attached(self) -> None:
        """A transport has it now: the descriptor goes when that ends."""
        assert self.end is not None
        self.end.on_released = self._released
        self.end.reset_on_abort = False
        if self.end.detached:  # the other end was quicker
            self._released()

    def _released(self) -> None:
        self.host.sockets.pop(self, None)
        self.closed = True

    def close(self, abort: bool = True, by_process: bool = True) -> None:
        """abort: whatever is unsent is dropped, as where a connect is given up or a process is killed."""
        if self.closed:
            return
        room = len(self.host.sockets) < self.host.descriptors
        self._released()
        self.host.network.listening.pop(self.local, None) if self._backlog else None
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
            self.host.connect_durations.append(self.host.network.loop.now - self.connect_started_at)
        if self.end is not None:
            self.end.on_released = None
            if abort or self.end.unread:
                self.end.abort()
            else:
                self.end.close()
        for end in self.accept_queue:
            # Where no descriptor is left nothing can be accepted any more.
            end.dropped_by_listener = by_process and room
            end.abort()
        self.accept_queue.clear()


def _current_host(default: SimHost) -> SimHost:
    """The machine of the process that runs."""
    loop = asyncio._get_running_loop()
    return getattr(loop, "sim_host", None) or default


class SimHost:
    """One machine: its name in the network, its descriptors, and the loop's calls about its sockets."""

    def __init__(
        self, network: Network, host: str = "node", descriptors: int = 1024, loop: BaseSimLoop | None = None
    ) -> None:
        self.network = network
        self.loop: BaseSimLoop = loop or network.loop
        self.host_name = host
        self.files: dict[str, bytes] = {}  # by path
        self.connect_durations: list[float] = []  # how long (s) connects took that were given up or came up
        self.loop.sim_host = self
        network.processes[host] = self.loop
        network.attach_loop(self.loop, host)
        self.descriptors = descriptors
        self.sockets: dict[SimSocket, None] = {}
        self._readers: dict[SimSocket, Callable[[], object]] = {}
        self._writers: dict[SimSocket, Callable[[], object]] = {}
        for name in ("add_reader", "remove_reader", "add_writer", "remove_writer", "connect_accepted_socket"):
            setattr(self.loop, name, getattr(self, name))

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Let the node's code run on this machine while the block lasts."""
        names = (
            "monotonic_ns",
            "tcp_socket",
            "unread_bytes",
            "wall_clock_offset",
            "read_bytes",
            "sleep",
            "finish_startup",
        )
        originals = {name: getattr(system, name) for name in names}
        root = self.network.loop
        system.monotonic_ns = lambda: int(root.now * SECOND)
        system.tcp_socket = lambda host: _current_host(self).socket()  # type: ignore[assignment,return-value]
        system.unread_bytes = self._unread
        system.wall_clock_offset = 0
        system.read_bytes = lambda path: _current_host(self).read(path)
        system.sleep = lambda seconds: None
        system.finish_startup = lambda: None
        try:
            yield
        finally:
            for name, value in originals.items():
                setattr(system, name, value)

    def socket(self) -> SimSocket:
        """A new socket; OSError where no descriptor is left."""
        if len(self.sockets) >= self.descriptors:
            raise OSError(errno.EMFILE, "Too many open files")
        return SimSocket(self)

    def read(self, path: str | Path) -> bytes:
        """What a file of this machine holds; OSError where there is none."""
        try:
            return self.files[str(path)]
        except KeyError:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", str(path)) from None

    def end(self, killed: bool = False) -> None:
        """Its process has ended: the kernel closes what it held, with a reset where bytes lay unread."""
        for sock in list(self.sockets):
            sock.close(killed, by_process=False)
        for end in [end for end in self.network.transports if end.local[0] == self.host_name]:
            end.reset_on_abort = False
            end.abort()

    @staticmethod
    def _unread(sock: Any) -> int:
        return sum(len(data) for data in sock.end.unread if isinstance(data, bytes)) if sock.end else 0

    # The loop's calls

    def add_reader(self, sock: SimSocket, callback: Callable[..., object], *args: Any) -> None:
        self._readers[sock] = lambda: callback(*args)
        self.readable(sock)

    def remove_reader(self, sock: SimSocket) -> bool:
        return self._readers.pop(sock, None) is not None

    def readable(self, sock: SimSocket) -> None:
        """Call the reader for as long as connections wait."""
        if sock in self._readers and sock.accept_queue:
            self.loop.call_soon(self._read, sock)

    def _read(self, sock: SimSocket) -> None:
        reader = self._readers.get(sock)
        if reader is not None and sock.accept_queue:
            reader()
            self.readable(sock)

    def add_writer(self, sock: SimSocket, callback: Callable[..., object], *args: Any) -> None:
        self._writers[sock] = lambda: callback(*args)
        if sock.connect_done.is_set():
            self.writable(sock)

    def remove_writer(self, sock: SimSocket) -> bool:
        return self._writers.pop(sock, None) is not None

    def writable(self, sock: SimSocket) -> None:
        writer = self._writers.get(sock)
        if writer is not None:
            self.loop.call_soon(writer)

    async def connect_accepted_socket(
        self, factory: Callable[[], asyncio.BaseProtocol], sock: SimSocket
    ) -> tuple[SimTransport, asyncio.BaseProtocol]:
        assert sock.end is not None
        if sock.end.lost:
            raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        protocol = factory()
        sock.attached()
        sock.end.attach(protocol)
        return sock.end, protocol
