"""The log on disk: entries and snapshots survive any crash, and what is damaged counts as absent."""

from __future__ import annotations

import random
import tempfile
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollybay.consensus import policy
from hollybay.consensus.errors import RejectedError
from hollybay.consensus.log import LogTruncatedError, PolicyLog
from hollybay.consensus.log_entry import Snapshot, is_name
from hollybay.consensus.log_fetch import check_links, parse_delta
from hollybay.consensus.policy import PolicyVersion
from hollybay.consensus.record import encode_record
from hollybay.consensus.store import StoreError
from hollybay.resources.model import Change, Delete, Kind, Operation, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.resources.wire import encode_snapshot

STEPS = ("write policy", "flush policy")


def change(state: ResourceState, name: str, body: bytes | None) -> Change:
    """A change of one route on a state; body None: it is deleted."""
    there = state.get(Kind.ROUTE, name)
    base = there.version if there is not None else 0
    operation: Operation = Upsert(Kind.ROUTE, name, base, body or b"")
    if body is None:
        operation = Delete(Kind.ROUTE, name, base)
    change_id = blake2b(f"{state.revision} {name}".encode() + (body or b""), digest_size=16).digest()
    return Change(change_id, state.revision, "why", "who", (operation,))


def chain(length: int, tag: bytes = b"") -> list[PolicyVersion]:
    """So many policies, one after another, each with one change of a few routes."""
    found = [policy.first_policy([change(EMPTY, "r0", tag)], ["a:1"])]
    state = EMPTY.with_batch(found[0].changes or (), 1)
    for n in range(1, length):
        made, state = policy.successor_policy(found[-1], state, [change(state, f"r{n % 5}", tag + b"%d" % n)])
        found.append(made)
    return found


def state_of(policies: list[PolicyVersion]) -> ResourceState:
    """The resources after policies, one after another."""
    state = EMPTY
    for one in policies:
        state = state.with_batch(one.changes or (), one.version)
    return state


def opened(folder: Path, **words: int) -> PolicyLog:
    log = PolicyLog(folder, **words)  # type: ignore[arg-type]
    log.open()
    return log


def filled(folder: Path, policies: list[PolicyVersion], **words: int) -> PolicyLog:
    log = opened(folder, **words)
    for one in policies:
        log.append(one)
        log.prune([one.name])
    return log


def test_entries_come_back_with_their_resources(tmp_path: Path) -> None:
    policies = chain(5)
    log = filled(tmp_path / "log", policies)
    again = opened(tmp_path / "log")
    for one in (log, again):
        assert one.names() == [policy.name for policy in policies]
        assert one.state(policies[-1].name) == state_of(policies)
        assert one.policy(policies[2].name) == policies[2].without_changes()
        assert one.read_entry(policies[2].name) == policies[2]
        entry = one.entry(policies[3].name)
        assert entry is not None and entry.changed_keys == policy.changed_keys(policies[3].changes or ())
    assert (
        again.policy("../o.toml") is None
        and again.read_entry("../o.toml") is None
        and not is_name("../o.toml")
    )
    assert again.policy("9-00000000000a") is None and not again.quarantined


def test_a_gap_and_another_result_are_refused_and_nothing_is_changed(tmp_path: Path) -> None:
    policies, others = chain(4), chain(4, b"other")
    log = filled(tmp_path / "log", policies[:2])
    before = sorted(path.name for path in (tmp_path / "log").iterdir())
    false = msgspec.structs.replace(policies[2], after=bytes(32))
    for one, why in (
        (policies[3], "a gap: 3-"),
        (others[2], "a gap: 2-"),
        (false, "after: "),
        (policies[2].without_changes(), "are not at hand"),
    ):
        with pytest.raises(RejectedError, match=why):
            log.append(one)
    assert log.names() == [one.name for one in policies[:2]]
    assert before == sorted(path.name for path in (tmp_path / "log").iterdir())
    log.append(policies[2])


def test_two_proposals_of_one_version_stand_side_by_side(tmp_path: Path) -> None:
    policies = chain(2)
    state = state_of(policies)
    one, _ = policy.successor_policy(policies[-1], state, [change(state, "one", b"1")])
    other, after = policy.successor_policy(policies[-1], state, [change(state, "other", b"2")])
    last, _ = policy.successor_policy(other, after, [change(after, "last", b"3")])
    log = filled(tmp_path / "log", [*policies, one, other, last])
    assert {one.name, other.name} <= set(log.names())
    delta = parse_delta(log.encoded_delta(1, last.name))
    assert [entry.name for entry in delta] == [policies[1].name, other.name, last.name]
    check_links(delta, last.name)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.booleans())
