"""Typed tables of a TOML file. All errors are reported at once, each with table, key, value and reason.

Types and bounds are those of msgspec, but applied field by field: msgspec itself stops at the first error.
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

from hollybay.units import MS, SECOND

from .problems import FileProblem, OperatorError

__all__ = ["Duration", "Size", "Table", "parse_duration", "parse_size", "read_plain", "read_tables"]

MAX_FILE_BYTES = 16 << 20
MAX_SHOWN_NAME = 64  # characters of a name in problems

_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|min)")
_DURATION_UNITS = {"us": 1_000, "ms": MS, "s": SECOND, "min": 60 * SECOND}
_SIZE = re.compile(r"(\d{1,12})(B|KiB|MiB)")
_SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}


def parse_duration(text: object) -> int:
    """Return the nanoseconds of a duration such as "250ms" or "1.5s".

    Raises
    ------
    ValueError
        The text is not a duration; the message is shown to the operator.
    """
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError('is no duration such as "250ms", "1.5s" or "2min"')
    return round(float(found[1]) * _DURATION_UNITS[found[2]])


def parse_size(text: object) -> int:
    """Return the bytes of a size such as "64KiB", or of a whole number.

    Raises
    ------
    ValueError
        The text is not a size; the message is shown to the operator.
    """
    if isinstance(text, int) and not isinstance(text, bool):
        return text
    found = _SIZE.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError('is not a size such as 4096, "16KiB" or "1MiB"')
    return int(found[1]) * _SIZE_UNITS[found[2]]


_PARSERS: dict[str, Callable[[object], int]] = {"duration": parse_duration, "size": parse_size}

# In nanoseconds. A duration of more than a day is taken for a typing error, and rejected.
Duration = Annotated[int, msgspec.Meta(ge=MS, le=86_400 * SECOND, extra={"parse": "duration"})]
# In bytes.
Size = Annotated[int, msgspec.Meta(ge=0, extra={"parse": "size"})]


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a file.

    Attributes
    ----------
    all_or_nothing
        Whether an invalid value makes the whole table invalid; otherwise the value counts as absent.
    """

    all_or_nothing: ClassVar[bool] = False


T = TypeVar("T", bound=Table)


def read_tables(table_type: type[T], text: str | bytes, file: str) -> tuple[T, list[FileProblem]]:
    """Read a file as far as it is valid, so that the valid part can be checked further.

    Parameters
    ----------
    table_type
        The type of the file's top-level table; each of its fields needs a default.
    file
        The file's name in errors.

    Returns
    -------
    tuple
        The tables as far as they are valid, and all problems.

    Raises
    ------
    OperatorError
        The file is not valid TOML, or too long.
    """
    if len(text) > MAX_FILE_BYTES:
        raise OperatorError(file, [FileProblem("", "", None, f"longer than {MAX_FILE_BYTES >> 20} MiB")])
    try:
        data = tomllib.loads(text.decode("utf-8") if isinstance(text, bytes) else text)
    except (ValueError, RecursionError) as error:  # TOML and UTF-8 errors are ValueErrors
        raise OperatorError(file, [FileProblem("", "", None, f"not valid TOML: {error}")]) from None
    problems: list[FileProblem] = []
    table = _read_table(table_type, data, "", problems)
    return table if table is not None else table_type(), problems


def read_plain(table_type: type[T], data: object) -> tuple[T | None, list[FileProblem]]:
    """Read a table from plain values: durations in ns, sizes in bytes.

    Returns
    -------
    tuple
        The table (None: no part of it is usable), to be used only if there are no problems; and all problems.
    """
    problems: list[FileProblem] = []
    return _read_table(table_type, data, "", problems, has_units=False), problems


class _Field:
    """How one field of a table is read.

    Parameters
    ----------
    name
        The attribute that holds its value.
    annotation
        The type of the field.
    required
        Whether it has no default.
    has_units
        Whether durations and sizes are strings with a unit.
    """

    __slots__ = (
        "has_units",
        "item_type",
        "name",
        "parser",
        "required",
        "table_type",
        "value_type",
        "values_type",
    )

    def __init__(self, name: str, annotation: Any, required: bool, has_units: bool) -> None:
        self.name = name
        self.required = required
        self.has_units = has_units
        self.value_type = _without_none(annotation)
        self.parser = _parser_of(self.value_type) if has_units else None
        # The types of a table, of the values of a table of tables, and of the items of a list of tables.
        self.table_type = self.value_type if _is_table(self.value_type) else None
        is_dict = typing.get_origin(self.value_type) is dict
        self.values_type = typing.get_args(self.value_type)[1] if is_dict else None
        self.item_type = _item_type(self.value_type)


_fields: dict[tuple[type, bool], dict[str, _Field]] = {}


def _fields_of(table_type: type[msgspec.Struct], has_units: bool) -> dict[str, _Field]:
    """Return the fields of a table by the key that each has in the file."""
    found = _fields.get((table_type, has_units))
    if found is None:
        annotations = typing.get_type_hints(table_type, include_extras=True)
        found = _fields[table_type, has_units] = {
            field.encode_name: _Field(field.name, annotations[field.name], field.required, has_units)
            for field in msgspec.structs.fields(table_type)
        }
    return found


