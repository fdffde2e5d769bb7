"""Servers out by hand: the overlay over discovery's lists, and its file."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.admin.administrative_drains import Bans, BansError, pack, unpack
from hollybay.balancing.interface import ListKind, Server, ServerList, ServerState


def listed(*lines: Server, kind: ListKind = ListKind.FULL) -> ServerList:
    return ServerList(kind, lines, 1)


def test_while_it_is_out_discovery_cannot_bring_it_back() -> None:
    bans = Bans()
    bans.told(listed(Server("a"), Server("b")))
    assert bans.set({"a"}, now=5) == (Server("a", state=ServerState.DRAINING),)
    for kind in (ListKind.FULL, ListKind.CACHED, ListKind.CHANGES):
        told = bans.told(listed(Server("a", up_since=9), Server("b"), kind=kind))
        assert [line.state for line in told.servers] == [ServerState.DRAINING, ServerState.READY]
    assert bans.set((), now=7) == (Server("a", up_since=9),)


def test_what_is_back_counts_as_started_unless_discovery_knows_later() -> None:
    bans = Bans()
    bans.told(listed(Server("a", up_since=3)))
    bans.set({"a"}, now=10)
    assert bans.set((), now=50) == (Server("a", up_since=50),)


def test_one_that_discovery_drains_or_drops_meanwhile_does_not_come_back_ready() -> None:
    bans = Bans()
    bans.told(listed(Server("a"), Server("b")))
    bans.set({"a", "b"}, now=1)
    bans.told(
        listed(
            Server("a", state=ServerState.DRAINING),
            Server("b", state=ServerState.GONE),
            kind=ListKind.CHANGES,
        )
    )
    assert bans.set((), now=2) == (Server("a", state=ServerState.DRAINING),)
    assert bans.known("a") and not bans.known("b")


def test_one_that_left_the_list_is_still_known_while_it_is_out() -> None:
    bans = Bans()
    bans.told(listed(Server("a")))
    bans.set({"a"}, now=1)
    bans.told(listed())
    assert bans.known("a")
    assert bans.told(listed(Server("a"))).servers[0].state == ServerState.DRAINING


def test_a_failed_call_says_nothing() -> None:
    bans = Bans()
    bans.told(listed(Server("a")))
    failed = ServerList(ListKind.FAILED)
    assert bans.told(failed) is failed and bans.known("a")


def test_what_is_avoided_counts_each_server_once() -> None:
    bans = Bans()
    bans.told(listed(Server("a"), Server("b"), Server("c", state=ServerState.DRAINING), Server("d")))
    bans.set({"a"}, now=1)
    assert bans.avoided(lambda server: server in ("a", "b", "c")) == 2


@given(st.frozensets(st.text(max_size=12), max_size=8))
def test_a_file_tells_what_was_kept(ids: frozenset[str]) -> None:
    ids = frozenset(one.encode("utf-8", "replace").decode() for one in ids)
    assert unpack(pack(ids)) == ids


@given(st.binary(max_size=80))
def test_bytes_that_are_no_file_are_refused(data: bytes) -> None:
    with pytest.raises(BansError):
        unpack(data)


@given(st.data())
def test_a_file_cut_or_changed_anywhere_never_tells_another_set(data: st.DataObject) -> None:
    whole = pack(["s-1", "s-22"])
    at = data.draw(st.integers(0, len(whole) - 1))
    changed = whole[:at] + (b"" if data.draw(st.booleans()) else b"7") + whole[at + 1 :]
    for bad in (whole[:at], changed):
        try:
            held = unpack(bad)
        except BansError:
            continue
        assert held == {"s-1", "s-22"}


def test_a_file_of_another_version_is_refused() -> None:
    held = json.loads(pack(["a"]))
    with pytest.raises(BansError, match="version"):
        unpack(json.dumps({**held, "version": 2}).encode())
