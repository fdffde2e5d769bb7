"""The load generator: what it tells a node when a connection that a node closed is replaced by another."""

from __future__ import annotations

import asyncio
import re

import pytest

from hollybay.balancing import interface as api
from hollybay.testbed import load_generator
from hollybay.testbed.client_connection import Response, parse_response
from hollybay.testbed.client_request import ClientRequest, RequestMix, encode_request
from hollybay.testbed.ledger import FinalOutcome, Ledger, RuleLimits
from hollybay.testbed.load_generator import LoadGenerator
from hollybay.units import MS


async def played(deadline: int, closed_after: float) -> tuple[list[int], FinalOutcome | None]:
    """Two requests of so many ms to a node that answers the first and closes the connection so long (s) after
    the second; the time left that each head told, and what became of the second."""
    heads: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = not heads
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            told = re.search(rb"X-Time-Left-Ms: (\d+)", head)
            assert told is not None and b"Host" in head and b"X-Tag: 100%d\r\n" in head
            heads.append(int(told[1]))
            if first and len(heads) == 2:
                await asyncio.sleep(closed_after)
                break
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    cls = api.RequestClass("ask", api.Effect.SAFE, 1.0, deadline * MS, deadline * MS)
    ledger = Ledger(RuleLimits((cls,), 0, 0.5, 0, late=5000 * MS))
    clients = LoadGenerator(ledger, [port], [RequestMix(0, b"/ask", headers=((b"X-Tag", b"100%d"),))], 1.0)
    clients.ask(clients.mixes[0])
    await clients.all_ended.wait()
    entry = clients.ask(clients.mixes[0])
    await clients.all_ended.wait()
    clients.close()
    server.close()
    return heads, entry.final


@pytest.mark.parametrize(
    ("deadline", "closed_after", "heads", "final"),
    [(5000, 0.1, 3, FinalOutcome.REFUSED), (150, 0.2, 2, FinalOutcome.BROKEN)],
)
def test_a_request_that_goes_out_again_tells_the_time_that_is_left_and_none_goes_too_late(
    deadline: int, closed_after: float, heads: int, final: FinalOutcome
) -> None:
    told, found = asyncio.run(played(deadline, closed_after))
    assert (len(told), found) == (heads, final)
    assert all(0 <= left <= deadline for left in told)
    assert all(left <= deadline - 100 for left in told[2:]), told


@pytest.mark.parametrize(
    ("data", "response"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Response(200, b"ok", None, True)),
        (b"HTTP/1.1 503 x\r\nRetry-After: 2\r\nCONNECTION: Close\r\n\r\n", Response(503, b"", 2.0, False)),
    ],
)
def test_an_answer_is_parsed_once_it_is_whole(data: bytes, response: Response | None) -> None:
    assert parse_response(data) == response


@pytest.mark.parametrize(
    ("effect", "start", "end"),
    [
        (api.Effect.SAFE, b"GET /a%%20b HTTP/1.1", b"\r\nX-Time-Left-Ms: %d\r\n\r\n"),
        (
            api.Effect.UNSAFE,
            b"POST /a%%20b HTTP/1.1",
            b"\r\nContent-Length: 2\r\nX-Time-Left-Ms: %d\r\n\r\n{}",
        ),
        (
            api.Effect.KEYED,
            b"POST /a%%20b HTTP/1.1",
            b"\r\nIdempotency-Key: r-1\r\nContent-Length: 2\r\nX-Time-Left-Ms: %d\r\n\r\n{}",
        ),
    ],
)
def test_a_request_has_a_body_or_a_key_by_its_effect(effect: api.Effect, start: bytes, end: bytes) -> None:
    cls = api.RequestClass("ask", effect, 1.0, MS, MS)
    data = encode_request("r-1", cls, RequestMix(0, b"/a%20b"), "choirs", is_retry=True)
    assert data.startswith(start + b"\r\nHost: service.internal\r\nX-Correlation-Id: r-1\r\n")
    assert data.endswith(b"X-Account: choirs\r\nX-Repeat: 1" + end)
    assert (data % 7).count(b"X-Time-Left-Ms: 7\r\n") == 1


# Guards against: an answer counted as lost that lies unread because the clients' own process had no core.
@pytest.mark.parametrize(
    ("answered_after", "waited_ms", "final", "lost"),
    [
        (0.3, 0, FinalOutcome.SILENT, True),
        (0.3, 200, FinalOutcome.REFUSED, False),
        (0.5, 200, FinalOutcome.SILENT, True),
        (None, 200, FinalOutcome.SILENT, True),
    ],
)
def test_a_client_is_patient_while_its_own_process_has_no_core(
    monkeypatch: pytest.MonkeyPatch,
    answered_after: float | None,
    waited_ms: int,
    final: FinalOutcome,
    lost: bool,
) -> None:
    """A request of 100 ms, for which clients wait 200 ms in all; answered after so long (s), or never."""
    waits = iter([0])  # as the request is asked; from then on what the process has waited
    monkeypatch.setattr(load_generator, "cpu_wait_ns", lambda: next(waits, waited_ms * MS))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if answered_after is not None:
            await asyncio.sleep(answered_after)
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        await reader.read()  # until the client goes
        writer.close()

    async def play() -> Ledger:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        cls = api.RequestClass("ask", api.Effect.SAFE, 1.0, 100 * MS, 100 * MS)
        ledger = Ledger(RuleLimits((cls,), 0, 0.5, 0))
        port = server.sockets[0].getsockname()[1]
        clients = LoadGenerator(ledger, [port], [RequestMix(0, b"/ask")], 1.0)
        assert clients.ask(clients.mixes[0]).final is None
        await clients.all_ended.wait()
        clients.close()
        server.close()
        return ledger

    ledger = asyncio.run(play())
    (entry,) = ledger.requests.values()
    assert entry.final is final
    assert bool(ledger.check().violations) is lost


# Guards against: a request counted as lost that its own process never sent, for want of a core.
@pytest.mark.parametrize(("waited_ms", "lost"), [(0, True), (20, True), (120, False)])
def test_a_request_that_was_not_sent_in_time_is_lost_unless_its_own_process_had_no_core(
    monkeypatch: pytest.MonkeyPatch, waited_ms: int, lost: bool
) -> None:
    """A request of 100 ms whose connection is up after 150 ms."""
    waits = iter([0])
    monkeypatch.setattr(load_generator, "cpu_wait_ns", lambda: next(waits, waited_ms * MS))

    async def play() -> Ledger:
        cls = api.RequestClass("ask", api.Effect.SAFE, 1.0, 100 * MS, 100 * MS)
        ledger = Ledger(RuleLimits((cls,), 0, 0.5, 0))
        clients = LoadGenerator(ledger, [9], [RequestMix(0, b"/ask")], 1.0)

        async def open_late(request: ClientRequest, port: int) -> None:
            await asyncio.sleep(0.15)
            clients._send_on_new_connection(request, port)

        monkeypatch.setattr(clients, "_open", open_late)
        clients.ask(clients.mixes[0])
        await clients.all_ended.wait()
        clients.close()
        return ledger

    assert bool(asyncio.run(play()).check().violations) is lost
