"""The report of a demo run: outcomes of the requests by class, and work by kind of server."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from hollybay.testbed.fake_environment import KINDS
from hollybay.testbed.fake_server import FakeServer
from hollybay.testbed.ledger import FinalOutcome, Ledger, RequestEntry, Verdict
from hollybay.units import MS

__all__ = ["ClassRow", "KindRow", "Report", "class_rows", "kind_rows", "on_time_weight", "percentile"]


@dataclass(frozen=True, slots=True)
class ClassRow:
    """Outcomes of the requests of one class.

    Attributes
    ----------
    name
        The class.
    asked, served, refused, failed
        Counts of requests.
    p50_ms, p99_ms
        Latency of the served requests.
    on_time_share
        Share of the requests that were served within the latency objective, 0 to 1; 1 without requests.
    """

    name: str
    asked: int
    served: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float
    on_time_share: float


@dataclass(frozen=True, slots=True)
class KindRow:
    """One kind of server: its shares (0 to 1) of the work and of the capacity, and its responses."""

    name: str
    servers: int
    work_share: float
    capacity_share: float
    answers: int


@dataclass(frozen=True, slots=True)
class Report:
    """The figures of a whole run.

    Attributes
    ----------
    seconds, rate, servers
        Requested length (s), requests per second and number of servers.
    killed
        Number of servers that were killed.
    classes, kinds
        A row for each class of requests and each kind of server.
    on_time_weight
        Share of the requests, by priority weight, that were served within their latency objective, 0 to 1.
    cpu_ms_a_request
        CPU time of the node per request (ms).
    node_memory_mb
        Resident memory of the node at the end (MiB).
    late_ms
        Longest delay (ms) of a request after its scheduled time; shows how busy the machine was.
    verdict
        The four rules.
    """

    seconds: float
    rate: float
    servers: int
    killed: int
    classes: tuple[ClassRow, ...]
    kinds: tuple[KindRow, ...]
    on_time_weight: float
    cpu_ms_a_request: float
    node_memory_mb: float
    late_ms: float
    verdict: Verdict

    def as_json(self) -> dict[str, object]:
        """All figures as a JSON object, under their published names."""
        data = asdict(self, dict_factory=_published)
        data["rules"] = self.verdict.counts
        del data["verdict"]
        data["faults"] = [asdict(violation) for violation in self.verdict.violations]
        return data


# Keys of the JSON file that differ from the attributes.
_PUBLISHED_NAMES = {"on_time_share": "worth", "on_time_weight": "worth"}


def _published(items: list[tuple[str, Any]]) -> dict[str, Any]:
    """The fields of a dataclass as a JSON object with the published keys."""
    return {_PUBLISHED_NAMES.get(name, name): value for name, value in items}


def percentile(values: Sequence[float], part: float) -> float:
    """The percentile of the values at a rank (0 to 1), by nearest rank; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def class_rows(ledger: Ledger) -> tuple[ClassRow, ...]:
    """Outcomes of the requests, a row for each class."""
    return tuple(_class_row(ledger, number) for number in range(len(ledger.limits.classes)))


def _class_row(ledger: Ledger, number: int) -> ClassRow:
    entries = _entries_of(ledger, number)
    counts = Counter(entry.final for entry in entries)
    served, refused = counts[FinalOutcome.SERVED], counts[FinalOutcome.REFUSED]
    latencies_ms = _latencies_ms(entries)
    return ClassRow(
        name=ledger.limits.classes[number].name,
        asked=len(entries),
        served=served,
        refused=refused,
        failed=len(entries) - served - refused,
        p50_ms=percentile(latencies_ms, 0.5),
        p99_ms=percentile(latencies_ms, 0.99),
        on_time_share=_count_on_time(ledger, number, latencies_ms) / len(entries) if entries else 1.0,
    )


def _entries_of(ledger: Ledger, number: int) -> list[RequestEntry]:
    """The requests of one class."""
    return [entry for entry in ledger.requests.values() if entry.cls == number]


def _latencies_ms(entries: Sequence[RequestEntry]) -> list[float]:
    """Latencies (ms) of the served requests."""
    return [(entry.ended - entry.at) / MS for entry in entries if entry.final is FinalOutcome.SERVED]


def _count_on_time(ledger: Ledger, number: int, latencies_ms: Sequence[float]) -> int:
    """How many of the latencies are within the latency objective of a class."""
    objective_ns = ledger.limits.classes[number].latency_objective
    return sum(latency * MS <= objective_ns for latency in latencies_ms)


def on_time_weight(ledger: Ledger) -> float:
    """Share of the requests, by priority weight, served within their latency objective, 0 to 1."""
    earned = possible = 0.0
    for number, request_class in enumerate(ledger.limits.classes):
        entries = _entries_of(ledger, number)
        on_time = _count_on_time(ledger, number, _latencies_ms(entries))
        earned += request_class.priority_weight * on_time
        possible += request_class.priority_weight * len(entries)
    return earned / possible if possible else 1.0


def kind_rows(servers: Sequence[FakeServer]) -> tuple[KindRow, ...]:
    """Work, capacity and responses, a row for each kind of server."""
    all_work = sum(server.counts.work for server in servers) or 1.0
    all_capacity = sum(server.kind.capacity for server in servers)
    rows = []
    for kind in KINDS:
        of_kind = [server for server in servers if server.kind is kind]
        row = KindRow(
            name=kind.name,
            servers=len(of_kind),
            work_share=sum(server.counts.work for server in of_kind) / all_work,
            capacity_share=sum(server.kind.capacity for server in of_kind) / all_capacity,
            answers=sum(server.counts.done for server in of_kind),
        )
        rows.append(row)
    return tuple(rows)
