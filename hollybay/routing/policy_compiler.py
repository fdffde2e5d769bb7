"""Compiles an operator file into a policy. A file with any problem is rejected as a whole."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec

from hollybay.balancing import interface as api
from hollybay.units import MS

from .class_declarations import declaration_problems, declared_settings
from .compiled_policy import CompiledPolicy, Route
from .limits import EffectiveLimits
from .matcher import Matcher
from .paths import PathOptions
from .problems import FileProblem, OperatorError
from .route_compiler import (
    LimitsContext,
    compile_class_limits,
    compile_route,
    rate_headers,
    route_headers,
)
from .schema import ConsensusTable, OperatorTables, PathsTable, PeersTable, TenantTable, read_all
from .tenants import compile_tenant_limits

__all__ = ["compile_file", "compile_tables", "overlap_problem", "path_options", "unique_problems"]

MAX_TENANT_NAME = 253  # characters
MAX_SHOWN_TENANT_NAME = 64  # characters of an invalid name in problems
LEASE_BOUNDS = (500 * MS, 60_000 * MS)
GRACE_BOUNDS = (1000 * MS, 86_400_000 * MS)


def compile_file(
    text: str | bytes, settings: api.Settings | None, file: str = "operator file"
) -> CompiledPolicy:
    """Read, check and compile a file.

    Parameters
    ----------
    settings
        The settings of the node; None: derived from the classes that the file declares.
    file
        The file's name in errors.

    Raises
    ------
    OperatorError
        The file is not valid; lists all problems.
    """
    tables, problems = read_all(text, file)
    return compile_tables(tables, settings, file, problems)


def compile_tables(
    tables: OperatorTables,
    settings: api.Settings | None,
    file: str = "operator file",
    known: Sequence[FileProblem] = (),
) -> CompiledPolicy:
    """Check and compile the tables of a file.

    Parameters
    ----------
    settings
        The settings of the node; None: derived from the classes that the file declares.
    known
        Problems already found when the file was read.

    Raises
    ------
    OperatorError
        The file is not valid; lists all problems.
    """
    problems = list(known)
    if settings is None:
        settings = _settings_of_file(tables, file, known)
    else:
        problems += declaration_problems(tables.classes, settings)
    context = LimitsContext.of(settings, tables.classes, tables.defaults)
    routes = _compile_routes(tables, context, problems)
    class_limits = tuple(
        compile_class_limits(index, context, problems) for index in range(len(settings.classes))
    )
    matcher = Matcher(routes)
    problems += [overlap_problem(overlap.first, overlap.second) for overlap in matcher.overlaps]
    problems += _tenant_problems(tables.tenants)
    problems += _consensus_problems(tables.consensus)
    problems += _peers_problems(tables.peers)
    if problems:
        raise OperatorError(file, unique_problems(problems))
    return CompiledPolicy(
        tuple(routes),
        matcher,
        context.class_indexes,
        class_limits,
        path_options(tables.paths),
        _inspected_headers(routes, class_limits),
        tables.peers,
        tables.consensus,
        msgspec.structs.replace(tables, peers=None, consensus=None) == OperatorTables(),
        {route.name: route for route in routes},
        {name: compile_tenant_limits(name, table) for name, table in tables.tenants.items()},
    )


def path_options(table: PathsTable) -> PathOptions:
    """Return the options of a [paths] table."""
    return PathOptions(table.encoded_slash == "keep", table.empty_segments == "keep")


def overlap_problem(first: Route, second: Route) -> FileProblem:
    """Return the problem of two routes of equal precedence that match one request."""
    return FileProblem(
        second.table,
        "path",
        second.pattern.text,
        f"overlaps route {first.name!r} (path {first.pattern.text}), and no rule of precedence "
        "decides between them: tell them apart by host, path, method or headers",
    )


def unique_problems(problems: Sequence[FileProblem]) -> list[FileProblem]:
    """Return each problem once: a value of [defaults] may be in force for many routes."""
    seen: dict[tuple[str, str, str], FileProblem] = {}
    for problem in problems:
        reason = problem.reason.split(" (in force for", 1)[0]
        seen.setdefault((problem.table, problem.key, reason), problem)
    return list(seen.values())


def _settings_of_file(tables: OperatorTables, file: str, known: Sequence[FileProblem]) -> api.Settings:
    if not tables.classes:
        no_classes = FileProblem("", "class", None, "declares no class, and no settings define classes")
        raise OperatorError(file, [*known, no_classes])
    return declared_settings(tables)


def _compile_routes(
    tables: OperatorTables, context: LimitsContext, problems: list[FileProblem]
) -> list[Route]:
    routes: list[Route] = []
    names: set[str] = set()
    for table in tables.routes:
        is_duplicate = table.name in names
        if is_duplicate:
            problems.append(FileProblem(f"route {table.name!r}", "name", table.name, "another route has it"))
        names.add(table.name)
        route = compile_route(table, context, problems)
        if route is not None and not is_duplicate:
            routes.append(route)
    return routes


def _inspected_headers(routes: Sequence[Route], class_limits: Sequence[EffectiveLimits]) -> frozenset[bytes]:
    headers = {name for route in routes for name in route_headers(route)}
    headers.update(name for limits in class_limits for name in rate_headers(limits))
    return frozenset(headers)


def _tenant_problems(tenants: dict[str, TenantTable]) -> Iterator[FileProblem]:
    reason = "invalid name of a tenant: must be 1 to 253 printable characters"
    for name in tenants:
        if not 0 < len(name) <= MAX_TENANT_NAME or not name.isprintable():
            yield FileProblem(f"tenant.{name[:MAX_SHOWN_TENANT_NAME]}", "", None, reason)


def _consensus_problems(table: ConsensusTable | None) -> Iterator[FileProblem]:
    """Yield the problems of the [accord] table."""
    if table is None:
        return
    count = len(table.voters)
    if count % 2 == 0:
        reason = "an even number of voters tolerates no more failures than one voter fewer"
        yield FileProblem("accord", "keepers", count, reason)
    if len(set(table.voters)) < count:
        yield FileProblem("accord", "keepers", table.voters, "one stands twice")
    for key, value, (least, most) in (
        ("lease", table.lease, LEASE_BOUNDS),
        ("narrow_for", table.grace, GRACE_BOUNDS),
    ):
        if not least <= value <= most:
            reason = f"must be from {least // MS} ms to {most // MS} ms"
            yield FileProblem("accord", key, value, reason)


def _peers_problems(table: PeersTable | None) -> Iterator[FileProblem]:
    """Yield the problems of the [peers] table."""
    if table is None or table.forget >= 2 * table.every:
        return
    reason = (
        f"must be at least twice [peers] every ({table.every} ns): "
        "otherwise a report would expire after one lost datagram"
    )
    yield FileProblem("peers", "forget", table.forget, reason)
