"""Records and the store under crashes and disk faults; digests and checks of policies."""

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
def test_a_record_survives_encoding_and_decoding(count: int, data: bytes) -> None:
    assert decode_record(encode_record(count, data)) == DecodedRecord(RecordIntegrity.INTACT, count, data)


@given(st.binary(max_size=60), st.data())
def test_a_truncated_or_altered_record_is_never_intact(data: bytes, draw: st.DataObject) -> None:
    encoded = encode_record(7, data)
    cut = encoded[: draw.draw(st.integers(0, len(encoded) - 1))]
    assert decode_record(cut).integrity in (RecordIntegrity.EMPTY, RecordIntegrity.TORN)
    assert decode_record(encoded + b"\0").integrity is RecordIntegrity.TORN
    at = draw.draw(st.integers(0, len(encoded) - 1))
    bit = 1 << draw.draw(st.integers(0, 7))
    altered = encoded[:at] + bytes([encoded[at] ^ bit]) + encoded[at + 1 :]
    assert decode_record(altered).integrity in (
        RecordIntegrity.TORN,
        RecordIntegrity.FOREIGN,
        RecordIntegrity.NEWER,
    )


@given(st.binary(max_size=100))
def test_arbitrary_bytes_are_not_an_intact_record(data: bytes) -> None:
    assert decode_record(data).integrity is not RecordIntegrity.INTACT


class SimulatedCrash(Exception):
    """Ends the process at a disk operation."""


@pytest.mark.parametrize("failing_step", STEPS)
@pytest.mark.parametrize("records_written", range(1, 4))
def test_after_a_crash_at_any_step_the_last_or_the_next_record_is_intact(
    failing_step: str, records_written: int, tmp_path: Path
) -> None:
    is_armed = False

    def before_step(current_step: str) -> None:
        if is_armed and current_step == failing_step:
            raise SimulatedCrash

    store = Store(tmp_path, "node", before_step)
    assert store.open() is None
    for n in range(records_written):
        store.put(b"%d" % n)
    is_armed = True
    with pytest.raises(SimulatedCrash):
        store.put(b"next")
    reopened = Store(tmp_path, "node")
    found = reopened.open()
    assert not reopened.may_be_stale and not reopened.quarantined
    assert found == (b"next" if failing_step == "flush folder" else b"%d" % (records_written - 1))
    reopened.put(b"after")
    assert Store(tmp_path, "node").open() == b"after"


@pytest.mark.parametrize("failing_step", STEPS)
def test_a_full_disk_is_reported_and_the_last_record_stays(failing_step: str, tmp_path: Path) -> None:
    is_full = False

    def before_step(current_step: str) -> None:
        if is_full and current_step == failing_step:
            raise OSError(28, "No space left on device")

    store = Store(tmp_path, "node", before_step)
    store.open()
    store.put(b"one")
    is_full = True
    with pytest.raises(StoreError, match="No space left"):
        store.put(b"two")
    assert store.data == b"one"
    is_full = False
    store.put(b"three")
    assert Store(tmp_path, "node").open() == b"three"


def test_a_damaged_generation_is_quarantined_and_the_other_one_is_used(tmp_path: Path) -> None:
    store = Store(tmp_path, "node")
    store.open()
    for n in range(3):
        store.put(b"%d" % n)
    newest = store.paths[store.current_generation]
    newest.write_bytes(newest.read_bytes()[:-1])
    reopened = Store(tmp_path, "node")
    assert reopened.open() == b"1" and reopened.may_be_stale
    (quarantined,) = reopened.quarantined
    assert quarantined.name == f"{newest.name}.torn" and quarantined.exists()


def test_without_an_intact_record_or_with_one_of_a_newer_build_opening_fails(tmp_path: Path) -> None:
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
def test_the_record_written_last_is_read(records: list[bytes]) -> None:
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
def test_the_digest_of_a_policy_covers_all_its_fields(
    name: str, body: bytes, reason: str, author: str
) -> None:
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
    assert len({version.digest for version in (new, old, *others)}) == 10
    # Changes that do not match the digest are rejected.
    with pytest.raises(RejectedError, match="content"):
        policy.decode_policy(msgspec.msgpack.encode(msgspec.structs.replace(new, changes=())))


def test_an_empty_change_or_one_on_another_state_is_rejected() -> None:
    old = policy.first_policy([route("x", b"1")], ["a:1", "b:1", "c:1"])
    state = EMPTY.with_batch(old.changes or (), 1)
    for arguments, reason in (
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
            policy.successor_policy(old, state, *arguments)
        assert str(caught.value).startswith(reason), caught.value


def test_a_policy_with_fields_out_of_bounds_is_rejected() -> None:
    valid = policy.first_policy([route("x")], ["a:1"])
    for change, reason in (
        ({"version": 0}, "version: 0"),
        ({"version": 2}, "parent: 0 bytes"),
        ({"parent": b"x"}, "parent: 1 bytes"),
        ({"after": b"x"}, "after: 1 bytes"),
        ({"before": bytes(32) if any(valid.before) else b"\1" * 32}, "before: version 1"),
        ({"voters": ("b:1", "a:1", "c:1")}, "keepers: the voters are not sorted"),
        ({"reason": "x" * 401}, "reason: "),
    ):
        with pytest.raises(RejectedError) as caught:
            policy.decode_policy(msgspec.msgpack.encode(msgspec.structs.replace(valid, **change)))
        assert str(caught.value).startswith(reason), caught.value


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_a_policy_or_rejected(data: bytes) -> None:
    try:
        assert isinstance(policy.decode_policy(data), policy.PolicyVersion)
    except RejectedError as error:
        assert str(error)
