"""Resources: order-independent digests, changes accepted or rejected one by one, and the encoding."""

from __future__ import annotations

import random
from collections.abc import Callable
from hashlib import blake2b

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollybay.consensus.batch_model_log import BatchLog
from hollybay.resources.batch import Batch, BatchMismatchError, apply_batch, assemble
from hollybay.resources.model import (
    Change,
    ChangeProblem,
    ChangeRejectedError,
    Delete,
    Key,
    Kind,
    Operation,
    Resource,
    Upsert,
)
from hollybay.resources.state import EMPTY, REMEMBERED_REVISIONS, ResourceState, restore_state
from hollybay.resources.wire import (
    CHECKSUM_BYTES,
    WireError,
    decode_batch,
    decode_change,
    decode_snapshot,
    encode_batch,
    encode_change,
    encode_snapshot,
)

NAMES = ("a", "b", "c")
KEYS = [
    *(Key(kind, name) for kind in (Kind.ROUTE, Kind.TENANT) for name in NAMES),
    Key(Kind.DEFAULTS, ""),
    Key(Kind.DRAINED_SERVER, "s"),
]


@st.composite
def changes(draw: st.DrawFn, state: ResourceState, number: int, valid: bool = False) -> Change:
    """A change of a state; sometimes based on a wrong version."""
    ops: list[Operation] = []
    for key in draw(st.lists(st.sampled_from(KEYS), min_size=1, max_size=3, unique=True)):
        there = state.resources.get(key)
        base = there.version if there is not None else 0
        if not valid and draw(st.integers(0, 5)) == 0:
            base += draw(st.sampled_from([1, 2]))
        if base and draw(st.booleans()):
            ops.append(Delete(key.kind, key.name, base))
        else:
            body = b"" if key.kind is Kind.DRAINED_SERVER else draw(st.binary(max_size=3))
            ops.append(Upsert(key.kind, key.name, base, body))
    # Sometimes the proposal is repeated.
    again = 0 if valid else draw(st.sampled_from([0, 0, 0, 1]))
    change_id = b"%016d" % max(0, number - again)
    return Change(change_id, state.revision, "why", "who", tuple(ops))


def rebuilt(state: ResourceState, order: random.Random) -> ResourceState:
    resources, ids = list(state.resources.values()), list(state.change_ids_by_revision.items())
    order.shuffle(resources)
    order.shuffle(ids)
    return restore_state(state.revision, resources, ids)


def by_hand(before: dict[Key, Resource], change: Change, revision: int) -> dict[Key, Resource] | None:
    """Apply a change to a dict of resources; None: it cannot be applied."""
    after = dict(before)
    for op in change.operations:
        there = before.get(op.key)
        if op.base_version != (there.version if there is not None else 0):
            return None
        if isinstance(op, Upsert):
            after[op.key] = Resource(op.kind, op.name, revision, op.body)
        else:
            del after[op.key]
    return after


@settings(max_examples=150)
@given(st.data(), st.integers(1, 6))
def test_batches_make_what_plain_dicts_make_and_digests_have_no_order(
    data: st.DataObject, count: int
) -> None:
    """A change that does not fit, or was decided already, is refused alone; who follows gets the same."""
    state, number, taken_ids = EMPTY, 0, set()
    for _ in range(count):
        proposed = []
        expected = dict(state.resources.items())
        fits, refused = [], []
        for _ in range(data.draw(st.integers(0, 4))):
            number += 1
            change = data.draw(changes(state, number))
            proposed.append(change)
            after = None
            if change.id not in taken_ids:
                after = by_hand(expected, change, state.revision + 1)
            if after is not None:
                taken_ids.add(change.id)
                expected = after
                fits.append(change)
            else:
                refused.append(change)
        before = (state.digest, dict(state.resources.items()))
        found = assemble(state, proposed)
        assert list(found.batch.changes) == fits
        assert [change for change, _ in found.rejected] == refused
        assert all(error.problems and error.problems[0].reason for _, error in found.rejected)
        assert dict(found.state.resources.items()) == expected
        assert (state.digest, dict(state.resources.items())) == before
        assert apply_batch(state, found.batch) == found.state
        assert rebuilt(found.state, random.Random(number)).digest == found.state.digest
        assert all(found.state.revision_of(change.id) == found.state.revision for change in fits)
        state = found.state
    assert decode_snapshot(encode_snapshot(state), state.digest) == state


