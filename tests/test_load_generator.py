"""The load generator: what it tells a node when a connection that a node closed is replaced by another."""

from __future__ import annotations

import asyncio
import re

import pytest

from hollybay.balancing import interface as api
from hollybay.testbed.client_request import RequestMix
from hollybay.testbed.ledger import Final, Ledger, Limits
from hollybay.testbed.load_generator import LoadGenerator
from hollybay.units import MS


async def played(deadline: int, closed_after: float) -> tuple[list[int], Final | None]:
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
    ledger = Ledger(Limits((cls,), 0, 0.5, 0, late=5000 * MS))
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
    [(5000, 0.1, 3, Final.REFUSED), (150, 0.2, 2, Final.BROKEN)],
)
def test_a_request_that_goes_out_again_tells_the_time_that_is_left_and_none_goes_too_late(
    deadline: int, closed_after: float, heads: int, final: Final
) -> None:
    told, found = asyncio.run(played(deadline, closed_after))
    assert (len(told), found) == (heads, final)
    assert all(0 <= left <= deadline for left in told)
    assert all(left <= deadline - 100 for left in told[2:]), told
