"""Drain of the whole node by an operator: it accepts no new clients, but its process keeps running.

This is neither the drain of a server (`hollybay.admin.administrative_drains`) nor the graceful shutdown of
the node's process (`shutdown`).
"""

from __future__ import annotations

import asyncio
import logging

from hollybay.proxy.downstream.listener import ClientListener
from hollybay.proxy.downstream.service_state import HEALTHY_STATES, ServiceEvent

from .request_dispatcher import RequestDispatcher

__all__ = ["NodeDrain"]

log = logging.getLogger("hollybay.proxy")

# Time from the drain of the node until connections are closed. Load balancers in front check readiness ten
# times per second and send new connections for another 0.2 s after a failed check.
NODE_DRAIN_GRACE_S = 0.6
IDLE_CLOSE_INTERVAL_S = 0.05  # interval at which idle connections of a drained node are closed


class NodeDrain:
    """Drains the node and puts it back into service.

    Parameters
    ----------
    clients
        Downstream side of the node, whose readiness and connections the drain controls.
    dispatcher
        Request dispatcher of the node.
    """

    def __init__(self, clients: ClientListener, dispatcher: RequestDispatcher) -> None:
        self.clients = clients
        self.dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None  # set while the node is drained

    def begin(self) -> None:
        """Report the node as not ready at once, and close its connections after a grace period."""
        if self.clients.service_state not in HEALTHY_STATES:
            return
        log.info("node drained by an operator: unfinished requests=%d", self.dispatcher.unfinished_requests)
        self.clients.advance(ServiceEvent.DRAIN_STARTED)
        self._timer = self._loop.call_later(NODE_DRAIN_GRACE_S, self._close_connections)

    def _close_connections(self) -> None:
        self.clients.advance(ServiceEvent.CLOSING_STARTED)
        self.clients.close_idle()
        self._timer = self._loop.call_later(IDLE_CLOSE_INTERVAL_S, self._close_connections)

    def end(self) -> None:
        """Put a drained node back into service; do nothing if it is not drained."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        self.clients.advance(ServiceEvent.RESUMED)
        log.info("node resumed by an operator")

    def close(self) -> None:
        """Stop the timer; the service state does not change."""
        if self._timer is not None:
            self._timer.cancel()
