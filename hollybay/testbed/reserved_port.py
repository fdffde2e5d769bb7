"""Ports on which several node processes can listen, at the same time or one after the other."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["reserved_port"]

HOST = "127.0.0.1"
# Below the kernel's ephemeral ports: a socket with SO_REUSEADDR that asks for any port may get one that
# another socket with that option is bound to, as long as that socket does not listen.
PORTS = (15_000, 30_000)

# Not seeded: processes that run with the same seed must draw different ports.
_random = random.SystemRandom()


@contextmanager
def reserved_port() -> Iterator[int]:
    """Reserve a port on which only sockets with SO_REUSEADDR or SO_REUSEPORT can listen."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((HOST, _free_port()))
        yield int(sock.getsockname()[1])


def _free_port() -> int:
    """Return a port that no socket is bound to."""
    while True:
        port = _random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
