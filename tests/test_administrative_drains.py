"""Administrative drains: the overlay over the updates of discovery, and the drain file."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.admin.administrative_drains import (
    AdministrativeDrains,
    DrainFileError,
    decode_drains,
    encode_drains,
)
from hollybay.balancing.interface import ListKind, Server, ServerList, ServerState


def server_list(*servers: Server, kind: ListKind = ListKind.FULL) -> ServerList:
    return ServerList(kind, servers, 1)


def test_discovery_does_not_end_an_administrative_drain() -> None:
    drains = AdministrativeDrains()
    drains.update(server_list(Server("a"), Server("b")))
    assert drains.set_drained({"a"}, now_ns=5) == (Server("a", state=ServerState.DRAINING),)
    for kind in (ListKind.FULL, ListKind.CACHED, ListKind.CHANGES):
        updated = drains.update(server_list(Server("a", up_since=9), Server("b"), kind=kind))
        assert [server.state for server in updated.servers] == [ServerState.DRAINING, ServerState.READY]
    assert drains.set_drained((), now_ns=7) == (Server("a", up_since=9),)


def test_a_resumed_server_counts_as_started_unless_discovery_reports_a_later_start() -> None:
    drains = AdministrativeDrains()
    drains.update(server_list(Server("a", up_since=3)))
    drains.set_drained({"a"}, now_ns=10)
    assert drains.set_drained((), now_ns=50) == (Server("a", up_since=50),)


def test_a_resumed_server_that_discovery_drained_or_dropped_is_not_ready() -> None:
    drains = AdministrativeDrains()
    drains.update(server_list(Server("a"), Server("b")))
    drains.set_drained({"a", "b"}, now_ns=1)
    drains.update(
        server_list(
            Server("a", state=ServerState.DRAINING),
            Server("b", state=ServerState.GONE),
            kind=ListKind.CHANGES,
        )
    )
    assert drains.set_drained((), now_ns=2) == (Server("a", state=ServerState.DRAINING),)
    assert drains.is_known("a") and not drains.is_known("b")


def test_a_drained_server_that_left_the_list_is_still_known() -> None:
    drains = AdministrativeDrains()
    drains.update(server_list(Server("a")))
    drains.set_drained({"a"}, now_ns=1)
    drains.update(server_list())
    assert drains.is_known("a")
    assert drains.update(server_list(Server("a"))).servers[0].state == ServerState.DRAINING


def test_a_failed_discovery_call_changes_nothing() -> None:
    drains = AdministrativeDrains()
    drains.update(server_list(Server("a")))
    failed = ServerList(ListKind.FAILED)
    assert drains.update(failed) is failed and drains.is_known("a")


def test_excluded_servers_are_counted_once() -> None:
    drains = AdministrativeDrains()
    drains.update(server_list(Server("a"), Server("b"), Server("c", state=ServerState.DRAINING), Server("d")))
    drains.set_drained({"a"}, now_ns=1)
    assert drains.count_excluded(lambda server: server in ("a", "b", "c")) == 2


@given(st.frozensets(st.text(max_size=12), max_size=8))
def test_a_drain_file_round_trips(ids: frozenset[str]) -> None:
    ids = frozenset(server_id.encode("utf-8", "replace").decode() for server_id in ids)
    assert decode_drains(encode_drains(ids)) == ids


@given(st.binary(max_size=80))
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(DrainFileError):
        decode_drains(data)


@given(st.data())
def test_a_damaged_file_is_rejected_or_holds_the_same_ids(data: st.DataObject) -> None:
    whole = encode_drains(["s-1", "s-22"])
    at = data.draw(st.integers(0, len(whole) - 1))
    changed = whole[:at] + (b"" if data.draw(st.booleans()) else b"7") + whole[at + 1 :]
    for bad in (whole[:at], changed):
        try:
            content = decode_drains(bad)
        except DrainFileError:
            continue
        assert content == {"s-1", "s-22"}


def test_a_file_of_another_version_is_rejected() -> None:
    content = json.loads(encode_drains(["a"]))
    with pytest.raises(DrainFileError, match="version"):
        decode_drains(json.dumps({**content, "version": 2}).encode())
