"""The whole operator file, compiled for one set of settings: what a request may do, by its head."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from hollybay.balancing import interface as api

from .checks import Checked, faults, shown
from .limits import GROUPS, Effective, effective, inherit
from .matcher import HeaderRule, Matcher
from .paths import BadPath, Pattern, Reading, parse_pattern, segments_of
from .problems import OperatorError, Problem
from .schema import (
    MS,
    AccordTable,
    ClassTable,
    HeaderTable,
    LimitsTable,
    OperatorFile,
    PeersTable,
    RouteTable,
    read_all,
)
from .tenants import NO_TENANTS, TENANT_SCOPE, Tenants, tenant_limits

__all__ = [
    "Context",
    "Denied",
    "Plan",
    "Route",
    "class_limits",
    "compile_file",
    "compile_plan",
    "compile_route",
    "declared_settings",
    "header_names",
    "once",
    "overlap_problem",
    "rate_headers",
    "route_limits",
    "undeclared",
]

EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
METHOD_OF = {api.Effect.SAFE: b"GET", api.Effect.KEYED: b"POST", api.Effect.UNSAFE: b"POST"}
_NO_LIMITS = LimitsTable()
MAX_TENANT_NAME = 253
# Headers that the node reads itself, and on which no request is told apart by two readers: never a route's.
_FRAMING = frozenset((b"content-length", b"transfer-encoding", b"connection", b"host"))


@dataclass(frozen=True, slots=True)
class Denied:
    """A request that no route may take: the status and the reason that its client is told."""

    status: int
    reason: str
    cls: int = -1  # it is of no class


@dataclass(frozen=True, slots=True)
class Route:
    """A route, compiled. limits: by the number of the class."""

    name: str
    table: str
    hosts: tuple[str, ...]
    methods: tuple[bytes, ...]
    pattern: Pattern
    headers: tuple[HeaderRule, ...]
    cls: int | None = None
    limits: Mapping[int, Effective] = field(default_factory=dict)


CLASS_SCOPE = "class:"


class Routes(Protocol):
    """All routes of a plan."""

    def __iter__(self) -> Iterator[Route]: ...
    def __len__(self) -> int: ...


@dataclass(frozen=True, slots=True)
class Plan:
    """What is in force. apply() has no side effects."""

    routes: Routes
    matcher: Matcher[Route]
    classes: Mapping[str, int]
    by_class: tuple[Effective, ...]
    reading: Reading
    headers: frozenset[bytes]  # those on which routes or buckets decide
    peers: PeersTable | None = None  # whether, and how, nodes tell one another of their load
    accord: AccordTable | None = None  # whether, and how, nodes agree on the policy
    bare: bool = False  # it says nothing of routes and limits
    by_name: Mapping[str, Route] = field(default_factory=dict)
    tenants: Tenants = field(
        default_factory=lambda: NO_TENANTS
    )  # limits over all requests of a tenant, by its name

    def route_of(
        self, method: bytes, target: bytes, given: Mapping[bytes, bytes]
    ) -> tuple[Route | None, tuple[str, ...] | None]:
        """The route that takes a request, and its path's segments; BadPath where that is ambiguous."""
        segments = segments_of(target.split(b"?", 1)[0].decode("latin-1"), self.reading)
        if segments is None:
            return None, None
        matcher = self.matcher
        host = _host(given) if matcher.exact or matcher.wild else ""
        return matcher.find(method, host, segments, given), segments

    def apply(self, method: bytes, target: bytes, given: Mapping[bytes, bytes]) -> Effective | Denied | None:
        """The limits in force for a request; None: it names no class. given: headers, names in lower case."""
        # In one piece, as each request comes through here.
        path = target.decode("latin-1")
        query = path.find("?")
        if query >= 0:
            path = path[:query]
        try:
            segments = segments_of(path, self.reading)
        except BadPath as error:
            return Denied(400, str(error))
        if segments is None:
            return None
        matcher = self.matcher
        if matcher.exact or matcher.wild:
            route = matcher.find(method, _host(given), segments, given)
        else:
            route = matcher.any.find(method, segments, given) if matcher.any is not None else None
        if route is not None and route.cls is not None:
            return route.limits[route.cls]
        cls = self.classes.get(segments[0])
        if cls is None:
            return None
        return self.by_class[cls] if route is None else route.limits.get(cls, self.by_class[cls])

    def scopes(self) -> frozenset[str]:
        """The names under which limits are counted; looks at all of them."""
        names = [route.name for route in self.routes] + [one.scope for one in self.by_class]
        return frozenset(names + [TENANT_SCOPE + name for name in self.tenants])

    def has_scope(self, scope: str) -> bool:
        """Whether limits are counted under a name."""
        if scope in self.by_name:
            return True
        if scope.startswith(CLASS_SCOPE):
            return scope[len(CLASS_SCOPE) :] in self.classes
        return scope.startswith(TENANT_SCOPE) and scope[len(TENANT_SCOPE) :] in self.tenants

    def tenant(self, name: str) -> tuple[Effective, ...]:
        """The limits over all requests of a tenant; () where nothing is said of it."""
        found = self.tenants.get(name)
        return () if found is None else (found,)

    @property
    def tenanted(self) -> bool:
        """Whether any tenant has limits of its own."""
        return len(self.tenants) > 0

    def plans(self) -> tuple[Plan, ...]:
        """The plans that are in force where this is."""
        return (self,)

    def gone_since(self, before: Plan) -> Iterable[str] | None:
        """Scopes of a plan from which this one came, some of which may be none here.

        None: it is not known which; all must be looked at.
        """
        return () if before is self else None


