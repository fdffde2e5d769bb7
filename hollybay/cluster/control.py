"""Calls between the rig and its processes: lines of JSON over a Unix socket in the run's own folder."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["CallFailed", "Far", "Hub", "answer_calls", "happens"]

LIMIT = 60.0  # seconds that a call may take
MOST_LINE = 8 << 20

Handler = Callable[[dict[str, Any]], Awaitable[Any]]


async def happens(changed: asyncio.Event, holds: Callable[[], bool], limit: float) -> None:
    """Wait for a state of affairs, looked at with each event; TimeoutError after so many seconds."""
    async with asyncio.timeout(limit):
        while not holds():
            changed.clear()
            await changed.wait()


class CallFailed(Exception):
    """A process of the rig could not do what it was asked, or is gone."""


class Far:
    """A process at the other end: calls to it, and what it tells by itself."""

    def __init__(self, hub: Hub, hello: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        self.hub = hub
        self.hello = hello
        self.name = str(hello["name"])
        self.writer = writer
        self.open: dict[int, asyncio.Future[Any]] = {}
        self.count = 0
        self.gone = False

    def tell(self, do: str, **words: Any) -> None:
        """Say something that needs no answer."""
        if not self.gone:
            self.writer.write(msgspec.json.encode({"do": do, **words}) + b"\n")

    async def call(self, do: str, limit: float = LIMIT, **words: Any) -> Any:
        """Ask, and wait for the answer. CallFailed: it could not, is gone, or took longer than limit (s)."""
        if self.gone:
            raise CallFailed(f"{self.name} is gone")
        self.count += 1
        number = self.count
        answer = self.open[number] = asyncio.get_running_loop().create_future()
        self.tell(do, id=number, **words)
        try:
            async with asyncio.timeout(limit):
                return await answer
        except TimeoutError:
            raise CallFailed(f"{self.name} did not answer {do!r} within {limit:g} s") from None
        finally:
            self.open.pop(number, None)

    def heard(self, message: dict[str, Any]) -> None:
        """A line has come."""
        if "re" not in message:
            self.hub.told(self, message)
            return
        answer = self.open.get(message["re"])
        if answer is None or answer.done():
            return
        if "error" in message:
            answer.set_exception(CallFailed(f"{self.name}: {message['error']}"))
        else:
            answer.set_result(message.get("value"))

    def ended(self) -> None:
        """Its connection has ended."""
        self.gone = True
        for answer in self.open.values():
            if not answer.done():
                answer.set_exception(CallFailed(f"{self.name} is gone"))


class Hub:
    """The rig's end: processes say hello here, each with its name."""

    def __init__(self, path: Path, told: Callable[[Far, dict[str, Any]], None]) -> None:
        self.path = path
        self.told = told
        self.known: dict[str, Far] = {}
        self.changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_unix_server(
            self._talk, str(self.path), limit=MOST_LINE, backlog=1024
        )

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        far: Far | None = None
        try:
            while line := await reader.readline():
                message = msgspec.json.decode(line)
                if far is None:
                    far = self.known[str(message["name"])] = Far(self, message, writer)
                    self.note()
                else:
                    far.heard(message)
        except (OSError, ValueError):  # a process that was killed while it wrote
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
            if far is not None:
                far.ended()
                if self.known.get(far.name) is far:
                    del self.known[far.name]
                self.note()

    def note(self) -> None:
        """Something has changed that until() may wait for."""
        self.changed.set()

    async def until(self, holds: Callable[[], bool], limit: float, what: str) -> None:
        """Wait for a state of affairs; CallFailed after so many seconds."""
        try:
            await happens(self.changed, holds, limit)
        except TimeoutError:
            raise CallFailed(f"waited {limit:g} s for {what}") from None

    async def stop(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def answer_calls(path: Path, hello: dict[str, Any], handle: Handler, teller: list[Any]) -> None:
    """A process's end: say hello, answer calls until the rig closes the connection.

    teller gets one function, by which the process tells something by itself.
    """
    reader, writer = await asyncio.open_unix_connection(str(path), limit=MOST_LINE)

    def tell(message: dict[str, Any]) -> None:
        if not writer.is_closing():
            writer.write(msgspec.json.encode(message) + b"\n")

    teller.append(tell)
    tell(hello)
    tasks: set[asyncio.Task[None]] = set()

    async def one(message: dict[str, Any]) -> None:
        try:
            value = await handle(message)
        except Exception as error:  # told to the rig, which ends the run
            if "id" in message:
                tell({"re": message["id"], "error": f"{type(error).__name__}: {error}"})
            return
        if "id" in message:
            tell({"re": message["id"], "value": value})

    with contextlib.suppress(OSError):
        while line := await reader.readline():
            task = asyncio.get_running_loop().create_task(one(msgspec.json.decode(line)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    for task in list(tasks):
        task.cancel()
    writer.close()
