"""In-memory connections between protocols on one SimLoop, with the faults of real ones.

Bytes of one direction stay in order; between connections there is no order. A partition is silent to both
sides, as if the other host had vanished. Addresses are (host, port), any text and number.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, cast

from .loop import BaseSimLoop, SimLoop

__all__ = ["Address", "Link", "Network", "SimTransport"]

Address = tuple[str, int]
Factory = Callable[[], asyncio.BaseProtocol]


@dataclass(frozen=True, slots=True)
class Link:
    """The properties of the network's links.

    delay, jitter: one-way (s); split: the probability that a write is cut into segments; window: the number
    of bytes unread at the receiver from which the sender's buffer fills up; buffer: the size of that buffer
    in the sender's kernel, whose content is sent even after the process has closed the connection.
    """

    delay: float = 0.0005
    jitter: float = 0.0002
    split: float = 0.3
    window: int = 64 << 10
    buffer: int = 32 << 10


class _Server(asyncio.AbstractServer):
    """A listener. Connections that it accepted outlive it."""

    def __init__(self, network: Network, address: Address) -> None:
        self.network = network
        self.address = address

    def close(self) -> None:
        self.network.listening.pop(self.address, None)

    def is_serving(self) -> bool:
        return self.address in self.network.listening

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self.network.loop

    async def start_serving(self) -> None:
        """Nothing to do: it serves from its creation."""

    async def serve_forever(self) -> None:
        await self.network.loop.create_future()

    async def wait_closed(self) -> None:
        """Nothing to do: close() takes effect at once."""


class SimTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self, network: Network, protocol: asyncio.BaseProtocol | None, local: Address, remote: Address
    ) -> None:
        super().__init__({"sockname": local, "peername": remote})
        self.network = network
        # The loop of the process that has this end; callbacks run there.
        self.loop: BaseSimLoop = network.processes.get(local[0], network.loop)
        self.random = network.loop.random
        self._protocol = protocol  # None: in the kernel, not yet accepted
        self.on_attach: Callable[[], None] | None = None  # called when a protocol is attached
        self.on_released: Callable[[], None] | None = None  # called when the descriptor is released
        self.dropped_by_listener = False  # still in the accept queue when its process closed the listener
        self.peer_killed = False  # the process at the other end was killed
        self.received_bytes = 0  # from the network
        self.receive_callbacks: deque[tuple[int, Callable[[], None]]] = deque()  # by number of received bytes
        self.last_delivered_at = 0.0  # the last time bytes were passed to the protocol
        self.delivered_bytes = 0  # passed to the protocol
        self.last_received_at = network.loop.now  # from the network, bytes or the end
        self.peer_finished = False  # the peer's FIN or reset has arrived
        self.local, self.remote = local, remote
        self.peer: SimTransport
        self.reset_on_abort = True  # abort() always resets the other end, whatever is in the buffers
        self.detached = False  # released by its process; the kernel may still send
        self.lost = False  # gone from the kernel, too
        self.error: Exception | None = None  # the reason why it was lost
        self.closing = False
        self.write_ended = False  # the FIN is sent after the unsent bytes
        self.reading = True
        # Received, not yet passed to the protocol; None: the FIN. A reset takes effect after the bytes
        # before it, as in Linux.
        self.unread: deque[bytes | Exception | None] = deque()
        self.unread_size = 0
        self.unsent: deque[bytes] = deque()  # written, not yet on the network for lack of room at the peer
        self.high = 64 << 10
        self.paused = False
        self._next_arrival_at = 0.0  # keeps bytes of this direction in order

    @property
    def protocol(self) -> asyncio.BaseProtocol:
        """The attached protocol."""
        assert self._protocol is not None
        return self._protocol

    def attach(self, protocol: asyncio.BaseProtocol) -> None:
        """Attach a protocol to a connection that the kernel held; it gets all bytes received so far."""
        self._protocol = protocol
        protocol.connection_made(self)
        if self.on_attach is not None:
            self.on_attach()
        self.loop.call_soon(self._deliver)
        if self.lost:
            self.loop.call_soon(protocol.connection_lost, self.error)

    def discard(self) -> None:
        """Close the connection at once without notifying its protocol."""
        self._protocol = None
        self.abort()

    # The methods of asyncio.Transport

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol

    def is_closing(self) -> bool:
        return self.closing or self.detached

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = 64 << 10 if high is None else high

    def get_write_buffer_size(self) -> int:
        return max(0, sum(map(len, self.unsent)) - self.network.link.buffer)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.is_closing() or self.write_ended or not data:
            return
        self.unsent.append(bytes(data))
        self._push()
        if self.get_write_buffer_size() > self.high and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.write_ended = True
        self._push()

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True
        self.loop.call_soon(self._deliver)

    def is_reading(self) -> bool:
        return self.reading

    def close(self) -> None:
        """Close the connection after sending the unsent bytes and a FIN."""
        if self.is_closing():
            return
        self.closing = True
        self.write_ended = True
        self._push()

    def abort(self) -> None:
        """Release the connection at once.

        Bytes in the kernel's buffer are sent, those buffered by the process are dropped. If bytes are unread,
        or with `reset_on_abort`, the other end sees a reset instead.
        """
        if self.detached:
            return
        if self.reset_on_abort or self.unread:
            self._reset_peer()
            self._destroy(None)
            return
        room = self.network.link.buffer
        kept: deque[bytes] = deque()
        for data in self.unsent:
            if len(data) > room:
                kept.append(data[:room])
                break
            kept.append(data)
            room -= len(data)
        self.unsent = kept
        self.closing = self.write_ended = True
        self._detach(None)
        self._push()

    # The network

    def _delay(self) -> float:
        link = self.network.link
        return link.delay + self.random.random() * link.jitter

    def _push(self) -> None:
        """Transmit as much as the peer has room for, the FIN last."""
        on_wire = self.peer.unread_size
        while self.unsent and on_wire < self.network.link.window:
            data = self.unsent.popleft()
            if len(data) > 1 and self.random.random() < self.network.link.split:
                at = self.random.randrange(1, len(data))
                self.unsent.appendleft(data[at:])
                data = data[:at]
            on_wire += len(data)
            self._transmit(data)
        if self.paused and not self.get_write_buffer_size() and not self.lost:
            self.paused = False
            self.loop.call_soon(self._resume)
        if self.write_ended and not self.unsent and not self.lost:
            self._transmit(None)
            if self.closing:
                self._destroy(None)

    def _resume(self) -> None:
        if not self.detached:
            self.protocol.resume_writing()

    def _transmit(self, data: bytes | None) -> None:
        if not self.network.can_reach(self.local[0], self.remote[0]):
            return  # lost: a partitioned connection does not recover
        self._next_arrival_at = max(self._next_arrival_at + 1e-9, self.network.loop.now + self._delay())
        self.peer.unread_size += len(data or b"")
        self.peer.loop.call_at(self._next_arrival_at, self.peer.receive, data)

    def _reset_peer(self) -> None:
        """Send a reset after the bytes that are in transit; unsent bytes are dropped."""
        self.unsent.clear()
        if self.network.can_reach(self.local[0], self.remote[0]):
            at = max(self._next_arrival_at + 1e-9, self.network.loop.now + self._delay())
            self.peer.loop.call_at(at, self.peer.reset)

    def receive(self, data: bytes | None) -> None:
        """Receive bytes, or the FIN (None), from the network."""
        if self.detached:
            if data and not self.peer.lost:
                # No process has the socket: the kernel responds with a reset.
                self._reset_peer()
                self._destroy(None)
            return
        self.last_received_at = self.network.loop.now
        self.peer_finished = self.peer_finished or data is None
        self.received_bytes += len(data or b"")
        while self.receive_callbacks and self.receive_callbacks[0][0] <= self.received_bytes:
            self.receive_callbacks.popleft()[1]()
        self.unread.append(data)
        self._deliver()

    def _deliver(self) -> None:
        while self.unread and self.reading and not self.detached and self._protocol is not None:
            data = self.unread.popleft()
            if isinstance(data, Exception):
                self._destroy(data)
                return
            if data is None:
                keep = cast(asyncio.Protocol, self.protocol).eof_received()
                if not keep:
                    self.close()
                continue
            self.unread_size -= len(data)
            self.delivered_bytes += len(data)
            self.last_delivered_at = self.network.loop.now
            if isinstance(self.protocol, asyncio.BufferedProtocol):
                self._deliver_buffered(self.protocol, data)
            else:
                cast(asyncio.Protocol, self.protocol).data_received(data)
            if not self.peer.lost:
                self.peer._push()

    @staticmethod
    def _deliver_buffered(protocol: asyncio.BufferedProtocol, data: bytes) -> None:
        while data:
            buffer = memoryview(protocol.get_buffer(len(data)))
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            protocol.buffer_updated(size)
            data = data[size:]

    def reset(self) -> None:
        """Receive a reset."""
        if self.lost:
            return
        error = ConnectionResetError(104, "Connection reset by peer")
        self.peer_finished = True
        if self.unread:
            self.unread.append(error)
        else:
            self._destroy(error)

    def _detach(self, error: Exception | None) -> None:
        if self.detached:
            return
        self.detached = True
        if self.on_released is not None:
            self.on_released()
        if self._protocol is not None:
            self.loop.call_soon(self._protocol.connection_lost, error)

    def _destroy(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.lost = self.closing = True
        self.error = error
        self.unread.clear()
        self.unsent.clear()
        self.network.transports.pop(self, None)
        self._detach(error)


# Accepts the server's end of a new connection. False: the accept queue is full; the connect gets no reply.
Acceptor = Callable[[SimTransport], bool]


class Network:
    """All hosts, by name, and their connections. It serves the loop's own network calls, too."""

    def __init__(self, loop: SimLoop, link: Link | None = None) -> None:
        self.loop = loop
        self.link = link or Link()
        self.listening: dict[Address, Acceptor] = {}
        # In order of creation, so that transports that are reset together are reset in a reproducible order.
        self.transports: dict[SimTransport, None] = {}
        self.partitions: set[frozenset[str]] = set()  # pairs of hosts that cannot reach each other
        self.down: set[str] = set()  # hosts that have vanished
        self.processes: dict[str, BaseSimLoop] = {}  # by host name, for hosts with a process of their own
        self._ports = 40_000
        self.attach_loop(loop)

    def attach_loop(self, loop: BaseSimLoop, host: str = "client") -> None:
        """Route a loop's create_server and create_connection to this network; host: the local host name."""
        loop.create_server = self.create_server  # type: ignore[method-assign,assignment]
        loop.create_connection = partial(self.create_connection, local=host)  # type: ignore[method-assign,assignment]

    def can_reach(self, one: str, other: str) -> bool:
        """Whether two hosts can reach each other."""
        return (
            one not in self.down and other not in self.down and frozenset((one, other)) not in self.partitions
        )

    def port(self) -> int:
        """Return an unused port."""
        self._ports += 1
        return self._ports

    def listen(self, address: Address, accept: Acceptor) -> None:
        """Accept connections at an address; OSError if it is in use."""
        if address in self.listening:
            raise OSError(98, "Address already in use")
        self.listening[address] = accept

    async def create_server(self, factory: Factory, host: str, port: int, **_: Any) -> _Server:
        """Listen at an address; the factory creates a protocol for each connection."""
        address = (host, port or self.port())

        def accept(end: SimTransport) -> bool:
            end.attach(factory())
            return True

        self.listen(address, accept)
        return _Server(self, address)

    async def connect(self, local: str, remote: Address) -> SimTransport:
        """Connect, and return this side's end, without a protocol.

        It is refused without a listener, and gets no reply across a partition or with a full accept queue.
        """
        await asyncio.sleep(self.link.delay + self.loop.random.random() * self.link.jitter)
        if not self.can_reach(local, remote[0]):
            await asyncio.get_running_loop().create_future()  # until the connect is cancelled
        accept = self.listening.get(remote)
        if accept is not None:
            near = (local, self.port())
            one, two = SimTransport(self, None, near, remote), SimTransport(self, None, remote, near)
            one.peer, two.peer = two, one
            self.transports[one] = self.transports[two] = None
            if not accept(two):
                del self.transports[one], self.transports[two]
                await asyncio.get_running_loop().create_future()
        try:
            await asyncio.sleep(self.link.delay + self.loop.random.random() * self.link.jitter)
        except asyncio.CancelledError:
            if accept is not None:
                one.abort()  # the server's end exists already, and is closed
            raise
        if accept is None:
            raise ConnectionRefusedError(111, "Connection refused")
        return one

    async def create_connection(
        self,
        factory: Factory,
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        local: str = "client",
        **_: Any,
    ) -> tuple[SimTransport, asyncio.BaseProtocol]:
        """Connect and attach a protocol; sock: a connected socket to use instead.

        As in uvloop, the caller goes on in a later iteration of the loop than `connection_made`, and if it is
        cancelled in between, the connection is closed without `connection_lost`.
        """
        end = sock.end if sock is not None else await self.connect(local, (str(host), int(port or 0)))
        if sock is not None:
            sock.attached()
        protocol = factory()
        end.attach(protocol)
        if sock is not None:
            try:
                await asyncio.sleep(self.link.delay * self.loop.random.random())
            except asyncio.CancelledError:
                end.discard()
                raise
        return end, protocol

    def heal(self, one: str, other: str) -> None:
        """End a partition between two hosts; resets their connections, as they lost bytes."""
        self.partitions.discard(frozenset((one, other)))
        for end in [t for t in self.transports if {t.local[0], t.remote[0]} == {one, other}]:
            end.reset()

    def crash(self, host: str) -> None:
        """Crash the process of a host: its listeners close, its connections are reset."""
        for address in [address for address in self.listening if address[0] == host]:
            del self.listening[address]
        for transport in [t for t in self.transports if t.local[0] == host]:
            transport.abort()
