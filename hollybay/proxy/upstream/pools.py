"""Connections to servers: a pool for each, the attempts on them, and what sockets do as a Result."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections import OrderedDict
from collections.abc import Callable
from itertools import takewhile
from typing import Any, Protocol

import h11

from hollybay.balancing import interface as api

from .. import system
from ..config import MS, SECOND, Listing, Names
from ..http_messages import (
    LONG_BODY,
    MAX_BODY,
    MAX_HEAD,
    SMALL_BODY,
    TCP_ESTABLISHED,
    Answer,
    Headers,
    Message,
    Peer,
    end_to_end,
    head,
    not_passed_on,
    pairs,
)
from ..ports import Client
from ..streaming_body import Upload
from .connection_wait import HoldAccount

log = logging.getLogger("elderscale")

# How long the last byte of a request that must not be repeated freely is held back: about a round trip and
# the peer's waking up. A connection that is already dead, or reset by its first byte, breaks within it, while
# it is still certain that nothing ran.
HOLD_LAST_BYTE = 0.003
# A server that sends more than belongs to an answer (a second copy, noise) may do so some milliseconds late.
# A connection is settled when its last answer ended so long ago (s). A settled one is taken before one that
# is not; on one that is not, the last byte of a request of whatever class is held until it is: what comes
# before that byte is no answer to it.
SETTLE = 0.012
# A server's requests are held for as long as this many connections take to settle, together, before another
# connection is opened to it instead; see HoldAccount.
SETTLES_PER_CONNECTION = 2.0
# Of one server's resting connections: where none of so many has settled, no further one is opened, and a
# request waits for the one that rested longest, which takes a part of SETTLE.
MOST_UNSETTLED = 4
SWEEP = 0.25  # how often that is looked for
# Part of the drain grace after which an attempt that is not yet whole on the wire is withdrawn.
GRACE_PART = 0.75
# Without a byte for so long an answer that has begun is spoilt: a head without end, a length that does not
# fit. Servers write in pieces, but keep writing. The longer leaves room for a lost packet to be sent again,
# as taking a good answer for spoilt costs more where it must not be repeated. An answer that may be long
# and still comes by then is passed on from there.
ANSWER_LIMIT, ANSWER_LIMIT_SAFE = 0.25, 0.05
# The most that one answer can bring before it is passed on: informational answers ahead, framing and
# trailers.
ANSWER_BESIDE = MAX_BODY + 4 * MAX_HEAD
# A stream that brings nothing for this long is taken for left unfinished.
STREAM_STALL = 8.0
PROBE_TIME = SECOND


# What a reader of one answer must know of the request, which is not written through it, before it takes an
# informational answer: answers to GET and to POST end alike. Where none comes it need not be told, which
# would cost each request one part in forty.
_ASKED = h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"server")])
# The first digit of such an answer's status, or nothing where that has not come yet.
_INFORMATIONAL = (b"1", b"")


class Listener(Protocol):
    """Who is told how attempts go."""

    def wanted(self, attempt: Attempt) -> bool:
        """Whether anybody still waits for it: asked before its first byte, and before its last."""

    def started(self, attempt: Attempt, answer: Answer) -> Client | None:
        """A long answer has begun to come; where it goes, None to give the attempt up."""

    def ended(self, attempt: Attempt, answer: Answer | None) -> None:
        """An attempt has its result, and its answer where that was held until it was whole."""


class Attempt:
    """One attempt at a request. Ends exactly once, with a result."""

    __slots__ = (
        "backend",
        "began",
        "conn",
        "connecting",
        "deadline",
        "lag",
        "listener",
        "message",
        "number",
        "owner",
        "repeatable",
        "report",
        "result",
        "sent",
        "server",
        "streamed",
        "timer",
        "until",
        "written",
    )

    def __init__(
        self,
        message: Message,
        server: api.ServerId,
        deadline: int,
        listener: Listener,
        repeatable: bool = True,
        streamed: bool = False,
        owner: Any = None,
        number: int = 0,
        until: int = 0,
    ) -> None:
        self.message: Message | None = message
        self.server = server
        self.deadline = deadline
        self.listener = listener
        self.repeatable = repeatable
        self.streamed = streamed
        self.owner = owner
        self.number = number
        self.until = until  # ns; its last byte must not be written later, 0: it may
        self.sent = system.monotonic_ns()
        self.began = 0  # when the first bytes of an answer that is passed on came, 0: none has
        self.lag = 0  # for how long (ns) the answer's end was here before the node came to read it
        self.written = False  # its last byte was handed over: from here on it may have run
        self.result: api.Result | None = None
        self.report: tuple[float, ...] = ()
        self.conn: ServerConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.backend: _Backend | None = None

    def cancel(self) -> None:
        """Stop waiting; the connection is closed."""
        self.end(api.Result.CANCELLED)

    def broke(self) -> None:
        """The connection is gone, or what came on it is no answer."""
        self.end(api.Result.CONNECT_FAILED)

    def read_on(self, reading: bool) -> None:
        """Back-pressure of the client that the answer is passed on to."""
        if self.conn is not None:
            self.conn.read_on(reading)

    def end(self, result: api.Result, answer: Answer | None = None) -> None:
        """The result, told once; a connection still held is closed."""
        if self.result is not None:
            return
        if result == api.Result.TIMEOUT and not self.written:
            result = api.Result.CONNECT_FAILED  # a server begins a request when its last byte has come
        elif result == api.Result.CONNECT_FAILED and self.written:
            result = api.Result.RESET
        self.result = result
        self.message = None
        if self.timer is not None:
            self.timer.cancel()
        if self.connecting is not None:
            self.connecting.cancel()
        if self.conn is not None:
            self.conn.attempt = None
            self.conn.close()
            self.conn = None
        if self.backend is not None:
            self.backend.unsent.pop(self, None)
        self.listener.ended(self, answer)


class _Backend:
    """A server of the list."""

    __slots__ = ("address", "closes", "draining", "holds", "id", "idle", "told", "unsent")

    def __init__(self, server: api.ServerId, address: tuple[str, int]) -> None:
        self.id = server
        self.address = address
        self.draining: asyncio.TimerHandle | None = None
        self.closes = 0.0  # while it drains: from when on nothing is written to it (loop's clock, s)
        self.idle: list[ServerConnection] = []  # the last one rested shortest and is taken first
        self.unsent: dict[Attempt, None] = {}  # in the order in which they were begun
        self.holds = HoldAccount()
        self.told: tuple[bytes, tuple[float, ...]] = (b"", ())

    def load_report(self, text: bytes, names: Names) -> tuple[float, ...]:
        """The values of its load report, which it renews less often than it answers."""
        if text != self.told[0]:
            self.told = (text, names.load_report(text.decode("latin-1")))
        return self.told[1]


class ServerConnection(Peer):
    """One connection to a server; it carries one attempt at a time."""

    def __init__(self, servers: Servers, backend: _Backend, opened_for: Attempt, sock: socket.socket) -> None:
        super().__init__(sock)
        self.opened_for: Attempt | None = opened_for
        self.servers = servers
        self.backend = backend
        self.attempt: Attempt | None = None
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD)
        self.pieces: list[bytes] = []
        self.timer: asyncio.TimerHandle | None = None
        self.taken = 0  # bytes of the present answer
        self.upload: Upload | None = None  # the long body that is on its way
        self.tail = b""  # the last byte so far, held back until it is known whether it is the last one
        self.answered = 0.0  # when the last answer ended
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # From here on it counts as a connection; counted twice, a burst would seem to use up the descriptors.
        self.servers.connections.add(self)
        if self.opened_for is not None:
            self.servers.opening.discard(self.opened_for)
            self.opened_for = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.stop_timer()
        self.servers.dropped(self)
        if self.attempt is not None:
            self._broke()

    def alive(self) -> bool:
        """Whether the kernel knows the connection as whole and has nothing to read.

        A close or bytes may have come that the loop has not seen yet.
        """
        if self.lost or not self.connected():
            return False
        # Nothing has been asked in full: bytes that wait to be read belong to no request, and would be taken
        # for the answer to the next one.
        return not self.unread()

    def close(self) -> None:
        """Close at once; what is unsent is dropped."""
        self.stop_timer()
        if self.upload is not None:
            self.upload.leave(self)
            self.upload = None
        self.servers.unpool(self)
        if not self.lost:
            self.transport.abort()

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def after(self, delay: float, call: Callable[[], None]) -> None:
        self.stop_timer()
        self.timer = self.servers.loop.call_later(delay, call)

    # Writing

    def begin(self, attempt: Attempt) -> None:
        """Write a request, all but its last piece; see _last."""
        if self.backend.draining is not None and self.servers.loop.time() >= self.backend.closes:
            # The timer that withdraws what is not yet written is due, and has not been called yet.
            self.close()
            attempt.end(api.Result.CONNECT_FAILED)
            return
        if not attempt.listener.wanted(attempt):
            # Its client left while the connection came up, which is as good for the next one.
            self.rest(attempt)
            return
        message = attempt.message
        assert message is not None
        self.attempt = attempt
        attempt.conn = self
        self.head: Answer | None = None
        self.verdict: api.Result | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.client: Client | None = None
        self.taken = 0
        self.moved = self.servers.loop.time()
        self.least_hold = 0.0 if attempt.repeatable else HOLD_LAST_BYTE
        until = attempt.deadline if message.upload is None else min(attempt.deadline, message.upload.until)
        left = max(1, (until - system.monotonic_ns()) // MS)
        headers = [*message.headers, (b"x-time-left-ms", b"%d" % left)]
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD)
        if message.upload is not None:
            self._begin_upload(message, message.upload, headers)
            return
        if message.method != b"GET" or message.size:
            headers.append((b"content-length", b"%d" % message.size))
        pieces = [head(b"%s %s HTTP/1.1" % (message.method, message.target), headers), *message.body]
        if message.size <= SMALL_BODY:
            pieces = [b"".join(pieces)]
        if self._hold() > 0.0:
            tail = pieces.pop()
            pieces += [tail[:-1], tail[-1:]]
        pieces.reverse()
        self.pieces = pieces
        self._write()

    def rest(self, attempt: Attempt) -> None:
        """Nothing is to be written for an attempt after all."""
        self.answered = self.servers.loop.time()
        self.servers.pool(self)
        attempt.end(api.Result.NOT_SENT)

    def _begin_upload(self, message: Message, upload: Upload, headers: Headers) -> None:
        assert self.attempt is not None
        framing = (b"transfer-encoding", b"chunked")
        if upload.length is not None:
            framing = (b"content-length", b"%d" % upload.length)
        if upload.taken:
            # A part of it has gone while this connection came up.
            self.attempt.end(api.Result.NOT_SENT)
            return
        self.pieces = []
        self.tail = b""
        self.upload = upload
        upload.open(self)
        first = b"%s %s HTTP/1.1" % (message.method, message.target)
        self.transport.write(head(first, [*headers, framing]))
        self._write()

    def more(self) -> None:
        """There is more of a long body, or it is whole."""
        self._write()

    def _feed(self, upload: Upload) -> None:
        """Write what has come of a long body, at the pace of the server; its last piece stays for _last."""
        while not self.unsent and not self.transport.is_closing():
            data = upload.pull()
            if not data:
                break
            if upload.length is None:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            else:
                data = self.tail + data
                data, self.tail = data[:-1], data[-1:]
            if data:
                self.transport.write(data)
        if upload.exhausted and not self.unsent:
            self.pieces = [self.tail if upload.length is not None else b"0\r\n\r\n"]
            self.upload = None
            upload.leave(self)

    def resume_writing(self) -> None:
        super().resume_writing()
        self._write()

    def _write(self) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        if self.upload is not None:
            self._feed(self.upload)
            if self.upload is not None:
                return
        while len(self.pieces) > 1 and not self.unsent and not self.transport.is_closing():
            self.transport.write(self.pieces.pop())
        if self.unsent or self.timer is not None:
            return
        if len(self.pieces) == 1:
            hold = self._hold()
            if hold > 0.0:
                self.after(hold, self._last)
            else:
                self._last()
        elif not self.pieces:
            self._written()

    def unsettled(self) -> float:
        """For how long (s) what comes may still belong to the last answer; 0 or less: no longer."""
        return SETTLE - (self.servers.loop.time() - self.answered)

    def _hold(self) -> float:
        """For how long (s) the last byte of the present request is to be held; 0: not at all."""
        return max(self.least_hold, self.unsettled())

    def _last(self) -> None:
        """Write the piece with the last byte. Until the kernel has taken it, the request has not run."""
        self.stop_timer()
        if not self.alive():
            self._broke()
            return
        attempt = self.attempt
        if attempt is None:
            return
        if not attempt.listener.wanted(attempt) or 0 < attempt.until <= system.monotonic_ns():
            attempt.end(api.Result.NOT_SENT)
            return
        # The kernel may take the byte and the loop tell of it a turn later: whatever ends the attempt in
        # between, it may have run.
        attempt.written = True
        self.transport.write(self.pieces.pop())
        if self.transport.is_closing():
            attempt.written = False  # refused at once
            self._broke()
        elif not self.unsent:
            self._written()

    def _written(self) -> None:
        attempt = self.attempt
        if attempt is not None and attempt in self.backend.unsent and not self.transport.is_closing():
            if attempt.message is not None and attempt.message.upload is not None:
                # A server begins with the last byte: how long the body was on its way says nothing of it.
                attempt.sent = system.monotonic_ns()
            self.servers.written += 1
            self.backend.unsent.pop(attempt)

    # Reading

    def received(self, data: memoryview) -> None:
        if self.attempt is None:
            self.close()  # nothing was asked: what comes could only be taken for an answer to the next one
            return
        self.moved = self.servers.loop.time()
        begins = not self.taken
        if begins and data[9:10] in _INFORMATIONAL:
            self.http.send(_ASKED)
        self.taken += len(data)
        if self.taken > ANSWER_BESIDE and self.client is None:
            self._broke()
            return
        self.http.receive_data(data)
        self._events()
        if begins and self.attempt is not None and self.timer is None:
            # Most answers are whole by now.
            self.after(self._limit(self.attempt), self._stands)

    @staticmethod
    def _limit(attempt: Attempt) -> float:
        return ANSWER_LIMIT_SAFE if attempt.repeatable else ANSWER_LIMIT

    def _stands(self) -> None:
        """An answer is not whole after a while: spoilt where it stands still, long where it may be."""
        self.timer = None
        attempt = self.attempt
        if attempt is None:
            return
        limit = self._limit(attempt)
        left = limit - (self.servers.loop.time() - self.moved)
        if left <= 0.2 * limit:
            self._broke()
        elif self.body and self.head is not None and (self.head.length or LONG_BODY) > MAX_BODY:
            self._start(attempt)
        else:
            self.after(left, self._stands)

    def eof_received(self) -> None:
        if self.attempt is not None:
            self.http.receive_data(b"")
            self._events()
            if self.attempt is not None:
                self._broke()
        else:
            self.close()

    def _events(self) -> None:
        try:
            while self.attempt is not None:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                if type(event) is h11.Response:
                    self._head(self.attempt, event)
                elif type(event) is h11.Data:
                    self._data(self.attempt, bytes(event.data))
                elif type(event) is h11.EndOfMessage:
                    self._end(self.attempt)
                elif isinstance(event, h11.ConnectionClosed):
                    self._broke()
        except h11.RemoteProtocolError:
            self._broke()
        if self.attempt is not None and self.verdict is not None:
            self.attempt.end(self.verdict)  # the head said all; the rest of its body is not worth waiting for

    def _head(self, attempt: Attempt, event: h11.Response) -> None:
        length = None
        chunked = False
        headers = pairs(event)
        for name, value in headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
            elif name == self.servers.load_header:
                attempt.report = self.backend.load_report(value, self.servers.names)
        if event.status_code != 200:
            unprocessed = event.status_code in (503, 504) and any(
                name == b"x-unprocessed" and value.strip() == b"1" for name, value in headers
            )
            self.verdict = api.Result.REJECTED if unprocessed else api.Result.ERROR
            return
        if not attempt.written:
            # Nothing was asked in full yet, so no server can have made this for it.
            raise h11.RemoteProtocolError("an answer before the request")
        if chunked and length is not None:
            # Passed on as it comes it would be told to the client by a length that it does not have.
            raise h11.RemoteProtocolError("two framings")
        if length is not None and length > LONG_BODY:
            # One that says so and goes on coming would be passed on for ever.
            raise h11.RemoteProtocolError("too long")
        self.head = Answer(200, end_to_end(headers, self.servers.not_for_clients), None, length)
        if attempt.streamed:
            self._start(attempt)

    def _data(self, attempt: Attempt, data: bytes) -> None:
        if self.verdict is not None:
            return
        self.size += len(data)
        if self.size > LONG_BODY:
            raise h11.RemoteProtocolError("too long")
        if self.client is not None:
            self.client.write(data)
            return
        # Held until it is whole: what has been passed on in part can be neither tried again nor taken back.
        self.body.append(data)
        if self.size > MAX_BODY:
            self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        """Pass the answer on from here: where its class is streamed, or it is long."""
        assert self.head is not None
        self.after(STREAM_STALL, self._stalled)
        attempt.began = system.monotonic_ns()
        self.client = attempt.listener.started(attempt, self.head)
        if self.client is None:
            attempt.cancel()
            return
        if self.body:
            self.client.write(b"".join(self.body))
            self.body = []

    def _stalled(self) -> None:
        """A stream that its server leaves unfinished would hold the client and both sockets for ever."""
        idle = self.servers.loop.time() - self.moved
        if self.attempt is not None and self.reading and idle >= STREAM_STALL:
            self._broke()
        else:
            if not self.reading:
                self.moved = self.servers.loop.time()
            self.after(max(0.1, STREAM_STALL - (self.servers.loop.time() - self.moved)), self._stalled)

    def _end(self, attempt: Attempt) -> None:
        self.stop_timer()
        attempt.lag = self.waited()[1] * MS
        reusable = attempt.written and self.http.their_state is h11.DONE and not self.http.trailing_data[0]
        answer = None
        if self.head is not None and self.client is None:
            answer = Answer(200, self.head.headers, self.body)
        self.body = []
        self.answered = self.servers.loop.time()
        self.attempt = attempt.conn = None
        if reusable:
            self.servers.pool(self)
        else:
            self.close()
        attempt.end(self.verdict or api.Result.OK, answer)

    def _broke(self) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        if self.verdict is not None:
            attempt.end(self.verdict)  # the head was whole, and proves what it says
        else:
            attempt.broke()


class Servers:
    """All servers that the lists named, and the connections to them."""

    def __init__(self, settings: api.Settings, names: Names, limit: int) -> None:
        self.settings = settings
        self.written = 0  # attempts that the kernel has taken whole, since the start
        self.names = names
        self.limit = limit
        self.load_header = b"x-backend-load"
        self.not_for_clients = not_passed_on((self.load_header, b"x-unprocessed"))
        self.loop = asyncio.get_running_loop()
        self.backends: dict[api.ServerId, _Backend] = {}
        self.connections: set[ServerConnection] = set()
        # Idle ones and since when, longest rest first.
        self.resting: OrderedDict[ServerConnection, float] = OrderedDict()
        self.sweeper: asyncio.TimerHandle | None = None
        self.opening: set[Attempt] = set()  # attempts whose connection is not yet among the others

    def apply(self, listing: Listing) -> None:
        """Take a list over: addresses, and no rest for connections to what drains or is gone."""
        if listing.servers.kind != api.ListKind.CHANGES:
            for server in [s for s in self.backends if s not in listing.addresses]:
                self._drain(self.backends.pop(server))
        for line in listing.servers.servers:
            address = listing.addresses[str(line.id)]
            backend = self.backends.get(line.id)
            if backend is not None and backend.address != address:
                self._drain(self.backends.pop(line.id))
                backend = None
            if line.state == api.ServerState.GONE:
                if backend is not None:
                    self._drain(self.backends.pop(line.id))
                continue
            if backend is None:
                backend = self.backends[line.id] = _Backend(line.id, address)
            if line.state == api.ServerState.DRAINING:
                self._drain(backend)
            elif backend.draining is not None:
                backend.draining.cancel()
                backend.draining = None

    def _drain(self, backend: _Backend) -> None:
        for conn in list(backend.idle):
            conn.close()
        if backend.draining is None:
            grace = GRACE_PART * self.settings.drain_grace / SECOND
            backend.closes = self.loop.time() + grace
            backend.draining = self.loop.call_later(grace, self._withdraw, backend)

    def _withdraw(self, backend: _Backend) -> None:
        # A request that is still being written when the grace is over would reach a server that drains.
        for attempt in list(backend.unsent):
            attempt.end(api.Result.CONNECT_FAILED)

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        backend = self.backends.get(attempt.server)
        if backend is None:
            attempt.end(api.Result.NOT_SENT)
            return
        attempt.backend = backend
        backend.unsent[attempt] = None
        conn = self._kept(backend)
        if conn is not None:
            self.unpool(conn)
            conn.stop_timer()
            conn.begin(attempt)
            return
        if self._full():
            if not self.resting:
                # The node's own want, which says nothing of the server.
                log.warning("no descriptor left for a connection to a server")
                attempt.end(api.Result.NOT_SENT)
                return
            next(iter(self.resting)).close()
        self.opening.add(attempt)
        attempt.connecting = self.loop.create_task(self._connect(backend, attempt))
        # Not in a finally of the task: one that is cancelled before its first step runs none.
        attempt.connecting.add_done_callback(lambda _: self.opening.discard(attempt))

    def _full(self) -> bool:
        """Whether there is no room for another connection."""
        return len(self.connections) + len(self.opening) >= self.limit

    def _kept(self, backend: _Backend) -> ServerConnection | None:
        """The connection at rest that is to be used for a request; None: another one is to be opened."""
        while backend.idle:
            conn = self._settled(backend.idle)
            if not conn.alive():
                conn.close()
                continue
            hold = conn.unsettled()
            if hold <= 0.0 or len(backend.idle) >= MOST_UNSETTLED or self._full():
                return conn
            price = SETTLES_PER_CONNECTION * SETTLE
            return conn if backend.holds.allows(hold, price, self.loop.time()) else None
        return None

    def _settled(self, idle: list[ServerConnection]) -> ServerConnection:
        """Of those at rest the last one that has settled; where none has, the one that will soonest."""
        before = self.loop.time() - SETTLE
        for conn in reversed(idle):
            if conn.answered <= before:
                return conn
        return min(reversed(idle), key=lambda conn: conn.answered)

    async def _connect(self, backend: _Backend, attempt: Attempt) -> None:
        host, port = backend.address
        try:
            sock = system.tcp_socket(host)
        except OSError as error:
            # The node's own want, which says nothing of the server. Raised on, it would leave the attempt and
            # so its request without an end until its time is up.
            log.warning("no socket for a connection to a server: %s", error)
            attempt.connecting = None
            attempt.end(api.Result.NOT_SENT)
            return
        sock.setblocking(False)
        try:
            try:
                async with asyncio.timeout(self.settings.connect_timeout / SECOND):
                    await self._connected(sock, (host, port))
            except TimeoutError:
                # The server's time is up, unless it was in time and only the loop is late to hear of it: a
                # busy node would else blame its servers, and open the same connection elsewhere again.
                if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_ESTABLISHED:
                    raise
            _, conn = await self.loop.create_connection(
                lambda: ServerConnection(self, backend, attempt, sock), sock=sock
            )
        except OSError:  # TimeoutError is one, too
            sock.close()
            attempt.connecting = None
            attempt.end(api.Result.CONNECT_FAILED)
            return
        except asyncio.CancelledError:
            sock.close()
            raise
        attempt.connecting = None
        if conn.lost:
            attempt.end(api.Result.CONNECT_FAILED)
        else:
            conn.begin(attempt)

    async def _connected(self, sock: socket.socket, address: tuple[str, int]) -> None:
        # Begun at once: a loop that begins it a turn later takes that turn from the server's time.
        error = sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            up = asyncio.Event()
            self.loop.add_writer(sock, up.set)
            try:
                await up.wait()
            finally:
                self.loop.remove_writer(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))

    def pool(self, conn: ServerConnection) -> None:
        """Keep a connection for the next request to its server."""
        if conn.backend.draining is not None:
            conn.close()
            return
        conn.read_on(True)
        conn.backend.idle.append(conn)
        self.resting[conn] = conn.answered
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(SWEEP, self._sweep)

    def _sweep(self) -> None:
        """Close what has rested for nearly as long as its server lets it; one timer for all of them."""
        self.sweeper = None
        before = self.loop.time() + SWEEP - api.IDLE_PART * self.settings.idle_timeout / SECOND
        for conn in list(takewhile(lambda conn: self.resting[conn] <= before, self.resting)):
            conn.close()
        if self.resting:
            self.sweeper = self.loop.call_later(SWEEP, self._sweep)

    def unpool(self, conn: ServerConnection) -> None:
        """Take a connection out of the pool, if it is there."""
        if conn in self.resting:
            del self.resting[conn]
            conn.backend.idle.remove(conn)

    def dropped(self, conn: ServerConnection) -> None:
        """A connection is gone."""
        self.unpool(conn)
        self.connections.discard(conn)

    def close_idle(self, server: api.ServerId) -> None:
        """Close what rests at one server."""
        backend = self.backends.get(server)
        for conn in list(backend.idle) if backend is not None else ():
            conn.close()

    def probe(self, server: api.ServerId, feed: Callable[[api.Event], None]) -> None:
        """Ask a server for its health, with its load where reports come that way."""
        pulled = self.settings.report_mode == api.ReportMode.PROBES
        backend = self.backends.get(server)
        host = backend.address[0].encode() if backend is not None else b""
        message = Message(b"GET", b"/stats" if pulled else b"/health/live", [(b"host", host)], (), 0)
        attempt = Attempt(message, server, system.monotonic_ns() + PROBE_TIME, _Probe(self.names, feed))
        attempt.timer = self.loop.call_later(PROBE_TIME / SECOND, attempt.end, api.Result.TIMEOUT)
        self.send(attempt)


class _Probe:
    """Listens to a probe, which is an attempt that no client waits for."""

    def __init__(self, names: Names, feed: Callable[[api.Event], None]) -> None:
        self.names = names
        self.feed = feed

    def wanted(self, attempt: Attempt) -> bool:
        return True

    def started(self, attempt: Attempt, answer: Answer) -> None:
        return None

    def ended(self, attempt: Attempt, answer: Answer | None) -> None:
        assert attempt.result is not None
        report = attempt.report
        if answer is not None and answer.body and not report:
            report = self.names.load_report(b"".join(answer.body).decode("latin-1"))
        rtt = system.monotonic_ns() - attempt.sent
        self.feed(api.ProbeResult(attempt.server, attempt.result, rtt, report))
