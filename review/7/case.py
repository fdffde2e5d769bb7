"""Servers give long answers in small chunks, and others are answered long after their time."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig

SERVERS = 4
SERVICE_S = 0.02
USUAL_INTERVAL_S = 0.05
USUAL_REQUESTS = 100
TIME_LEFT_MS = 500
LATE_MS = 550  # a request is lost half a second after its time, with the slack of the rules on sockets
LONG_AFTER = 20  # usual requests
LONG_ANSWERS = 12
LONG_BYTES = 1 << 20
LONG_TIME_LEFT_MS = 6000
SMALL_CHUNK_BYTES = 32
USUAL_CHUNK_BYTES = 16 << 10
LIMIT_S = 60.0
LAST_CHUNK = b"0\r\n\r\n"


def chunked_answer() -> bytes:
    """Return a long answer; without the disruption, its chunks are large."""
    size = SMALL_CHUNK_BYTES if rig.trouble_wanted() else USUAL_CHUNK_BYTES
    chunk = b"%x\r\n%s\r\n" % (size, b"c" * size)
    return (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * (LONG_BYTES // size) + LAST_CHUNK
    )


class Server:
    """Answers requests for `/list` at length, all others briefly."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.long_answer = chunked_answer()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                head, _ = await rig.read_request(reader)
                if b"/list" in head.split(b"\r\n", 1)[0]:
                    request_id = rig.header(head, b"x-correlation-id").decode()
                    self.record.add(f"server: {request_id} runs, answer of {LONG_BYTES} bytes")
                    writer.write(self.long_answer)
                    await writer.drain()
                else:
                    await asyncio.sleep(SERVICE_S)
                    writer.write(rig.ok(b"halls"))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def usual_client(node: rig.Node, record: rig.Record, number: int) -> float:
    """Ask once; return by how much (ms) the answer was late."""
    data = rig.request(rig.VIEW, f"usual-{number}", TIME_LEFT_MS)
    sent_at = time.monotonic()
    try:
        status, _ = await rig.ask(node.port, data, LIMIT_S)
        outcome = str(status)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        outcome = type(error).__name__
    late_ms = (time.monotonic() - sent_at) * 1000 - TIME_LEFT_MS
    record.add(f"usual-{number}: {outcome}, {late_ms:+.0f} ms after its time")
    return late_ms


async def long_client(node: rig.Node, record: rig.Record, number: int) -> None:
    """Ask for a long answer and read it."""
    data = rig.request(rig.BOOK, f"long-{number}", LONG_TIME_LEFT_MS, path="/list")
    reader, writer = await asyncio.open_connection(rig.HOST, node.port)
    received, end = 0, b""
    try:
        writer.write(data)
        while not end.endswith(LAST_CHUNK) and (part := await reader.read(1 << 16)):
            received += len(part)
            end = (end + part)[-len(LAST_CHUNK) :]
    except OSError as error:
        record.add(f"long-{number}: {type(error).__name__}")
    finally:
        writer.close()
    record.add(f"long-{number}: {received} bytes, {'whole' if end == LAST_CHUNK else 'not whole'}")


async def play(record: rig.Record, folder: Path) -> bool:
    """Play the case; return whether each usual request had its answer in time."""
    agent = rig.Agent(record)
    await agent.start()
    for number in range(SERVERS):
        server = await asyncio.start_server(Server(record).serve, rig.HOST, 0)
        agent.put(f"s-{number}", f"{rig.HOST}:{server.sockets[0].getsockname()[1]}")
    node = rig.Node(folder, record, {"discovery": agent.address})
    await node.start()
    loop_watch = rig.LoopWatch()
    try:
        usual, long = [], []
        for number in range(USUAL_REQUESTS):
            if number == LONG_AFTER:
                long = [asyncio.ensure_future(long_client(node, record, one)) for one in range(LONG_ANSWERS)]
            usual.append(asyncio.ensure_future(usual_client(node, record, number)))
            await asyncio.sleep(USUAL_INTERVAL_S)
        late_ms = await asyncio.gather(*usual)
        await asyncio.gather(*long)
    finally:
        node.stop()
    loop_watch.check()
    lost = sum(late > LATE_MS for late in late_ms)
    record.add(
        f"{lost} of {len(late_ms)} usual requests lost, the latest {max(late_ms):+.0f} ms after its time"
    )
    return not lost


if __name__ == "__main__":
    sys.exit(rig.run_case(__file__, play))
