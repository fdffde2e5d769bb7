"""Fake HTTP servers that follow the platform's protocol and record received requests in the ledger.

A server has cores of one speed, slots, a queue and a connection limit. It starts cold or warm, and can crash
(its connections are reset and new ones refused), hang (it accepts data but does not respond), drain, fail by
script, and restart cold at its old address. Work is in seconds at speed 1. Service time is simulated by a
timer that uses no CPU, so one process can run hundreds of servers.
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
MIN_LOAD_REPORT_SPAN_S = 0.001  # avoids a division by zero
LISTEN_BACKLOG = 256  # connections


def body_for(request_id: str, server: str) -> bytes:
    """The body of a 200 response, which identifies the request and the server."""
    return b"%s from %s\n" % (request_id.encode(), server.encode())


@dataclass(frozen=True, slots=True)
class ServerKind:
    """A kind of server: its speed and its limits.

    Attributes
    ----------
    name
        The name of the kind in the settings.
    speed
        Seconds of work per second and core.
    cores
        Maximum number of running jobs.
    slots, queue
        Maximum numbers of jobs that hold a slot and of further jobs that wait; more requests are rejected.
    connections
        Maximum number of open connections.
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
        """Seconds of work per second, when warm."""
        return self.cores * self.speed


@dataclass(slots=True)
class ServerCounts:
    """Counters of a server since its creation or the last reset; work in seconds at speed 1."""

    requests: int = 0
    rejected: int = 0
    done: int = 0
    work: float = 0.0


Script = Callable[[str, bytes], ScriptedAnswer]
"""Returns the scripted response to a request, given its id and target."""


class _LoadReporter:
    """The load report that responses carry, renewed every half second."""

    def __init__(self) -> None:
        self.requests = 0
        self.errors = 0
        self.since = time.monotonic_ns()
        self.report = b""

    def current(self, waiting: int) -> bytes:
        """The report to send now; if it is renewed, it says that `waiting` jobs wait."""
        now = time.monotonic_ns()
        span_s = (now - self.since) / SECOND
        if span_s >= LOAD_REPORT_INTERVAL_S or not self.report:
            span_s = max(span_s, MIN_LOAD_REPORT_SPAN_S)
            rates = (self.errors / span_s, self.requests / span_s)
            self.report = b"eps=%.1f, qps=%.1f, queue=%d" % (*rates, waiting)
            self.requests, self.errors, self.since = 0, 0, now
        return self.report


