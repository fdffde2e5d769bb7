"""Paths and patterns: ambiguous paths are rejected, and others are split into segments unchanged."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.routing.paths import AmbiguousPathError, PathOptions, PatternKind, parse_pattern, segments_of

KEEP_AMBIGUOUS = PathOptions(encoded_slash=True, empty_segments=True)


@pytest.mark.parametrize(
    ("path", "segments"),
    [
        ("/", ("",)),
        ("/a", ("a",)),
        ("/a/", ("a", "")),
        ("/a/b", ("a", "b")),
        ("/%61/b%2Dc", ("a", "b-c")),
        ("/.well-known/x", (".well-known", "x")),
        ("/a..b/...", ("a..b", "...")),
        ("/a;v=1/b", ("a;v=1", "b")),
        ("/a%2541", ("a%2541",)),
        ("/caf%C3%A9", ("caf\u00c3\u00a9",)),
        ("*", None),
        ("http://h/a", None),
        ("", None),
    ],
)
def test_segments(path: str, segments: tuple[str, ...] | None) -> None:
    assert segments_of(path) == segments


@pytest.mark.parametrize(
    "path",
    [
        "/a/../b", "/a/./b", "/..", "/.", "/a/%2e%2e/b", "/a/%2E/b", "/a/.%2e", "/a/..;x/b", "/a/%2e%2e;x",
        "/a//b", "//a", "/a%2Fb", "/a%2fb", "/a%5Cb", "/a\\b", "/a%00", "/a%0a", "/a%7f", "/a%", "/a%2",
        "/a%zz", "/a/b//",
    ],
)  # fmt: skip
def test_ambiguous_paths_are_rejected(path: str) -> None:
    with pytest.raises(AmbiguousPathError):
        segments_of(path)


def test_accepted_ambiguous_parts_are_kept_unchanged() -> None:
    assert segments_of("/a%2fb/c", KEEP_AMBIGUOUS) == ("a%2Fb", "c")
    assert segments_of("/a%5cb", KEEP_AMBIGUOUS) == ("a%5Cb",)
    assert segments_of("//a", KEEP_AMBIGUOUS) == ("", "a")
    assert segments_of("/a//b/", KEEP_AMBIGUOUS) == ("a", "", "b", "")
    for path in ("/a/../b", "/a/%2e%2e/b", "/a\\b", "/a%00"):
        with pytest.raises(AmbiguousPathError):
            segments_of(path, KEEP_AMBIGUOUS)
    # An escaped slash must not be confused with the text of its escape.
    assert segments_of("/a%252Fb", KEEP_AMBIGUOUS) != segments_of("/a%2Fb", KEEP_AMBIGUOUS)


@given(
    st.text(st.characters(max_codepoint=255), max_size=40), st.sampled_from([PathOptions(), KEEP_AMBIGUOUS])
)
def test_any_text_gives_segments_or_is_rejected(text: str, options: PathOptions) -> None:
    try:
        segments = segments_of("/" + text, options)
    except AmbiguousPathError:
        return
    assert segments is not None
    for segment in segments:
        assert "/" not in segment and segment not in (".", "..")
    assert options.empty_segments or "" not in segments[:-1]


@given(st.lists(st.text("abc-_~", min_size=1, max_size=4), min_size=1, max_size=5))
def test_unnecessary_escapes_do_not_change_segments(parts: list[str]) -> None:
    escaped = "/" + "/".join("".join(f"%{ord(c):02x}" for c in part) for part in parts)
    assert segments_of(escaped) == tuple(parts) == segments_of("/" + "/".join(parts))


def test_patterns() -> None:
    assert parse_pattern("exact", "/a/b/").segments == ("a", "b", "")
    assert parse_pattern("prefix", "/a/").segments == ("a",) == parse_pattern("prefix", "/a").segments
    assert (
        parse_pattern("prefix", "/").segments == ()
        and parse_pattern("prefix", "/").kind is PatternKind.PREFIX
    )
    template = parse_pattern("template", "/venues/{id}/slots/{day}")
    assert template.segments == ("venues", None, "slots", None) and template.variable_names == ("id", "day")
    assert parse_pattern("exact", "/%61").segments == ("a",)


@pytest.mark.parametrize(
    ("kind", "text", "reason"),
    [
        ("exact", "a", "must begin with /"),
        ("exact", "", "must begin with /"),
        ("exact", "/a?b", "no query"),
        ("prefix", "/a#b", "no query"),
        ("prefix", "/a/../b", "dot segment"),
        ("exact", "/a//b", "empty segment"),
        ("exact", "/\u00e9", "printable ASCII"),
        ("exact", "/a b", "printable ASCII"),
        ("template", "/a", "no variable"),
        ("template", "/a/x{id}", "whole segment"),
        ("template", "/{}/a", "whole segment"),
        ("template", "/{a}/{a}", "twice"),
        ("template", "/" + "/".join(f"{{v{n}}}" for n in range(9)), "variables"),
        ("exact", "/a" * 65, "segments"),
    ],
)
def test_invalid_patterns_are_rejected_with_a_reason(kind: str, text: str, reason: str) -> None:
    with pytest.raises(ValueError, match=reason):
        parse_pattern(kind, text)
