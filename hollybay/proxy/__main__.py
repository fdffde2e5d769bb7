"""One real node: read the configuration, serve until SIGTERM, drain, end. SIGHUP: read it again."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import uvloop

from . import system
from .config import SECOND, Config, ConfigError, load
from .discovery import Discovery
from .downstream.connections import ACCEPT_BATCH, Clients
from .exchange import Node
from .request_counters import Tally
from .upstream.pools import UpstreamPools

if TYPE_CHECKING:
    from hollybay.routing.schema import AccordTable

    from .admin_service import Desk
    from .consensus_member import Accord
    from .handover import Place
    from .load_reports import Peers
    from .operator_file import Operator

log = logging.getLogger("elderscale")

# The variable that names the operator's file; without it nothing of what that file can switch on is imported.
OPERATOR = "HOLLYBAY_OPERATOR"
# After SIGTERM new connections go on coming for up to 0.4 s.
ACCEPT_ON = 0.55
# SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s at most here; all is answered before.
LONGEST_DEADLINE, KILL_MARGIN = 3.0, 0.3
# The time that is kept free at the end for what is then still out. Until then clients are served on the
# connections that they have: they use these as long as they are open, and where nodes are restarted one after
# another the next one may not be there yet.
ANSWER_ROOM = 1.2
# Descriptors for the loop, the log, the listener and discovery, and for what one turn accepts before others
# are dropped, and those then closed one turn later.
RESERVED = 24 + 3 * ACCEPT_BATCH
# Further ones where operators call: their connections, the door, files.
DOOR = 24
# How long (s) a new process beside an old one waits to hear from discovery itself before it takes clients;
# it must be ready within 6 s of its start, whether discovery answers or not.
FRESH_LIMIT = 2.0
# The same for one without an old one beside it, where lists are pushed: what its agent has counts as told
# from the first moment of the process, and the list from before may be old by more than the drain grace. The
# agent answers at once unless it is away; then clients are served by the list from before.
FIRST_LIST_LIMIT = 1.0


def assemble(config: Config, reserved: int = 0) -> tuple[Clients, Node, Discovery]:
    """The parts of a node, put together but not yet started. reserved: descriptors that others need."""
    spare = config.sockets - RESERVED - (DOOR if config.admin is not None else 0) - reserved
    servers = UpstreamPools(config.settings, config.names, limit=spare * 4 // 9)
    node = Node(config.settings, config.seed, servers)
    clients = Clients(config, node, limit=spare * 5 // 9)
    known = config.known
    discovery = Discovery(
        config.discovery,
        config.names,
        node,
        asked=config.settings.must_poll,
        version=known.servers.version if known is not None else -1,
    )
    node.lists = discovery
    if known is not None:
        node.listing(known)
        discovery.heard.set()
    return clients, node, discovery


def operator_of(config: Config, environ: Mapping[str, str]) -> Operator | None:
    """The operator's file that is named, read; None where none is named; ConfigError if it is unsound."""
    path = environ.get(OPERATOR)
    if not path:
        return None
    try:
        from .operator_file import Operator
    except ModuleNotFoundError as error:
        raise ConfigError(f"{OPERATOR}: {path}: needs {error.name}, see the extra `cli`") from None
    return Operator(path, config.settings, config.seed)


async def serve(
    config: Config,
    environ: Mapping[str, str] = os.environ,
    started: Callable[[int], None] = lambda port: None,
    port: int | None = None,
    assembled: Callable[[Clients, Node, Discovery], None] = lambda clients, node, discovery: None,
) -> None:
    """Run the node until it has drained.

    started is told the port once all signals are handled; assembled gets the parts before they start.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Until there is something to reload, and while the node drains, SIGHUP changes nothing; it must never end
    # the process, as it does where nobody handles it.
    loop.add_signal_handler(signal.SIGHUP, log.info, "SIGHUP: nothing to reload now")
    operator = operator_of(config, environ)
    table = operator.accord if operator is not None else None
    clients, node, discovery = assemble(config, reserved_for(table, config))
    if operator is not None:
        clients.gate = operator.gate
    assembled(clients, node, discovery)
    peers = talking(config, operator, node)
    accords: list[Accord] = []
    desk, place = await operated(config, clients, node, operator, accords)
    beside = place.others() if place is not None else 0
    discovery.start()
    if beside:
        # The old process serves meanwhile; this one begins once it knows what it would be asked for.
        log.info("%d other processes of this node listen; taking over", beside)
        await fresh(discovery, stop, FRESH_LIMIT)
    elif not config.settings.must_poll:
        await fresh(discovery, stop, FIRST_LIST_LIMIT)
    port = await clients.listen(port)
    if place is not None:
        place.join()
        if beside and clients.listener is not None:
            place.claim(clients.listener, beside)
    log.info("%s listens on %s:%d", config.name, config.listen[0], port)
    ready = loop.create_task(_ready(clients, discovery))
    loop.add_signal_handler(signal.SIGHUP, reload, config, discovery, environ, operator, node.tally)
    started(port)
    system.settle()
    await stop.wait()
    loop.add_signal_handler(signal.SIGHUP, log.info, "SIGHUP: draining, nothing is reloaded")
    ready.cancel()
    clients.leaving = True
    await drain(clients, node, place=place)
    for accord in accords:
        accord.close()
    if desk is not None:
        desk.close()
    if peers is not None:
        peers.close()
    if operator is not None:
        await operator.close()
    await discovery.close()


def talking(config: Config, operator: Operator | None, node: Node) -> Peers | None:
    """The node's word with the others, where its operator file asks for it; ConfigError if it cannot be."""
    table = operator.gate.plan.peers if operator is not None else None
    if table is None:
        return None
    from .load_reports import Peers, addresses

    listen, known = addresses(config.peers, config.settings.nodes)
    peers = Peers(node, listen, known, table.every, table.forget)
    node.peers = peers
    peers.listed(node.balancer.servers)
    return peers


