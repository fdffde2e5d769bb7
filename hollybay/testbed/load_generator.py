"""An open-loop load generator: clients that arrive whatever becomes of those before them.

Every attempt and every answer is noted in the ledger.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from hollybay.units import SECOND

from .client_connection import ClientConnection, Response
from .client_request import ClientRequest, RequestMix, encode_request
from .cpu_wait import cpu_wait_ns
from .fake_server import body_for
from .ledger import FinalOutcome, Ledger, RequestEntry

__all__ = ["LoadGenerator", "final_outcome"]

STATUS_SERVED = 200
STATUSES_REFUSED = (429, 503)
# The most (ns) that a client waits longer because its own process had no core.
MAX_EXCUSED_NS = 5 * SECOND
# Ends that an answer led to, beside those that came without any.
ANSWERED = (FinalOutcome.SERVED, FinalOutcome.REFUSED, FinalOutcome.FAILED, FinalOutcome.WRONG)


def final_outcome(ledger: Ledger, entry: RequestEntry, response: Response) -> FinalOutcome:
    """What an answer says became of a request."""
    if response.status == STATUS_SERVED:
        bodies = (body_for(entry.id, server) for server in ledger.starts)
        return FinalOutcome.SERVED if response.body in bodies else FinalOutcome.WRONG
    return FinalOutcome.REFUSED if response.status in STATUSES_REFUSED else FinalOutcome.FAILED


@dataclass
class LoadGenerator:
    """An open stream of requests to one or several nodes.

    Attributes
    ----------
    ledger
        Where requests and answers are noted.
    ports
        The nodes' ports on this machine; each request goes to one by chance.
    mixes
        The kinds of requests.
    rate
        Requests a second.
    seed
        Of all that is drawn by chance.
    retries
        Share of the refused requests that come again once, under a new id.
    pause
        Seconds until then, where the answer has no Retry-After.
    prefix
        Of the requests' ids.
    connections
        All connections that are up.
    idle
        Those that carry no request, by port.
    in_flight
        Requests without an end yet.
    sent
        Requests so far.
    late
        The most (s) that an arrival came after its time.
    """

    ledger: Ledger
    ports: Sequence[int]
    mixes: Sequence[RequestMix]
    rate: float
    seed: int = 1
    retries: float = 0.0
    pause: float = 0.2
    prefix: str = "r"
    connections: set[ClientConnection] = field(default_factory=set)
    idle: dict[int, list[ClientConnection]] = field(default_factory=dict)
    in_flight: int = 0
    sent: int = 0
    late: float = 0.0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.loop = asyncio.get_running_loop()
        self.all_ended = asyncio.Event()
        self.all_ended.set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send for so long, in a Poisson stream, then wait for the last answer."""
        began = self.loop.time()
        due = began
        while due - began < seconds:
            due += self.random.expovariate(self.rate)
            delay = due - self.loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self.late = max(self.late, self.loop.time() - due)
            self.ask(self._draw())
        await self.all_ended.wait()

    def close(self) -> None:
        """End all connections."""
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.abort()

    # Requests

    def _draw(self) -> RequestMix:
        """The kind of the next request."""
        return self.random.choices(self.mixes, [mix.share for mix in self.mixes])[0]

    def ask(self, mix: RequestMix, is_retry: bool = False) -> RequestEntry:
        """Send one request now; its entry in the ledger."""
        self.sent += 1
        request_id = f"{self.prefix}-{self.seed}-{self.sent}"
        request_class = self.ledger.limits.classes[mix.cls]
        tenant = self.random.choice(mix.tenants)
        template = encode_request(request_id, request_class, mix, tenant, is_retry)
        now = time.monotonic_ns()
        entry = self.ledger.asked(request_id, mix.cls, now, now + request_class.deadline, tenant)
        request = ClientRequest(entry, mix, template, is_retry, cpu_wait_ns())
        self.in_flight += 1
        self.all_ended.clear()
        patience_s = (request_class.deadline + self.ledger.limits.disconnect_grace) / SECOND
        request.timer = self.loop.call_later(patience_s, self._give_up, request)
        self._send(request, self.random.choice(self.ports))
        return entry

    def _send(self, request: ClientRequest, port: int) -> None:
        """Send a request on an idle connection, or on a new one."""
        idle = self.idle.setdefault(port, [])
        while idle:
            connection = idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                request.on_new_connection = False
                connection.send(request)
                return
        self._send_on_new_connection(request, port)

    def _send_on_new_connection(self, request: ClientRequest, port: int) -> None:
        """Send a request on a new connection, unless its client waits no longer."""
        if not request.time_left_ms():
            self._end_without_answer(request, FinalOutcome.BROKEN)
            return
        request.on_new_connection = True
        task = self.loop.create_task(self._open(request, port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, request: ClientRequest, port: int) -> None:
        """Open a connection, which sends the request once it is up."""
        try:
            await self.loop.create_connection(
                lambda: ClientConnection(self, request, port), "127.0.0.1", port
            )
        except OSError:
            self._end_without_answer(request, FinalOutcome.BROKEN)

    def _own_delay_ns(self, request: ClientRequest) -> int:
        """How long this process has waited for a core since a request was asked."""
        return cpu_wait_ns() - request.cpu_wait_ns

    def _give_up(self, request: ClientRequest) -> None:
        """The client of a request waits no longer: its connection is reset.

        Its patience does not run while this process waits for a core: an answer may lie unread meanwhile.
        """
        own_delay_ns = min(self._own_delay_ns(request), MAX_EXCUSED_NS)
        if own_delay_ns > request.excused_ns:
            extension_s = (own_delay_ns - request.excused_ns) / SECOND
            request.excused_ns = own_delay_ns
            request.timer = self.loop.call_later(extension_s, self._give_up, request)
            return
        for connection in [connection for connection in self.connections if connection.request is request]:
            connection.request = None
            connection.abort()
        self._end_without_answer(request, FinalOutcome.SILENT)

    def _end_without_answer(self, request: ClientRequest, final: FinalOutcome) -> None:
        """Note the end of a request that got no answer.

        No node is to blame where its time ran out, before it was sent, because this process had no core.
        """
        late_ns = time.monotonic_ns() - request.entry.deadline
        if not request.is_sent and request.timer is not None and 0 < late_ns <= self._own_delay_ns(request):
            request.entry.excused = True
        self._end(request, final)

    def _end(
        self,
        request: ClientRequest,
        final: FinalOutcome,
        at: int = 0,
        status: int = 0,
        retry_after_s: float | None = None,
    ) -> None:
        """Note the end of a request, at a time (ns) or now; after its end only what a further answer says."""
        is_first = request.timer is not None
        if not is_first and final not in ANSWERED:
            return
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None
        self.ledger.answered(request.entry.id, final, at or time.monotonic_ns(), status, retry_after_s)
        if is_first:
            self.in_flight -= 1
            if not self.in_flight:
                self.all_ended.set()

    # Connections

    def connection_opened(self, connection: ClientConnection) -> None:
        """A connection is up."""
        self.connections.add(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection is gone."""
        self.connections.discard(connection)
        if connection in self.idle.get(connection.port, ()):
            self.idle[connection.port].remove(connection)

    def request_sent(self, request: ClientRequest, port: int) -> None:
        """The bytes of a request go to a node. For subclasses that record it."""

    def response_received(
        self, connection: ClientConnection, request: ClientRequest, response: Response
    ) -> None:
        """Note an answer, keep its connection for others, and retry the request if it was refused."""
        at = self._time_of(connection, request)
        if response.keeps_alive:
            self.idle.setdefault(connection.port, []).append(connection)
        elif connection.transport is not None:
            connection.transport.close()
        final = final_outcome(self.ledger, request.entry, response)
        self._end(request, final, at, response.status, response.retry_after_s)
        if final is FinalOutcome.REFUSED and not request.is_retry and self.random.random() < self.retries:
            pause_s = self.pause if response.retry_after_s is None else response.retry_after_s
            self.loop.call_later(pause_s, self.ask, request.mix, True)

    def _time_of(self, connection: ClientConnection, request: ClientRequest) -> int:
        """When (ns) the answer that has just been read came."""
        now = time.monotonic_ns()
        at = now - connection.unread_ns()
        if at > request.entry.deadline:
            # What this process waited for a core is not the node's lateness, which may live in it.
            at = min(at, now - self._own_delay_ns(request))
        return at

    def connection_broken(self, request: ClientRequest, received: bytes) -> None:
        """A connection ended under a request. One that the node closed between two may have crossed it."""
        if not request.on_new_connection and not received and not request.entry.arrived:
            self._send_on_new_connection(request, self.random.choice(self.ports))
            return
        self._end_without_answer(request, FinalOutcome.BROKEN)
