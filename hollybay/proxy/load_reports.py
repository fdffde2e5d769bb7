"""Datagrams between nodes, where an operator file switches them on: what each has at servers, as it changes.

Imported only then. What is said and what counts is decided in `peers`; here it is sent and received. Nothing
that arrives raises past this module, and nothing is taken from an address that the configuration does not
name.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Iterable, Mapping

from hollybay.balancing import interface as api
from hollybay.gossip import Held, Own, parse, word
from hollybay.gossip.load_report import SIZE

from . import system
from .config import ConfigError, address
from .exchange import Node

__all__ = ["Peers", "addresses"]

# Datagrams read at once at the most, and the least time (s) between two sayings.
BATCH, GAP = 1024, 0.001
# What has come is read when a request is to be decided, as only then it matters; and so often (s) all the
# same, for the socket's room. Woken by each datagram, 200 nodes of a few requests a second spend six cores.
READ_EVERY = 0.1
ROOM = 1 << 20  # bytes of the socket


def addresses(raw: Mapping[str, object], nodes: int) -> tuple[tuple[str, int], list[tuple[str, int]]]:
    """Where this node hears, and the address of each node in the order of their numbers.

    ConfigError names the field that does not hold.
    """
    if raw.get("allowed") is False:
        raise ConfigError("settings.caps.peers: false, and the operator file's [peers] needs it")
    peers = raw.get("peers")
    if not isinstance(peers, list) or len(peers) < nodes:
        raise ConfigError(f"peers: no list of {nodes} addresses, which the operator file's [peers] needs")
    try:
        found = [address(str(text)) for text in peers]
    except ValueError as error:
        raise ConfigError(f"peers: {error}") from None
    try:
        return address(str(raw.get("peer_listen"))), found
    except ValueError as error:
        raise ConfigError(f"peer_listen: {error}") from None


class Peers:
    """This node's mouth and ears. every, forget: ns, see peers.held."""

    def __init__(
        self,
        node: Node,
        listen: tuple[str, int],
        known: list[tuple[str, int]],
        every: int,
        forget: int,
    ) -> None:
        settings = node.settings
        self.node = node
        self.me = settings.node
        self.others = [at for n, at in enumerate(known) if n != self.me]
        self.number = {at: n for n, at in enumerate(known)}
        self.process = int.from_bytes(os.urandom(4), "big")
        self.own = Own(every)
        self.held = Held(self.me, len(known), forget)
        self.every = every
        self.told = 0  # how many others the module was told of
        self.foreign = 0  # datagrams of nobody, or of a form that is none
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.sock = socket.socket(socket.AF_INET6 if ":" in listen[0] else socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        try:
            self.sock.bind(listen)
        except OSError as error:
            self.sock.close()
            raise ConfigError(f"peer_listen: {listen[0]}:{listen[1]}: {error}") from None
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ROOM)
        self.reading = self.loop.call_later(READ_EVERY, self._read_again)
        # All nodes that start at once say so at times of their own.
        self._wake(every * (self.me + 1) / (len(known) + 1) / 1e9)

    # What this node does

    def began(self, server: api.ServerId) -> None:
        """An attempt goes out."""
        self.own.began(server)
        self._soon()

    def ended(self, server: api.ServerId) -> None:
        """An attempt is back."""
        self.own.ended(server)
        self._soon()

    def listed(self, servers: Iterable[api.ServerId]) -> None:
        """The servers that there are."""
        self.held.know(servers)

    def look(self) -> None:
        """Read what has come. A request is about to be decided: what is too old by now must not count."""
        now = system.monotonic_ns()
        changed = self.held.look(now)
        for _ in range(BATCH):
            try:
                data, at = self.sock.recvfrom(SIZE + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # a peer's refusal of an earlier datagram
                continue
            saying = parse(data)
            if saying is None or self.number.get(at[:2]) != saying.node:
                self.foreign += 1
                continue
            changed |= self.held.hear(saying, now)
        self._tell(changed)

    # Saying

    def _soon(self) -> None:
        if self.timer is None or self.timer.when() > self.loop.time() + GAP:
            self._wake(GAP)

    def _wake(self, delay: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, self._say)

    def _say(self) -> None:
        self.timer = None
        now = system.monotonic_ns()
        if self.own.due(now):
            for data in word(self.me, self.process, self.own.count + 1, self.own.say(now)):
                for at in self.others:
                    try:
                        self.sock.sendto(data, at)
                    except OSError:  # its socket is full or its process gone: the next saying is for it, too
                        continue
        self._wake(self.every / 1e9)

    # Hearing

    def _read_again(self) -> None:
        self.reading = self.loop.call_later(READ_EVERY, self._read_again)
        self.look()

    def _tell(self, changed: Mapping[api.ServerId, int]) -> None:
        if changed or self.held.heard != self.told:
            self.told = self.held.heard
            self.node.feed(api.PeerLoad(changed, self.told))

    def close(self) -> None:
        """Say and hear nothing any more."""
        if self.timer is not None:
            self.timer.cancel()
        self.reading.cancel()
        self.sock.close()
