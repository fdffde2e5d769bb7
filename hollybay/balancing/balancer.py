"""The decisions of one node, joined: each event to the parts that it concerns. The interface is interface.py.

choice: which server. crossing: to which zone. learning: from what answers tell. admission: what is turned
away. repeats: the guard over further attempts. roster: the list. Here: each request's way through them.
"""

from __future__ import annotations

import random
from heapq import heappop, heappush

from .discovery_polling import Calls
from .fair_shares import place

from .load_shedding import SHED_FROM, Admission
from .server_selection import Choice
from .cross_zone import Crossing
from .interface import (
    Action,
    Cancel,
    Effect,
    PeerLoad,
    Event,
    Fail,
    ClientDisconnected,
    ListKind,
    AttemptFinished,
    Reject,
    Request,
    Send,
    ServerId,
    ServerList,
    SetTimer,
    Settings,
    ResponseStarted,
    ServerState,
    TimerFired,
    WatchServers,
    RequestCompleted,
)
from .estimates import REVIEW, Learning
from .state import MS, Owed, Server, Try
from .retries import ANYWHERE, Repeats, may_refuse
from .endpoints import Roster

__all__ = ["Balancer"]

# No copies while more than this share of attempts miss their aim.
COPY_MISSING = 0.1

TOKEN_WAKE = 1
# What the module wakes for.
WAKE_REVIEW, WAKE_COPY, WAKE_WAITING, WAKE_CALL = range(4)


