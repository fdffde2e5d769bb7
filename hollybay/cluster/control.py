"""Calls between the harness and its processes: lines of JSON over a Unix socket in the folder of the run."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["ControlCallError", "ControlServer", "RemoteProcess", "serve_calls", "wait_until"]

LIMIT = 60.0  # time-out of a call, seconds
MAX_LINE_BYTES = 8 << 20

Handler = Callable[[dict[str, Any]], Awaitable[Any]]


async def wait_until(changed: asyncio.Event, condition: Callable[[], bool], limit: float) -> None:
    """Wait until a condition holds, evaluating it after each event; TimeoutError after limit seconds."""
    async with asyncio.timeout(limit):
        while not condition():
            changed.clear()
            await changed.wait()


class ControlCallError(Exception):
    """A call to a process of the run failed, or the process has exited."""


class RemoteProcess:
    """A connected process: calls to it, and the messages that it sends unprompted."""

    def __init__(self, server: ControlServer, hello: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.hello = hello
        self.name = str(hello["name"])
        self.writer = writer
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.last_id = 0
        self.closed = False

    def send(self, do: str, **fields: Any) -> None:
        """Send a message that needs no reply."""
        if not self.closed:
            self.writer.write(msgspec.json.encode({"do": do, **fields}) + b"\n")

    async def call(self, do: str, limit: float = LIMIT, **fields: Any) -> Any:
        """Call and wait for the reply. ControlCallError: it failed, exited, or took longer than limit (s)."""
        if self.closed:
            raise ControlCallError(f"{self.name} has exited")
        self.last_id += 1
        number = self.last_id
        reply = self.pending[number] = asyncio.get_running_loop().create_future()
        self.send(do, id=number, **fields)
        try:
            async with asyncio.timeout(limit):
                return await reply
        except TimeoutError:
            raise ControlCallError(f"{self.name} did not reply to {do!r} within {limit:g} s") from None
        finally:
            self.pending.pop(number, None)

    def handle_message(self, message: dict[str, Any]) -> None:
        """Handle one message from the process."""
        if "re" not in message:
            self.server.on_message(self, message)
            return
        reply = self.pending.get(message["re"])
        if reply is None or reply.done():
            return
        if "error" in message:
            reply.set_exception(ControlCallError(f"{self.name}: {message['error']}"))
        else:
            reply.set_result(message.get("value"))

    def on_disconnect(self) -> None:
        """Fail all pending calls: the connection has closed."""
        self.closed = True
        for reply in self.pending.values():
            if not reply.done():
                reply.set_exception(ControlCallError(f"{self.name} has exited"))


class ControlServer:
    """The harness's end: processes connect here and register by name."""

    def __init__(self, path: Path, on_message: Callable[[RemoteProcess, dict[str, Any]], None]) -> None:
        self.path = path
        self.on_message = on_message
        self.processes: dict[str, RemoteProcess] = {}
        self.changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_unix_server(
            self._handle_connection, str(self.path), limit=MAX_LINE_BYTES, backlog=1024
        )

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        process: RemoteProcess | None = None
        try:
            while line := await reader.readline():
                message = msgspec.json.decode(line)
                if process is None:
                    process = self.processes[str(message["name"])] = RemoteProcess(self, message, writer)
                    self.notify()
                else:
                    process.handle_message(message)
        except (OSError, ValueError):  # the process was killed while writing
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
            if process is not None:
                process.on_disconnect()
                if self.processes.get(process.name) is process:
                    del self.processes[process.name]
                self.notify()

    def notify(self) -> None:
        """Wake wait_for(), whose condition may have changed."""
        self.changed.set()

    async def wait_for(self, condition: Callable[[], bool], limit: float, what: str) -> None:
        """Wait until a condition holds; ControlCallError after limit seconds."""
        try:
            await wait_until(self.changed, condition, limit)
        except TimeoutError:
            raise ControlCallError(f"timed out after {limit:g} s waiting for {what}") from None

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def serve_calls(path: Path, hello: dict[str, Any], handle: Handler, senders: list[Any]) -> None:
    """The process's end: register, then serve calls until the harness closes the connection.

    senders receives one function, with which the process sends messages unprompted.
    """
    reader, writer = await asyncio.open_unix_connection(str(path), limit=MAX_LINE_BYTES)

    def send(message: dict[str, Any]) -> None:
        if not writer.is_closing():
            writer.write(msgspec.json.encode(message) + b"\n")

    senders.append(send)
    send(hello)
    tasks: set[asyncio.Task[None]] = set()

    async def handle_call(message: dict[str, Any]) -> None:
        try:
            value = await handle(message)
        except Exception as error:  # reported to the harness, which ends the run
            if "id" in message:
                send({"re": message["id"], "error": f"{type(error).__name__}: {error}"})
            return
        if "id" in message:
            send({"re": message["id"], "value": value})

    with contextlib.suppress(OSError):
        while line := await reader.readline():
            task = asyncio.get_running_loop().create_task(handle_call(msgspec.json.decode(line)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    for task in list(tasks):
        task.cancel()
    writer.close()
