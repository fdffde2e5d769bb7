"""Clients that arrive whatever becomes of those before them, and note every try and answer in the ledger."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import cast

from hollybay.balancing import interface as api
from hollybay.units import MS, SECOND

from .fleet import body_for
from .ledger import Asked, Final, Ledger

__all__ = ["Call", "Callers", "Line", "Mix", "starved"]

_SINCE_LAST = slice(52, 56)  # of struct tcp_info: ms since the last bytes came


@dataclass(frozen=True, slots=True)
class Mix:
    """One kind of request: its class, its target and share, and the tenants that send it."""

    cls: int
    target: bytes
    share: float = 1.0
    tenants: Sequence[str] = ("",)
    headers: tuple[tuple[bytes, bytes], ...] = ()


def starved() -> int:
    """How long (ns) threads of this process were ready to run and had no core, all together since its start.

    A busy machine, that is: a loop that is held up by what runs on it, or a thread that waits for another,
    counts nothing here. 0 where the kernel does not tell.
    """
    total = 0
    for path in Path("/proc/self/task").glob("*/schedstat"):
        try:
            total += int(path.read_text().split()[1])
        except (OSError, IndexError, ValueError):  # it has ended meanwhile
            continue
    return total


@dataclass(slots=True)
class Call:
    """One request on its way."""

    entry: Asked
    mix: Mix
    data: bytes  # with %d where it tells how long its client will wait
    repeat: bool
    starved: int  # of starved(), when it was sent
    fresh: bool = True  # on a connection opened for it
    timer: asyncio.TimerHandle | None = None

    def left(self) -> int:
        """How long (ms) its client will wait yet."""
        return max(0, -(-(self.entry.deadline - time.monotonic_ns()) // MS))


class Line(asyncio.Protocol):
    """One client connection; it carries one request at a time."""

    def __init__(self, callers: Callers, call: Call, port: int) -> None:
        self.callers = callers
        self.call: Call | None = call
        self.port = port
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.callers.lines.add(self)
        assert self.call is not None
        if self.call.left():
            self.send(self.call)
        else:  # its time was up while the connection was opened
            self.transport.abort()

    def send(self, call: Call) -> None:
        assert self.transport is not None
        self.call = call
        self.buffer = b""
        self.callers.posted(call, self.port)
        self.transport.write(call.data % call.left())

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.lines.discard(self)
        self.callers.forget(self)
        call, self.call = self.call, None
        if call is not None:
            self.callers.broke(call, self.buffer)

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        call = self.call
        if call is None:
            return
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self.buffer[:end].lower()
        length = 0
        keep = True
        after: float | None = None
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name == b"content-length":
                length = int(value)
            elif name == b"connection" and value.strip() == b"close":
                keep = False
            elif name == b"retry-after":
                after = float(value)
        body = self.buffer[end + 4 :]
        if len(body) < length:
            return
        self.call = None
        self.buffer = b""
        self.callers.whole(self, call, int(head.split(b" ", 2)[1]), body, after, keep)

    def waited(self) -> int:
        """How long (ns) the last bytes lay here unread: the stand-in's own lateness, no fault of the node."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None:
            return 0
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SINCE_LAST.stop)
        return max(0, int.from_bytes(info[_SINCE_LAST], sys.byteorder) - 4) * MS


