"""The operator file's form: typed tables, read with all errors at once.

The types and bounds are msgspec's, field by field, so that one wrong value does not hide the next (msgspec
itself stops at the first). Source of the form: docs/OPERATORS-routes.md.
"""

from __future__ import annotations

import difflib
import math
import re
import tomllib
import types
import typing
from collections.abc import Callable, Mapping
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from .problems import OperatorError, Problem

__all__ = [
    "ClassTable",
    "HeaderTable",
    "LimitsTable",
    "OperatorFile",
    "PathTable",
    "PathsTable",
    "RateTable",
    "RetryAfterTable",
    "RouteTable",
    "duration",
    "read",
    "read_all",
    "size",
]

T = TypeVar("T", bound=msgspec.Struct)

MS = 1_000_000
SECOND = 1_000_000_000
# A longer file is no operator file.
MAX_FILE = 16 << 20

_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|min)")
_DURATION_UNITS = {"us": 1_000, "ms": MS, "s": SECOND, "min": 60 * SECOND}
_SIZE = re.compile(r"(\d{1,12})(B|KiB|MiB)")
_SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}


def duration(text: object) -> int:
    """Nanoseconds of a duration such as "250ms" or "1.5s"; ValueError says what is one."""
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError('is no duration such as "250ms", "1.5s" or "2min"')
    return round(float(found[1]) * _DURATION_UNITS[found[2]])


def size(text: object) -> int:
    """Bytes of a size such as "64KiB", or of a whole number; ValueError says what is one."""
    if isinstance(text, int) and not isinstance(text, bool):
        return text
    found = _SIZE.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError('is no size such as 4096, "16KiB" or "1MiB"')
    return int(found[1]) * _SIZE_UNITS[found[2]]


_PARSERS: dict[str, Callable[[object], int]] = {"duration": duration, "size": size}

# Durations in nanoseconds, sizes in bytes. Over a day is no time-out but a slip of the pen.
Duration = Annotated[int, msgspec.Meta(ge=MS, le=86_400 * SECOND, extra={"parse": "duration"})]
Size = Annotated[int, msgspec.Meta(ge=0, extra={"parse": "size"})]
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


class _Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file."""


class RateTable(_Table, frozen=True):
    """A token bucket: so many requests a second on the long run, so many at once."""

    per_second: Annotated[float, msgspec.Meta(gt=0, le=1e7)]
    burst: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] | None = None
    by: By = "route"
    most_keys: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 10_000


class RetryAfterTable(_Table, frozen=True):
    """Between which bounds Retry-After is drawn."""

    least: Duration
    most: Duration


class LimitsTable(_Table, frozen=True):
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


class ClassTable(_Table, frozen=True):
    """A class: what the operator takes it for (compared with the settings), and its limits."""

    effect: Literal["safe", "keyed", "unsafe"] | None = None
    promised: Duration | None = None
    deadline: Duration | None = None
    group: Literal["all", "zone", "cell"] | None = None
    window: Duration | None = None
    limits: LimitsTable = LimitsTable()


class PathTable(_Table, frozen=True):
    """How a route's path is matched: one of the three."""

    exact: str | None = None
    prefix: str | None = None
    template: str | None = None


class HeaderTable(_Table, frozen=True):
    """A header that a request must have, with this value or any."""

    name: Token
    exact: HeaderValue | None = None
    present: Literal[True] | None = None


class RouteTable(_Table, frozen=True):
    """A route: which requests it takes, the class that they are of, and their limits."""

    name: Name
    cls: Name | None = msgspec.field(default=None, name="class")
    hosts: Annotated[list[Host], msgspec.Meta(min_length=1, max_length=64)] | None = None
    methods: Annotated[list[Method], msgspec.Meta(min_length=1, max_length=32)] | None = None
    path: PathTable = PathTable(prefix="/")
    headers: Annotated[list[HeaderTable], msgspec.Meta(max_length=16)] = []
    limits: LimitsTable = LimitsTable()


class PathsTable(_Table, frozen=True):
    """What two readers of a path could take for two things: refused, or kept as it stands."""

    encoded_slash: Literal["reject", "keep"] = "reject"
    empty_segments: Literal["reject", "keep"] = "reject"


class OperatorFile(_Table, frozen=True):
    """The whole file."""

    paths: PathsTable = PathsTable()
    defaults: LimitsTable = LimitsTable()
    classes: dict[str, ClassTable] = msgspec.field(default_factory=dict, name="class")
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
    if len(text) > MAX_FILE:
        raise OperatorError(file, [Problem("", "", None, f"longer than {MAX_FILE >> 20} MiB")])
    try:
        data = tomllib.loads(text.decode("utf-8") if isinstance(text, bytes) else text)
    except (ValueError, RecursionError) as error:  # TOML and UTF-8 errors are ValueErrors
        raise OperatorError(file, [Problem("", "", None, f"no TOML: {error}")]) from None
    problems: list[Problem] = []
    table = _struct(OperatorFile, data, "", problems)
    return table if table is not None else OperatorFile(), problems


