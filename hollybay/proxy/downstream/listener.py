"""The listener: accepts client connections while there is room, and closes those that overstay."""

from __future__ import annotations

import asyncio
import logging
import socket

from .. import system
from ..config import Config
from ..request_dispatcher import RequestDispatcher
from .client_context import ACCEPT_BATCH, ClientContext
from .connection import ClientConnection

__all__ = ["ClientListener"]

log = logging.getLogger("hollybay.proxy")

# The pause after an accept that failed for lack of a resource.
ACCEPT_PAUSE_S = 0.1
# The same where no connection could be closed to make room.
FULL_PAUSE_S = 0.01
# The kernel's queue of connections not yet accepted: a burst of connections waits there, and none is refused.
BACKLOG = 4096
SWEEP_INTERVAL_S = 0.25


class ClientListener(ClientContext[ClientConnection]):
    """Accepts client connections, and closes those that stay in a phase for too long.

    Attributes
    ----------
    listener
        The listening socket; None: it is not listening.
    pending_accepts
        Tasks of connections that are accepted and not yet in the table.
    """

    def __init__(self, config: Config, dispatcher: RequestDispatcher, limit: int) -> None:
        super().__init__(config, dispatcher, limit)
        self.listener: socket.socket | None = None
        self.pending_accepts: set[asyncio.Task[None]] = set()
        self.sweeper: asyncio.TimerHandle | None = None

    async def listen(self, port: int | None = None) -> int:
        """Begin to accept.

        Parameters
        ----------
        port
            None: the configured port.

        Returns
        -------
        int
            The port.
        """
        host, configured = self.config.listen
        port = configured if port is None else port
        sock = system.tcp_socket(host)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.config.admin is not None:
            # Where operators run nodes, a new version listens beside the old one.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self.listener = sock
        self._resume_accepting()
        self._sweep()
        return int(sock.getsockname()[1])

    def any_left(self) -> bool:
        """Tell whether any client is connected; one that was just accepted may have sent a request."""
        return bool(self.connections or self.pending_accepts)

    def stop_listening(self, anyway: bool = False) -> bool:
        """Stop accepting once all connections are accepted that the kernel has completed.

        Closing the listener would reset those that wait in its queue.

        Parameters
        ----------
        anyway
            Close the listener even if some are waiting.

        Returns
        -------
        bool
            False: some are waiting for room, and the listener is still open.
        """
        if self.listener is not None:
            if not self._accept() and not anyway:
                return False
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        return True

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self.stop_listening(anyway=True)
        if self.sweeper is not None:
            self.sweeper.cancel()
        for conn in list(self.connections):
            conn.abort()

    def _resume_accepting(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self._accept)

    def _pause_accepting(self, pause: float) -> None:
        """Accept nothing for a time (s)."""
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.loop.call_later(pause, self._resume_accepting)

    def _accept(self) -> bool:
        """Accept waiting connections as far as there is room, and a few more, which displace others.

        Connections left in the kernel's queue age there: with a fixed number for each turn of the loop, a
        busy node would read only requests that clients have given up. Without a bound, a flood of connections
        would use up the descriptors before any connection could be closed.

        Returns
        -------
        bool
            Whether no connection is waiting any more.
        """
        if self.listener is None:
            return True
        self.make_room()  # connections that could not be closed a moment ago may be answered by now
        room = self.limit - len(self.connections) - len(self.pending_accepts)
        # Where none could be closed, there are more connections than the limit already: the few beyond it.
        batch = max(room, ACCEPT_BATCH + min(room, 0))
        for _ in range(batch):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except ConnectionError:  # the client has gone again
                continue
            except OSError as error:
                log.error("accept: %s", error)
                self._pause_accepting(ACCEPT_PAUSE_S)
                return False
            self._start_taking(sock)
        if batch <= 0:
            self._pause_accepting(FULL_PAUSE_S)
        return False

    def _start_taking(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        task = self.loop.create_task(self._take(sock))
        self.pending_accepts.add(task)
        task.add_done_callback(self.pending_accepts.discard)

    async def _take(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self, sock), sock)
        except OSError:  # the client has gone again
            sock.close()

    def _sweep(self) -> None:
        """Close connections that have stayed in their phase for too long."""
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for conn in self.overdue(self.unfinished, now - self.phase_timeouts.unfinished):
            if conn.is_request_overdue(now):
                conn.reject_unfinished()
        for conn in self.overdue(self.silent, now - self.phase_timeouts.silent):
            conn.close_if_idle()
        for conn in self.overdue(self.idle, now - self.phase_timeouts.idle):
            conn.close_if_idle()
        for conn in self.overdue(self.writing, now - self.phase_timeouts.writing):
            conn.abort()