def test_whatever_is_cut_or_flipped_on_disk_is_set_aside_and_the_rest_is_whole(seed: int, cut: bool) -> None:
    chance = random.Random(seed)
    policies = chain(12)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) / "log"
        filled(folder, policies, max_states_in_memory=4, snapshot_floor_bytes=1)
        path = chance.choice(sorted(folder.iterdir()))
        data = path.read_bytes()
        at = chance.randrange(len(data))
        path.write_bytes(
            data[:at] if cut else data[:at] + bytes([data[at] ^ 1 << chance.randrange(8)]) + data[at + 1 :]
        )
        log = opened(folder, max_states_in_memory=4, snapshot_floor_bytes=1)
        assert path.name in log.quarantined and not path.exists() and log.quarantined[path.name]
        assert any(one.name.startswith(f"{path.name}.") for one in folder.iterdir())
        # What is there is what was written; an entry whose resources cannot be made is not there.
        for name in log.names():
            number = next(n for n, one in enumerate(policies) if one.name == name)
            assert log.state(name) == state_of(policies[: number + 1])
            assert log.policy(name) == policies[number].without_changes()


def test_foreign_newer_and_exchanged_files_are_told_apart(tmp_path: Path) -> None:
    policies = chain(4)
    folder = tmp_path / "log"
    filled(folder, policies)
    newer = bytearray(encode_record(0, msgspec.msgpack.encode(policies[3])))
    newer[9] = 9
    (folder / policies[3].name).write_bytes(bytes(newer))
    (folder / policies[2].name).write_bytes(b"another program's")
    (folder / policies[1].name).write_bytes(encode_record(0, msgspec.msgpack.encode(policies[0])))
    log = opened(folder)
    assert log.names() == [policies[0].name]
    reasons = {name: log.quarantined[name] for name in (one.name for one in policies[1:])}
    assert "is newer" in reasons[policies[3].name] and "is foreign" in reasons[policies[2].name]
    assert f"it is {policies[0].name}" in reasons[policies[1].name]
    # Fetched anew, they are there again.
    for one in policies[1:]:
        log.append(one)
    assert opened(folder).state(policies[3].name) == state_of(policies)


@pytest.mark.parametrize("word", STEPS)
def test_a_full_disk_is_told_and_what_is_there_stands(word: str, tmp_path: Path) -> None:
    full = False

    def step(at: str) -> None:
        if full and at == word:
            raise OSError(28, "No space left on device")

    policies = chain(8)
    log = PolicyLog(tmp_path / "log", step, max_states_in_memory=2, snapshot_floor_bytes=1)
    log.open()
    for one in policies[:6]:
        log.append(one)
    full = True
    with pytest.raises(StoreError, match="No space left"):
        log.append(policies[6])
    assert log.policy(policies[6].name) is None
    with pytest.raises(StoreError, match="No space left"):
        log.prune([policies[5].name])
    assert log.state(policies[5].name) == state_of(policies[:6])
    assert opened(tmp_path / "log").names() == [one.name for one in policies[:6]]
    full = False
    log.prune([policies[5].name])
    log.append(policies[6])
    assert opened(tmp_path / "log").state(policies[6].name) == state_of(policies[:7])


@pytest.mark.parametrize("word", STEPS)
def test_a_process_that_ends_while_it_writes_finds_the_rest_whole(word: str, tmp_path: Path) -> None:
    class Ended(Exception):
        """The process ends here."""

    steps = 0
    ends_at = 0

    def step(at: str) -> None:
        nonlocal steps
        steps += at == word
        if steps == ends_at:
            raise Ended

    policies = chain(10)
    for ends_at in range(1, 14):
        folder = tmp_path / f"log{ends_at}"
        steps = 0
        log = PolicyLog(folder, step, max_states_in_memory=2, snapshot_floor_bytes=1)
        log.open()
        there = 0
        try:
            for one in policies:
                log.append(one)
                there += 1
                log.prune([one.name])
        except Ended:
            pass
        again = opened(folder, max_states_in_memory=2, snapshot_floor_bytes=1)
        assert not again.quarantined
        assert there == 0 or again.state(policies[there - 1].name) == state_of(policies[:there])
        again = filled(folder, policies[there:], max_states_in_memory=2, snapshot_floor_bytes=1)
        assert again.state(policies[-1].name) == state_of(policies)


