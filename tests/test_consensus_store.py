"""What is said is on disk before it is said, whatever happens to disk or process; policies as things."""

from __future__ import annotations

import tempfile
from hashlib import blake2b
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.consensus import policy
from hollybay.consensus.errors import RejectedError
from hollybay.consensus.record import DecodedRecord, RecordIntegrity, decode_record, encode_record
from hollybay.consensus.store import Store, StoreError
from hollybay.resources.model import Change, Kind, Upsert
from hollybay.resources.state import EMPTY

STEPS = ("write", "flush", "rename", "flush folder")


@given(st.integers(0, 2**64 - 1), st.binary(max_size=200))
def test_a_record_comes_back_whole(count: int, data: bytes) -> None:
    assert decode_record(encode_record(count, data)) == DecodedRecord(RecordIntegrity.INTACT, count, data)


@given(st.binary(max_size=60), st.data())
def test_a_record_that_is_cut_or_changed_anywhere_is_never_data(data: bytes, draw: st.DataObject) -> None:
    whole = encode_record(7, data)
    cut = whole[: draw.draw(st.integers(0, len(whole) - 1))]
    assert decode_record(cut).integrity in (RecordIntegrity.EMPTY, RecordIntegrity.TORN)
    assert decode_record(whole + b"\0").integrity is RecordIntegrity.TORN
    at = draw.draw(st.integers(0, len(whole) - 1))
    bit = 1 << draw.draw(st.integers(0, 7))
    bad = whole[:at] + bytes([whole[at] ^ bit]) + whole[at + 1 :]
    assert decode_record(bad).integrity in (
        RecordIntegrity.TORN,
        RecordIntegrity.FOREIGN,
        RecordIntegrity.NEWER,
    )


@given(st.binary(max_size=100))
def test_other_bytes_are_foreign_or_torn(data: bytes) -> None:
    assert decode_record(data).integrity is not RecordIntegrity.INTACT


class Ended(Exception):
    """The process ends here."""


@pytest.mark.parametrize("word", STEPS)
@pytest.mark.parametrize("said", range(1, 4))
def test_a_process_that_ends_at_any_step_finds_the_last_or_the_next_whole(
    word: str, said: int, tmp_path: Path
) -> None:
    armed = False

    def step(at: str) -> None:
        if armed and at == word:
            raise Ended

    store = Store(tmp_path, "node", step)
    assert store.open() is None
    for n in range(said):
        store.put(b"%d" % n)
    armed = True
    with pytest.raises(Ended):
        store.put(b"next")
    again = Store(tmp_path, "node")
    found = again.open()
    assert not again.may_be_stale and not again.quarantined
    assert found == (b"next" if word == "flush folder" else b"%d" % (said - 1))
    again.put(b"after")
    assert Store(tmp_path, "node").open() == b"after"


@pytest.mark.parametrize("word", STEPS)
def test_a_full_disk_is_told_and_what_was_said_stands(word: str, tmp_path: Path) -> None:
    full = False

    def step(at: str) -> None:
        if full and at == word:
            raise OSError(28, "No space left on device")

    store = Store(tmp_path, "node", step)
    store.open()
    store.put(b"one")
    full = True
    with pytest.raises(StoreError, match="No space left"):
        store.put(b"two")
    assert store.data == b"one"
    full = False
    store.put(b"three")
    assert Store(tmp_path, "node").open() == b"three"


def test_what_is_no_record_is_set_aside_and_the_other_generation_counts(tmp_path: Path) -> None:
    store = Store(tmp_path, "node")
    store.open()
    for n in range(3):
        store.put(b"%d" % n)
    newest = store.paths[store.current_generation]
    newest.write_bytes(newest.read_bytes()[:-1])
    again = Store(tmp_path, "node")
    assert again.open() == b"1" and again.may_be_stale
    (quarantined,) = again.quarantined
    assert quarantined.name == f"{newest.name}.torn" and quarantined.exists()


def test_where_nothing_whole_is_left_or_a_newer_build_wrote_nothing_is_read(tmp_path: Path) -> None:
    store = Store(tmp_path, "node")
    store.open()
    store.put(b"x")
    path = store.paths[store.current_generation]
    path.write_bytes(b"something else")
    with pytest.raises(StoreError, match="nothing whole is left"):
        Store(tmp_path, "node").open()
    newer = bytearray(encode_record(3, b"y"))
    newer[9] = 9
    path.write_bytes(bytes(newer))
    with pytest.raises(StoreError, match="of a newer build"):
        Store(tmp_path, "node").open()
    assert path.exists()
    with pytest.raises(StoreError):
        Store(path, "node").open()  # the folder is a file