def _accord(table: AccordTable | None, problems: list[Problem]) -> None:
    """What does not hold in [accord]."""
    if table is None:
        return
    count = len(table.keepers)
    if count % 2 == 0:
        reason = "an even number: with one more, no more may fail"
        problems.append(Problem("accord", "keepers", count, reason))
    if len(set(table.keepers)) < count:
        problems.append(Problem("accord", "keepers", table.keepers, "one stands twice"))
    for key, value, least, most in (
        ("lease", table.lease, 500 * MS, 60_000 * MS),
        ("narrow_for", table.narrow_for, 1000 * MS, 86_400_000 * MS),
    ):
        if not least <= value <= most:
            reason = f"must be from {least // MS} ms to {most // MS} ms"
            problems.append(Problem("accord", key, value, reason))


def _host(given: Mapping[bytes, bytes]) -> str:
    """The host that a request names, in lower case, without port or final dot."""
    host = given.get(b"host", b"").decode("latin-1").strip().lower()
    if host[-1:].isdigit() and not host.endswith("]"):
        name, sep, port = host.rpartition(":")
        if sep and port.isdigit():
            host = name
    return host[:-1] if host.endswith(".") else host


def compile_file(text: str | bytes, settings: api.Settings | None, file: str = "operator file") -> Plan:
    """Read, check and compile a file; OperatorError tells all that does not hold.

    settings: those that the node runs under; None: what the file itself declares of its classes.
    """
    tables, problems = read_all(text, file)
    return compile_plan(tables, settings, file, problems)


def compile_plan(
    tables: OperatorFile,
    settings: api.Settings | None,
    file: str = "operator file",
    known: Sequence[Problem] = (),
) -> Plan:
    """Check and compile a file's tables; known: what is wrong with the file already."""
    problems = list(known)
    if settings is None:
        if not tables.classes:
            none = Problem("", "class", None, "declares no class, and no settings say what there is")
            raise OperatorError(file, [*problems, none])
        settings = declared_settings(tables)
    else:
        problems += undeclared(tables.classes, settings)
    context = Context.of(settings, tables.classes, tables.defaults)
    routes = _routes(tables, context, problems)
    by_class = tuple(class_limits(number, context, problems) for number in range(len(settings.classes)))
    matcher = Matcher(routes)
    problems += [overlap_problem(overlap.first, overlap.second) for overlap in matcher.undecided]
    tenants = {name: tenant_limits(name, table) for name, table in tables.tenants.items()}
    problems += [
        Problem(f"tenant.{name[:64]}", "", None, "is no name of a tenant: 1 to 253 printable characters")
        for name in tenants
        if not 0 < len(name) <= MAX_TENANT_NAME or not name.isprintable()
    ]
    _accord(tables.accord, problems)
    if tables.peers is not None and tables.peers.forget < 2 * tables.peers.every:
        reason = (
            f"is under twice [peers] every ({tables.peers.every} ns): one lost datagram would silence a node"
        )
        problems.append(Problem("peers", "forget", tables.peers.forget, reason))
    if problems:
        raise OperatorError(file, once(problems))
    headers = {name for route in routes for name in header_names(route)}
    headers.update(name for limits in by_class for name in rate_headers(limits))
    return Plan(
        tuple(routes),
        matcher,
        context.numbers,
        by_class,
        Reading(tables.paths.encoded_slash == "keep", tables.paths.empty_segments == "keep"),
        frozenset(headers),
        tables.peers,
        tables.accord,
        msgspec.structs.replace(tables, peers=None, accord=None) == OperatorFile(),
        {route.name: route for route in routes},
        tenants,
    )


