"""Modelled clients: well-behaved ones with persistent connections, and slow, impatient or faulty ones.

Each request of a plan belongs to one client; its manner determines how it is sent and which responses are
correct. A request counts as accepted, and must get a response, once the node has read its last byte.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import cast

import msgspec

from hollybay.testbed.ledger import FinalOutcome
from hollybay.units import MS, SECOND

from .fault_kinds import MALFORMED_REQUESTS
from .http import MalformedMessageError, Message, MessageReader, filler
from .network import SimTransport
from .oracles import answer_violation, retry_after_violation, status_violation
from .plan import RequestPlan
from .run_context import RunContext
from .servers import STREAMING_THRESHOLD

__all__ = ["Clients", "encode_request"]

# Headers that must not be forwarded to a client.
NOT_FOR_CLIENTS = frozenset(
    (b"x-backend-load", b"x-unprocessed", b"x-hop", b"x-time-left-ms", b"keep-alive", b"upgrade")
)
# How long (s) a client retries to connect to a node.
CONNECT_RETRY_S = 1.0


def encode_request(
    world: RunContext, ask: RequestPlan, rid: str, repeat: bool = False
) -> tuple[bytes, bytes]:
    """Return the head and body of a valid request."""
    cls = world.plan.classes[ask.cls]
    retryable = cls.effect == "retryable"
    lines = [
        b"%s /%s/%s HTTP/1.1" % (b"GET" if retryable else b"POST", cls.name.encode(), rid.encode()),
        b"Host: service.internal",
        b"X-Correlation-Id: " + rid.encode(),
        b"X-Time-Left-Ms: %d" % cls.deadline,
        b"X-Note: " + rid.encode(),
        b"X-Account: t%d" % (ask.client % 3),
        b"X-Hop: drop",
        b"Connection: x-hop",
    ]
    if repeat:
        lines.append(b"X-Repeat: 1")
    if cls.effect == "dedup":
        lines.append(b"Idempotency-Key: " + rid.encode())
    body = filler(rid, ask.size)
    if ask.manner == "chunked" and not retryable:
        lines.append(b"Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    elif not retryable:
        lines.append(b"Content-Length: %d" % len(body))
    if ask.manner == "expect" and not retryable:
        lines.append(b"Expect: 100-continue")
    return b"\r\n".join(lines) + b"\r\n\r\n", body


def _without(head: bytes, name: bytes) -> bytes:
    return b"\r\n".join(line for line in head.split(b"\r\n") if not line.lower().startswith(name))


def encode_malformed_request(world: RunContext, ask: RequestPlan, rid: str) -> tuple[bytes, tuple[int, ...]]:
    """Return a malformed request, chosen by the plan's arg, and the statuses that are correct responses."""
    wrong = MALFORMED_REQUESTS[int(ask.arg) % len(MALFORMED_REQUESTS)]
    post = next((n for n, c in enumerate(world.plan.classes) if c.effect != "retryable"), -1)
    get = next((n for n, c in enumerate(world.plan.classes) if c.effect == "retryable"), -1)
    keyed = next((n for n, c in enumerate(world.plan.classes) if c.effect == "dedup"), -1)
    cls = {"get_body": get, "no_key": keyed}.get(wrong.name, post if post >= 0 else ask.cls)
    if cls < 0 or (
        post < 0 and wrong.name in ("two_lengths", "both_framings", "too_long", "chunk_size", "old_chunked")
    ):
        wrong, cls = MALFORMED_REQUESTS[0], ask.cls
    head, body = encode_request(world, msgspec.structs.replace(ask, cls=cls, size=4, manner="wrong"), rid)
    front, end = head[:-2], b"\r\n"
    chunked = _without(head, b"content-length")[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
    ways: dict[str, Callable[[], bytes]] = {
        "version": lambda: head.replace(b" HTTP/1.1", b" HTTP/2.0") + body,
        "two_lengths": lambda: front + b"Content-Length: 9\r\n" + end + body,
        "both_framings": lambda: front + b"Transfer-Encoding: chunked\r\n" + end + b"0\r\n\r\n",
        "two_ids": lambda: front + b"X-Correlation-Id: other\r\n" + end + body,
        "no_id": lambda: _without(head, b"x-correlation-id") + body,
        "bad_id": lambda: head.replace(b"X-Correlation-Id: ", b"X-Correlation-Id: a b ") + body,
        "no_class": lambda: head.replace(b" /", b" /nothing-", 1) + body,
        "method": lambda: head.replace(b"GET " if cls == get else b"POST ", b"PUT ", 1) + body,
        "get_body": lambda: front + b"Content-Length: 4\r\n" + end + b"abcd",
        "no_key": lambda: _without(head, b"idempotency-key") + body,
        "deadline": lambda: head.replace(b"X-Time-Left-Ms: ", b"X-Time-Left-Ms: -"),
        "control": lambda: front + b"X-Odd: a\x01b\r\n" + end + body,
        "too_long": lambda: _without(head, b"content-length")[:-2]
        + b"Content-Length: 60000000\r\n\r\n"
        + filler(rid, 65537),
        "chunk_size": lambda: chunked + b"f" * 21 + b"\r\n" + filler(rid, 0x8000),
        "big_head": lambda: front + b"X-Pad: " + b"p" * 17_000 + b"\r\n" + end,
        "two_hosts": lambda: front + b"Host: other\r\n" + end + body,
        "old_chunked": lambda: chunked.replace(b"HTTP/1.1", b"HTTP/1.0", 1) + b"0\r\n\r\n",
        "noise": lambda: b"\x16\x03\x01\x02 noise \x00\r\n\r\n",
    }
    data = ways[wrong.name]()
    return data, wrong.status


class _ClientRequest:
    """One request of a client: its state, and the statuses expected for a malformed one."""

    __slots__ = (
        "accepted_at_byte",
        "ask",
        "attempts",
        "connection",
        "data",
        "expected_statuses",
        "finished",
        "fully_written",
        "pipelined",
        "reached_node",
        "repeat",
        "response_started",
        "rid",
        "timer",
    )

    def __init__(self, ask: RequestPlan, rid: str, data: bytes, right: tuple[int, ...], repeat: bool) -> None:
        self.ask, self.rid, self.data, self.expected_statuses, self.repeat = ask, rid, data, right, repeat
        self.finished = False
        self.attempts = 0
        self.connection: _ClientConnection | None = None
        self.fully_written = False  # written up to its last byte
        self.response_started = False
        self.reached_node = False  # received by a node that had not closed the connection
        self.accepted_at_byte = 0  # bytes that the node must have read
        self.pipelined: _ClientRequest | None = None  # the next request, pipelined on the same connection
        self.timer: asyncio.TimerHandle | None = None


class _ClientConnection(asyncio.Protocol):
    """One client connection."""

    def __init__(self, clients: Clients, request: _ClientRequest, key: tuple[int, int]) -> None:
        self.clients = clients
        self.world: RunContext = clients.world
        request.connection = self
        self.calls: list[_ClientRequest] = [request]  # requests without a response yet, in order
        self.key = key
        self.reader = MessageReader(answers=True)
        self.sent = 0
        self.close_announced = False
        self.transport: SimTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(SimTransport, transport)
        self.clients.connections[self] = None
        first = self.calls[0]
        # The time of a request starts when a node accepts its connection.
        self.transport.peer.on_attach = self._attached
        self.send(first)

    def _attached(self) -> None:
        for request in self.calls:
            self.clients.on_received(request)

    def send(self, request: _ClientRequest) -> None:
        """Send a request in its manner."""
        manner, arg = request.ask.manner, request.ask.arg
        self.clients.request_started(request)
        if request.pipelined is not None:
            request.pipelined.connection = self
            self.clients.request_started(request.pipelined)
            self.calls.append(request.pipelined)
        if manner in ("slow", "dribble"):
            parts = 2 + int(4 * arg)
            step = max(1, len(request.data) // parts)
            pieces = [request.data[at : at + step] for at in range(0, len(request.data), step)]
            if manner == "dribble":
                pieces = pieces[:-1] or [request.data[:1]]
            self._write_pieces(request, pieces, 0.002 + 0.1 * arg, manner == "slow")
        elif manner == "expect":
            head, _, body = request.data.partition(b"\r\n\r\n")
            self._write(request, head + b"\r\n\r\n", not body)
            self.world.loop.call_later(0.02, self._write, request, body)
        else:
            self._write(request, request.data)
            if request.pipelined is not None:
                self._write(request.pipelined, request.pipelined.data)
        loop = self.world.loop
        if manner == "leave":
            loop.call_later(0.3 * arg * arg, self._disconnect, request)
        elif manner == "half":
            loop.call_later(0.01 * arg, self._half_close, request)
        elif manner == "lazy":
            loop.call_soon(self.transport.pause_reading)
            loop.call_later(0.05 + 0.3 * arg, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _write_pieces(self, request: _ClientRequest, pieces: list[bytes], pause: float, whole: bool) -> None:
        if not request.finished and not self.transport.is_closing():
            self._write(request, pieces.pop(0), whole and not pieces)
            if pieces:
                self.world.loop.call_later(pause, self._write_pieces, request, pieces, pause, whole)

    def _write(self, request: _ClientRequest, data: bytes, whole: bool = True) -> None:
        request.fully_written = whole
        if not data or request.finished or self.transport.is_closing():
            return
        self.sent += len(data)
        request.accepted_at_byte = self.sent
        self.transport.peer.receive_callbacks.append((self.sent, partial(self.clients.on_received, request)))
        self.transport.write(data)

    def _disconnect(self, request: _ClientRequest) -> None:
        if not request.finished and request.connection is self:
            self.clients.disconnect(request)
            self.transport.abort()

    def _half_close(self, request: _ClientRequest) -> None:
        if not request.finished and request.connection is self:
            self.clients.disconnect(request)
            self.transport.write_eof()

    def accepted(self, request: _ClientRequest) -> bool:
        """Whether the node has read the whole request."""
        if self.close_announced or not request.fully_written or not request.reached_node:
            return False  # requests after a final response or the end of the connection are not accepted
        peer = self.transport.peer
        # A node that shuts down is responsible for connections in its accept queue, too.
        return (
            0
            < request.accepted_at_byte
            <= (peer.received_bytes if peer.dropped_by_listener else peer.delivered_bytes)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.connections.pop(self, None)
        self.clients.forget(self)
        calls, self.calls = self.calls, []
        if calls:
            try:
                message = self.reader.ended() if exc is None else None
            except MalformedMessageError:
                message = None
            if message is not None:
                self.clients.answered(calls.pop(0), message, self)
        for request in calls:
            self.clients.connection_broken(request, self)

    def data_received(self, data: bytes) -> None:
        ledger = self.world.ledger
        if not self.calls:
            ledger.report("bytes", self.transport.remote[0], f"unexpected bytes: {data[:40]!r}")
            return
        self.reader.feed(data)
        try:
            while self.calls:
                message = self.reader.next()
                if message is None:
                    if self.reader.head is not None and self.clients.is_streamed(self.calls[0]):
                        # A streamed response has no deadline, and requests pipelined after it wait for its
                        # end; the node ends one that stalls.
                        for request in self.calls:
                            self.clients.response_started(request)
                    return
                self.clients.answered(self.calls.pop(0), message, self)
            if self.reader.in_progress:
                ledger.report("bytes", self.transport.remote[0], "more responses than requests")
        except MalformedMessageError as error:
            ledger.report("bytes", self.transport.remote[0], f"invalid response to a client: {error}")
            self.transport.abort()


class Clients:
    """All clients of a run."""

    def __init__(self, world: RunContext) -> None:
        self.world = world
        self.connections: dict[_ClientConnection, None] = {}
        self.idle_connections: dict[tuple[int, int], list[_ClientConnection]] = {}
        self.calls: dict[str, _ClientRequest] = {}  # open requests, by ID
        self.open_count = 0
        self.repeats = 0

    async def run(self) -> None:
        """Send the requests of the plan, each at its time."""
        loop = self.world.loop
        began = loop.now
        for number, ask in enumerate(self.world.plan.asks):
            if began + ask.at > loop.now:
                await asyncio.sleep(began + ask.at - loop.now)
            self.ask(ask, f"r-{number}")

    def ask(self, ask: RequestPlan, rid: str, repeat: bool = False) -> None:
        """Send one request now, in its manner."""
        world = self.world
        right: tuple[int, ...] = ()
        if ask.manner == "wrong":
            data, right = encode_malformed_request(world, ask, rid)
        else:
            data = b"".join(encode_request(world, ask, rid, repeat))
        request = self._begin(ask, rid, data, right, repeat)
        if ask.manner == "pair":
            second = msgspec.structs.replace(ask, manner="keep", answer=0)
            more = b"".join(encode_request(world, second, rid + "b"))
            request.pipelined = self._begin(second, rid + "b", more, (), False)
        elif ask.manner == "twin":
            # A second request with the same ID while the first is pending is rejected.
            again = _ClientRequest(msgspec.structs.replace(ask, manner="fresh"), rid, data, (409,), False)
            world.loop.call_later(0.005, self._send_duplicate, request, again)
        self._connect(request)

    def _begin(
        self, ask: RequestPlan, rid: str, data: bytes, right: tuple[int, ...], repeat: bool
    ) -> _ClientRequest:
        world = self.world
        cls = world.plan.classes[ask.cls]
        request = _ClientRequest(ask, rid, data, right, repeat)
        if not right:
            now = world.now()
            world.requests[rid] = ask
            # The deadline counts from its arrival at a node and is set again then.
            late = int(10 * CONNECT_RETRY_S * SECOND)
            entry = world.ledger.asked(
                rid, ask.cls, now, now + cls.deadline * MS + late, f"t{ask.client % 3}"
            )
            entry.excused = ask.manner == "dribble"
            self.open_count += 1
            self.calls[rid] = request
        return request

    def request_started(self, request: _ClientRequest) -> None:
        """Set the deadline of a request that is being sent; it has 2 s to reach the node."""
        self._set_deadline(request, 2 * SECOND)

    def on_received(self, request: _ClientRequest) -> None:
        """Reset the deadline of a request of which a part has reached the node's host."""
        if request.connection is not None:
            peer = request.connection.transport.peer
            request.reached_node = not (peer.write_ended or peer.detached)
        self._set_deadline(request, 0)

    def is_streamed(self, request: _ClientRequest) -> bool:
        """Whether its response is streamed: that of a streamed class, or a long one."""
        return self.world.plan.classes[request.ask.cls].streamed or request.ask.answer > STREAMING_THRESHOLD

    def response_started(self, request: _ClientRequest) -> None:
        """Extend the deadline by 12 s when a streamed response has started."""
        if not request.response_started:
            request.response_started = True
            self._set_deadline(request, 12 * SECOND)

    def _set_deadline(self, request: _ClientRequest, more: int) -> None:
        if request.expected_statuses or request.finished:
            return
        world = self.world
        now = world.now()
        deadline = now + world.plan.classes[request.ask.cls].deadline * MS + more
        world.ledger.deadline(request.rid, deadline)
        if request.timer is not None:
            request.timer.cancel()
        request.timer = world.loop.call_later((deadline - now) / SECOND + 0.2, self._on_timeout, request)

    def _send_duplicate(self, request: _ClientRequest, again: _ClientRequest) -> None:
        connection = request.connection
        if (
            connection is not None
            and connection.transport.peer.delivered_bytes >= request.accepted_at_byte
            and not connection.transport.is_closing()
        ):
            self.world.loop.create_task(self._open(again, int(connection.transport.remote[0][1:])))

    def _connect(self, request: _ClientRequest) -> None:
        kept = self.idle_connections.get((request.ask.client, request.ask.node), [])
        if (
            request.ask.manner in ("keep", "pair", "lazy", "chunked")
            and not request.attempts
            and not request.expected_statuses
        ):
            while kept:
                connection = kept.pop()
                if not connection.transport.is_closing():
                    connection.calls.append(request)
                    request.connection = connection
                    connection.send(request)
                    return
        self.world.loop.create_task(self._open(request))

    async def _open(self, request: _ClientRequest, only: int = -1) -> None:
        world = self.world
        request.attempts += 1
        give_up = world.loop.now + CONNECT_RETRY_S
        node = request.ask.node if only < 0 else only
        while not request.finished:
            key = (request.ask.client, node)
            try:
                async with asyncio.timeout(CONNECT_RETRY_S):
                    await world.net.create_connection(
                        lambda key=key: _ClientConnection(self, request, key),  # type: ignore[misc]
                        f"n{node}",
                        80,
                        local=f"c{request.ask.client}",
                    )
                return
            except OSError:  # TimeoutError is one, too
                if world.loop.now >= give_up or only >= 0:
                    break
                await asyncio.sleep(0.05)
                node = (node + 1) % world.plan.nodes
        for one in (request, request.pipelined):
            if (
                one is not None
                and not one.finished
                and not one.expected_statuses
                and (one is request or one.connection is None)
            ):
                # No node accepted it.
                world.ledger.requests[one.rid].excused = True
                self._finish(one, FinalOutcome.BROKEN)

    # Results

    def answered(self, request: _ClientRequest, message: Message, connection: _ClientConnection) -> None:
        """Handle a complete response."""
        world = self.world
        status = int(message.first.split(b" ")[1])
        keeps = (message.get(b"connection") or b"").lower() != b"close"
        connection.close_announced = connection.close_announced or not keeps
        key = connection.key
        if keeps and not connection.calls and request.ask.manner in ("keep", "pair", "lazy", "chunked"):
            self.idle_connections.setdefault(key, []).append(connection)
        elif not connection.calls:
            connection.transport.close()
        for name, value in message.headers:
            if name in NOT_FOR_CLIENTS:
                world.ledger.report("head", request.rid, f"{name.decode()} was forwarded to a client")
            if name == b"retry-after":
                most = world.plan.retry_after * MS
                world.ledger.report("retry", request.rid, retry_after_violation(value, most))
        if request.expected_statuses:
            excused = request.expected_statuses == (409,) and world.restarts > 0
            right = (
                (*request.expected_statuses, 503)
                if request.expected_statuses == (409,)
                else request.expected_statuses
            )
            if not excused:
                world.ledger.report("status", request.rid, status_violation(status, right))
            request.finished = True
            return
        final = FinalOutcome.FAILED
        if status == 200:
            reason = answer_violation(message.content, world.served_bodies.get(request.rid, {}))
            final = FinalOutcome.SERVED if reason is None else FinalOutcome.WRONG
            world.ledger.report("bytes", request.rid, reason)
        elif status in (429, 503):
            final = FinalOutcome.REFUSED
        elif status == 409 and request.ask.manner == "twin":
            # The duplicate came first and is processed; its response is checked there.
            world.ledger.requests[request.rid].excused = True
        elif status not in (502, 504) and not (status == 408 and request.ask.manner == "dribble"):
            world.ledger.report("status", request.rid, f"status {status} for a valid request")
        after = message.get(b"retry-after")
        self._finish(request, final, status)
        if final is FinalOutcome.REFUSED and not request.repeat and self.repeats < 300:
            rng = world.rng_for(f"retry {request.rid}")
            if rng.random() < world.plan.retries:
                self.repeats += 1
                pause = float(after) if after is not None else 0.05
                again = msgspec.structs.replace(request.ask, manner="keep")
                world.loop.call_later(pause, self.ask, again, f"{request.rid}-again", True)

    def connection_broken(self, request: _ClientRequest, connection: _ClientConnection) -> None:
        """Handle the end of the connection before a complete response."""
        world = self.world
        if request.finished:
            return
        if request.expected_statuses:
            request.finished = True
            # If bytes are left unread, the node's close is a reset, which may drop the response.
            return
        entry = world.ledger.requests[request.rid]
        accepted = connection.accepted(request)
        if connection.transport.peer_killed:
            entry.excused = True
        if not accepted and not connection.reader.in_progress:
            if request.attempts < 4 and request.ask.manner != "dribble":
                if request.pipelined is not None and request.pipelined.connection is not None:
                    request.pipelined = None  # already sent, and handled by itself
                request.reached_node = False
                self._set_deadline(request, 2 * SECOND)
                world.loop.create_task(self._open(request))
                return
            entry.excused = True
        streamed = connection.reader.head is not None and self.is_streamed(request)
        self._finish(request, FinalOutcome.FAILED if streamed else FinalOutcome.BROKEN)

    def disconnect(self, request: _ClientRequest) -> None:
        """Record that a client disconnects before its response."""
        self.world.ledger.left(request.rid)
        self._finish(request, FinalOutcome.BROKEN)

    def _on_timeout(self, request: _ClientRequest) -> None:
        if request.finished:
            return
        if not self.accepted(request.rid):
            self.world.ledger.requests[request.rid].excused = True
        for connection in list(self.connections):
            if request in connection.calls:
                connection.calls.clear()
                connection.transport.abort()
        self._finish(request, FinalOutcome.SILENT)

    def _finish(self, request: _ClientRequest, final: FinalOutcome, status: int = 0) -> None:
        if request.finished:
            return
        request.finished = True
        del self.calls[request.rid]
        if request.timer is not None:
            request.timer.cancel()
        self.open_count -= 1
        world = self.world
        world.ledger.answered(request.rid, final, world.now(), status)

    def accepted(self, rid: str) -> bool:
        """Whether a node has read the whole of an open request."""
        request = self.calls.get(rid)
        return request is not None and request.connection is not None and request.connection.accepted(request)

    def forget(self, connection: _ClientConnection) -> None:
        """Remove a closed connection from the idle ones."""
        kept = self.idle_connections.get(connection.key)
        if kept and connection in kept:
            kept.remove(connection)

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.transport.abort()
