"""The tables of the operator file: docs/OPERATORS-routes.md is the reference.

Fields have the names of the file's keys. Where a published key is not a term of docs/GLOSSARY.md, the field
is named by the term, and `name` gives the key.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from hollybay.units import MS

from .problems import FileProblem, OperatorError
from .typed_tables import Duration, Size, Table, parse_duration, parse_size, read_tables

__all__ = [
    "ClassTable",
    "ConsensusTable",
    "HeaderTable",
    "LimitsTable",
    "OperatorTables",
    "PathTable",
    "PathsTable",
    "PeersTable",
    "RateTable",
    "RetryAfterTable",
    "RouteTable",
    "TenantLimitsTable",
    "TenantRateTable",
    "TenantTable",
    "parse_duration",
    "parse_size",
    "read",
    "read_all",
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
RateKey = Annotated[str, msgspec.Meta(pattern=r"^(route|tenant|header:[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64})$")]
# The value of a header in a request: no control characters, no space at either end.
HeaderValue = Annotated[
    str, msgspec.Meta(pattern=r"^[\x21-\x7e\xa0-\xff]([\x20-\x7e\xa0-\xff]*[\x21-\x7e\xa0-\xff])?$")
]


class RateTable(Table, frozen=True):
    """A rate limit: requests per second on average, and the burst that is admitted at once."""

    all_or_nothing = True

    per_second: Annotated[float, msgspec.Meta(gt=0, le=1e7)]
    burst: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] | None = None
    by: RateKey = "route"
    max_keys: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = msgspec.field(
        default=10_000, name="most_keys"
    )


class RetryAfterTable(Table, frozen=True):
    """Bounds within which Retry-After is chosen at random."""

    all_or_nothing = True

    least: Duration
    most: Duration


class LimitsTable(Table, frozen=True):
    """Limits of requests; those that are absent are inherited."""

    attempt_timeout: Duration | None = None
    request_timeout: Duration | None = None
    attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] | None = None
    hedges: Annotated[int, msgspec.Meta(ge=0, le=1)] | None = msgspec.field(default=None, name="copies")
    hedge_delay: Duration | None = msgspec.field(default=None, name="copy_delay")
    retry_window: Duration | None = msgspec.field(default=None, name="repeat_window")
    retry_scope: Literal["all", "zone", "cell"] | None = msgspec.field(default=None, name="repeat_group")
    retry_budget: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    body: Size | None = None
    in_flight: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None
    rate: RateTable | None = None
    retry_after: RetryAfterTable | None = None


class ClassTable(Table, frozen=True):
    """A request class: its declared properties, which are compared with the settings, and its limits."""

    effect: Literal["safe", "keyed", "unsafe"] | None = None
    promised: Duration | None = None
    deadline: Duration | None = None
    group: Literal["all", "zone", "cell"] | None = None
    window: Duration | None = None
    limits: LimitsTable = LimitsTable()


class TenantRateTable(Table, frozen=True):
    """A rate limit over all requests of one tenant."""

    all_or_nothing = True

    per_second: Annotated[float, msgspec.Meta(gt=0, le=1e7)]
    burst: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] | None = None


class TenantLimitsTable(Table, frozen=True):
    """Limits over all requests of a tenant at a node."""

    in_flight: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None
    rate: TenantRateTable | None = None


class TenantTable(Table, frozen=True):
    """A tenant, named as in the node's configuration."""

    limits: TenantLimitsTable = TenantLimitsTable()


class PathTable(Table, frozen=True):
    """How a route matches paths: exactly one of the three keys is stated."""

    all_or_nothing = True

    exact: str | None = None
    prefix: str | None = None
    template: str | None = None


class HeaderTable(Table, frozen=True):
    """A header that a request must have, with an exact value or any: exactly one of the two is stated."""

    all_or_nothing = True

    name: Token
    exact: HeaderValue | None = None
    present: Literal[True] | None = None


class RouteTable(Table, frozen=True):
    """A route: the requests that it matches, their class, and their limits."""

    all_or_nothing = True

    name: Name
    cls: Name | None = msgspec.field(default=None, name="class")
    hosts: Annotated[list[Host], msgspec.Meta(min_length=1, max_length=64)] | None = None
    methods: Annotated[list[Method], msgspec.Meta(min_length=1, max_length=32)] | None = None
    path: PathTable = PathTable(prefix="/")
    headers: Annotated[list[HeaderTable], msgspec.Meta(max_length=16)] = msgspec.field(default_factory=list)
    limits: LimitsTable = LimitsTable()


class PathsTable(Table, frozen=True):
    """Which ambiguous paths are rejected, and which are accepted and kept unchanged."""

    encoded_slash: Literal["reject", "keep"] = "reject"
    empty_segments: Literal["reject", "keep"] = "reject"


class PeersTable(Table, frozen=True):
    """How nodes exchange load reports, in datagrams."""

    every: Duration = 500 * MS  # interval of reports while nothing changes
    forget: Duration = 1500 * MS  # validity of a report


Address = Annotated[
    str, msgspec.Meta(max_length=100, pattern=r"^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9._-]+):[0-9]{1,5}$")
]


class ConsensusTable(Table, frozen=True):
    """How nodes agree on a policy: the voters, leases, and what a node does after its lease has expired."""

    all_or_nothing = True

    # Admin addresses of the voters.
    voters: Annotated[list[Address], msgspec.Meta(min_length=1, max_length=5)] = msgspec.field(name="keepers")
    folder: Annotated[str, msgspec.Meta(min_length=1, max_length=400)]  # directory of durable state
    # Where voters reach this node, if not at its own admin address.
    address: Address | None = msgspec.field(default=None, name="door")
    lease: Duration = 5000 * MS
    # What the node does after its lease has expired: leave, or serve under both policies for a grace period.
    after_expiry: Literal["leave", "narrow"] = msgspec.field(default="leave", name="when_unsure")
    grace: Duration = msgspec.field(default=60_000 * MS, name="narrow_for")


class OperatorTables(Table, frozen=True):
    """All tables of an operator file."""

    peers: PeersTable | None = None
    consensus: ConsensusTable | None = msgspec.field(default=None, name="accord")
    paths: PathsTable = PathsTable()
    defaults: LimitsTable = LimitsTable()
    classes: dict[str, ClassTable] = msgspec.field(default_factory=dict, name="class")
    tenants: dict[str, TenantTable] = msgspec.field(default_factory=dict, name="tenant")
    routes: list[RouteTable] = msgspec.field(default_factory=list, name="route")


def read(text: str | bytes, file: str = "operator file") -> OperatorTables:
    """Read a file.

    Parameters
    ----------
    file
        The file's name in errors.

    Raises
    ------
    OperatorError
        The file is not valid; lists all problems.
    """
    tables, problems = read_all(text, file)
    if problems:
        raise OperatorError(file, problems)
    return tables


def read_all(text: str | bytes, file: str = "operator file") -> tuple[OperatorTables, list[FileProblem]]:
    """Read a file as far as it is valid, so that the valid part can be checked further.

    A route is left out if a key other than its limits is not valid; elsewhere an invalid value counts as
    absent.

    Returns
    -------
    tuple
        The tables, and all problems.

    Raises
    ------
    OperatorError
        The file is not valid TOML.
    """
    return read_tables(OperatorTables, text, file)
