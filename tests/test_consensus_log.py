"""The log on disk: entries and snapshots survive any crash, and damaged files count as absent."""

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
from hollybay.consensus.log_entry import Snapshot, is_policy_name
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
    existing = state.get(Kind.ROUTE, name)
    base = existing.version if existing is not None else 0
    operation: Operation = Upsert(Kind.ROUTE, name, base, body or b"")
    if body is None:
        operation = Delete(Kind.ROUTE, name, base)
    change_id = blake2b(f"{state.revision} {name}".encode() + (body or b""), digest_size=16).digest()
    return Change(change_id, state.revision, "why", "who", (operation,))


def chain(length: int, tag: bytes = b"") -> list[PolicyVersion]:
    """A chain of `length` policies, each of which changes one of five routes."""
    policies = [policy.first_policy([change(EMPTY, "r0", tag)], ["a:1"])]
    state = EMPTY.with_batch(policies[0].changes or (), 1)
    for n in range(1, length):
        successor, state = policy.successor_policy(
            policies[-1], state, [change(state, f"r{n % 5}", tag + b"%d" % n)]
        )
        policies.append(successor)
    return policies


def state_of(policies: list[PolicyVersion]) -> ResourceState:
    """The resources after consecutive policies."""
    state = EMPTY
    for one in policies:
        state = state.with_batch(one.changes or (), one.version)
    return state


def opened(folder: Path, **options: int) -> PolicyLog:
    log = PolicyLog(folder, **options)  # type: ignore[arg-type]
    log.open()
    return log


def filled(folder: Path, policies: list[PolicyVersion], **options: int) -> PolicyLog:
    log = opened(folder, **options)
    for one in policies:
        log.append(one)
        log.prune([one.name])
    return log


def test_entries_and_their_resources_are_restored_from_disk(tmp_path: Path) -> None:
    policies = chain(5)
    log = filled(tmp_path / "log", policies)
    reopened = opened(tmp_path / "log")
    for one in (log, reopened):
        assert one.names() == [policy.name for policy in policies]
        assert one.state(policies[-1].name) == state_of(policies)
        assert one.policy(policies[2].name) == policies[2].without_changes()
        assert one.read_entry(policies[2].name) == policies[2]
        entry = one.entry(policies[3].name)
        assert entry is not None and entry.changed_keys == policy.changed_keys(policies[3].changes or ())
    assert (
        reopened.policy("../o.toml") is None
        and reopened.read_entry("../o.toml") is None
        and not is_policy_name("../o.toml")
    )
    assert reopened.policy("9-00000000000a") is None and not reopened.quarantined


def test_append_rejects_gaps_and_wrong_digests_and_leaves_the_log_unchanged(tmp_path: Path) -> None:
    policies, others = chain(4), chain(4, b"other")
    log = filled(tmp_path / "log", policies[:2])
    before = sorted(path.name for path in (tmp_path / "log").iterdir())
    wrong_digest = msgspec.structs.replace(policies[2], after=bytes(32))
    for one, reason in (
        (policies[3], "a gap: 3-"),
        (others[2], "a gap: 2-"),
        (wrong_digest, "after: "),
        (policies[2].without_changes(), "are not loaded"),
    ):
        with pytest.raises(RejectedError, match=reason):
            log.append(one)
    assert log.names() == [one.name for one in policies[:2]]
    assert before == sorted(path.name for path in (tmp_path / "log").iterdir())
    log.append(policies[2])


def test_the_log_holds_two_proposals_of_one_version(tmp_path: Path) -> None:
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
def test_truncated_and_corrupted_files_are_quarantined_and_the_rest_is_intact(seed: int, cut: bool) -> None:
    rng = random.Random(seed)
    policies = chain(12)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) / "log"
        filled(folder, policies, max_states_in_memory=4, snapshot_floor_bytes=1)
        path = rng.choice(sorted(folder.iterdir()))
        data = path.read_bytes()
        at = rng.randrange(len(data))
        path.write_bytes(
            data[:at] if cut else data[:at] + bytes([data[at] ^ 1 << rng.randrange(8)]) + data[at + 1 :]
        )
        log = opened(folder, max_states_in_memory=4, snapshot_floor_bytes=1)
        assert path.name in log.quarantined and not path.exists() and log.quarantined[path.name]
        assert any(one.name.startswith(f"{path.name}.") for one in folder.iterdir())
        # The log holds only what was written; entries whose resources cannot be rebuilt are absent.
        for name in log.names():
            number = next(n for n, one in enumerate(policies) if one.name == name)
            assert log.state(name) == state_of(policies[: number + 1])
            assert log.policy(name) == policies[number].without_changes()


def test_foreign_newer_and_exchanged_files_are_quarantined_with_their_reasons(tmp_path: Path) -> None:
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
    assert f"the file holds {policies[0].name}" in reasons[policies[1].name]
    # Quarantined entries can be appended again.
    for one in policies[1:]:
        log.append(one)
    assert opened(folder).state(policies[3].name) == state_of(policies)


@pytest.mark.parametrize("failing_step", STEPS)
def test_a_full_disk_raises_store_error_and_keeps_earlier_entries(failing_step: str, tmp_path: Path) -> None:
    full = False

    def step(name: str) -> None:
        if full and name == failing_step:
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


