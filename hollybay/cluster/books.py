"""The journals of a run as one ledger, put to the four rules, and as what the figures of evenness need. Pure.

What the rig did itself is excused, and counted: a request that a node held when the rig killed or stopped it
or kept its client from it, and one that never reached any node.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from hollybay.testbed.ledger import FinalOutcome, Ledger, RequestEntry, RuleLimits, ServerStart, Verdict

from . import records
from .evenness import Life, Visit
from .models import Arrival
from .records import Beat, Event

__all__ = ["Books", "Excuse", "Posting", "books_of"]


@dataclass(frozen=True, slots=True)
class Excuse:
    """What a node held between two moments (ns) is not its fault; and why."""

    node: str
    since: int
    until: int
    why: str


@dataclass(frozen=True, slots=True)
class Posting:
    """A request's bytes went to a node."""

    at: int
    node: str
    fresh: bool


@dataclass
class Books:
    """All that was seen."""

    ledger: Ledger
    visits: list[Visit]
    lives: list[Life]
    arrivals: list[Arrival]
    beats: list[Beat]
    posts: dict[str, list[Posting]]
    excused: Counter[str]
    calls: list[records.Called]  # of operators
    began: list[records.Under] = field(default_factory=list)  # requests, where nodes agree on a policy
    said: list[records.Said] = field(default_factory=list)
    verdict: Verdict = field(default_factory=lambda: Verdict(()))


class _Replay:
    """Takes events in order of time."""

    def __init__(self, limits: RuleLimits) -> None:
        self.ledger = Ledger(limits)
        self.posts: dict[str, list[Posting]] = defaultdict(list)
        self.arrivals: list[Arrival] = []
        self.beats: list[Beat] = []
        self.open: dict[tuple[str, str], list[int]] = {}  # at, began, work
        self.visits: list[Visit] = []
        self.ups: dict[str, list[tuple[int, records.ServerUp]]] = defaultdict(list)
        self.downs: dict[str, list[int]] = defaultdict(list)
        self.starts: dict[str, ServerStart] = {}
        self.ended: list[Excuse] = []
        self.calls: list[records.Called] = []
        self.began: list[records.Under] = []
        self.said: list[records.Said] = []

    def node_of(self, rid: str) -> str:
        """The node that a request was given to last."""
        posts = self.posts.get(rid)
        return posts[-1].node if posts else ""

    def first_byte(self, event: records.Arrived) -> None:
        """The first byte of a request came to a server: the rule on drains counts from it."""
        self.ledger.first_byte(event.server, event.first, self.node_of(event.rid))

    def take(self, event: Event) -> None:
        """Take one event."""
        ledger = self.ledger
        if isinstance(event, records.Asked):
            ledger.asked(event.rid, event.cls, event.at, event.deadline, event.tenant)
            self.arrivals.append(Arrival(event.rid, event.at, event.work))
        elif isinstance(event, records.Posted):
            self.posts[event.rid].append(Posting(event.at, event.node, event.fresh))
        elif isinstance(event, records.Answered):
            ledger.answered(
                event.rid, FinalOutcome(event.final), event.at - event.late, event.status, event.retry_after
            )
        elif isinstance(event, records.ServerUp):
            self.ups[event.server].append((event.at, event))
            self.starts[event.server] = ledger.started(event.server, event.at, event.capacity, event.cold)
        elif isinstance(event, records.ServerDown):
            self.downs[event.server].append(event.at)
        elif isinstance(event, records.Arrived):
            start = self.starts[event.server]
            ledger.arrived(event.rid, start, event.at, event.zone, event.cell, event.work, event.runs)
            if event.runs:
                self.open[event.rid, event.server] = [event.at, 0, event.work]
        elif isinstance(event, records.Began):
            visit = self.open.get((event.rid, event.server))
            if visit is not None:
                visit[1] = event.at
        elif isinstance(event, records.Left):
            visit = self.open.pop((event.rid, event.server), None)
            if visit is not None:
                self._visited(event.rid, event.server, visit, event.at)
        elif isinstance(event, records.Told):
            ledger.told(event.server, event.ready, event.at, event.node)
        elif isinstance(event, records.NodeEnded):
            ledger.forget(event.node)
            if event.killed:
                self.ended.append(Excuse(event.node, event.at, event.at, "killed"))
        elif isinstance(event, records.Called):
            self.calls.append(event)
        elif isinstance(event, records.Under):
            self.began.append(event)
        elif isinstance(event, records.Said):
            self.said.append(event)
        else:
            self.beats.append(event)

    def _visited(self, rid: str, server: str, visit: list[int], left: int) -> None:
        at, began, work = visit
        self.visits.append(Visit(rid, server, self.node_of(rid), at, began, left, work))

    def close(self, until: int) -> None:
        """What is still at a server counts up to the end."""
        for (rid, server), visit in self.open.items():
            self._visited(rid, server, visit, until)
        self.visits.sort(key=lambda v: v.at)


