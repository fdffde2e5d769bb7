"""The listener and its connections: admission under budgets, requests in, answers out, draining."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING

import h11

from lynxrouter.interface import Effect

from .config import MAX_BODY, MS, SECOND, Config
from .messages import MAX_HEAD, SMALL_BODY, Answer, Headers, Message, Peer, end_to_end

if TYPE_CHECKING:
    from .node import Node
    from .servers import Attempt

log = logging.getLogger("elderscale")

# Connections that are accepted in one turn of the loop, before the budget can make room for them.
ACCEPT_BATCH = 32
# The kernel's queue of connections not yet accepted: a crowd waits there and is not turned away.
BACKLOG = 4096
# A request that is not whole and has brought nothing for this long is given up. Its head may take 2 s.
UNFINISHED_LIMIT = 10.0
# Nothing asked for this long, or nothing read of an answer: the connection is closed.
IDLE_LIMIT = 120.0
WRITING_LIMIT = 30.0
# How long a connection that is closed in order goes on reading: with unread bytes a close is a reset, and
# that could destroy the answer on its way.
LINGER = 1.0
# The longest time that a client can sanely be ready to wait.
LONGEST_WAIT_MS = 86_400_000

# Not passed on: they are for the node alone, or it words them anew.
_FOR_NODE = (
    b"x-account",
    b"x-session-key",
    b"x-time-left-ms",
    b"x-repeat",
    b"x-weight-hint",
    b"x-facts",
)


class BodyBudget:
    """Memory for bodies that are not small. Whoever finds no room leaves the rest to its sender's kernel."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0
        self.held: OrderedDict[ClientConnection, int] = OrderedDict()
        self.waiting: OrderedDict[ClientConnection, None] = OrderedDict()

    def charge(self, conn: ClientConnection, size: int) -> bool:
        """Book bytes that have come; False: no more must be read now."""
        self.held[conn] = self.held.get(conn, 0) + size
        self.used += size
        if self._room(conn):
            return True
        self.waiting[conn] = None
        return False

    def _room(self, conn: ClientConnection) -> bool:
        # Were the whole budget open to all, bodies that are each half here could fill it, and none would
        # ever be whole. The last part is the eldest's alone; it holds any body, so that one comes through.
        eldest = next(iter(self.held)) is conn
        return self.used < self.total - (0 if eldest else MAX_BODY)

    def release(self, conn: ClientConnection) -> None:
        """Give back what a connection held."""
        self.waiting.pop(conn, None)
        self.used -= self.held.pop(conn, 0)
        for other in [c for c in self.waiting if self._room(c)]:
            del self.waiting[other]
            other.read_on(True)