class _Field:
    """How one field is read; worked out once for each."""

    __slots__ = ("item", "kind", "name", "of", "parser", "required", "struct")

    def __init__(self, name: str, kind: Any, required: bool) -> None:
        self.name = name
        self.required = required
        self.parser, self.kind = _plain(kind)
        self.struct = isinstance(self.kind, type) and issubclass(self.kind, msgspec.Struct)
        self.of = typing.get_args(self.kind)[1] if typing.get_origin(self.kind) is dict else None
        self.item = _item(self.kind)


_fields: dict[type, dict[str, _Field]] = {}


def _fields_of(kind: type[msgspec.Struct]) -> dict[str, _Field]:
    """The fields of a table by the key that each has in the file."""
    if kind not in _fields:
        hints = typing.get_type_hints(kind, include_extras=True)
        _fields[kind] = {
            field.encode_name: _Field(field.name, hints[field.name], field.required)
            for field in msgspec.structs.fields(kind)
        }
    return _fields[kind]


def _struct(kind: type[T], data: object, table: str, problems: list[Problem]) -> T | None:
    """One table; what does not hold goes to problems, and None comes back."""
    if not isinstance(data, dict):
        problems.append(Problem(table, "", data, "is no table"))
        return None
    fields = _fields_of(kind)
    for key, value in data.items():
        if key not in fields:
            near = difflib.get_close_matches(key, fields, n=1, cutoff=0.0)
            problems.append(Problem(table, key, value, f"unknown key; the nearest known one is {near[0]!r}"))
    values: dict[str, Any] = {}
    bad: set[str] = set()
    for key, field in fields.items():
        known = len(problems)
        if key in data:
            value = _value(field, data[key], table, key, problems)
            if value is not None:
                values[field.name] = value
        elif field.required:
            problems.append(Problem(table, key, None, "missing"))
        if len(problems) > known:
            bad.add(key)
            if field.required:
                return None
    if bad - {"limits"} and kind in (RouteTable, RateTable, RetryAfterTable, HeaderTable, PathTable):
        return None
    return kind(**values)


def _value(field: _Field, value: object, table: str, key: str, problems: list[Problem]) -> Any:
    inner = f"{table}.{key}" if table else key
    if field.struct:
        return _struct(field.kind, value, inner, problems)
    if field.of is not None:
        if not isinstance(value, dict):
            problems.append(Problem(table, key, value, "is no table of tables"))
            return None
        read = {name: _struct(field.of, item, f"{inner}.{name}", problems) for name, item in value.items()}
        return {name: item for name, item in read.items() if item is not None}
    if field.item is not None:
        if not isinstance(value, list):
            problems.append(Problem(table, key, value, "is no list of tables"))
            return None
        items = (
            _struct(field.item, item, _numbered(inner, n, item), problems) for n, item in enumerate(value, 1)
        )
        return [item for item in items if item is not None]
    parser = field.parser
    try:
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError("is no finite number")
        plain = parser(value) if parser is not None else value
        return msgspec.convert(plain, field.kind, strict=True)
    except msgspec.ValidationError as error:
        reason = str(error).split(" - at `$")[0]
        if parser is not None:
            reason += " in ns" if parser is duration else " in bytes"
        problems.append(Problem(table, key, value, reason[:1].lower() + reason[1:]))
    except (ValueError, OverflowError) as error:
        problems.append(Problem(table, key, value, str(error)))
    return None


def _numbered(table: str, number: int, item: object) -> str:
    """The name of one table of a list: the one that it gives itself, else its place."""
    name = item.get("name") if isinstance(item, Mapping) else None
    return f"{table} {name[:64]!r}" if isinstance(name, str) else f"{table} {number}"


def _plain(kind: Any) -> tuple[Callable[[object], int] | None, Any]:
    """A field's type without None, and the parser that its text needs first."""
    if isinstance(kind, types.UnionType) or typing.get_origin(kind) is typing.Union:
        (kind,) = (part for part in typing.get_args(kind) if part is not type(None))
    for meta in typing.get_args(kind)[1:] if typing.get_origin(kind) is Annotated else ():
        if isinstance(meta, msgspec.Meta) and meta.extra and "parse" in meta.extra:
            return _PARSERS[meta.extra["parse"]], kind
    return None, kind


def _item(kind: Any) -> type[msgspec.Struct] | None:
    """The type of a list's items where these are tables."""
    if typing.get_origin(kind) is Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) is not list:
        return None
    (item,) = typing.get_args(kind)
    return item if isinstance(item, type) and issubclass(item, msgspec.Struct) else None
