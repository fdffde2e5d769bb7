"""Modelled HTTP servers that follow the platform's protocol and note in the ledger what comes to them.

A server has cores of one speed, slots, a waiting room and a cap on connections. It starts cold or warm, can
crash (its connections are reset and new ones refused), be cut off (it falls silent), drain, fail by script,
and come back cold at its old address. Work is in seconds at speed 1; nothing burns CPU: a request's service
is a timer, so one process holds hundreds of servers.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import cast

from hollybay.units import SECOND

from .ledger import Ledger, Start

__all__ = ["Answering", "Kind", "ModelServer", "Served", "body_for"]

MAX_REQUEST = 256 << 10


def body_for(rid: str, server: str) -> bytes:
    """The body of a server's 200 answer, by which a client knows whose answer it is."""
    return b"%s from %s\n" % (rid.encode(), server.encode())


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of machine.

    speed: work done a second by one core; handshake: work (s) that a new connection adds to its first
    request.
    """

    name: str
    speed: float
    cores: int = 1
    slots: int = 8
    queue: int = 32
    connections: int = 60
    handshake: float = 0.0

    @property
    def capacity(self) -> float:
        """Seconds of work a second, warm."""
        return self.cores * self.speed


@dataclass(frozen=True, slots=True)
class Answering:
    """What a request meets by script: status 200 is served after its work, others at once."""

    status: int = 200
    unprocessed: bool = False
    reset: bool = False
    never: bool = False
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True)
class Served:
    """Counts of one server since the stand-in was made; work in seconds at speed 1."""

    requests: int = 0
    turned_away: int = 0
    done: int = 0
    work: float = 0.0


Script = Callable[[str, bytes], Answering]


class _Connection(asyncio.Protocol):
    """One connection of the node; it carries one request at a time."""

    def __init__(self, server: ModelServer) -> None:
        self.server = server
        self.buffer = b""
        self.job: _Job | None = None
        self.fresh = True  # no request has come on it yet
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if not self.server.admit(self):
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        job, self.job = self.job, None
        if job is not None:
            self.server.given_up(job)

    def data_received(self, data: bytes) -> None:
        if self.server.cut:
            return
        if not self.buffer:
            self.server.first_byte()
        self.buffer += data
        if len(self.buffer) > MAX_REQUEST:
            self.transport.abort()
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or self.job is not None:
            return
        head = self.buffer[:end]
        headers: dict[bytes, bytes] = {}
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            headers[name.strip().lower()] = value.strip()
        whole = end + 4 + int(headers.get(b"content-length", b"0"))
        if len(self.buffer) < whole:
            return
        self.buffer = self.buffer[whole:]
        self.server.request(self, head.split(b" ", 2)[1], headers)

    def write(self, answering: Answering, body: bytes, report: bytes = b"") -> None:
        """One answer, framed by its length."""
        lines = [b"HTTP/1.1 %d x" % answering.status, b"Content-Length: %d" % len(body)]
        if answering.unprocessed:
            lines.append(b"X-Unprocessed: 1")
        if report:
            lines.append(b"X-Backend-Load: TEXT " + report)
        lines += [b"%s: %s" % pair for pair in answering.headers]
        if not self.transport.is_closing():
            self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)


@dataclass(slots=True, eq=False)
class _Job:
    """A request at a server."""

    rid: str
    work: float
    conn: _Connection | None
    timer: asyncio.TimerHandle | None = None


class ModelServer:
    """One server of the fleet; its clock is the loop's real one.

    work_of: seconds of work (speed 1) that a target asks for, given a random source. Jobs beyond the cores
    share them in order of arrival: a core is taken until its job is done, up to `slots` jobs hold a slot (of
    which `cores` run) and up to `queue` more wait; beyond that requests are turned away unseen.
    """

    def __init__(
        self,
        name: str,
        kind: Kind,
        ledger: Ledger,
        work_of: Callable[[bytes, random.Random], float],
        zone: int = 0,
        cell: int = 0,
        zone_name: str = "a",
        seed: int = 1,
    ) -> None:
        self.name = name
        self.kind = kind
        self.ledger = ledger
        self.work_of = work_of
        self.zone, self.cell, self.zone_name = zone, cell, zone_name
        self.random = random.Random(f"{seed} {name}")
        self.address = ""
        self.port = 0
        self.started_ms = 0
        self.state = "SERVING"
        self.script: Script | None = None
        self.cut = False
        self.up = False
        self.connections: set[_Connection] = set()
        self.running: set[_Job] = set()
        self.waiting: deque[_Job] = deque()
        self.served = Served()
        self._server: asyncio.Server | None = None
        self._start: Start | None = None
        self._seen = [0, 0, time.monotonic_ns()]  # requests and errors since the last report, and since when
        self._report = b""

    # Life

    async def start(self, cold: bool = False) -> None:
        """Listen, at the address of an earlier life if there was one."""
        await self.listen()
        self.state, self.cut, self.up = "SERVING", False, True
        self.started_ms = time.time_ns() // 1_000_000 if cold else 0
        self._start = self.ledger.started(self.name, time.monotonic_ns(), self.kind.capacity, cold)

    async def listen(self) -> None:
        """Open its port. OSError: that of an earlier life is taken."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        self._server = await loop.create_server(self.connection, sock=sock, backlog=256)
        self.port = sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def connection(self) -> asyncio.Protocol:
        """The server's end of a new connection."""
        return _Connection(self)

    def shut(self) -> None:
        """Close its port."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def crash(self) -> None:
        """The process dies: connections are reset, new ones refused, what ran stops where it was."""
        self.up = False
        self.shut()
        for lost in (*self.running, *self.waiting):
            self._left(lost, False)
        for conn in list(self.connections):
            job, conn.job = conn.job, None
            if job is not None and job.timer is not None:
                job.timer.cancel()
            conn.transport.abort()
        self.connections.clear()
        self.running.clear()
        self.waiting.clear()

    def line(self) -> dict[str, object]:
        """Its line of the server list, in discovery's form."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone_name,
            "kind": self.kind.name,
            "cell": self.cell,
            "state": self.state,
            "weight": round(self.kind.capacity / (1 + (len(self.running) + len(self.waiting))), 3),
            "started_ms": self.started_ms,
        }

    @property
    def warmth(self) -> float:
        """Present part of its capacity."""
        return self._start.warmth(time.monotonic_ns(), self.ledger.limits) if self._start is not None else 1.0

    # Requests

    def admit(self, conn: _Connection) -> bool:
        """Take a connection on; a full table resets it."""
        if not self.up or len(self.connections) >= self.kind.connections:
            return False
        self.connections.add(conn)
        return True

    def first_byte(self) -> None:
        """A request begins to come."""
        self.ledger.first_byte(self.name, time.monotonic_ns())

    def request(self, conn: _Connection, target: bytes, headers: dict[bytes, bytes]) -> None:
        """The last byte of a request is here: it runs, waits, or is turned away."""
        rid = headers.get(b"x-correlation-id", b"").decode("latin-1")
        answering = self.script(rid, target) if self.script is not None else Answering()
        full = len(self.running) + len(self.waiting) >= self.kind.slots + self.kind.queue
        runs = not (answering.unprocessed or full or self.state != "SERVING")
        work = self.work_of(target, self.random) + (self.kind.handshake if conn.fresh else 0.0)
        conn.fresh = False
        assert self._start is not None
        now = time.monotonic_ns()
        self.ledger.arrived(rid, self._start, now, self.zone, self.cell, int(work * SECOND), runs)
        self.served.requests += 1
        self._seen[0] += 1
        if not runs:
            self.served.turned_away += 1
            status = answering.status if answering.unprocessed else 503
            turned = replace(answering, status=status, unprocessed=True)
            conn.write(turned, b"turned away\n", self._load())
            return
        if answering.reset:
            conn.transport.abort()
            return
        if answering.status != 200:
            self._seen[1] += 1
            conn.write(answering, b"error\n", self._load())
            return
        job = conn.job = _Job(rid, work, conn)
        if answering.never:
            return
        self.waiting.append(job)
        self._next()

    def _next(self) -> None:
        while self.waiting and len(self.running) < self.kind.cores:
            job = self.waiting.popleft()
            self.running.add(job)
            if self._start is not None:
                self.ledger.work_began(job.rid, self._start, time.monotonic_ns())
            took = job.work / (self.kind.speed * self.warmth)
            job.timer = asyncio.get_running_loop().call_later(took, self._done, job)

    def _done(self, job: _Job) -> None:
        if job not in self.running:
            return
        self.running.discard(job)
        self._left(job, True)
        conn = job.conn
        if conn is not None and conn.job is job:
            conn.job = None
            if not self.cut:
                self.served.done += 1
                self.served.work += job.work
                conn.write(Answering(), body_for(job.rid, self.name), self._load())
        self._next()

    def given_up(self, job: _Job) -> None:
        """Its connection closed: the work stops."""
        job.conn = None
        if job.timer is not None:
            job.timer.cancel()
        if job in self.running:
            self.running.discard(job)
            self._left(job, False)
            self._next()
        elif job in self.waiting:
            self.waiting.remove(job)
            self._left(job, False)

    def _left(self, job: _Job, done: bool) -> None:
        if self._start is not None:
            self.ledger.work_ended(job.rid, self._start, time.monotonic_ns(), done)

    def _load(self) -> bytes:
        """Its load report, renewed every half second."""
        now = time.monotonic_ns()
        span = (now - self._seen[2]) / SECOND
        if span >= 0.5 or not self._report:
            span = max(span, 0.001)
            self._report = b"eps=%.1f, qps=%.1f, queue=%d" % (
                self._seen[1] / span,
                self._seen[0] / span,
                len(self.waiting),
            )
            self._seen = [0, 0, now]
        return self._report

    def reset_counts(self) -> None:
        """Begin to count anew, after a warm-up."""
        self.served = Served()
