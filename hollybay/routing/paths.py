"""A request's path as segments, and the patterns of routes over them.

What two readers could take for two different paths is no path here (see Reading): a route that a request is
matched to must be the one that the server would have it under, and the path goes on to it unchanged.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import IntEnum

__all__ = ["BadPath", "Kind", "Pattern", "Reading", "parse_pattern", "segments_of"]

MAX_SEGMENTS = 64  # of a pattern
MAX_VARIABLES = 8

_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_VARIABLE = re.compile(r"\{([A-Za-z_][A-Za-z0-9_]{0,31})\}")
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


class BadPath(ValueError):
    """A path that two readers could take for two things."""


class Kind(IntEnum):
    """How a pattern matches; the higher number is the more specific."""

    PREFIX = 0
    WHOLE = 1


@dataclass(frozen=True, slots=True)
class Reading:
    """What of an ambiguous path is kept as it stands instead of being refused.

    encoded_slash: %2F and %5C stay what they are, part of a segment. empty_segments: `//` has an empty one,
    which no variable matches. Dot segments, plain or escaped, are always refused.
    """

    encoded_slash: bool = False
    empty_segments: bool = False


STRICT = Reading()


@dataclass(frozen=True, slots=True)
class Pattern:
    """Segments of a route's path; None stands for a variable, which takes one segment that is not empty."""

    kind: Kind
    segments: tuple[str | None, ...]
    names: tuple[str, ...] = ()
    text: str = ""


def segments_of(path: str, reading: Reading = STRICT) -> tuple[str, ...] | None:
    """The segments of a path (latin-1 text up to the query), escapes resolved; None where it has no path.

    `/a/b` has two, `/a/` has `a` and an empty last one, `/` an empty one. BadPath: it is ambiguous.
    """
    if path[:1] != "/":
        return None
    if "%" not in path and "//" not in path and "/." not in path and "\\" not in path and ";" not in path:
        return tuple(path[1:].split("/"))
    return _slow(path, reading)


def _slow(path: str, reading: Reading) -> tuple[str, ...]:
    if _BAD_ESCAPE.search(path):
        raise BadPath("an escape in the path that is none")
    if "\\" in path:
        raise BadPath("a backslash in the path")
    segments = path[1:].split("/")
    if not reading.empty_segments and "" in segments[:-1]:
        raise BadPath("an empty segment in the path")
    if "%" in path:
        segments = [_resolved(segment, reading) for segment in segments]
    for segment in segments:
        # Some servers cut parameters off (`..;x`) before they resolve dots.
        if segment.split(";", 1)[0] in (".", ".."):
            raise BadPath("a dot segment in the path")
    return tuple(segments)


def _resolved(segment: str, reading: Reading) -> str:
    """A segment with its escapes resolved, once; those of slashes stay, in one spelling."""

    def resolve(found: re.Match[str]) -> str:
        char = chr(int(found[1], 16))
        if char in "/\\":
            if not reading.encoded_slash:
                raise BadPath("an escaped slash in the path")
            return found[0].upper()
        if char == "%":
            # Resolved it could be read as the beginning of another escape.
            return "%25"
        if _CONTROL.match(char):
            raise BadPath("a control character in the path")
        return char

    return _ESCAPE.sub(resolve, segment)


def parse_pattern(kind: str, text: str) -> Pattern:
    """A pattern of the operator file, kind one of exact, prefix, template; ValueError says what is wrong."""
    if not text.startswith("/"):
        raise ValueError("a path begins with /")
    if any(mark in text for mark in "?#"):
        raise ValueError("a path has no query and no fragment")
    if not text.isascii() or _CONTROL.search(text) or " " in text:
        raise ValueError("a path is of printable ASCII; escape what is not")
    try:
        segments = segments_of(text, Reading(encoded_slash=True))
    except BadPath as error:
        raise ValueError(f"{error}: no request with it is taken") from None
    assert segments is not None
    if len(segments) > MAX_SEGMENTS:
        raise ValueError(f"more than {MAX_SEGMENTS} segments")
    if kind == "prefix":
        if segments[-1] == "":
            segments = segments[:-1]
        return Pattern(Kind.PREFIX, segments, (), text)
    if kind == "exact":
        return Pattern(Kind.WHOLE, segments, (), text)
    pattern: list[str | None] = []
    names = []
    for segment in segments:
        found = _VARIABLE.fullmatch(segment)
        if found is not None:
            names.append(found[1])
            pattern.append(None)
        elif "{" in segment or "}" in segment:
            raise ValueError(f"{segment!r}: a variable is a whole segment such as {{id}}")
        else:
            pattern.append(segment)
    if len(set(names)) != len(names):
        raise ValueError("a variable's name stands twice")
    if not names:
        raise ValueError("no variable: such a path is an exact one")
    if len(names) > MAX_VARIABLES:
        raise ValueError(f"more than {MAX_VARIABLES} variables")
    return Pattern(Kind.WHOLE, tuple(pattern), tuple(names), text)
