"""The tables of the operator file as resources: what a body holds, and a file's difference to a state.

A body is the MessagePack map of its typed table (`schema`), in canonical form: fields in the order of the
table, those that have their default left out, durations in ns and sizes in bytes. Any other spelling is
refused, so that equal tables have equal bytes and digests.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import cache
from typing import Any, TypeVar

import msgspec

from hollybay.resources.model import (
    MAX_BODY_BYTES,
    MAX_NAME_LENGTH,
    ChangeRefused,
    Delete,
    Key,
    Kind,
    Operation,
    Problem,
    Upsert,
)
from hollybay.resources.state import ResourceState

from .forms import Table, read_plain
from .schema import ClassTable, LimitsTable, OperatorFile, PathsTable, RouteTable, TenantTable

__all__ = [
    "DEFAULTS",
    "PATHS",
    "decode_body",
    "decode_table",
    "encode_table",
    "operations_between",
    "resources_of",
    "tables_of",
]

DEFAULTS = Key(Kind.DEFAULTS, "")
PATHS = Key(Kind.PATHS, "")
# Problems of one body that are told; more would be read by nobody.
MAX_PROBLEMS = 50

TABLES: Mapping[Kind, type[Table]] = {
    Kind.ROUTE: RouteTable,
    Kind.CLASS: ClassTable,
    Kind.DEFAULTS: LimitsTable,
    Kind.PATHS: PathsTable,
    Kind.TENANT: TenantTable,
}
T = TypeVar("T", bound=Table)


def _constant(value: object) -> Callable[[], object]:
    return lambda: value


@cache
def _fields(kind: type[Table]) -> tuple[tuple[str, str, Callable[[], Any]], ...]:
    """Of each field of a table: its name, its name in the body, and what makes its default.

    A field without a default is always written: no value equals its default.
    """
    return tuple(
        (
            field.name,
            field.encode_name,
            field.default_factory
            if field.default_factory is not msgspec.NODEFAULT
            else _constant(field.default),
        )
        for field in msgspec.structs.fields(kind)
    )


def _plain(value: Any) -> Any:
    """A value without the tables' types."""
    if isinstance(value, Table):
        fields: dict[str, Any] = {}
        for name, encoded, default in _fields(type(value)):
            one = getattr(value, name)
            if one != default():
                fields[encoded] = _plain(one)
        return fields
    if isinstance(value, list):
        return [_plain(one) for one in value]
    return value


def encode_table(table: Table) -> bytes:
    """A table as the canonical body of its resource."""
    return msgspec.msgpack.encode(_plain(table))


def decode_body(key: Key, body: bytes) -> Table | None:
    """The table of a resource; None: it is of a kind whose body is empty.

    ChangeRefused: the body holds no such table; all that does not hold is told.
    """
    kind = TABLES.get(key.kind)
    if kind is None:
        if body:
            raise ChangeRefused((Problem(str(key), "body", "must be empty"),))
        return None
    return decode_table(key, body, kind)


def decode_table(key: Key, body: bytes, kind: type[T]) -> T:
    """The table, of this type, of a resource. ChangeRefused: the body holds none."""

    def refused(field: str, reason: str) -> ChangeRefused:
        return ChangeRefused((Problem(str(key), field, reason),))

    if len(body) > MAX_BODY_BYTES:
        raise refused("body", f"{len(body)} bytes, {MAX_BODY_BYTES} at most")
    try:
        table: T = _decoder(kind).decode(body)
    except (msgspec.DecodeError, RecursionError):
        table = _read_slowly(key, body, kind)
    if isinstance(table, RouteTable) and table.name != key.name:
        raise refused("name", f"is {table.name!r}, and the resource's is {key.name!r}")
    if encode_table(table) != body:
        _read_slowly(key, body, kind)  # perhaps it tells the field, such as one that is nil
        raise refused("body", "is not in canonical form")
    return table


