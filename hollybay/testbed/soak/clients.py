"""Clients that send on every connection until it closes."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from hollybay.testbed.client_connection import parse_response
from hollybay.testbed.client_request import UNSAFE_BODY, RequestMix, encode_request, in_chunks
from hollybay.testbed.ledger import FinalOutcome, RequestEntry
from hollybay.testbed.listener import read_message
from hollybay.testbed.load_generator import final_outcome
from hollybay.testbed.loop_lateness import LoopLateness
from hollybay.units import MS, SECOND

from .ledger import SoakLedger
from .plan import Condition, SoakPlan

__all__ = ["ClientGroup"]

HOST = "127.0.0.1"
# A request written at most this long before the node closed the connection may not have been read: the
# platform allows this slack in all its time limits.
CROSSING_NS = 50 * MS
# How long a client waits beyond the time at which a response counts as lost.
RESPONSE_GRACE_S = 1.0
DISCONNECT_SHARE = 0.05  # of the requests, with Condition.LEAVING_CLIENTS
UPLOAD_SHARE = 0.2  # of the requests, with Condition.UPLOADS or Condition.SMALL_CHUNKS
NEW_CLIENT_INTERVAL_S = 0.02
PIPELINED_REQUESTS = (2, 4)
UPLOAD_BYTES = (70 << 10, 200 << 10)
UPLOAD_PIECES = 20
CHUNK_BYTES = (1, 5, 64, 1000)  # sizes of the chunks of an upload, with Condition.SMALL_CHUNKS
MAX_UPLOAD_TIME_S = 1.0
# Added to the deadline of an upload until it is complete: the node has not accepted it yet.
INCOMPLETE_GRACE_NS = 60 * SECOND
MAX_EXTENSION_NS = 30 * SECOND  # of a client's time-out, on a busy machine
MAX_DISCONNECT_DELAY_S = 0.05  # of a client that disconnects while it waits for its response


class ClientGroup:
    """The clients of a run.

    Parameters
    ----------
    plan
        The plan of the run.
    ledger
        Records requests and responses.
    port
        The node's port.
    mixes
        The kinds of requests.
    may_connect
        Returns whether clients may open new connections now.
    nodes_waited_ns
        Returns the total time that the node processes have waited for a core.
    """

    def __init__(
        self,
        plan: SoakPlan,
        ledger: SoakLedger,
        port: int,
        mixes: Sequence[RequestMix],
        may_connect: Callable[[], bool],
        nodes_waited_ns: Callable[[], int],
    ) -> None:
        self.plan = plan
        self.ledger = ledger
        self.port = port
        self.mixes = mixes
        self.may_connect = may_connect
        self.nodes_waited_ns = nodes_waited_ns
        self.sent = 0
        self.refused_connects = 0
        self.is_ending = False
        self.lateness = LoopLateness()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the planned clients."""
        self.lateness.start()
        for _ in range(self.plan.clients):
            self._start_client()

    async def keep_starting(self) -> None:
        """Start further clients, as long as they may open new connections."""
        while self.may_connect():
            self._start_client()
            await asyncio.sleep(NEW_CLIENT_INTERVAL_S)

    def _start_client(self) -> None:
        client = _Client(self, random.Random(f"client {self.plan.seed} {len(self.tasks)}"))
        self.tasks.append(asyncio.ensure_future(client.run()))

    async def finish(self) -> None:
        """Stop each client after its current exchange, and wait for their ends."""
        self.is_ending = True
        await asyncio.gather(*self.tasks)
        self.lateness.stop()

    def disturbance_ns(self) -> int:
        """Total delay caused by the machine: lateness of this loop, and time that nodes waited for a core."""
        return self.lateness.until_now_ns() + self.nodes_waited_ns()


