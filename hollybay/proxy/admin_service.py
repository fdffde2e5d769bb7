"""Carries out what operators call: servers out and back, the node emptied and back to work, figures.

Imported only where the configuration gives operators an address.
"""

from __future__ import annotations

import asyncio
import fcntl
import hashlib
import logging
import os
from collections.abc import Awaitable, Iterator
from contextlib import contextmanager
from pathlib import Path

from hollybay.admin.administrative_drains import Bans, BansError, pack, unpack
from hollybay.admin.metrics import CONTENT_TYPE, Exposition, Figures
from hollybay.admin.requests import Call, Kind
from hollybay.balancing.interface import ListKind, ServerId, ServerList, ServerState

from . import system
from .admin_server import Door, Reply
from .config import Config, Listing
from .consensus_port import PolicyCalls
from .downstream.connections import Clients
from .exchange import Node

__all__ = ["Desk"]

log = logging.getLogger("elderscale")

# How often (s) a process looks for servers that another process of this node has taken out.
LOOK = 0.2
# From the call that empties the node until connections are closed (s): the front goes on sending new ones
# for 0.2 s after it has seen the no, and asks ten times a second.
FRONT_PAUSE = 0.6
# How often (s) resting connections are closed from then on.
CLOSE_EVERY = 0.05


