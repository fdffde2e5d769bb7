"""Tables as resources: canonical bodies, errors of a body, and the difference between a file and a state."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollybay.resources.model import Change, ChangeRejectedError, Delete, Key, Kind, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.routing.resource_tables import (
    decode_body,
    encode_table,
    operations_between,
    resources_of,
    tables_of,
)
from hollybay.routing.schema import OperatorTables, read
from tests.test_resource_plan import class_tables, limits, route_tables, tenant_tables

ROUTE = Key(Kind.ROUTE, "a")
KINDS = {
    Kind.ROUTE: ROUTE,
    Kind.CLASS: Key(Kind.CLASS, "view"),
    Kind.TENANT: Key(Kind.TENANT, "t"),
    Kind.DEFAULTS: Key(Kind.DEFAULTS, ""),
    Kind.PATHS: Key(Kind.PATHS, ""),
}


def problems(key: Key, data: Any) -> list[tuple[str, str]]:
    """Return the field and reason of each problem of a body with these plain values."""
    body = data if isinstance(data, bytes) else msgspec.msgpack.encode(data)
    with pytest.raises(ChangeRejectedError) as caught:
        decode_body(key, body)
    assert all(problem.resource == str(key) for problem in caught.value.problems)
    return [(problem.field, problem.reason) for problem in caught.value.problems]


@given(
    st.one_of(
        route_tables("a").map(lambda t: (ROUTE, t)),
        tenant_tables.map(lambda t: (KINDS[Kind.TENANT], t)),
        class_tables.map(lambda t: (KINDS[Kind.CLASS], t)),
        limits.map(lambda t: (KINDS[Kind.DEFAULTS], t)),
    )
)
def test_a_table_round_trips_through_its_canonical_body(pair: tuple[Key, Any]) -> None:
    key, table = pair
    body = encode_table(table)
    assert decode_body(key, body) == table and encode_table(table) == body


def test_all_errors_of_a_body_are_reported_with_their_fields() -> None:
    found = problems(
        ROUTE,
        {
            "name": "a",
            "pth": 1,
            "methods": ["get"],
            "limits": {"in_flight": 0, "attempts": "2", "rate": {"per_second": 1, "burst": -1}, "body": -1},
        },
    )
    assert [field for field, _ in found] == [
        "pth",
        "methods",
        "limits.attempts",
        "limits.body",
        "limits.in_flight",
        "limits.rate.burst",
    ]
    assert found[0][1] == "unknown field"


@pytest.mark.parametrize(
    ("key", "data", "field"),
    [
        (ROUTE, {"name": "b"}, "name"),
        (ROUTE, {}, "name"),
        (ROUTE, [], "body"),
        (ROUTE, b"", "body"),
        (ROUTE, b"\xc1", "body"),
        (ROUTE, b"\x80\x80", "body"),
        (ROUTE, b"\x91" * 9000, "body"),
        (ROUTE, {"name": "a", "limits": {}}, "body"),  # a default that is stated
        (ROUTE, b"\x82\xa4name\xa1a\xa4name\xa1a", "body"),  # a field twice
        (ROUTE, b"\x81\xa4name\xd9\x01a", "body"),  # a longer encoding of a string
        (ROUTE, {"limits": {"in_flight": 1}, "name": "a"}, "body"),  # another order
        (
            ROUTE,
            {"name": "a", "limits": {"rate": {"per_second": 5}}},
            "body",
        ),  # an integer for a float
        (ROUTE, {"name": "a", "limits": {"rate": {"per_second": math.nan}}}, "limits.rate.per_second"),
        (ROUTE, {"name": "a", "limits": {"rate": {"per_second": math.inf}}}, "limits.rate.per_second"),
        (ROUTE, {"name": "a", "limits": {"request_timeout": "1s"}}, "limits.request_timeout"),
        (ROUTE, {"name": "a", "limits": None}, "limits"),
        (ROUTE, {"name": "a", "class": None}, "class"),
        (ROUTE, {"name": "a", 7: 1}, "7"),
        (ROUTE, {"name": "a", "\n": 1}, "'\\n'"),
        (KINDS[Kind.TENANT], {"limits": {"body": 1}}, "limits.body"),
        (KINDS[Kind.PATHS], {"encoded_slash": "yes"}, "encoded_slash"),
        (Key(Kind.DRAINED_SERVER, "s"), b"\x80", "body"),
        (ROUTE, b"\x80" * (17 << 10), "body"),
    ],
)
def test_an_invalid_body_is_rejected(key: Key, data: Any, field: str) -> None:
    assert field in [name for name, _ in problems(key, data)]


def check_body(key: Key, body: bytes) -> None:
    """Check that a body is rejected, or is the canonical form of the table that it holds."""
    try:
        table = decode_body(key, body)
    except ChangeRejectedError:
        return
    assert table is not None and encode_table(table) == body


@settings(max_examples=300)
@given(st.sampled_from(list(KINDS.values())), st.binary(max_size=60))
def test_arbitrary_bytes_are_decoded_or_rejected(key: Key, body: bytes) -> None:
    check_body(key, body)


def test_arbitrary_values_are_decoded_or_rejected() -> None:
    plain_values = st.recursive(
        st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["name", "limits", "rate", "per_second", "path", "prefix", "headers", "hosts"]),
            inner,
            max_size=4,
        ),
        max_leaves=12,
    )

    @settings(max_examples=300)
    @given(st.sampled_from(list(KINDS.values())), plain_values)
    def check_values(key: Key, data: object) -> None:
        check_body(key, msgspec.msgpack.encode(data))

    check_values()


def apply_operations(state: ResourceState, wanted: dict[Key, bytes]) -> ResourceState:
    ops = operations_between(state, wanted)
    if not ops:
        return state
    change = Change(b"%016d" % state.revision, state.revision, "test", "somebody", ops)
    return state.with_batch([change], state.revision + 1)


FILE = """
[paths]
empty_segments = "keep"
[defaults]
in_flight = 9
[class.view]
effect = "safe"
[class.view.limits]
attempts = 2
[tenant.acme.limits]
in_flight = 4
rate = { per_second = 2.5 }
[[route]]
name = "a"
path = { template = "/view/{id}" }
[[route]]
name = "b"
path = { prefix = "/view" }
limits = { request_timeout = "200ms", body = "4KiB" }
"""


def test_a_file_round_trips_through_its_resources() -> None:
    tables = read(FILE)
    wanted = resources_of(tables)
    assert len(wanted) == 6
    state = apply_operations(EMPTY, wanted)
    assert tables_of(state) == tables and tables_of(EMPTY) == OperatorTables()
    assert operations_between(state, wanted) == ()


def test_the_operations_to_a_file_skip_equal_resources_and_drained_servers() -> None:
    state = apply_operations(EMPTY, {**resources_of(read(FILE)), Key(Kind.DRAINED_SERVER, "s-1"): b""})
    new = FILE.replace('"200ms"', '"100ms"').replace('[paths]\nempty_segments = "keep"\n', "")
    new = new.replace('name = "a"', 'name = "c"')
    wanted = resources_of(read(new))
    ops = operations_between(state, wanted)
    assert [(type(op), str(op.key)) for op in ops] == [
        (Delete, "paths"),
        (Delete, "route 'a'"),
        (Upsert, "route 'b'"),
        (Upsert, "route 'c'"),
    ]
    after = apply_operations(state, wanted)
    assert resources_of(tables_of(after)) == wanted and after.get(Kind.DRAINED_SERVER, "s-1") is not None


def test_a_file_with_a_duplicate_route_name_is_rejected() -> None:
    tables = read('[[route]]\nname = "a"\n[[route]]\nname = "a"\npath.prefix = "/x"\n')
    with pytest.raises(ChangeRejectedError, match="another route has it"):
        resources_of(tables)
