"""Request classes as the operator file declares them, and their differences from the node's settings."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from hollybay.balancing import interface as api
from hollybay.units import SECOND

from .checks import format_duration
from .problems import FileProblem
from .schema import ClassTable, OperatorTables

__all__ = ["declaration_problems", "declared_settings", "quoted_names"]

EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
DAY = 86_400 * SECOND
DEFAULT_MAX_ATTEMPTS = 3  # where only the file defines the classes


def declared_settings(tables: OperatorTables) -> api.Settings:
    """Derive settings from a file alone; a class without a declared effect counts as unsafe."""
    classes = tuple(_declared_class(name, table) for name, table in tables.classes.items())
    return api.Settings(classes, max_attempts=DEFAULT_MAX_ATTEMPTS, hedging_allowed=True, max_retry_after=DAY)


def _declared_class(name: str, table: ClassTable) -> api.RequestClass:
    deadline = table.deadline or DAY
    return api.RequestClass(
        name,
        EFFECTS[table.effect or "unsafe"],
        1.0,
        table.promised or deadline,
        deadline,
        deduplication_scope=api.DEDUPLICATION_SCOPES[table.group or "cell"],
        deduplication_window=table.window or 1,
    )


def declaration_problems(tables: Mapping[str, ClassTable], settings: api.Settings) -> list[FileProblem]:
    """Return a problem for each difference between the declared classes and the settings.

    Parameters
    ----------
    tables
        The tables of classes, by the class's name.
    """
    problems: list[FileProblem] = []
    classes = {request_class.name: request_class for request_class in settings.classes}
    for name, table in tables.items():
        request_class = classes.get(name)
        if request_class is None:
            reason = f"no such class; the settings have {quoted_names(classes)}"
            problems.append(FileProblem(f"class.{name}", "", None, reason))
        else:
            problems += _differences(f"class.{name}", table, request_class)
    return problems


def _differences(
    table_name: str, table: ClassTable, request_class: api.RequestClass
) -> Iterator[FileProblem]:
    """Yield the fields in which a declaration differs from a class of the settings."""
    effect, scope = request_class.effect, request_class.deduplication_scope
    if table.effect is not None and EFFECTS[table.effect] != effect:
        yield _differs(table_name, "effect", table.effect, effect.name.lower())
    durations = (
        ("promised", table.promised, request_class.latency_objective),
        ("deadline", table.deadline, request_class.deadline),
    )
    for key, declared, actual in durations:
        if declared is not None and declared != actual:
            yield _differs(table_name, key, declared, format_duration(actual))
    if table.group is not None and api.DEDUPLICATION_SCOPES[table.group] != scope:
        yield _differs(table_name, "group", table.group, scope.name.lower())
    window = request_class.deduplication_window
    if table.window is not None and table.window != window:
        yield _differs(table_name, "window", table.window, format_duration(window))


def _differs(table_name: str, key: str, declared: object, actual: str) -> FileProblem:
    return FileProblem(table_name, key, declared, f"the settings say {actual}")


def quoted_names(names: Mapping[str, object]) -> str:
    """Return names as problems list them."""
    return ", ".join(repr(name) for name in names)