@given(st.lists(st.binary(max_size=30), max_size=12))
def test_the_last_that_was_put_is_found(records: list[bytes]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        store = Store(Path(folder), "k")
        store.open()
        for data in records:
            store.put(data)
        assert Store(Path(folder), "k").open() == (records[-1] if records else None)


# Policies


def route(name: str, body: bytes = b"", base: int = 0, made_on: int = 0, reason: str = "why") -> Change:
    change_id = blake2b(f"{name} {base} {made_on}".encode() + body, digest_size=16).digest()
    return Change(change_id, made_on, reason, "who", (Upsert(Kind.ROUTE, name, base, body),))


NAMES = st.text("abcxyz-", min_size=1, max_size=8)
TEXTS = st.text(st.characters(codec="utf-8", exclude_categories=["C", "Z"]), min_size=1, max_size=20)


@given(NAMES, st.binary(max_size=60), TEXTS, TEXTS)
def test_a_policy_is_known_by_all_that_it_holds(name: str, body: bytes, reason: str, author: str) -> None:
    old = policy.FIRST_POLICY
    new, state = policy.successor_policy(
        old, EMPTY.with_revision((), 1), [route(name, body)], None, reason, author
    )
    assert new.version == 2 and new.parent == old.digest and state.revision == 2
    assert new.before == old.after and new.after == state.digest
    assert policy.decode_policy(msgspec.msgpack.encode(new)) == new
    assert policy.decode_policy(msgspec.msgpack.encode(new.without_changes())).digest == new.digest
    others = [
        msgspec.structs.replace(new, **change)
        for change in (
            {"version": 3},
            {"parent": bytes(32)},
            {"before": b"\1" * 32},
            {"after": bytes(32)},
            {"changes_digest": bytes(32)},
            {"voters": ("h:1",)},
            {"reason": author + "x", "author": reason},
            {"author": author + "x"},
        )
    ]
    assert len({one.digest for one in (new, old, *others)}) == 10
    # Other changes than those that its digest is about are refused.
    with pytest.raises(RejectedError, match="content"):
        policy.decode_policy(msgspec.msgpack.encode(msgspec.structs.replace(new, changes=())))


def test_a_change_that_does_not_follow_or_of_nothing_is_refused() -> None:
    old = policy.first_policy([route("x", b"1")], ["a:1", "b:1", "c:1"])
    state = EMPTY.with_batch(old.changes or (), 1)
    for words, why in (
        (([route("x", b"2", 7)], None, "why", "who"), "route 'x': version: was made on version 7"),
        (([route("x", b"2", 1, 9)], None, "why", "who"), "change: made_on: 9 is after 1"),
        (([], None, "why", "who"), "changes: says the same"),
        (([route("y")], None, "  ", "who"), "reason: missing"),
        (([route("y")], None, "why\n", "who"), "reason: "),
        (([route("y")], None, "why", "w" * 401), "author: "),
        (([route("y", reason=" ")], None, "why", "who"), "change: reason: is missing"),
        (([], ["a:1", "b:1"], "why", "who"), "keepers: 2"),
        (([], ["a:1", "d:1", "e:1"], "why", "who"), "keepers: 2 voters added and 2 removed"),
        (([], ["a:1", "b:1", "\ud800"], "why", "who"), "keepers: "),
        (([], [], "why", "who"), "keepers: 0 voters added and 3 removed"),
    ):
        with pytest.raises(RejectedError) as caught:
            policy.successor_policy(old, state, *words)
        assert str(caught.value).startswith(why), caught.value


def test_a_policy_with_fields_out_of_bounds_is_refused() -> None:
    good = policy.first_policy([route("x")], ["a:1"])
    for change, why in (
        ({"version": 0}, "version: 0"),
        ({"version": 2}, "parent: 0 bytes"),
        ({"parent": b"x"}, "parent: 1 bytes"),
        ({"after": b"x"}, "after: 1 bytes"),
        ({"before": bytes(32) if any(good.before) else b"\1" * 32}, "before: version 1"),
        ({"voters": ("b:1", "a:1", "c:1")}, "keepers: the voters are not sorted"),
        ({"reason": "x" * 401}, "reason: "),
    ):
        with pytest.raises(RejectedError) as caught:
            policy.decode_policy(msgspec.msgpack.encode(msgspec.structs.replace(good, **change)))
        assert str(caught.value).startswith(why), caught.value


@given(st.binary(max_size=200))
def test_any_bytes_are_a_policy_or_refused(data: bytes) -> None:
    try:
        assert isinstance(policy.decode_policy(data), policy.PolicyVersion)
    except RejectedError as error:
        assert str(error)
