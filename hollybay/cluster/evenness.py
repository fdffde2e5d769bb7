"""How evenly nodes spread load, from the visits at their servers. Pure; times in ns, work in ns at speed 1.

Random variation is subtracted: the counts of a Poisson stream vary, and the largest of many counts lies far
above their mean. Figures named "over chance" are 1 where the spread is that of a Poisson stream.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from math import exp, log, sqrt

from hollybay.units import SECOND

__all__ = [
    "FIGURES",
    "Evenness",
    "ServerLifetime",
    "Spread",
    "Visit",
    "evenness",
    "expected_largest_count",
    "herd",
    "idle_series",
    "longest_unused",
    "settle_time",
    "share_time",
    "spread",
]

SAMPLE_INTERVAL = 50_000_000

# The figures that a plan may bound, with their meaning; smaller is better for all.
FIGURES = {
    "idle_while_queued": "part of server time without work while requests wait elsewhere (0 to 1)",
    "idle_over_floor": "the same, less that of one node that sees everything on the same arrivals",
    "work_cv": "variation of work over capacity by server and second, Poisson noise taken out",
    "work_by_server_cv": "the same over the whole run",
    "herd_over_chance": "most nodes at one server within a service time, over what chance gives",
    "unused_over_chance": "longest time that a fit server got nothing while others queued, over chance",
    "settle_s": "seconds after a fault until idle while queued is as before",
    "share_s": "seconds until a server that is new or back has half of its share",
    "lost_worth": "part of the worth asked for that was not answered within its aim",
    "refused": "part of the requests that were rejected",
    "failed": "part of the requests that failed or broke off, none of them excused",
    "p99_ms": "99th percentile of the class with the shortest aim, in ms",
    "p99_over_floor": "the same, over that of one node that sees everything on the same arrivals",
}


@dataclass(frozen=True, slots=True)
class Visit:
    """A request at a server. began and left: 0 if it never began or never left."""

    rid: str
    server: str
    node: str
    at: int
    began: int
    left: int
    work: int
    runs: bool = True


@dataclass(frozen=True, slots=True)
class ServerLifetime:
    """A server, and when it was healthy.

    capacity: seconds of work a second, over all its cores; healthy: spans in which it was up, warm and
    without faults.
    """

    name: str
    capacity: float
    cores: int
    healthy: tuple[tuple[int, int], ...]

    def is_healthy_at(self, at: int) -> bool:
        """Whether the server is healthy at this time."""
        return any(begin <= at < end for begin, end in self.healthy)


@dataclass(frozen=True, slots=True)
class Spread:
    """Work over capacity: coefficient of variation without counting noise, the least and the largest."""

    cv: float
    least: float
    most: float


@dataclass(frozen=True, slots=True)
class Evenness:
    """All figures of one time span; see FIGURES."""

    idle_while_queued: float
    by_second: Spread
    by_server: Spread
    herd: int
    herd_chance: int
    unused_s: float
    unused_chance_s: float

    def figures(self) -> dict[str, float]:
        """Return the figures that a plan may bound."""
        return {
            "idle_while_queued": self.idle_while_queued,
            "work_cv": self.by_second.cv,
            "work_by_server_cv": self.by_server.cv,
            "herd_over_chance": self.herd / self.herd_chance,
            "unused_over_chance": self.unused_s / self.unused_chance_s if self.unused_chance_s else 0.0,
        }


class _QueueCounts:
    """Running and waiting requests by server, advanced through time."""

    def __init__(self, visits: Iterable[Visit]) -> None:
        events: list[tuple[int, int, str, int, int]] = []
        for v in visits:
            if not v.runs:
                continue
            events.append((v.at, 0, v.server, 1, 0))
            if v.began:
                events.append((v.began, 1, v.server, -1, 1))
            if v.left:
                events.append((v.left, 2, v.server, 0 if v.began else -1, -1 if v.began else 0))
        events.sort()
        self.events = deque(events)
        self.waiting: Counter[str] = Counter()
        self.working: Counter[str] = Counter()

    def advance(self, to: int) -> None:
        """Apply all events up to a time."""
        events = self.events
        while events and events[0][0] <= to:
            _, _, server, waits, works = events.popleft()
            self.waiting[server] += waits
            self.working[server] += works


def idle_series(
    visits: Sequence[Visit],
    lifetimes: Sequence[ServerLifetime],
    since: int,
    until: int,
    step: int = SAMPLE_INTERVAL,
) -> list[tuple[int, float]]:
    """For each step, the share of healthy servers that are idle while a request waits at another server.

    The lesser of "idle servers" and "waiting requests beyond one for each server", over the number of healthy
    servers: one waiting request lets a server continue without a pause, so it is not counted.
    """
    counts = _QueueCounts(visits)
    series = []
    for at in range(since, until, step):
        counts.advance(at)
        healthy = [lifetime.name for lifetime in lifetimes if lifetime.is_healthy_at(at)]
        nothing = sum(counts.working[name] + counts.waiting[name] == 0 for name in healthy)
        beyond = sum(max(0, counts.waiting[lifetime.name] - 1) for lifetime in lifetimes)
        series.append((at, min(nothing, beyond) / len(healthy) if healthy else 0.0))
    return series


def spread(
    visits: Iterable[Visit], lifetimes: Sequence[ServerLifetime], since: int, until: int, span: int = SECOND
) -> Spread:
    """Work that arrived, over capacity, by healthy server and span.

    The variance of a compound Poisson stream is the sum of the squares of its work amounts: it is expected by
    chance and subtracted. 0 if no work arrived.
    """
    works: dict[tuple[str, int], list[int]] = defaultdict(list)
    for v in visits:
        if v.runs and since <= v.at < until:
            works[v.server, (v.at - since) // span].append(v.work)
    loads, noise = [], []
    for lifetime in lifetimes:
        for n in range((until - since) // span):
            begin = since + n * span
            if not any(b <= begin and begin + span <= e for b, e in lifetime.healthy):
                continue
            came = works.get((lifetime.name, n), ())
            loads.append(sum(came) / (lifetime.capacity * span))
            noise.append(sum(work * work for work in came) / (lifetime.capacity * span) ** 2)
    mean = sum(loads) / len(loads) if loads else 0.0
    if mean <= 0.0:
        return Spread(0.0, 0.0, 0.0)
    variance = sum((load - mean) ** 2 for load in loads) / max(1, len(loads) - 1)
    # Corrected for the sample mean, which comes from the same stream and shares 1/n of its noise.
    expected = sum(noise) / len(noise) * (1.0 - 1.0 / len(loads))
    return Spread(sqrt(max(0.0, variance - expected)) / mean, min(loads) / mean, max(loads) / mean)


def expected_largest_count(mean: float, windows: float) -> int:
    """The value that the largest of so many Poisson counts reaches once on average; at least 1."""
    term = exp(-mean)
    below = term
    count = 0
    # Above the mean the terms fall; a count 700 standard deviations above it does not occur.
    while windows * max(0.0, 1.0 - below) > 1.0 and count < mean + 40.0 * sqrt(mean) + 40.0:
        count += 1
        term *= mean / count
        below += term
    return max(1, count)


def herd(
    visits: Iterable[Visit], lifetimes: Sequence[ServerLifetime], since: int, until: int
) -> tuple[int, int]:
    """The most nodes whose requests reached one server within one service time, and the most by chance.

    Counts nodes, not requests: several requests of one node are not a herd.
    """
    by_server: dict[str, list[Visit]] = defaultdict(list)
    for v in visits:
        if v.runs and since <= v.at < until:
            by_server[v.server].append(v)
    most, chance = 0, 1
    every = [v for came in by_server.values() for v in came]
    offered = sum(
        lifetime.capacity * (min(e, until) - max(b, since))
        for lifetime in lifetimes
        for b, e in lifetime.healthy
        if min(e, until) > max(b, since)
    )
    if not every or offered <= 0:
        return most, chance
    work = sum(v.work for v in every) / len(every)
    for lifetime in lifetimes:
        came = sorted(by_server.get(lifetime.name, ()), key=lambda v: v.at)
        if not came:
            continue
        service = work * lifetime.cores / lifetime.capacity
        # A window begins at an arrival: that is one, the others are a Poisson count of this server's share.
        # The share follows from capacity, not arrivals: a permanent herd would raise its own expectation.
        expected = expected_largest_count(len(every) * lifetime.capacity / offered * service, len(every)) + 1
        inside: deque[Visit] = deque()
        nodes: Counter[str] = Counter()
        for v in came:
            inside.append(v)
            nodes[v.node] += 1
            while inside[0].at <= v.at - service:
                old = inside.popleft()
                nodes[old.node] -= 1
                if not nodes[old.node]:
                    del nodes[old.node]
            if len(nodes) / expected > most / chance:
                most, chance = len(nodes), expected
    return most, chance


def longest_unused(
    visits: Sequence[Visit], lifetimes: Sequence[ServerLifetime], since: int, until: int
) -> tuple[float, float]:
    """The longest time (s) that a healthy server got nothing while others queued, and the longest by chance.

    Counts only time in which more than one request waited at some server. By chance, the longest gap of a
    Poisson stream is ln(n) mean gaps; a server's share of the requests is its share of the capacity.
    """
    counts = _QueueCounts(visits)
    queued: list[int] = []  # sample times at which more than one request waited at a server
    for at in range(since, until, SAMPLE_INTERVAL):
        counts.advance(at)
        if any(waits > 1 for waits in counts.waiting.values()):
            queued.append(at)
    came = [v for v in visits if v.runs and since <= v.at < until]
    arrivals: dict[str, list[int]] = defaultdict(list)
    for v in came:
        arrivals[v.server].append(v.at)
    total = sum(lifetime.capacity for lifetime in lifetimes)
    worst, chance = 0.0, 0.0
    for lifetime in lifetimes:
        rate = len(came) * lifetime.capacity / total / ((until - since) / SECOND)
        for begin, end in lifetime.healthy:
            begin, end = max(begin, since), min(end, until)
            if end <= begin or not rate:
                continue
            marks = [begin, *(at for at in sorted(arrivals[lifetime.name]) if begin < at < end), end]
            usual = max(1.0, log(max(2.0, rate * (end - begin) / SECOND * len(lifetimes)))) / rate
            for one, other in pairwise(marks):
                gap = (bisect_left(queued, other) - bisect_right(queued, one)) * SAMPLE_INTERVAL / SECOND
                if chance == 0.0 or gap / usual > worst / chance:
                    worst, chance = gap, usual
    return worst, chance


def evenness(
    visits: Sequence[Visit], lifetimes: Sequence[ServerLifetime], since: int, until: int
) -> Evenness:
    """Return all figures between two times."""
    series = idle_series(visits, lifetimes, since, until)
    most, chance = herd(visits, lifetimes, since, until)
    gap, usual = longest_unused(visits, lifetimes, since, until)
    return Evenness(
        sum(part for _, part in series) / len(series) if series else 0.0,
        spread(visits, lifetimes, since, until),
        spread(visits, lifetimes, since, until, until - since),
        most,
        chance,
        gap,
        usual,
    )


def share_time(
    visits: Iterable[Visit],
    lifetime: ServerLifetime,
    up: int,
    until: int,
    share: float,
    warmth: Mapping[int, float] | None = None,
    span: int = 2 * SECOND,
) -> float | None:
    """Seconds from a server's start until it gets half of its share; None: not before `until`.

    share: requests a second expected by its capacity when warm; warmth: the fraction of it that is expected,
    by age in whole seconds. A span needs half of the expected count, less two standard deviations.
    """
    came = sorted(v.at for v in visits if v.server == lifetime.name and v.runs and up <= v.at < until)
    for begin in range(up, until - span + 1, SAMPLE_INTERVAL):
        age = (begin - up) // SECOND
        part = 1.0 if warmth is None else warmth.get(age, 1.0)
        expected = share * part * span / SECOND
        wanted = max(1.0, 0.5 * expected - 2.0 * sqrt(0.5 * expected))
        if bisect_left(came, begin + span) - bisect_left(came, begin) >= wanted:
            return (begin - up) / SECOND
    return None


def settle_time(
    series: Sequence[tuple[int, float]],
    before: float,
    since: int,
    span: int = 2 * SECOND,
    margin: float = 0.03,
) -> float | None:
    """Seconds from `since` until a span begins whose mean is as before, within a margin; None: never.

    series: from idle_series; before: its mean without faults.
    """
    times = [at for at, _ in series]
    sums = [0.0]
    for _, part in series:
        sums.append(sums[-1] + part)
    limit = max(1.25 * before, before + margin)
    for n in range(bisect_left(times, since), len(times)):
        end = bisect_left(times, times[n] + span)
        if end >= len(times) and times[-1] + SAMPLE_INTERVAL < times[n] + span:
            return None
        if (sums[end] - sums[n]) / (end - n) <= limit:
            return (times[n] - since) / SECOND
    return None
