"""Parts that the cases of the second review share: the node as a process, the platform, and what is recorded.

The stand-ins use the standard library only. A case starts the node with the `run` line of the deploy file, on
loopback addresses, and plays clients, servers and discovery itself.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
END_OF_HEAD = b"\r\n\r\n"

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit status of a case: the rule held, it was broken, or the case could not run."""

# The classes of the settings: harmless to repeat, unsafe, and keyed.
VIEW, SEND, BOOK = "view-schedule", "send-callout", "book-venue"

READY_LIMIT_S = 30.0
STOP_LIMIT_S = 8.0
LOOP_CHECK_INTERVAL_S = 0.01
MAX_LOOP_LATENESS_S = 0.25
"""A stand-in that was held up for longer than this does not show what the node did when."""

_INDEX = re.compile(rb"[?&]index=(\d+)")
_WAIT_MS = re.compile(rb"[?&]wait=(\d+)")


_nodes: list[Node] = []  # all nodes of the case, none of which outlives it


class CaseError(Exception):
    """The case could not run, for a reason that is not the node's."""


def trouble_wanted() -> bool:
    """Whether the case is played with its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in `record.txt` of the folder of a case.

    Parameters
    ----------
    folder
        Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the time (s) since the start of the case."""
        return time.monotonic() - self.started_at

    def add(self, text: str) -> None:
        """Write one line, with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])


# The configuration of a node


def request_class(name: str, effect: str, wanted_ms: int, give_up_ms: int, worth: float) -> dict[str, Any]:
    """Return the settings of a class; a keyed one is deduplicated within a cell for 4 s."""
    return {
        "name": name,
        "effect": effect,
        "slo": wanted_ms * MS,
        "give-up": give_up_ms * MS,
        "worth": worth,
        "late-worth": 0.25,
        "group": "cell" if effect == "dedup" else "all",
        "window": 4 * SECOND,
        "streamed": False,
    }


def settings() -> dict[str, Any]:
    """Return settings like those of a small deployment."""
    return {
        "balancers": 1,
        "me": 0,
        "layer": 0,
        "tiers": ["web"],
        "zones": ["here"],
        "my-zone": 0,
        "kinds": ["std"],
        "weights": "nominal",
        "membership-mode": "automatic",
        "quantum": 4 * MS,
        "categories": [
            request_class(VIEW, "retryable", 200, 500, 3.0),
            request_class(SEND, "fragile", 1200, 5000, 2.0),
            request_class(BOOK, "dedup", 1500, 6000, 10.0),
        ],
        "tenants": [],
        "caps": {
            "most-tries": 3,
            "cancel": True,
            "may-duplicate": True,
            "max-open": 20000,
            "connect-timeout": 100 * MS,
            "conn-idle": 5 * SECOND,
            "max-streams": 1,
            "retry-after": True,
            "max-retry-after": 2 * SECOND,
            "probes": False,
            "peers": False,
        },
        "rules": {
            "drain-grace": 2 * SECOND,
            "grace-to-answer": 16 * MS,
            "cold-share": 0.32,
            "warm-up": 8300 * MS,
            "fall-multiple": 4.0,
            "overload-for": 2 * SECOND,
            "must-ask-in": 10 * SECOND,
        },
        "report": {"via": "silent", "fields": []},
    }


class Node:
    """The node, started as the deploy file says.

    Parameters
    ----------
    folder
        Folder for its configuration and log.
    record
        Record of the case.
    config
        Its configuration; the rest of the platform's fields are filled in.
    """

    def __init__(
        self, folder: Path, record: Record, config: dict[str, Any], process_name: str = "first"
    ) -> None:
        self.folder = folder
        self.record = record
        self.name = process_name
        self.config = {
            "name": "n0",
            "listen": free_address(),
            "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
            "settings": settings(),
            **config,
        }
        self.path = folder / f"{process_name}.json"
        self.log_path = folder / f"{process_name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        _nodes.append(self)

    @property
    def port(self) -> int:
        """Port for clients."""
        return port_of(self.config["listen"])

    @property
    def pid(self) -> int:
        """Process ID of the node."""
        assert self.process is not None
        return self.process.pid

    def write_config(self) -> None:
        """Write the file of the configuration anew."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(self.config))
        new_path.rename(self.path)

    async def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises
        ------
        CaseError
            It was not ready in time.
        """
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.write_config()
        scratch = self.folder / f"{self.config['name']}.scratch"
        scratch.mkdir(exist_ok=True)
        environ = {
            **os.environ,
            "BALANCER_CONFIG": str(self.path),
            "BALANCER_NAME": self.config["name"],
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(scratch),
        }
        environ.pop("HOLLYBAY_OPERATOR", None)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        limit = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < limit and self.process.poll() is None:
            if await self._is_ready():
                self.record.add(f"node {self.name} is ready, process {self.pid}")
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"the node was not ready: {self.log_path.read_text()[-2000:]}")

    async def _is_ready(self) -> bool:
        try:
            status, _ = await ask(self.port, b"GET /health/ready HTTP/1.1\r\nHost: node\r\n\r\n", 2.0)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200

    def has_crashed(self) -> bool:
        """Whether the process has ended by itself."""
        return self.process is not None and self.process.poll() is not None

    def memory_mb(self) -> float:
        """Return the memory (MiB) of the process, with its share of what others use; 0 if it has ended."""
        try:
            lines = Path(f"/proc/{self.pid}/smaps_rollup").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) for line in lines if line.startswith("Pss:")) / 1024

    def kill(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def stop(self) -> None:
        """End the process, if it runs."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()


