"""A zone is lost under slow uploads, and clients get two final answers to one request."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig

ZONES = ("here", "there")
SERVERS_PER_ZONE = 3
SOCKETS = 512
NODES = 4
UPLOADS = 125  # at once at each node: under a third of the descriptors
UPLOAD_BYTES = 352_000
PIECE_BYTES = 32_000
PIECE_INTERVAL_S = 0.5  # 64 kB a second
TIME_LEFT_MS = 5000
LOSS_AFTER_S = 3.2
ROUNDS = 10  # each with new nodes
LIMIT_S = 20.0


class Server:
    """A server that takes a request and answers it."""

    def __init__(self, name: str, record: rig.Record) -> None:
        self.name = name
        self.record = record
        self.address = ""
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, rig.HOST, 0)
        self.address = f"{rig.HOST}:{self._listener.sockets[0].getsockname()[1]}"

    def die(self) -> None:
        """Reset all connections; new ones are refused."""
        assert self._listener is not None
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(rig.END_OF_HEAD)
                left = int(rig.header(head, b"content-length"))
                while left and (part := await reader.read(min(left, 1 << 16))):
                    left -= len(part)
                if left:
                    return
                self.record.add(f"{self.name}: {rig.header(head, b'x-correlation-id').decode()} runs")
                writer.write(rig.ok(b"done"))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def statuses(received: bytes) -> list[int]:
    """Return the statuses of the final answers in what a client received."""
    found = []
    while received:
        head, _, rest = received.partition(rig.END_OF_HEAD)
        found.append(int(head.split(b" ", 2)[1]))
        received = rest[int(rig.header(head, b"content-length") or b"0") :]
    return found


async def upload(node: rig.Node, request_id: str) -> list[int]:
    """Send a long body at 64 kB a second until there is an answer; return the statuses of all answers.

    The client reads until the node closes the connection, or for a second after the answer if it does not.
    """
    data = rig.request(rig.SEND, request_id, TIME_LEFT_MS, body=b"u" * UPLOAD_BYTES)
    start = len(data) - UPLOAD_BYTES
    reader, writer = await asyncio.open_connection(rig.HOST, node.port)
    received = bytearray()
    answered = asyncio.Event()

    async def read() -> None:
        with contextlib.suppress(OSError):
            while part := await reader.read(1 << 12):
                received.extend(part)
                answered.set()
        answered.set()

    reading = asyncio.ensure_future(read())
    try:
        writer.write(data[:start])
        for position in range(start, len(data), PIECE_BYTES):
            if answered.is_set():
                break
            writer.write(data[position : position + PIECE_BYTES])
            await asyncio.sleep(PIECE_INTERVAL_S)
        await asyncio.wait_for(answered.wait(), LIMIT_S)
        await asyncio.wait({reading}, timeout=1.0)
    except OSError:
        await asyncio.wait({reading}, timeout=1.0)
    finally:
        reading.cancel()
        writer.close()
    return statuses(bytes(received))


async def start_servers(record: rig.Record, agent: rig.Agent) -> dict[str, list[Server]]:
    """Start the servers of all zones and list them; return them by zone."""
    servers = {zone: [Server(f"{zone}-{one}", record) for one in range(SERVERS_PER_ZONE)] for zone in ZONES}
    for zone in ZONES:
        for server in servers[zone]:
            await server.start()
            agent.put(server.name, server.address, zone=zone, cell=ZONES.index(zone) + 1)
    return servers


def new_nodes(record: rig.Record, folder: Path, agent: rig.Agent) -> list[rig.Node]:
    """Return the nodes of the tier, none of which runs yet."""
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": SOCKETS}
    base = {**rig.settings(), "zones": list(ZONES), "balancers": NODES}
    return [
        rig.Node(
            folder,
            record,
            {
                "name": f"n{number}",
                "discovery": agent.address,
                "settings": {**base, "me": number},
                "limits": limits,
            },
            f"n{number}",
        )
        for number in range(NODES)
    ]


async def play_round(record: rig.Record, folder: Path, number: int) -> int:
    """Play uploads and the loss of a zone; return how many requests had two answers or more."""
    agent = rig.Agent(record)
    await agent.start()
    servers = await start_servers(record, agent)
    nodes = new_nodes(record, folder, agent)
    try:
        await asyncio.gather(*(node.start() for node in nodes))
        uploads = {f"up-{number}-{node.name}-{one}": node for node in nodes for one in range(UPLOADS)}
        answering = [asyncio.ensure_future(upload(node, name)) for name, node in uploads.items()]
        await asyncio.sleep(LOSS_AFTER_S)
        if rig.trouble_wanted():
            record.add(f"zone {ZONES[0]} is lost: its servers die")
            for server in servers[ZONES[0]]:
                server.die()
        answers = dict(zip(uploads, await asyncio.gather(*answering), strict=True))
    finally:
        for node in nodes:
            node.kill()
    for name, found in answers.items():
        record.add(f"client: {name} got {found}")
    record.add(f"round {number}: {dict(Counter(tuple(found) for found in answers.values()))}")
    return sum(len(found) > 1 for found in answers.values())


async def play(record: rig.Record, folder: Path) -> bool:
    """Play the case; return whether each request had one final answer at most."""
    twice = [await play_round(record, folder, number) for number in range(ROUNDS)]
    record.add(f"requests with more than one final answer, by round: {twice}")
    return not any(twice)


if __name__ == "__main__":
    sys.exit(rig.run_case(__file__, play))
