"""Interface to the operating system: clock, sockets, files, and the kernel's state of a socket.

The node calls these functions through the module (`system.monotonic_ns()`) and uses no others for these
purposes, so that a simulation can replace them.
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

__all__ = [
    "boot_time_ns",
    "finish_startup",
    "monotonic_ns",
    "read_bytes",
    "sleep",
    "tcp_socket",
    "unread_bytes",
    "wall_clock_offset",
]

SIZE_OF_INT = 4


def boot_time_ns() -> int:
    """Return the time since the machine started (ns), which also advances while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def _wall_clock_offset() -> int:
    return time.time_ns() - time.monotonic_ns()


def _tcp_socket(host: str) -> socket.socket:
    """Create a TCP socket of the address family of a host."""
    # asyncio disables Nagle's algorithm only on sockets that are created with an explicit protocol. With
    # Nagle's algorithm, the last segment of a request would wait 40 ms for the peer's delayed
    # acknowledgement.
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)


def _unread_bytes(sock: socket.socket) -> int:
    """Return the number of received bytes of a socket that were not read yet."""
    return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(SIZE_OF_INT)), sys.byteorder)


def _read_bytes(path: str | Path) -> bytes:
    """Return the content of a file; OSError if it cannot be read."""
    return Path(path).read_bytes()


def _finish_startup() -> None:
    """Exempt all existing objects from garbage collection, after the process has started."""
    gc.collect()
    gc.freeze()


# Current time of the monotonic clock (ns).
monotonic_ns: Callable[[], int] = time.monotonic_ns

# Difference of the wall clock and the monotonic clock (ns). It is computed once: if it varied between server
# lists, the start time of a server would vary too, and the server would seem to have restarted.
wall_clock_offset = _wall_clock_offset()

# Functions that a simulation replaces.
tcp_socket: Callable[[str], socket.socket] = _tcp_socket
unread_bytes: Callable[[socket.socket], int] = _unread_bytes
read_bytes: Callable[[str | Path], bytes] = _read_bytes
finish_startup: Callable[[], None] = _finish_startup
# Blocks the calling thread for a time (s); must not be called in the thread of the event loop.
sleep: Callable[[float], None] = time.sleep