def test_a_change_that_is_proposed_twice_in_a_batch_is_refused_once() -> None:
    change = Change(b"%016d" % 1, 0, "why", "who", (Upsert(Kind.ROUTE, "a", 0, b""),))
    found = assemble(EMPTY, [change, change])
    assert found.batch.changes == (change,) and [rejected for rejected, _ in found.rejected] == [change]
    assert found.state.revision_of(change.id) == found.state.revision


@settings(max_examples=100)
@given(st.data())
def test_a_change_and_its_inverse_restore_the_resources(data: st.DataObject) -> None:
    state = EMPTY
    for number in range(3):
        state = assemble(state, [data.draw(changes(state, number, valid=True))]).state
    change = data.draw(changes(state, 7, valid=True))
    after = state.with_batch([change], state.revision + 1)
    inverse_operations: list[Operation] = []
    for op in change.operations:
        was, there = state.resources.get(op.key), after.resources.get(op.key)
        base = there.version if there is not None else 0
        if was is not None:
            inverse_operations.append(Upsert(op.kind, op.name, base, was.body))
        elif base:
            inverse_operations.append(Delete(op.kind, op.name, base))
    if inverse_operations:
        inverse = Change(b"i" * 16, after.revision, "back", "who", tuple(inverse_operations))
        after = after.with_batch([inverse], after.revision + 1)
    assert {key: one.body for key, one in after.resources.items()} == {
        key: one.body for key, one in state.resources.items()
    }


def test_different_states_have_different_digests() -> None:
    """Kind, name, version, body and decided ids all count, as do the boundaries between them."""
    resources = [
        Resource(Kind.ROUTE, "ab", 1, b"c"),
        Resource(Kind.ROUTE, "a", 1, b"bc"),
        Resource(Kind.TENANT, "ab", 1, b"c"),
        Resource(Kind.ROUTE, "ab", 2, b"c"),
        Resource(Kind.ROUTE, "ab", 1, b"d"),
        Resource(Kind.ROUTE, "ab", 1, b"1d"),
        Resource(Kind.ROUTE, "ab", 11, b"d"),
        Resource(Kind.ROUTE, "ab1", 1, b"d"),
    ]
    digests = {restore_state(2, [one], []).digest for one in resources}
    digests |= {
        restore_state(2, [], [(1, (b"x" * 16,))]).digest,
        restore_state(2, [], [(2, (b"x" * 16,))]).digest,
    }
    assert len(digests) == len(resources) + 2 and EMPTY.digest not in digests


def change_of(*ops: Operation, number: int = 1, made_on: int = 0, reason: str = "why") -> Change:
    return Change(b"%016d" % number, made_on, reason, "who", ops)


@pytest.mark.parametrize(
    ("change", "resource", "field"),
    [
        (change_of(Upsert(Kind.ROUTE, "a", 3, b"")), "route 'a'", "version"),
        (change_of(Upsert(Kind.ROUTE, "there", 0, b"")), "route 'there'", "version"),
        (change_of(Delete(Kind.ROUTE, "a", 1)), "route 'a'", "version"),
        (change_of(Delete(Kind.ROUTE, "there", 2)), "route 'there'", "version"),
        (change_of(Upsert(Kind.ROUTE, "a", 0, b""), Upsert(Kind.ROUTE, "a", 0, b"")), "route 'a'", ""),
        (change_of(Upsert(Kind.ROUTE, "", 0, b"")), "route", "name"),
        (change_of(Upsert(Kind.DEFAULTS, "x", 0, b"")), "defaults 'x'", "name"),
        (change_of(Upsert(Kind.ROUTE, "a\n", 0, b"")), "route", "name"),
        (change_of(Upsert(Kind.DRAINED_SERVER, "s", 0, b"x")), "server-out 's'", "body"),
        (change_of(Upsert(Kind.ROUTE, "a", 0, b""), made_on=9), "change", "made_on"),
        (change_of(Upsert(Kind.ROUTE, "a", 0, b""), reason=" "), "change", "reason"),
        (change_of(Upsert(Kind.ROUTE, "a", 0, b""), reason="a\x1b[m"), "change", "reason"),
        (change_of(Upsert(Kind.ROUTE, "a", 0, b""), number=0), "change", "id"),
    ],
)
def test_rejected_changes_name_resource_and_field_and_change_nothing(
    change: Change, resource: str, field: str
) -> None:
    state = EMPTY.with_batch([change_of(Upsert(Kind.ROUTE, "there", 0, b"x"), number=0)], 1)
    digest = state.digest
    with pytest.raises(ChangeRejectedError) as caught:
        state.with_batch([change], 2)
    assert (resource, field) in [(problem.resource, problem.field) for problem in caught.value.problems]
    assert state.digest == digest == rebuilt(state, random.Random(1)).digest
    found = assemble(state, [change, change_of(Upsert(Kind.ROUTE, "good", 0, b""), number=5)])
    assert [one.id for one in found.batch.changes] == [b"%016d" % 5] and len(found.rejected) == 1