def _lives(replay: _Replay, warm_up: int, until: int, unfit: Iterable[tuple[str, int, int]]) -> list[Life]:
    """Each server's spans in which it was up, warm, and no fault was on it."""
    troubles: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for server, begin, end in unfit:
        troubles[server].append((begin, end))
    lives = []
    for server, ups in sorted(replay.ups.items()):
        spans = []
        for at, up in ups:
            end = min((down for down in replay.downs[server] if down > at), default=until)
            begin = at + warm_up if up.cold else at
            if begin < end:
                spans.append((begin, end))
        for begin, end in troubles[server]:
            spans = [
                part for b, e in spans for part in ((b, min(e, begin)), (max(b, end), e)) if part[0] < part[1]
            ]
        lives.append(Life(server, ups[0][1].capacity, ups[0][1].cores, tuple(spans)))
    return lives


def books_of(
    events: Iterable[Event],
    limits: RuleLimits,
    until: int,
    excuses: Sequence[Excuse] = (),
    unfit: Iterable[tuple[str, int, int]] = (),
) -> Books:
    """Merge what all processes saw.

    until: the end of the run (ns); excuses: what the rig did to nodes and to their clients' links; unfit:
    server and span in which a fault was on it. KeyError or ValueError: the events are of no one run.
    """
    replay = _Replay(limits)
    keyed: list[tuple[int, int, Event]] = []
    for event in events:
        keyed.append((event.at, 1, event))
        if isinstance(event, records.Arrived):
            keyed.append((event.first, 2, event))  # after the list that left in the same moment
    keyed.sort(key=lambda item: item[:2])
    for _, what, event in keyed:
        if what == 2:
            assert isinstance(event, records.Arrived)
            replay.first_byte(event)
        else:
            replay.take(event)
    replay.close(until)
    excused = _excuse(replay, [*excuses, *replay.ended])
    books = Books(
        replay.ledger,
        replay.visits,
        _lives(replay, limits.warm_up, until, unfit),
        replay.arrivals,
        replay.beats,
        dict(replay.posts),
        excused,
        replay.calls,
        replay.began,
        replay.said,
    )
    books.verdict = replay.ledger.check()
    return books


def _excuse(replay: _Replay, excuses: Sequence[Excuse]) -> Counter[str]:
    """Mark what the rig itself is to blame for; how many, by why."""
    by_node: dict[str, list[Excuse]] = defaultdict(list)
    for excuse in excuses:
        by_node[excuse.node].append(excuse)
    counts: Counter[str] = Counter()
    limits = replay.ledger.limits
    for entry in replay.ledger.requests.values():
        why = _why(entry, replay.posts.get(entry.id, []), by_node, limits)
        if why is not None:
            counts[why] += 1
            entry.excused = True
    return counts


def _why(
    entry: RequestEntry, posts: Sequence[Posting], by_node: dict[str, list[Excuse]], limits: RuleLimits
) -> str | None:
    whole = entry.final in (FinalOutcome.SERVED, FinalOutcome.REFUSED, FinalOutcome.FAILED)
    if whole and entry.ended <= entry.deadline + limits.late:
        return None
    if not posts:
        return "unreached"
    last = posts[-1]
    ended = entry.ended or entry.deadline + limits.disconnect_grace
    # A connection that was opened before its node was killed may be used by a client that was late itself.
    unheard = entry.final is FinalOutcome.BROKEN and last.fresh and not entry.arrived
    for excuse in by_node.get(last.node, ()):
        began = entry.at if unheard and excuse.why == "killed" else last.at
        if excuse.since <= ended and began <= excuse.until:
            return excuse.why
    if entry.final is FinalOutcome.BROKEN and not last.fresh and not entry.arrived:
        return "crossed"  # its node closed the connection as idle in the moment that it was sent
    return None
