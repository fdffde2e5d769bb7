"""Compares measured slopes with the budgets: over or under, and by what factor. Pure.

Each row is computed from measured quantities at the expected size. Assumptions beyond the operators'
requirements are constants whose comment says "assumed".
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from . import target
from .report import Series

__all__ = ["ROWS", "Range", "Row", "Verdict", "compare_with_budgets"]

# Assumed: a restarted or replaced server changes its line in the server list twice, when gone and when ready.
LINES_OF_A_REPLACED_SERVER = 2
# Assumed peaks: servers in a rack, servers restarted by a release within an hour, changes within a second.
RACK_SERVERS = 40
RELEASE_SERVERS_AN_HOUR = 6_000
BURST_CHANGES = 20
# Polls of `hollybay policy` while it tracks a change (hollybay.consensus.voter_client.POLL_INTERVAL_S).
POLLS_A_SECOND = 20
ZONES = 17
# Target time to apply one changed route in a node.
MAX_CHANGE_MS = 10.0

CHANGES_A_SECOND = target.CHANGES_A_DAY / target.DAY_S
SERVER_LINES_A_SECOND = LINES_OF_A_REPLACED_SERVER * target.REPLACED_SERVERS_A_DAY / target.DAY_S
RELEASE_LINES_A_SECOND = LINES_OF_A_REPLACED_SERVER * RELEASE_SERVERS_AN_HOUR / 3_600
CORE_PERCENT = 100 * target.CONTROL_CORE_PART
ONE_CORE_PERCENT = 100.0  # a voter is a single Python process and uses at most one core


@dataclass(frozen=True, slots=True)
class Range:
    """A figure at the expected size: the least and the most that the fits predict."""

    least: float
    most: float

    def times(self, factor: float) -> Range:
        """The range multiplied by a factor."""
        return Range(self.least * factor, self.most * factor)

    def plus(self, other: Range) -> Range:
        """The sum of two ranges."""
        return Range(self.least + other.least, self.most + other.most)


FigureLookup = Callable[[str, str], Range]


@dataclass(frozen=True, slots=True)
class Row:
    """One figure and its budget. how: the measurement and its factor, as text for the table."""

    role: str
    what: str
    unit: str
    budget: float
    how: str
    figure: Callable[[FigureLookup], Range]


@dataclass(frozen=True, slots=True)
class Verdict:
    """A row with its figure; None if a measurement that it needs is missing."""

    row: Row
    figure: Range | None

    @property
    def factor(self) -> Range | None:
        """The figure as a multiple of the budget; above 1 is over budget."""
        return None if self.figure is None else self.figure.times(1 / self.row.budget)


def _figure_of(measurement: str, quantity: str, factor: float = 1.0) -> Callable[[FigureLookup], Range]:
    return lambda at: at(measurement, quantity).times(factor)


def _sum(*parts: Callable[[FigureLookup], Range]) -> Callable[[FigureLookup], Range]:
    def whole(at: FigureLookup) -> Range:
        found = Range(0.0, 0.0)
        for part in parts:
            found = found.plus(part(at))
        return found

    return whole


MB = 1 / 1024
SERVER_MEMORY = _figure_of("servers-list-few-nodes", "memory_kb", MB)
ROUTE_MEMORY = _figure_of("routes-compiled", "memory_kb", MB)
TENANT_MEMORY = _figure_of("tenants-named", "memory_kb", MB)
BUCKET_MEMORY = _figure_of("tenant-buckets", "memory_kb", MB)
PLAN_MEMORY = _figure_of("routes-plan", "memory_kb", MB)
ROUTE_STATE_MEMORY = _figure_of("resources-routes", "memory_kb", MB)
TENANT_STATE_MEMORY = _figure_of("resources-tenants", "memory_kb", MB)
CHANGE_RATE = f"{CHANGES_A_SECOND:.2f} changes/s"
LINE_RATE = f"{SERVER_LINES_A_SECOND:.2f} lines/s"

ROWS = (
    Row("node", "memory: servers", "MB", target.CONTROL_MEMORY_MB, "servers-list-few-nodes", SERVER_MEMORY),
    Row("node", "memory: routes, compiled", "MB", target.CONTROL_MEMORY_MB, "routes-compiled", ROUTE_MEMORY),
    Row("node", "memory: tenants, named", "MB", target.CONTROL_MEMORY_MB, "tenants-named", TENANT_MEMORY),
    Row(
        "node",
        "memory: buckets of all tenants at one route",
        "MB",
        target.CONTROL_MEMORY_MB,
        "tenant-buckets",
        BUCKET_MEMORY,
    ),
    Row(
        "node",
        "memory: all of these",
        "MB",
        target.CONTROL_MEMORY_MB,
        "sum",
        _sum(SERVER_MEMORY, ROUTE_MEMORY, TENANT_MEMORY, BUCKET_MEMORY),
    ),
    Row(
        "node",
        "processor: one changed route, file compiled anew",
        "% of a core",
        CORE_PERCENT,
        f"route-changed-by-file x {CHANGE_RATE}",
        _figure_of("route-changed-by-file", "cpu_s", 100 * CHANGES_A_SECOND),
    ),
    Row(
        "node",
        "processor: review of all servers",
        "% of a core",
        CORE_PERCENT,
        "servers-review, twice a second",
        _figure_of("servers-review", "core_percent"),
    ),
    Row(
        "node",
        "processor: changed servers",
        "% of a core",
        CORE_PERCENT,
        f"server-changed x {LINE_RATE}",
        _figure_of("server-changed", "cpu_ms", 0.1 * SERVER_LINES_A_SECOND),
    ),
    Row(
        "node",
        "processor: calls of changes",
        "% of a core",
        CORE_PERCENT,
        f"change-costs x {CHANGE_RATE}",
        _figure_of("change-costs", "node_cpu_ms", 0.1 * CHANGES_A_SECOND),
    ),
    Row(
        "node",
        "processor: renewals",
        "% of a core",
        CORE_PERCENT,
        "renewals",
        _figure_of("renewals", "node_core_percent"),
    ),
    Row(
        "node",
        "bytes: renewals",
        "B/s",
        target.CONTROL_BYTES_A_SECOND,
        "renewals",
        _figure_of("renewals", "node_bytes_a_second"),
    ),
    Row(
        "node",
        "bytes: calls of changes, an empty file",
        "B/s",
        target.CONTROL_BYTES_A_SECOND,
        f"change-costs x {CHANGE_RATE}",
        _figure_of("change-costs", "node_bytes", CHANGES_A_SECOND),
    ),
    Row(
        "node",
        "bytes: the file of each change",
        "B/s",
        target.CONTROL_BYTES_A_SECOND,
        f"change-by-file x {CHANGE_RATE}",
        _figure_of("change-by-file", "node_bytes", CHANGES_A_SECOND),
    ),
    Row(
        "node",
        "start: servers and routes",
        "s of processor",
        target.START_LIMIT_S,
        "servers-list + start-from-file",
        _sum(_figure_of("servers-list", "cpu_s"), _figure_of("start-from-file", "cpu_s")),
    ),
    Row(
        "node",
        "longest stop of the loop: review",
        "ms",
        target.REQUEST_ADDED_MS,
        "servers-review",
        _figure_of("servers-review", "cpu_ms"),
    ),
    Row(
        "node",
        "longest stop of the loop: a changed server",
        "ms",
        target.REQUEST_ADDED_MS,
        "server-changed",
        _figure_of("server-changed", "cpu_ms"),
    ),
    Row(
        "node",
        "a request: its route and its server",
        "ms",
        target.REQUEST_ADDED_MS,
        "request-route + request-server",
        _sum(_figure_of("request-route", "cpu_us", 1e-3), _figure_of("request-server", "cpu_us", 1e-3)),
    ),
    Row(
        "node",
        "a request that is rejected",
        "ms",
        target.REQUEST_ADDED_MS,
        "request-rejected",
        _figure_of("request-rejected", "cpu_us", 1e-3),
    ),
    Row(
        "keeper",
        "processor: renewals",
        "% of a core",
        ONE_CORE_PERCENT,
        "renewals",
        _figure_of("renewals", "keeper_core_percent"),
    ),
    Row(
        "keeper",
        "processor: changes, an empty file",
        "% of a core",
        ONE_CORE_PERCENT,
        f"change-costs x {CHANGE_RATE}",
        _figure_of("change-costs", "keeper_cpu_s", 100 * CHANGES_A_SECOND),
    ),
    Row(
        "keeper",
        "one change: processor, so the least time until in force",
        "s",
        target.CHANGE_LIMIT_S,
        "change-costs",
        _figure_of("change-costs", "keeper_cpu_s"),
    ),
    Row(
        "keeper",
        "one change beside the routes of its file, ten nodes",
        "s",
        target.CHANGE_LIMIT_S,
        "change-by-file",
        _figure_of("change-by-file", "keeper_cpu_s"),
    ),
    Row(
        "operator's command",
        "following one change: processor of each keeper",
        "% of a core",
        ONE_CORE_PERCENT,
        f"operator-status x {POLLS_A_SECOND} looks/s",
        _figure_of("operator-status", "keeper_cpu_ms", 0.1 * POLLS_A_SECOND),
    ),
    Row(
        "peak",
        f"a release, {RELEASE_SERVERS_AN_HOUR:,} servers in an hour (assumed): a node's processor",
        "% of a core",
        CORE_PERCENT,
        f"server-changed x {RELEASE_LINES_A_SECOND:.1f} lines/s",
        _figure_of("server-changed", "cpu_ms", 0.1 * RELEASE_LINES_A_SECOND),
    ),
    Row(
        "peak",
        f"a rack of {RACK_SERVERS} servers (assumed), line by line: a node's processor",
        "s",
        target.CHANGE_LIMIT_S,
        f"server-changed x {RACK_SERVERS}",
        _figure_of("server-changed", "cpu_ms", RACK_SERVERS / 1000),
    ),
    Row(
        "peak",
        f"a zone's servers ({target.SERVERS // ZONES:,}) new at a node at once",
        "s",
        target.START_LIMIT_S,
        f"servers-list / {ZONES}",
        _figure_of("servers-list", "cpu_s", 1 / ZONES),
    ),
    Row(
        "peak",
        f"{BURST_CHANGES} changes in a second (assumed): a keeper's processor",
        "s",
        target.CHANGE_LIMIT_S,
        f"change-costs x {BURST_CHANGES}",
        _figure_of("change-costs", "keeper_cpu_s", BURST_CHANGES),
    ),
    Row(
        "peak",
        "a change with a tenth of the nodes silent",
        "s",
        target.CHANGE_LIMIT_S,
        "change-silent-tenth",
        _figure_of("change-silent-tenth", "in_force_s"),
    ),
    Row(
        "resources",
        "memory: the plan of the routes",
        "MB",
        target.CONTROL_MEMORY_MB,
        "routes-plan",
        PLAN_MEMORY,
    ),
    Row(
        "resources",
        "memory: the state, routes",
        "MB",
        target.CONTROL_MEMORY_MB,
        "resources-routes",
        ROUTE_STATE_MEMORY,
    ),
    Row(
        "resources",
        "memory: the state, tenants",
        "MB",
        target.CONTROL_MEMORY_MB,
        "resources-tenants",
        TENANT_STATE_MEMORY,
    ),
    Row(
        "resources",
        "memory: plan and state",
        "MB",
        target.CONTROL_MEMORY_MB,
        "sum",
        _sum(PLAN_MEMORY, ROUTE_STATE_MEMORY, TENANT_STATE_MEMORY),
    ),
    Row(
        "resources",
        "processor: one changed route, state and plan",
        "% of a core",
        CORE_PERCENT,
        f"(resource-changed + route-changed-by-resource) x {CHANGE_RATE}",
        _sum(
            _figure_of("resource-changed", "cpu_us", 1e-4 * CHANGES_A_SECOND),
            _figure_of("route-changed-by-resource", "cpu_ms", 0.1 * CHANGES_A_SECOND),
        ),
    ),
    Row(
        "resources",
        "the dearest changed route",
        "ms",
        MAX_CHANGE_MS,
        "route-changed-worst",
        _figure_of("route-changed-worst", "worst_cpu_ms"),
    ),
    Row(
        "resources",
        "bytes: batches",
        "B/s",
        target.CONTROL_BYTES_A_SECOND,
        f"resource-changed x {CHANGE_RATE}",
        _figure_of("resource-changed", "batch_bytes", CHANGES_A_SECOND),
    ),
    Row(
        "resources",
        "start: a snapshot read and its plan made",
        "s of processor",
        target.START_LIMIT_S,
        "start-from-snapshot",
        _figure_of("start-from-snapshot", "cpu_s"),
    ),
)


def compare_with_budgets(series: Iterable[Series], rows: Iterable[Row] = ROWS) -> list[Verdict]:
    """Each row with its figure; None where a measurement that it needs was not run at two sizes or more."""
    known = {(one.measurement, one.quantity): one.target for one in series if one.target is not None}

    def at(measurement: str, quantity: str) -> Range:
        found = known[measurement, quantity]
        return Range(found.least, found.most)

    verdicts = []
    for row in rows:
        try:
            figure = row.figure(at)
        except KeyError:
            verdicts.append(Verdict(row, None))
            continue
        verdicts.append(Verdict(row, figure))
    return verdicts
