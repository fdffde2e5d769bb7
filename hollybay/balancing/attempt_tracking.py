"""Sends attempts, counts those in flight at each server, and passes their results to the estimates."""

from __future__ import annotations

from .decision_context import DecisionContext
from .interface import AttemptFinished, RequestCompleted, ResponseStarted, Send
from .server_pool import remove_from_idle
from .slow_start import SlowStart
from .state import TrackedAttempt, TrackedRequest, TrackedServer

__all__ = ["AttemptTracker"]


class AttemptTracker:
    """Sends attempts and counts those in flight.

    Parameters
    ----------
    context
        The node's state and components, and the event being handled.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.requests = context.requests
        self.endpoints = context.endpoints
        self.estimates = context.estimates
        self.retry_policy = context.retry_policy
        self.selector = context.selector
        self.queueing_delay = context.load_shedder.queueing_delay

    def send(self, request: TrackedRequest, server: TrackedServer) -> None:
        """Start an attempt of a request at a server."""
        now = self.context.now
        write_deadline = self.retry_policy.write_deadline(request)
        attempt = TrackedAttempt(server, now)
        request.attempts.append(attempt)
        request.in_flight_attempts += 1
        server.open_attempts += 1
        self.estimates.traffic_share.record_attempt()
        if not request.body_pending:
            self._add_in_flight(attempt)
        if server.slow_start_factor < 1.0:
            SlowStart.record_send(server, now)
            # Unlists the server if the body is pending: such an attempt is not counted in flight yet.
            self.selector.schedule_idle(server, now)
        limits = request.limits
        timeout = limits.attempt_timeout if limits is not None else 0
        self.context.actions.append(Send(request.id, server.id, timeout, write_deadline))

    def on_request_completed(self, event: RequestCompleted) -> None:
        """Count attempts whose body is complete: a server starts work with the last byte of the request."""
        request = self.requests.get(event.id)
        if request is None or not request.body_pending:
            return
        request.body_pending = False
        for attempt in request.attempts:
            if attempt.result is None:
                self._add_in_flight(attempt)

    def on_response_started(self, event: ResponseStarted) -> None:
        """Stop counting a streamed attempt as in flight: what remains is sent at the pace of the client."""
        request = self.requests.get(event.id)
        if request is None or event.attempt >= len(request.attempts):
            return
        request.streaming = True
        attempt = request.attempts[event.attempt]
        self._remove_in_flight(attempt)
        self.selector.schedule_idle(attempt.server, self.context.now)

    def finish(self, request: TrackedRequest, attempt: TrackedAttempt, event: AttemptFinished) -> None:
        """Record an attempt's result, update estimates, and list its server as idle, eject or remove it."""
        attempt.result = event.result
        request.in_flight_attempts -= 1
        server = attempt.server
        server.open_attempts -= 1
        self._remove_in_flight(attempt)
        if self.estimates.observe(server, request, event, self.context.now, self.endpoints.stale):
            self.selector.eject(server)
        self.endpoints.remove_if_gone(server)
        self.selector.schedule_idle(server, self.context.now)

    def _add_in_flight(self, attempt: TrackedAttempt) -> None:
        """Count an attempt as in flight at its server."""
        attempt.is_counted = True
        self.queueing_delay.attempt_started(self.context.now)
        attempt.server.in_flight += 1
        remove_from_idle(attempt.server)

    def _remove_in_flight(self, attempt: TrackedAttempt) -> None:
        """Stop counting an attempt as in flight at its server."""
        if attempt.is_counted:
            attempt.is_counted = False
            self.queueing_delay.attempt_ended(self.context.now)
            attempt.server.in_flight = max(0, attempt.server.in_flight - 1)
