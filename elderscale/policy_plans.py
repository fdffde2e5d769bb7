"""What the accord's log means to this node: operator files as operations, resources as compiled plans.

Imported only where the operator file has [accord].
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable

import msgspec

from lynxrouter import interface as api
from resources.model import Delete, Key, Kind, Operation, Upsert
from resources.state import ResourceState
from routing.forms import _struct
from routing.plan import Plan, compile_plan
from routing.problems import OperatorError, Problem
from routing.schema import OperatorFile, read_all

__all__ = ["plan_after", "plan_of", "read_file"]


def _wanted(file: bytes) -> dict[Key, bytes]:
    data = tomllib.loads(file.decode())
    found: dict[Key, bytes] = {}
    for kind in (Kind.DEFAULTS, Kind.PATHS):
        if kind.value in data:
            found[Key(kind, "")] = msgspec.msgpack.encode(data[kind.value])
    for name, table in data.get("class", {}).items():
        found[Key(Kind.CLASS, name)] = msgspec.msgpack.encode(table)
    for table in data.get("route", []):
        found[Key(Kind.ROUTE, table["name"])] = msgspec.msgpack.encode(table)
    return found


def read_file(file: bytes, state: ResourceState) -> tuple[tuple[Operation, ...], list[str] | None]:
    """What makes the resources what a file says, and the keepers that it names. OperatorError: it does not
    hold.
    """
    tables, problems = read_all(file)
    if problems:
        raise OperatorError("operator file", problems)
    wanted = _wanted(file)
    operations: list[Operation] = []
    for key, there in state.resources.items():
        if key not in wanted and key.kind is not Kind.SERVER_OUT:
            operations.append(Delete(key.kind, key.name, there.version))
    for key, body in wanted.items():
        old = state.resources.get(key)
        if old is None or old.body != body:
            operations.append(Upsert(key.kind, key.name, old.version if old else 0, body))
    keepers = sorted(tables.accord.keepers) if tables.accord is not None else None
    return tuple(operations), keepers


def plan_of(state: ResourceState, settings: api.Settings, name: str) -> Plan:
    """The plan of a state, compiled anew. OperatorError: it does not hold."""
    data: dict[str, object] = {}
    classes, routes = {}, []
    for key, one in sorted(state.resources.items()):
        if key.kind is Kind.SERVER_OUT:
            continue
        table = msgspec.msgpack.decode(one.body)
        if key.kind is Kind.ROUTE:
            routes.append(table)
        elif key.kind is Kind.CLASS:
            classes[key.name] = table
        else:
            data[key.kind.value] = table
    problems: list[Problem] = []
    tables = _struct(OperatorFile, data | {"class": classes, "route": routes}, "", problems)
    assert tables is not None
    return compile_plan(tables, settings, name, problems)


def plan_after(
    plan: Plan, state: ResourceState, changed: Iterable[Key], settings: api.Settings, name: str
) -> Plan:
    """The plan of a state that differs from another plan's in these resources. OperatorError: it does not
    hold.
    """
    return plan_of(state, settings, name)
