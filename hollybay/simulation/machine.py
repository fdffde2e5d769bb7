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

from .loop import AnyLoop
from .network import Address, Network, SimTransport

__all__ = ["Machine", "SimSocket"]

_TCP_ESTABLISHED, _TCP_CLOSE_WAIT, _TCP_CLOSE = 1, 8, 7


class SimSocket:
    """A TCP socket: what the node calls of one, and no more."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.local: Address = (machine.host, 0)
        self.end: SimTransport | None = None
        self.error = 0
        self.closed = False
        self.up = asyncio.Event()  # a connect has ended, well or not
        self.queue: deque[SimTransport] = deque()  # connections that wait to be accepted
        self._backlog = 0
        self.began = 0.0  # when a connect began
        self._connecting: asyncio.Task[None] | None = None
        machine.sockets[self] = None

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Nothing that is set matters here."""

    def setblocking(self, flag: bool) -> None:
        """Nothing here blocks."""

    def bind(self, address: Address) -> None:
        self.local = (self.machine.host, address[1] or self.machine.network.port())

    def getsockname(self) -> Address:
        return self.local

    def listen(self, backlog: int) -> None:
        self._backlog = backlog
        self.machine.network.listen(self.local, self._arrived)

    def _arrived(self, end: SimTransport) -> bool:
        if len(self.queue) >= self._backlog:
            return False
        self.queue.append(end)
        self.machine.readable(self)
        return True

    def accept(self) -> tuple[SimSocket, Address]:
        while self.queue:
            end = self.queue.popleft()
            if len(self.machine.sockets) >= self.machine.descriptors:
                self.queue.appendleft(end)
                raise OSError(errno.EMFILE, "Too many open files")
            sock = SimSocket(self.machine)
            sock.local, sock.end = self.local, end
            return sock, end.remote
        raise BlockingIOError

    def connect_ex(self, address: Address) -> int:
        self.began = self.machine.network.loop.now
        self._connecting = self.machine.loop.create_task(self._connect(address))
        return errno.EINPROGRESS

    async def _connect(self, address: Address) -> None:
        try:
            end = await self.machine.network.connect(self.machine.host, address)
        except OSError as error:
            self.error = error.errno or errno.ECONNREFUSED
        else:
            self.end = end
        self.up.set()
        self.machine.writable(self)

    def getsockopt(self, level: int, option: int, size: int = 0) -> Any:
        """SO_ERROR, or as much of struct tcp_info as the node reads."""
        if level == socket.SOL_SOCKET and option == socket.SO_ERROR:
            return self.error
        end = self.end
        state = _TCP_CLOSE
        since = 0
        if end is not None and not end.lost:
            state = _TCP_CLOSE_WAIT if end.finished else _TCP_ESTABLISHED
            since = int(1000 * (self.machine.network.loop.now - end.arrived))
        info = bytes([state]) + bytes(51) + since.to_bytes(4, "little")
        return info[:size]

    def attached(self) -> None:
        """A transport has it now: the descriptor goes when that ends."""
        assert self.end is not None
        self.end.on_gone = self._released
        self.end.hard = False
        if self.end.detached:  # the other end was quicker
            self._released()

    def _released(self) -> None:
        self.machine.sockets.pop(self, None)
        self.closed = True

    def close(self, abort: bool = True, by_process: bool = True) -> None:
        """abort: whatever is unsent is dropped, as where a connect is given up or a process is killed."""
        if self.closed:
            return
        room = len(self.machine.sockets) < self.machine.descriptors
        self._released()
        self.machine.network.listening.pop(self.local, None) if self._backlog else None
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
            self.machine.overdue.append(self.machine.network.loop.now - self.began)
        if self.end is not None:
            self.end.on_gone = None
            if abort or self.end.unread:
                self.end.abort()
            else:
                self.end.close()
        for end in self.queue:
            # Where no descriptor is left nothing can be accepted any more.
            end.dropped = by_process and room
            end.abort()
        self.queue.clear()


def _here(default: Machine) -> Machine:
    """The machine of the process that runs."""
    loop = asyncio._get_running_loop()
    return getattr(loop, "machine", None) or default


class Machine:
    """One machine: its name in the network, its descriptors, and the loop's calls about its sockets."""

    def __init__(
        self, network: Network, host: str = "node", descriptors: int = 1024, loop: AnyLoop | None = None
    ) -> None:
        self.network = network
        self.loop: AnyLoop = loop or network.loop
        self.host = host
        self.files: dict[str, bytes] = {}  # by path
        self.overdue: list[float] = []  # how long (s) connects took that were given up or came up
        self.loop.machine = self
        network.processes[host] = self.loop
        network.serve(self.loop, host)
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
        kept = {name: getattr(system, name) for name in names}
        root = self.network.loop
        system.monotonic_ns = lambda: int(root.now * SECOND)
        system.tcp_socket = lambda host: _here(self).socket()  # type: ignore[assignment,return-value]
        system.unread_bytes = self._unread
        system.wall_clock_offset = 0
        system.read_bytes = lambda path: _here(self).read(path)
        system.sleep = lambda seconds: None
        system.finish_startup = lambda: None
        try:
            yield
        finally:
            for name, value in kept.items():
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
        for end in [end for end in self.network.transports if end.local[0] == self.host]:
            end.hard = False
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
        if sock in self._readers and sock.queue:
            self.loop.call_soon(self._read, sock)

    def _read(self, sock: SimSocket) -> None:
        reader = self._readers.get(sock)
        if reader is not None and sock.queue:
            reader()
            self.readable(sock)

    def add_writer(self, sock: SimSocket, callback: Callable[..., object], *args: Any) -> None:
        self._writers[sock] = lambda: callback(*args)
        if sock.up.is_set():
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
