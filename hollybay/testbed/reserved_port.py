"""A port for node processes that listen one beside the other, or one after the other."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["reserved_port"]

HOST = "127.0.0.1"
# Below those that the kernel chooses from: a socket with SO_REUSEADDR that asks for any port may be given one
# that another socket is bound to with that option and does not listen on.
PORTS = (15_000, 30_000)

# Ports are no part of what a seed draws: each process draws others.
_chance = random.SystemRandom()


@contextmanager
def reserved_port() -> Iterator[int]:
    """A port that nobody else gets, on which sockets with SO_REUSEADDR or SO_REUSEPORT can listen."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((HOST, _free_port()))
        yield int(sock.getsockname()[1])


def _free_port() -> int:
    """Return a port that no socket is bound to."""
    while True:
        port = _chance.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
