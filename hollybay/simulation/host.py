"""A node's simulated host: sockets as `hollybay.proxy` uses them, installed in `hollybay.proxy.system`."""

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
    """A TCP socket, with the methods that a node calls."""

    def __init__(self, host: SimHost) -> None:
        self.host = host
        self.local: Address = (host.host_name, 0)
        self.end: SimTransport | None = None
        self.error = 0
        self.closed = False
        self.connect_done = asyncio.Event()  # a connect has succeeded or failed
        self.accept_queue: deque[SimTransport] = deque()  # connections not yet accepted
        self._backlog = 0
        self.connect_started_at = 0.0  # start of the connect
        self._connecting: asyncio.Task[None] | None = None
        host.sockets[self] = None

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Ignored: no option has an effect here."""

    def setblocking(self, flag: bool) -> None:
        """Ignored: no call blocks."""

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
        """Return SO_ERROR, or the part of struct tcp_info that the node reads."""
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
        """Tie the descriptor to the connection's transport: it is released when that ends."""
        assert self.end is not None
        self.end.on_released = self._released
        self.end.reset_on_abort = False
        if self.end.detached:  # the other end closed first
            self._released()

    def _released(self) -> None:
        self.host.sockets.pop(self, None)
        self.closed = True

    def close(self, abort: bool = True, by_process: bool = True) -> None:
        """Close the socket; abort: drop unsent bytes, as for a cancelled connect or a killed process."""
        if self.closed:
            return
        has_free_descriptor = len(self.host.sockets) < self.host.descriptors
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
            # Without a free descriptor, the process could not have accepted it.
            end.dropped_by_listener = by_process and has_free_descriptor
            end.abort()
        self.accept_queue.clear()


def _current_host(default: SimHost) -> SimHost:
    """Return the host of the running process."""
    loop = asyncio._get_running_loop()
    return getattr(loop, "sim_host", None) or default


class SimHost:
    """One host: its network name, its file descriptors and files, and the loop's calls about its sockets."""

    def __init__(
        self, network: Network, host: str = "node", descriptors: int = 1024, loop: BaseSimLoop | None = None
    ) -> None:
        self.network = network
        self.loop: BaseSimLoop = loop or network.loop
        self.host_name = host
        self.files: dict[str, bytes] = {}  # by path
        self.connect_durations: list[float] = []  # durations (s) of cancelled connects
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
        """Run the node's code on this host within the block."""
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
        """Return a new socket; OSError if no descriptor is left."""
        if len(self.sockets) >= self.descriptors:
            raise OSError(errno.EMFILE, "Too many open files")
        return SimSocket(self)

    def read(self, path: str | Path) -> bytes:
        """Return the content of one of this host's files; OSError if it doesn't exist."""
        try:
            return self.files[str(path)]
        except KeyError:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", str(path)) from None

    def end(self, killed: bool = False) -> None:
        """Close all sockets after the process has ended; those with unread bytes are reset."""
        for sock in list(self.sockets):
            sock.close(killed, by_process=False)
        for end in [end for end in self.network.transports if end.local[0] == self.host_name]:
            end.reset_on_abort = False
            end.abort()

    @staticmethod
    def _unread(sock: Any) -> int:
        return sum(len(data) for data in sock.end.unread if isinstance(data, bytes)) if sock.end else 0

    # The methods of the event loop

    def add_reader(self, sock: SimSocket, callback: Callable[..., object], *args: Any) -> None:
        self._readers[sock] = lambda: callback(*args)
        self.readable(sock)

    def remove_reader(self, sock: SimSocket) -> bool:
        return self._readers.pop(sock, None) is not None

    def readable(self, sock: SimSocket) -> None:
        """Schedule the reader while connections are in the accept queue."""
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
