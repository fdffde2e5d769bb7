"""Opening of TCP connections with a timeout that is checked against the state of the kernel."""

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
        The socket; the caller closes it if this raises.
    address
        Host and port.
    limit
        Timeout (s).
    establish
        Function that establishes the connection: `establish` of this module, except in tests.

    Raises
    ------
    OSError
        The server refused the connection, cannot be reached, or did not accept in time (TimeoutError).
    """
    try:
        async with asyncio.timeout(limit):
            await establish(sock, address)
    except TimeoutError:
        # The server may have accepted in time while the event loop was too busy to notice. Without this
        # check, a busy node would blame its servers, and would open another connection elsewhere.
        if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_ESTABLISHED:
            raise


async def establish(sock: socket.socket, address: tuple[str, int]) -> None:
    """Establish a connection, without a timeout. Raises OSError if that fails."""
    # Called directly, as a delay of one iteration of the event loop would count against the server's time.
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