class _Client:
    """A client that uses one connection after the other, with one exchange at a time.

    Parameters
    ----------
    group
        The clients of the run.
    rng
        Its random source.
    """

    def __init__(self, group: ClientGroup, rng: random.Random) -> None:
        self.group = group
        self.ledger = group.ledger
        self.rng = rng
        self.is_first_use = True
        self.disturbance_before: dict[str, int] = {}  # by request: disturbance (ns) when it was written

    async def run(self) -> None:
        """Open connections and use each until it closes, as long as new ones may be opened."""
        while self.group.may_connect():
            try:
                reader, writer = await asyncio.open_connection(HOST, self.group.port)
            except OSError:
                if self.group.may_connect():
                    self.group.refused_connects += 1
                return
            self.is_first_use = True
            try:
                while await self._exchange(reader, writer) and not self.group.is_ending:
                    self.is_first_use = False
                    await asyncio.sleep(self.rng.uniform(0.0, self.group.plan.pause_s))
            finally:
                writer.transport.abort()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one or more requests and read the responses; returns whether the connection can be reused."""
        if reader.at_eof():
            return False
        plan = self.group.plan
        has_uploads = plan.has(Condition.UPLOADS) or plan.has(Condition.SMALL_CHUNKS)
        if has_uploads and self.rng.random() < UPLOAD_SHARE:
            return await self._upload(reader, writer)
        count = self.rng.randint(*PIPELINED_REQUESTS) if self.group.plan.has(Condition.PIPELINED) else 1
        entries = []
        for _ in range(count):
            entry, data = self._ask(self.rng.choice(self.group.mixes))
            entries.append(entry)
            writer.write(data)
        return await self._read_responses(reader, entries)

    def _ask(self, mix: RequestMix, body: bytes = UNSAFE_BODY) -> tuple[RequestEntry, bytes]:
        """Record a request; returns its entry and its encoding."""
        self.group.sent += 1
        request_id = f"soak-{self.group.plan.seed}-{self.group.sent}"
        request_class = self.ledger.limits.classes[mix.cls]
        tenant = self.rng.choice(mix.tenants)
        now = time.monotonic_ns()
        entry = self.ledger.asked(request_id, mix.cls, now, now + request_class.deadline, tenant)
        self.disturbance_before[request_id] = self.group.disturbance_ns()
        template = encode_request(request_id, request_class, mix, tenant, is_retry=False, body=body)
        return entry, template % (request_class.deadline // MS)

    async def _upload(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request with a long body in pieces; the response may come before the end of the body."""
        mix = next(mix for mix in self.group.mixes if mix.cls)  # the first class is safe and has no body
        entry, data = self._ask(mix, bytes(self.rng.randint(*UPLOAD_BYTES)))
        if self.group.plan.has(Condition.SMALL_CHUNKS):
            data = in_chunks(data, self.rng.choice(CHUNK_BYTES))
        # The node accepts the request only with its last byte.
        deadline, entry.deadline = entry.deadline - entry.at, entry.deadline + INCOMPLETE_GRACE_NS
        response = asyncio.ensure_future(read_message(reader))
        size = -(-len(data) // UPLOAD_PIECES)
        pause_s = self.rng.uniform(0.0, MAX_UPLOAD_TIME_S / UPLOAD_PIECES)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(pause_s)
            if response.done() or writer.transport.is_closing():
                break
            writer.write(data[start : start + size])
        else:
            entry.at = time.monotonic_ns()
            entry.deadline = entry.at + deadline
            self.disturbance_before[entry.id] = self.group.disturbance_ns()
            return await self._take_response(response, [entry])
        return await self._end_upload_early(response, entry)

    async def _end_upload_early(
        self, response: asyncio.Task[tuple[bytes, bytes]], entry: RequestEntry
    ) -> bool:
        """Record a response that came before the end of the body; without one the request is excused."""
        try:
            head, body = await asyncio.wait_for(response, RESPONSE_GRACE_S)
        except (OSError, EOFError, TimeoutError):
            entry.excused = True
            return False
        self._record_response(entry, head, body)
        return False

    async def _read_responses(self, reader: asyncio.StreamReader, entries: list[RequestEntry]) -> bool:
        """Read the responses of pipelined requests."""
        for number, entry in enumerate(entries):
            # A request behind others is due no earlier than the response before it, even if that was late.
            entry.deadline = max(entry.deadline, time.monotonic_ns())
            response = asyncio.ensure_future(read_message(reader))
            if not await self._take_response(response, entries[number:]):
                return False
        return True

    async def _take_response(
        self, response: asyncio.Task[tuple[bytes, bytes]], entries: list[RequestEntry]
    ) -> bool:
        """Wait for the response of the first of these requests; returns whether the connection stays open.

        Parameters
        ----------
        response
            The task that reads the response.
        entries
            The requests on the connection without a response.
        """
        entry = entries[0]
        if self.group.plan.has(Condition.LEAVING_CLIENTS) and self.rng.random() < DISCONNECT_SHARE:
            await self._disconnect(response, entries)
            return False
        await self._wait_for(response, entry)
        if not response.done():
            response.cancel()
            self.ledger.answered(entry.id, FinalOutcome.SILENT, time.monotonic_ns())
            for rest in entries[1:]:
                rest.excused = True  # not due before the first one
            return False
        try:
            head, body = response.result()
        except (OSError, EOFError) as error:
            self._record_close(entries, getattr(error, "partial", b""))
            return False
        closes = self._record_response(entry, head, body)
        for rest in entries[1:] if closes else ():
            self.ledger.closed_unread(rest.id)  # Connection: close announced that the node reads no further
        return not closes

    async def _wait_for(self, response: asyncio.Task[tuple[bytes, bytes]], entry: RequestEntry) -> None:
        """Wait for a response until it counts as lost, extended by the delay that the machine caused."""
        extension_ns = 0
        while True:
            due_ns = entry.deadline + self.ledger.limits.late + extension_ns
            left_s = (due_ns - time.monotonic_ns()) / SECOND + RESPONSE_GRACE_S
            await asyncio.wait({response}, timeout=max(0.0, left_s))
            disturbance_ns = min(self._disturbance_of(entry), MAX_EXTENSION_NS)
            if response.done() or disturbance_ns <= extension_ns:
                return
            extension_ns = disturbance_ns

    def _disturbance_of(self, entry: RequestEntry) -> int:
        """Delay (ns) caused by the machine since a request was written."""
        return self.group.disturbance_ns() - self.disturbance_before[entry.id]

    async def _disconnect(
        self, response: asyncio.Task[tuple[bytes, bytes]], entries: list[RequestEntry]
    ) -> None:
        """Disconnect while waiting for a response."""
        await asyncio.wait({response}, timeout=self.rng.uniform(0.0, MAX_DISCONNECT_DELAY_S))
        response.cancel()
        await asyncio.gather(response, return_exceptions=True)
        for entry in entries:
            self.ledger.left(entry.id, time.monotonic_ns())

    def _record_response(self, entry: RequestEntry, head: bytes, body: bytes) -> bool:
        """Record a response; returns whether the node closes the connection after it."""
        response = parse_response(head + body)
        assert response is not None
        outcome = final_outcome(self.ledger, entry, response)
        now = time.monotonic_ns()
        # Delay caused by the machine does not count as lateness of the node.
        late_ns = max(0, now - entry.deadline)
        at = now - min(late_ns, self._disturbance_of(entry))
        self.ledger.answered(entry.id, outcome, at, response.status, response.retry_after_s)
        return not response.keeps_alive

    def _record_close(self, entries: list[RequestEntry], partial: bytes) -> None:
        """Record requests whose connection closed before their responses."""
        now = time.monotonic_ns()
        # To make room for others, the node may close a new connection before it reads from it.
        may_be_displaced = self.is_first_use and self.group.plan.has(Condition.CROWD)
        for entry in entries:
            age_ns = now - entry.at
            crossed = age_ns <= CROSSING_NS + self._disturbance_of(entry)
            if not partial and (crossed or may_be_displaced):
                self.ledger.closed_unread(entry.id)
            else:
                self.ledger.response_broken(entry.id, now, self._describe_close(age_ns, partial))

    def _describe_close(self, age_ns: int, partial: bytes) -> str:
        """Describe how a connection closed that a request of this age was sent on."""
        use = "first" if self.is_first_use else "a later"
        received = f"{len(partial)} bytes" if partial else "nothing"
        return (
            f"connection closed {age_ns / MS:.0f} ms after the request was written, on {use} use, "
            f"with {received} of the response received"
        )