def test_a_change_that_the_check_rejects_is_left_out_alone() -> None:
    def accept(state: ResourceState, change: Change) -> None:
        assert state.revision_of(change.id) == 1  # the state after the change
        if state.get(Kind.ROUTE, "bad") is not None:
            raise ChangeRejectedError((ChangeProblem("route 'bad'", "path", "no"),))

    proposed = [
        change_of(Upsert(Kind.ROUTE, name, 0, b""), number=n) for n, name in enumerate(("a", "bad", "c"))
    ]
    found = assemble(EMPTY, proposed, accept)
    assert [one.id for one in found.batch.changes] == [proposed[0].id, proposed[2].id]
    assert set(found.state.resources) == {Key(Kind.ROUTE, "a"), Key(Kind.ROUTE, "c")}
    assert found.state == assemble(EMPTY, [proposed[0], proposed[2]]).state


def test_change_ids_are_kept_as_long_as_their_base_revision_is_accepted() -> None:
    first = change_of(Upsert(Kind.ROUTE, "a", 0, b""), number=0)
    state = EMPTY.with_batch([first], 1)
    removed = change_of(Delete(Kind.ROUTE, "a", 1), number=1, made_on=1)
    state = state.with_batch([removed], 2)
    for revision in range(3, REMEMBERED_REVISIONS + 3):
        for change in (first, removed):  # late repeats of changes that have taken effect
            with pytest.raises(ChangeRejectedError):
                state.check(change)
        state = state.with_batch([], revision)
    assert (
        state.revision_of(first.id) is None
        and state.revision_by_change_id
        == restore_state(0, [], state.change_ids_by_revision.items()).revision_by_change_id
    )
    assert rebuilt(state, random.Random(1)).digest == state.digest
    with pytest.raises(ChangeRejectedError, match="too long before"):
        state.check(first)


def test_a_batch_that_does_not_follow_a_state_is_rejected() -> None:
    one = assemble(EMPTY, [change_of(Upsert(Kind.ROUTE, "a", 0, b""))])
    two = assemble(one.state, [change_of(Upsert(Kind.ROUTE, "b", 0, b""), number=2)])
    with pytest.raises(BatchMismatchError, match="revision"):
        apply_batch(EMPTY, two.batch)  # revision 1 is missing
    with pytest.raises(BatchMismatchError, match="before"):
        apply_batch(two.state, msgspec.structs.replace(two.batch, revision=3))
    with pytest.raises(BatchMismatchError, match="after"):
        apply_batch(one.state, msgspec.structs.replace(two.batch, after=one.state.digest))
    with pytest.raises(BatchMismatchError, match="changes"):
        apply_batch(
            one.state, msgspec.structs.replace(two.batch, changes=(*two.batch.changes, *two.batch.changes))
        )


def sample_state() -> tuple[ResourceState, Batch]:
    ops = (Upsert(Kind.ROUTE, "a", 0, b"\x81\xa4name\xa1a"), Upsert(Kind.DRAINED_SERVER, "s-1", 0, b""))
    state = assemble(EMPTY, [change_of(*ops)]).state
    batch = assemble(state, [change_of(Delete(Kind.ROUTE, "a", 1), number=2, made_on=1)]).batch
    return state, batch


def test_every_truncation_and_bit_flip_of_a_batch_or_snapshot_is_rejected() -> None:
    state, batch = sample_state()
    snapshot, message = encode_snapshot(state), encode_batch(batch)
    assert decode_snapshot(snapshot, state.digest) == state and decode_batch(message) == batch
    for data, decode in ((snapshot, decode_snapshot), (message, decode_batch)):
        bad = [data[:cut] for cut in range(len(data))] + [data + b"\x00"]
        for at in range(len(data)):
            for bit in range(8):
                flipped = bytearray(data)
                flipped[at] ^= 1 << bit
                bad.append(bytes(flipped))
        for one in bad:
            with pytest.raises(WireError):
                decode(one)


