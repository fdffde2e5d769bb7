"""Dispatcher of client requests: connects the balancer, the upstream pools and the client connections.

The balancer decides which attempts to send, the pools carry the attempts to servers, and the client's
connection writes the response. The dispatcher also enforces what no decision of the balancer may override:
each request gets exactly one final response, and gets it before its deadline.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TypeVarTuple

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.units import MS, SECOND

from . import system
from .balancer_driver import ActionHandlers, BalancerDriver
from .discovery_list import DiscoveryUpdate
from .http_messages import ForwardedRequest, ForwardedResponse
from .interfaces import Client, DiscoveryControl, LoadReporter
from .pending_request import FINISHED, PENDING, UNANSWERED_STATES, PendingRequest, RequestEvent, next_state
from .request_counters import RequestCounters
from .request_ids import RequestIds
from .stalled_attempts import StalledAttempts, cancel_stalled
from .upstream.attempt import UpstreamAttempt
from .upstream.pools import UpstreamPools

__all__ = ["RequestDispatcher"]

log = logging.getLogger("hollybay.proxy")

# Deadlines are shortened by this much, so that the final response reaches the client in time.
ANSWER_MARGIN_NS = 4 * MS
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504

# Arguments of the client method that writes a final response: a response, a status or a time (ns); none where
# the method ends a streamed response.
ResponseArguments = TypeVarTuple("ResponseArguments")

_CONCLUDED = RequestEvent.CONCLUDED


class RequestDispatcher:
    """Tracks the requests of one node and carries out the decisions of its balancer.

    Parameters
    ----------
    settings, seed
        Settings of the balancer, and the seed of its random numbers.
    pools
        The connections to servers.

    Attributes
    ----------
    counters
        Counters of final responses since the start of the process.
    requests
        Requests by number that have no final response yet, or still have attempts in flight.
    request_ids
        Ids that clients gave to their requests: of those that are open, and of those that ended recently.
    unfinished_requests
        Number of requests without a complete final response, including those with a streamed one under way.
    discovery
        Watches and fetches the server list at the balancer's request; None if nothing does.
    apply_drains
        Applies administrative drains to an update of discovery; None if operators cannot drain servers.
    load_reporter
        Exchanges load reports with other nodes; None if load reports are disabled.
    stalled_attempts
        Makes attempts beside those whose response has stalled.
    """

    def __init__(self, settings: api.Settings, seed: int, pools: UpstreamPools) -> None:
        self.settings = settings
        self.pools = pools
        self.counters = RequestCounters(len(settings.classes))
        self.discovery: DiscoveryControl | None = None
        self.apply_drains: Callable[[DiscoveryUpdate], DiscoveryUpdate] | None = None
        self.load_reporter: LoadReporter | None = None
        self.requests: dict[int, PendingRequest] = {}
        self.request_ids = RequestIds(pools.memory)
        self.unfinished_requests = 0
        self.loop = asyncio.get_running_loop()
        self._next_id = 1
        handlers: ActionHandlers = {
            api.Send: self._send,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.CloseIdle: self._close_idle,
            api.Probe: self._probe,
            api.WatchServers: self._watch_servers,
            api.FetchServers: self._fetch_servers,
        }
        self.driver = BalancerDriver(settings, seed, handlers, self._event_failed)
        self.feed = self.driver.feed
        self.stalled_attempts = StalledAttempts(settings, self.loop, self.feed)

    @property
    def balancer(self) -> Balancer:
        """The balancer that decides on the requests."""
        return self.driver.balancer

    # The server list

    def receive_update(self, update: DiscoveryUpdate) -> None:
        """Apply an update of discovery, with administrative drains on top."""
        self.apply_update(update if self.apply_drains is None else self.apply_drains(update))

    def apply_update(self, update: DiscoveryUpdate) -> None:
        """Apply an update of the server list to the pools and to the balancer."""
        self.pools.apply(update)
        self.feed(update.servers)
        self.pools.end_replaced_attempts()
        if self.load_reporter is not None:
            self.load_reporter.servers_changed(self.balancer.servers)

    def discovery_failed(self) -> None:
        """Notify the balancer that a watch or a fetch that it requested has failed."""
        self.feed(api.ServerList(api.ListKind.FAILED))

    # Clients

    def submit(self, client: Client, message: ForwardedRequest, event: api.Request, claimed_id: int) -> int:
        """Accept a request and return its number; it may have its final response before this returns.

        Parameters
        ----------
        client, message
            The client that gets the response, and the message that is sent to a server.
        event
            The balancer's event for the request. This method sets its number, and shortens its `time_left`
            (ns) so that the final response reaches the client in time.
        claimed_id
            Number of the client's id, which this object retires once the request has ended.
        """
        event.time_left = max(1, event.time_left - ANSWER_MARGIN_NS)
        request = self._register(client, message, event, claimed_id)
        if self.load_reporter is not None:
            self.load_reporter.poll()
        self.feed(event)
        return request.id

    def _register(
        self, client: Client, message: ForwardedRequest, event: api.Request, claimed_id: int
    ) -> PendingRequest:
        event.id = self._next_id
        request = PendingRequest(event.id, client, message, event.class_index, claimed_id)
        self._next_id += 1
        self.requests[request.id] = request
        self.unfinished_requests += 1
        request.client_seen_at = system.monotonic_ns()
        self._start_timer(request, event.time_left)
        return request

    def _start_timer(self, request: PendingRequest, time_left: int) -> None:
        request.deadline = system.monotonic_ns() + time_left
        request.timer = self.loop.call_later(time_left / SECOND, self._on_deadline, request)

    def complete_body(self, request_id: int, time_left: int) -> None:
        """Record the end of a streamed body, from which on its client waits for another `time_left` (ns)."""
        request = self.requests.get(request_id)
        if request is None or request.state not in UNANSWERED_STATES:
            return
        request.stop_timer()
        self._start_timer(request, max(1, time_left - ANSWER_MARGIN_NS))
        self.feed(api.RequestCompleted(request_id))

    def expire(self, request_id: int) -> None:
        """End a request whose client's time is up though its streamed body has not been read to its end."""
        request = self.requests.get(request_id)
        if request is not None and request.state in UNANSWERED_STATES:
            self._on_deadline(request)

    def disconnect(self, request_id: int) -> None:
        """End a request whose client has disconnected."""
        request = self.requests.get(request_id)
        if request is None or request.state is FINISHED:
            return
        self._conclude(request)
        cancel_stalled(request)
        if request.streamed_attempt is not None:
            request.streamed_attempt.cancel()
        # Attempts that no server can have started are cancelled even where the settings forbid cancelling.
        for attempt in list(request.attempts):
            if attempt is not None and not attempt.request_written:
                attempt.cancel()
        self.feed(api.ClientDisconnected(request_id))

    def end_all_requests(self) -> None:
        """Send the final response to every request that has none, as the node is about to exit."""
        for request in list(self.requests.values()):
            if request.state is not FINISHED:
                if request.streamed_attempt is not None:
                    request.streamed_attempt.end(api.Result.TIMEOUT)
                else:
                    self._on_deadline(request)

    # Actions of the balancer

    def _send(self, action: api.Send) -> None:
        request = self.requests.get(action.id)
        if request is None:
            log.error("balancer sent an attempt for a request that is already finished")
            return
        number = len(request.attempts)
        message = request.message
        if message is None or not self._may_send(request, message):
            request.attempts.append(None)
            result = api.Result.NOT_SENT
            self.feed(
                api.AttemptFinished(
                    action.id, number, action.server, result, 0, final=request.state is FINISHED
                )
            )
            return
        attempt = self._new_attempt(request, message, number, action)
        request.attempts.append(attempt)
        request.in_flight += 1
        if action.timeout:
            attempt.timer = self.loop.call_later(action.timeout / SECOND, attempt.end, api.Result.TIMEOUT)
        if self.load_reporter is not None:
            self.load_reporter.attempt_started(attempt.server)
        self.pools.send(attempt)

    def _may_send(self, request: PendingRequest, message: ForwardedRequest) -> bool:
        """Whether another attempt may begin; the check of the client's connection may end the request."""
        if request.state is not PENDING:
            return False
        if not request.check_client_presence():
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if message.streaming_body is None:
            return True
        # A streamed body serves one attempt at a time, and the previous attempt may have consumed it.
        return request.in_flight == request.stalled and not message.streaming_body.is_taken

    def _new_attempt(
        self, request: PendingRequest, message: ForwardedRequest, number: int, action: api.Send
    ) -> UpstreamAttempt:
        request_class = self.settings.classes[request.class_index]
        deadline = request.deadline
        if action.timeout:
            deadline = min(deadline, system.monotonic_ns() + action.timeout)
        return UpstreamAttempt(
            message,
            action.server,
            deadline,
            observer=self,
            is_safe=request_class.effect == api.Effect.SAFE,
            streamed=request_class.streamed,
            request=request,
            number=number,
            write_deadline=action.write_deadline,
        )

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.id)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        # A response that is being streamed to the client is not cancelled while the client is connected.
        if attempt is not None and (attempt is not request.streamed_attempt or request.state is FINISHED):
            attempt.cancel()

    def _reject(self, action: api.Reject) -> None:
        if self._is_deferred(action):
            return
        client = self._conclude_unanswered(action.id, self.counters.rejected)
        if client is not None:
            self._answer(client, client.reject, action.retry_after)

    def _fail(self, action: api.Fail) -> None:
        if self._is_deferred(action):
            return
        client = self._conclude_unanswered(action.id, self.counters.failed)
        if client is not None:
            self._answer(client, client.fail, BAD_GATEWAY)

    def _is_deferred(self, action: api.Reject | api.Fail) -> bool:
        """Defer the end of a request, if it has a response that has stalled and may still go on."""
        request = self.requests.get(action.id)
        if request is None or request.state is not PENDING or not request.stalled:
            return False
        request.deferred = action
        return True

    def _end_deferred(self, request: PendingRequest) -> None:
        """End a request as the balancer has decided, as no response can come any more."""
        action, request.deferred = request.deferred, None
        if isinstance(action, api.Reject):
            self._reject(action)
        elif action is not None:
            self._fail(action)

    def _close_idle(self, action: api.CloseIdle) -> None:
        self.pools.close_idle(action.server)

    def _probe(self, action: api.Probe) -> None:
        self.pools.probe(action.server, self.feed)

    def _watch_servers(self, action: api.WatchServers) -> None:
        if self.discovery is not None:
            self.discovery.watch(action.active)

    def _fetch_servers(self, _: api.FetchServers) -> None:
        if self.discovery is not None:
            self.discovery.fetch()

    # Final responses

    def _conclude_unanswered(self, request_id: int, counts: list[int]) -> Client | None:
        """Conclude and count a request, and return its client; None if its response has already begun."""
        request = self.requests.get(request_id)
        if request is None or request.state not in UNANSWERED_STATES:
            return None
        counts[request.class_index] += 1
        self._conclude(request)
        return request.client

    @staticmethod
    def _answer(
        client: Client, write: Callable[[*ResponseArguments], None], *answer: *ResponseArguments
    ) -> None:
        """Write a final response to a client; if that fails, the client's connection is closed.

        Exceptions are not propagated: the balancer must still be notified of the end, or it would count the
        attempt as in flight forever.
        """
        try:
            write(*answer)
        except Exception:
            log.exception("final response could not be written; closing the client's connection")
            client.abort_response()

    def _event_failed(self, event: api.Event) -> None:
        """End the request of an event whose handling by the balancer, or by one of its actions, failed."""
        request_id = getattr(event, "id", None)
        request = self.requests.get(request_id) if request_id is not None else None
        if request is not None and not request.in_flight:
            self._answer_without_balancer(request)

    def _answer_without_balancer(self, request: PendingRequest) -> None:
        """Respond with 504 if the balancer has not decided the final response, and notify it of the end."""
        if request.state is FINISHED:
            return
        client = self._conclude_unanswered(request.id, self.counters.failed)
        if client is not None:
            self._answer(client, client.fail, GATEWAY_TIMEOUT)
        self.feed(api.ClientDisconnected(request.id))

    def _on_deadline(self, request: PendingRequest) -> None:
        """End all attempts except a streamed one at the deadline.

        The balancer is notified of each end, and usually decides the final response before this returns: 503
        if a retry by the client is harmless, otherwise 502. If it decides none, for example because no
        attempt was in flight, the response is 504.
        """
        request.state = next_state(request.state, RequestEvent.DEADLINE_PASSED)
        for attempt in request.attempts:
            if attempt is not None and attempt is not request.streamed_attempt:
                attempt.end(api.Result.TIMEOUT)
        if request.streamed_attempt is None:
            self._answer_without_balancer(request)

    def _conclude(self, request: PendingRequest) -> None:
        request.state = next_state(request.state, _CONCLUDED)
        request.message = None
        self.unfinished_requests -= 1
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: PendingRequest) -> None:
        """Remove a finished request unless attempts are in flight, which its timer still bounds."""
        if request.state is FINISHED and not request.in_flight:
            request.stop_timer()
            self.requests.pop(request.id, None)
            self.request_ids.retire(request.claimed_id, self.loop.time())
            # Attempts refer to their request: this breaks the reference cycle, so that no garbage collection
            # is needed.
            request.attempts = []

    # Observer of the attempts

    def is_needed(self, attempt: UpstreamAttempt) -> bool:
        """Whether the client of an attempt is still connected; if not, nothing more is sent to the server."""
        request = attempt.request
        assert request is not None
        return request.state is not FINISHED and request.check_client_presence()

    def response_started(self, attempt: UpstreamAttempt, response: ForwardedResponse) -> Client | None:
        """Begin to stream the response of an attempt; return the client, or None if it needs no response."""
        request = attempt.request
        assert request is not None
        if request.state not in UNANSWERED_STATES:
            return None
        request.state = next_state(request.state, RequestEvent.RESPONSE_STARTED)
        request.streamed_attempt = attempt
        request.stop_timer()
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.is_reported:
            self._take_from_balancer(request)
        else:
            round_trip = system.monotonic_ns() - attempt.sent_at
            self.feed(api.ResponseStarted(request.id, attempt.number, attempt.server, round_trip))
        # The responses of other attempts cannot be used any more.
        for other in request.attempts:
            if other is not None and other is not attempt:
                other.cancel()
        request.client.start_response(response, attempt)
        return request.client

    def attempt_stalled(self, attempt: UpstreamAttempt) -> None:
        """Make another attempt beside one whose response has stalled, if that is possible."""
        assert attempt.request is not None
        self.stalled_attempts.report(attempt.request, attempt)

    def _take_from_balancer(self, request: PendingRequest) -> None:
        """Let the balancer forget a request that is answered by an attempt which it takes for failed."""
        request.deferred = None
        self.feed(api.ClientDisconnected(request.id))

    def _finish_stalled(
        self, request: PendingRequest, attempt: UpstreamAttempt, response: ForwardedResponse | None
    ) -> None:
        """Handle the end of an attempt which the balancer takes for failed."""
        request.stalled -= 1
        if request.state is FINISHED:
            self._remove_if_finished(request)
            return
        self._deliver_response(request, attempt, response)
        cancel_stalled(request)
        if request.state is FINISHED:
            self._take_from_balancer(request)
        elif not request.stalled:
            self._end_deferred(request)

    def attempt_finished(self, attempt: UpstreamAttempt, response: ForwardedResponse | None) -> None:
        """Respond to the client if the attempt succeeded, and notify the balancer of its end."""
        request = attempt.request
        assert request is not None
        result = attempt.result
        assert result is not None
        request.in_flight -= 1
        if self.load_reporter is not None:
            self.load_reporter.attempt_finished(attempt.server)
        if attempt.is_reported:
            self._finish_stalled(request, attempt, response)
            return
        if request.state is FINISHED:
            self._remove_if_finished(request)
        else:
            self._deliver_response(request, attempt, response)
            cancel_stalled(request)
        self.feed(
            api.AttemptFinished(
                request.id,
                attempt.number,
                attempt.server,
                result,
                attempt.response_time(),
                request.state is FINISHED,
                attempt.report,
            )
        )

    def _deliver_response(
        self, request: PendingRequest, attempt: UpstreamAttempt, response: ForwardedResponse | None
    ) -> None:
        """Write the final response if a finished attempt provides it."""
        client = request.client
        is_complete = attempt.result == api.Result.OK
        if request.streamed_attempt is attempt:
            self._conclude(request)
            (self.counters.served if is_complete else self.counters.failed)[request.class_index] += 1
            self._answer(client, client.finish_response if is_complete else client.abort_response)
        elif is_complete and response is not None:
            self.counters.served[request.class_index] += 1
            self._conclude(request)
            self._answer(client, client.respond, response)
