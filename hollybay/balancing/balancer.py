"""The decisions of one node: events in, actions out, no I/O. Events and actions are defined in `interface`.

This module dispatches each event to the component that handles it: `request_acceptance` (new requests),
`further_attempts` (retries, hedges, waiting for a server), `attempt_tracking` (attempts in flight),
`final_answers` (final responses), `server_updates` (server lists and reviews), `wakeup_dispatch` (timers).

These components rely on one module per decision: `server_selection` (which server), `cross_zone` (which
zone), `load_shedding` (which requests are rejected), `retries` and `hedging` (further attempts), `estimates`
(what is learned from responses), `endpoints` (the server list), `discovery_polling` (when it is polled).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .attempt_tracking import AttemptTracker
from .decision_context import DecisionContext
from .final_answers import FinalAnswers
from .further_attempts import FurtherAttempts
from .interface import (
    Action,
    AttemptFinished,
    ClientDisconnected,
    Event,
    PeerLoad,
    Request,
    RequestCompleted,
    ResponseStarted,
    ServerId,
    ServerList,
    SetTimer,
    Settings,
    TimerFired,
)
from .request_acceptance import RequestAcceptance
from .server_updates import ServerUpdates
from .state import TrackedServer
from .wakeup_dispatch import WakeupDispatch

__all__ = ["Balancer"]

# The token of a balancer's only timer.
TIMER_TOKEN = 1


class Balancer:
    """Makes the decisions of one node.

    Parameters
    ----------
    settings
        The node's settings.
    seed
        Seed of its random numbers.
    now
        The time (ns) of the caller's clock.

    Attributes
    ----------
    requests
        Requests by id that have no final response yet, or have attempts in flight.
    servers
        All listed servers that are not gone, by id.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        context = self._context = DecisionContext(settings, seed, now)
        self.settings = settings
        self.random = context.random
        self.requests = context.requests
        self.servers: dict[ServerId, TrackedServer] = context.endpoints.servers
        self.estimates = context.estimates
        self.retry_policy = context.retry_policy
        self.load_shedder = context.load_shedder
        self.selector = context.selector
        self._wakeups = context.wakeups
        self._handlers = _event_handlers(context)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event that occurs at a time (ns), and return the resulting actions in order."""
        context = self._context
        context.now = now
        actions = context.actions = []
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        delay = self._wakeups.arm(now)
        if delay:
            actions.append(SetTimer(delay, TIMER_TOKEN))
        return actions

    def avoids(self, server_id: ServerId) -> bool:
        """Whether a listed server gets no new attempts at present."""
        server = self.servers.get(server_id)
        return server is not None and server.speed_class is None


def _event_handlers(context: DecisionContext) -> dict[type, Callable[[Any], None]]:
    """Return the handlers of events by event type.

    No component refers back to the balancer, so that a discarded balancer leaves no reference cycle behind.
    """
    attempts = AttemptTracker(context)
    answers = FinalAnswers(context)
    further_attempts = FurtherAttempts(context, attempts, answers)
    acceptance = RequestAcceptance(context, attempts, further_attempts, answers)
    server_updates = ServerUpdates(context)
    wakeups = WakeupDispatch(context, server_updates, further_attempts)
    return {
        AttemptFinished: further_attempts.on_attempt_finished,
        Request: acceptance.on_request,
        TimerFired: wakeups.on_timer_fired,
        ServerList: server_updates.on_server_list,
        ClientDisconnected: answers.on_client_disconnected,
        ResponseStarted: attempts.on_response_started,
        RequestCompleted: attempts.on_request_completed,
        PeerLoad: lambda event: context.selector.apply_peer_load(event, context.now),
    }
