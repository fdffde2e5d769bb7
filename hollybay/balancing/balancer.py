"""The decisions of one node: events in, actions out, no I/O. Both are defined in `interface`.

This module leads each request and attempt through its life. What is decided on the way has modules of its
own: `server_selection` (which server), `cross_zone` (which zone), `load_shedding` (what is rejected),
`retries` and `hedging` (further attempts), `estimates` (what answers tell), `endpoints` (the server list),
`discovery_polling` (when it is asked for).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, ClassVar

from .cross_zone import CrossZoneRouter
from .discovery_polling import PollSchedule
from .endpoints import Endpoints
from .estimates import REVIEW_INTERVAL_NS, Estimates
from .hedging import Hedging
from .interface import (
    Action,
    AttemptFinished,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    ListKind,
    PeerLoad,
    Reject,
    Request,
    RequestCompleted,
    ResponseStarted,
    Send,
    ServerId,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
    WatchServers,
)
from .load_shedding import SHEDDING_LOSS_SHARE, LoadShedder
from .rendezvous import rendezvous_rank
from .retries import ANYWHERE, RetryPolicy, RetryScope, is_client_retry_harmless
from .server_pool import remove_from_idle
from .server_selection import ServerSelector
from .slow_start import SlowStart
from .state import ACTIVE, FINISHED, Attempt, PendingRequest, RequestPhase, Server
from .units import MS
from .wakeups import WakeupKind, WakeupQueue

__all__ = ["Balancer"]

# The token of the one timer that a balancer sets.
TIMER_TOKEN = 1
# A request without a server is tried again after this many ticks of the clock, and at least this time (ns).
SERVER_WAIT_TICKS = 4
MIN_SERVER_WAIT_NS = 20 * MS
# It is given up where less than this many such waits are left.
MIN_WAITS_LEFT = 2
# A retry needs more than this many ticks before the deadline.
MIN_RETRY_TICKS = 2


class Balancer:
    """Decides for one node.

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
        Requests by id that have no final answer, or have attempts in flight.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = now
        self.actions: list[Action] = []
        self.requests: dict[int, PendingRequest] = {}
        self.list_received = False
        self.wakeups = WakeupQueue()
        rank = rendezvous_rank("calls", settings.node, settings.nodes)
        self.poll_schedule = PollSchedule(rank, settings.nodes, settings.poll_within)
        self.endpoints = Endpoints(settings, now)
        self.estimates = Estimates(settings, now)
        self.retry_policy = RetryPolicy(settings)
        self.cross_zone = CrossZoneRouter(settings, self.estimates, now)
        self.load_shedder = LoadShedder(settings, self.estimates, self.random, now)
        self.selector = ServerSelector(
            settings, self.endpoints, self.cross_zone, self.load_shedder, self.random
        )
        self.hedging = Hedging(settings, self.estimates, self.retry_policy, self.selector)

    @property
    def servers(self) -> dict[ServerId, Server]:
        """All servers that a list has named and that are not gone."""
        return self.endpoints.servers

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at a time (ns), and return the actions that answer it, in order."""
        self.now = now
        self.actions = []
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(self, event)
        delay = self.wakeups.arm(now)
        if delay:
            self.actions.append(SetTimer(delay, TIMER_TOKEN))
        return self.actions

    def avoids(self, server_id: ServerId) -> bool:
        """Whether nothing new goes to a server that lists offer."""
        server = self.servers.get(server_id)
        return server is not None and server.speed_class is None

    # Timers and lists

    def _on_timer_fired(self, _: TimerFired) -> None:
        self.wakeups.timer_fired(self.now)
        while (wakeup := self.wakeups.pop_due(self.now)) is not None:
            if wakeup.kind == WakeupKind.REVIEW:
                self._review()
            elif wakeup.kind == WakeupKind.POLL:
                self.poll_schedule.poll_started(self.now)
                self.actions.append(WatchServers(True))
            else:
                self._wake_request(wakeup.kind, wakeup.request_id)

    def _review(self) -> None:
        if self.estimates.review(self.now):
            self._update_cross_zone()
            self.load_shedder.update(self.now)
        self.selector.rebuild(self.now)
        self.wakeups.schedule(self.now + REVIEW_INTERVAL_NS, WakeupKind.REVIEW)

    def _wake_request(self, kind: WakeupKind, request_id: int) -> None:
        request = self.requests.get(request_id)
        if request is None or request.phase is FINISHED:
            return
        if kind == WakeupKind.HEDGE:
            server = self.hedging.pick(request, self.now)
            if server is not None:
                self._send(request, server)
        elif request.phase is RequestPhase.WAITING:
            request.phase = ACTIVE
            self._retry(request)

    def _on_server_list(self, event: ServerList) -> None:
        now = self.now
        if not self.list_received:
            self.list_received = True
            self.wakeups.schedule(now + REVIEW_INTERVAL_NS, WakeupKind.REVIEW)
            if self.settings.poll_required and event.kind == ListKind.CACHED:
                self.wakeups.schedule(now + self.poll_schedule.first_delay(), WakeupKind.POLL)
        if event.kind == ListKind.FAILED:
            delay = self.poll_schedule.poll_failed(now, self.random.random())
            self.wakeups.schedule(now + delay, WakeupKind.POLL)
            return
        if event.kind != ListKind.CACHED:
            self.poll_schedule.list_received()
        self.endpoints.apply(event, now)
        self.selector.rebuild(now)
        self._update_cross_zone()

    def _update_cross_zone(self) -> None:
        self.cross_zone.update(self.now, self.endpoints.stale, self.selector.has_remote)

    def _on_peer_load(self, event: PeerLoad) -> None:
        self.selector.apply_peer_load(event)

    # Requests

    def _on_request(self, event: Request) -> None:
        self.estimates.arrivals += 1
        self.retry_policy.record_request()
        request = self.requests[event.id] = PendingRequest(event, self.now)
        if event.class_index >= len(self.settings.classes):
            self._finish(request, Fail(event.id))
            return
        self.estimates.offered[event.class_index] += 1.0
        if self.load_shedder.rejects_for_node(event, self.selector.largest_size, self.now):
            self._reject(request)
            return
        self.retry_policy.deposit(event.limits)
        server = self.selector.pick(request, self.now)
        # A starting server's budget was set apart for it, and keeps nobody waiting.
        starting = server is not None and server.slow_start_factor < 1.0
        if not starting and self.load_shedder.rejects_for_load(event.class_index, server, self.now):
            self._reject(request)
            return
        if server is None:
            self._wait(request)
            return
        self._send(request, server)
        if event.limits is not None:
            delay = self.hedging.delay(event.limits, self.settings.classes[event.class_index])
            if delay is not None:
                self.wakeups.schedule(self.now + delay, WakeupKind.HEDGE, event.id)

    def _send(self, request: PendingRequest, server: Server) -> None:
        write_deadline = self.retry_policy.write_deadline(request)
        attempt = Attempt(server, self.now)
        request.attempts.append(attempt)
        request.in_flight_attempts += 1
        self.estimates.traffic_share.record_attempt()
        if not request.body_pending:
            self._attempt_started(attempt)
        if server.slow_start_factor < 1.0:
            SlowStart.record_send(server, self.now)
        limits = request.limits
        timeout = limits.attempt_timeout if limits is not None else 0
        self.actions.append(Send(request.id, server.id, timeout, write_deadline))

    def _wait(self, request: PendingRequest) -> None:
        """Hold a request for which no server may be used, while there is time, or give it up."""
        request.phase = RequestPhase.WAITING
        wait = max(SERVER_WAIT_TICKS * self.settings.tick, MIN_SERVER_WAIT_NS)
        if request.deadline - self.now <= MIN_WAITS_LEFT * wait:
            self._give_up(request)
            return
        self.wakeups.schedule(self.now + wait, WakeupKind.SERVER_WAIT, request.id)

    def _retry(self, request: PendingRequest) -> None:
        """Send a request with no attempt in flight again where that is safe and allowed, or give it up."""
        scope = self.retry_policy.scope_of(request, self.now, self.settings.hedging_allowed)
        if scope is None or not self._may_retry(request):
            self._give_up(request)
            return
        server = self._pick_retry(request, scope)
        if server is None:
            if request.attempts and scope is not ANYWHERE:
                self._give_up(request)
            else:
                self._wait(request)
            return
        if request.attempts:
            if not self.retry_policy.withdraw(request.limits):
                self._give_up(request)
                return
            self.retry_policy.retry_tokens -= 1.0
        self._send(request, server)

    def _may_retry(self, request: PendingRequest) -> bool:
        """Whether there is time for a further attempt, and a retry left where it is one."""
        if request.deadline - self.now <= MIN_RETRY_TICKS * self.settings.tick:
            return False
        if not request.attempts:
            return True
        if self.retry_policy.retry_tokens < 1.0:
            return False
        # While load is shed all servers are full: retries would only feed the congestion.
        if self.load_shedder.shed_share <= SHEDDING_LOSS_SHARE:
            return True
        return not is_client_retry_harmless(self.settings.classes[request.class_index], request.attempts)

    def _pick_retry(self, request: PendingRequest, scope: RetryScope) -> Server | None:
        if scope is ANYWHERE:
            return self.selector.pick(request, self.now)
        return self.selector.pick_within(request, scope, self.now)

    def _reject(self, request: PendingRequest) -> None:
        self._finish(request, Reject(request.id, self.load_shedder.retry_after(request)))

    def _give_up(self, request: PendingRequest) -> None:
        """Give the final answer of a request that gets no further attempt."""
        if not is_client_retry_harmless(self.settings.classes[request.class_index], request.attempts):
            self._finish(request, Fail(request.id))
        elif self.load_shedder.is_overloaded:
            self._reject(request)
        else:
            self._finish(request, Reject(request.id, 0))

    def _finish(self, request: PendingRequest, action: Action | None) -> None:
        """End a request with an action, or with None where the client has its answer or has left."""
        request.phase = FINISHED
        if action is not None:
            self.actions.append(action)
        if not request.in_flight_attempts:
            self.requests.pop(request.id, None)
        elif self.settings.cancel_allowed:
            for number, attempt in enumerate(request.attempts):
                if attempt.result is None:
                    self.actions.append(Cancel(request.id, number))

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.id)
        if request is not None and request.phase is not FINISHED:
            self._finish(request, None)

    # Attempts

    def _on_response_started(self, event: ResponseStarted) -> None:
        """The server of a streamed response has done its work; the rest comes at the client's pace."""
        request = self.requests.get(event.id)
        if request is None or event.attempt >= len(request.attempts):
            return
        request.streaming = True
        attempt = request.attempts[event.attempt]
        self._attempt_ended(attempt)
        self.selector.schedule_idle(attempt.server)

    def _on_request_completed(self, event: RequestCompleted) -> None:
        """A server begins its work with the last byte of a request's body."""
        request = self.requests.get(event.id)
        if request is None or not request.body_pending:
            return
        request.body_pending = False
        for attempt in request.attempts:
            if attempt.result is None:
                self._attempt_started(attempt)

    def _attempt_started(self, attempt: Attempt) -> None:
        """Count an attempt among those in flight at its server."""
        attempt.is_counted = True
        self.load_shedder.queueing_delay.attempt_started(self.now)
        attempt.server.in_flight += 1
        remove_from_idle(attempt.server)

    def _attempt_ended(self, attempt: Attempt) -> None:
        if attempt.is_counted:
            attempt.is_counted = False
            self.load_shedder.queueing_delay.attempt_ended(self.now)
            attempt.server.in_flight = max(0, attempt.server.in_flight - 1)

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        request = self.requests.get(event.id)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.result is not None:
            return
        attempt.result = event.result
        request.in_flight_attempts -= 1
        server = self.servers.get(event.server)
        if server is not None:
            self._attempt_ended(attempt)
            self._observe_result(server, request, event)
        if request.phase is FINISHED:
            if not request.in_flight_attempts:
                self.requests.pop(request.id, None)
        elif event.final:
            self._finish(request, None)
        elif not request.in_flight_attempts:
            self._retry(request)

    def _observe_result(self, server: Server, request: PendingRequest, event: AttemptFinished) -> None:
        """Learn from an attempt's result, and take its server for idle again, eject it or forget it."""
        if self.estimates.observe(server, request, event, self.now, self.endpoints.stale):
            self.selector.eject(server)
        if server.state == ServerState.GONE and not server.in_flight:
            del self.servers[server.id]
        else:
            self.selector.schedule_idle(server)

    # Plain functions, not bound methods: a balancer that is dropped leaves no reference cycle behind.
    _handlers: ClassVar[dict[type, Callable[[Balancer, Any], None]]] = {
        AttemptFinished: _on_attempt_finished,
        Request: _on_request,
        TimerFired: _on_timer_fired,
        ServerList: _on_server_list,
        ClientDisconnected: _on_client_disconnected,
        ResponseStarted: _on_response_started,
        RequestCompleted: _on_request_completed,
        PeerLoad: _on_peer_load,
    }