def test_older_entries_give_way_to_a_snapshot_and_a_start_reads_it(tmp_path: Path) -> None:
    policies = chain(30)
    folder = tmp_path / "log"
    log = filled(folder, policies, max_states_in_memory=4, snapshot_floor_bytes=400)
    again = opened(folder, max_states_in_memory=4, snapshot_floor_bytes=400)
    names = [one.name for one in policies]
    for reader in (log, again):
        there = reader.names()
        assert there == names[-len(there) :] and 4 <= len(there) < 15
        assert reader.state(names[-1]) == state_of(policies)
        assert reader.state(names[-4]) == state_of(policies[:-3])
    assert log.state(there[0]) is None or there[0] == names[-4]
    snapshots = [path.name for path in folder.iterdir() if path.name.endswith(".snapshot")]
    assert len(snapshots) == 1
    # What is needed stays, with its resources, however old it is.
    needed = PolicyLog(tmp_path / "other", max_states_in_memory=2, snapshot_floor_bytes=1)
    for one in policies[:12]:
        needed.append(one)
        needed.prune([names[2], one.name] if one.version > 2 else [one.name])
    assert needed.state(names[2]) == state_of(policies[:3])


def test_what_a_reader_lacks_is_a_delta_or_a_snapshot_where_the_log_does_not_reach(tmp_path: Path) -> None:
    policies = chain(30)
    log = filled(tmp_path / "log", policies, max_states_in_memory=4, snapshot_floor_bytes=400)
    last = policies[-1].name
    delta = parse_delta(log.encoded_delta(28, last))
    assert delta == policies[28:]
    with pytest.raises(LogTruncatedError, match="does not reach"):
        log.encoded_delta(1, last)
    with pytest.raises(LogTruncatedError, match="does not reach"):
        log.encoded_delta(1, "99-00000000000a")
    name, data = log.newest_snapshot(last)
    found, state = Snapshot.decode(data)
    assert found.name == name and state == state_of(policies[: found.version])
    # A process with an empty disk takes it, and what follows.
    fresh = opened(tmp_path / "fresh")
    fresh.install_snapshot(data)
    for one in parse_delta(log.encoded_delta(found.version, last)):
        fresh.append(one)
    assert fresh.state(last) == log.state(last) == opened(tmp_path / "fresh").state(last)


def test_a_false_snapshot_is_refused(tmp_path: Path) -> None:
    policies = chain(3)
    state, other = state_of(policies), state_of(chain(3, b"other"))
    header = policies[-1].without_changes()
    log = opened(tmp_path / "log")
    for data, why in (
        (b"", "no snapshot"),
        (b"[" * 3000, "no snapshot"),
        (msgspec.msgpack.encode(Snapshot(header, encode_snapshot(other))), "digest"),
        (msgspec.msgpack.encode(Snapshot(policies[1].without_changes(), encode_snapshot(state))), "digest"),
        (msgspec.msgpack.encode(Snapshot(header, b"nothing")), "no snapshot"),
        (msgspec.msgpack.encode(Snapshot(header, encode_snapshot(replace(state, revision=9)))), "revision 9"),
    ):
        with pytest.raises(RejectedError, match=why):
            log.install_snapshot(data)
    assert not log.names() and not (tmp_path / "log").exists()
    log.install_snapshot(msgspec.msgpack.encode(Snapshot(header, encode_snapshot(state))))
    assert log.state(header.name) == state


def test_the_number_of_entries_is_bounded_however_small_they_are(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hollybay.consensus.log.MAX_LOG_ENTRIES", 8)
    policies = chain(40)
    log = filled(tmp_path / "log", policies, max_states_in_memory=4, snapshot_floor_bytes=1 << 20)
    assert len(log.names()) <= 8 + 4 + 1
    assert len(list((tmp_path / "log").iterdir())) <= 8 + 4 + 2
    assert opened(tmp_path / "log").state(policies[-1].name) == state_of(policies)


@given(st.binary(max_size=200))
def test_any_bytes_are_entries_or_refused(data: bytes) -> None:
    try:
        assert isinstance(parse_delta(data), list)
    except RejectedError as error:
        assert str(error)


def test_entries_that_do_not_follow_each_other_are_refused() -> None:
    policies, others = chain(5), chain(5, b"other")
    check_links(policies[1:], policies[-1].name)
    for entries, why in (
        ([], "ends with nothing"),
        (policies[:-1], "and not 5-"),
        ([policies[1], policies[3], policies[4]], "a gap"),
        ([*others[:3], *policies[3:]], "a gap"),
        (policies[::-1], "ends with 1-"),
    ):
        with pytest.raises(RejectedError, match=why):
            check_links(entries, policies[-1].name)
