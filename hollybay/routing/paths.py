"""Request paths as segments, and the patterns of routes over them.

A path that servers may interpret in different ways is rejected (see `PathOptions`): it is forwarded
unchanged, and the server must interpret it in the same way as the route was matched.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import IntEnum

__all__ = [
    "AmbiguousPathError",
    "PathOptions",
    "Pattern",
    "PatternKind",
    "parse_pattern",
    "segments_of",
]

MAX_SEGMENTS = 64  # of a pattern
MAX_VARIABLES = 8

_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_VARIABLE = re.compile(r"\{([A-Za-z_][A-Za-z0-9_]{0,31})\}")
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


class AmbiguousPathError(ValueError):
    """A path that servers may interpret in different ways."""


class PatternKind(IntEnum):
    """How a pattern matches; a higher value is more specific."""

    PREFIX = 0
    FULL = 1


@dataclass(frozen=True, slots=True)
class PathOptions:
    """Which ambiguous paths are accepted, and forwarded unchanged. Dot segments are always rejected.

    Attributes
    ----------
    encoded_slash
        Accept %2F and %5C, as part of a segment.
    empty_segments
        Accept `//`, which contains an empty segment; no variable matches an empty segment.
    """

    encoded_slash: bool = False
    empty_segments: bool = False


STRICT = PathOptions()


@dataclass(frozen=True, slots=True)
class Pattern:
    """The path pattern of a route.

    Attributes
    ----------
    segments
        None stands for a variable, which matches one segment that is not empty.
    variable_names
        Names of the variables, in order.
    text
        The pattern as the operator file states it.
    """

    kind: PatternKind
    segments: tuple[str | None, ...]
    variable_names: tuple[str, ...] = ()
    text: str = ""


def segments_of(path: str, options: PathOptions = STRICT) -> tuple[str, ...] | None:
    """Return the segments of a path, with escapes decoded; None: the target has no path.

    `/a/b` has two segments, `/a/` has `a` and an empty one, `/` has an empty one.

    Parameters
    ----------
    path
        The target up to the query, as latin-1 text.

    Raises
    ------
    AmbiguousPathError
        Servers may interpret the path in different ways.
    """
    if path[:1] != "/":
        return None
    if "%" not in path and "//" not in path and "/." not in path and "\\" not in path and ";" not in path:
        return tuple(path[1:].split("/"))
    return _checked_segments(path, options)


def _checked_segments(path: str, options: PathOptions) -> tuple[str, ...]:
    """Return the segments of a path that contains escapes or other characters that may be ambiguous."""
    if _BAD_ESCAPE.search(path):
        raise AmbiguousPathError("an escape in the path that is none")
    if "\\" in path:
        raise AmbiguousPathError("a backslash in the path")
    segments = path[1:].split("/")
    if not options.empty_segments and "" in segments[:-1]:
        raise AmbiguousPathError("an empty segment in the path")
    if "%" in path:
        segments = [_decode_segment(segment, options) for segment in segments]
    for segment in segments:
        # Some servers remove parameters (`..;x`) before they resolve dot segments.
        if segment.split(";", 1)[0] in (".", ".."):
            raise AmbiguousPathError("a dot segment in the path")
    return tuple(segments)


def _decode_segment(segment: str, options: PathOptions) -> str:
    """Decode the escapes of a segment once; escaped slashes are kept, in upper case."""

    def decode(found: re.Match[str]) -> str:
        char = chr(int(found[1], 16))
        if char in "/\\":
            if not options.encoded_slash:
                raise AmbiguousPathError("an escaped slash in the path")
            return found[0].upper()
        if char == "%":
            # A decoded % could be taken for the beginning of another escape.
            return "%25"
        if _CONTROL.match(char):
            raise AmbiguousPathError("a control character in the path")
        return char

    return _ESCAPE.sub(decode, segment)


def parse_pattern(kind: str, text: str) -> Pattern:
    """Parse a path pattern of the operator file.

    Parameters
    ----------
    kind
        One of "exact", "prefix" and "template".

    Raises
    ------
    ValueError
        The pattern is not valid; the message is shown to the operator.
    """
    segments = _pattern_segments(text)
    if kind == "prefix":
        if segments[-1] == "":
            segments = segments[:-1]
        return Pattern(PatternKind.PREFIX, segments, (), text)
    if kind == "exact":
        return Pattern(PatternKind.FULL, segments, (), text)
    return _parse_template(segments, text)


def _pattern_segments(text: str) -> tuple[str, ...]:
    if not text.startswith("/"):
        raise ValueError("a path must begin with /")
    if any(mark in text for mark in "?#"):
        raise ValueError("a path must have no query and no fragment")
    if not text.isascii() or _CONTROL.search(text) or " " in text:
        raise ValueError("a path must be printable ASCII; percent-encode other characters")
    try:
        segments = segments_of(text, PathOptions(encoded_slash=True))
    except AmbiguousPathError as error:
        raise ValueError(f"{error}: requests with such a path are rejected") from None
    assert segments is not None
    if len(segments) > MAX_SEGMENTS:
        raise ValueError(f"{len(segments)} segments, {MAX_SEGMENTS} at most")
    return segments


def _parse_template(segments: tuple[str, ...], text: str) -> Pattern:
    pattern: list[str | None] = []
    names: list[str] = []
    for segment in segments:
        variable = _VARIABLE.fullmatch(segment)
        if variable is not None:
            names.append(variable[1])
            pattern.append(None)
        elif "{" in segment or "}" in segment:
            raise ValueError(f"{segment!r}: a variable is a whole segment such as {{id}}")
        else:
            pattern.append(segment)
    if len(set(names)) != len(names):
        raise ValueError("the name of a variable is used twice")
    if not names:
        raise ValueError("no variable: state such a path as `exact`")
    if len(names) > MAX_VARIABLES:
        raise ValueError(f"{len(names)} variables, {MAX_VARIABLES} at most")
    return Pattern(PatternKind.FULL, tuple(pattern), tuple(names), text)
