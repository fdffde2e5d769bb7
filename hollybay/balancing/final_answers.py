"""The end of a request: its final response, and the cancellation of attempts that are still in flight."""

from __future__ import annotations

from .decision_context import DecisionContext
from .interface import Action, Cancel, ClientDisconnected, Fail, Reject
from .retries import is_client_retry_harmless
from .state import FINISHED, TrackedRequest

__all__ = ["FinalAnswers"]


class FinalAnswers:
    """Ends requests, each exactly once.

    Parameters
    ----------
    context
        The node's state and components, and the event being handled.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.settings = context.settings
        self.requests = context.requests
        self.load_shedder = context.load_shedder

    def reject(self, request: TrackedRequest) -> None:
        """Reject a request because of overload."""
        self.finish(request, Reject(request.id, self.load_shedder.retry_after(request)))

    def reject_or_fail(self, request: TrackedRequest) -> None:
        """End a request that gets no further attempt: reject it if a client may retry it, else fail it."""
        if not is_client_retry_harmless(self.settings.classes[request.class_index], request.attempts):
            self.finish(request, Fail(request.id))
        elif self.load_shedder.is_overloaded:
            self.reject(request)
        else:
            self.finish(request, Reject(request.id, 0))

    def finish(self, request: TrackedRequest, action: Action | None) -> None:
        """End a request with an action; None if its client has the response or has disconnected."""
        request.phase = FINISHED
        actions = self.context.actions
        if action is not None:
            actions.append(action)
        if not request.in_flight_attempts:
            self.requests.pop(request.id, None)
        elif self.settings.cancel_allowed:
            for number, attempt in enumerate(request.attempts):
                if attempt.result is None:
                    actions.append(Cancel(request.id, number))

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """End a request whose client has disconnected."""
        request = self.requests.get(event.id)
        if request is not None and request.phase is not FINISHED:
            self.finish(request, None)
