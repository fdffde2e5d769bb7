"""Opening a TCP connection, with the time that the server has for it counted by the kernel's state."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Awaitable, Callable

from ..tcp_connection import TCP_ESTABLISHED

__all__ = ["Establish", "connect", "establish"]

Establish = Callable[[socket.socket, tuple[str, int]], Awaitable[None]]


async def connect(sock: socket.socket, address: tuple[str, int], limit: float, establish: Establish) -> None:
    """Connect a non-blocking socket.

    Parameters
    ----------
    sock
        The socket; the caller closes it where this raises.
    address
        Host and port.
    limit
        Seconds that the server has.
    establish
        How the connection is brought up; `establish` of this module, but in tests.

    Raises
    ------
    OSError
        The server refuses, cannot be reached, or did not accept in time (TimeoutError).
    """
    try:
        async with asyncio.timeout(limit):
            await establish(sock, address)
    except TimeoutError:
        # The server's time is up, unless it was in time and only the loop is late to hear of it: a busy node
        # would else blame its servers, and open the same connection elsewhere again.
        if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_ESTABLISHED:
            raise


async def establish(sock: socket.socket, address: tuple[str, int]) -> None:
    """Bring a connection up, however long that takes. Raises OSError where the server refuses."""
    # Begun at once: a loop that begins it a turn later takes that turn from the server's time.
    error = sock.connect_ex(address)
    if error == errno.EINPROGRESS:
        loop = asyncio.get_running_loop()
        writable = asyncio.Event()
        loop.add_writer(sock, writable.set)
        try:
            await writable.wait()
        finally:
            loop.remove_writer(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
