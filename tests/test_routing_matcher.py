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
class FakeRoute:
    name: str
    pattern: Pattern
    hosts: tuple[str, ...] = ()
    methods: tuple[bytes, ...] = ()
    headers: tuple[HeaderMatch, ...] = ()


@dataclass
class Request:
    path: str
    method: bytes = b"GET"
    host: str = "h"
    request_headers: dict[bytes, bytes] = field(default_factory=dict)


def make_route(name: str, kind: str = "prefix", path: str = "/", **more: object) -> FakeRoute:
    return FakeRoute(name, parse_pattern(kind, path), **more)  # type: ignore[arg-type]


def matching_name(routes: list[FakeRoute], request: Request) -> str | None:
    matcher = Matcher(routes)
    assert not matcher.overlaps
    match = matcher.find(
        request.method, request.host, tuple(request.path[1:].split("/")), request.request_headers
    )
    return match.name if match is not None else None


def test_the_more_specific_path_wins_in_any_order() -> None:
    routes = [
        make_route("all"),
        make_route("v", "prefix", "/v"),
        make_route("deep", "prefix", "/v/1"),
        make_route("any", "template", "/v/{id}"),
        make_route("one", "exact", "/v/1"),
        make_route("left", "template", "/v/{id}/x"),
        make_route("right", "template", "/{a}/1/x"),
    ]
    for order in (routes, routes[::-1]):
        assert matching_name(order, Request("/v/1")) == "one"
        assert matching_name(order, Request("/v/2")) == "any"
        assert matching_name(order, Request("/v/1/y")) == "deep"
        assert matching_name(order, Request("/v/2/y")) == "v"
        assert matching_name(order, Request("/v/1/x")) == "left"  # the leftmost difference decides
        assert matching_name(order, Request("/w/1/x")) == "right"
        assert matching_name(order, Request("/vv")) == "all"  # prefixes match whole segments
        assert matching_name(order, Request("/v/")) == "v"  # a variable does not match an empty segment
        assert matching_name(order, Request("/")) == "all"


def test_precedence_is_by_host_path_method_and_headers() -> None:
    routes = [
        make_route("any-host", "exact", "/a/b"),
        make_route("wild", "prefix", "/a", hosts=("*.example",)),
        make_route("long-wild", "prefix", "/", hosts=("*.b.example",)),
        make_route("host", "prefix", "/", hosts=("c.b.example",), methods=(b"POST",)),
        make_route("method", "exact", "/m", methods=(b"GET",)),
        make_route("headers", "exact", "/m", headers=(HeaderMatch(b"x", b"1"), HeaderMatch(b"y"))),
        make_route("value", "exact", "/n", headers=(HeaderMatch(b"x", b"1"),)),
        make_route("present", "exact", "/n", headers=(HeaderMatch(b"x"),)),
        make_route("bare", "exact", "/n"),
    ]
    assert matching_name(routes, Request("/a/b")) == "any-host"
    assert matching_name(routes, Request("/a/b", host="z.example")) == "wild"
    assert matching_name(routes, Request("/a/b", host="z.b.example")) == "long-wild"
    # The route of this host does not match GET.
    assert matching_name(routes, Request("/a/b", host="c.b.example")) == "long-wild"
    assert matching_name(routes, Request("/a/b", b"POST", "c.b.example")) == "host"
    assert matching_name(routes, Request("/a/b", host="example")) == "any-host"  # a wildcard requires a label
    both = {b"x": b"1", b"y": b"2"}
    assert matching_name(routes, Request("/m", request_headers=both)) == "method"
    assert matching_name(routes, Request("/m", b"POST", request_headers=both)) == "headers"
    assert matching_name(routes, Request("/m", b"POST")) is None
    assert matching_name(routes, Request("/n", request_headers={b"x": b"1"})) == "value"
    assert matching_name(routes, Request("/n", request_headers={b"x": b"2"})) == "present"
    assert matching_name(routes, Request("/n")) == "bare"