class FakeServer:
    """A fake server, which runs in real time.

    Jobs run in order of arrival, and each keeps its core until it is done. Up to `slots` jobs hold a slot, of
    which `cores` run, and up to `queue` more wait; further requests are rejected unprocessed.

    Parameters
    ----------
    name
        Its id in discovery.
    kind
        Its speed and limits.
    ledger
        Records the requests that it receives.
    work_of
        Returns the work (seconds at speed 1) of a request, given its target and a random source.
    zone, cell
        Its location, for the rule on duplicates.
    zone_name
        The name of its zone in discovery.
    seed
        Seeds its random source, together with its name.
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
        self.is_hanging = False
        self.up = False
        self.connections: set[ServerConnection] = set()
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.counts = ServerCounts()
        self._server: asyncio.Server | None = None
        self._start: ServerStart | None = None
        self._load_reporter = _LoadReporter()

    # Start, stop and state

    async def start(self, cold: bool = False) -> None:
        """Start to listen, at the same address as before if it ran before."""
        await self.listen()
        self.state, self.is_hanging, self.up = "SERVING", False, True
        self.started_ms = time.time_ns() // MS if cold else 0
        self._start = self.ledger.started(self.name, time.monotonic_ns(), self.kind.capacity, cold)

    async def listen(self) -> None:
        """Open its port. Raises OSError if the port that it had before is in use."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        self._server = await loop.create_server(self.connection, sock=sock, backlog=LISTEN_BACKLOG)
        self.port = sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def connection(self) -> asyncio.Protocol:
        """Make the protocol of a new connection."""
        return ServerConnection(self)

    def shut(self) -> None:
        """Close its port."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def crash(self) -> None:
        """Simulate a crash: connections are reset, new ones refused, and running jobs are dropped."""
        self.up = False
        self.shut()
        for job in (*self.running, *self.waiting):
            self._note_end(job, done=False)
        for connection in list(self.connections):
            dropped, connection.job = connection.job, None
            if dropped is not None and dropped.timer is not None:
                dropped.timer.cancel()
            connection.transport.abort()
        self.connections.clear()
        self.running.clear()
        self.waiting.clear()

    def line(self) -> dict[str, object]:
        """Its entry in the server list, in discovery's format."""
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
        """Number of jobs that run or wait."""
        return len(self.running) + len(self.waiting)

    @property
    def slow_start_factor(self) -> float:
        """Fraction of its capacity that it has now, 0 to 1."""
        if self._start is None:
            return 1.0
        return self._start.slow_start_factor(time.monotonic_ns(), self.ledger.limits)

    # Requests

    def admit(self, connection: ServerConnection) -> bool:
        """Register a new connection; False if the server is down or has too many."""
        if not self.up or len(self.connections) >= self.kind.connections:
            return False
        self.connections.add(connection)
        return True

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a closed connection."""
        self.connections.discard(connection)

    def first_byte(self) -> None:
        """Record the first byte of a request."""
        self.ledger.first_byte(self.name, time.monotonic_ns())

    def request(self, connection: ServerConnection, target: bytes, headers: dict[bytes, bytes]) -> None:
        """Handle a complete request: run it, queue it or reject it."""
        request_id = headers.get(b"x-correlation-id", b"").decode("latin-1")
        response = self.script(request_id, target) if self.script is not None else ScriptedAnswer()
        is_full = self.in_flight >= self.kind.slots + self.kind.queue
        runs = not (response.unprocessed or is_full or self.state != "SERVING")
        work = self.work_of(target, self.random) + (self.kind.handshake if connection.is_new else 0.0)
        connection.is_new = False
        self._note_arrival(request_id, work, runs)
        if not runs:
            self._reject(connection, response)
        elif response.reset:
            connection.transport.abort()
        elif response.status != STATUS_SERVED:
            self._load_reporter.errors += 1
            connection.write(response, b"error\n", self._load_report())
        else:
            job = connection.job = Job(request_id, work, connection)
            if not response.never:
                self.waiting.append(job)
                self._run_next()

    def _note_arrival(self, request_id: str, work: float, runs: bool) -> None:
        assert self._start is not None
        now = time.monotonic_ns()
        self.ledger.arrived(request_id, self._start, now, self.zone, self.cell, int(work * SECOND), runs)
        self.counts.requests += 1
        self._load_reporter.requests += 1

    def _reject(self, connection: ServerConnection, response: ScriptedAnswer) -> None:
        """Respond that the request was not processed."""
        self.counts.rejected += 1
        status = response.status if response.unprocessed else STATUS_REJECTED
        rejection = replace(response, status=status, unprocessed=True)
        connection.write(rejection, b"turned away\n", self._load_report())

    def _run_next(self) -> None:
        """Run the jobs that have waited longest on free cores."""
        while self.waiting and len(self.running) < self.kind.cores:
            job = self.waiting.popleft()
            self.running.add(job)
            if self._start is not None:
                self.ledger.work_began(job.request_id, self._start, time.monotonic_ns())
            service_s = job.work / (self.kind.speed * self.slow_start_factor)
            job.timer = asyncio.get_running_loop().call_later(service_s, self._finish, job)

    def _finish(self, job: Job) -> None:
        """Complete a job: respond to it, unless its connection is closed."""
        if job not in self.running:
            return
        self.running.discard(job)
        self._note_end(job, done=True)
        connection = job.connection
        if connection is not None and connection.job is job:
            connection.job = None
            if not self.is_hanging:
                self.counts.done += 1
                self.counts.work += job.work
                connection.write(ScriptedAnswer(), body_for(job.request_id, self.name), self._load_report())
        self._run_next()

    def job_cancelled(self, job: Job) -> None:
        """Stop a job whose connection was closed."""
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
        """Reset the counters, after a warm-up."""
        self.counts = ServerCounts()
