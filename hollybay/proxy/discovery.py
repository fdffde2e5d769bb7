"""The list of servers: a watch that goes on, whole answers only."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

import h11

from .config import SECOND, Listing, Names
from .http_messages import MAX_HEAD, READ_SIZE

if TYPE_CHECKING:
    from .exchange import Node

log = logging.getLogger("elderscale")

LIST = "/registry/instances"
# How long one watch may wait, in milliseconds. Short, as a watch that has fallen silent shows only by its
# being overdue, and what it misses counts as told 6 s after it fell silent: further silences fit in. Where
# discovery is one service for all nodes, each call is work for it, and what a silent watch misses counts as
# told 2 s after its wait.
WATCH_MS = 1_000
WATCH_ASKED_MS = 10_000
# An answer that waits for nothing takes no longer than this (a discovery that is asked lets none wait for
# over 2 s), and an overdue one no longer beyond its wait.
CALL_LIMIT = 2.2
OVERDUE, OVERDUE_ASKED = 0.6, 0.7
# Where lists are pushed an agent answers at once, and what it has counts as told, a call being out or not.
# After a failure it is asked again after this part of the drain grace, within bounds (s), and so on until it
# answers: an outage may end in the middle of a call that it never answers.
QUICK_PART, QUICK_LEAST, QUICK_MOST = 0.25, 0.1, 0.5
# Pause after an answer that came before its wait was over and brought nothing: a discovery that does not wait
# would else be asked as fast as it answers. A watch goes on if the next call comes within 200 ms.
NOTHING_NEW_PAUSE = 0.05
# A list takes about 150 bytes a server, and many times that while it is read.
MAX_LIST = 2 << 20


class CallFailed(Exception):
    """A call brought no whole, sound list."""


class CallOverdue(CallFailed):
    """It brought nothing in time."""


class Discovery:
    """Keeps the node's list fresh: by itself where lists are pushed, else as the module asks."""

    def __init__(self, address: tuple[str, int], names: Names, node: Node, asked: bool, version: int) -> None:
        self.address = address
        self.names = names
        self.node = node
        self.asked = asked
        self.version = version
        self.heard = asyncio.Event()
        self.fresh = asyncio.Event()  # heard from discovery itself, by this process
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._watching: asyncio.Task[None] | None = None
        self._tasks: dict[asyncio.Task[None], None] = {}

    def start(self) -> None:
        """Begin. Where the module must ask, it will, once it has a list from before; without one it hears of
        none, and the first call is made for it."""
        if not self.asked:
            self._watching = self._spawn(self._follow())
        elif self.version < 0:
            self._watching = self._spawn(self._subscribe())

    def watch(self, active: bool) -> None:
        """The module subscribes, or no longer."""
        if not self.asked:
            return
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None
        if active:
            self._watching = self._spawn(self._subscribe())

    def fetch(self) -> None:
        """The module asks for the whole list once."""
        self._spawn(self._fetch())

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address, as of now.

        A new configuration may name another discovery while the old one is about to close its connections.
        The whole list is asked for at once: versions of two services need not count alike, and what changed
        between the last answer of the one and the first of the other must not be missed. The list that is
        held stays in force until then. It would do harm only if an address were told that never answers:
        the list would then grow old, as it does whenever discovery is down.
        """
        if address == self.address:
            return
        self.address = address
        self.version = -1
        streams, self._streams = self._streams, None
        if streams is not None:
            streams[1].transport.abort()
        if self._watching is None:
            return
        self._watching.cancel()
        self._watching = self._spawn(self._subscribe() if self.asked else self._follow())

    async def close(self) -> None:
        """Stop all calls."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda task: self._tasks.pop(task, None))
        return task

    async def _follow(self) -> None:
        """Watch for ever. The list that is held stays in force while calls fail."""
        loop = asyncio.get_running_loop()
        while True:
            version, began = self.version, loop.time()
            # A new process holds a list from before: whether it is old is to be known before clients come.
            wait = WATCH_MS if version >= 0 and self.fresh.is_set() else 0
            try:
                await self._call(self._path(wait), wait / 1000 + OVERDUE)
            except CallFailed as error:
                log.info("discovery: %s", error)
                await asyncio.sleep(NOTHING_NEW_PAUSE)
                await self._reach()
                continue
            if self.version == version and loop.time() - began < WATCH_MS / 2000:
                await asyncio.sleep(NOTHING_NEW_PAUSE)

    async def _reach(self) -> None:
        """Call until an answer comes, two at a time: one call has time, others come quickly in a row.
        An agent that is slow answers the one, and one that is back the next of the others."""
        quick = self.node.settings.drain_grace / SECOND * QUICK_PART
        quick = max(QUICK_LEAST, min(quick, QUICK_MOST))
        calls = [asyncio.ensure_future(self._insist(limit, quick / 2)) for limit in (quick, CALL_LIMIT)]
        try:
            await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def _insist(self, limit: float, pause: float) -> None:
        while True:
            try:
                await self._call(self._path(0), limit, shared=False)
                return
            except CallFailed as error:
                log.debug("discovery: %s", error)
                await asyncio.sleep(pause)

    async def _subscribe(self) -> None:
        """Watch until a call fails, which the module is told: it decides when to ask again."""
        # The first call answers what the module waits for, so it does not wait itself.
        wait = 0
        try:
            while True:
                try:
                    limit = wait / 1000 + OVERDUE_ASKED if wait else CALL_LIMIT
                    await self._call(self._path(wait), limit)
                    wait = WATCH_ASKED_MS if self.version >= 0 else 0
                except CallOverdue as error:
                    # Silent: of all nodes this one alone is known to need another, and at once.
                    if not wait:
                        raise
                    log.info("discovery: %s", error)
                    wait = 0
        except CallFailed as error:
            log.info("discovery: %s", error)
            self.node.asking_failed()

    async def _fetch(self) -> None:
        try:
            await self._call(LIST, CALL_LIMIT, shared=False)
        except CallFailed as error:
            log.info("discovery: %s", error)
            self.node.asking_failed()

    def _path(self, wait: int) -> str:
        """Of a call that waits so long (ms) for news; of the whole list where none is held."""
        return f"{LIST}?index={self.version}&wait={wait}" if self.version >= 0 else LIST

    async def _call(self, path: str, limit: float, shared: bool = True) -> None:
        """One call; its list goes to the node, whole or not at all."""
        streams = self._streams if shared else None
        if shared:
            self._streams = None
        address, held = self.address, self.version
        try:
            try:
                async with asyncio.timeout(limit):
                    if streams is None or streams[0].at_eof() or streams[1].is_closing():
                        if streams is not None:
                            streams[1].close()
                        streams = await asyncio.open_connection(*address, limit=READ_SIZE)
                    body, kept = await _get(streams, address[0], path)
                listing = self.names.listing(json.loads(body))
            except TimeoutError:
                raise CallOverdue(f"{path}: no answer within {limit:.1f} s") from None
            except Exception as error:
                # Whatever discovery says wrong, in framing, JSON or content, fails this call and no more: the
                # watch goes on, the list that is held stays. It could hide a fault of ours, hence the log.
                raise CallFailed(f"{path}: {type(error).__name__} {error}") from None
            if address != self.address:
                raise CallFailed(f"{path}: an answer of the discovery that was left")
            self._take(listing, held)
            if kept and shared:
                self._streams, streams = streams, None
        finally:
            if streams is not None:
                streams[1].transport.abort()

    def _take(self, listing: Listing, held: int) -> None:
        """held: the version that the call began with."""
        version = listing.servers.version
        if version < self.version and self.version != held:
            return  # another call was quicker, and what it brought is newer
        # Fewer than were held: a discovery that counts anew. It would let a watch of the old number wait for
        # news that it has long had, so the whole list is asked for next.
        self.version = version if listing.servers.kind or version >= held else -1
        self.heard.set()
        self.fresh.set()
        if listing.servers.servers or listing.servers.kind or self.asked:
            self.node.listing(listing)


async def _get(
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], host: str, path: str
) -> tuple[bytes, bool]:
    """The body of a 200 answer, and whether the connection can be used again."""
    reader, writer = streams
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD)
    writer.write(http.send(h11.Request(method="GET", target=path, headers=[("Host", host)])) or b"")
    http.send(h11.EndOfMessage())
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_SIZE))
        elif isinstance(event, h11.Response):
            if event.status_code != 200:
                raise ValueError(f"status {event.status_code}")
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_LIST:
                raise ValueError("the list is too long")
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body), http.their_state is h11.DONE and not http.trailing_data[0]
        elif not isinstance(event, h11.InformationalResponse):
            raise ValueError("the connection ended")