class ClientConnection(Peer):
    """One connection from a client, which carries one request at a time."""

    def __init__(self, clients: Clients) -> None:
        super().__init__()
        self.clients = clients
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.group: OrderedDict[ClientConnection, float] | None = None
        self.request: h11.Request | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.large = False
        self.cls = 0
        self.time_left = 0
        self.rid = 0  # the request that the node works on, 0: none
        self.busy = False  # from a request's last byte to its answer's
        self.ahead = 0  # bytes of the next request that came meanwhile
        self.source: Attempt | None = None  # where an answer comes from that is passed on
        self.lingering: asyncio.TimerHandle | None = None

    # The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.clients.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.dropped(self)
        if self.lingering is not None:
            self.lingering.cancel()
        self._gone()

    def eof_received(self) -> bool:
        """A client that closes has gone; it does not wait for what it asked."""
        self._gone()
        self.transport.abort()
        return True

    def _gone(self) -> None:
        self.clients.budget.release(self)
        self.body = []
        rid, self.rid = self.rid, 0
        if rid:
            self.clients.node.gone(rid)

    def resume_writing(self) -> None:
        super().resume_writing()
        self.clients.touch(self)
        if self.source is not None:
            self.source.read_on(True)
        elif self.busy and not self.rid:
            self._answered()

    # Requests

    def received(self, data: memoryview) -> None:
        if self.lingering is not None:
            return
        self.http.receive_data(data)
        if self.busy:
            # Bytes after a request belong to the next one; a little may wait here, the rest in the kernel.
            self.ahead += len(data)
            if self.ahead > SMALL_BODY:
                self.read_on(False)
            return
        self._events()

    def _events(self) -> None:
        try:
            while not self.busy and self.lingering is None:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        self._write(h11.InformationalResponse(status_code=100, headers=[]))
                    self._unfinished()
                    break
                if isinstance(event, h11.Request):
                    self._head(event)
                elif isinstance(event, h11.Data):
                    self._data(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._whole()
                else:  # paused or closed: nothing more can come on this connection
                    self.linger()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _unfinished(self) -> None:
        """Note that part of a request is here, and since when: for a head since its first byte."""
        begun = self.http.trailing_data[0] and self.group is not self.clients.unfinished
        if self.request is not None or begun:
            self.clients.move(self, self.clients.unfinished)

    def _head(self, event: h11.Request) -> None:
        config = self.clients.config
        self.request = event
        self.body = []
        self.size = 0
        path = event.target.split(b"?", 1)[0].decode("latin-1")
        if path in ("/health/ready", "/health/live"):
            return
        cls = config.names.classes.get(path.lstrip("/").split("/", 1)[0]) if path.startswith("/") else None
        if cls is None:
            self._reject(404, "no such class")
            return
        if event.method not in (b"GET", b"POST"):
            self._reject(400, "neither GET nor POST")
            return
        self.cls = cls
        given = dict(event.headers)
        if not given.get(b"x-correlation-id"):
            self._reject(400, "X-Correlation-Id: missing")
            return
        if config.settings.classes[cls].effect == Effect.KEYED and not given.get(b"idempotency-key"):
            # Without it a server could not drop the repeat that this class allows.
            self._reject(400, "Idempotency-Key: missing")
            return
        left = given.get(b"x-time-left-ms")
        if left is None:
            self.time_left = config.settings.classes[cls].deadline
        elif left.isdigit() and len(left) < 10 and 0 < int(left) <= LONGEST_WAIT_MS:
            self.time_left = int(left) * MS
        else:
            self._reject(400, "X-Time-Left-Ms: no sane number")

    def _data(self, data: bytes) -> None:
        if self.lingering is not None:
            return
        self.body.append(data)
        self.size += len(data)
        if self.size > MAX_BODY:
            self._reject(413, "the body is longer than 32 MiB")
            return
        if self.large or self.size > SMALL_BODY:
            size = len(data) if self.large else self.size
            self.large = True
            if not self.clients.budget.charge(self, size):
                self.read_on(False)

    def _whole(self) -> None:
        """The last byte of a request has come."""
        event = self.request
        assert event is not None
        self.busy = True
        self.ahead = len(self.http.trailing_data[0])
        self.clients.budget.waiting.pop(self, None)
        self.read_on(True)
        self.clients.move(self, None)
        path = event.target.split(b"?", 1)[0]
        if path in (b"/health/live", b"/health/ready"):
            well = path == b"/health/live" or (self.clients.ready and not self.clients.draining)
            self._respond(200 if well else 503, [], (b"ok\n" if well else b"not ready\n",))
            return
        if self.clients.full:
            # Worded by the node itself: nothing was sent on for this request.
            self.refuse(0)
            return
        headers = end_to_end(event.headers, _FOR_NODE)
        if not any(name == b"host" for name, _ in headers):
            headers.append((b"host", self.clients.host))
        message = Message(event.method, event.target, headers, self.body, self.size)
        given = dict(event.headers)
        hint = given.get(b"x-weight-hint", b"").strip()
        names = self.clients.config.names
        self.rid = -1
        rid = self.clients.node.submit(
            self,
            message,
            self.cls,
            self.time_left,
            tenant=names.tenants.get(given.get(b"x-account", b"").decode("latin-1"), 0),
            key=_key(given.get(b"x-session-key", b"")),
            cost=int(hint) * 1000 if hint.isdigit() and len(hint) < 10 else 0,
            repeat=given.get(b"x-repeat", b"").strip() == b"1",
        )
        if self.rid:  # not answered at once
            self.rid = rid

    # Answers

    def _write(self, *events: h11.Event) -> None:
        data = b"".join(self.http.send(event) or b"" for event in events)
        if data and not self.transport.is_closing():
            self.transport.write(data)

    def _respond(self, status: int, headers: Headers, body: tuple[bytes, ...] | list[bytes]) -> None:
        whole = b"".join(body)
        headers = [*headers, (b"content-length", b"%d" % len(whole))]
        self._write(
            h11.Response(status_code=status, headers=self._ending(headers)),
            h11.Data(data=whole),
            h11.EndOfMessage(),
        )
        self._finished()

    def _ending(self, headers: Headers) -> Headers:
        return [*headers, (b"connection", b"close")] if self.clients.draining else headers

    def _reject(self, status: int, reason: str) -> None:
        """Answer what is no request, or none that the node can take, and close."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reason.encode("latin-1", "replace") + b"\n"
            headers = [
                (b"content-type", b"text/plain"),
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ]
            self._write(
                h11.Response(status_code=status, headers=headers), h11.Data(data=body), h11.EndOfMessage()
            )
        self.linger()

    def answer(self, answer: Answer) -> None:
        """Pass on an answer that was held until it was whole."""
        self._respond(answer.status, answer.headers, list(answer.body or ()))

    def refuse(self, retry_after: int) -> None:
        """Tell the client that trying again is harmless."""
        after = [(b"retry-after", b"%.3f" % (retry_after / SECOND))] if retry_after else []
        self._respond(503, after, (b"refused\n",))

    def fail(self, status: int) -> None:
        """Tell the client that its request failed."""
        self._respond(status, [], (b"failed\n",))

    def start(self, answer: Answer, attempt: Attempt) -> None:
        """Begin to pass on a long answer."""
        headers = answer.headers
        if answer.length is not None:
            headers = [*headers, (b"content-length", b"%d" % answer.length)]
        self._write(h11.Response(status_code=answer.status, headers=self._ending(headers)))
        self.source = attempt
        self.clients.move(self, self.clients.writing)

    def write(self, data: bytes) -> None:
        """Pass on a part of it; its server is read no further while this client takes nothing."""
        self._write(h11.Data(data=data))
        if self.unsent and self.source is not None:
            self.source.read_on(False)

    def finish(self) -> None:
        """The long answer is whole."""
        self._write(h11.EndOfMessage())
        self._finished()

    def cut(self) -> None:
        """The long answer broke off: end so that the client can tell, whatever the framing."""
        self.rid = 0
        self.source = None
        self.transport.abort()

    def _finished(self) -> None:
        """An answer is written; the connection goes on when the kernel has taken it."""
        self.rid = 0
        self.source = None
        self.clients.budget.release(self)
        self.large = False
        self.request = None
        self.body = []
        if self.unsent:
            self.clients.move(self, self.clients.writing)
        else:
            # Not at once: requests that came in one piece would be answered ever deeper in the stack.
            self.clients.loop.call_soon(self._answered)

    def _answered(self) -> None:
        if self.transport.is_closing() or not self.busy or self.lingering is not None:
            return
        self.busy = False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            self.linger()
            return
        self.http.start_next_cycle()
        self.clients.move(self, self.clients.idle)
        self.ahead = 0
        self.read_on(True)
        self._events()

    def linger(self) -> None:
        """Close in order: an end of sending now, the close when the client has closed or had its time."""
        if self.lingering is not None or self.transport.is_closing():
            return
        self._gone()
        self.clients.move(self, self.clients.ending)
        self.lingering = self.clients.loop.call_later(LINGER, self.transport.abort)
        self.read_on(True)
        try:
            self.transport.write_eof()
        except OSError:  # the client was quicker: its reset has come and was not yet read
            self.transport.abort()


class Clients:
    """All client connections of the node, and what they may take."""

    def __init__(self, config: Config, node: Node, limit: int) -> None:
        self.config = config
        self.node = node
        self.limit = limit
        self.host = config.listen[0].encode()
        self.loop = asyncio.get_running_loop()
        self.budget = BodyBudget(config.body_budget)
        self.connections: set[ClientConnection] = set()
        # By what may be dropped first when room is short, each with the longest unmoved first.
        self.ending: OrderedDict[ClientConnection, float] = OrderedDict()
        self.idle: OrderedDict[ClientConnection, float] = OrderedDict()
        self.silent: OrderedDict[ClientConnection, float] = OrderedDict()
        self.unfinished: OrderedDict[ClientConnection, float] = OrderedDict()
        self.writing: OrderedDict[ClientConnection, float] = OrderedDict()
        self.draining = False
        self.ready = False
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.TimerHandle | None = None

    async def listen(self, port: int | None = None) -> int:
        """Begin to accept, at the configured port if no other is given; the port."""
        host, configured = self.config.listen
        port = configured if port is None else port
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        # asyncio takes its backlog for the number that it accepts in one turn, too: with the kernel's, a
        # crowd would use up the descriptors before a single connection could be dropped.
        self.server = await self.loop.create_server(
            lambda: ClientConnection(self), sock=sock, backlog=ACCEPT_BATCH
        )
        sock.listen(BACKLOG)
        self._sweep()
        return int(sock.getsockname()[1])

    def move(self, conn: ClientConnection, group: OrderedDict[ClientConnection, float] | None) -> None:
        """Note what a connection is at, as of now."""
        if conn.group is not None:
            conn.group.pop(conn, None)
        conn.group = group
        if group is not None:
            group[conn] = self.loop.time()

    def touch(self, conn: ClientConnection) -> None:
        """A connection has moved on within what it is at."""
        self.move(conn, conn.group)

    @property
    def full(self) -> bool:
        """So many requests are owed an answer that one more would leave no room to hear others."""
        return self.node.owed >= self.limit - 2 * ACCEPT_BATCH

    def admit(self, conn: ClientConnection) -> None:
        """Take in a new connection; the one that is missed least makes room for it."""
        self.connections.add(conn)
        self.move(conn, self.silent)
        if len(self.connections) <= self.limit:
            return
        # A kept connection may be closed between requests: its client sends on a new one. What has asked
        # nothing, or not all, for longest is likeliest to be the crowd.
        groups = (self.ending, self.idle, self.silent, self.unfinished)
        victim = next(c for group in groups for c in group)  # the new one itself, if there is no other
        victim.transport.abort()
        self.dropped(victim)

    def dropped(self, conn: ClientConnection) -> None:
        """A connection is gone, or as good as gone."""
        self.move(conn, None)
        self.connections.discard(conn)

    def _sweep(self) -> None:
        """Close what has not moved for too long."""
        self.sweeper = self.loop.call_later(1.0, self._sweep)
        now = self.loop.time()
        for group, limit in (
            (self.idle, IDLE_LIMIT),
            (self.silent, IDLE_LIMIT),
            (self.unfinished, UNFINISHED_LIMIT),
            (self.writing, WRITING_LIMIT),
        ):
            for conn, since in list(group.items()):
                if now - since < limit:
                    break
                if conn in self.budget.waiting:
                    self.touch(conn)  # it is the node that does not read
                else:
                    conn.transport.abort()

    def close_idle(self) -> None:
        """Close all that have nothing under way."""
        for group in (self.idle, self.silent):
            for conn in list(group):
                conn.linger()

    def stop_listening(self) -> None:
        """Accept no more."""
        if self.server is not None:
            self.server.close()

    def close(self) -> None:
        """End the listener and all connections at once."""
        self.stop_listening()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for conn in list(self.connections):
            conn.transport.abort()


def _key(text: bytes) -> int:
    """A number for any text, the same at every node and start; 0 for none."""
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little") or 1 if text else 0
