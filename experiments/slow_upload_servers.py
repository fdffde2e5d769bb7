"""Uploads to servers that read slowly, for a minute: `python experiments/slow_upload_servers.py [SEED]`.

Prints how many final answers came more than 550 ms after their client's time, which counts from when its
kernel has the last byte. Exit status 1 if there was one. It uses the stand-ins of `review/rig.py`.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "review"))

import rig

SECONDS = 60.0
INTERVAL_S = 0.1
SIZES = (30_000, 500_000, 2_000_000, 6_000_000)
SERVER_RATES = (64_000, 200_000, 1_000_000)  # bytes a second
TIME_LEFT_MS = {rig.SEND: 1500, rig.BOOK: 2500}
LATE_MS = 550
READ_BYTES = 16 << 10
WRITE_BYTES = 64 << 10


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, draw: random.Random) -> None:
    """Read each request at a rate drawn for it, and answer it."""
    try:
        while True:
            head = await reader.readuntil(rig.END_OF_HEAD)
            left, rate = int(rig.header(head, b"content-length") or b"0"), draw.choice(SERVER_RATES)
            while left and (part := await reader.read(min(left, READ_BYTES))):
                left -= len(part)
                await asyncio.sleep(len(part) / rate)
            if left:
                return
            writer.write(rig.ok(b"done"))
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def upload(port: int, number: int, draw: random.Random) -> float | None:
    """Send an upload; return by how much (ms) its answer was late, None if it came before the last byte."""
    class_name = draw.choice(list(TIME_LEFT_MS))
    time_left_ms = TIME_LEFT_MS[class_name]
    data = rig.request(class_name, f"up-{number}", time_left_ms, body=b"u" * draw.choice(SIZES))
    reader, writer = await asyncio.open_connection(rig.HOST, port)
    writer.transport.set_write_buffer_limits(0)
    answer = asyncio.ensure_future(reader.read(1))
    try:
        for start in range(0, len(data), WRITE_BYTES):
            writer.write(data[start : start + WRITE_BYTES])
            drained = asyncio.ensure_future(writer.drain())
            await asyncio.wait({drained, answer}, return_when=asyncio.FIRST_COMPLETED)
            if answer.done():
                drained.cancel()
                return None
            await drained
        sent_at = time.monotonic()
        await answer
        return (time.monotonic() - sent_at) * 1000 - time_left_ms
    except OSError:
        return None
    finally:
        answer.cancel()
        writer.close()


async def play(folder: Path, draw: random.Random) -> bool:
    """Play uploads for a while; return whether each answer came in time."""
    record = rig.Record(folder)
    agent = rig.Agent(record)
    await agent.start()
    for number in range(6):
        server = await asyncio.start_server(lambda r, w: serve(r, w, draw), rig.HOST, 0, limit=READ_BYTES)
        agent.put(f"s-{number}", f"{rig.HOST}:{server.sockets[0].getsockname()[1]}")
    limits = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
    node = rig.Node(folder, record, {"discovery": agent.address, "limits": limits})
    await node.start()
    try:
        uploads = []
        for number in range(int(SECONDS / INTERVAL_S)):
            uploads.append(asyncio.ensure_future(upload(node.port, number, draw)))
            await asyncio.sleep(INTERVAL_S)
        late_ms = [late for late in await asyncio.gather(*uploads) if late is not None]
    finally:
        node.kill()
    late = [one for one in late_ms if one > LATE_MS]
    print(f"{len(late)} of {len(late_ms)} answers late, the latest {max(late_ms):+.0f} ms after its time")
    return not late


def main() -> int:
    """Play with the seed of the command line, 2 by default."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    with tempfile.TemporaryDirectory() as folder:
        return 0 if asyncio.run(play(Path(folder), random.Random(seed))) else 1


if __name__ == "__main__":
    sys.exit(main())