def overlapping_names(routes: list[FakeRoute]) -> set[frozenset[str]]:
    return {frozenset((overlap.first.name, overlap.second.name)) for overlap in find_overlaps(routes)}


def test_overlaps_of_equal_precedence_are_reported() -> None:
    x, y = HeaderMatch(b"x", b"1"), HeaderMatch(b"y", b"1")
    assert overlapping_names([make_route("a", "exact", "/p"), make_route("b", "exact", "/p")]) == {
        frozenset("ab")
    }
    assert overlapping_names([make_route("a", "template", "/{i}"), make_route("b", "template", "/{j}")]) == {
        frozenset("ab")
    }
    assert overlapping_names(
        [
            make_route("a", methods=(b"GET", b"PUT")),
            make_route("b", methods=(b"PUT",)),
            make_route("c", methods=(b"POST",)),
        ]
    ) == {frozenset("ab")}
    assert overlapping_names([make_route("a", headers=(x,)), make_route("b", headers=(y,))]) == {
        frozenset("ab")
    }
    assert (
        overlapping_names(
            [make_route("a", headers=(x,)), make_route("b", headers=(HeaderMatch(b"x", b"2"),))]
        )
        == set()
    )
    z = HeaderMatch(b"z", b"1")
    assert overlapping_names([make_route("a", headers=(x, y)), make_route("b", headers=(x, z))]) == {
        frozenset("ab")
    }
    other = HeaderMatch(b"x", b"2")
    assert overlapping_names([make_route("a", headers=(x, y)), make_route("b", headers=(other, z))]) == set()
    assert overlapping_names([make_route("a", hosts=("h", "i")), make_route("b", hosts=("i", "j"))]) == {
        frozenset("ab")
    }
    assert overlapping_names([make_route("a", hosts=("h", "h"))]) == set()
    assert (
        overlapping_names(
            [
                make_route("a", "exact", "/p"),
                make_route("b", "template", "/{i}"),
                make_route("c", "prefix", "/p"),
            ]
        )
        == set()
    )


PARTS = st.sampled_from(["a", "b", "{v}"])
HEADERS = st.lists(
    st.builds(HeaderMatch, st.sampled_from([b"x", b"y", b"z"]), st.sampled_from([None, b"1", b"2"])),
    max_size=3,
    unique_by=lambda header: header.name,
).map(tuple)


@st.composite
def route_lists(draw: st.DrawFn) -> list[FakeRoute]:
    routes = []
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
        routes.append(FakeRoute(f"r{n}", pattern, tuple(hosts), tuple(methods), draw(HEADERS)))
    return routes


REQUESTS = st.builds(
    Request,
    st.lists(st.sampled_from(["a", "b", ""]), max_size=4).map(lambda parts: "/" + "/".join(parts)),
    st.sampled_from([b"GET", b"PUT"]),
    st.sampled_from(["h.e", "e", "i.h.e", "o"]),
    st.dictionaries(st.sampled_from([b"x", b"y", b"z"]), st.sampled_from([b"1", b"2"])),
)


@settings(max_examples=300)
@given(route_lists(), st.lists(REQUESTS, min_size=1, max_size=6))
def test_it_agrees_with_looking_at_every_route(routes: list[FakeRoute], requests: list[Request]) -> None:
    matcher = Matcher(routes)
    ambiguous = {id(one) for overlap in matcher.overlaps for one in (overlap.first, overlap.second)}
    unambiguous = [route for route in routes if id(route) not in ambiguous]
    matcher = Matcher(unambiguous)
    assert not matcher.overlaps
    for request in requests:
        segments = tuple(request.path[1:].split("/"))
        assert matcher.find(request.method, request.host, segments, request.request_headers) is most_specific(
            unambiguous, request.method, request.host, segments, request.request_headers
        )


