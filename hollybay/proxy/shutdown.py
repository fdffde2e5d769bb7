"""Graceful shutdown of a node: serve for a while, then respond to all open requests before SIGKILL."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from hollybay.proxy.downstream.listener import ClientListener
from hollybay.proxy.downstream.service_state import ServiceEvent
from hollybay.units import SECOND

from .request_dispatcher import RequestDispatcher

if TYPE_CHECKING:
    from .handover import ListenerGroup

__all__ = ["shut_down_gracefully"]

log = logging.getLogger("hollybay.proxy")

# Phases: SIGTERM | accept | serve open connections | final period | last responses | margin | SIGKILL
#
# Load balancers in front send new connections for up to 0.4 s after SIGTERM.
ACCEPT_PERIOD_S = 0.55
# The platform sends SIGKILL after the longest request deadline, but at most MAX_DEADLINE_S, plus this delay.
# A request with a longer deadline may therefore get its final response early, when the process ends.
KILL_DELAY_S = 0.7
MAX_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.3  # between the end of the shutdown and SIGKILL
# Time at the end for requests that are still in flight. Before it, clients are served on their open
# connections: in a rolling restart, the next node may not be ready yet.
FINAL_PERIOD_S = 1.2
LAST_RESPONSES_S = 0.1  # time at the end for the responses to requests that are ended unfinished

ACCEPT_POLL_INTERVAL_S = 0.01
CLIENTS_POLL_INTERVAL_S = 0.02


async def shut_down_gracefully(
    clients: ClientListener,
    dispatcher: RequestDispatcher,
    accept_period_s: float = ACCEPT_PERIOD_S,
    final_period_s: float = FINAL_PERIOD_S,
    listener_group: ListenerGroup | None = None,
) -> None:
    """Serve clients until the process must end, then end all requests with a response.

    Parameters
    ----------
    clients, dispatcher
        Downstream side and request dispatcher of the node.
    accept_period_s
        How long new connections are accepted (s).
    final_period_s
        Time before the end at which connections are closed even if their clients keep using them (s).
    listener_group
        The processes of this node that listen on its address. If another one has taken over, the node
        continues to report itself as ready, unless an operator has drained it, and closes each connection
        after its next response.
    """
    has_successor = listener_group is not None and listener_group.count_others() > 0
    if listener_group is not None:
        listener_group.look_up_ids()
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    end = started_at + _longest_deadline_s(dispatcher) + KILL_DELAY_S - KILL_MARGIN_S
    final_period_start = end - final_period_s
    log.info(
        "shutting down: %d requests unfinished, %d client connections",
        dispatcher.unfinished_requests,
        len(clients.connections),
    )
    if has_successor:
        clients.advance(ServiceEvent.CLOSING_STARTED)
    else:
        clients.advance(ServiceEvent.DRAIN_STARTED)
    await asyncio.sleep(accept_period_s)
    await _stop_listening(clients, final_period_start)
    if listener_group is not None:
        listener_group.leave()
    while clients.has_connections() and loop.time() < final_period_start:
        await asyncio.sleep(CLIENTS_POLL_INTERVAL_S)
    await _close_connections(clients, until=end - LAST_RESPONSES_S)
    clients.forwarding_stopped = True  # requests that are complete only now are rejected
    dispatcher.end_all_requests()
    clients.reject_unread()
    await asyncio.sleep(LAST_RESPONSES_S if clients.has_connections() else 0)
    log.info("drained in %.2f s, %d connections left", loop.time() - started_at, len(clients.connections))


def _longest_deadline_s(dispatcher: RequestDispatcher) -> float:
    """Return the longest deadline of a request class (s), limited to MAX_DEADLINE_S."""
    longest_deadline_s = max(request_class.deadline for request_class in dispatcher.settings.classes) / SECOND
    return min(longest_deadline_s, MAX_DEADLINE_S)


async def _stop_listening(clients: ClientListener, final_period_start: float) -> None:
    """Stop listening when the accept queue is empty, or at the start of the final period (a loop time)."""
    loop = asyncio.get_running_loop()
    while not clients.stop_listening(force=loop.time() >= final_period_start):
        await asyncio.sleep(ACCEPT_POLL_INTERVAL_S)


async def _close_connections(clients: ClientListener, until: float) -> None:
    """Close each connection after its next response, until none is left or a loop time is reached."""
    clients.advance(ServiceEvent.CLOSING_STARTED)
    loop = asyncio.get_running_loop()
    while clients.has_connections() and loop.time() < until:
        clients.close_idle()
        await asyncio.sleep(CLIENTS_POLL_INTERVAL_S)
