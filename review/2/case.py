"""Case: while long answers are read slowly, requests with a body are not read, and never answered."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    CannotRunError,
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
    read_head,
    run_case,
    serving,
)

MEMORY_MB = 48
SOCKETS = 512
READERS = 132
READER_BODY = b"b" * 63_000
ANSWER_BYTES = 2_000_000
READ_BYTES = 4 << 10
READ_BYTES_PER_S = 64_000
READER_INTERVAL_S = 0.02
BOOKINGS = 5
BOOKING_BODY = b"b" * 20_000
TIME_LEFT_MS = 4000
# An answer counts as lost half a second after its time.
LOST_AFTER_S = TIME_LEFT_MS / 1000 + 0.5
ANSWER_WAIT_S = 12.0


async def handle(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer a request at once; reports are long."""
    size = ANSWER_BYTES if request.head.target == "/book-venue/report" else 100
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (size, b"r" * size))


async def read_report(record: Record, node: Node, number: int) -> None:
    """Request a long answer, and read it slowly."""
    request_id = f"report-{number}"
    reader, writer = await open_connection(node.address, slow_reader=is_disturbed())
    request = encode_request(
        "/book-venue/report", request_id, TIME_LEFT_MS, key=f"key-r{number}", body=READER_BODY
    )
    writer.write(request)
    started_at = time.monotonic()
    received = 0
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        head = await read_head(reader)
        record(
            f"client: id={request_id} answer {head.status} begins after {time.monotonic() - started_at:.3f} s"
        )
        length = head.length or 0
        while received < length and (data := await reader.read(READ_BYTES)):
            received += len(data)
            if is_disturbed():
                await asyncio.sleep(max(0.0, started_at + received / READ_BYTES_PER_S - time.monotonic()))
    record(f"client: id={request_id} has {received} bytes")
    writer.close()


async def book(record: Record, node: Node, number: int) -> Exchange:
    """Send a request with a body that the kernel of the node's machine takes whole, and await its answer."""
    request_id = f"booking-{number}"
    request = encode_request(
        "/book-venue/hall-7", request_id, TIME_LEFT_MS, key=f"key-b{number}", body=BOOKING_BODY
    )
    record(f"client: sends id={request_id} with {TIME_LEFT_MS} ms left")
    result = await exchange(node.address, request_id, request, ANSWER_WAIT_S)
    record(f"client: {result}")
    return result


async def play(record: Record, folder: Path) -> list[str]:
    """Book halls while many clients read long answers slowly."""
    sent_ids = {f"report-{number}" for number in range(READERS)}
    sent_ids |= {f"booking-{number}" for number in range(BOOKINGS)}
    servers = [Server(f"s{number}", record, sent_ids, handle) for number in range(8)]
    node = Node(folder, record, Discovery(record), memory_mb=MEMORY_MB, sockets=SOCKETS)
    async with serving(node, servers):
        readers = []
        for number in range(READERS):
            readers.append(asyncio.create_task(read_report(record, node, number)))
            await asyncio.sleep(READER_INTERVAL_S)
        await asyncio.sleep(1.0)
        record(f"platform: node uses {node.memory_used_mb():.1f} MB of {MEMORY_MB} MB")
        results = await asyncio.gather(*[book(record, node, number) for number in range(BOOKINGS)])
        for task in readers:
            task.cancel()
        if node.has_ended():
            raise CannotRunError("the node has ended")
    return [
        f"id={result.id} has no answer {result.answered_after_s:.1f} s after it was sent with "
        f"{TIME_LEFT_MS / 1000:.1f} s left"
        for result in results
        if result.answered_after_s > LOST_AFTER_S
    ]


run_case(play, FOLDER)