@pytest.mark.parametrize("crash_step", STEPS)
def test_a_log_is_intact_after_a_crash_during_a_write(crash_step: str, tmp_path: Path) -> None:
    class Crashed(Exception):
        """The process crashes here."""

    steps = 0
    crashes_at = 0

    def step(name: str) -> None:
        nonlocal steps
        steps += name == crash_step
        if steps == crashes_at:
            raise Crashed

    policies = chain(10)
    for crashes_at in range(1, 14):
        folder = tmp_path / f"log{crashes_at}"
        steps = 0
        log = PolicyLog(folder, step, max_states_in_memory=2, snapshot_floor_bytes=1)
        log.open()
        appended = 0
        try:
            for one in policies:
                log.append(one)
                appended += 1
                log.prune([one.name])
        except Crashed:
            pass
        reopened = opened(folder, max_states_in_memory=2, snapshot_floor_bytes=1)
        assert not reopened.quarantined
        assert appended == 0 or reopened.state(policies[appended - 1].name) == state_of(policies[:appended])
        reopened = filled(folder, policies[appended:], max_states_in_memory=2, snapshot_floor_bytes=1)
        assert reopened.state(policies[-1].name) == state_of(policies)


def test_a_snapshot_replaces_older_entries_and_is_loaded_at_start(tmp_path: Path) -> None:
    policies = chain(30)
    folder = tmp_path / "log"
    log = filled(folder, policies, max_states_in_memory=4, snapshot_floor_bytes=400)
    reopened = opened(folder, max_states_in_memory=4, snapshot_floor_bytes=400)
    names = [one.name for one in policies]
    for reader in (log, reopened):
        kept = reader.names()
        assert kept == names[-len(kept) :] and 4 <= len(kept) < 15
        assert reader.state(names[-1]) == state_of(policies)
        assert reader.state(names[-4]) == state_of(policies[:-3])
    assert log.state(kept[0]) is None or kept[0] == names[-4]
    snapshots = [path.name for path in folder.iterdir() if path.name.endswith(".snapshot")]
    assert len(snapshots) == 1
    # Needed entries are kept with their resources, no matter how old they are.
    needed = PolicyLog(tmp_path / "other", max_states_in_memory=2, snapshot_floor_bytes=1)
    for one in policies[:12]:
        needed.append(one)
        needed.prune([names[2], one.name] if one.version > 2 else [one.name])
    assert needed.state(names[2]) == state_of(policies[:3])


def test_readers_get_a_delta_or_a_snapshot_if_the_log_was_truncated(tmp_path: Path) -> None:
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
    # A process with an empty disk installs the snapshot and appends the entries after it.
    fresh = opened(tmp_path / "fresh")
    fresh.install_snapshot(data)
    for one in parse_delta(log.encoded_delta(found.version, last)):
        fresh.append(one)
    assert fresh.state(last) == log.state(last) == opened(tmp_path / "fresh").state(last)


def test_an_invalid_snapshot_is_rejected(tmp_path: Path) -> None:
    policies = chain(3)
    state, other = state_of(policies), state_of(chain(3, b"other"))
    header = policies[-1].without_changes()
    log = opened(tmp_path / "log")
    for data, reason in (
        (b"", "not a snapshot"),
        (b"[" * 3000, "not a snapshot"),
        (msgspec.msgpack.encode(Snapshot(header, encode_snapshot(other))), "digest"),
        (msgspec.msgpack.encode(Snapshot(policies[1].without_changes(), encode_snapshot(state))), "digest"),
        (msgspec.msgpack.encode(Snapshot(header, b"nothing")), "not a snapshot"),
        (msgspec.msgpack.encode(Snapshot(header, encode_snapshot(replace(state, revision=9)))), "revision 9"),
    ):
        with pytest.raises(RejectedError, match=reason):
            log.install_snapshot(data)
    assert not log.names() and not (tmp_path / "log").exists()
    log.install_snapshot(msgspec.msgpack.encode(Snapshot(header, encode_snapshot(state))))
    assert log.state(header.name) == state


def test_the_number_of_entries_is_bounded_even_if_they_are_small(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hollybay.consensus.log.MAX_LOG_ENTRIES", 8)
    policies = chain(40)
    log = filled(tmp_path / "log", policies, max_states_in_memory=4, snapshot_floor_bytes=1 << 20)
    assert len(log.names()) <= 8 + 4 + 1
    assert len(list((tmp_path / "log").iterdir())) <= 8 + 4 + 2
    assert opened(tmp_path / "log").state(policies[-1].name) == state_of(policies)


@given(st.binary(max_size=200))
def test_parse_delta_returns_entries_or_raises_rejected_error(data: bytes) -> None:
    try:
        assert isinstance(parse_delta(data), list)
    except RejectedError as error:
        assert str(error)


def test_check_links_rejects_entries_that_do_not_form_a_chain() -> None:
    policies, others = chain(5), chain(5, b"other")
    check_links(policies[1:], policies[-1].name)
    for entries, reason in (
        ([], "ends with nothing"),
        (policies[:-1], "instead of 5-"),
        ([policies[1], policies[3], policies[4]], "a gap"),
        ([*others[:3], *policies[3:]], "a gap"),
        (policies[::-1], "ends with 1-"),
    ):
        with pytest.raises(RejectedError, match=reason):
            check_links(entries, policies[-1].name)