class Desk:
    """What operators have asked for, and the door at which they ask."""

    def __init__(self, config: Config, clients: Clients, node: Node) -> None:
        self.config = config
        self.clients = clients
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.bans = Bans()
        self.addresses: dict[str, tuple[str, int]] = {}
        self.door = Door(self.answer)
        self.exposition = Exposition(self.figures)
        self.accord: PolicyCalls | None = None  # where the policy is agreed on with the other nodes
        self.emptying: asyncio.TimerHandle | None = None
        self._looking: asyncio.TimerHandle | None = None
        self._seen = (0, 0)  # the file as it was read last: its time (ns) and inode
        tag = hashlib.blake2b(repr((config.name, config.listen)).encode(), digest_size=6).hexdigest()
        self.name = f"hollybay-{tag}"
        self.folder = Path(config.scratch) if config.scratch else None
        node.overlay = self.overlay
        if config.known is not None:
            self.overlay(config.known)

    async def open(self) -> int:
        """Take over what another process of this node left, and begin to take calls; the port."""
        assert self.config.admin is not None
        self._look()
        port = await self.door.open(*self.config.admin)
        log.info("operators call at %s:%d", self.config.admin[0], port)
        return port

    def close(self) -> None:
        """Take no more calls."""
        self.door.close()
        for timer in (self._looking, self.emptying):
            if timer is not None:
                timer.cancel()

    # Calls

    def answer(self, call: Call) -> Reply | Awaitable[Reply]:
        """Carry out a call; its answer."""
        if call.kind == Kind.POLICY:
            return self.accord.answer(call) if self.accord is not None else Reply(404, "no such call")
        if call.kind == Kind.READY:
            return Reply(200, "ready") if self.clients.well else Reply(503, "not ready")
        if call.kind == Kind.METRICS:
            return Reply(200, self.exposition.text(), CONTENT_TYPE)
        if call.kind == Kind.SERVERS:
            return Reply(200, self.servers())
        if call.kind == Kind.DRAIN:
            self.drain()
            return Reply(200, "draining")
        if call.kind == Kind.RESUME:
            if self.clients.leaving:
                return Reply(409, "the process ends")
            self.resume()
            return Reply(200, "in service")
        if self.accord is not None:
            return Reply(409, "this node is in an accord: hollybay policy propose --out SERVER, or --in")
        return self._out(call.server, call.kind == Kind.DISABLE)

    def agreed(self, out: set[ServerId]) -> None:
        """The servers that are out by the policies in force."""
        if out != self.bans.out:
            self._put(out)

    def servers(self) -> list[dict[str, object]]:
        """The servers of the list and those that are out, with what is in force for each."""
        return [
            {
                "id": str(server),
                "state": line.state.name if line is not None else "UNKNOWN",
                "disabled": server in self.bans.out,
                "avoided": server in self.bans.out or self.node.balancer.avoids(server),
            }
            for server in sorted({*self.bans.lines, *self.bans.out}, key=str)
            for line in (self.bans.lines.get(server),)
        ]

    def _out(self, server: str, out: bool) -> Reply:
        with self._locked():
            self._read()
            if not self.bans.known(server):
                return Reply(404, "no such server")
            wanted = {*self.bans.out, server} if out else self.bans.out - {server}
            if wanted != self.bans.out:
                # Written first: what was answered with yes must hold across an upgrade.
                try:
                    self._write(wanted)
                except OSError as error:
                    log.error("servers out by hand cannot be kept: %s", error)
                    return Reply(500, "cannot be kept")
                self._put(wanted)
                log.info("%s is %s by hand", server, "out" if out else "back")
        return Reply(200, "out" if out else "in use")

    # Servers out by hand

    def overlay(self, listing: Listing) -> Listing:
        """A list of discovery as it is in force."""
        if listing.servers.kind != ListKind.CHANGES:
            self.addresses.clear()
        self.addresses.update(listing.addresses)
        for line in listing.servers.servers:
            if line.state == ServerState.GONE:
                self.addresses.pop(str(line.id), None)
        return Listing(self.bans.told(listing.servers), listing.addresses)

    def _put(self, out: set[ServerId]) -> None:
        lines = self.bans.set(out, system.monotonic_ns())
        if lines:
            addresses = {str(line.id): self.addresses[str(line.id)] for line in lines}
            self.node.apply(Listing(ServerList(ListKind.CHANGES, lines), addresses))

    @property
    def _file(self) -> Path | None:
        return self.folder / f"{self.name}.out" if self.folder is not None else None

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Alone among the processes of this node; held for microseconds."""
        if self.folder is None:
            yield
            return
        held = os.open(self.folder / f"{self.name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(held, fcntl.LOCK_EX)
            yield
        finally:
            os.close(held)

    def _write(self, out: set[ServerId]) -> None:
        """Never half written: whole beside the old one, then in its place."""
        path = self._file
        if path is None:
            return
        new = path.with_suffix(".out.new")
        with open(os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600), "wb") as file:
            file.write(pack(out))
            file.flush()
            os.fsync(file.fileno())
        new.rename(path)
        self._note()

    def _note(self) -> bool:
        """Whether the file is another one than the one read last."""
        path = self._file
        if path is None:
            return False
        try:
            stat = path.stat()
        except OSError:
            return False
        seen, self._seen = self._seen, (stat.st_mtime_ns, stat.st_ino)
        return seen != self._seen

    def _read(self) -> None:
        """Take over what the file says, where it has changed; what does not hold changes nothing."""
        path = self._file
        if path is None or self.accord is not None or not self._note():
            return
        try:
            out = unpack(system.read_bytes(path))
        except (OSError, BansError) as error:
            log.error("%s: %s; what is in force stays", path, error)
            return
        self._put(set(out))

    def _look(self) -> None:
        self._read()
        if self.folder is not None:
            self._looking = self.loop.call_later(LOOK, self._look)

    # The node emptied, and back to work

    def drain(self) -> None:
        """Send clients away: ready says no at once, connections end a little later."""
        if self.clients.draining:
            return
        log.info("drained by hand: %d requests open", self.node.owed)
        self.clients.draining = True
        self.emptying = self.loop.call_later(FRONT_PAUSE, self._empty)

    def _empty(self) -> None:
        self.clients.closing = True
        self.clients.close_idle()
        self.emptying = self.loop.call_later(CLOSE_EVERY, self._empty)

    def resume(self) -> None:
        """Back to work."""
        if self.emptying is None:
            return
        self.emptying.cancel()
        self.emptying = None
        self.clients.draining = self.clients.closing = False
        log.info("back to work by hand")

    # Figures

    def figures(self) -> Figures:
        """The node's figures as of now."""
        tally = self.node.tally
        return Figures(
            classes=[c.name for c in self.node.settings.classes],
            served=tally.served,
            refused=tally.refused,
            failed=tally.failed,
            attempts=self.node.servers.written,
            in_flight=self.node.owed,
            servers_known=len(self.bans.lines),
            servers_excluded=self.bans.avoided(self.node.balancer.avoids),
            reloads_ok=tally.reloads_ok,
            reloads_failed=tally.reloads_failed,
        )
