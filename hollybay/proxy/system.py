"""The seam between the node and its machine: the clock, sockets, files, and what the kernel alone can tell.

The node asks here and nowhere else, by module and name (`system.monotonic_ns()`), so that a simulation can
put others in their place; on a real machine these are the functions themselves, at the cost of a call.
"""

from __future__ import annotations

import fcntl
import gc
import socket
import sys
import termios
import time
from collections.abc import Callable
from pathlib import Path

__all__ = ["monotonic_ns", "read_bytes", "settle", "sleep", "tcp_socket", "unread", "wall_ahead"]

# The monotonic clock, ns.
monotonic_ns: Callable[[], int] = time.monotonic_ns


def _wall_ahead() -> int:
    return time.time_ns() - time.monotonic_ns()


# How far (ns) the wall's clock is ahead of the monotonic one. Read once: were the difference read at each
# list, a server's start would wander with it and an old process would seem to be a new one.
wall_ahead = _wall_ahead()


def _tcp_socket(host: str) -> socket.socket:
    """A socket for this host.

    With its protocol named: asyncio switches Nagle's delay off only then, and the last byte of a request,
    sent by itself, would wait 40 ms for the peer's acknowledgement.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)


def _unread(sock: socket.socket) -> int:
    """How many bytes of the peer the kernel holds that nobody has read yet."""
    return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)


tcp_socket: Callable[[str], socket.socket] = _tcp_socket
unread: Callable[[socket.socket], int] = _unread


def _read_bytes(path: str | Path) -> bytes:
    """What a file holds; OSError where it cannot be read."""
    return Path(path).read_bytes()


def _settle() -> None:
    """The process has started: what lives as long as it does need not be looked through at every
    collection."""
    gc.collect()
    gc.freeze()


read_bytes: Callable[[str | Path], bytes] = _read_bytes
# Sleeps so many seconds; only where a thread may wait.
sleep: Callable[[float], None] = time.sleep
settle: Callable[[], None] = _settle
