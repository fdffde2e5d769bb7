"""Case: while long answers are read slowly, requests with a body are not read, and never answered."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    CannotRunError,
    Discovery,
    Node,
    Record,
    Request,
    Server,
    encode_request,
    is_disturbed,
    open_connection,
    read_head,
    read_response,
    run_case,
    serving,
    unacknowledged_bytes,
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
ACKNOWLEDGED_WITHIN_S = 0.2
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


@dataclass(slots=True)
class Booking:
    """A request with a body, and what came back.

    Attributes
    ----------
    is_taken
        Whether the node's machine has acknowledged its last byte, soon after it was sent.
    status
        Status of its answer; 0 if none came whole.
    waited_s
        Time from its last byte to the end of its answer, or to the end of the wait.
    """

    id: str
    is_taken: bool = False
    status: int = 0
    waited_s: float = 0.0

    def is_lost(self) -> bool:
        """Whether it was taken, and has no answer half a second after its time."""
        return self.is_taken and self.waited_s > LOST_AFTER_S


async def book(record: Record, node: Node, number: int) -> Booking:
    """Send a request with a body, and await its answer."""
    booking = Booking(f"booking-{number}")
    reader, writer = await open_connection(node.address)
    writer.write(
        encode_request(
            "/book-venue/hall-7", booking.id, TIME_LEFT_MS, key=f"key-b{number}", body=BOOKING_BODY
        )
    )
    sent_at = time.monotonic()
    record(f"client: id={booking.id} sent with {TIME_LEFT_MS} ms left")
    answer = asyncio.create_task(read_response(reader))
    await asyncio.sleep(ACKNOWLEDGED_WITHIN_S)
    booking.is_taken = unacknowledged_bytes(writer) == 0
    record(f"client: id={booking.id} last byte acknowledged by the node's machine: {booking.is_taken}")
    outcome = "no answer"
    try:
        async with asyncio.timeout(ANSWER_WAIT_S):
            head, _ = await answer
        booking.status = head.status
        outcome = f"answered {head.status}"
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        outcome += f" ({type(error).__name__})"
    booking.waited_s = time.monotonic() - sent_at
    record(f"client: id={booking.id} {outcome}, {booking.waited_s:.3f} s after its last byte")
    writer.close()
    return booking


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
        bookings = await asyncio.gather(*[book(record, node, number) for number in range(BOOKINGS)])
        for task in readers:
            task.cancel()
        if node.has_ended():
            raise CannotRunError("the node has ended")
    return [
        f"id={booking.id} was taken with {TIME_LEFT_MS / 1000:.1f} s left, "
        f"and has no answer after {booking.waited_s:.1f} s"
        for booking in bookings
        if booking.is_lost()
    ]


run_case(play, FOLDER)
