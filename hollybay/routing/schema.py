"""The operator file's form: typed tables, read with all errors at once.

How a table is read: forms.py. Source of the form: docs/OPERATORS-routes.md.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .forms import Duration, Size, Table, duration, read_tables, size
from .problems import OperatorError, Problem

MS = 1_000_000

__all__ = [
    "AccordTable",
    "ClassTable",
    "HeaderTable",
    "LimitsTable",
    "OperatorFile",
    "PathTable",
    "PathsTable",
    "PeersTable",
    "RateTable",
    "RetryAfterTable",
    "RouteTable",
    "TenantLimitsTable",
    "TenantRateTable",
    "TenantTable",
    "duration",
    "read",
    "read_all",
    "size",
]

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Token = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")]
Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z][A-Z-]{0,31}$")]
Host = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(\*\.)?[a-z0-9_]([a-z0-9_-]{0,62})(\.[a-z0-9_][a-z0-9_-]{0,62}){0,30}$", max_length=253
    ),
]
By = Annotated[str, msgspec.Meta(pattern=r"^(route|tenant|header:[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64})$")]
# A header's value as it may stand in a request: no control characters, no space at its ends.
HeaderValue = Annotated[
    str, msgspec.Meta(pattern=r"^[\x21-\x7e\xa0-\xff]([\x20-\x7e\xa0-\xff]*[\x21-\x7e\xa0-\xff])?$")
]


class RateTable(Table, frozen=True):
    """A token bucket: so many requests a second on the long run, so many at once."""

    all_or_nothing = True

    per_second: Annotated[float, msgspec.Meta(gt=0, le=1e7)]
    burst: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] | None = None
    by: By = "route"
    most_keys: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 10_000


class RetryAfterTable(Table, frozen=True):
    """Between which bounds Retry-After is drawn."""

    all_or_nothing = True

    least: Duration
    most: Duration


class LimitsTable(Table, frozen=True):
    """Limits; what is absent is inherited."""

    attempt_timeout: Duration | None = None
    request_timeout: Duration | None = None
    attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] | None = None
    copies: Annotated[int, msgspec.Meta(ge=0, le=1)] | None = None
    copy_delay: Duration | None = None
    repeat_window: Duration | None = None
    repeat_group: Literal["all", "zone", "cell"] | None = None
    retry_budget: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    body: Size | None = None
    in_flight: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None
    rate: RateTable | None = None
    retry_after: RetryAfterTable | None = None


class ClassTable(Table, frozen=True):
    """A class: what the operator takes it for (compared with the settings), and its limits."""

    effect: Literal["safe", "keyed", "unsafe"] | None = None
    promised: Duration | None = None
    deadline: Duration | None = None
    group: Literal["all", "zone", "cell"] | None = None
    window: Duration | None = None
    limits: LimitsTable = LimitsTable()


class TenantRateTable(Table, frozen=True):
    """A token bucket for all requests of one tenant."""

    all_or_nothing = True

    per_second: Annotated[float, msgspec.Meta(gt=0, le=1e7)]
    burst: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] | None = None


class TenantLimitsTable(Table, frozen=True):
    """Limits over all of a tenant's requests at a node."""

    in_flight: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None
    rate: TenantRateTable | None = None


class TenantTable(Table, frozen=True):
    """A tenant, by the name that it has in the node's configuration."""

    limits: TenantLimitsTable = TenantLimitsTable()


class PathTable(Table, frozen=True):
    """How a route's path is matched: one of the three."""

    all_or_nothing = True

    exact: str | None = None
    prefix: str | None = None
    template: str | None = None


class HeaderTable(Table, frozen=True):
    """A header that a request must have, with this value or any."""

    all_or_nothing = True

    name: Token
    exact: HeaderValue | None = None
    present: Literal[True] | None = None


class RouteTable(Table, frozen=True):
    """A route: which requests it takes, the class that they are of, and their limits."""

    all_or_nothing = True

    name: Name
    cls: Name | None = msgspec.field(default=None, name="class")
    hosts: Annotated[list[Host], msgspec.Meta(min_length=1, max_length=64)] | None = None
    methods: Annotated[list[Method], msgspec.Meta(min_length=1, max_length=32)] | None = None
    path: PathTable = PathTable(prefix="/")
    headers: Annotated[list[HeaderTable], msgspec.Meta(max_length=16)] = msgspec.field(default_factory=list)
    limits: LimitsTable = LimitsTable()


class PathsTable(Table, frozen=True):
    """What two readers of a path could take for two things: refused, or kept as it stands."""

    encoded_slash: Literal["reject", "keep"] = "reject"
    empty_segments: Literal["reject", "keep"] = "reject"


class PeersTable(Table, frozen=True):
    """What nodes tell one another of their load, where their network has datagrams between them."""

    every: Duration = 500 * MS  # so often a node says its load though nothing has changed
    forget: Duration = 1500 * MS  # for so long what a node said counts


Door = Annotated[
    str, msgspec.Meta(max_length=100, pattern=r"^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9._-]+):[0-9]{1,5}$")
]


class AccordTable(Table, frozen=True):
    """How nodes agree on a policy: who decides, for how long a node is sure, what it does when it is not."""

    all_or_nothing = True

    keepers: Annotated[list[Door], msgspec.Meta(min_length=1, max_length=5)]  # their doors for operators
    folder: Annotated[str, msgspec.Meta(min_length=1, max_length=400)]  # for what must outlive a process
    door: Door | None = None  # where others call this node, if not at its own address for operators
    lease: Duration = 5000 * MS
    when_unsure: Literal["leave", "narrow"] = "leave"
    narrow_for: Duration = 60_000 * MS  # so long after its lease a node may serve under the narrower


class OperatorFile(Table, frozen=True):
    """The whole file."""

    peers: PeersTable | None = None
    accord: AccordTable | None = None

    paths: PathsTable = PathsTable()
    defaults: LimitsTable = LimitsTable()
    classes: dict[str, ClassTable] = msgspec.field(default_factory=dict, name="class")
    tenants: dict[str, TenantTable] = msgspec.field(default_factory=dict, name="tenant")
    routes: list[RouteTable] = msgspec.field(default_factory=list, name="route")


def read(text: str | bytes, file: str = "operator file") -> OperatorFile:
    """The file's tables; OperatorError tells all that does not hold."""
    tables, problems = read_all(text, file)
    if problems:
        raise OperatorError(file, problems)
    return tables


def read_all(text: str | bytes, file: str = "operator file") -> tuple[OperatorFile, list[Problem]]:
    """The tables as far as they hold, and all that does not: what holds can still be checked for its meaning.

    A route is left out where what it matches does not hold; elsewhere a bad value counts as absent.
    OperatorError: it is no TOML at all.
    """
    return read_tables(OperatorFile, text, file)