@cache
def _decoder(kind: type[T]) -> msgspec.msgpack.Decoder[T]:
    """Reads a sound body at once; of one that is not it tells the first error alone."""
    return msgspec.msgpack.Decoder(kind)


def _read_slowly(key: Key, body: bytes, kind: type[T]) -> T:
    """A table, field by field. ChangeRefused: all that does not hold is told."""
    try:
        data = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, RecursionError, TypeError, ValueError) as error:
        raise ChangeRefused((Problem(str(key), "body", f"is no MessagePack: {error}"),)) from None
    table, problems = read_plain(kind, data)
    if problems or table is None:
        told = tuple(
            Problem(str(key), ".".join(part for part in (one.table, one.key) if part) or "body", one.reason)
            for one in problems[:MAX_PROBLEMS]
        )
        raise ChangeRefused(told)
    return table


def resources_of(tables: OperatorFile) -> dict[Key, bytes]:
    """The resources that a file says, by their identity; what a file says of its own node is not among them.

    ChangeRefused: two routes have one name, a name is too long, or a table is too large for a resource.
    """
    found: dict[Key, bytes] = {}
    problems: list[Problem] = []
    if tables.defaults != LimitsTable():
        found[DEFAULTS] = encode_table(tables.defaults)
    if tables.paths != PathsTable():
        found[PATHS] = encode_table(tables.paths)
    for name, cls in tables.classes.items():
        found[Key(Kind.CLASS, name)] = encode_table(cls)
    for name, tenant in tables.tenants.items():
        found[Key(Kind.TENANT, name)] = encode_table(tenant)
    for route in tables.routes:
        key = Key(Kind.ROUTE, route.name)
        if key in found:
            problems.append(Problem(str(key), "name", "another route has it"))
        found[key] = encode_table(route)
    for key, body in found.items():
        if len(body) > MAX_BODY_BYTES:
            problems.append(Problem(str(key), "body", f"{len(body)} bytes, {MAX_BODY_BYTES} at most"))
        if key not in (DEFAULTS, PATHS) and not 0 < len(key.name) <= MAX_NAME_LENGTH:
            problems.append(Problem(str(key), "name", f"must have 1 to {MAX_NAME_LENGTH} characters"))
    if problems:
        raise ChangeRefused(tuple(problems))
    return found


def tables_of(state: ResourceState) -> OperatorFile:
    """What a file with these resources would say, routes by name. ChangeRefused: a body holds no table."""
    classes: dict[str, ClassTable] = {}
    tenants: dict[str, TenantTable] = {}
    routes: list[RouteTable] = []
    defaults, paths = LimitsTable(), PathsTable()
    for key, resource in sorted(state.resources.items()):
        table = decode_body(key, resource.body)
        if isinstance(table, RouteTable):
            routes.append(table)
        elif isinstance(table, ClassTable):
            classes[key.name] = table
        elif isinstance(table, TenantTable):
            tenants[key.name] = table
        elif isinstance(table, LimitsTable):
            defaults = table
        elif isinstance(table, PathsTable):
            paths = table
    return OperatorFile(paths=paths, defaults=defaults, classes=classes, tenants=tenants, routes=routes)


def operations_between(state: ResourceState, wanted: Mapping[Key, bytes]) -> tuple[Operation, ...]:
    """What turns a state into the resources that a file says, by identity.

    Servers that are out are no part of a file, and stay as they are unless they are wanted.
    """
    found: list[Operation] = []
    for key, resource in state.resources.items():
        if key not in wanted and key.kind is not Kind.SERVER_OUT:
            found.append(Delete(key.kind, key.name, resource.version))
    for key, body in wanted.items():
        there = state.resources.get(key)
        if there is None or there.body != body:
            found.append(Upsert(key.kind, key.name, 0 if there is None else there.version, body))
    return tuple(sorted(found, key=lambda operation: operation.key))
