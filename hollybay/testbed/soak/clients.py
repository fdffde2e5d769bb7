"""Clients that send on every open connection until it ends."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from hollybay.testbed.client_connection import parse_response
from hollybay.testbed.client_request import UNSAFE_BODY, RequestMix, encode_request
from hollybay.testbed.ledger import FinalOutcome, RequestEntry
from hollybay.testbed.listener import read_message
from hollybay.testbed.load_generator import final_outcome
from hollybay.testbed.loop_lateness import LoopLateness
from hollybay.units import MS, SECOND

from .ledger import SoakLedger
from .plan import Condition, SoakPlan

__all__ = ["ClientGroup"]

HOST = "127.0.0.1"
# A request written at most this long before its connection closed may have crossed the close: the slack of
# every time limit of the platform.
CROSSING_NS = 50 * MS
# How long a client waits beyond what an answer may be late.
PATIENCE_S = 1.0
LEAVE_SHARE = 0.05  # of the requests, where clients leave
UPLOAD_SHARE = 0.2  # of the requests, where bodies are long
NEWCOMER_INTERVAL_S = 0.02
PIPELINED_REQUESTS = (2, 4)
UPLOAD_BYTES = (70 << 10, 200 << 10)
UPLOAD_PIECES = 20
UPLOAD_TIME_S = 1.0  # at the most
# How long after its usual deadline an upload is due that is not complete: nobody has taken it.
INCOMPLETE_GRACE_NS = 60 * SECOND
MAX_EXTENSION_NS = 30 * SECOND  # of a client's patience, on a machine that is busy
MAX_STAY_S = 0.05  # of a client that leaves while it waits


class ClientGroup:
    """All clients of one run.

    Parameters
    ----------
    plan
        The run.
    ledger
        Where requests and answers are noted.
    port
        Where the node listens.
    mixes
        Kinds of requests.
    may_connect
        Whether new connections are to be opened now.
    nodes_waited_ns
        How long the node's processes have waited for a core in all.
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
        """Let all clients begin."""
        self.lateness.start()
        for _ in range(self.plan.clients):
            self._start_one()

    async def keep_coming(self) -> None:
        """Let further clients come, as long as new connections are to be opened."""
        while self.may_connect():
            self._start_one()
            await asyncio.sleep(NEWCOMER_INTERVAL_S)

    def _start_one(self) -> None:
        client = _Client(self, random.Random(f"client {self.plan.seed} {len(self.tasks)}"))
        self.tasks.append(asyncio.ensure_future(client.run()))

    async def finish(self) -> None:
        """Let all clients end with their next answer, and wait for that."""
        self.is_ending = True
        await asyncio.gather(*self.tasks)
        self.lateness.stop()

    def disturbance_ns(self) -> int:
        """How much time the machine has taken in all: lateness of this loop, and nodes that had no core."""
        return self.lateness.until_now_ns() + self.nodes_waited_ns()


