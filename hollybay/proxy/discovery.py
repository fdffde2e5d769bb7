"""Client of the discovery service: keeps the server list of the node up to date by long polling.

A request either returns a complete, valid list or has no effect.

The settings select one of two modes. If an agent pushes lists, the client watches continuously. If one
service serves all nodes, the client watches and fetches at the request of the balancer (on demand), which
spreads the requests of all nodes over time.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Coroutine
from typing import Any

from hollybay.units import SECOND

from .addresses import Address
from .discovery_connection import DiscoveryConnection
from .discovery_list import DiscoveryUpdate, parse_discovery_list
from .name_table import NameTable
from .request_dispatcher import RequestDispatcher

__all__ = ["DiscoveryClient", "DiscoveryError", "DiscoveryTimeoutError"]

log = logging.getLogger("hollybay.proxy")

LIST_PATH = "/registry/instances"
NO_VERSION = -1  # the node has no list, or none whose version the service can continue from
# How long one watch request (long poll) waits for a change. The loss of a response is noticed only after this
# time, hence the short wait; on demand, the wait is longer as each request is work for a shared service.
WATCH_WAIT_MS = 1_000
ON_DEMAND_WATCH_WAIT_MS = 10_000
# Timeout of a request that does not wait for a change, and of a watch request in addition to its wait.
REQUEST_TIMEOUT_S = 2.2
WATCH_OVERDUE_S = 0.6
ON_DEMAND_WATCH_OVERDUE_S = 0.7
# After a failed watch, an agent is also polled with a short timeout, which is this fraction of the drain
# grace within the bounds. An outage may end while a request is pending that will never get a response.
QUICK_TIMEOUT_GRACE_FRACTION = 0.25
MIN_QUICK_TIMEOUT_S = 0.1
MAX_QUICK_TIMEOUT_S = 0.5
# Pause after a failure, and after an early response without a change: a service that does not wait would
# otherwise be polled in a busy loop. Discovery counts a watch as continuous if the next request follows
# within 200 ms.
NO_CHANGE_PAUSE_S = 0.05


class DiscoveryError(Exception):
    """A request to discovery did not return a complete, valid list."""


class DiscoveryTimeoutError(DiscoveryError):
    """A request to discovery got no response in time."""


class DiscoveryClient:
    """Keeps the server list of a node up to date.

    Parameters
    ----------
    address
        Address of the discovery service.
    names
        Table of the names in lists.
    dispatcher
        Receives the updates, and in on-demand mode is notified of failed requests.
    on_demand
        Whether the balancer decides when to watch and fetch.
    version
        Version of the list that the node has already; `NO_VERSION` if it has none.

    Attributes
    ----------
    list_available
        Set once the node has a list, from discovery or from its configuration.
    answered
        Set once this process has received a list from discovery.
    """

    def __init__(
        self, address: Address, names: NameTable, dispatcher: RequestDispatcher, on_demand: bool, version: int
    ) -> None:
        self.address = address
        self.names = names
        self.dispatcher = dispatcher
        self.on_demand = on_demand
        self.version = version
        self.list_available = asyncio.Event()
        self.answered = asyncio.Event()
        self._idle_connection: DiscoveryConnection | None = None
        self._last_apply_failed = False  # the stack trace is logged once for errors in a row
        self._watch_task: asyncio.Task[None] | None = None
        self._tasks: dict[asyncio.Task[None], None] = {}

    def start(self) -> None:
        """Start watching.

        In on-demand mode, the balancer starts the watch when it has received the known list of the
        configuration. Without a known list it receives no event that would let it do so, and the first watch
        is started here.
        """
        if not self.on_demand:
            self._watch_task = self._spawn(self._watch_continuously())
        elif self.version < 0:
            self._watch_task = self._spawn(self._watch_on_demand())

    def watch(self, active: bool) -> None:
        """Start or stop the watch at the request of the balancer."""
        if not self.on_demand:
            return
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if active:
            self._watch_task = self._spawn(self._watch_on_demand())

    def fetch(self) -> None:
        """Fetch the complete list once, at the request of the balancer."""
        self._spawn(self._fetch())

    def change_address(self, address: Address) -> None:
        """Continue with another address at once.

        The complete list is fetched next: versions of two services are not comparable, and no change between
        the last response of the old service and the first of the new one may be missed. The current list
        stays in force until then.
        """
        if address == self.address:
            return
        self.address = address
        self.version = NO_VERSION
        if self._idle_connection is not None:
            self._idle_connection.abort()
            self._idle_connection = None
        if self._watch_task is None:
            return
        self._watch_task.cancel()
        self._watch_task = self._spawn(
            self._watch_on_demand() if self.on_demand else self._watch_continuously()
        )

    async def close(self) -> None:
        """Cancel all requests."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda task: self._tasks.pop(task, None))
        return task

    # Watching

    async def _watch_continuously(self) -> None:
        """Watch until cancelled; the current list stays in force while requests fail."""
        loop = asyncio.get_running_loop()
        while True:
            version, started_at = self.version, loop.time()
            # The first request does not wait for a change: the known list of the configuration may be out of
            # date, and must be checked before the first client connects.
            wait_ms = WATCH_WAIT_MS if version >= 0 and self.answered.is_set() else 0
            try:
                await self._request(self._list_path(wait_ms), wait_ms / 1000 + WATCH_OVERDUE_S)
            except DiscoveryError as error:
                log.info("discovery: %s", error)
                await asyncio.sleep(NO_CHANGE_PAUSE_S)
                await self._poll_until_answered()
                continue
            if self.version == version and loop.time() - started_at < WATCH_WAIT_MS / 2000:
                await asyncio.sleep(NO_CHANGE_PAUSE_S)

    async def _poll_until_answered(self) -> None:
        """Poll with a long and a short timeout in parallel until one request gets a valid response.

        The long timeout is for an agent that is slow, the short one for an agent that has just come back.
        """
        grace_s = self.dispatcher.settings.drain_grace / SECOND
        quick_timeout_s = grace_s * QUICK_TIMEOUT_GRACE_FRACTION
        quick_timeout_s = max(MIN_QUICK_TIMEOUT_S, min(quick_timeout_s, MAX_QUICK_TIMEOUT_S))
        pause_s = quick_timeout_s / 2
        polls = [
            asyncio.ensure_future(self._poll(timeout_s, pause_s))
            for timeout_s in (quick_timeout_s, REQUEST_TIMEOUT_S)
        ]
        try:
            await asyncio.wait(polls, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for poll in polls:
                poll.cancel()
            await asyncio.gather(*polls, return_exceptions=True)

    async def _poll(self, timeout_s: float, pause_s: float) -> None:
        while True:
            try:
                await self._request(self._list_path(0), timeout_s, shared=False)
                return
            except DiscoveryError as error:
                log.debug("discovery: %s", error)
                await asyncio.sleep(pause_s)

    async def _watch_on_demand(self) -> None:
        """Watch until a request fails; the balancer then decides when to watch again."""
        wait_ms = 0  # the balancer is waiting for a list, so the first request does not wait for a change
        try:
            while True:
                try:
                    timeout_s = wait_ms / 1000 + ON_DEMAND_WATCH_OVERDUE_S if wait_ms else REQUEST_TIMEOUT_S
                    await self._request(self._list_path(wait_ms), timeout_s)
                    wait_ms = ON_DEMAND_WATCH_WAIT_MS if self.version >= 0 else 0
                except DiscoveryTimeoutError as error:
                    # An overdue watch affects only this node, which therefore retries at once, without
                    # waiting for its turn among all nodes.
                    if not wait_ms:
                        raise
                    log.info("discovery: %s", error)
                    wait_ms = 0
        except DiscoveryError as error:
            log.info("discovery: %s", error)
            self.dispatcher.discovery_failed()

    async def _fetch(self) -> None:
        try:
            await self._request(LIST_PATH, REQUEST_TIMEOUT_S, shared=False)
        except DiscoveryError as error:
            log.info("discovery: %s", error)
            self.dispatcher.discovery_failed()

    # One request

    def _list_path(self, wait_ms: int) -> str:
        """Return the target of a request for changes, or for the complete list if the node has no version."""
        return f"{LIST_PATH}?index={self.version}&wait={wait_ms}" if self.version >= 0 else LIST_PATH

    async def _request(self, path: str, timeout_s: float, shared: bool = True) -> None:
        """Send one request and apply the returned list.

        Parameters
        ----------
        path
            Target of the request.
        timeout_s
            Time until the complete response (s).
        shared
            Whether to use the idle connection, and to keep the connection for the next request.

        Raises
        ------
        DiscoveryError
            The response is late or invalid, could not be applied, or the address of discovery has changed
            meanwhile.
        """
        connection = self._take_connection() if shared else DiscoveryConnection(self.address)
        held_version = self.version
        is_idle = False
        try:
            update, reusable = await self._get_update(connection, path, timeout_s)
            if connection.address != self.address:
                raise DiscoveryError(f"{path}: response ignored, as the address of discovery has changed")
            self._apply_or_fail(update, held_version)
            if reusable and shared:
                self._idle_connection = connection
                is_idle = True
        finally:
            if not is_idle:
                connection.abort()

    def _take_connection(self) -> DiscoveryConnection:
        """Take the idle connection, or a new one if there is none."""
        connection, self._idle_connection = self._idle_connection, None
        return connection if connection is not None else DiscoveryConnection(self.address)

    async def _get_update(
        self, connection: DiscoveryConnection, path: str, timeout_s: float
    ) -> tuple[DiscoveryUpdate, bool]:
        """Return the list of a response, and whether the connection can take another request."""
        try:
            async with asyncio.timeout(timeout_s):
                response = await connection.get(path)
            return parse_discovery_list(json.loads(response.body), self.names), response.reusable
        except TimeoutError:
            raise DiscoveryTimeoutError(f"{path}: no response within {timeout_s:.1f} s") from None
        except Exception as error:
            # Any error in a response (framing, JSON or content) fails only this request, and the watch
            # continues. As this could hide a bug of this node, the message contains the type of the
            # exception.
            raise DiscoveryError(f"{path}: {type(error).__name__} {error}") from None

    def _apply_or_fail(self, update: DiscoveryUpdate, held_version: int) -> None:
        """Apply a list; an error of this node in doing so fails only the request, and the watch continues.

        Raises
        ------
        DiscoveryError
            The list is applied in part at most, so the complete list is requested next.
        """
        try:
            self._apply(update, held_version)
        except Exception as error:
            log.error("discovery: list not applied", exc_info=not self._last_apply_failed)
            self._last_apply_failed = True
            self.version = NO_VERSION
            raise DiscoveryError(f"list not applied: {error!r}") from error
        self._last_apply_failed = False

    def _apply(self, update: DiscoveryUpdate, held_version: int) -> None:
        """Apply the response to a request; `held_version` is the node's version when it was sent."""
        servers = update.servers
        if servers.version < self.version and self.version != held_version:
            return  # another request was faster and returned a newer list
        # A smaller version means that the service restarted its count. A watch from the old version could
        # miss changes until the service reaches that version again, so the complete list is requested next.
        can_continue = servers.kind or servers.version >= held_version
        self.version = servers.version if can_continue else NO_VERSION
        self.list_available.set()
        self.answered.set()
        if servers.servers or servers.kind or self.on_demand:
            self.dispatcher.receive_update(update)