def _read_table(
    table_type: type[T], data: object, table: str, problems: list[FileProblem], has_units: bool = True
) -> T | None:
    """Read one table; problems found are appended. None: it is not valid."""
    if not isinstance(data, dict):
        problems.append(FileProblem(table, "", data, "is not a table"))
        return None
    fields = _fields_of(table_type, has_units)
    problems += [
        _unknown_key(table, key, value, fields, has_units) for key, value in data.items() if key not in fields
    ]
    values: dict[str, Any] = {}
    invalid: set[str] = set()
    for key, field in fields.items():
        problems_before = len(problems)
        if key in data:
            value = _read_value(field, data[key], table, key, problems)
            if value is not None:
                values[field.name] = value
        elif field.required:
            problems.append(FileProblem(table, key, None, "missing"))
        if len(problems) > problems_before:
            invalid.add(key)
            if field.required:
                return None
    if invalid - {"limits"} and table_type.all_or_nothing:
        return None
    return table_type(**values)


def _unknown_key(
    table: str, key: object, value: object, fields: Mapping[str, _Field], has_units: bool
) -> FileProblem:
    """Return the problem of a key that no field has; for operator files it names the nearest known key."""
    if not has_units or not isinstance(key, str):
        shown = key if isinstance(key, str) and key.isprintable() else repr(key)
        return FileProblem(table, shown[:MAX_SHOWN_NAME], value, "unknown field")
    closest = difflib.get_close_matches(key, fields, n=1, cutoff=0.0)
    return FileProblem(table, key, value, f"unknown key; the nearest known one is {closest[0]!r}")


def _read_value(field: _Field, value: object, table: str, key: str, problems: list[FileProblem]) -> Any:
    """Read the value of a field; problems found are appended. None: it is not valid."""
    inner = f"{table}.{key}" if table else key
    if field.table_type is not None:
        return _read_table(field.table_type, value, inner, problems, field.has_units)
    if field.values_type is not None:
        if not isinstance(value, dict):
            problems.append(FileProblem(table, key, value, "is not a table of tables"))
            return None
        return _read_dict(field, value, inner, problems)
    if field.item_type is not None:
        if not isinstance(value, list):
            problems.append(FileProblem(table, key, value, "is not a list of tables"))
            return None
        return _read_list(field, value, inner, problems)
    return _read_plain_value(field.value_type, value, table, key, problems, field.parser)


def _read_dict(
    field: _Field, data: dict[str, object], table: str, problems: list[FileProblem]
) -> dict[str, Any]:
    """Read a table of tables or of plain values, leaving out those that are not valid."""
    read: dict[str, Any] = {}
    for name, item in data.items():
        if field.values_type is not None and _is_table(field.values_type):
            value = _read_table(field.values_type, item, f"{table}.{name}", problems, field.has_units)
        else:
            value = _read_plain_value(field.values_type, item, table, name, problems)
        if value is not None:
            read[name] = value
    return read


def _read_list(field: _Field, data: list[object], table: str, problems: list[FileProblem]) -> list[Any]:
    """Read a list of tables, leaving out those that are not valid."""
    assert field.item_type is not None
    items = (
        _read_table(field.item_type, item, _item_name(table, number, item), problems, field.has_units)
        for number, item in enumerate(data, 1)
    )
    return [item for item in items if item is not None]


def _read_plain_value(
    value_type: Any,
    value: object,
    table: str,
    key: str,
    problems: list[FileProblem],
    parser: Callable[[object], int] | None = None,
) -> Any:
    """Read a value other than a table; problems found are appended. None: it is not valid."""
    try:
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError("is not a finite number")
        plain = parser(value) if parser is not None else value
        return msgspec.convert(plain, value_type, strict=True)
    except msgspec.ValidationError as error:
        reason = str(error).split(" - at `$")[0]
        if parser is not None:
            reason += " in ns" if parser is parse_duration else " in bytes"
        problems.append(FileProblem(table, key, value, reason[:1].lower() + reason[1:]))
    except (ValueError, OverflowError) as error:
        problems.append(FileProblem(table, key, value, str(error)))
    return None


def _item_name(table: str, number: int, item: object) -> str:
    """Return the name of one table of a list: the name that it states, or else its number."""
    name = item.get("name") if isinstance(item, Mapping) else None
    return f"{table} {name[:MAX_SHOWN_NAME]!r}" if isinstance(name, str) else f"{table} {number}"


def _is_table(value_type: Any) -> bool:
    return isinstance(value_type, type) and issubclass(value_type, Table)


def _without_none(annotation: Any) -> Any:
    """Return the type of a field that may be absent."""
    if isinstance(annotation, types.UnionType) or typing.get_origin(annotation) is typing.Union:
        (annotation,) = (part for part in typing.get_args(annotation) if part is not type(None))
    return annotation


def _parser_of(value_type: Any) -> Callable[[object], int] | None:
    """Return the parser of strings with a unit, for a type that has one."""
    for meta in typing.get_args(value_type)[1:] if typing.get_origin(value_type) is Annotated else ():
        if isinstance(meta, msgspec.Meta) and meta.extra and "parse" in meta.extra:
            return _PARSERS[meta.extra["parse"]]
    return None


def _item_type(value_type: Any) -> type[Table] | None:
    """Return the type of a list's items if they are tables."""
    if typing.get_origin(value_type) is Annotated:
        value_type = typing.get_args(value_type)[0]
    if typing.get_origin(value_type) is not list:
        return None
    (item,) = typing.get_args(value_type)
    return item if _is_table(item) else None
