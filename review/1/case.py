"""Case: after clients have left early, the node opens no connection to a server any more, and rejects all."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Discovery,
    Exchange,
    Node,
    Record,
    Request,
    Server,
    encode_request,
    exchange,
    is_disturbed,
    open_connection,
    read_response,
    run_case,
    serving,
)

SEED = 1
SOCKETS = 256
SERVICE_S = 0.02
# The clients that leave: how many at a time, for how long, how soon after their request, and their pause.
LEAVING_CLIENTS = 5
LEAVING_FOR_S = 20.0
MAX_STAY_S = 0.002
PAUSE_S = 0.014
# Nobody sends anything for longer than the longest deadline of a class (6 s).
QUIET_S = 7.0
# The requests before and after: every fourth is keyed, the others are safe to repeat.
FEW_REQUESTS = 8
REQUESTS = 32
INTERVAL_S = 0.25
SAFE_TIME_LEFT_MS = 500
KEYED_TIME_LEFT_MS = 6000
ANSWER_WAIT_S = 7.0
# The rule: a node may not reject all that it gets, this many at least, for this long.
MIN_REJECTED = 15
MAX_REJECTING_S = 4.0
REJECTED = (429, 503)


async def handle(request: Request, writer: asyncio.StreamWriter) -> None:
    """Serve a request after its work."""
    await asyncio.sleep(SERVICE_S)
    body = b"done %s\n" % request.id.encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


async def leaving_client(record: Record, node: Node, sent_ids: set[str], number: int) -> None:
    """Send requests, each on a new connection, and leave soon after each; without the disruption, stay."""
    draw = random.Random(f"{SEED} {number}")
    end = time.monotonic() + LEAVING_FOR_S
    count = answered = 0
    while time.monotonic() < end:
        count += 1
        request_id = f"short-{number}-{count}"
        sent_ids.add(request_id)
        reader, writer = await open_connection(node.address)
        writer.write(encode_request("/send-callout/1", request_id, KEYED_TIME_LEFT_MS, body=b"{}"))
        if is_disturbed():
            await asyncio.sleep(draw.uniform(0.0, MAX_STAY_S))
        else:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await read_response(reader)
                answered += 1
        writer.close()
        await asyncio.sleep(PAUSE_S)
    record(f"client short-{number}: sent {count} requests, read {answered} answers")


async def usual_requests(
    record: Record, node: Node, sent_ids: set[str], name: str, count: int
) -> list[Exchange]:
    """Send requests one after the other, and return what came back."""
    results = []
    for number in range(count):
        request_id = f"{name}-{number}"
        sent_ids.add(request_id)
        if number % 4:
            request = encode_request("/view-schedule/hall-7", request_id, SAFE_TIME_LEFT_MS)
        else:
            request = encode_request(
                "/book-venue/hall-7", request_id, KEYED_TIME_LEFT_MS, key=f"key-{request_id}", body=b"{}"
            )
        result = await exchange(node.address, request_id, request, ANSWER_WAIT_S)
        record(f"client: {result}")
        results.append(result)
        await asyncio.sleep(INTERVAL_S)
    return results


async def play(record: Record, folder: Path) -> list[str]:
    """Let clients leave early for some seconds, wait until all is quiet, and send usual requests."""
    sent_ids: set[str] = set()
    servers = [Server(f"s{number}", record, sent_ids, handle) for number in (1, 2, 3)]
    node = Node(folder, record, Discovery(record), sockets=SOCKETS)
    async with serving(node, servers):
        await usual_requests(record, node, sent_ids, "before", FEW_REQUESTS)
        record(f"clients: {LEAVING_CLIENTS} at a time, leaving early: {is_disturbed()}")
        await asyncio.gather(
            *[leaving_client(record, node, sent_ids, number) for number in range(LEAVING_CLIENTS)]
        )
        record(f"clients: none for {QUIET_S} s")
        await asyncio.sleep(QUIET_S)
        runs_before = sum(len(server.runs) for server in servers)
        started_at = time.monotonic()
        results = await usual_requests(record, node, sent_ids, "after", REQUESTS)
        lasted_s = time.monotonic() - started_at
        attempts = sum(len(server.runs) for server in servers) - runs_before
        record(f"platform: GET /health/ready says ready: {await node.is_ready()}")
        record(
            f"platform: statuses {dict(Counter(result.status for result in results))}, attempts {attempts}"
        )
    if (
        not attempts
        and len(results) >= MIN_REJECTED
        and lasted_s >= MAX_REJECTING_S
        and all(result.status in REJECTED for result in results)
    ):
        return [
            f"the node rejected all {len(results)} requests for {lasted_s:.1f} s, with no attempt in between"
        ]
    return []


run_case(play, FOLDER)
