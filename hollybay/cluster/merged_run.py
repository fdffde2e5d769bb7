"""Merges the event logs of a run into one ledger and checks the four rules. Pure.

It also collects the visits and server lifetimes from which the figures of evenness are computed.

Requests that failed because of the harness are excused and counted: those that a node held when the harness
killed or stopped it or cut it off from its clients, and those that never reached any node.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from hollybay.testbed.ledger import FinalOutcome, Ledger, RequestEntry, RuleLimits, ServerStart, Verdict

from . import records
from .evenness import ServerLifetime, Visit
from .models import Arrival
from .records import Beat, Event

__all__ = ["Excuse", "MergedRun", "NodeHandover", "merge_events"]


@dataclass(frozen=True, slots=True)
class Excuse:
    """Requests that a node held between two times (ns) are excused, with the reason."""

    node: str
    since: int
    until: int
    why: str


@dataclass(frozen=True, slots=True)
class NodeHandover:
    """A client wrote a request to a node; fresh: on a connection opened for it."""

    at: int
    node: str
    fresh: bool


@dataclass
class MergedRun:
    """The merged events of all processes of a run."""

    ledger: Ledger
    visits: list[Visit]
    lifetimes: list[ServerLifetime]
    arrivals: list[Arrival]
    beats: list[Beat]
    handovers: dict[str, list[NodeHandover]]
    excused: Counter[str]
    admin_calls: list[records.Called]  # of operators
    requests_begun: list[records.Under] = field(
        default_factory=list
    )  # requests, where nodes agree on a policy
    change_reports: list[records.Said] = field(default_factory=list)
    verdict: Verdict = field(default_factory=lambda: Verdict(()))


class _EventMerger:
    """Applies events in order of time."""

    def __init__(self, limits: RuleLimits) -> None:
        self.ledger = Ledger(limits)
        self.handovers: dict[str, list[NodeHandover]] = defaultdict(list)
        self.arrivals: list[Arrival] = []
        self.beats: list[Beat] = []
        self.open: dict[tuple[str, str], list[int]] = {}  # at, began, work
        self.visits: list[Visit] = []
        self.server_ups: dict[str, list[tuple[int, records.ServerUp]]] = defaultdict(list)
        self.server_downs: dict[str, list[int]] = defaultdict(list)
        self.starts: dict[str, ServerStart] = {}
        self.killed_nodes: list[Excuse] = []
        self.admin_calls: list[records.Called] = []
        self.requests_begun: list[records.Under] = []
        self.change_reports: list[records.Said] = []

    def node_of(self, rid: str) -> str:
        """Return the node to which a request was sent last, or ""."""
        handovers = self.handovers.get(rid)
        return handovers[-1].node if handovers else ""

    def first_byte(self, event: records.Arrived) -> None:
        """Record the first byte of a request at a server; the drain rule counts from it."""
        self.ledger.first_byte(event.server, event.first, self.node_of(event.rid))

    def take(self, event: Event) -> None:
        """Apply one event."""
        ledger = self.ledger
        if isinstance(event, records.Asked):
            ledger.asked(event.rid, event.cls, event.at, event.deadline, event.tenant)
            self.arrivals.append(Arrival(event.rid, event.at, event.work))
        elif isinstance(event, records.Posted):
            self.handovers[event.rid].append(NodeHandover(event.at, event.node, event.fresh))
        elif isinstance(event, records.Answered):
            ledger.answered(
                event.rid, FinalOutcome(event.final), event.at - event.late, event.status, event.retry_after
            )
        elif isinstance(event, records.ServerUp):
            self.server_ups[event.server].append((event.at, event))
            self.starts[event.server] = ledger.started(event.server, event.at, event.capacity, event.cold)
        elif isinstance(event, records.ServerDown):
            self.server_downs[event.server].append(event.at)
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
                self.killed_nodes.append(Excuse(event.node, event.at, event.at, "killed"))
        elif isinstance(event, records.Called):
            self.admin_calls.append(event)
        elif isinstance(event, records.Under):
            self.requests_begun.append(event)
        elif isinstance(event, records.Said):
            self.change_reports.append(event)
        else:
            self.beats.append(event)

    def _visited(self, rid: str, server: str, visit: list[int], left: int) -> None:
        at, began, work = visit
        self.visits.append(Visit(rid, server, self.node_of(rid), at, began, left, work))

    def close(self, until: int) -> None:
        """Close the visits of requests that are still at a server, at the end of the run."""
        for (rid, server), visit in self.open.items():
            self._visited(rid, server, visit, until)
        self.visits.sort(key=lambda v: v.at)


def _server_lifetimes(
    merger: _EventMerger, warm_up: int, until: int, fault_spans: Iterable[tuple[str, int, int]]
) -> list[ServerLifetime]:
    """For each server the spans in which it was up and warm and no fault applied to it."""
    faults: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for server, begin, end in fault_spans:
        faults[server].append((begin, end))
    lifetimes = []
    for server, server_ups in sorted(merger.server_ups.items()):
        spans = []
        for at, up in server_ups:
            end = min((down for down in merger.server_downs[server] if down > at), default=until)
            begin = at + warm_up if up.cold else at
            if begin < end:
                spans.append((begin, end))
        for begin, end in faults[server]:
            spans = [
                part for b, e in spans for part in ((b, min(e, begin)), (max(b, end), e)) if part[0] < part[1]
            ]
        lifetimes.append(
            ServerLifetime(server, server_ups[0][1].capacity, server_ups[0][1].cores, tuple(spans))
        )
    return lifetimes


def merge_events(
    events: Iterable[Event],
    limits: RuleLimits,
    until: int,
    excuses: Sequence[Excuse] = (),
    fault_spans: Iterable[tuple[str, int, int]] = (),
) -> MergedRun:
    """Merge the events of all processes.

    until: the end of the run (ns); excuses: what the harness did to nodes and to their clients' links;
    fault_spans: server, begin and end of each fault. KeyError or ValueError: the events are not of one run.
    """
    merger = _EventMerger(limits)
    keyed: list[tuple[int, int, Event]] = []
    for event in events:
        keyed.append((event.at, 1, event))
        if isinstance(event, records.Arrived):
            keyed.append((event.first, 2, event))  # after a discovery list sent at the same time
    keyed.sort(key=lambda item: item[:2])
    for _, what, event in keyed:
        if what == 2:
            assert isinstance(event, records.Arrived)
            merger.first_byte(event)
        else:
            merger.take(event)
    merger.close(until)
    excused = _excuse(merger, [*excuses, *merger.killed_nodes])
    merged = MergedRun(
        merger.ledger,
        merger.visits,
        _server_lifetimes(merger, limits.warm_up, until, fault_spans),
        merger.arrivals,
        merger.beats,
        dict(merger.handovers),
        excused,
        merger.admin_calls,
        merger.requests_begun,
        merger.change_reports,
    )
    merged.verdict = merger.ledger.check()
    return merged


def _excuse(merger: _EventMerger, excuses: Sequence[Excuse]) -> Counter[str]:
    """Excuse the requests that failed because of the harness; return their number by reason."""
    by_node: dict[str, list[Excuse]] = defaultdict(list)
    for excuse in excuses:
        by_node[excuse.node].append(excuse)
    counts: Counter[str] = Counter()
    limits = merger.ledger.limits
    for entry in merger.ledger.requests.values():
        why = _why(entry, merger.handovers.get(entry.id, []), by_node, limits)
        if why is not None:
            counts[why] += 1
            entry.excused = True
    return counts


def _why(
    entry: RequestEntry,
    handovers: Sequence[NodeHandover],
    by_node: dict[str, list[Excuse]],
    limits: RuleLimits,
) -> str | None:
    completed = entry.final in (FinalOutcome.SERVED, FinalOutcome.REFUSED, FinalOutcome.FAILED)
    if completed and entry.ended <= entry.deadline + limits.late:
        return None
    if not handovers:
        return "unreached"
    last = handovers[-1]
    ended = entry.ended or entry.deadline + limits.disconnect_grace
    # A client process that runs late may still send on a connection opened before its node was killed.
    connection_lost_before_server = entry.final is FinalOutcome.BROKEN and last.fresh and not entry.arrived
    for excuse in by_node.get(last.node, ()):
        began = entry.at if connection_lost_before_server and excuse.why == "killed" else last.at
        if excuse.since <= ended and began <= excuse.until:
            return excuse.why
    if entry.final is FinalOutcome.BROKEN and not last.fresh and not entry.arrived:
        return "crossed"  # its node closed the idle connection just as the request was sent
    return None