def _rank_of(route: FakeRoute, request: Request) -> object:
    from hollybay.routing.matcher import _rank

    return _rank(route, request.host)


@settings(max_examples=300)
@given(route_lists(), REQUESTS)
def test_two_routes_of_one_rank_that_take_one_request_are_always_named(
    routes: list[FakeRoute], request: Request
) -> None:
    # Of several routes at the same key, each is reported together with the first.
    reported = set().union(*overlapping_names(routes))
    segments = tuple(request.path[1:].split("/"))
    matching = [
        route
        for route in routes
        if matches(route, request.method, request.host, segments, request.request_headers)
    ]
    for first, second in combinations(matching, 2):
        if _rank_of(first, request) == _rank_of(second, request):
            assert {first.name, second.name} <= reported


@pytest.mark.parametrize("copied", [256, 2])
def test_routes_that_come_and_go_are_as_if_compiled_at_once(copied: int) -> None:
    """Also with hash tries in place of dicts (copied: the largest dict); older matchers stay unchanged."""

    @settings(max_examples=100)
    @given(st.lists(route_lists(), min_size=1, max_size=4), st.data())
    def check_changes(batches: list[list[FakeRoute]], data: st.DataObject) -> None:
        matcher: Matcher[FakeRoute] = Matcher()
        routes: list[FakeRoute] = []
        for route in (route for batch in batches for route in batch):
            old, before = matcher, [*routes]
            if routes and data.draw(st.integers(0, 3)) == 0:
                removed = routes.pop(data.draw(st.integers(0, len(routes) - 1)))
                matcher = matcher.without_route(removed)
            new = FakeRoute(
                f"n{len(before)}-{route.name}", route.pattern, route.hosts, route.methods, route.headers
            )
            overlaps = [pair for pair in find_overlaps([*routes, new]) if new in (pair.first, pair.second)]
            expected = {pair.first.name if pair.second is new else pair.second.name for pair in overlaps}
            ambiguous_names = [other.name for other in matcher.ambiguous_with(new)]
            assert sorted(ambiguous_names) == sorted(expected)
            if not ambiguous_names:
                matcher = matcher.with_route(new)
                routes.append(new)
            for searched, expected_routes in ((old, before), (matcher, routes)):
                request = data.draw(REQUESTS)
                segments = tuple(request.path[1:].split("/"))
                match = searched.find(request.method, request.host, segments, request.request_headers)
                assert match is most_specific(
                    expected_routes, request.method, request.host, segments, request.request_headers
                )
        for route in routes:
            matcher = matcher.without_route(route)
        assert not matcher.exact_hosts and not matcher.wildcard_hosts and matcher.any_host is None

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(persistent_map, "MAX_COPIED", copied)
        check_changes()


def test_an_index_of_shared_headers_is_kept_up_to_date() -> None:
    """Many routes of one path with two sets of headers, which differ in the value of the shared header."""

    def route(name: str, other: bytes, value: int) -> FakeRoute:
        return make_route(name, headers=(HeaderMatch(b"key", b"%d" % value), HeaderMatch(other, b"1")))

    matcher: Matcher[FakeRoute] = Matcher()
    added = [route(f"a{n}", b"x", n) for n in range(300)]
    for n, one in enumerate(added):
        # Alternately, so that both groups have an index from the start.
        for new in (one, route(f"b{n}", b"y", 300 + n)):
            assert not list(matcher.ambiguous_with(new))
            matcher = matcher.with_route(new)
    assert [other.name for other in matcher.ambiguous_with(route("c", b"y", 7))] == ["a7"]
    assert [other.name for other in matcher.ambiguous_with(route("c", b"x", 307))] == ["b7"]
    fewer = matcher.without_route(added[7])
    assert not list(fewer.ambiguous_with(route("c", b"y", 7)))
    assert [other.name for other in matcher.ambiguous_with(route("c", b"y", 7))] == ["a7"]
