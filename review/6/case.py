"""Bad clients send heads of thousands of short lines, and the node takes more memory than its limit."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig

MEMORY_MB = 192  # the highest limit that the pages name
SOCKETS = 512
SERVERS = 4
SERVICE_S = 0.02
USUAL_INTERVAL_S = 0.05
USUAL_REQUESTS = 160
TIME_LEFT_MS = 500
BAD_CLIENTS = 200
BAD_AFTER_S = 1.0
HEAD_LINES = 6000
LIMIT_S = 40.0
SAMPLE_INTERVAL_S = 0.02


class Platform:
    """Watches the node's memory, and kills the node if it takes more than its limit."""

    def __init__(self, node: rig.Node, record: rig.Record) -> None:
        self.node = node
        self.record = record
        self.highest_mb = 0.0
        self.has_killed = False

    async def watch(self) -> None:
        """Sample the memory until the node is killed."""
        while True:
            used_mb = self.node.memory_mb()
            self.highest_mb = max(self.highest_mb, used_mb)
            if used_mb > MEMORY_MB:
                self.record.add(f"platform: the node has {used_mb:.0f} MB, {MEMORY_MB} allowed; killed")
                self.has_killed = True
                assert self.node.process is not None
                self.node.process.kill()
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request after the same time."""
    try:
        while True:
            await rig.read_request(reader)
            await asyncio.sleep(SERVICE_S)
            writer.write(rig.ok(b"halls"))
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def usual_client(node: rig.Node, record: rig.Record, number: int) -> str:
    """Ask once; return what came of it."""
    sent_at = record.now()
    try:
        status, _ = await rig.ask(node.port, rig.request(rig.VIEW, f"usual-{number}", TIME_LEFT_MS), LIMIT_S)
        outcome = str(status)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        outcome = type(error).__name__
    record.add(f"usual-{number}: sent at {sent_at:.3f}, {outcome}")
    return outcome


async def bad_client(node: rig.Node, number: int) -> str:
    """Send one head of many short lines; return what came of it."""
    data = rig.request(rig.VIEW, f"bad-{number}", TIME_LEFT_MS).removesuffix(b"\r\n")
    data += b"".join(b"%x:1\r\n" % line for line in range(HEAD_LINES))[: 31 << 10].rpartition(b"\r\n")[0]
    try:
        async with asyncio.timeout(LIMIT_S):
            reader, writer = await asyncio.open_connection(rig.HOST, node.port)
            try:
                writer.write(data + rig.END_OF_HEAD)
                answer = await reader.read(1 << 10)
            finally:
                writer.close()
    except (OSError, TimeoutError) as error:
        return type(error).__name__
    return answer.split(b"\r\n", 1)[0].decode("latin-1") or "closed"


async def play(record: rig.Record, folder: Path) -> bool:
    """Play the case; return whether the node stayed within its memory."""
    agent = rig.Agent(record)
    await agent.start()
    for number in range(SERVERS):
        server = await asyncio.start_server(serve, rig.HOST, 0)
        agent.put(f"s-{number}", f"{rig.HOST}:{server.sockets[0].getsockname()[1]}")
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    node = rig.Node(folder, record, {"discovery": agent.address, "limits": limits})
    await node.start()
    platform = Platform(node, record)
    watching = asyncio.ensure_future(platform.watch())
    try:
        usual, bad = [], []
        for number in range(USUAL_REQUESTS):
            if rig.trouble_wanted() and number == int(BAD_AFTER_S / USUAL_INTERVAL_S):
                record.add(f"{BAD_CLIENTS} bad clients connect")
                bad = [asyncio.ensure_future(bad_client(node, client)) for client in range(BAD_CLIENTS)]
            usual.append(asyncio.ensure_future(usual_client(node, record, number)))
            await asyncio.sleep(USUAL_INTERVAL_S)
        record.add(f"usual clients: {dict(Counter(await asyncio.gather(*usual)))}")
        record.add(f"bad clients: {dict(Counter(await asyncio.gather(*bad)))}")
        has_crashed = node.has_crashed()
    finally:
        watching.cancel()
        node.stop()
    record.add(f"highest memory: {platform.highest_mb:.0f} MB, {MEMORY_MB} allowed")
    return not platform.has_killed and not has_crashed


if __name__ == "__main__":
    sys.exit(rig.run_case(__file__, play))
