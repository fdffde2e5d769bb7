"""Listener: accepts client connections within their limit, and closes those that exceed a timeout."""

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

# Pause after an accept that failed, as a rule for lack of descriptors or memory.
ACCEPT_PAUSE_S = 0.1
# Pause when the limit is reached and no connection could be closed to make room.
FULL_PAUSE_S = 0.01
# Length of the kernel's accept queue, which holds a burst of connections without refusing any.
BACKLOG = 4096
SWEEP_INTERVAL_S = 0.25


class ClientListener(ClientContext[ClientConnection]):
    """Accepts client connections, and closes those that stay in a phase for too long.

    Attributes
    ----------
    listener
        The listening socket; None while it is not listening.
    pending_accepts
        Tasks that set up accepted connections, which are not in the connection table yet.
    sweep_timer
        Timer of the next check of the timeouts; None before `listen`.
    """

    def __init__(self, config: Config, dispatcher: RequestDispatcher, limit: int) -> None:
        super().__init__(config, dispatcher, limit)
        self.listener: socket.socket | None = None
        self.pending_accepts: set[asyncio.Task[None]] = set()
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def listen(self, port: int | None = None) -> int:
        """Listen and accept connections.

        Parameters
        ----------
        port
            Port to listen on; None for the configured one.

        Returns
        -------
        int
            Port that it listens on.
        """
        host, configured = self.config.listen
        port = configured if port is None else port
        sock = system.tcp_socket(host)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.config.admin is not None:
            # During an upgrade, the processes of the old and the new version listen on the same port.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self.listener = sock
        self._resume_accepting()
        self._sweep()
        return int(sock.getsockname()[1])

    def has_connections(self) -> bool:
        """Whether any client is connected, including accepted connections that are still being set up."""
        return bool(self.connections or self.pending_accepts)

    def stop_listening(self, force: bool = False) -> bool:
        """Close the listening socket once the accept queue is empty.

        Closing it resets the connections that are still in the queue.

        Parameters
        ----------
        force
            Close the socket even if connections are waiting.

        Returns
        -------
        bool
            Whether the socket is closed; False if connections are waiting and there is no room for them.
        """
        if self.listener is not None:
            if not self._accept() and not force:
                return False
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        return True

    def close(self) -> None:
        """Close the listening socket and all connections at once."""
        self.stop_listening(force=True)
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for conn in list(self.connections):
            conn.abort()

    def _resume_accepting(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self._accept)

    def _pause_accepting(self, pause: float) -> None:
        """Pause accepting for a time (s)."""
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.loop.call_later(pause, self._resume_accepting)

    def _accept(self) -> bool:
        """Accept as many waiting connections as there is room for, and a few more, which displace others.

        Accepting a small fixed number per iteration of the event loop would leave connections in the kernel's
        queue for so long that a busy node would read only requests that have already expired. Accepting
        without a limit would let a flood of connections use up the descriptors before any connection could be
        closed.

        Returns
        -------
        bool
            Whether the accept queue is empty.
        """
        if self.listener is None:
            return True
        self.make_room()  # connections that could not be closed before may have completed their request
        room = self.limit - len(self.connections) - len(self.pending_accepts)
        # If nothing could be closed, the limit may be exceeded already, by at most ACCEPT_BATCH connections.
        batch = max(room, ACCEPT_BATCH + min(room, 0))
        for _ in range(batch):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except ConnectionError:  # the client has disconnected already
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
        except OSError:  # the client has disconnected already
            sock.close()

    def _sweep(self) -> None:
        """Close connections that have stayed in their phase for too long."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for conn in self.overdue(self.unfinished, now - self.phase_timeouts.unfinished):
            if conn.is_request_overdue(now):
                conn.reject_unfinished()
        for conn in self.overdue(self.silent, now - self.phase_timeouts.silent):
            conn.close_if_idle()
        for conn in self.overdue(self.idle, now - self.phase_timeouts.idle):
            conn.close_if_idle()
        for conn in self.overdue(self.writing, now - self.phase_timeouts.writing):
            # Otherwise the client has read everything, and the server is waited for, which has its own limit.
            if conn.is_write_buffered:
                self.dispatcher.counters.stalled_clients += 1
                conn.abort()
