"""The listener and its connections: admission under budgets, requests in, answers out, draining."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections import OrderedDict
from collections.abc import Collection
from hashlib import blake2b
from itertools import takewhile
from typing import TYPE_CHECKING, cast

import h11

from hollybay.balancing.interface import Effect

from .. import system
from ..config import MS, SECOND, Config, Names
from ..flow_control import Source
from ..http_messages import (
    LONG_BODY,
    MAX_BODY,
    MAX_HEAD,
    SMALL_BODY,
    Answer,
    Headers,
    Message,
    Peer,
    end_to_end,
    head,
    not_passed_on,
    pairs,
)
from ..ports import Agreed, Presence
from ..streaming_body import Room, Upload

if TYPE_CHECKING:
    # The pure package of the operator file, which a node without one does not import.
    from hollybay.routing.admission_control import Gate
    from hollybay.routing.limits import Effective
    from hollybay.routing.route_table import Denied

    from ..exchange import Node

log = logging.getLogger("elderscale")

# Connections that are accepted at once beyond those that there is room for, before others are dropped for
# them.
ACCEPT_BATCH = 8
# The pause after an accept that failed for want of something.
ACCEPT_PAUSE = 0.1
# The same where every connection is owed an answer, or holds bytes that are yet to be read.
FULL_PAUSE = 0.01
# The kernel's queue of connections not yet accepted: a crowd waits there and is not turned away.
BACKLOG = 4096
# One deadline for each phase of a connection, in seconds and from the phase's beginning, so that neither
# silence nor a trickle holds a descriptor. They guard against crowds that say nothing, half requests, bodies
# that never end and clients that do not read; they do harm where a client needs longer than this for one
# request of 64 KiB or rests between two requests (it then sends on a new connection).
SILENT_LIMIT = 2.0  # connected, no byte yet
UNFINISHED_LIMIT = 2.4  # from a request's first byte to the end of its head; a body's time beside BODY_RATE
IDLE_LIMIT = 2.0  # from an answer to the next request
THIN_LIMIT = 0.1  # the same, while clients hold more connections than their share
WRITING_LIMIT = 3.0  # nothing read of an answer
SWEEP = 0.25
# The slowest body that is waited for (bytes a second): clients send 64 kB a second at the least. One that is
# slower, or stands still, holds a descriptor, and a server's connection once it is long.
BODY_RATE = 48_000
# The longest time (ns) that the rest of a body may take, whatever it is told.
UPLOAD_MOST = 30 * SECOND
# What the kernel takes of an answer that is passed on (bytes): with more, a client that reads slowly would
# seem not to read at all for seconds.
SEND_BUFFER = 64 << 10
# Whoever has said nothing, or only half a request, for this long is taken for one of a crowd when room is
# short: a client that wants something sends it as soon as it is connected.
SUSPECT = 0.25
# The part of the descriptors (one in so many) that clients hold at most for requests.
CLIENTS_PART = 3
# The part of the descriptors (one in so many) up to which client connections are kept between requests.
KEPT_PART = 4
# How long a connection that is closed in order goes on reading, and how much: with unread bytes a close is a
# reset, and that could destroy the answer on its way. Who sends for ever is not read for ever.
LINGER = 1.0
LINGER_BYTES = 128 << 10
# The same (s) where the answer came while its client was still sending a long body: a client that first
# writes all would never read it.
LINGER_UPLOAD = 4.0
# With so many bytes unread (and reading paused) the kernel takes no more: a close that comes behind them does
# not show. Half of the least receive buffer that Linux gives a connection, of which it offers a half.
HIDING = 32 << 10
# For how long at least a request's id is remembered after it came, and the most that are.
ID_MEMORY = 10.0
ID_MOST = 20_000
# The longest time that a client can sanely be ready to wait.
LONGEST_WAIT_MS = 86_400_000

# Not passed on: they are for the node alone, or it words them anew.
_FOR_NODE = not_passed_on(
    (
        b"x-account",
        b"x-session-key",
        b"x-time-left-ms",
        b"x-repeat",
        b"x-weight-hint",
        b"x-facts",
    )
)
_FIRST_LINE = {status: b"HTTP/1.1 %d " % status for status in (200, 429, 502, 503, 504)}


# Headers that decide what a request is and where it ends: more than one of a kind is ambiguous.
_ONCE = (b"host", b"x-correlation-id", b"x-time-left-ms", b"idempotency-key", b"content-length")
_CONTROLS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_ID = re.compile(rb"[\x21-\x7e]{1,128}")
_HEALTH = (b"/health/live", b"/health/ready")


def class_of(target: bytes, names: Names) -> int | None:
    """The number of the class that a target names in the first part of its path."""
    path = target.split(b"?", 1)[0]
    return names.classes.get(path[1:].split(b"/", 1)[0].decode("latin-1")) if path[:1] == b"/" else None


def fault(
    event: h11.Request,
    headers: Headers,
    given: dict[bytes, bytes],
    config: Config,
    cls: int | None,
    most_body: int = MAX_BODY,
    once: Collection[bytes] = (),
) -> tuple[int, str] | None:
    """What is wrong with a head that h11 could read: the one check of framing and form, or None.

    Whatever two readers could take for two different things is turned away here, before any of its body is
    read: the node must not pass on what a server may cut in other places (a request hidden in a body), nor
    what servers can only turn away. It should catch every way to word length, id, key or class doubly or
    wrongly. It would do harm to a client that sends both framings, repeats one of these headers, or uses a
    method that its class does not have; the protocol has no such client.

    cls, most_body (bytes): the class and the longest body as the path and, where there is one, the operator's
    file say; once: headers on which that file decides, which must not be ambiguous either.
    """
    if event.http_version[:1] != b"1":
        return 505, "HTTP/1.0 and HTTP/1.1 are spoken here"
    if sum([len(name) + len(value) + 4 for name, value in headers]) + len(event.target) > MAX_HEAD:
        return 431, "the head is too long"
    if len(given) != len(headers):
        names = [name for name, _ in headers]
        for name in (*_ONCE, *once):
            if names.count(name) > 1:
                return 400, f"{name.decode()}: more than once"
    length = given.get(b"content-length")
    if b"transfer-encoding" in given and (length is not None or event.http_version < b"1.1"):
        return 400, "both Content-Length and Transfer-Encoding, or the latter in HTTP/1.0"
    if length is not None and int(length) > most_body:
        return 413, f"the body is longer than {most_body} bytes"
    if _CONTROLS.search(b"".join(given.values())):
        return 400, "a control character in a header"
    if event.target.split(b"?", 1)[0] in _HEALTH:
        return None
    if cls is None:
        return 404, "no such class"
    effect = config.settings.classes[cls].effect
    if event.method != (b"GET" if effect == Effect.SAFE else b"POST"):
        return 405, "not the method of this class"
    if event.method == b"GET" and (b"transfer-encoding" in given or int(length or b"0")):
        return 400, "a GET with a body"
    if not _ID.fullmatch(given.get(b"x-correlation-id", b"")):
        return 400, "X-Correlation-Id: missing or senseless"
    if effect == Effect.KEYED and not given.get(b"idempotency-key"):
        # Without it a server could not drop the repeat that this class allows.
        return 400, "Idempotency-Key: missing"
    left = given.get(b"x-time-left-ms")
    if left is not None and not (left.isdigit() and len(left) < 10 and 0 < int(left) <= LONGEST_WAIT_MS):
        return 400, "X-Time-Left-Ms: no sane number"
    return None


class RecentIds:
    """The ids that came lately, as hashes in two generations, so that its size is bounded by its age.

    Every request has an id of its own, also a client's retry: one that comes again while the first is open,
    or soon after, belongs to somebody else, and servers would take it for a repeat of the first. It does harm
    to a client that sends an id again although the node had read the whole of the first.
    """

    def __init__(self) -> None:
        self.new: set[int] = set()
        self.old: set[int] = set()
        self.turned = 0.0

    def known(self, rid: bytes, now: float) -> bool:
        """Whether an id has come lately; from now on it has."""
        if now - self.turned >= ID_MEMORY or len(self.new) >= ID_MOST:
            self.old, self.new, self.turned = self.new, set(), now
        number = hash(rid)
        if number in self.new or number in self.old:
            return True
        self.new.add(number)
        return False


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
        # ever be whole. The eldest is never made to wait: the last part is kept for it, and it ends.
        return next(iter(self.held)) is conn or self.used < self.total - MAX_BODY

    def release(self, conn: ClientConnection) -> None:
        """Give back what a connection held."""
        self.waiting.pop(conn, None)
        self.used -= self.held.pop(conn, 0)
        for other in [c for c in self.waiting if self._room(c)]:
            del self.waiting[other]
            other.read_on(True)


class ClientConnection(Peer):
    """One connection from a client, which carries one request at a time."""

    def __init__(self, clients: Clients, sock: socket.socket) -> None:
        super().__init__(sock)
        self.clients = clients
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.group: OrderedDict[ClientConnection, float] | None = None
        self.request: h11.Request | None = None
        self.headers: Headers = []
        self.given: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = 0
        self.large = False
        self.cls = 0
        self.time_left = 0
        self.rid = 0  # the request that the node works on, 0: none
        self.last = False  # the connection ends with the present answer
        self.fresh = False  # the loop has just read it
        self.busy = False  # from a request's last byte to its answer's
        self.ahead = 0  # bytes of the next request that came meanwhile
        self.limits: Effective | None = None  # what the operator's file allows the present request
        self.sure = True  # whether it is known which policy is in force
        self.most_body = LONG_BODY
        self.upload: Upload | None = None  # the long body of the present request
        self.discarding = False  # answered in the middle of it: the rest is read and dropped
        self.let_in: Effective | None = None  # under which the gate counts it as in flight
        self.source: Source | None = None  # where an answer comes from that is passed on
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

    def presence(self) -> Presence:
        """Whether the client waits for its answer: a close is not read while reading is paused."""
        if not self.connected():
            return Presence.GONE
        if not self.reading and self.ahead > SMALL_BODY and self.unread() >= HIDING:
            return Presence.UNKNOWN
        return Presence.HERE

    def depart(self) -> None:
        """The kernel knows that the client has gone."""
        self.eof_received()

    def _over(self) -> None:
        """The present request is over: the gate counts it no longer, under the limits that it began with."""
        let_in, self.let_in = self.let_in, None
        if let_in is not None and self.clients.gate is not None:
            self.clients.gate.done(let_in)

    def _gone(self) -> None:
        self._over()
        self.clients.budget.release(self)
        self.body = []
        upload, self.upload = self.upload, None
        rid, self.rid = self.rid, 0
        if rid:
            self.clients.node.gone(rid)
        if upload is not None:
            upload.close()

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
            self.ahead += len(data)
            if self.ahead > LINGER_BYTES and not self.discarding:
                self.read_on(False)
            return
        self.http.receive_data(data)
        if self.busy:
            # Bytes after a request belong to the next one; a little may wait here, the rest in the kernel.
            self.ahead += len(data)
            if self.ahead > SMALL_BODY:
                self.read_on(False)
            return
        self.fresh = True
        self._events()
        self.fresh = False

    def _events(self) -> None:
        try:
            while not self.busy and self.lingering is None:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        self._write(h11.InformationalResponse(status_code=100, headers=[]))
                    self._unfinished()
                    break
                if type(event) is h11.Request:
                    self._head(event)
                elif type(event) is h11.Data:
                    self._data(bytes(event.data))
                elif type(event) is h11.EndOfMessage:
                    self._whole()
                else:  # paused or closed: nothing more can come on this connection
                    self.linger()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _unfinished(self) -> None:
        """Note that part of a request is here, and since when: since its first byte, however it trickles."""
        begun = self.request is not None or self.http.trailing_data[0]
        if begun and self.group is not self.clients.unfinished:
            self.clients.move(self, self.clients.unfinished)

    def _head(self, event: h11.Request) -> None:
        config = self.clients.config
        self.request = event
        self.body = []
        self.size = 0
        self.headers = pairs(event)
        self.given = dict(self.headers)
        gate = self.clients.gate
        if gate is None:
            cls = class_of(event.target, config.names)
            wrong = fault(event, self.headers, self.given, config, cls, LONG_BODY)
        else:
            cls, wrong = self._routed(gate, event)
        if wrong is not None:
            self._reject(*wrong)
            return
        if cls is not None:
            self.cls = cls
            left = self.given.get(b"x-time-left-ms")
            self.time_left = config.settings.classes[cls].deadline if left is None else int(left) * MS
            if self.limits is not None and self.limits.request_timeout:
                self.time_left = min(self.time_left, self.limits.request_timeout)

    def _routed(self, gate: Gate, event: h11.Request) -> tuple[int | None, tuple[int, str] | None]:
        """The class of a request under the operator's file, and what is wrong; its limits are kept."""
        config = self.clients.config
        self.limits = None
        self.most_body = LONG_BODY
        accord = self.clients.accord
        self.sure = accord is None or accord.look()
        plan = gate.plan
        target = event.target
        if target[:8] == b"/health/" and target.split(b"?", 1)[0] in _HEALTH:
            return None, fault(event, self.headers, self.given, config, None, MAX_BODY, plan.headers)
        if not self.sure:
            # Refused as soon as it is whole: under no policy, and nothing was sent on for it.
            cls = class_of(target, config.names)
            return cls, fault(event, self.headers, self.given, config, cls, LONG_BODY, plan.headers)
        limits = plan.apply(event.method, target, self.given)
        if limits is None:
            return None, fault(event, self.headers, self.given, config, None, MAX_BODY, plan.headers)
        if limits.cls < 0:
            # Its path is ambiguous: no class is the right one.
            denied = cast("Denied", limits)
            return None, (denied.status, denied.reason)
        taken = self.limits = cast("Effective", limits)
        if taken.body >= 0:
            self.most_body = taken.body
        wrong = fault(event, self.headers, self.given, config, taken.cls, self.most_body, plan.headers)
        return taken.cls, wrong

    def _data(self, data: bytes) -> None:
        if self.lingering is not None:
            return
        self.size += len(data)
        if self.size > self.most_body:
            self._reject(413, f"the body is longer than {self.most_body} bytes")
            return
        if self.upload is not None:
            self.upload.put(data)
            return
        self.body.append(data)
        if self.size > MAX_BODY:
            self._launch()
            return
        if self.large or self.size > SMALL_BODY:
            size = len(data) if self.large else self.size
            self.large = True
            if not self.clients.budget.charge(self, size):
                self.read_on(False)

    def _launch(self) -> None:
        """A body is longer than what is held whole: its request goes on while it comes."""
        length = self.given.get(b"content-length")
        upload = self.upload = Upload(None if length is None else int(length), self, self.clients.bodies)
        for piece in self.body:
            upload.put(piece)
        self.body = []
        self.clients.budget.release(self)
        self.large = False
        self.read_on(True)
        self._submit(upload)

    def _sending(self, upload: Upload) -> int:
        """How long (ns) the rest of a long body may take; its client counts its wait from the last byte."""
        if upload.length is None:
            return UPLOAD_MOST
        return min(UPLOAD_MOST, (upload.length - self.size) * SECOND // BODY_RATE)

    def slow(self, now: float) -> bool:
        """Whether its request comes too slowly, or not at all; not while it is left unread here."""
        if self.request is None or self.group is None:
            return True
        return self.reading and now - self.group[self] > (
            self.clients.limits["unfinished"] + self.size / BODY_RATE
        )

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
        if path in _HEALTH:
            well = path == b"/health/live" or self.clients.well
            self._respond(200 if well else 503, [], (b"ok\n" if well else b"not ready\n",))
            return
        if self.upload is not None:
            self.clients.node.whole(self.rid, self.time_left - self.waited()[1] * MS)
            self.upload.end()
        else:
            self._submit(None)

    def _submit(self, upload: Upload | None) -> None:
        """Hand a request to the node: one that is whole, or one whose long body is on its way."""
        event = self.request
        assert event is not None
        open_yet, waited = self.waited()
        if not open_yet:
            # It has gone while its request waited to be read: what it asked would be work for nobody.
            self.eof_received()
            return
        given = self.given
        if self.clients.ids.known(given[b"x-correlation-id"], self.clients.loop.time()):
            self._reject(409, "X-Correlation-Id: another request has it")
            return
        if self.clients.full or self.clients.over or not self.sure:
            # Worded by the node itself: nothing was sent on for this request.
            self.clients.node.tally.refused[self.cls] += 1
            self.refuse(self.clients.config.settings.max_retry_after)
            return
        hint = given.get(b"x-weight-hint", b"").strip()
        names = self.clients.config.names
        account = given.get(b"x-account", b"").decode("latin-1")
        tenant = names.tenants.get(account)
        limits = self.limits
        gate = self.clients.gate
        if limits is not None and gate is not None:
            counted = limits
            if gate.tenanted and tenant is not None:
                counted = gate.with_tenant(limits, account)
            away = gate.admit(counted, -1 if tenant is None else tenant, given, system.monotonic_ns())
            if away is not None:
                # Nothing was sent on for it, and the module does not hear of it: it costs next to nothing.
                self.clients.node.tally.refused[self.cls] += 1
                self._respond(429, _after(away), (b"refused\n",))
                return
            if counted.in_flight:
                self.let_in = counted
        headers = end_to_end(self.headers, _FOR_NODE)
        if b"host" not in given:
            headers.append((b"host", self.clients.host))
        if upload is not None:
            upload.until = system.monotonic_ns() + self.time_left - waited * MS
        message = Message(event.method, event.target, headers, self.body, self.size, upload)
        self.rid = -1
        rid = self.clients.node.submit(
            self,
            message,
            self.cls,
            self.time_left - waited * MS + (0 if upload is None else self._sending(upload)),
            tenant=tenant or 0,
            key=_key(given.get(b"x-session-key", b"")),
            cost=int(hint) * 1000 if hint.isdigit() and len(hint) < 10 else 0,
            repeat=given.get(b"x-repeat", b"").strip() == b"1",
            # One that came behind another waited for that one's answer, not for the loop.
            waited=waited * MS if self.fresh else 0,
            limits=limits.module if limits is not None else None,
            room=self.clients.room,
            sending=upload is not None,
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
        headers = self._ending([*headers, (b"content-length", b"%d" % len(whole))])
        if self.request is not None and self.request.method == b"HEAD":
            whole = b""
        if not self.transport.is_closing():
            self.transport.write(head(_FIRST_LINE[status], headers) + whole)
        self._finished()

    def _ending(self, headers: Headers) -> Headers:
        if self.clients.closing or self.http.their_state is not h11.DONE:
            self.last = True
            return [*headers, (b"connection", b"close")]
        return headers

    def _reject(self, status: int, reason: str) -> None:
        """Answer what is no request, or none that the node can take, and close."""
        self.busy = False
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

    def give_up(self) -> None:
        """Its request is not whole in time."""
        self._reject(408, "the request is not whole in time")

    def answer(self, answer: Answer) -> None:
        """Pass on an answer that was held until it was whole."""
        self._respond(answer.status, answer.headers, list(answer.body or ()))

    def refuse(self, retry_after: int) -> None:
        """Tell the client that trying again is harmless."""
        self._respond(503, _after(retry_after), (b"refused\n",))

    def fail(self, status: int) -> None:
        """Tell the client that its request failed."""
        self._respond(status, [], (b"failed\n",))

    def start(self, answer: Answer, source: Source) -> None:
        """Begin to pass on a long answer."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        headers = answer.headers
        if answer.length is not None:
            headers = [*headers, (b"content-length", b"%d" % answer.length)]
        self._write(h11.Response(status_code=answer.status, headers=self._ending(headers)))
        self.source = source
        self.clients.move(self, self.clients.writing)

    def write(self, data: bytes) -> None:
        """Pass on a part of it; its server is read no further while this client takes nothing."""
        self._write(h11.Data(data=data))
        if not self.unsent:
            self.clients.touch(self)
        elif self.source is not None:
            self.source.read_on(False)

    def finish(self) -> None:
        """The long answer is whole."""
        self._write(h11.EndOfMessage())
        self._finished()

    def cut(self) -> None:
        """The long answer broke off: end so that the client can tell, whatever the framing."""
        self.rid = 0
        self.source = None
        self._over()
        self.transport.abort()

    def _finished(self) -> None:
        """An answer is written; the connection goes on when the kernel has taken it."""
        self._over()
        self.rid = 0
        self.source = None
        self.clients.budget.release(self)
        self.large = False
        if self.upload is not None:
            self.upload.close()
            self.upload = None
            # In the middle of its body: nothing more can be asked on this connection.
            self.discarding = not self.busy
            self.busy = True
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
        if self.last or self.http.their_state is not h11.DONE:
            self.linger()
            return
        # A reader for each message, as answers are not written through it.
        rest, _ = self.http.trailing_data
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        if rest:
            self.http.receive_data(rest)
        self.clients.move(self, self.clients.idle)
        self.clients.thin_out()
        self.ahead = 0
        self.read_on(True)
        self._events()

    def rest_over(self) -> None:
        """Close a connection on which nothing is under way, unless a request has just come.

        After a pause of the process requests may wait in the kernel on connections that seem to rest: closing
        those would lose what has been taken. What is still on its way is sent again by its client.
        """
        if not self.transport.is_closing() and not self.unread():
            self.linger()

    def linger(self) -> None:
        """Close in order: an end of sending now, the close when the client has closed or had its time."""
        if self.lingering is not None or self.transport.is_closing():
            return
        self._gone()
        self.ahead = 0
        self.clients.move(self, self.clients.ending)
        wait = LINGER_UPLOAD if self.discarding else LINGER
        self.lingering = self.clients.loop.call_later(wait, self.transport.abort)
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
        # Clients may hold a third of the descriptors; what rests or works here leaves them some for more.
        self.share = config.sockets // KEPT_PART
        # Requests that may wait for their answer at once. Clients hold so many connections at most: with one
        # more there would be none left to hear others on.
        self.places = min(limit - 2 * ACCEPT_BATCH, config.sockets // CLIENTS_PART)
        self.host = config.listen[0].encode()
        self.loop = asyncio.get_running_loop()
        self.budget = BodyBudget(config.body_budget)
        self.bodies = Room(config.body_budget // 2)  # for long ones
        self.connections: dict[ClientConnection, None] = {}  # in the order in which they came
        # By what may be dropped first when room is short, each with the longest unmoved first.
        self.ending: OrderedDict[ClientConnection, float] = OrderedDict()
        self.idle: OrderedDict[ClientConnection, float] = OrderedDict()
        self.silent: OrderedDict[ClientConnection, float] = OrderedDict()
        self.unfinished: OrderedDict[ClientConnection, float] = OrderedDict()
        self.writing: OrderedDict[ClientConnection, float] = OrderedDict()
        self.ids = RecentIds()
        self.gate: Gate | None = None  # routes and limits of the operator's file, where there is one
        self.accord: Agreed | None = (
            None  # whether that is what is in force everywhere, where nodes agree on it
        )
        # By phase, how long a connection may stay there.
        self.limits = {
            "silent": SILENT_LIMIT,
            "unfinished": UNFINISHED_LIMIT,
            "idle": IDLE_LIMIT,
            "thin": THIN_LIMIT,
            "writing": WRITING_LIMIT,
        }
        self.draining = False  # it takes no more clients on
        self.leaving = False  # the process ends
        self.closing = False  # answers end their connections
        self.over = False  # all has been answered, the process is about to exit: nothing is sent on
        self.ready = False
        self.listener: socket.socket | None = None
        self.taking: set[asyncio.Task[None]] = set()  # accepted, and not yet among the connections
        self.sweeper: asyncio.TimerHandle | None = None

    @property
    def well(self) -> bool:
        """Whether the front may send clients here."""
        return self.ready and not self.draining and (self.accord is None or self.accord.sure())

    async def listen(self, port: int | None = None) -> int:
        """Begin to accept, at the configured port if no other is given; the port."""
        host, configured = self.config.listen
        port = configured if port is None else port
        sock = system.tcp_socket(host)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.config.admin is not None:
            # Where operators run nodes, a new version listens beside the old one.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self.listener = sock
        self._accept_on()
        self._sweep()
        return int(sock.getsockname()[1])

    def _accept_on(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self._accept)

    def _accept(self) -> bool:
        """Accept all that waits, as far as there is room, and a few beyond it: these displace others.

        True: nothing waits any more.

        What is left to the kernel's queue grows old there unseen: with a fixed number for each turn of the
        loop, a busy node reads only what clients gave up a second ago, and stays busy with that. Accepting
        ever all would let a crowd use up the descriptors before a single connection could be dropped.
        """
        if self.listener is None:
            return True
        self._make_room()  # who could not be displaced a moment ago may be answered by now
        pending = len(self.taking)
        room = self.limit - len(self.connections) - pending
        # Where nobody could be displaced there are more than the limit already, and the few beyond it are the
        # same few: who waits in the kernel's queue loses nothing by it.
        room = max(room, ACCEPT_BATCH + min(room, 0))
        for _ in range(room):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except ConnectionError:  # it has gone again
                continue
            except OSError as error:
                log.error("accept: %s", error)
                self._accept_later(ACCEPT_PAUSE)
                return False
            sock.setblocking(False)
            task = self.loop.create_task(self._take(sock))
            self.taking.add(task)
            task.add_done_callback(self.taking.discard)
        if room <= 0:
            self._accept_later(FULL_PAUSE)
        return False

    def _accept_later(self, pause: float) -> None:
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.loop.call_later(pause, self._accept_on)

    async def _take(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self, sock), sock)
        except OSError:  # it has gone again
            sock.close()

    def any_left(self) -> bool:
        """Whether anybody is connected, accepted a moment ago included: its request may be here already."""
        return bool(self.connections or self.taking)

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
        return self.node.owed >= self.places

    @property
    def room(self) -> float:
        """The free share of the places."""
        return max(0.0, 1.0 - self.node.owed / self.places)

    def admit(self, conn: ClientConnection) -> None:
        """Take in a new connection; the one that is missed least makes room for it."""
        self.connections[conn] = None
        self.move(conn, self.silent)
        self._make_room()

    def _make_room(self) -> None:
        while len(self.connections) > self.limit:
            victim = self._victim()
            if victim is None:
                return
            victim.transport.abort()
            self.dropped(victim)

    def _victim(self) -> ClientConnection | None:
        """The connection that is missed least; never one that is owed an answer.

        Nor one with unread bytes: they may be a whole request, and a close over them is a reset, which could
        destroy an answer on its way. None where all are like that: they will be read within a turn.
        """
        suspect = self.loop.time() - SUSPECT
        young = []
        for group in (self.ending, self.silent, self.unfinished):
            for conn, since in group.items():
                if group is not self.ending and since > suspect:
                    young.append(group)
                    break
                if self._spare(conn):
                    return conn
        # A kept connection may be closed between requests: its client sends on a new one. After those come
        # the ones that are new, of which one is usually silent: the one that is being taken in.
        for group in (self.idle, *young):
            for conn in group:
                if self._spare(conn):
                    return conn
        return None

    @staticmethod
    def _spare(conn: ClientConnection) -> bool:
        """Whether a close loses nothing here; with an upload a request is under way already."""
        return conn.upload is None and not conn.unread()

    def thin_out(self) -> None:
        """Close the connections that have rested longest while clients hold more than their share.

        Clients that ask once and stay would else hold all that clients may have, and the next request would
        find no connection. The one that rested longest is likeliest to be one of them; where clients do come
        back to it, they send on a new one, which costs them a round trip.
        """
        excess = len(self.idle) + self.node.owed - self.share
        if excess > 0:
            rested = self.loop.time() - self.limits["thin"]
            for conn in self._overdue(self.idle, rested)[:excess]:
                conn.rest_over()

    def dropped(self, conn: ClientConnection) -> None:
        """A connection is gone, or as good as gone."""
        self.move(conn, None)
        self.connections.pop(conn, None)

    def _sweep(self) -> None:
        """Close what has been at one thing for too long."""
        self.sweeper = self.loop.call_later(SWEEP, self._sweep)
        now = self.loop.time()
        for conn in self._overdue(self.unfinished, now - self.limits["unfinished"]):
            if conn.slow(now):
                conn.give_up()
        for conn in self._overdue(self.silent, now - self.limits["silent"]):
            conn.rest_over()
        for conn in self._overdue(self.idle, now - self.limits["idle"]):
            conn.rest_over()
        for conn in self._overdue(self.writing, now - self.limits["writing"]):
            conn.transport.abort()

    @staticmethod
    def _overdue(group: OrderedDict[ClientConnection, float], before: float) -> list[ClientConnection]:
        return list(takewhile(lambda conn: group[conn] <= before, group))

    def close_idle(self) -> None:
        """Close all that have nothing under way."""
        for group in (self.idle, self.silent):
            for conn in list(group):
                conn.rest_over()

    def stop_listening(self, anyway: bool = False) -> bool:
        """Accept no more, once all are accepted whom the kernel has taken for the node: they are to be
        answered, and closed over them the listener would reset them. False: some wait for room yet.

        anyway: close it all the same.
        """
        if self.listener is not None:
            if not self._accept() and not anyway:
                return False
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        return True

    def close(self) -> None:
        """End the listener and all connections at once."""
        self.stop_listening(anyway=True)
        if self.sweeper is not None:
            self.sweeper.cancel()
        for conn in list(self.connections):
            conn.transport.abort()


def _after(ns: int) -> Headers:
    """Retry-After in decimal seconds; none for 0."""
    return [(b"retry-after", b"%.3f" % (ns / SECOND))] if ns else []


def _key(text: bytes) -> int:
    """A number for any text, the same at every node and start; 0 for none."""
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little") or 1 if text else 0