class Balancer:
    """Decides for one node. handle() takes one event and returns what to do, in order."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = now
        self.actions: list[Action] = []
        self.requests: dict[int, Owed] = {}
        self.started = False
        turn = place("calls", settings.node, settings.nodes)
        self.calls = Calls(turn, settings.nodes, settings.poll_within)
        self.wakes: list[tuple[int, int, int, int]] = []  # (due, tie-break, what, request id)
        self.ties = 0
        self.armed = 0  # the earliest time a timer is set for, 0: none
        self.roster = Roster(settings, now)
        self.learned = Learning(settings, now)
        self.repeats = Repeats(settings)
        self.crossing = Crossing(settings, self.learned, now)
        self.admission = Admission(settings, self.learned, self.random, now)
        self.choice = Choice(settings, self.roster, self.crossing, self.admission, self.random)

    @property
    def servers(self) -> dict[ServerId, Server]:
        """All servers that a list has named and that are not gone."""
        return self.roster.servers

    # Events

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event; the actions that answer it."""
        self.now = now
        self.actions = []
        if type(event) is AttemptFinished:
            self._outcome(event)
        elif type(event) is Request:
            self._request(event)
        elif type(event) is TimerFired:
            self._timer()
        elif type(event) is ServerList:
            self._server_list(event)
        elif type(event) is ClientDisconnected:
            self._gone(event)
        elif type(event) is ResponseStarted:
            self._started(event)
        elif type(event) is RequestCompleted:
            self._whole(event)
        elif type(event) is PeerLoad:
            self.choice.hear(event)
        if self.wakes and (not self.armed or self.wakes[0][0] < self.armed):
            self.armed = max(self.wakes[0][0], now + 1)
            self.actions.append(SetTimer(self.armed - now, TOKEN_WAKE))
        return self.actions

    def avoids(self, server: ServerId) -> bool:
        """Whether nothing new goes to a server that the list offers."""
        s = self.servers.get(server)
        return s is not None and s.group is None

    def _wake(self, due: int, what: int, rid: int) -> None:
        self.ties += 1
        heappush(self.wakes, (due, self.ties, what, rid))

    def _timer(self) -> None:
        if self.armed and self.armed <= self.now:
            self.armed = 0
        while self.wakes and self.wakes[0][0] <= self.now:
            _, _, what, rid = heappop(self.wakes)
            request = self.requests.get(rid)
            if what == WAKE_REVIEW:
                self._review()
                self._wake(self.now + REVIEW, WAKE_REVIEW, 0)
            elif what == WAKE_CALL:
                self.calls.began(self.now)
                self.actions.append(WatchServers(True))
            elif request is None or request.done:
                continue
            elif what == WAKE_COPY:
                self._copy(request)
            elif request.waiting:
                request.waiting = False
                self._again(request)

    def _server_list(self, event: ServerList) -> None:
        now = self.now
        if not self.started:
            self.started = True
            self._wake(now + REVIEW, WAKE_REVIEW, 0)
            if self.settings.must_poll and event.kind == ListKind.CACHED:
                self._wake(now + self.calls.first(), WAKE_CALL, 0)
        if event.kind == ListKind.FAILED:
            self._wake(now + self.calls.failed(now, self.random.random()), WAKE_CALL, 0)
            return
        if event.kind != ListKind.CACHED:
            self.calls.answered()
        self.roster.take(event, now)
        self.choice.rebuild(now)
        self._cross()

    def _cross(self) -> None:
        self.crossing.renew(self.now, self.roster.stale, bool(self.choice.far))

    def _review(self) -> None:
        if self.learned.review(self.now):
            self._cross()
            self.admission.steer(self.now)
        self.choice.rebuild(self.now)

    # Requests

    def _request(self, event: Request) -> None:
        self.learned.arrived += 1
        self.repeats.arrived()
        request = self.requests[event.id] = Owed(event, self.now)
        if event.class_index >= len(self.settings.classes):
            self._end(request, Fail(event.id))
            return
        self.learned.count[event.class_index] += 1.0
        if self.admission.turns_away(event, self.choice.fastest, self.now):
            self._refuse(request)
            return
        limits = event.limits
        self.repeats.save(limits)
        s = self.choice.pick(request, self.now)
        # What a cold server is to be given at its age was set apart for it, and keeps nobody waiting.
        if (s is None or s.warmth >= 1.0) and self.admission.sheds(event.class_index, s, self.now):
            self._refuse(request)
            return
        if s is None:
            self._wait(request)
            return
        self._send(request, s)
        # A delay alone asks for a copy, too.
        if limits is not None and (limits.hedges if limits.hedges >= 0 else limits.hedge_delay):
            cls = self.settings.classes[event.class_index]
            if self.settings.hedging_allowed and cls.effect != Effect.UNSAFE:
                self._wake(self.now + (limits.hedge_delay or cls.latency_objective // 2), WAKE_COPY, event.id)

    def _send(self, request: Owed, s: Server) -> None:
        tried, until = Try(s, self.now), self.repeats.until(request)
        request.tries.append(tried)
        request.out += 1
        self.learned.census.sent()
        if not request.sending:
            self._count(tried)
        if s.warmth < 1.0:
            s.cold_at = max(s.cold_at, self.now) + s.cold_gap
            s.free_at = max(s.free_at, s.cold_at)
        limits = request.limits
        timeout = limits.attempt_timeout if limits is not None else 0
        self.actions.append(Send(request.id, s.id, timeout, until))

    def _wait(self, request: Owed) -> None:
        """No server may be used now: hold the request while there is time, then refuse it."""
        request.waiting = True
        left = request.deadline - self.now
        step = max(4 * self.settings.tick, 20 * MS)
        if left <= 2 * step:
            self._give_up(request)
            return
        self._wake(self.now + step, WAKE_WAITING, request.id)

    def _again(self, request: Owed) -> None:
        """A request with nothing out: another attempt where the guard allows it, else the final answer."""
        scope = self.repeats.scope(request, self.now, self.settings.hedging_allowed)
        if scope is None or request.deadline - self.now <= 2 * self.settings.tick:
            self._give_up(request)
            return
        # While shedding, a full server is no reason to try the next: all are, and it would feed the jam.
        cls = self.settings.classes[request.cls]
        shedding = self.admission.shed > SHED_FROM and may_refuse(cls, request.tries)
        if request.tries and (self.repeats.resends < 1.0 or shedding):
            self._give_up(request)
            return
        if scope is ANYWHERE:
            s = self.choice.pick(request, self.now)
        else:
            s = self.choice.pick_within(request, scope, self.now)
        if s is None:
            if request.tries and scope is not ANYWHERE:
                self._give_up(request)
            else:
                self._wait(request)
            return
        if request.tries:
            if not self.repeats.spend(request.limits):
                self._give_up(request)
                return
            self.repeats.resends -= 1.0
        self._send(request, s)

    def _copy(self, request: Owed) -> None:
        """A second copy of a request that takes long, where its route asks for one, the guard and the budget
        allow it. Unasked it cost more than it saved on every day (docs/DESIGN-decisions.md).
        """
        if request.out != 1 or request.streaming or self.repeats.copies < 1.0:
            return
        # Slow answers everywhere mean overload, and copies would feed it; a server that answers others is
        # not silent.
        last = request.tries[-1]
        if self.learned.missing > COPY_MISSING or last.server.answered > last.sent:
            return
        scope = self.repeats.scope(request, self.now, True)
        if scope is None:
            return
        if scope is ANYWHERE:
            s = self.choice.idle_near(self.now)
        else:
            s = self.choice.pick_within(request, scope, self.now)
        if s is None or s.held or any(t.server is s for t in request.tries):
            return
        if not self.repeats.spend(request.limits):
            return
        self.repeats.copies -= 1.0
        self._send(request, s)

    def _refuse(self, request: Owed) -> None:
        self._end(request, Reject(request.id, self.admission.retry_after(request)))

    def _give_up(self, request: Owed) -> None:
        if not may_refuse(self.settings.classes[request.cls], request.tries):
            self._end(request, Fail(request.id))
        elif self.admission.short:
            self._refuse(request)
        else:
            self._end(request, Reject(request.id, 0))

    def _end(self, request: Owed, action: Action | None) -> None:
        request.done = True
        if action is not None:
            self.actions.append(action)
        if request.out and self.settings.cancel_allowed:
            for n, t in enumerate(request.tries):
                if t.result is None:
                    self.actions.append(Cancel(request.id, n))
        if not request.out:
            self.requests.pop(request.id, None)

    def _gone(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.id)
        if request is not None and not request.done:
            self._end(request, None)

    # Attempts

    def _started(self, event: ResponseStarted) -> None:
        """A long answer has begun: its server has done the work, the rest comes at its client's pace."""
        request = self.requests.get(event.id)
        if request is None or event.attempt >= len(request.tries):
            return
        request.streaming = True
        tried = request.tries[event.attempt]
        self._uncount(tried)
        self.choice.rest(tried.server)

    def _whole(self, event: RequestCompleted) -> None:
        """A long body has come to its end, and its server begins."""
        request = self.requests.get(event.id)
        if request is None or not request.sending:
            return
        request.sending = False
        for tried in request.tries:
            if tried.result is None:
                self._count(tried)

    def _count(self, tried: Try) -> None:
        tried.counted = True
        self.admission.pressure.begin(self.now)
        tried.server.held += 1
        self.choice.unidle(tried.server)

    def _uncount(self, tried: Try) -> None:
        if tried.counted:
            tried.counted = False
            self.admission.pressure.end(self.now)
            tried.server.held = max(0, tried.server.held - 1)

    def _outcome(self, event: AttemptFinished) -> None:
        request = self.requests.get(event.id)
        if request is None or event.attempt >= len(request.tries):
            return
        tried = request.tries[event.attempt]
        if tried.result is not None:
            return
        tried.result = event.result
        request.out -= 1
        s = self.servers.get(event.server)
        if s is not None:
            self._uncount(tried)
            if self.learned.learn(s, request, event, self.now, self.roster.stale):
                self.choice.leave_out(s)
            if s.state == ServerState.GONE and not s.held:
                del self.servers[s.id]
            else:
                self.choice.rest(s)
        if request.done:
            if not request.out:
                self.requests.pop(request.id, None)
            return
        if event.final:
            self._end(request, None)
        elif not request.out:
            self._again(request)
