"""A server writes long answers slowly, and the node cuts them off although the server still gives."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig

SERVERS = 3
PIECE_BYTES = 32 << 10
PIECES = 6  # 192 KiB
PAUSE_S = 0.4  # 82 kB a second
REQUESTS = 4  # of each class
TIME_LEFT_MS = {rig.VIEW: 500, rig.SEND: 5000, rig.BOOK: 6000}
LIMIT_S = 30.0


class Server:
    """Answers each request with the same long answer, in pieces.

    Attributes
    ----------
    cut_off
        IDs of the requests whose connection was closed while the answer was still being given.
    """

    cut_off: list[str]

    def __init__(self, name: str, record: rig.Record) -> None:
        self.name = name
        self.record = record
        self.cut_off = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                head, _ = await rig.read_request(reader)
                await self._answer(rig.header(head, b"x-correlation-id").decode(), reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.record.add(f"{self.name}: {request_id} runs")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * PIECE_BYTES))
        for given in range(1, PIECES + 1):
            writer.write(b"%d" % (given % 10) * PIECE_BYTES)
            if rig.trouble_wanted() and given < PIECES:
                await asyncio.sleep(PAUSE_S)
            if reader.at_eof() or writer.is_closing() or reader.exception() is not None:
                self.cut_off.append(request_id)
                self.record.add(f"{self.name}: {request_id} is cut off after {given} of {PIECES} pieces")
                return
        await writer.drain()


async def client(node: rig.Node, record: rig.Record, class_name: str, number: int) -> bool:
    """Ask once; return whether the whole answer came."""
    name = f"{class_name}-{number}"
    sent_at = record.now()
    outcome = ""
    is_whole = False
    try:
        status, body = await rig.ask(
            node.port, rig.request(class_name, name, TIME_LEFT_MS[class_name]), LIMIT_S
        )
        is_whole = status == 200 and len(body) == PIECES * PIECE_BYTES
        outcome = f"{status} with {len(body)} bytes"
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        outcome = type(error).__name__
    record.add(f"client: {name} sent at {sent_at:.3f}, {outcome}")
    return is_whole


async def play(record: rig.Record, folder: Path) -> bool:
    """Play the case; return whether no answer was cut off that its server still gave."""
    agent = rig.Agent(record)
    await agent.start()
    servers = [Server(f"s-{number}", record) for number in range(SERVERS)]
    for server in servers:
        listener = await asyncio.start_server(server.serve, rig.HOST, 0)
        agent.put(server.name, f"{rig.HOST}:{listener.sockets[0].getsockname()[1]}")
    node = rig.Node(folder, record, {"discovery": agent.address})
    await node.start()
    try:
        whole = [
            await client(node, record, class_name, number)
            for number in range(REQUESTS)
            for class_name in TIME_LEFT_MS
        ]
    finally:
        node.stop()
    cut_off = [request_id for server in servers for request_id in server.cut_off]
    record.add(
        f"{len(whole) - sum(whole)} of {len(whole)} answers not whole; {len(cut_off)} cut off at servers"
    )
    return not cut_off and all(whole)


if __name__ == "__main__":
    sys.exit(rig.run_case(__file__, play))
