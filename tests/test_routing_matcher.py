"""The compiled matcher agrees with its reference implementation, and reports all overlaps."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollybay.routing import persistent_map
from hollybay.routing.matcher import HeaderMatch, Matcher, find_overlaps, matches, most_specific
from hollybay.routing.paths import Pattern, parse_pattern


@dataclass(frozen=True, eq=False)
class Rule:
    name: str
    pattern: Pattern
    hosts: tuple[str, ...] = ()
    methods: tuple[bytes, ...] = ()
    headers: tuple[HeaderMatch, ...] = ()


@dataclass
class Ask:
    path: str
    method: bytes = b"GET"
    host: str = "h"
    request_headers: dict[bytes, bytes] = field(default_factory=dict)


def route(name: str, kind: str = "prefix", path: str = "/", **more: object) -> Rule:
    return Rule(name, parse_pattern(kind, path), **more)  # type: ignore[arg-type]


def found(rules: list[Rule], ask: Ask) -> str | None:
    matcher = Matcher(rules)
    assert not matcher.overlaps
    hit = matcher.find(ask.method, ask.host, tuple(ask.path[1:].split("/")), ask.request_headers)
    return hit.name if hit is not None else None


def test_the_more_specific_path_wins_wherever_it_stands() -> None:
    rules = [
        route("all"),
        route("v", "prefix", "/v"),
        route("deep", "prefix", "/v/1"),
        route("any", "template", "/v/{id}"),
        route("one", "exact", "/v/1"),
        route("left", "template", "/v/{id}/x"),
        route("right", "template", "/{a}/1/x"),
    ]
    for order in (rules, rules[::-1]):
        assert found(order, Ask("/v/1")) == "one"
        assert found(order, Ask("/v/2")) == "any"
        assert found(order, Ask("/v/1/y")) == "deep"
        assert found(order, Ask("/v/2/y")) == "v"
        assert found(order, Ask("/v/1/x")) == "left"  # the leftmost difference decides
        assert found(order, Ask("/w/1/x")) == "right"
        assert found(order, Ask("/vv")) == "all"  # prefixes match whole segments
        assert found(order, Ask("/v/")) == "v"  # a variable does not match an empty segment
        assert found(order, Ask("/")) == "all"


def test_hosts_then_paths_then_methods_then_headers() -> None:
    rules = [
        route("any-host", "exact", "/a/b"),
        route("wild", "prefix", "/a", hosts=("*.example",)),
        route("long-wild", "prefix", "/", hosts=("*.b.example",)),
        route("host", "prefix", "/", hosts=("c.b.example",), methods=(b"POST",)),
        route("method", "exact", "/m", methods=(b"GET",)),
        route("headers", "exact", "/m", headers=(HeaderMatch(b"x", b"1"), HeaderMatch(b"y"))),
        route("value", "exact", "/n", headers=(HeaderMatch(b"x", b"1"),)),
        route("present", "exact", "/n", headers=(HeaderMatch(b"x"),)),
        route("bare", "exact", "/n"),
    ]
    assert found(rules, Ask("/a/b")) == "any-host"
    assert found(rules, Ask("/a/b", host="z.example")) == "wild"
    assert found(rules, Ask("/a/b", host="z.b.example")) == "long-wild"
    # The route of this host does not match GET.
    assert found(rules, Ask("/a/b", host="c.b.example")) == "long-wild"
    assert found(rules, Ask("/a/b", b"POST", "c.b.example")) == "host"
    assert found(rules, Ask("/a/b", host="example")) == "any-host"  # a wildcard requires a label
    both = {b"x": b"1", b"y": b"2"}
    assert found(rules, Ask("/m", request_headers=both)) == "method"
    assert found(rules, Ask("/m", b"POST", request_headers=both)) == "headers"
    assert found(rules, Ask("/m", b"POST")) is None
    assert found(rules, Ask("/n", request_headers={b"x": b"1"})) == "value"
    assert found(rules, Ask("/n", request_headers={b"x": b"2"})) == "present"
    assert found(rules, Ask("/n")) == "bare"


def pairs(rules: list[Rule]) -> set[frozenset[str]]:
    return {frozenset((overlap.first.name, overlap.second.name)) for overlap in find_overlaps(rules)}


def test_overlaps_that_no_rule_decides_are_named() -> None:
    x, y = HeaderMatch(b"x", b"1"), HeaderMatch(b"y", b"1")
    assert pairs([route("a", "exact", "/p"), route("b", "exact", "/p")]) == {frozenset("ab")}
    assert pairs([route("a", "template", "/{i}"), route("b", "template", "/{j}")]) == {frozenset("ab")}
    assert pairs(
        [route("a", methods=(b"GET", b"PUT")), route("b", methods=(b"PUT",)), route("c", methods=(b"POST",))]
    ) == {frozenset("ab")}
    assert pairs([route("a", headers=(x,)), route("b", headers=(y,))]) == {frozenset("ab")}
    assert pairs([route("a", headers=(x,)), route("b", headers=(HeaderMatch(b"x", b"2"),))]) == set()
    three = HeaderMatch(b"z", b"1")
    assert pairs([route("a", headers=(x, y)), route("b", headers=(x, three))]) == {frozenset("ab")}
    other = HeaderMatch(b"x", b"2")
    assert pairs([route("a", headers=(x, y)), route("b", headers=(other, three))]) == set()
    assert pairs([route("a", hosts=("h", "i")), route("b", hosts=("i", "j"))]) == {frozenset("ab")}
    assert pairs([route("a", hosts=("h", "h"))]) == set()
    assert (
        pairs([route("a", "exact", "/p"), route("b", "template", "/{i}"), route("c", "prefix", "/p")])
        == set()
    )


PARTS = st.sampled_from(["a", "b", "{v}"])
HEADERS = st.lists(
    st.builds(HeaderMatch, st.sampled_from([b"x", b"y", b"z"]), st.sampled_from([None, b"1", b"2"])),
    max_size=3,
    unique_by=lambda header: header.name,
).map(tuple)


@st.composite
def rules_of(draw: st.DrawFn) -> list[Rule]:
    rules = []
    for n in range(draw(st.integers(1, 8))):
        parts = draw(st.lists(PARTS, max_size=3))
        kind = draw(st.sampled_from(["prefix", "whole"]))
        if kind == "prefix":
            pattern = parse_pattern("prefix", "/" + "/".join("a" if p == "{v}" else p for p in parts))
        else:
            path = "/" + "/".join(f"{{v{i}}}" if p == "{v}" else p for i, p in enumerate(parts))
            pattern = parse_pattern("template" if "{" in path else "exact", path)
        hosts = draw(st.lists(st.sampled_from(["h.e", "*.e", "*.h.e", "e"]), max_size=2, unique=True))
        methods = draw(st.lists(st.sampled_from([b"GET", b"PUT"]), max_size=2, unique=True))
        rules.append(Rule(f"r{n}", pattern, tuple(hosts), tuple(methods), draw(HEADERS)))
    return rules


ASKS = st.builds(
    Ask,
    st.lists(st.sampled_from(["a", "b", ""]), max_size=4).map(lambda parts: "/" + "/".join(parts)),
    st.sampled_from([b"GET", b"PUT"]),
    st.sampled_from(["h.e", "e", "i.h.e", "o"]),
    st.dictionaries(st.sampled_from([b"x", b"y", b"z"]), st.sampled_from([b"1", b"2"])),
)


@settings(max_examples=300)
@given(rules_of(), st.lists(ASKS, min_size=1, max_size=6))
def test_it_agrees_with_looking_at_every_route(rules: list[Rule], asks: list[Ask]) -> None:
    matcher = Matcher(rules)
    undecided = {id(one) for overlap in matcher.overlaps for one in (overlap.first, overlap.second)}
    sure = [rule for rule in rules if id(rule) not in undecided]
    matcher = Matcher(sure)
    assert not matcher.overlaps
    for ask in asks:
        segments = tuple(ask.path[1:].split("/"))
        assert matcher.find(ask.method, ask.host, segments, ask.request_headers) is most_specific(
            sure, ask.method, ask.host, segments, ask.request_headers
        )


def _rank_of(rule: Rule, ask: Ask) -> object:
    from hollybay.routing.matcher import _rank

    return _rank(rule, ask.host)


@settings(max_examples=300)
@given(rules_of(), ASKS)
def test_two_routes_of_one_rank_that_take_one_request_are_always_named(rules: list[Rule], ask: Ask) -> None:
    # Of several routes at the same key, each is reported together with the first.
    named = set().union(*pairs(rules))
    segments = tuple(ask.path[1:].split("/"))
    takers = [rule for rule in rules if matches(rule, ask.method, ask.host, segments, ask.request_headers)]
    for first, second in combinations(takers, 2):
        if _rank_of(first, ask) == _rank_of(second, ask):
            assert {first.name, second.name} <= named


@pytest.mark.parametrize("copied", [256, 2])
def test_routes_that_come_and_go_are_as_if_compiled_at_once(copied: int) -> None:
    """Also with hash tries in place of dicts (copied: the largest dict); older matchers stay unchanged."""

    @settings(max_examples=100)
    @given(st.lists(rules_of(), min_size=1, max_size=4), st.data())
    def play(batches: list[list[Rule]], data: st.DataObject) -> None:
        matcher: Matcher[Rule] = Matcher()
        rules: list[Rule] = []
        for rule in (rule for batch in batches for rule in batch):
            old, before = matcher, [*rules]
            if rules and data.draw(st.integers(0, 3)) == 0:
                gone = rules.pop(data.draw(st.integers(0, len(rules) - 1)))
                matcher = matcher.without_route(gone)
            new = Rule(f"n{len(before)}-{rule.name}", rule.pattern, rule.hosts, rule.methods, rule.headers)
            whole = [pair for pair in find_overlaps([*rules, new]) if new in (pair.first, pair.second)]
            clashing = {pair.first.name if pair.second is new else pair.second.name for pair in whole}
            ambiguous_names = [other.name for other in matcher.ambiguous_with(new)]
            assert sorted(ambiguous_names) == sorted(clashing)
            if not ambiguous_names:
                matcher = matcher.with_route(new)
                rules.append(new)
            for which, taken in ((old, before), (matcher, rules)):
                ask = data.draw(ASKS)
                segments = tuple(ask.path[1:].split("/"))
                hit = which.find(ask.method, ask.host, segments, ask.request_headers)
                assert hit is most_specific(taken, ask.method, ask.host, segments, ask.request_headers)
        for rule in rules:
            matcher = matcher.without_route(rule)
        assert not matcher.exact_hosts and not matcher.wildcard_hosts and matcher.any_host is None

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(persistent_map, "MAX_COPIED", copied)
        play()


def test_an_index_of_shared_headers_is_kept_up() -> None:
    """Many routes of one path with two sets of headers, which differ in the value of the shared header."""

    def rule(name: str, other: bytes, value: int) -> Rule:
        return route(name, headers=(HeaderMatch(b"key", b"%d" % value), HeaderMatch(other, b"1")))

    matcher: Matcher[Rule] = Matcher()
    added = [rule(f"a{n}", b"x", n) for n in range(300)]
    for n, one in enumerate(added):
        # Alternately, so that both groups have an index from the start.
        for new in (one, rule(f"b{n}", b"y", 300 + n)):
            assert not list(matcher.ambiguous_with(new))
            matcher = matcher.with_route(new)
    assert [other.name for other in matcher.ambiguous_with(rule("c", b"y", 7))] == ["a7"]
    assert [other.name for other in matcher.ambiguous_with(rule("c", b"x", 307))] == ["b7"]
    fewer = matcher.without_route(added[7])
    assert not list(fewer.ambiguous_with(rule("c", b"y", 7)))
    assert [other.name for other in matcher.ambiguous_with(rule("c", b"y", 7))] == ["a7"]