def test_altered_content_with_a_valid_checksum_fails_the_digests() -> None:
    """The checksums are valid, so only the digests detect another body, version or decided change."""
    state, batch = sample_state()
    parts = msgspec.msgpack.decode(encode_snapshot(state)[:-CHECKSUM_BYTES])
    for resources, ids in (
        ([[*parts[2][0][:3], b"other"], *parts[2][1:]], parts[3]),
        ([[*parts[2][0][:2], 2, parts[2][0][3]], *parts[2][1:]], parts[3]),
        (parts[2], []),
    ):
        with pytest.raises(WireError, match="digest"):
            decode_snapshot(with_checksum([*parts[:2], resources, ids, parts[4]]))
    other = change_of(Upsert(Kind.ROUTE, "a", 1, b"other"), number=2, made_on=1)
    with pytest.raises(BatchMismatchError, match="after"):
        apply_batch(state, decode_batch(encode_batch(msgspec.structs.replace(batch, changes=(other,)))))


def with_checksum(message: object) -> bytes:
    """Encode a message with a valid checksum."""
    data = msgspec.msgpack.encode(message)
    return data + blake2b(data, digest_size=CHECKSUM_BYTES, person=b"hollybay.wire").digest()


def check_decoding(data: bytes, decode: Callable[[bytes], object]) -> None:
    """Check that bytes are decoded, or rejected with a short error of one line."""
    try:
        decode(data)
    except WireError as error:
        assert "\n" not in str(error) and len(str(error)) < 500


@settings(max_examples=300)
@given(st.binary(max_size=80), st.sampled_from([decode_batch, decode_change, decode_snapshot]))
def test_arbitrary_bytes_raise_only_wire_errors(data: bytes, decode: Callable[[bytes], object]) -> None:
    check_decoding(data, decode)


@settings(max_examples=200)
@given(
    st.recursive(
        st.none() | st.integers(-1, 5) | st.binary(max_size=17) | st.sampled_from(["upsert", "route", "a"]),
        lambda inner: st.lists(inner, max_size=5),
        max_leaves=25,
    ),
    st.sampled_from([decode_batch, decode_change, decode_snapshot]),
)
def test_arbitrary_messages_raise_only_wire_errors(data: object, decode: Callable[[bytes], object]) -> None:
    bytes_of = msgspec.msgpack.encode if decode is decode_change else with_checksum
    check_decoding(bytes_of(data), decode)


def test_a_snapshot_of_another_format_or_with_a_duplicate_resource_is_rejected() -> None:
    state, _ = sample_state()
    parts = msgspec.msgpack.decode(encode_snapshot(state)[:-CHECKSUM_BYTES])
    with pytest.raises(WireError, match="form: 2"):
        decode_snapshot(with_checksum([2, *parts[1:]]))
    with pytest.raises(WireError, match="listed twice"):
        decode_snapshot(with_checksum([*parts[:2], parts[2] * 2, *parts[3:]]))
    with pytest.raises(WireError, match="digest"):
        decode_snapshot(encode_snapshot(state), EMPTY.digest)
    change = change_of(Upsert(Kind.ROUTE, "a", 0, b"x"))
    assert decode_change(encode_change(change)) == change


def test_the_batch_log_returns_missing_batches_or_requires_a_snapshot() -> None:
    log = BatchLog(max_batches=3, max_bytes=1000)
    assert log.since(0) == () and log.newest == 0
    batches = [Batch(n, b"0" * 32, (), b"1" * 32) for n in range(1, 7)]
    for batch in batches[:4]:
        log.append(batch, 100)
    assert log.since(4) == () and log.since(9) == () and log.since(1) == tuple(batches[1:4])
    assert log.since(0) is None and log.bytes_since(2) == 200 and log.bytes == 300
    with pytest.raises(ValueError, match="does not follow"):
        log.append(batches[5], 1)
    log.append(batches[4], 950)  # too large for the bound: older batches are dropped
    assert log.since(3) is None and log.since(4) == (batches[4],)
    log.append(batches[5], 2000)
    assert log.newest == 6 and log.since(5) is None and log.since(6) == ()  # none is kept: snapshot required
    with pytest.raises(ValueError, match="does not follow"):
        log.append(batches[4], 1)
    begun = BatchLog(max_batches=3, max_bytes=1000, newest=4)  # starts after a snapshot
    assert begun.since(3) is None and begun.since(4) == ()
    begun.append(batches[4], 100)
    assert begun.since(3) is None and begun.since(4) == (batches[4],)