def rate_headers(limits: Effective) -> Iterator[bytes]:
    """The header, if any, by whose value a rate's buckets go."""
    if limits.rate is not None and limits.rate.header:
        yield limits.rate.header


def header_names(route: Route) -> set[bytes]:
    """The headers on which a route or its buckets decide."""
    names = {rule.name for rule in route.headers}
    for limits in route.limits.values():
        names.update(rate_headers(limits))
    return names


def overlap_problem(first: Route, second: Route) -> Problem:
    """Two routes between which no rule decides."""
    return Problem(
        second.table,
        "path",
        second.pattern.text,
        f"overlaps route {first.name!r} (path {first.pattern.text}), and no rule of precedence "
        "decides between them: tell them apart by host, path, method or headers",
    )


def once(problems: Sequence[Problem]) -> list[Problem]:
    """Each problem once: a value of [defaults] meets many routes."""
    seen: dict[tuple[str, str, str], Problem] = {}
    for problem in problems:
        seen.setdefault((problem.table, problem.key, problem.reason.split(" (in force for", 1)[0]), problem)
    return list(seen.values())


def declared_settings(tables: OperatorFile) -> api.Settings:
    """Settings as far as the file declares them: a class of which it says nothing is taken for unsafe."""
    classes = []
    for name, table in tables.classes.items():
        effect = EFFECTS[table.effect or "unsafe"]
        deadline = table.deadline or 86_400 * 1_000_000_000
        classes.append(
            api.RequestClass(
                name,
                effect,
                1.0,
                table.promised or deadline,
                deadline,
                deduplication_scope=GROUPS[table.group or "cell"],
                deduplication_window=table.window or 1,
            )
        )
    return api.Settings(
        tuple(classes), max_attempts=3, hedging_allowed=True, max_retry_after=86_400 * 1_000_000_000
    )


def undeclared(tables: Mapping[str, ClassTable], settings: api.Settings) -> list[Problem]:
    """Where the word on a class differs from the settings."""
    problems = []
    classes = {cls.name: cls for cls in settings.classes}
    for name, table in tables.items():
        at = f"class.{name}"
        cls = classes.get(name)
        if cls is None:
            problems.append(Problem(at, "", None, f"no such class; the settings have {_listed(classes)}"))
            continue
        facts: list[tuple[str, object, object, str]] = [
            ("effect", table.effect, cls.effect, cls.effect.name.lower()),
            ("promised", table.promised, cls.latency_objective, shown(cls.latency_objective)),
            ("deadline", table.deadline, cls.deadline, shown(cls.deadline)),
            ("group", table.group, cls.deduplication_scope, cls.deduplication_scope.name.lower()),
            ("window", table.window, cls.deduplication_window, shown(cls.deduplication_window)),
        ]
        for key, said, known, words in facts:
            meant = EFFECTS[str(said)] if key == "effect" and said else said
            meant = GROUPS[str(said)] if key == "group" and said else meant
            if said is not None and meant != known:
                problems.append(Problem(at, key, said, f"the settings say {words}"))
    return problems


def _listed(names: Mapping[str, object]) -> str:
    return ", ".join(repr(name) for name in names)


@dataclass(frozen=True, slots=True)
class Context:
    """What the limits of a route depend on beside its own table. numbers: of classes, by name."""

    settings: api.Settings
    numbers: Mapping[str, int]
    classes: Mapping[str, ClassTable]
    defaults: LimitsTable

    @classmethod
    def of(cls, settings: api.Settings, classes: Mapping[str, ClassTable], defaults: LimitsTable) -> Context:
        """The context of these tables."""
        numbers = {one.name: n for n, one in enumerate(settings.classes)}
        return cls(settings, numbers, classes, defaults)

    def levels(self, name: str) -> list[tuple[str, LimitsTable]]:
        """The tables from which limits of a class are inherited, with their names."""
        own = self.classes.get(name)
        limits = own.limits if own is not None else _NO_LIMITS
        return [(f"class.{name}.limits", limits), ("defaults", self.defaults)]


def class_limits(number: int, context: Context, problems: list[Problem]) -> Effective:
    """The limits of a class where no route takes a request; what does not hold goes to problems."""
    cls = context.settings.classes[number]
    words = inherit(context.levels(cls.name))
    problems += faults(Checked(f"class.{cls.name}.limits", cls, words), context.settings)
    return effective(f"{CLASS_SCOPE}{cls.name}", number, words)


