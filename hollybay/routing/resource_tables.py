"""The tables of the operator file as resources: bodies, and the difference between a file and a state.

A body is the MessagePack map of its typed table (`schema`), in canonical form: fields in the order of the
table, those with their default left out, durations in ns and sizes in bytes. Any other encoding is rejected,
so that equal tables have equal bytes and digests.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from functools import cache
from typing import Any, NamedTuple, TypeVar

import msgspec

from hollybay.resources.model import (
    MAX_BODY_BYTES,
    MAX_NAME_LENGTH,
    ChangeProblem,
    ChangeRejectedError,
    Delete,
    Key,
    Kind,
    Operation,
    Upsert,
)
from hollybay.resources.state import ResourceState

from .schema import ClassTable, LimitsTable, OperatorTables, PathsTable, RouteTable, TenantTable
from .typed_tables import Table, read_plain

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
# Maximum number of problems reported for one body.
MAX_PROBLEMS = 50

TABLES: Mapping[Kind, type[Table]] = {
    Kind.ROUTE: RouteTable,
    Kind.CLASS: ClassTable,
    Kind.DEFAULTS: LimitsTable,
    Kind.PATHS: PathsTable,
    Kind.TENANT: TenantTable,
}
T = TypeVar("T", bound=Table)


class _Field(NamedTuple):
    """A field of a table: its attribute, its name in the body, and a factory of its default.

    A field without a default is always encoded: its factory returns NODEFAULT, which equals no value.
    """

    name: str
    encoded_name: str
    default: Callable[[], Any]


@cache
def _fields(table_type: type[Table]) -> tuple[_Field, ...]:
    return tuple(
        _Field(
            field.name,
            field.encode_name,
            field.default_factory
            if field.default_factory is not msgspec.NODEFAULT
            else _constant(field.default),
        )
        for field in msgspec.structs.fields(table_type)
    )


def _constant(value: object) -> Callable[[], object]:
    return lambda: value


def _to_plain(value: Any) -> Any:
    """Return a value with maps in place of tables."""
    if isinstance(value, Table):
        fields: dict[str, Any] = {}
        for name, encoded_name, default in _fields(type(value)):
            stated = getattr(value, name)
            if stated != default():
                fields[encoded_name] = _to_plain(stated)
        return fields
    if isinstance(value, list):
        return [_to_plain(item) for item in value]
    return value


def encode_table(table: Table) -> bytes:
    """Return a table as the canonical body of its resource."""
    return msgspec.msgpack.encode(_to_plain(table))


def decode_body(key: Key, body: bytes) -> Table | None:
    """Return the table of a resource; None: it is of a kind whose body is empty.

    Raises
    ------
    ChangeRejectedError
        The body is not a valid table of this kind; lists the problems.
    """
    table_type = TABLES.get(key.kind)
    if table_type is not None:
        return decode_table(key, body, table_type)
    if body:
        raise _rejection(key, "body", "must be empty")
    return None


def decode_table(key: Key, body: bytes, table_type: type[T]) -> T:
    """Return the table, of this type, of a resource.

    Raises
    ------
    ChangeRejectedError
        The body is not a valid table of this type, or not in canonical form; lists the problems.
    """
    if len(body) > MAX_BODY_BYTES:
        raise _rejection(key, "body", f"{len(body)} bytes, {MAX_BODY_BYTES} at most")
    try:
        table: T = _decoder(table_type).decode(body)
    except (msgspec.DecodeError, RecursionError):
        table = _decode_by_field(key, body, table_type)
    if isinstance(table, RouteTable) and table.name != key.name:
        raise _rejection(key, "name", f"is {table.name!r}, but the resource is named {key.name!r}")
    if encode_table(table) != body:
        _decode_by_field(key, body, table_type)  # names the field where it can, such as one that is nil
        raise _rejection(key, "body", "is not in canonical form")
    return table


def _rejection(key: Key, field: str, reason: str) -> ChangeRejectedError:
    return ChangeRejectedError((ChangeProblem(str(key), field, reason),))


@cache
def _decoder(table_type: type[T]) -> msgspec.msgpack.Decoder[T]:
    """Return a fast decoder, which reports only the first error of an invalid body."""
    return msgspec.msgpack.Decoder(table_type)


def _decode_by_field(key: Key, body: bytes, table_type: type[T]) -> T:
    """Return the table of a resource, read field by field to find all errors.

    Raises
    ------
    ChangeRejectedError
        The body is not valid; lists all problems.
    """
    try:
        data = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, RecursionError, TypeError, ValueError) as error:
        raise _rejection(key, "body", f"is not valid MessagePack: {error}") from None
    table, problems = read_plain(table_type, data)
    if problems or table is None:
        reported = problems[:MAX_PROBLEMS]
        raise ChangeRejectedError(
            tuple(
                ChangeProblem(
                    str(key), ".".join(filter(None, (found.table, found.key))) or "body", found.reason
                )
                for found in reported
            )
        )
    return table


def resources_of(tables: OperatorTables) -> dict[Key, bytes]:
    """Return the bodies of a file's resources, without the tables of the node itself ([peers], [accord]).

    Raises
    ------
    ChangeRejectedError
        Two routes have the same name, or a name or table is too long for a resource.
    """
    found: dict[Key, bytes] = {}
    problems: list[ChangeProblem] = []
    if tables.defaults != LimitsTable():
        found[DEFAULTS] = encode_table(tables.defaults)
    if tables.paths != PathsTable():
        found[PATHS] = encode_table(tables.paths)
    for name, request_class in tables.classes.items():
        found[Key(Kind.CLASS, name)] = encode_table(request_class)
    for name, tenant in tables.tenants.items():
        found[Key(Kind.TENANT, name)] = encode_table(tenant)
    for route in tables.routes:
        key = Key(Kind.ROUTE, route.name)
        if key in found:
            problems.append(ChangeProblem(str(key), "name", "another route has it"))
        found[key] = encode_table(route)
    problems += _size_problems(found)
    if problems:
        raise ChangeRejectedError(tuple(problems))
    return found


def _size_problems(bodies: Mapping[Key, bytes]) -> Iterator[ChangeProblem]:
    """Yield a problem for each body or name that is too long for a resource."""
    for key, body in bodies.items():
        if len(body) > MAX_BODY_BYTES:
            yield ChangeProblem(str(key), "body", f"{len(body)} bytes, {MAX_BODY_BYTES} at most")
        if key not in (DEFAULTS, PATHS) and not 0 < len(key.name) <= MAX_NAME_LENGTH:
            yield ChangeProblem(str(key), "name", f"must have 1 to {MAX_NAME_LENGTH} characters")


def tables_of(state: ResourceState) -> OperatorTables:
    """Return the tables of a file equivalent to these resources, with routes sorted by name.

    Raises
    ------
    ChangeRejectedError
        A body is not valid.
    """
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
    return OperatorTables(paths=paths, defaults=defaults, classes=classes, tenants=tenants, routes=routes)


def operations_between(state: ResourceState, wanted: Mapping[Key, bytes]) -> tuple[Operation, ...]:
    """Return the operations that turn a state into the wanted resources.

    Drained servers are not part of a file: they are not deleted where `wanted` leaves them out.
    """
    found: list[Operation] = []
    for key, resource in state.resources.items():
        if key not in wanted and key.kind is not Kind.DRAINED_SERVER:
            found.append(Delete(key.kind, key.name, resource.version))
    for key, body in wanted.items():
        existing = state.resources.get(key)
        if existing is None or existing.body != body:
            version = 0 if existing is None else existing.version
            found.append(Upsert(key.kind, key.name, version, body))
    return tuple(sorted(found, key=lambda operation: operation.key))
