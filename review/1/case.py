"""Case: uploads that arrive in small chunks take many times their size in memory, and the node is killed."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import time
from collections.abc import Iterator
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Discovery,
    Node,
    Record,
    Request,
    Server,
    is_disturbed,
    open_connection,
    read_response,
    run_case,
    serving,
    usual_clients,
)

MEMORY_MB = 40
SOCKETS = 256
UPLOADS = 2
BODY_BYTES = 2_000_000
TIME_LEFT_MS = 6000
ANSWER_WAIT_S = 60.0
USUAL_INTERVAL_S = 0.5
# The tokens of an exported calendar, as a streaming JSON encoder yields them, one chunk each.
TOKENS = (b'{"id":', b"40127", b',"at":', b'"19:30"', b"},")
# Without the disruption the same bytes come in chunks of this size.
LARGE_CHUNK_BYTES = 8 << 10
WRITE_BYTES = 64 << 10
MEMORY_CHECK_S = 0.05
MEMORY_RECORD_S = 1.0


def tokens() -> Iterator[bytes]:
    """Yield the tokens of the body."""
    size = 0
    for token in itertools.cycle(TOKENS):
        if size + len(token) > BODY_BYTES:
            return
        size += len(token)
        yield token


def pieces() -> Iterator[bytes]:
    """Yield the body in the chunks in which it is sent."""
    if is_disturbed():
        yield from tokens()
        return
    body = b"".join(tokens())
    for start in range(0, len(body), LARGE_CHUNK_BYTES):
        yield body[start : start + LARGE_CHUNK_BYTES]


def encoded_body() -> bytes:
    """Return the body in the chunked transfer coding."""
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces()) + b"0\r\n\r\n"


async def handle(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer a request at once."""
    body = b"done %s\n" % request.id.encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


async def upload(record: Record, node: Node, sent_ids: set[str], number: int, body: bytes) -> None:
    """Send one upload, at the pace at which the node reads it, and read its answer."""
    request_id = f"upload-{number}"
    sent_ids.add(request_id)
    lines = [
        "POST /book-venue/import HTTP/1.1",
        "Host: service.internal",
        f"X-Correlation-Id: {request_id}",
        f"X-Time-Left-Ms: {TIME_LEFT_MS}",
        f"Idempotency-Key: key-{number}",
        "Transfer-Encoding: chunked",
    ]
    head = "\r\n".join([*lines, "", ""])
    started_at = time.monotonic()
    try:
        async with asyncio.timeout(ANSWER_WAIT_S):
            reader, writer = await open_connection(node.address)
            writer.write(head.encode())
            for start in range(0, len(body), WRITE_BYTES):
                writer.write(body[start : start + WRITE_BYTES])
                await writer.drain()
            record(f"client: id={request_id} written whole after {time.monotonic() - started_at:.3f} s")
            answer, _ = await read_response(reader)
        outcome = f"answered {answer.status}"
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        outcome = f"no whole answer ({type(error).__name__})"
    record(f"client: id={request_id} {outcome} after {time.monotonic() - started_at:.3f} s")


async def enforce_memory_limit(record: Record, node: Node, breaks: list[str]) -> None:
    """Kill the node over its memory limit, as the platform does."""
    for check in itertools.count():
        used = node.memory_used_mb()
        if check % round(MEMORY_RECORD_S / MEMORY_CHECK_S) == 0:
            record(f"platform: node uses {used:.1f} MB of {node.memory_mb} MB")
        if used > node.memory_mb:
            breaks.append(f"the node used {used:.1f} MB of {node.memory_mb} MB and was killed: a crash")
            node.send_signal(signal.SIGKILL)
            return
        await asyncio.sleep(MEMORY_CHECK_S)


async def play(record: Record, folder: Path) -> list[str]:
    """Upload bodies side by side, beside a usual client."""
    sent_ids: set[str] = set()
    breaks: list[str] = []
    servers = [Server(f"s{number}", record, sent_ids, handle) for number in (1, 2, 3)]
    node = Node(folder, record, Discovery(record), memory_mb=MEMORY_MB, sockets=SOCKETS)
    body = encoded_body()
    async with serving(node, servers):
        background = [
            asyncio.create_task(enforce_memory_limit(record, node, breaks)),
            asyncio.create_task(usual_clients(record, node.address, sent_ids, USUAL_INTERVAL_S)),
        ]
        await asyncio.gather(*[upload(record, node, sent_ids, n, body) for n in range(1, UPLOADS + 1)])
        for task in background:
            task.cancel()
        if node.has_ended() and not breaks:
            breaks.append("the node has ended by itself: a crash")
    return breaks


run_case(play, FOLDER)