class _Client:
    """One client: a connection after the other, on each a request after the other.

    Parameters
    ----------
    group
        All clients of the run.
    chance
        Its own source of chance.
    """

    def __init__(self, group: ClientGroup, chance: random.Random) -> None:
        self.group = group
        self.ledger = group.ledger
        self.chance = chance
        self.is_first_use = True
        self.disturbance_before: dict[str, int] = {}  # by request, as it was written (ns)

    async def run(self) -> None:
        """Open connections and use each until it ends, as long as new ones are to be opened."""
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
                    await asyncio.sleep(self.chance.uniform(0.0, self.group.plan.pause_s))
            finally:
                writer.transport.abort()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one or several requests and read their answers; whether the connection can be used again."""
        if reader.at_eof():
            return False
        if self.group.plan.has(Condition.UPLOADS) and self.chance.random() < UPLOAD_SHARE:
            return await self._upload(reader, writer)
        count = self.chance.randint(*PIPELINED_REQUESTS) if self.group.plan.has(Condition.PIPELINED) else 1
        entries = []
        for _ in range(count):
            entry, data = self._ask(self.chance.choice(self.group.mixes))
            entries.append(entry)
            writer.write(data)
        return await self._read_answers(reader, entries)

    def _ask(self, mix: RequestMix, body: bytes = UNSAFE_BODY) -> tuple[RequestEntry, bytes]:
        """Note a request; its entry and its bytes."""
        self.group.sent += 1
        request_id = f"soak-{self.group.plan.seed}-{self.group.sent}"
        request_class = self.ledger.limits.classes[mix.cls]
        tenant = self.chance.choice(mix.tenants)
        now = time.monotonic_ns()
        entry = self.ledger.asked(request_id, mix.cls, now, now + request_class.deadline, tenant)
        self.disturbance_before[request_id] = self.group.disturbance_ns()
        template = encode_request(request_id, request_class, mix, tenant, is_retry=False, body=body)
        return entry, template % (request_class.deadline // MS)

    async def _upload(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request with a long body in pieces; an answer may come before its end."""
        mix = next(mix for mix in self.group.mixes if mix.cls)  # one that has a body
        entry, data = self._ask(mix, bytes(self.chance.randint(*UPLOAD_BYTES)))
        # Nobody has taken it before its last byte.
        deadline, entry.deadline = entry.deadline - entry.at, entry.deadline + INCOMPLETE_GRACE_NS
        answer = asyncio.ensure_future(read_message(reader))
        size = -(-len(data) // UPLOAD_PIECES)
        pause_s = self.chance.uniform(0.0, UPLOAD_TIME_S / UPLOAD_PIECES)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(pause_s)
            if answer.done() or writer.transport.is_closing():
                break
            writer.write(data[start : start + size])
        else:
            entry.at = time.monotonic_ns()
            entry.deadline = entry.at + deadline
            self.disturbance_before[entry.id] = self.group.disturbance_ns()
            return await self._take_answer(answer, [entry])
        return await self._end_upload_early(answer, entry)

    async def _end_upload_early(self, answer: asyncio.Task[tuple[bytes, bytes]], entry: RequestEntry) -> bool:
        """Take what came before the last byte of a body: nobody has taken that request."""
        try:
            head, body = await asyncio.wait_for(answer, PATIENCE_S)
        except (OSError, EOFError, TimeoutError):
            entry.excused = True
            return False
        self._note_answer(entry, head, body)
        return False

    async def _read_answers(self, reader: asyncio.StreamReader, entries: list[RequestEntry]) -> bool:
        """Read the answers of requests that were written together."""
        for number, entry in enumerate(entries):
            # One that lies behind others is due at once when they are answered, however late that is.
            entry.deadline = max(entry.deadline, time.monotonic_ns())
            answer = asyncio.ensure_future(read_message(reader))
            if not await self._take_answer(answer, entries[number:]):
                return False
        return True

    async def _take_answer(
        self, answer: asyncio.Task[tuple[bytes, bytes]], entries: list[RequestEntry]
    ) -> bool:
        """Take the answer of the first of these requests; whether the connection stays open.

        Parameters
        ----------
        answer
            Reads it.
        entries
            The requests that have no answer yet.
        """
        entry = entries[0]
        if self.group.plan.has(Condition.LEAVING_CLIENTS) and self.chance.random() < LEAVE_SHARE:
            await self._leave(answer, entries)
            return False
        await self._wait_for(answer, entry)
        if not answer.done():
            answer.cancel()
            self.ledger.answered(entry.id, FinalOutcome.SILENT, time.monotonic_ns())
            for rest in entries[1:]:
                rest.excused = True  # they were never due
            return False
        try:
            head, body = answer.result()
        except (OSError, EOFError) as error:
            self._closed(entries, getattr(error, "partial", b""))
            return False
        closes = self._note_answer(entry, head, body)
        for rest in entries[1:] if closes else ():
            self.ledger.closed_unread(rest.id)  # the node said that it reads no further
        return not closes

    async def _wait_for(self, answer: asyncio.Task[tuple[bytes, bytes]], entry: RequestEntry) -> None:
        """Wait for an answer until it would be lost, longer by what the machine has taken meanwhile."""
        extension_ns = 0
        while True:
            due_ns = entry.deadline + self.ledger.limits.late + extension_ns
            left_s = (due_ns - time.monotonic_ns()) / SECOND + PATIENCE_S
            await asyncio.wait({answer}, timeout=max(0.0, left_s))
            disturbance_ns = min(self._disturbance_of(entry), MAX_EXTENSION_NS)
            if answer.done() or disturbance_ns <= extension_ns:
                return
            extension_ns = disturbance_ns

    def _disturbance_of(self, entry: RequestEntry) -> int:
        """How much time (ns) the machine has taken since a request was written."""
        return self.group.disturbance_ns() - self.disturbance_before[entry.id]

    async def _leave(self, answer: asyncio.Task[tuple[bytes, bytes]], entries: list[RequestEntry]) -> None:
        """Leave while the answer is awaited."""
        await asyncio.wait({answer}, timeout=self.chance.uniform(0.0, MAX_STAY_S))
        answer.cancel()
        await asyncio.gather(answer, return_exceptions=True)
        for entry in entries:
            self.ledger.left(entry.id, time.monotonic_ns())

    def _note_answer(self, entry: RequestEntry, head: bytes, body: bytes) -> bool:
        """Note an answer; whether the node closes the connection after it."""
        response = parse_response(head + body)
        assert response is not None
        outcome = final_outcome(self.ledger, entry, response)
        now = time.monotonic_ns()
        # What the machine took is neither the node's lateness nor the client's.
        late_ns = max(0, now - entry.deadline)
        at = now - min(late_ns, self._disturbance_of(entry))
        self.ledger.answered(entry.id, outcome, at, response.status, response.retry_after_s)
        return not response.keeps_alive

    def _closed(self, entries: list[RequestEntry], partial: bytes) -> None:
        """Note requests whose connection was closed before their answer."""
        now = time.monotonic_ns()
        shut_for_the_crowd = self.is_first_use and self.group.plan.has(Condition.CROWD)
        for entry in entries:
            age_ns = now - entry.at
            crossed = age_ns <= CROSSING_NS + self._disturbance_of(entry)
            if not partial and (crossed or shut_for_the_crowd):
                self.ledger.closed_unread(entry.id)
            else:
                self.ledger.broke_off(entry.id, now, self._describe(age_ns, partial))

    def _describe(self, age_ns: int, partial: bytes) -> str:
        """Tell how a connection was closed under a request of so much age."""
        use = "its first use" if self.is_first_use else "a later use"
        came = f"{len(partial)} bytes of an answer" if partial else "no byte of an answer"
        return f"closed {age_ns / MS:.0f} ms after it was written, on {use} of the connection, with {came}"