def _routes(tables: OperatorFile, context: Context, problems: list[Problem]) -> list[Route]:
    routes: list[Route] = []
    names: set[str] = set()
    for table in tables.routes:
        double = table.name in names
        if double:
            problems.append(Problem(f"route {table.name!r}", "name", table.name, "another route has it"))
        names.add(table.name)
        route = compile_route(table, context, problems)
        if route is not None and not double:
            routes.append(route)
    return routes


def compile_route(table: RouteTable, context: Context, problems: list[Problem]) -> Route | None:
    """One route; None: what it matches does not hold. What does not hold goes to problems."""
    at = f"route {table.name!r}"
    settings = context.settings
    known = len(problems)
    pattern = _pattern(table, at, problems)
    headers = _headers(table.headers, at, problems)
    if pattern is None or len(problems) > known:
        return None
    cls, classes = _classes(table, pattern, context.numbers, at, problems)
    limits = {}
    for of in classes:
        one = settings.classes[of]
        allowed = METHOD_OF[one.effect].decode()
        if table.methods and allowed not in table.methods:
            if cls is not None:
                reason = f"requests of class {one.name!r} come by {allowed}"
                problems.append(Problem(at, "methods", table.methods, reason))
            continue
        limits[of] = route_limits(table, of, context, problems)
    if not limits and len(problems) == known:
        problems.append(Problem(at, "methods", table.methods, "no class has requests of these methods"))
    return Route(
        table.name,
        at,
        tuple(table.hosts or ()),
        tuple(method.encode() for method in table.methods or ()),
        pattern,
        headers,
        cls,
        limits,
    )


def route_limits(table: RouteTable, number: int, context: Context, problems: list[Problem]) -> Effective:
    """The limits of a route for requests of a class; what does not hold goes to problems."""
    cls = context.settings.classes[number]
    at = f"route {table.name!r}.limits"
    words = inherit([(at, table.limits), *context.levels(cls.name)])
    problems += faults(Checked(at, cls, words), context.settings)
    return effective(table.name, number, words)


def _pattern(table: RouteTable, at: str, problems: list[Problem]) -> Pattern | None:
    stated = [
        (kind, text)
        for kind, text in (
            ("exact", table.path.exact),
            ("prefix", table.path.prefix),
            ("template", table.path.template),
        )
        if text is not None
    ]
    if len(stated) != 1:
        problems.append(Problem(f"{at}.path", "", None, "one of exact, prefix and template is needed"))
        return None
    kind, text = stated[0]
    try:
        return parse_pattern(kind, text)
    except ValueError as error:
        problems.append(Problem(f"{at}.path", kind, text, str(error)))
        return None


def _headers(tables: Sequence[HeaderTable], at: str, problems: list[Problem]) -> tuple[HeaderRule, ...]:
    rules: dict[bytes, HeaderRule] = {}
    for table in tables:
        where = f"{at}.headers {table.name!r}"
        name = table.name.lower().encode()
        if (table.exact is None) == (table.present is None):
            problems.append(Problem(where, "", None, "one of exact and present is needed"))
        elif name in _FRAMING:
            problems.append(Problem(where, "name", table.name, "frames the message: match by hosts or paths"))
        elif name in rules:
            problems.append(Problem(where, "name", table.name, "stands twice"))
        else:
            value = None if table.exact is None else table.exact.encode("latin-1")
            rules[name] = HeaderRule(name, value)
    return tuple(rules.values())


def _classes(
    table: RouteTable, pattern: Pattern, numbers: Mapping[str, int], at: str, problems: list[Problem]
) -> tuple[int | None, list[int]]:
    """The class that a route gives its requests, and all that its requests can be of."""
    first = pattern.segments[0] if pattern.segments else None
    number = numbers.get(first) if first is not None else None
    if table.cls is not None:
        given = numbers.get(table.cls)
        if given is None:
            problems.append(
                Problem(at, "class", table.cls, f"no such class; the settings have {_listed(numbers)}")
            )
        elif first is None:
            problems.append(
                Problem(
                    at,
                    "class",
                    table.cls,
                    "the path also takes requests whose first part names another class, which may not be "
                    "repeated as this one: begin the path with a literal part, or leave the class out",
                )
            )
        elif number is not None and number != given:
            problems.append(Problem(at, "class", table.cls, f"the path is of class {first!r}"))
        else:
            return given, [given]
        return None, []
    if first is None:
        return None, list(numbers.values())
    if number is None:
        problems.append(
            Problem(
                at,
                "class",
                None,
                f"missing: the first part of the path, {first!r}, names no class "
                f"(the settings have {_listed(numbers)})",
            )
        )
        return None, []
    return number, [number]
