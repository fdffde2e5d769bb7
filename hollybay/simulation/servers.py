"""Modelled servers on the simulated network: cores, slots, a queue, cold starts and faults.

A server records each request in the ledger, runs the oracles on it, and responds according to its active
faults. Random choices are seeded for each request by the plan's seed, so that they stay the same when other
requests are removed from a plan.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import cast

from hollybay.testbed.ledger import ServerStart
from hollybay.units import MS, SECOND

from .http import MalformedMessageError, Message, MessageReader, filler
from .network import Address, SimTransport
from .oracles import (
    address_violation,
    attempt_violation,
    header_violation,
    idle_violation,
    time_left_violation,
)
from .plan import ServerPlan
from .run_context import RunContext

__all__ = ["STREAMING_THRESHOLD", "SimServer"]

# Bodies of more bytes are streamed by the node instead of buffered.
STREAMING_THRESHOLD = 64 << 10
# Headers of a client's request that are for the node or one connection, and must not be forwarded.
NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"x-account",
        b"x-session-key",
        b"x-repeat",
        b"x-weight-hint",
        b"x-hop",
    )
)
# The attempts that `operator_file` allows the route of the plan's first class.
ROUTE_ATTEMPTS = 1
SINGLE_HEADERS = (b"host", b"x-correlation-id", b"x-time-left-ms", b"x-note")


class _Job:
    """A request that is running or queued."""

    __slots__ = ("conn", "message", "rid", "rng", "size", "timer", "work")

    def __init__(
        self, rid: str, message: Message, work: float, size: int, conn: _ServerConnection, rng: random.Random
    ):
        self.rid, self.message, self.work, self.size, self.rng = rid, message, work, size, rng
        self.conn: _ServerConnection | None = conn
        self.timer: asyncio.TimerHandle | None = None


class _ServerConnection(asyncio.Protocol):
    """One connection from a node."""

    def __init__(self, server: SimServer) -> None:
        self.server = server
        self.world: RunContext = server.world
        self.reader = MessageReader(answers=False)
        self.job: _Job | None = None
        self.first_at = 0  # arrival (ns) of the current request's first byte
        self.early = False  # a response was sent before the request was complete
        self.idle_since = self.world.loop.now  # since when no request is in progress
        self.timer: asyncio.TimerHandle | None = None
        self.transport: SimTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(SimTransport, transport)
        self.node = self.transport.remote[0]
        server = self.server
        if not server.up or len(server.connections) >= (
            3 if "few" in server.active_faults else server.max_connections
        ):
            self.transport.abort()
            return
        server.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)
        self._stop_timer()
        job, self.job = self.job, None
        if job is not None:
            self.server.cancel_job(job)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        server, world = self.server, self.world
        self._stop_timer()
        if not self.reader.in_progress:
            server.first_byte(self)
        self.reader.feed(data)
        if self.job is not None:
            world.ledger.report("bytes", server.host, "a request before the response to the previous one")
            return
        try:
            message = self.reader.next()
        except MalformedMessageError as error:
            world.ledger.report("bytes", server.host, f"invalid request from {self.node}: {error}")
            self.transport.abort()
            return
        head = self.reader.head
        if message is None:
            if head is not None:
                if server.fault_applies("halfway", head):
                    self.transport.abort()
                elif not self.early and self._awaits_last_byte(head) and server.fault_applies("early", head):
                    self.early = True
                    self.write_whole(b"early\n")
            return
        server.request(self, message)

    def _awaits_last_byte(self, head: Message) -> bool:
        """Whether only the last byte is missing, which the node holds back, and a response can precede it."""
        plan = self.world.plan
        if head.length is None or head.length > 2000 or plan.delay + plan.jitter >= 0.001:
            return False
        return head.length - head.size == 1

    # Responses

    def write_whole(self, body: bytes, *headers: bytes, status: int = 200) -> None:
        """Send a response with a Content-Length."""
        self.write(status, body, b"Content-Length: %d" % len(body), *headers)

    def write(self, status: int, body: bytes, *headers: bytes) -> None:
        lines = [b"HTTP/1.1 %d x" % status, *headers]
        self.send(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def mark_idle(self) -> None:
        """Mark the connection as idle after a response, and start the idle timer."""
        self.job = None
        self.early = False
        self.idle_since = self.world.loop.now
        limit = self.world.plan.idle / 1000
        if "idle" in self.server.active_faults:
            limit = self.server.rng.uniform(0.001, 0.3)
        self._stop_timer()
        self.timer = self.world.loop.call_later(limit, self._on_idle_timeout, limit)

    def _on_idle_timeout(self, limit: float) -> None:
        """Close the connection after the idle timeout; reports it, as the node must close it earlier."""
        self.timer = None
        world = self.world
        reachable = world.net.can_reach(self.node, self.server.host)
        # A long response may stay in buffers: for the node it ends when its last byte is read.
        reachable = reachable and world.loop.now - self.transport.peer.last_delivered_at >= limit - 0.02
        if limit == world.plan.idle / 1000 and reachable and not self.transport.is_closing():
            world.ledger.report("idle", self.server.host, idle_violation(limit + 0.001, limit))
        self.transport.close()


class SimServer:
    """Consecutive server processes at one address; active_faults: kinds with their intensity."""

    def __init__(self, world: RunContext, plan: ServerPlan, host: str = "") -> None:
        self.world = world
        self.plan = plan
        self.host = host or plan.name
        self.name = plan.name
        self.rng: random.Random = random.Random(f"server {world.plan.seed} {self.host}")
        self.active_faults: dict[str, float] = {}
        self.up: bool = False
        self.max_connections: int = 64
        self.started_ms = 0
        self.connections: dict[_ServerConnection, None] = {}
        self.running: dict[_Job, None] = {}
        self.waiting: deque[_Job] = deque()
        self.start: ServerStart | None = None
        self._load_window = [0, 0, world.loop.now]
        self._report = b""

    @property
    def address(self) -> Address:
        """The address at which it listens."""
        return self.host, 80

    # Life cycle

    async def begin(self, cold: bool) -> None:
        """Start a process, which listens."""
        if self.up:
            return
        world = self.world
        self.up = True
        self.start = world.ledger.started(self.host, world.now(), self.plan.cores * self.plan.speed, cold)
        if cold:
            self.started_ms = world.now() // MS
        if self.address not in world.net.listening:
            await world.net.create_server(lambda: _ServerConnection(self), self.host, 80)

    def crash(self) -> None:
        """Crash the process."""
        self.up = False
        for job in (*self.running, *self.waiting):
            if job.timer is not None:
                job.timer.cancel()
            job.conn = None
        self.running.clear()
        self.waiting.clear()
        for connection in list(self.connections):
            connection.job = None
        self.world.net.crash(self.host)
        self.connections.clear()

    def listing_entry(self, state: str) -> dict[str, object]:
        """Return its entry of the server list."""
        held = len(self.running) + len(self.waiting)
        capacity = self.plan.cores * self.plan.speed
        weights = self.world.plan.weights
        return {
            "id": self.name,
            "addr": f"{self.host}:80",
            "zone": f"z{self.plan.zone}",
            "kind": f"k{self.plan.kind}",
            "cell": self.plan.cell,
            "state": state,
            "weight": round(capacity / (1 + held / self.plan.cores) if weights == "live" else capacity, 3),
            "started_ms": self.started_ms,
        }

    @property
    def slow_start_factor(self) -> float:
        """The current share of its capacity."""
        return (
            self.start.slow_start_factor(self.world.now(), self.world.ledger.limits)
            if self.start is not None
            else 1.0
        )

    # Requests

    def fault_applies(self, kind: str, message: Message) -> bool:
        """Whether an active fault applies to a request."""
        strength = self.active_faults.get(kind if kind != "early" else "spoil early")
        if strength is None:
            return False
        name = f"{self.world.plan.seed} {kind} {message.get(b'x-correlation-id')!r} {self.host}"
        return random.Random(name).random() < 0.3 + 0.7 * strength

    def first_byte(self, connection: _ServerConnection) -> None:
        """Check the drain rule and the address oracle at the first byte of a request."""
        world = self.world
        now = connection.first_at = world.now()
        world.ledger.first_byte(self.host, now, connection.node)
        listed, since = world.listed_addresses.get((connection.node, self.host), (False, None))
        grace = world.ledger.limits.drain_grace + world.ledger.limits.slack
        world.ledger.report("address", self.host, address_violation(listed, since, now, grace))

    def request(self, connection: _ServerConnection, message: Message) -> None:
        """Handle a complete request: run, queue or reject it, or apply an active fault."""
        world = self.world
        assert self.start is not None
        rid = (message.get(b"x-correlation-id") or b"").decode("latin-1")
        rng = random.Random(f"{world.plan.seed} {rid} {self.host}")
        now = world.now()
        planned = world.requests.get(rid)
        full = len(self.running) + len(self.waiting) >= self.plan.cores + self.plan.slots + self.plan.queue
        rejects = self.fault_applies("reject", message)
        fails = self.fault_applies("errors", message)
        runs = not (full or rejects)
        mean = world.plan.classes[planned.cls].work / 1000 if planned is not None else 0.01
        work = mean * rng.uniform(0.5, 1.5)
        world.ledger.arrived(
            rid,
            self.start,
            now,
            self.plan.zone,
            self.plan.cell,
            int(work * SECOND),
            runs,
            connection.node,
        )
        self._load_window[0] += 1
        if planned is not None:
            self._check(rid, message, connection.first_at)
            if world.plan.operator == "limits" and planned.cls == 0:
                arrived = world.ledger.requests[rid].arrived
                world.ledger.report("route", rid, attempt_violation(arrived, ROUTE_ATTEMPTS))
        if not runs:
            connection.write_whole(b"turned away\n", b"X-Unprocessed: 1", *self._load(), status=503)
            connection.mark_idle()
        elif fails:
            self._load_window[1] += 1
            connection.write_whole(b"error\n", *self._load(), status=500)
            connection.mark_idle()
        else:
            job = _Job(rid, message, work, planned.answer if planned is not None else 0, connection, rng)
            connection.job = job
            if not self.fault_applies("never", message):
                self.waiting.append(job)
                self._next()

    def _check(self, rid: str, message: Message, first_at: int) -> None:
        """Run the oracles on a received request."""
        world = self.world
        ledger = world.ledger
        planned = world.requests[rid]
        entry = ledger.requests[rid]
        if message.content != filler(rid, planned.size):
            ledger.report(
                "body", rid, f"got {message.size} bytes of body, expected the client's {planned.size}"
            )
        # The node chooses the framing of a streamed body.
        not_forwarded = (
            NOT_FORWARDED if planned.size <= STREAMING_THRESHOLD else NOT_FORWARDED - {b"transfer-encoding"}
        )
        ledger.report("head", rid, header_violation(message.headers, not_forwarded, SINGLE_HEADERS))
        if message.get(b"x-note") != rid.encode():
            ledger.report("head", rid, "X-Note was changed")
        declared_ms = message.get(b"x-time-left-ms") or b""
        left = entry.deadline - first_at
        ledger.report(
            "time",
            rid,
            time_left_violation(int(declared_ms) if declared_ms.isdigit() else None, left, 10 * MS),
        )

    def _next(self) -> None:
        while self.waiting and len(self.running) < self.plan.cores:
            job = self.waiting.popleft()
            self.running[job] = None
            duration = (
                job.work
                / (self.plan.speed * self.slow_start_factor)
                * (10 if "slow" in self.active_faults else 1)
            )
            job.timer = self.world.loop.call_later(duration, self._done, job)

    def _done(self, job: _Job) -> None:
        if job not in self.running:
            return
        del self.running[job]
        connection = job.conn
        if connection is not None and connection.job is job:
            self._answer(connection, job)
        self._next()

    def cancel_job(self, job: _Job) -> None:
        """Stop the work of a request whose connection has ended."""
        job.conn = None
        if job.timer is not None:
            job.timer.cancel()
        if job in self.running:
            del self.running[job]
            self._next()
        elif job in self.waiting:
            self.waiting.remove(job)

    def is_streamed(self, job: _Job) -> bool:
        """Whether a request's class is streamed."""
        planned = self.world.requests.get(job.rid)
        return planned is not None and self.world.plan.classes[planned.cls].streamed

    def _answer(self, connection: _ServerConnection, job: _Job) -> None:
        variant = next((kind[6:] for kind in self.active_faults if kind.startswith("spoil ")), "")
        if variant and not (job.rng.random() < 0.3 + 0.7 * self.active_faults[f"spoil {variant}"]):
            variant = ""
        if self.fault_applies("lose", job.message):
            connection.transport.abort()
            return
        world = self.world
        body = world.make_body(job.rid, self.host, job.size)
        if variant in _RESPONSE_WRITERS:
            _RESPONSE_WRITERS[variant](connection, body, job.rng, self)
        else:
            head = (b"X-From: " + self.host.encode(), b"X-Hop: 1", b"Connection: x-hop", *self._load())
            if self.is_streamed(job) and len(body) > 64:
                self._stream(connection, job, body, head)
                return
            connection.write_whole(body, *head)
        if variant in _INCOMPLETE_RESPONSES:
            connection.job = None  # without a complete response the connection does not become idle
        elif not connection.transport.is_closing():
            connection.mark_idle()

    def _stream(self, connection: _ServerConnection, job: _Job, body: bytes, head: tuple[bytes, ...]) -> None:
        """Send a response in parts, chunked or with a Content-Length."""
        chunked = job.rng.random() < 0.5
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)
        connection.write(200, b"", framing, *head)
        step = max(1, len(body) // job.rng.randint(1, 6))
        parts = [body[at : at + step] for at in range(0, len(body), step)]
        loop = self.world.loop

        def send_next() -> None:
            if connection.job is not job or connection.transport.is_closing():
                return
            if connection.transport.paused:
                loop.call_later(0.01, send_next)
                return
            part = parts.pop(0)
            connection.send(b"%x\r\n%s\r\n" % (len(part), part) if chunked else part)
            if parts:
                loop.call_later(job.rng.uniform(0.0005, 0.02), send_next)
            else:
                if chunked:
                    connection.send(b"0\r\n\r\n")
                connection.mark_idle()

        send_next()

    def _load(self) -> tuple[bytes, ...]:
        """Return the header of its load report, updated every 0.5 s unless it is stale."""
        now = self.world.loop.now
        span = now - self._load_window[2]
        if (span >= 0.5 or not self._report) and "stale" not in self.active_faults:
            span = max(span, 0.001)
            self._report = b"eps=%.1f, qps=%.1f, queue=%d" % (
                self._load_window[1] / span,
                self._load_window[0] / span,
                len(self.waiting),
            )
            self._load_window = [0, 0, now]
        return (b"X-Backend-Load: TEXT " + (self._report or b"eps=9, qps=9, queue=0"),)


def _twice(connection: _ServerConnection, body: bytes, rng: random.Random, server: SimServer) -> None:
    whole = b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    connection.send(whole + whole)


def _closes(connection: _ServerConnection, data: bytes) -> None:
    connection.send(data)
    connection.transport.close()


def _no_length(connection: _ServerConnection, body: bytes, rng: random.Random, server: SimServer) -> None:
    # Framed by the end of the connection, which is valid.
    _closes(connection, b"HTTP/1.1 200 x\r\n\r\n" + body)


def _pieces(connection: _ServerConnection, body: bytes, rng: random.Random, server: SimServer) -> None:
    data = b"HTTP/1.1 200 x\r\nContent-Length: %d\r\nX-From: %s\r\n\r\n%s" % (
        len(body),
        server.host.encode(),
        body,
    )
    step = max(1, len(data) // 40)
    for at in range(0, len(data), step):
        connection.send(data[at : at + step])


def _chunked(connection: _ServerConnection, body: bytes, rng: random.Random, server: SimServer) -> None:
    cut = rng.randrange(len(body) + 1)
    parts = [part for part in (body[:cut], body[cut:]) if part]
    data = b"".join(b"%x;x=y\r\n%s\r\n" % (len(part), part) for part in parts)
    connection.write(200, data + b"0\r\n\r\n", b"Transfer-Encoding: chunked")


def _midway(connection: _ServerConnection, body: bytes, rng: random.Random, server: SimServer) -> None:
    connection.write(200, body[: len(body) // 2], b"Content-Length: %d" % len(body))
    server.world.loop.call_later(0.003, connection.transport.abort)


_RESPONSE_WRITERS: dict[str, Callable[[_ServerConnection, bytes, random.Random, SimServer], None]] = {
    "twice": _twice,
    "two_lengths": lambda connection, body, rng, server: connection.write(
        200, body, b"Content-Length: %d" % len(body), b"Content-Length: %d" % (len(body) // 2)
    ),
    "both_framings": lambda connection, body, rng, server: connection.write(
        200,
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body),
        b"Content-Length: %d" % (len(body) // 2),
        b"Transfer-Encoding: chunked",
    ),
    "no_length": _no_length,
    "short": lambda connection, body, rng, server: _closes(
        connection, b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s" % (len(body) + 9, body)
    ),
    "trailing": lambda connection, body, rng, server: connection.write(
        200, body + b"more", b"Content-Length: %d" % len(body)
    ),
    "garbage": lambda connection, body, rng, server: connection.send(b"\x00\x01 nothing at all \r\n\r\n"),
    "stalls": lambda connection, body, rng, server: connection.write(
        200, body[: len(body) // 2], b"Content-Length: %d" % len(body)
    ),
    "bad_chunk": lambda connection, body, rng, server: connection.write(
        200, b"zz\r\n" + body, b"Transfer-Encoding: chunked"
    ),
    "big_head": lambda connection, body, rng, server: connection.send(
        b"HTTP/1.1 200 x\r\nX-Pad: " + b"p" * 40_000
    ),
    "huge": lambda connection, body, rng, server: connection.write(200, body, b"Content-Length: 999999999"),
    "status": lambda connection, body, rng, server: connection.write_whole(body, b"Location: /", status=302),
    "reset_midway": _midway,
    "chunked": _chunked,
    "pieces": _pieces,
    "closing": lambda connection, body, rng, server: _closes(
        connection, b"HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    ),
    "informational": lambda connection, body, rng, server: connection.send(
        b"HTTP/1.1 103 x\r\nLink: y\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    ),
    "odd_report": lambda connection, body, rng, server: connection.write_whole(
        body, b"X-Backend-Load: TEXT eps=nan, qps=inf, =,,"
    ),
}
# After these the connection does not become idle: the response is incomplete or invalid.
_INCOMPLETE_RESPONSES = (
    "two_lengths",
    "both_framings",
    "garbage",
    "stalls",
    "bad_chunk",
    "big_head",
    "huge",
    "reset_midway",
)
