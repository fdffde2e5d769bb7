"""Life cycle of a node's process: start, serve until SIGTERM, shut down gracefully; reload at SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from collections.abc import Callable, Mapping
from enum import Enum, auto
from typing import TYPE_CHECKING

from hollybay.proxy.downstream.listener import ClientListener

from . import system
from .assembly import (
    NodeParts,
    assemble,
    consensus_descriptors,
    load_operator_file,
    start_admin,
    start_load_reports,
)
from .config import Config, ConfigError, load
from .discovery import DiscoveryClient
from .shutdown import shut_down_gracefully

if TYPE_CHECKING:
    from .handover import ListenerGroup

__all__ = ["LifeCycle", "State", "serve"]

log = logging.getLogger("hollybay.proxy")

# How long a new process waits for a response of discovery before it takes over from an old process. It must
# be ready within 6 s of its start, whether discovery responds or not.
TAKEOVER_LIST_TIMEOUT_S = 2.0
# The same timeout without an old process, where an agent pushes lists. The known list in the configuration
# may be older than the drain grace, so a response is awaited. An agent responds at once unless it is down;
# then the known list is used.
FIRST_LIST_TIMEOUT_S = 1.0

# Fields of the configuration that a reload cannot change.
FIXED_FIELDS = ("name", "listen", "admin", "sockets", "memory_budget", "body_budget", "settings", "names")


class State(Enum):
    """State of a node's process; it passes through all of them in this order."""

    STARTING = auto()  # until it listens and handles all signals
    SERVING = auto()  # until SIGTERM or SIGINT
    SHUTTING_DOWN = auto()  # until every request has its final response
    STOPPED = auto()


class LifeCycle:
    """Runs a node in this process, from its start to its end.

    Parameters
    ----------
    config
        Configuration of the node.
    environ
        Environment, which names the configuration and the operator file for reloads.
    """

    def __init__(self, config: Config, environ: Mapping[str, str]) -> None:
        self.config = config
        self.environ = environ
        self.state = State.STARTING
        self._stop_requested = asyncio.Event()
        self._handle_signals()
        self.operator_file = load_operator_file(config, environ)
        table = self.operator_file.consensus_table if self.operator_file is not None else None
        self.parts = assemble(config, consensus_descriptors(table, config))
        if self.operator_file is not None:
            self.parts.clients.admission = self.operator_file.admission

    async def run(self, started: Callable[[int], None], port: int | None) -> None:
        """Run the node until it has shut down gracefully.

        Parameters
        ----------
        started
            Called with the port once the node serves and handles all signals.
        port
            Port to listen on in place of the configured one.
        """
        clients, dispatcher, discovery = self.parts
        load_reports = start_load_reports(self.config, self.operator_file, dispatcher)
        admin = await start_admin(self.config, clients, dispatcher, self.operator_file)
        listener_group = admin.listener_group if admin is not None else None
        port = await self._listen(port, listener_group)
        await self._serve(started, port)
        await shut_down_gracefully(clients, dispatcher, listener_group=listener_group)
        self.state = State.STOPPED
        if admin is not None:
            admin.close()
        if load_reports is not None:
            load_reports.close()
        if self.operator_file is not None:
            await self.operator_file.close()
        await discovery.close()

    async def _listen(self, port: int | None, listener_group: ListenerGroup | None) -> int:
        """Listen once discovery has responded, and take over from the other processes of this node."""
        clients, dispatcher, discovery = self.parts
        predecessors = listener_group.count_others() if listener_group is not None else 0
        discovery.start()
        await self._wait_for_discovery(predecessors)
        port = await clients.listen(port)
        if listener_group is not None:
            listener_group.share_ids(dispatcher.request_ids, self.config.sockets)
            listener_group.join()
            if predecessors and clients.listener is not None:
                listener_group.take_new_connections(clients.listener, predecessors)
        log.info("%s listens on %s:%d", self.config.name, self.config.listen[0], port)
        return port

    async def _serve(self, started: Callable[[int], None], port: int) -> None:
        """Serve until SIGTERM or SIGINT."""
        clients, _, discovery = self.parts
        readiness = asyncio.get_running_loop().create_task(_become_ready(clients, discovery))
        self.state = State.SERVING
        started(port)
        system.finish_startup()
        await self._stop_requested.wait()
        self.state = State.SHUTTING_DOWN
        readiness.cancel()
        clients.is_shutting_down = True

    async def _wait_for_discovery(self, predecessors: int) -> None:
        """Wait for a response of discovery, up to a timeout, before the node serves."""
        if predecessors:
            log.info("taking over from %d other processes of this node", predecessors)
            await self._wait_for_answer(TAKEOVER_LIST_TIMEOUT_S)
        elif not self.config.settings.poll_required:
            await self._wait_for_answer(FIRST_LIST_TIMEOUT_S)

    async def _wait_for_answer(self, timeout_s: float) -> None:
        events = (self.parts.discovery.answered, self._stop_requested)
        waits = [asyncio.ensure_future(event.wait()) for event in events]
        await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    # Signals

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        # Handled from the start, as SIGHUP terminates a process that has no handler for it.
        loop.add_signal_handler(signal.SIGHUP, self._on_reload_signal)

    def _on_reload_signal(self) -> None:
        if self.state is State.STARTING:
            log.info("SIGHUP ignored: the node is still starting")
        elif self.state is State.SERVING:
            self._reload()
        else:
            log.info("SIGHUP ignored: the node is shutting down")

    def _reload(self) -> None:
        """Reload the operator file and the configuration, as far as they can change in a running node.

        An invalid file is logged, and the old one stays in force. The two files are reloaded independently:
        an invalid operator file must not keep the node at a discovery service that is being shut down.
        """
        if self.operator_file is not None:
            self.operator_file.reload()
        counters = self.parts.dispatcher.counters
        try:
            new_config = load(self.environ)
        except ConfigError as error:
            log.error("reload: invalid configuration, the old one stays in force: %s", error)
            counters.reloads_failed += 1
            return
        for field in FIXED_FIELDS:
            if getattr(new_config, field) != getattr(self.config, field):
                log.warning("reload: a change of %s requires a restart", field)
        log.info("reload: address of discovery is %s:%d", *new_config.discovery)
        self.parts.discovery.change_address(new_config.discovery)
        counters.reloads_ok += 1


async def serve(
    config: Config,
    environ: Mapping[str, str] = os.environ,
    started: Callable[[int], None] = lambda _port: None,
    port: int | None = None,
    assembled: Callable[[NodeParts], None] = lambda _parts: None,
) -> None:
    """Run a node until it has shut down gracefully after SIGTERM or SIGINT.

    Parameters
    ----------
    config
        Configuration of the node.
    environ
        Environment, which names the configuration and the operator file for reloads.
    started
        Called with the port once the node serves and handles all signals.
    port
        Port to listen on in place of the configured one.
    assembled
        Called with the parts of the node before they start.

    Raises
    ------
    ConfigError
        The operator file is invalid, or does not fit the configuration.
    OSError
        An address cannot be bound.
    """
    life_cycle = LifeCycle(config, environ)
    assembled(life_cycle.parts)
    await life_cycle.run(started, port)


async def _become_ready(clients: ClientListener, discovery: DiscoveryClient) -> None:
    await discovery.list_available.wait()
    clients.ready = True
