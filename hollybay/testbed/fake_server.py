"""Fake HTTP servers that follow the platform's protocol and note in the ledger what comes to them.

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

from hollybay.units import MS, SECOND

from .fake_server_connection import Job, ScriptedAnswer, ServerConnection
from .ledger import Ledger, ServerStart

__all__ = ["FakeServer", "ServerCounts", "ServerKind", "body_for"]

STATUS_SERVED = 200
STATUS_REJECTED = 503
LOAD_REPORT_INTERVAL_S = 0.5
MIN_LOAD_REPORT_SPAN_S = 0.001  # so that no rate is divided by zero
LISTEN_BACKLOG = 256  # connections


def body_for(request_id: str, server: str) -> bytes:
    """The body of a server's 200 answer, by which a client knows whose answer it is."""
    return b"%s from %s\n" % (request_id.encode(), server.encode())


@dataclass(frozen=True, slots=True)
class ServerKind:
    """A kind of server.

    Attributes
    ----------
    name
        As the settings name it.
    speed
        Work done a second by one core.
    cores
        Jobs that run at once.
    slots, queue
        Jobs that hold a slot, and that wait beside them; beyond these a request is rejected.
    connections
        The most that are open at once.
    handshake
        Work (s) that a new connection adds to its first request.
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


@dataclass(slots=True)
class ServerCounts:
    """Counts of one server since it was made; work in seconds at speed 1."""

    requests: int = 0
    rejected: int = 0
    done: int = 0
    work: float = 0.0


Script = Callable[[str, bytes], ScriptedAnswer]
"""What a request meets, by its id and target."""


class _LoadReporter:
    """The load report that answers carry, renewed every half second."""

    def __init__(self) -> None:
        self.requests = 0
        self.errors = 0
        self.since = time.monotonic_ns()
        self.report = b""

    def current(self, waiting: int) -> bytes:
        """The report to send now, with so many jobs waiting if it is renewed."""
        now = time.monotonic_ns()
        span_s = (now - self.since) / SECOND
        if span_s >= LOAD_REPORT_INTERVAL_S or not self.report:
            span_s = max(span_s, MIN_LOAD_REPORT_SPAN_S)
            rates = (self.errors / span_s, self.requests / span_s)
            self.report = b"eps=%.1f, qps=%.1f, queue=%d" % (*rates, waiting)
            self.requests, self.errors, self.since = 0, 0, now
        return self.report


class FakeServer:
    """One fake server; its clock is the loop's real one.

    Jobs beyond the cores share them in order of arrival: a core is taken until its job is done, up to `slots`
    jobs hold a slot (of which `cores` run) and up to `queue` more wait; beyond that requests are rejected
    unseen.

    Parameters
    ----------
    name
        Its id at discovery.
    kind
        What machine it is.
    ledger
        Where it notes what comes to it.
    work_of
        Seconds of work (speed 1) that a target asks for, given a random source.
    zone, cell
        Where it stands, as the rule on duplicates asks.
    zone_name
        Its zone, as discovery names it.
    seed
        Of its random source, beside its name.
    """

    def __init__(
        self,
        name: str,
        kind: ServerKind,
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
        self.connections: set[ServerConnection] = set()
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.counts = ServerCounts()
        self._server: asyncio.Server | None = None
        self._start: ServerStart | None = None
        self._load_reporter = _LoadReporter()

    # Life

    async def start(self, cold: bool = False) -> None:
        """Listen, at the address of an earlier life if there was one."""
        await self.listen()
        self.state, self.cut, self.up = "SERVING", False, True
        self.started_ms = time.time_ns() // MS if cold else 0
        self._start = self.ledger.started(self.name, time.monotonic_ns(), self.kind.capacity, cold)

    async def listen(self) -> None:
        """Open its port. OSError: that of an earlier life is taken."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        self._server = await loop.create_server(self.connection, sock=sock, backlog=LISTEN_BACKLOG)
        self.port = sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def connection(self) -> asyncio.Protocol:
        """The server's end of a new connection."""
        return ServerConnection(self)

    def shut(self) -> None:
        """Close its port."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def crash(self) -> None:
        """The process dies: connections are reset, new ones refused, what ran stops where it was."""
        self.up = False
        self.shut()
        for job in (*self.running, *self.waiting):
            self._note_end(job, done=False)
        for connection in list(self.connections):
            lost, connection.job = connection.job, None
            if lost is not None and lost.timer is not None:
                lost.timer.cancel()
            connection.transport.abort()
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
            "weight": round(self.kind.capacity / (1 + self.in_flight), 3),
            "started_ms": self.started_ms,
        }

    @property
    def in_flight(self) -> int:
        """Jobs that run or wait."""
        return len(self.running) + len(self.waiting)

    @property
    def slow_start_factor(self) -> float:
        """Present part of its capacity, 0 to 1."""
        if self._start is None:
            return 1.0
        return self._start.slow_start_factor(time.monotonic_ns(), self.ledger.limits)

    # Requests

    def admit(self, connection: ServerConnection) -> bool:
        """Take a connection on; a full table resets it."""
        if not self.up or len(self.connections) >= self.kind.connections:
            return False
        self.connections.add(connection)
        return True

    def connection_closed(self, connection: ServerConnection) -> None:
        """A connection is gone."""
        self.connections.discard(connection)

    def first_byte(self) -> None:
        """A request begins to come."""
        self.ledger.first_byte(self.name, time.monotonic_ns())

    def request(self, connection: ServerConnection, target: bytes, headers: dict[bytes, bytes]) -> None:
        """The last byte of a request is here: it runs, waits, or is rejected."""
        request_id = headers.get(b"x-correlation-id", b"").decode("latin-1")
        answer = self.script(request_id, target) if self.script is not None else ScriptedAnswer()
        is_full = self.in_flight >= self.kind.slots + self.kind.queue
        runs = not (answer.unprocessed or is_full or self.state != "SERVING")
        work = self.work_of(target, self.random) + (self.kind.handshake if connection.is_new else 0.0)
        connection.is_new = False
        self._note_arrival(request_id, work, runs)
        if not runs:
            self._reject(connection, answer)
        elif answer.reset:
            connection.transport.abort()
        elif answer.status != STATUS_SERVED:
            self._load_reporter.errors += 1
            connection.write(answer, b"error\n", self._load_report())
        else:
            job = connection.job = Job(request_id, work, connection)
            if not answer.never:
                self.waiting.append(job)
                self._run_next()

    def _note_arrival(self, request_id: str, work: float, runs: bool) -> None:
        assert self._start is not None
        now = time.monotonic_ns()
        self.ledger.arrived(request_id, self._start, now, self.zone, self.cell, int(work * SECOND), runs)
        self.counts.requests += 1
        self._load_reporter.requests += 1

    def _reject(self, connection: ServerConnection, answer: ScriptedAnswer) -> None:
        """Answer that the request has had no effect."""
        self.counts.rejected += 1
        status = answer.status if answer.unprocessed else STATUS_REJECTED
        rejection = replace(answer, status=status, unprocessed=True)
        connection.write(rejection, b"turned away\n", self._load_report())

    def _run_next(self) -> None:
        """Give free cores to the jobs that wait longest."""
        while self.waiting and len(self.running) < self.kind.cores:
            job = self.waiting.popleft()
            self.running.add(job)
            if self._start is not None:
                self.ledger.work_began(job.request_id, self._start, time.monotonic_ns())
            service_s = job.work / (self.kind.speed * self.slow_start_factor)
            job.timer = asyncio.get_running_loop().call_later(service_s, self._finish, job)

    def _finish(self, job: Job) -> None:
        """A job's service is over: answer it, unless its connection is gone."""
        if job not in self.running:
            return
        self.running.discard(job)
        self._note_end(job, done=True)
        connection = job.connection
        if connection is not None and connection.job is job:
            connection.job = None
            if not self.cut:
                self.counts.done += 1
                self.counts.work += job.work
                connection.write(ScriptedAnswer(), body_for(job.request_id, self.name), self._load_report())
        self._run_next()

    def given_up(self, job: Job) -> None:
        """Its connection closed: the work stops."""
        job.connection = None
        if job.timer is not None:
            job.timer.cancel()
        if job in self.running:
            self.running.discard(job)
            self._note_end(job, done=False)
            self._run_next()
        elif job in self.waiting:
            self.waiting.remove(job)
            self._note_end(job, done=False)

    def _note_end(self, job: Job, done: bool) -> None:
        if self._start is not None:
            self.ledger.work_ended(job.request_id, self._start, time.monotonic_ns(), done)

    def _load_report(self) -> bytes:
        return self._load_reporter.current(len(self.waiting))

    def reset_counts(self) -> None:
        """Begin to count anew, after a warm-up."""
        self.counts = ServerCounts()
