"""Typed tables of a TOML file, read with all errors at once: each with table, key, value and reason.

The types and bounds are msgspec's, field by field, so that one wrong value does not hide the next (msgspec
itself stops at the first).
"""

from __future__ import annotations

import difflib
import math
import re
import tomllib
import types
import typing
from collections.abc import Callable, Mapping
from typing import Annotated, Any, ClassVar, TypeVar

import msgspec

from .problems import OperatorError, Problem

__all__ = ["Duration", "Size", "Table", "duration", "read_plain", "read_tables", "size"]

MS = 1_000_000
SECOND = 1_000_000_000
# A longer file is no file of settings.
MAX_FILE = 16 << 20
_SHOWN_KEY = 64  # characters of an unknown key that are shown

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


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a file."""

    # Whether it is left out where one of its values does not hold; else such a value counts as absent.
    all_or_nothing: ClassVar[bool] = False


T = TypeVar("T", bound=Table)


def read_tables(kind: type[T], text: str | bytes, file: str) -> tuple[T, list[Problem]]:
    """The tables as far as they hold, and all that does not: what holds can still be checked for its meaning.

    kind needs a default for every field. OperatorError: it is no TOML at all, or too long.
    """
    if len(text) > MAX_FILE:
        raise OperatorError(file, [Problem("", "", None, f"longer than {MAX_FILE >> 20} MiB")])
    try:
        data = tomllib.loads(text.decode("utf-8") if isinstance(text, bytes) else text)
    except (ValueError, RecursionError) as error:  # TOML and UTF-8 errors are ValueErrors
        raise OperatorError(file, [Problem("", "", None, f"no TOML: {error}")]) from None
    problems: list[Problem] = []
    table = _struct(kind, data, "", problems)
    return table if table is not None else kind(), problems


def read_plain(kind: type[T], data: object) -> tuple[T | None, list[Problem]]:
    """A table out of plain values (durations in ns, sizes in bytes), and all that does not hold.

    None: it does not hold at all. Where there are problems the table is not to be used.
    """
    problems: list[Problem] = []
    return _struct(kind, data, "", problems, texts=False), problems


class _Field:
    """How one field is read; worked out once for each. texts: durations and sizes are texts with a unit."""

    __slots__ = ("item", "kind", "name", "of", "parser", "required", "struct", "texts")

    def __init__(self, name: str, kind: Any, required: bool, texts: bool) -> None:
        self.name = name
        self.required = required
        self.texts = texts
        self.parser, self.kind = _plain(kind)
        if not texts:
            self.parser = None
        self.struct = isinstance(self.kind, type) and issubclass(self.kind, Table)
        self.of = typing.get_args(self.kind)[1] if typing.get_origin(self.kind) is dict else None
        self.item = _item(self.kind)


_fields: dict[tuple[type, bool], dict[str, _Field]] = {}


def _fields_of(kind: type[msgspec.Struct], texts: bool) -> dict[str, _Field]:
    """The fields of a table by the key that each has in the file."""
    found = _fields.get((kind, texts))
    if found is None:
        hints = typing.get_type_hints(kind, include_extras=True)
        found = _fields[kind, texts] = {
            field.encode_name: _Field(field.name, hints[field.name], field.required, texts)
            for field in msgspec.structs.fields(kind)
        }
    return found


def _struct(kind: type[T], data: object, table: str, problems: list[Problem], texts: bool = True) -> T | None:
    """One table; what does not hold goes to problems, and None comes back."""
    if not isinstance(data, dict):
        problems.append(Problem(table, "", data, "is no table"))
        return None
    fields = _fields_of(kind, texts)
    for key, value in data.items():
        if key not in fields:
            problems.append(_unknown(table, key, value, fields, texts))
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
    if bad - {"limits"} and kind.all_or_nothing:
        return None
    return kind(**values)


def _unknown(table: str, key: object, value: object, fields: Mapping[str, _Field], texts: bool) -> Problem:
    """A key that no field has. People who write files are told the nearest one; that takes its time."""
    if not texts or not isinstance(key, str):
        shown = key if isinstance(key, str) and key.isprintable() else repr(key)
        return Problem(table, shown[:_SHOWN_KEY], value, "unknown field")
    near = difflib.get_close_matches(key, fields, n=1, cutoff=0.0)
    return Problem(table, key, value, f"unknown key; the nearest known one is {near[0]!r}")


def _value(field: _Field, value: object, table: str, key: str, problems: list[Problem]) -> Any:
    inner = f"{table}.{key}" if table else key
    texts = field.texts
    if field.struct:
        return _struct(field.kind, value, inner, problems, texts)
    if field.of is not None:
        if not isinstance(value, dict):
            problems.append(Problem(table, key, value, "is no table of tables"))
            return None
        if not (isinstance(field.of, type) and issubclass(field.of, Table)):
            plain = (_plain_value(field.of, item, inner, name, problems) for name, item in value.items())
            return {name: item for name, item in zip(value, plain, strict=True) if item is not None}
        read = {
            name: _struct(field.of, item, f"{inner}.{name}", problems, texts) for name, item in value.items()
        }
        return {name: item for name, item in read.items() if item is not None}
    if field.item is not None:
        if not isinstance(value, list):
            problems.append(Problem(table, key, value, "is no list of tables"))
            return None
        items = (
            _struct(field.item, item, _numbered(inner, n, item), problems, texts)
            for n, item in enumerate(value, 1)
        )
        return [item for item in items if item is not None]
    return _plain_value(field.kind, value, table, key, problems, field.parser)


def _plain_value(
    kind: Any,
    value: object,
    table: str,
    key: str,
    problems: list[Problem],
    parser: Callable[[object], int] | None = None,
) -> Any:
    """A value that is no table; what does not hold goes to problems, and None comes back."""
    try:
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError("is no finite number")
        plain = parser(value) if parser is not None else value
        return msgspec.convert(plain, kind, strict=True)
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


def _item(kind: Any) -> type[Table] | None:
    """The type of a list's items where these are tables."""
    if typing.get_origin(kind) is Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) is not list:
        return None
    (item,) = typing.get_args(kind)
    return item if isinstance(item, type) and issubclass(item, Table) else None
