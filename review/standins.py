"""Stand-ins for the platform of the cases: discovery, servers, clients, and the start of a node.

Everything runs in one event loop on loopback addresses and the real clock; a node is a process of its own,
started by the `run` line of deploy/balancer.toml. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import termios
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

__all__ = [
    "ROOT",
    "CannotRunError",
    "Discovery",
    "Exchange",
    "Node",
    "Record",
    "Request",
    "Server",
    "encode_request",
    "exchange",
    "free_port",
    "is_disturbed",
    "open_connection",
    "read_head",
    "read_response",
    "run_case",
    "serving",
    "settings",
    "unacknowledged_bytes",
    "usual_clients",
]

ROOT = Path(__file__).resolve().parent.parent
SECOND_NS = 1_000_000_000
READY_TIMEOUT_S = 20.0
READ_LIMIT = 1 << 20
READ_SIZE = 64 << 10
# Buffers of a client that reads slowly: the kernel's, and that of the reader (which takes twice as much).
SLOW_RECEIVE_BUFFER = 16 << 10
SLOW_READ_LIMIT = 8 << 10
# Of the class that is safe to repeat.
USUAL_TIME_LEFT_MS = 500
USUAL_WAIT_S = 5.0

# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not run; the message says why."""


def is_disturbed() -> bool:
    """Whether the disruption is played: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Record:
    """The record of a run: what was sent, answered and run, a line each, with the time since its start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self.started_at:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# HTTP messages


@dataclass(slots=True)
class Head:
    """The head of a message."""

    start: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ", 2)[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def length(self) -> int | None:
        """The Content-Length; None if it is not stated."""
        value = self.headers.get("content-length")
        return None if value is None else int(value)


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message. Raises IncompleteReadError at the end of the stream."""
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return Head(start, {name.strip().lower(): value.strip() for name, value in pairs})


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body without trailers; many small chunks are read at once."""
    body, buffer, start = bytearray(), bytearray(), 0
    while True:
        end = buffer.find(b"\r\n", start)
        size = int(buffer[start:end].split(b";")[0], 16) if end >= 0 else 0
        if end < 0 or len(buffer) < end + size + 4:
            data = await reader.read(READ_SIZE)
            if not data:
                raise asyncio.IncompleteReadError(bytes(body), None)
            buffer = buffer[start:] + data
            start = 0
            continue
        if size == 0:
            return bytes(body)
        body += buffer[end + 2 : end + 2 + size]
        start = end + size + 4


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body of a message, which has a length or is chunked."""
    if "chunked" in head.headers.get("transfer-encoding", "").lower():
        return await _read_chunks(reader)
    return await reader.readexactly(head.length or 0)


async def read_response(reader: asyncio.StreamReader) -> tuple[Head, bytes]:
    """Read a whole response. Raises IncompleteReadError or ConnectionError if it does not come whole."""
    head = await read_head(reader)
    return head, await read_body(reader, head)


def encode_request(
    target: str, request_id: str, time_left_ms: int, key: str = "", body: bytes | None = None
) -> bytes:
    """Encode a request of a client: GET without a body, else POST."""
    lines = [
        f"{'GET' if body is None else 'POST'} {target} HTTP/1.1",
        "Host: service.internal",
        f"X-Correlation-Id: {request_id}",
        f"X-Time-Left-Ms: {time_left_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


async def open_connection(
    address: tuple[str, int], slow_reader: bool = False
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address.

    Parameters
    ----------
    address
        Host and port.
    slow_reader
        Whether the client has small buffers, so that what it has not read waits at the node.
    """
    sock = socket.socket()
    if slow_reader:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return await asyncio.open_connection(sock=sock, limit=SLOW_READ_LIMIT if slow_reader else READ_LIMIT)


@dataclass(slots=True)
class Exchange:
    """A request of a client and what came back.

    Attributes
    ----------
    status
        Status of the answer; 0 if none came whole.
    body
        Its body.
    is_whole
        Whether the answer came whole.
    problem
        Why it did not.
    answered_after_s
        Time from the begin of the request to the end of the answer, or to the end of the wait.
    """

    id: str
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    problem: str = ""
    answered_after_s: float = 0.0

    def __str__(self) -> str:
        answer = f"answered {self.status}" if self.is_whole else f"no whole answer ({self.problem})"
        return f"id={self.id} {answer} after {self.answered_after_s:.3f} s"


def unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    """Return how many written bytes the other machine has not acknowledged yet; 0: it has the last byte."""
    sock = writer.get_extra_info("socket")
    in_kernel = int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    return in_kernel + writer.transport.get_write_buffer_size()


async def exchange(address: tuple[str, int], request_id: str, request: bytes, wait_s: float) -> Exchange:
    """Send a request on a new connection, and wait for its whole answer for so many seconds."""
    result = Exchange(request_id)
    started_at = time.monotonic()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await open_connection(address)
            writer.write(request)
            head, body = await read_response(reader)
        result.status, result.body, result.is_whole = head.status, body, True
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        result.problem = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    result.answered_after_s = time.monotonic() - started_at
    return result


async def usual_clients(
    record: Record, address: tuple[str, int], sent_ids: set[str], interval_s: float
) -> None:
    """Send requests of the class that is safe to repeat, one after the other, until cancelled."""
    for number in itertools.count(1):
        request_id = f"usual-{number}"
        sent_ids.add(request_id)
        request = encode_request("/view-schedule/hall-7", request_id, USUAL_TIME_LEFT_MS)
        result = await exchange(address, request_id, request, USUAL_WAIT_S)
        record(f"client: {result}")
        await asyncio.sleep(interval_s)


# Discovery


class Discovery:
    """The platform's discovery: it has lists pushed to it and answers at once, or when a watch has news."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}
        self.port = 0
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def put(self, **entry: Any) -> None:
        """Add or change a server."""
        async with self._news:
            self.version += 1
            self.entries[entry["id"]] = entry
            self.changed_in[entry["id"]] = self.version
            self._news.notify_all()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        if "index" not in query:
            return {"version": self.version, "full": True, "servers": list(self.entries.values())}
        index, wait_s = int(query["index"]), int(query.get("wait", "0")) / 1000
        async with self._news:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._news.wait_for(lambda: self.version > index)
        changed = [entry for name, entry in self.entries.items() if self.changed_in[name] > index]
        return {"version": self.version, "full": False, "servers": changed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A task that is cancelled at the end of the case ends like one whose client has gone.
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = await read_head(reader)
                body = json.dumps(await self._answer(head.target)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()


# Servers


@dataclass(slots=True)
class Request:
    """A request that a server has received whole."""

    server: str
    head: Head
    body: bytes

    @property
    def id(self) -> str:
        """Its X-Correlation-Id."""
        return self.head.headers.get("x-correlation-id", "")


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server: it runs each request that it has received whole, and lets a handler write the answer.

    A request with an id that no client sent is answered 400, one with no id 404, as the protocol page says.
    """

    def __init__(self, name: str, record: Record, sent_ids: set[str], handler: Handler) -> None:
        self.name = name
        self.record = record
        self.sent_ids = sent_ids
        self.handler = handler
        self.runs: list[str] = []
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=READ_LIMIT)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self, state: str = "SERVING") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "van-east",
            "kind": "std-1c",
            "cell": 1,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await read_head(reader)
                await self._run(Request(self.name, head, await read_body(reader, head)), writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass  # also the end of the case
        finally:
            writer.close()

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.id not in self.sent_ids:
            status = 400 if request.id else 404
            self.record(f"server {self.name}: {status} for the id {request.id!r}, which no client sent")
            writer.write(b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % status)
            return
        self.runs.append(request.id)
        self.record(f"server {self.name}: runs {request.head.start!r} id={request.id}")
        await self.handler(request, writer)
        await writer.drain()


# The node


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the site's classes, effects, deadlines and rules."""
    return {
        "balancers": 1,
        "me": 0,
        "my-zone": 0,
        "zones": ["van-east"],
        "kinds": ["std-1c"],
        "membership-mode": "automatic",
        "weights": "nominal",
        "quantum": 4_000_000,
        "categories": [
            {
                "name": "view-schedule",
                "effect": "retryable",
                "slo": SECOND_NS // 5,
                "give-up": SECOND_NS // 2,
                "worth": 3.0,
                "late-worth": 0.25,
            },
            {
                "name": "send-callout",
                "effect": "fragile",
                "slo": 6 * SECOND_NS // 5,
                "give-up": 5 * SECOND_NS,
                "worth": 2.0,
                "late-worth": 0.2,
            },
            {
                "name": "book-venue",
                "effect": "dedup",
                "slo": 3 * SECOND_NS // 2,
                "give-up": 6 * SECOND_NS,
                "worth": 10.0,
                "late-worth": 0.25,
                "group": "cell",
                "window": 4 * SECOND_NS,
            },
        ],
        "caps": {
            "most-tries": 3,
            "cancel": True,
            "may-duplicate": True,
            "connect-timeout": SECOND_NS // 10,
            "conn-idle": 5 * SECOND_NS,
            "max-streams": 1,
            "max-open": 20_000,
            "probes": False,
            "peers": False,
            "retry-after": True,
            "max-retry-after": 2 * SECOND_NS,
        },
        "rules": {
            "drain-grace": 2 * SECOND_NS,
            "cold-share": 0.32,
            "warm-up": 8_300_000_000,
            "fall-multiple": 4.0,
            "overload-for": 2 * SECOND_NS,
            "grace-to-answer": 16_000_000,
        },
        "report": {"via": "silent"},
        **changes,
    }


@dataclass(slots=True)
class Node:
    """A node: the process that the `run` line of the deploy file starts, with its configuration.

    Attributes
    ----------
    folder
        Temporary folder, for the configuration, the log and the process's own $TMPDIR.
    memory_mb, sockets
        The limits in its configuration.
    address
        Where clients connect.
    """

    folder: Path
    record: Record
    discovery: Discovery
    memory_mb: int = 128
    sockets: int = 512
    changes: dict[str, Any] = field(default_factory=dict)
    address: tuple[str, int] = ("127.0.0.1", 0)
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until `GET /health/ready` answers 200."""
        self.address = ("127.0.0.1", free_port())
        scratch = self.folder / "scratch"
        scratch.mkdir()
        config = self.folder / "config.json"
        config.write_text(json.dumps(self._config()), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = {"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8", "TMPDIR": str(scratch)}
        with (self.folder / "node.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=ROOT,
                env={
                    **environment,
                    "BALANCER_NAME": "n0",
                    "BALANCER_LISTEN": _text(self.address),
                    "BALANCER_DISCOVERY": _text(("127.0.0.1", self.discovery.port)),
                    "BALANCER_CONFIG": str(config),
                },
                stdout=log,
                stderr=log,
            )
        await self._wait_until_ready()
        self.record(f"node: ready, pid={self.process.pid} memory={self.memory_mb} MB sockets={self.sockets}")

    def _config(self) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": _text(self.address),
            "discovery": _text(("127.0.0.1", self.discovery.port)),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "settings": settings(**self.changes),
        }

    async def _wait_until_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if self.has_ended():
                raise CannotRunError("the node has ended before it was ready")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self.is_ready():
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"the node is not ready within {READY_TIMEOUT_S:.0f} s")

    async def is_ready(self) -> bool:
        """Whether `GET /health/ready` answers 200."""
        reader, writer = await open_connection(self.address)
        try:
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
            head, _ = await read_response(reader)
            return head.status == 200
        finally:
            writer.close()

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    def memory_used_mb(self) -> float:
        """The resident memory of the process (MB); 0 once it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        return next((int(line.split()[1]) / 1024 for line in status.splitlines() if "VmRSS" in line), 0.0)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.record(f"node: {number.name}")
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@contextlib.asynccontextmanager
async def serving(node: Node, servers: Iterable[Server]) -> AsyncIterator[None]:
    """Run a node with its servers and discovery, and end it afterwards."""
    await node.discovery.start()
    for server in servers:
        await server.start()
        await node.discovery.put(**server.entry())
    try:
        await node.start()
        yield
    finally:
        await node.stop()


Case = Callable[[Record, Path], Awaitable[Iterable[str]]]


def run_case(case: Case, folder: Path, time_limit_s: float = 110.0) -> None:
    """Play a case and exit with its result.

    Parameters
    ----------
    case
        Plays the case, given the record and a temporary folder, and returns what broke the rule.
    folder
        Folder of the case, for `record.txt`.
    """
    record = Record(folder / "record.txt")
    record(f"trouble={'yes' if is_disturbed() else 'no'}")

    # Ended from outside, the case still ends the processes that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    async def play() -> list[str]:
        async with asyncio.timeout(time_limit_s):
            with tempfile.TemporaryDirectory(prefix="review-") as scratch:
                return list(await case(record, Path(scratch)))

    try:
        breaks = asyncio.run(play())
    except Exception as error:  # a fault of the case itself must not pass for a broken rule
        record(f"result: could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    for text in breaks:
        record(f"broken: {text}")
        print(f"broken: {text}")
    record(f"result: {'the rule was broken' if breaks else 'the rule held'}")
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(BROKEN if breaks else HELD)
