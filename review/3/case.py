"""Case: the id of a request that is open for over 20 s is taken from another client, and runs again."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections import Counter
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
    exchange,
    is_disturbed,
    open_connection,
    read_head,
    run_case,
    serving,
    usual_clients,
)

OPEN_ID = "report-4711"
LONG_TARGET = "/send-callout/report"
TIME_LEFT_MS = 5000
ANSWER_BYTES = 2_000_000
READ_BYTES = 16 << 10
READ_BYTES_PER_S = 64_000
REUSED_AFTER_S = 24.0
ERROR_WAIT_S = 3.0
USUAL_INTERVAL_S = 0.2


async def handle(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer a request at once; the report is long."""
    size = ANSWER_BYTES if request.head.target == LONG_TARGET else 100
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (size, b"r" * size))


async def honest_client(record: Record, node: Node) -> bool:
    """Send the callout and read its long answer slowly; return whether it came whole."""
    reader, writer = await open_connection(node.address, slow_reader=True)
    writer.write(encode_request(LONG_TARGET, OPEN_ID, TIME_LEFT_MS, body=b'{"to":"all"}'))
    record(f"client: sent POST {LONG_TARGET} id={OPEN_ID}")
    started_at = time.monotonic()
    received = 0
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        head = await read_head(reader)
        record(f"client: id={OPEN_ID} answer {head.status} begins, reads {READ_BYTES_PER_S} bytes a second")
        while received < ANSWER_BYTES and (data := await reader.read(READ_BYTES)):
            received += len(data)
            await asyncio.sleep(max(0.0, started_at + received / READ_BYTES_PER_S - time.monotonic()))
    record(f"client: id={OPEN_ID} has {received} of {ANSWER_BYTES} bytes")
    writer.close()
    return received == ANSWER_BYTES


async def bad_client(record: Record, node: Node) -> list[str]:
    """Send a request with the id of the open one; return what broke the rule."""
    await asyncio.sleep(REUSED_AFTER_S)
    record(f"bad client: sends POST /send-callout/other id={OPEN_ID}, whose request is open")
    request = encode_request("/send-callout/other", OPEN_ID, TIME_LEFT_MS, body=b"{}")
    result = await exchange(node.address, OPEN_ID, request, ERROR_WAIT_S)
    record(f"bad client: {result}")
    if result.is_whole and result.status == 200:
        return ["a client that used the id of another client's open request was served"]
    return []


async def play(record: Record, folder: Path) -> list[str]:
    """Read a long answer slowly, while another client uses the id of its request."""
    sent_ids = {OPEN_ID}
    servers = [Server(f"s{number}", record, sent_ids, handle) for number in (1, 2, 3)]
    node = Node(folder, record, Discovery(record))
    breaks: list[str] = []
    async with serving(node, servers):
        usual = asyncio.create_task(usual_clients(record, node.address, sent_ids, USUAL_INTERVAL_S))
        honest = asyncio.create_task(honest_client(record, node))
        if is_disturbed():
            breaks += await bad_client(record, node)
            if honest.done():
                raise CannotRunError("the request was not open any more when its id was used again")
        if not await honest:
            breaks.append("the answer to the open request was cut off")
        usual.cancel()
    runs = Counter(request_id for server in servers for request_id in server.runs)
    breaks += [
        f"id={name} ran {count} times, and may never run twice" for name, count in runs.items() if count > 1
    ]
    return breaks


run_case(play, FOLDER)