@dataclass
class Callers:
    """An open stream of requests to one or several nodes.

    rate: requests a second; patience: the part of a class's deadline that a client waits; retries: the share
    of refused requests that come again once, under a new id and after Retry-After (or `pause` seconds).
    """

    ledger: Ledger
    ports: Sequence[int]
    mixes: Sequence[Mix]
    rate: float
    seed: int = 1
    retries: float = 0.0
    pause: float = 0.2
    prefix: str = "r"
    lines: set[Line] = field(default_factory=set)
    idle: dict[int, list[Line]] = field(default_factory=dict)
    out: int = 0
    sent: int = 0
    late: float = 0.0  # the most that an arrival came after its time, seconds

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.loop = asyncio.get_running_loop()
        self.quiet = asyncio.Event()
        self.quiet.set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send for so long, in a Poisson stream, then wait for the last answer."""
        began = self.loop.time()
        due = began
        while due - began < seconds:
            due += self.random.expovariate(self.rate)
            delay = due - self.loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self.late = max(self.late, self.loop.time() - due)
            self.ask(self._draw())
        await self.quiet.wait()

    def _draw(self) -> Mix:
        return self.random.choices(self.mixes, [mix.share for mix in self.mixes])[0]

    def ask(self, mix: Mix, repeat: bool = False) -> Asked:
        """Send one request now; its entry in the ledger."""
        self.sent += 1
        rid = f"{self.prefix}-{self.seed}-{self.sent}"
        cls = self.ledger.limits.classes[mix.cls]
        tenant = self.random.choice(mix.tenants)
        lines = [
            b"%s %s HTTP/1.1" % (b"GET" if cls.effect == api.Effect.SAFE else b"POST", mix.target),
            b"Host: service.internal",
            b"X-Correlation-Id: " + rid.encode(),
            *(b"%s: %s" % pair for pair in mix.headers),
        ]
        if tenant:
            lines.append(b"X-Account: " + tenant.encode())
        if repeat:
            lines.append(b"X-Repeat: 1")
        if cls.effect == api.Effect.KEYED:
            lines.append(b"Idempotency-Key: " + rid.encode())
        if cls.effect != api.Effect.SAFE:
            lines.append(b"Content-Length: 2")
        body = b"" if cls.effect == api.Effect.SAFE else b"{}"
        lines.append(b"X-Time-Left-Ms: ")
        data = b"\r\n".join(lines).replace(b"%", b"%%") + b"%d\r\n\r\n" + body
        now = time.monotonic_ns()
        entry = self.ledger.asked(rid, mix.cls, now, now + cls.deadline, tenant)
        call = Call(entry, mix, data, repeat, starved())
        self.out += 1
        self.quiet.clear()
        wait = (cls.deadline + self.ledger.limits.patience) / SECOND
        call.timer = self.loop.call_later(wait, self._silent, call)
        self._send(call, self.random.choice(self.ports))
        return entry

    def _send(self, call: Call, port: int) -> None:
        idle = self.idle.setdefault(port, [])
        while idle:
            line = idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                call.fresh = False
                line.send(call)
                return
        self._open_anew(call, port)

    async def _open(self, call: Call, port: int) -> None:
        try:
            await self.loop.create_connection(lambda: Line(self, call, port), "127.0.0.1", port)
        except OSError:
            self._end(call, Final.BROKEN)

    def forget(self, line: Line) -> None:
        """A connection is gone."""
        if line in self.idle.get(line.port, ()):
            self.idle[line.port].remove(line)

    def posted(self, call: Call, port: int) -> None:
        """A request's bytes go to a node. For those who keep books of it."""

    def whole(
        self, line: Line, call: Call, status: int, body: bytes, after: float | None, keep: bool
    ) -> None:
        """An answer has come whole."""
        now = time.monotonic_ns()
        at = now - line.waited()
        if at > call.entry.deadline:
            # What this process waited for a core is not the node's lateness, which may live in it.
            at = min(at, now - (starved() - call.starved))
        if keep:
            self.idle.setdefault(line.port, []).append(line)
        elif line.transport is not None:
            line.transport.close()
        final = Final.FAILED
        if status == 200:
            sound = any(body == body_for(call.entry.id, name) for name in self.ledger.starts)
            final = Final.SERVED if sound else Final.WRONG
        elif status in (429, 503):
            final = Final.REFUSED
        self._end(call, final, at, status, after)
        if final is Final.REFUSED and not call.repeat and self.random.random() < self.retries:
            self.loop.call_later(self.pause if after is None else after, self.ask, call.mix, True)

    def broke(self, call: Call, part: bytes) -> None:
        """The connection ended. One that the node closed between requests may have crossed this one."""
        if not call.fresh and not part and not call.entry.arrived:
            self._open_anew(call, self.random.choice(self.ports))
            return
        self._end(call, Final.BROKEN)

    def _open_anew(self, call: Call, port: int) -> None:
        if not call.left():  # nobody would wait for the answer
            self._end(call, Final.BROKEN)
            return
        call.fresh = True
        task = self.loop.create_task(self._open(call, port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _silent(self, call: Call) -> None:
        for line in [line for line in self.lines if line.call is call]:
            line.call = None
            if line.transport is not None:
                line.transport.abort()
        self._end(call, Final.SILENT)

    def _end(
        self, call: Call, final: Final, at: int = 0, status: int = 0, after: float | None = None
    ) -> None:
        if call.timer is None:
            if final in (Final.SERVED, Final.REFUSED, Final.FAILED, Final.WRONG):
                self.ledger.answered(call.entry.id, final, at or time.monotonic_ns(), status, after)
            return
        call.timer.cancel()
        call.timer = None
        self.ledger.answered(call.entry.id, final, at or time.monotonic_ns(), status, after)
        self.out -= 1
        if not self.out:
            self.quiet.set()

    def close(self) -> None:
        """End all connections."""
        for task in list(self._tasks):
            task.cancel()
        for line in list(self.lines):
            if line.transport is not None:
                line.transport.abort()
