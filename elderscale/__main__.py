"""One real node: read the configuration, serve until SIGTERM, drain, end."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

from .clients import ACCEPT_BATCH, Clients
from .config import SECOND, Config, ConfigError, load
from .discovery import Discovery
from .node import Node
from .servers import Servers

log = logging.getLogger("elderscale")

# After SIGTERM new connections go on coming for up to 0.4 s.
ACCEPT_ON = 0.55
# SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s at most here; all is answered before.
LONGEST_DEADLINE, KILL_MARGIN = 3.0, 0.3
# Descriptors for the loop, the log, the listener and discovery, and for what one turn accepts before others
# are dropped, and those then closed one turn later.
RESERVED = 24 + 3 * ACCEPT_BATCH


async def serve(config: Config) -> None:
    """Run the node until it has drained."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    spare = config.sockets - RESERVED
    servers = Servers(config.settings, config.names, limit=spare * 4 // 9)
    node = Node(config.settings, config.seed, servers)
    clients = Clients(config, node, limit=spare * 5 // 9)
    known = config.known
    discovery = Discovery(
        config.discovery,
        config.names,
        node,
        asked=config.settings.must_ask,
        version=known.servers.version if known is not None else -1,
    )
    node.lists = discovery
    if known is not None:
        node.listing(known)
        discovery.heard.set()
    port = await clients.listen()
    discovery.start()
    log.info("%s listens on %s:%d", config.name, config.listen[0], port)
    ready = loop.create_task(_ready(clients, discovery))
    # What lives as long as the process need not be looked through at every collection.
    gc.collect()
    gc.freeze()
    await stop.wait()
    ready.cancel()
    await drain(clients, node)
    await discovery.close()


async def _ready(clients: Clients, discovery: Discovery) -> None:
    await discovery.heard.wait()
    clients.ready = True


async def drain(clients: Clients, node: Node) -> None:
    """Answer all that comes while connections still come, then what is left; end well before the kill."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    longest = max(c.deadline for c in node.settings.classes) / SECOND
    latest = began + min(longest, LONGEST_DEADLINE) + 0.7 - KILL_MARGIN
    log.info("draining: %d requests open, %d connections", node.owed, len(clients.connections))
    clients.draining = True
    await asyncio.sleep(ACCEPT_ON)
    clients.stop_listening()
    clients.close_idle()
    while clients.connections and loop.time() < latest - 0.1:
        clients.close_idle()
        await asyncio.sleep(0.02)
    node.end_all()
    await asyncio.sleep(0.1 if clients.connections else 0)
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
        asyncio.run(serve(config))
    except OSError as error:
        print(f"elderscale: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