# The platform


class Agent:
    """Discovery's agent on the node's machine: it answers at once, or at the next change."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = ""
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed_in: dict[str, int] = {}
        self._change = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._talk, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def put(self, server_id: str, address: str, state: str = "SERVING", **fields: Any) -> None:
        """Set the entry of a server and tell the node."""
        self.version += 1
        self.entries[server_id] = {
            "id": server_id,
            "addr": address,
            "zone": "here",
            "kind": "std",
            "cell": 1,
            "weight": 1.0,
            "started_ms": 0,
            **fields,
            "state": state,
        }
        self._changed_in[server_id] = self.version
        self._change.set()
        self._change = asyncio.Event()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(END_OF_HEAD)
                writer.write(ok(json.dumps(await self._listing(head)).encode()))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _listing(self, head: bytes) -> dict[str, Any]:
        index, wait = _INDEX.search(head), _WAIT_MS.search(head)
        if index is None or int(index[1]) > self.version:
            entries = [entry for entry in self.entries.values() if entry["state"] != "DELETED"]
            return {"version": self.version, "full": True, "servers": entries}
        since = int(index[1])
        if since >= self.version and wait is not None and int(wait[1]):
            change = self._change
            try:
                async with asyncio.timeout(int(wait[1]) / 1000):
                    await change.wait()
            except TimeoutError:
                pass
        entries = [entry for name, entry in self.entries.items() if self._changed_in[name] > since]
        return {"version": self.version, "full": False, "servers": entries}


# Messages


def ok(body: bytes) -> bytes:
    """Return a 200 response with a body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def request(
    class_name: str, request_id: str, time_left_ms: int, method: str = "", body: bytes = b"", path: str = ""
) -> bytes:
    """Return a request of a client, with the method and the key that its class has."""
    method = method or ("GET" if class_name == VIEW else "POST")
    lines = [
        f"{method} /{class_name}{path} HTTP/1.1",
        "Host: service.internal",
        f"X-Correlation-Id: {request_id}",
        f"X-Time-Left-Ms: {time_left_ms}",
    ]
    if class_name == BOOK:
        lines.append(f"Idempotency-Key: key-{request_id}")
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + END_OF_HEAD + body


def header(head: bytes, name: bytes) -> bytes:
    """Return the value of a header in a head; empty if there is none."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


async def read_request(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read a request with a Content-Length or without a body; return its head and body."""
    head = await reader.readuntil(END_OF_HEAD)
    return head, await reader.readexactly(int(header(head, b"content-length") or b"0"))


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read a response with a Content-Length; return its status and body."""
    head = await reader.readuntil(END_OF_HEAD)
    body = await reader.readexactly(int(header(head, b"content-length") or b"0"))
    return int(head.split(b" ", 2)[1]), body


async def ask(port: int, data: bytes, limit_s: float) -> tuple[int, bytes]:
    """Send a request on a new connection; return the status and body of its response.

    Raises
    ------
    OSError, asyncio.IncompleteReadError, TimeoutError
        There was no whole response.
    """
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(data)
            return await read_response(reader)
        finally:
            writer.close()


class LoopWatch:
    """The longest time for which the event loop of the stand-ins was held up."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        self._task = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(LOOP_CHECK_INTERVAL_S)
            self.worst_s = max(self.worst_s, time.monotonic() - started_at - LOOP_CHECK_INTERVAL_S)

    def check(self) -> None:
        """Raise CaseError if the stand-ins were held up for too long."""
        if self.worst_s > MAX_LOOP_LATENESS_S:
            raise CaseError(f"the stand-ins were held up for {self.worst_s:.2f} s")


def run_case(file: str, play: Callable[[Record, Path], Awaitable[bool]], limit_s: float = 110.0) -> int:
    """Play a case and return its exit status; the status and the reason are the last line of the record.

    Parameters
    ----------
    file
        `__file__` of the case.
    play
        Plays the case with its record and a temporary folder; returns whether the rule held.
    limit_s
        Time limit (s).
    """
    record = Record(Path(file).resolve().parent)
    record.add(f"trouble: {'yes' if trouble_wanted() else 'no'}")
    status, reason = NOT_RUN, ""

    async def timed() -> bool:
        async with asyncio.timeout(limit_s):
            return await play(record, Path(folder))

    with tempfile.TemporaryDirectory() as folder:
        try:
            status = HELD if asyncio.run(timed()) else BROKEN
        except Exception as error:  # whatever it is, it says nothing of the rule
            reason = f": {type(error).__name__} {error}"
        finally:
            for node in _nodes:
                node.kill()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[
        status
    ]
    record.add(verdict + reason)
    print(verdict + reason, file=sys.stderr)
    record.close()
    return status
