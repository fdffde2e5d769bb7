"""Open-loop load generator: requests are sent at a given rate, however long the responses take.

Every request and every response is recorded in the ledger.
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
STATUSES_REJECTED = (429, 503)
# Maximum extension (ns) of a client's time-out for the time that its own process waited for a core.
MAX_EXCUSED_NS = 5 * SECOND
# Outcomes that come from a response.
ANSWERED = (FinalOutcome.SERVED, FinalOutcome.REFUSED, FinalOutcome.FAILED, FinalOutcome.WRONG)


def final_outcome(ledger: Ledger, entry: RequestEntry, response: Response) -> FinalOutcome:
    """The outcome of a request that got this response."""
    if response.status == STATUS_SERVED:
        bodies = (body_for(entry.id, server) for server in ledger.starts)
        return FinalOutcome.SERVED if response.body in bodies else FinalOutcome.WRONG
    return FinalOutcome.REFUSED if response.status in STATUSES_REJECTED else FinalOutcome.FAILED


@dataclass
class LoadGenerator:
    """Sends requests to one or several nodes at a given rate.

    Attributes
    ----------
    ledger
        Records requests and responses.
    ports
        The nodes' ports on this machine; each request goes to a random one.
    mixes
        The kinds of requests.
    rate
        Requests per second.
    seed
        Seed of all random choices.
    retries
        Share of the rejected requests that are retried, once and with a new id.
    pause
        Delay (s) of a retry, if the response has no Retry-After.
    prefix
        Prefix of the request ids.
    connections
        All open connections.
    idle
        The open connections without a request, by port.
    in_flight
        Number of requests that have not ended.
    sent
        Number of requests so far.
    late
        The longest delay (s) of a request beyond its scheduled time.
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
        """Send requests for a duration, as a Poisson process, then wait until all have ended."""
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
        """Abort all connections."""
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.abort()

    # Requests

    def _draw(self) -> RequestMix:
        """Draw the kind of the next request."""
        return self.random.choices(self.mixes, [mix.share for mix in self.mixes])[0]

    def ask(self, mix: RequestMix, is_retry: bool = False) -> RequestEntry:
        """Send a request now; returns its entry in the ledger."""
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
        timeout_s = (request_class.deadline + self.ledger.limits.disconnect_grace) / SECOND
        request.timer = self.loop.call_later(timeout_s, self._time_out, request)
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
        """Send a request on a new connection, unless its deadline has passed."""
        if not request.time_left_ms():
            self._end_without_response(request, FinalOutcome.BROKEN)
            return
        request.on_new_connection = True
        task = self.loop.create_task(self._open(request, port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, request: ClientRequest, port: int) -> None:
        """Open a connection, which sends the request once it is established."""
        try:
            await self.loop.create_connection(
                lambda: ClientConnection(self, request, port), "127.0.0.1", port
            )
        except OSError:
            self._end_without_response(request, FinalOutcome.BROKEN)

    def _own_delay_ns(self, request: ClientRequest) -> int:
        """Time that this process has waited for a core since a request was made."""
        return cpu_wait_ns() - request.cpu_wait_ns

    def _time_out(self, request: ClientRequest) -> None:
        """Time out a request: its connection is reset.

        The time-out is extended by the time that this process waited for a core: in that time a response may
        have been received that was not read.
        """
        own_delay_ns = min(self._own_delay_ns(request), MAX_EXCUSED_NS)
        if own_delay_ns > request.excused_ns:
            extension_s = (own_delay_ns - request.excused_ns) / SECOND
            request.excused_ns = own_delay_ns
            request.timer = self.loop.call_later(extension_s, self._time_out, request)
            return
        for connection in [connection for connection in self.connections if connection.request is request]:
            connection.request = None
            connection.abort()
        self._end_without_response(request, FinalOutcome.SILENT)

    def _end_without_response(self, request: ClientRequest, final: FinalOutcome) -> None:
        """Record the end of a request without a response.

        It is excused if its deadline passed before it was sent because this process waited for a core.
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
        """Record the outcome of a request at a time (ns), or now; after its end, only further responses."""
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
        """Register an established connection."""
        self.connections.add(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget a closed connection."""
        self.connections.discard(connection)
        if connection in self.idle.get(connection.port, ()):
            self.idle[connection.port].remove(connection)

    def request_sent(self, request: ClientRequest, port: int) -> None:
        """Called when a request is written to a connection; for subclasses that record it."""

    def response_received(
        self, connection: ClientConnection, request: ClientRequest, response: Response
    ) -> None:
        """Record a response, keep its connection for reuse, and retry the request if it was rejected."""
        at = self._received_at(connection, request)
        if response.keeps_alive:
            self.idle.setdefault(connection.port, []).append(connection)
        elif connection.transport is not None:
            connection.transport.close()
        final = final_outcome(self.ledger, request.entry, response)
        self._end(request, final, at, response.status, response.retry_after_s)
        if final is FinalOutcome.REFUSED and not request.is_retry and self.random.random() < self.retries:
            pause_s = self.pause if response.retry_after_s is None else response.retry_after_s
            self.loop.call_later(pause_s, self.ask, request.mix, True)

    def _received_at(self, connection: ClientConnection, request: ClientRequest) -> int:
        """When (ns) the response that has just been read was received by the kernel."""
        now = time.monotonic_ns()
        at = now - connection.unread_ns()
        if at > request.entry.deadline:
            # The time that this process waited for a core must not count as a delay of the node.
            at = min(at, now - self._own_delay_ns(request))
        return at

    def connection_broken(self, request: ClientRequest, received: bytes) -> None:
        """Record a request whose connection closed, or send it again if the node closed an idle connection.

        The node may close a reused connection just as a request is sent on it.
        """
        if not request.on_new_connection and not received and not request.entry.arrived:
            self._send_on_new_connection(request, self.random.choice(self.ports))
            return
        self._end_without_response(request, FinalOutcome.BROKEN)
