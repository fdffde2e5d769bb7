"""Retries, hedges and waits: what follows if an attempt fails or is slow, or no server may be used."""

from __future__ import annotations

from .attempt_tracking import AttemptTracker
from .decision_context import DecisionContext
from .final_answers import FinalAnswers
from .interface import AttemptFinished
from .load_shedding import SHEDDING_LOSS_SHARE
from .retries import ANYWHERE, RetryScope, is_client_retry_harmless
from .state import ACTIVE, FINISHED, RequestPhase, TrackedRequest, TrackedServer
from .units import MS
from .wakeups import WakeupKind

__all__ = ["FurtherAttempts"]

# A request without a server waits for this many ticks of the clock, and at least this time (ns), before the
# next selection.
SERVER_WAIT_TICKS = 4
MIN_SERVER_WAIT_NS = 20 * MS
# It does not wait any longer if at most this many such intervals are left before its deadline.
MIN_WAITS_LEFT = 2
# A retry needs more than this many ticks before the deadline.
MIN_RETRY_TICKS = 2


class FurtherAttempts:
    """Decides whether a request gets a retry or a hedge, waits for a server, or ends.

    Parameters
    ----------
    context
        The node's state and components, and the event being handled.
    attempts
        Sends attempts.
    answers
        Ends requests.
    """

    def __init__(self, context: DecisionContext, attempts: AttemptTracker, answers: FinalAnswers) -> None:
        self.context = context
        self.settings = context.settings
        self.requests = context.requests
        self.wakeups = context.wakeups
        self.retry_policy = context.retry_policy
        self.load_shedder = context.load_shedder
        self.selector = context.selector
        self.hedging = context.hedging
        self.attempts = attempts
        self.answers = answers
        self.server_wait = max(SERVER_WAIT_TICKS * context.settings.tick, MIN_SERVER_WAIT_NS)  # ns

    def on_attempt_finished(self, event: AttemptFinished) -> None:
        """Record an attempt's result, and end the request, retry it or wait for its other attempts."""
        request = self.requests.get(event.id)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.result is not None:
            return
        self.attempts.finish(request, attempt, event)
        if request.phase is FINISHED:
            if not request.in_flight_attempts:
                self.requests.pop(request.id, None)
        elif event.final:
            self.answers.finish(request, None)
        elif not request.in_flight_attempts:
            self._retry(request)

    def on_wakeup(self, kind: WakeupKind, request_id: int) -> None:
        """Hedge a request, or select a server again for a request that waits for one."""
        request = self.requests.get(request_id)
        if request is None or request.phase is FINISHED:
            return
        if kind == WakeupKind.HEDGE:
            server = self.hedging.pick(request, self.context.now)
            if server is not None:
                self.attempts.send(request, server)
        elif request.phase is RequestPhase.WAITING:
            request.phase = ACTIVE
            self._retry(request)

    def wait(self, request: TrackedRequest) -> None:
        """Let a request wait for a usable server, or end it if too little time is left."""
        request.phase = RequestPhase.WAITING
        now = self.context.now
        if request.deadline - now <= MIN_WAITS_LEFT * self.server_wait:
            self.answers.reject_or_fail(request)
            return
        self.wakeups.schedule(now + self.server_wait, WakeupKind.SERVER_WAIT, request.id)

    def _retry(self, request: TrackedRequest) -> None:
        """Start another attempt of a request with none in flight if that is safe and allowed, or end it."""
        scope = self.retry_policy.scope_of(request, self.context.now, self.settings.hedging_allowed)
        if scope is None or not self._may_retry(request):
            self.answers.reject_or_fail(request)
            return
        server = self._pick(request, scope)
        if server is None:
            if request.attempts and scope is not ANYWHERE:
                self.answers.reject_or_fail(request)
            else:
                self.wait(request)
            return
        if request.attempts:
            if not self.retry_policy.withdraw(request.limits):
                self.answers.reject_or_fail(request)
                return
            self.retry_policy.retry_tokens -= 1.0
        self.attempts.send(request, server)

    def _may_retry(self, request: TrackedRequest) -> bool:
        """Whether there is time for another attempt and, if it is a retry, whether retries are left."""
        if request.deadline - self.context.now <= MIN_RETRY_TICKS * self.settings.tick:
            return False
        if not request.attempts:
            return True
        if self.retry_policy.retry_tokens < 1.0:
            return False
        # While load is shed all servers are busy: retries would only add to the congestion.
        if self.load_shedder.shed_share <= SHEDDING_LOSS_SHARE:
            return True
        return not is_client_retry_harmless(self.settings.classes[request.class_index], request.attempts)

    def _pick(self, request: TrackedRequest, scope: RetryScope) -> TrackedServer | None:
        if scope is ANYWHERE:
            return self.selector.pick(request, self.context.now)
        return self.selector.pick_within(request, scope, self.context.now)
