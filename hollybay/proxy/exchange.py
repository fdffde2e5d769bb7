"""Hosts the decision module: hands it events, carries out its actions, and sees to one final answer each."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.units import MS

from . import system
from .http_messages import Answer, Message
from .name_table import DiscoveryUpdate
from .ports import Client, Presence
from .request_counters import RequestCounters
from .upstream.attempt import Attempt
from .upstream.pools import UpstreamPools

log = logging.getLogger("hollybay.proxy")

# A final answer leaves this long before the client's deadline, so that it is there in time.
ANSWER_EARLY = 4 * MS
# A client that was seen to be there so long ago (ns) is looked at again before a byte is sent on for it. What
# its connection has not read yet, or does not read while a request is under way, only the kernel tells.
LOOK = 10 * MS


class Lists(Protocol):
    """Discovery, as the module asks for it."""

    def watch(self, active: bool) -> None: ...
    def fetch(self) -> None: ...


class LoadReporter(Protocol):
    """Exchange of load reports with the other nodes."""

    def attempt_started(self, server: api.ServerId) -> None: ...
    def attempt_finished(self, server: api.ServerId) -> None: ...
    def servers_changed(self, servers: Iterable[api.ServerId]) -> None: ...
    def poll(self) -> None: ...


class Open:
    """A request that is owed an answer, or whose attempts are still out."""

    __slots__ = (
        "attempts",
        "client",
        "cls",
        "deadline",
        "done",
        "expired",
        "id",
        "message",
        "out",
        "seen",
        "stream",
        "timer",
    )

    def __init__(self, rid: int, client: Client, message: Message, cls: int) -> None:
        self.id = rid
        self.client = client
        self.message: Message | None = message
        self.cls = cls
        self.deadline = 0  # ns
        self.attempts: list[Attempt | None] = []
        self.out = 0
        self.done = False
        self.expired = False  # its time is up: nothing new is sent for it
        self.seen = 0  # when (ns) its client was last seen to be there
        self.stream: Attempt | None = None
        self.timer: asyncio.TimerHandle | None = None


class Node:
    """One instance of the module on the monotonic clock."""

    def __init__(self, settings: api.Settings, seed: int, servers: UpstreamPools) -> None:
        self.settings = settings
        self.servers = servers
        self.lists: Lists | None = None
        self.counters = RequestCounters(len(settings.classes))
        # What operators lay over discovery's lists, where they can.
        self.overlay: Callable[[DiscoveryUpdate], DiscoveryUpdate] | None = None
        # What other nodes are told of this one's attempts, and tell of theirs, where they may.
        self.peers: LoadReporter | None = None
        self.loop = asyncio.get_running_loop()
        self.now = system.monotonic_ns()  # as the module last heard it
        self.balancer = Balancer(settings, seed, self.now)
        self.requests: dict[int, Open] = {}
        self.owed = 0  # requests without a final answer
        self.timers: set[asyncio.TimerHandle] = set()
        self._next_id = 1
        self._events: deque[tuple[int, api.Event]] = deque()
        self._feeding = False

    # Events

    def feed(self, event: api.Event, at: int = 0) -> None:
        """Hand over an event, after those that wait; its actions are carried out before the next."""
        if self._feeding:
            self._events.append((at, event))
            return
        self._feeding = True
        try:
            self._handle(max(at, system.monotonic_ns()), event)
            while self._events:
                at, event = self._events.popleft()
                self._handle(max(at, system.monotonic_ns()), event)
        finally:
            self._feeding = False

    def _handle(self, now: int, event: api.Event) -> None:
        self.now = now
        # An exception costs the request that it struck, never the process and with it all the others.
        try:
            for action in self.balancer.handle(now, event):
                self._do(action)
        except Exception:
            log.exception("the module failed on %s", type(event).__name__)
            rid = getattr(event, "id", None)
            request = self.requests.get(rid) if rid is not None else None
            if request is not None and not request.out:
                self._fail(request)

    def listing(self, listing: DiscoveryUpdate) -> None:
        """A list of servers has come."""
        if self.overlay is not None:
            listing = self.overlay(listing)
        self.apply(listing)

    def apply(self, listing: DiscoveryUpdate) -> None:
        """Put a list in force: for the pools and for the module."""
        self.servers.apply(listing)
        self.feed(listing.servers)
        if self.peers is not None:
            self.peers.servers_changed(self.balancer.servers)

    def asking_failed(self) -> None:
        """A watch or a call that the module asked for has failed."""
        self.feed(api.ServerList(api.ListKind.FAILED))

    def submit(
        self,
        client: Client,
        message: Message,
        cls: int,
        time_left: int,
        tenant: int = 0,
        key: int = 0,
        cost: int = 0,
        repeat: bool = False,
        waited: int = 0,
        limits: api.Limits | None = None,
        room: float = 1.0,
        sending: bool = False,
    ) -> int:
        """A whole request has come; its number."""
        rid = self._next_id
        self._next_id += 1
        time_left = max(1, time_left - ANSWER_EARLY)
        request = Open(rid, client, message, cls)
        self.requests[rid] = request
        self.owed += 1
        request.seen = system.monotonic_ns()
        self._expires_in(request, time_left)
        if self.peers is not None:
            self.peers.poll()
        self.feed(api.Request(rid, cls, time_left, tenant, key, cost, repeat, waited, limits, room, sending))
        return rid

    def _expires_in(self, request: Open, time_left: int) -> None:
        request.deadline = system.monotonic_ns() + time_left
        request.timer = self.loop.call_later(time_left / 1e9, self._expire, request)

    def whole(self, rid: int, time_left: int) -> None:
        """The last byte of a long body has come, and with it the client begins to wait: time_left ns."""
        request = self.requests.get(rid)
        if request is None or request.done or request.stream is not None:
            return
        self._stop_timer(request)
        self._expires_in(request, max(1, time_left - ANSWER_EARLY))
        self.feed(api.RequestCompleted(rid))

    def gone(self, rid: int) -> None:
        """The client has left."""
        request = self.requests.get(rid)
        if request is None or request.done:
            return
        self._conclude(request)
        if request.stream is not None:
            request.stream.cancel()
        # What no server can have begun ends here, also where the settings allow no cancel.
        for attempt in list(request.attempts):
            if attempt is not None and not attempt.written:
                attempt.cancel()
        self.feed(api.ClientDisconnected(rid))

    def wanted(self, attempt: Attempt) -> bool:
        """Whether the client of an attempt is there: nothing is sent on for one that has gone."""
        request: Open = attempt.owner
        return not request.done and self._awaited(request)

    def _awaited(self, request: Open) -> bool:
        """Whether a request's client is there, as far as can be told; one that has gone departs."""
        now = system.monotonic_ns()
        if now - request.seen < LOOK:
            return True
        presence = request.client.presence()
        if presence is Presence.HERE:
            request.seen = now
        elif presence is Presence.GONE:
            request.client.depart()
        return presence is Presence.HERE

    def end_all(self) -> None:
        """The node is about to exit: whatever is owed gets its final answer now."""
        for request in list(self.requests.values()):
            if not request.done:
                if request.stream is not None:
                    request.stream.end(api.Result.TIMEOUT)
                else:
                    self._expire(request)

    # Actions

    def _do(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.SetTimer):
            self._set_timer(action.delay, action.token)
        elif isinstance(action, api.Reject):
            self._answer(action.id, lambda client: client.refuse(action.retry_after), self.counters.rejected)
        elif isinstance(action, api.Fail):
            self._answer(action.id, lambda client: client.fail(502), self.counters.failed)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, api.CloseIdle):
            self.servers.close_idle(action.server)
        elif isinstance(action, api.Probe):
            self.servers.probe(action.server, self.feed)
        elif isinstance(action, api.WatchServers):
            if self.lists is not None:
                self.lists.watch(action.active)
        elif isinstance(action, api.FetchServers):
            if self.lists is not None:
                self.lists.fetch()
        elif isinstance(action, api.Log):
            log.info("%s", action.text)

    def _send(self, action: api.Send) -> None:
        request = self.requests.get(action.id)
        if request is None:
            log.error("the module sent a request that is over")
            return
        number = len(request.attempts)
        message = request.message
        if (
            request.done
            or request.expired
            or request.stream
            or message is None
            or not self._awaited(request)
            or number >= self.settings.max_attempts
            # A long body is here for one attempt at a time, and may be gone with the last.
            or (message.upload is not None and (request.out or message.upload.taken))
        ):
            request.attempts.append(None)
            self.feed(
                api.AttemptFinished(
                    action.id, number, action.server, api.Result.NOT_SENT, 0, final=request.done
                )
            )
            return
        cls = self.settings.classes[request.cls]
        attempt = Attempt(
            message,
            action.server,
            min(request.deadline, system.monotonic_ns() + action.timeout)
            if action.timeout
            else request.deadline,
            observer=self,
            repeatable=cls.effect == api.Effect.SAFE,
            streamed=cls.streamed,
            owner=request,
            number=number,
            write_deadline=action.write_deadline,
        )
        request.attempts.append(attempt)
        request.out += 1
        if action.timeout:
            attempt.timer = self.loop.call_later(action.timeout / 1e9, attempt.end, api.Result.TIMEOUT)
        if self.peers is not None:
            self.peers.attempt_started(attempt.server)
        self.servers.send(attempt)

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.id)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        # A stream that has begun belongs to the client, as long as there is one.
        if attempt is not None and (attempt is not request.stream or request.done):
            attempt.cancel()

    def _set_timer(self, delay: int, token: int) -> None:
        # Counted from the module's clock, which an early call may have put ahead: a timer that comes before
        # it is due by that clock is none to the module, which then waits for it for ever.
        due = self.now + delay

        def fire() -> None:
            self.timers.discard(handle)
            # The loop may call a hair early; the module would take a timer that is not yet due for none.
            self.feed(api.TimerFired(token), due)

        handle = self.loop.call_later(max(0, due - system.monotonic_ns()) / 1e9, fire)
        self.timers.add(handle)

    # Final answers

    def _answer(self, rid: int, give: Callable[[Client], None], counts: list[int]) -> None:
        request = self.requests.get(rid)
        if request is None or request.done or request.stream is not None:
            return
        counts[request.cls] += 1
        self._conclude(request)
        self._give(request.client, lambda: give(request.client))

    @staticmethod
    def _give(client: Client, give: Callable[[], None]) -> None:
        """Word an answer. One that cannot be worded costs its connection; the module still hears of its end,
        or it would count the attempt, and its server as burdened, for ever."""
        try:
            give()
        except Exception:
            log.exception("an answer cannot be worded")
            client.cut()

    def _fail(self, request: Open) -> None:
        """The module did not answer in time, or cannot: the node does, and tells it so."""
        if request.done:
            return
        self._answer(request.id, lambda client: client.fail(504), self.counters.failed)
        self.feed(api.ClientDisconnected(request.id))

    def _expire(self, request: Open) -> None:
        """The time is up: the attempts end, and what the module answers to that is still in time."""
        request.expired = True
        for attempt in request.attempts:
            if attempt is not None and attempt is not request.stream:
                attempt.end(api.Result.TIMEOUT)
        if request.stream is None:
            self._fail(request)

    def _conclude(self, request: Open) -> None:
        request.done = True
        request.message = None
        self.owed -= 1
        self._forget(request)

    def _forget(self, request: Open) -> None:
        """Drop a request that is over; while attempts are out its timer bounds them."""
        if request.done and not request.out:
            self._stop_timer(request)
            self.requests.pop(request.id, None)
            # Attempts know their request: without this each request would be a cycle for the collector.
            request.attempts = []

    @staticmethod
    def _stop_timer(request: Open) -> None:
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    # Attempts

    def started(self, attempt: Attempt, answer: Answer) -> Client | None:
        """A long answer has begun to come; where it goes."""
        request: Open = attempt.owner
        if request.done or request.stream is not None:
            return None
        request.stream = attempt
        self._stop_timer(request)
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.feed(
            api.ResponseStarted(
                request.id, attempt.number, attempt.server, system.monotonic_ns() - attempt.sent
            )
        )
        # The request is tied to this answer now: what another attempt brings could not be used.
        for other in request.attempts:
            if other is not None and other is not attempt:
                other.cancel()
        request.client.start(answer, attempt)
        return request.client

    def ended(self, attempt: Attempt, answer: Answer | None) -> None:
        request: Open = attempt.owner
        result = attempt.result
        assert result is not None
        request.out -= 1
        if self.peers is not None:
            self.peers.attempt_finished(attempt.server)
        if not request.done:
            client = request.client
            if request.stream is attempt:
                self._conclude(request)
                whole = result == api.Result.OK
                (self.counters.served if whole else self.counters.failed)[request.cls] += 1
                self._give(client, client.finish if whole else client.cut)
            elif result == api.Result.OK and answer is not None:
                self.counters.served[request.cls] += 1
                self._conclude(request)
                self._give(client, lambda: client.answer(answer))
        self._forget(request)
        self.feed(
            api.AttemptFinished(
                request.id,
                attempt.number,
                attempt.server,
                result,
                _response_time(attempt),
                request.done,
                attempt.report,
            )
        )


def _response_time(attempt: Attempt) -> int:
    """How long (ns) the server took: to the first bytes of a streamed response, else to the last ones."""
    ended = attempt.response_started or system.monotonic_ns() - attempt.read_delay
    return max(0, ended - attempt.sent)