def reserved_for(table: AccordTable | None, config: Config) -> int:
    """The descriptors that an accord takes; ConfigError where that leaves too few, or it cannot be."""
    if table is None:
        return 0
    try:
        from .consensus_member import descriptors, terms_of
    except ModuleNotFoundError as error:
        raise ConfigError(f"[accord]: needs {error.name}, see the extra `accord`") from None
    terms_of(table, config)
    found = descriptors(config.sockets)
    if config.sockets - RESERVED - DOOR - found < 64:
        raise ConfigError(f"limits.sockets: {config.sockets}, and the operator file's [accord] takes {found}")
    return found


async def operated(
    config: Config,
    clients: Clients,
    node: Node,
    operator: Operator | None = None,
    accords: list[Accord] | None = None,
) -> tuple[Desk | None, Place | None]:
    """The operators' desk with its door open, and this process's place among those of its node; None for
    both where the configuration has no address for operators.

    accords: takes the node's accord, where the operator file asks for one.
    """
    if config.admin is None:
        return None, None
    try:
        from .admin_service import Desk
    except ModuleNotFoundError as error:
        raise ConfigError(f"admin: needs {error.name}, see requirements.txt") from None
    from .handover import Place

    desk = Desk(config, clients, node)
    if operator is not None and operator.accord is not None and accords is not None:
        from .consensus_member import join, terms_of

        accord = await join(terms_of(operator.accord, config), config, operator, clients, desk)
        accords.append(accord)
        await accord.start()
    await desk.open()
    return desk, Place(desk.folder, desk.name)


async def fresh(discovery: Discovery, stop: asyncio.Event, limit: float) -> None:
    """Wait until discovery itself has answered, up to a limit (s), or until the process is told to end."""
    waiting = [asyncio.ensure_future(event.wait()) for event in (discovery.fresh, stop)]
    await asyncio.wait(waiting, timeout=limit, return_when=asyncio.FIRST_COMPLETED)
    for task in waiting:
        task.cancel()


def reload(
    config: Config,
    discovery: Discovery,
    environ: Mapping[str, str],
    operator: Operator | None = None,
    tally: Tally | None = None,
) -> None:
    """Take over what a new configuration can change under load: where discovery is, and the operator's file.

    A file that is missing, half written or senseless is logged and the old configuration stays in force. What
    the process was built on (address, limits, settings) takes a restart; that it differs is logged. Each of
    the two files stands for itself: were a new discovery not taken over for an operator's slip, drains would
    be missed.
    """
    if operator is not None:
        operator.reload()
    try:
        new = load(environ)
    except ConfigError as error:
        log.error("reload: %s; the old configuration stays in force", error)
        if tally is not None:
            tally.reloads_failed += 1
        return
    for field in ("name", "listen", "admin", "sockets", "body_budget", "settings", "names"):
        if getattr(new, field) != getattr(config, field):
            log.warning("reload: %s differs, which takes a restart", field)
    log.info("reload: discovery at %s:%d", *new.discovery)
    discovery.move(new.discovery)
    if tally is not None:
        tally.reloads_ok += 1


async def _ready(clients: Clients, discovery: Discovery) -> None:
    await discovery.heard.wait()
    clients.ready = True


async def drain(
    clients: Clients,
    node: Node,
    accept_on: float = ACCEPT_ON,
    answer_room: float = ANSWER_ROOM,
    place: Place | None = None,
) -> None:
    """Answer all that comes while there is time, then what is left; end well before the kill.

    place: this process's among those of its node. Where another one has taken over, clients find it as soon
    as they connect anew: they are told to with their next answer, and what rests is closed as ever.
    """
    succeeded = place is not None and place.others() > 0
    loop = asyncio.get_running_loop()
    began = loop.time()
    longest = max(c.deadline for c in node.settings.classes) / SECOND
    latest = began + min(longest, LONGEST_DEADLINE) + 0.7 - KILL_MARGIN
    log.info("draining: %d requests open, %d connections", node.owed, len(clients.connections))
    if succeeded:
        clients.closing = True
    else:
        clients.draining = True
    await asyncio.sleep(accept_on)
    while not clients.stop_listening(anyway=loop.time() >= latest - answer_room):
        await asyncio.sleep(0.01)
    if place is not None:
        place.leave()
    while clients.any_left() and loop.time() < latest - answer_room:
        await asyncio.sleep(0.02)
    clients.closing = True
    while clients.any_left() and loop.time() < latest - 0.1:
        clients.close_idle()
        await asyncio.sleep(0.02)
    clients.over = True  # a request that is whole only now gets its refusal, and is not begun
    node.end_all()
    await asyncio.sleep(0.1 if clients.any_left() else 0)
    log.info("drained in %.2f s, %d connections left", loop.time() - began, len(clients.connections))


def main() -> int:
    """Entry point: 0 after a drain, 2 where the configuration does not hold."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"elderscale: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"elderscale: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"elderscale: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
