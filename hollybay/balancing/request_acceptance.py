"""Handling of new requests: a request is rejected, sent to a server, or waits for one."""

from __future__ import annotations

from .attempt_tracking import AttemptTracker
from .decision_context import DecisionContext
from .final_answers import FinalAnswers
from .further_attempts import FurtherAttempts
from .interface import Fail, Request
from .state import TrackedRequest
from .wakeups import WakeupKind

__all__ = ["RequestAcceptance"]


class RequestAcceptance:
    """Accepts or rejects each request, and starts its first attempt.

    Parameters
    ----------
    context
        The node's state and components, and the event being handled.
    attempts
        Sends attempts.
    further_attempts
        Lets requests wait for a server.
    answers
        Ends requests.
    """

    def __init__(
        self,
        context: DecisionContext,
        attempts: AttemptTracker,
        further_attempts: FurtherAttempts,
        answers: FinalAnswers,
    ) -> None:
        self.context = context
        self.settings = context.settings
        self.requests = context.requests
        self.wakeups = context.wakeups
        self.estimates = context.estimates
        self.retry_policy = context.retry_policy
        self.load_shedder = context.load_shedder
        self.selector = context.selector
        self.hedging = context.hedging
        self.attempts = attempts
        self.further_attempts = further_attempts
        self.answers = answers

    def on_request(self, event: Request) -> None:
        """Handle a new request."""
        now = self.context.now
        self.estimates.arrivals += 1
        self.retry_policy.record_request()
        request = self.requests[event.id] = TrackedRequest(event, now)
        if event.class_index >= len(self.settings.classes):
            self.answers.finish(request, Fail(event.id))
            return
        self.estimates.offered[event.class_index] += 1.0
        if self.load_shedder.rejects_for_node(event, self.selector.largest_size, now):
            self.answers.reject(request)
            return
        self.retry_policy.deposit(event.limits)
        server = self.selector.pick(request, now)
        # A request within the budget of a starting server delays no other requests.
        starting = server is not None and server.slow_start_factor < 1.0
        if not starting and self.load_shedder.rejects_for_load(event.class_index, server, now):
            self.answers.reject(request)
            return
        if server is None:
            self.further_attempts.wait(request)
            return
        self.attempts.send(request, server)
        if event.limits is not None:
            delay = self.hedging.delay(event.limits, self.settings.classes[event.class_index])
            if delay is not None:
                self.wakeups.schedule(now + delay, WakeupKind.HEDGE, event.id)
