"""Data from other processes is verified before it is stored: deltas, snapshots, chunks and uploads."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hollybay.consensus import messages
from hollybay.consensus.errors import RejectedError
from hollybay.consensus.log import LogTruncatedError, PolicyLog
from hollybay.consensus.log_entry import Snapshot
from hollybay.consensus.log_fetch import LOG_TRUNCATED_STATUS, Fetcher, FetchResult
from hollybay.consensus.policy import PolicyVersion, successor_policy
from hollybay.consensus.reasons import NotPersisted
from hollybay.consensus.requests import CallFailedError
from hollybay.consensus.store import StoreError
from hollybay.consensus.transfer import (
    MAX_UPLOAD_BYTES,
    MAX_UPLOADS,
    UPLOAD_IDLE_NS,
    Uploads,
    chunk_at,
    download,
    upload_calls,
)
from hollybay.resources.wire import encode_snapshot

from .test_consensus_log import chain, change, filled, opened, state_of


def unmodified(_path: str, data: bytes) -> bytes:
    return data


class Peers:
    """Voters by address, each with a log; `corrupt` modifies the replies of an address."""

    def __init__(self, **logs: PolicyLog) -> None:
        self.logs = logs
        self.corrupt: dict[str, Callable[[str, bytes], bytes]] = {}
        self.calls: list[tuple[str, str]] = []

    async def call(self, address: str, path: str) -> bytes:
        self.calls.append((address, path))
        log = self.logs.get(address)
        if log is None:
            raise CallFailedError(f"{address}: unreachable")
        kind, *parts = path.split("/")
        try:
            if kind == "since":
                name, data = parts[1], log.encoded_delta(int(parts[0]), parts[1])
            else:
                name, data = log.newest_snapshot(parts[0])
        except LogTruncatedError as error:
            raise CallFailedError(str(error), LOG_TRUNCATED_STATUS) from None
        offset = int(parts[2 if kind == "since" else 1]) if len(parts) > (2 if kind == "since" else 1) else 0
        data = self.corrupt.get(address, unmodified)(path, data)
        return messages.encode(chunk_at(name, data, offset))


def fetch(log: PolicyLog, peers: Peers, name: str, *addresses: str) -> tuple[FetchResult, Fetcher]:
    async def run() -> tuple[FetchResult, Fetcher]:
        async def run_blocking(work: Callable[[], None]) -> None:
            work()

        fetcher = Fetcher(log, peers.call, run_blocking, asyncio.get_running_loop().create_task)
        async with asyncio.timeout(10):
            return await fetcher.fetch(name, addresses), fetcher

    return asyncio.run(run())


def files(folder: Path) -> list[str]:
    return sorted(path.name for path in folder.iterdir()) if folder.exists() else []


def test_a_fetch_uses_a_delta_or_a_snapshot_if_the_log_was_truncated(tmp_path: Path) -> None:
    policies = chain(30)
    last = policies[-1].name
    peers = Peers(k=filled(tmp_path / "k", policies, max_states_in_memory=4, snapshot_floor_bytes=400))
    near = filled(tmp_path / "near", policies[:28])
    result, _ = fetch(near, peers, last, "k")
    assert result.policy == policies[-1].without_changes() and near.state(last) == state_of(policies)
    assert [path.split("/")[0] for _, path in peers.calls] == ["since"]
    peers.calls.clear()
    for label, known in (("fresh", []), ("far", policies[:3])):
        log = filled(tmp_path / label, known)
        result, _ = fetch(log, peers, last, "k")
        assert result.policy is not None and log.state(last) == state_of(policies)
        kinds = [path.split("/")[0] for _, path in peers.calls]
        assert kinds[-2:] == ["snapshot", "since"], kinds
        assert opened(tmp_path / label).state(last) == state_of(policies)
        peers.calls.clear()


def test_a_log_with_a_dropped_proposal_fetches_from_the_entry_before_it(tmp_path: Path) -> None:
    policies, local_chain = chain(8), chain(3)
    last = policies[-1].name
    log = filled(tmp_path / "n", local_chain)
    state = state_of(local_chain)
    dropped, _ = successor_policy(local_chain[-1], state, [change(state, "dropped", b"x")])
    log.append(dropped)
    result, _ = fetch(log, Peers(k=filled(tmp_path / "k", policies)), last, "k")
    assert result.policy is not None and log.state(last) == state_of(policies)


def corrupted(
    kind: str, policies: list[PolicyVersion], foreign: list[PolicyVersion]
) -> Callable[[str, bytes], bytes]:
    """Returns a function that turns a reply into an invalid one of this kind."""

    def corrupt(path: str, data: bytes) -> bytes:
        entries: list[PolicyVersion] = []
        if path.startswith("since"):
            entries = msgspec.msgpack.decode(data, type=list[PolicyVersion])
        if kind == "gap" and entries:
            return msgspec.msgpack.encode([entries[0], *entries[2:]])
        if kind == "cut":
            return data[:-1]
        if kind == "others":
            return msgspec.msgpack.encode(foreign)
        if kind == "short" and entries:
            return msgspec.msgpack.encode(entries[:-1])
        if kind == "false" and entries:
            return msgspec.msgpack.encode(
                [*entries[:-1], msgspec.structs.replace(entries[-1], after=bytes(32))]
            )
        if kind == "bare" and entries:
            return msgspec.msgpack.encode([entry.without_changes() for entry in entries])
        return b"nothing"

    return corrupt


@pytest.mark.parametrize("kind", ["gap", "cut", "others", "short", "false", "bare", "nothing"])
def test_an_invalid_delta_is_rejected_and_the_next_voter_is_asked(kind: str, tmp_path: Path) -> None:
    policies, foreign = chain(8), chain(8, b"foreign")
    last = policies[-1].name
    good = filled(tmp_path / "good", policies)
    peers = Peers(bad=good, good=good)
    peers.corrupt["bad"] = corrupted(kind, policies, foreign)
    log = filled(tmp_path / "n", policies[:3])
    before = files(tmp_path / "n")
    result, fetcher = fetch(log, peers, last, "bad")
    assert result == FetchResult(None) and fetcher.failures["bad"]
    assert files(tmp_path / "n") == before and log.names() == [one.name for one in policies[:3]]
    result, fetcher = fetch(log, peers, last, "unreachable", "bad", "good")
    assert result.policy is not None and log.state(last) == state_of(policies)
    assert set(fetcher.failures) == {"unreachable", "bad"}


def test_an_invalid_snapshot_is_rejected_and_the_next_voter_is_asked(tmp_path: Path) -> None:
    policies, foreign = chain(30), chain(30, b"foreign")
    last = policies[-1].name
    good = filled(tmp_path / "good", policies, max_states_in_memory=4, snapshot_floor_bytes=400)
    peers = Peers(bad=good, good=good)

    def corrupt(path: str, data: bytes) -> bytes:
        if not path.startswith("snapshot"):
            return data
        snapshot: Snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        version = snapshot.policy.version
        state = state_of(foreign[:version])
        # A valid snapshot of another chain, which the requested entries do not follow.
        header = foreign[version - 1].without_changes()
        return msgspec.msgpack.encode(Snapshot(header, encode_snapshot(state)))

    peers.corrupt["bad"] = corrupt
    log = opened(tmp_path / "n")
    result, fetcher = fetch(log, peers, last, "bad")
    assert result == FetchResult(None) and "a gap" in fetcher.failures["bad"] and not files(tmp_path / "n")
    result, _ = fetch(log, peers, last, "bad", "good")
    assert result.policy is not None and log.state(last) == state_of(policies)


def test_a_fetch_returns_the_policy_and_the_disk_error_if_it_cannot_be_stored(tmp_path: Path) -> None:
    policies = chain(4)

    class FullDiskLog(PolicyLog):
        def append(self, policy: PolicyVersion) -> Any:
            raise StoreError("No space left on device")

    log = FullDiskLog(tmp_path / "n")
    result, _ = fetch(log, Peers(k=filled(tmp_path / "k", policies)), policies[-1].name, "k")
    assert result.policy == policies[-1].without_changes()
    assert result.problem == NotPersisted("No space left on device")
    assert not log.names()


# Chunked transfers


def run_download(reply_to: Callable[[str], messages.Chunk], max_bytes: int) -> tuple[str, bytes]:
    async def run() -> tuple[str, bytes]:
        async def call(path: str) -> bytes:
            return messages.encode(reply_to(path))

        async with asyncio.timeout(10):
            return await download(call, "x/n", lambda name: f"x/{name}", max_bytes)

    return asyncio.run(run())


def test_a_download_joins_its_chunks_and_is_bounded() -> None:
    four_chunks = bytes(range(256)) * 4096
    assert len(four_chunks) == 4 * messages.CHUNK_BYTES
    for data in (b"", b"x", four_chunks, four_chunks + b"x"):

        def reply_to(path: str, data: bytes = data) -> messages.Chunk:
            parts = path.split("/")
            return chunk_at("n", data, int(parts[2]) if len(parts) > 2 else 0)

        assert run_download(reply_to, len(data)) == ("n", data)
        if data:
            with pytest.raises(RejectedError, match="at most"):
                run_download(reply_to, len(data) - 1)
        assert all(
            len(messages.encode(reply_to(f"x/n/{offset}"))) < messages.MAX_CALL_BYTES
            for offset in range(0, len(data), messages.CHUNK_BYTES)
        )


@pytest.mark.parametrize(
    ("chunk", "reason"),
    [
        (messages.Chunk("n", 10**9, 0, ""), "bytes at 0 of"),
        (messages.Chunk("n", 10**12, 0, ""), "at most"),
        (messages.Chunk("n", 3, 1, "AA=="), "in the first chunk"),
        (messages.Chunk("n", 3, 0, "AA=="), "1 bytes at 0 of 3"),
        (messages.Chunk("n", 3, 0, "no base64"), "data"),
        # An endless reply that repeats the same chunk.
        (
            messages.Chunk("n", 10**9, 0, base64.b64encode(bytes(messages.CHUNK_BYTES)).decode()),
            "a chunk at 0",
        ),
    ],
)
def test_a_download_rejects_chunks_that_do_not_match(chunk: messages.Chunk, reason: str) -> None:
    with pytest.raises(RejectedError, match=reason):
        run_download(lambda path: chunk, 10**10)


def test_uploads_are_bounded_and_ignore_repeated_chunks() -> None:
    uploads = Uploads()
    data = bytes(messages.CHUNK_BYTES) + b"the end"
    ids = [f"{n:032x}" for n in range(1, MAX_UPLOADS + 2)]
    first, second = upload_calls(ids[0], data)
    for chunk in (first, first, second, first, second):
        uploads.add(chunk, 1)
    assert uploads.content(ids[0]) == data
    with pytest.raises(RejectedError, match="not whole"):
        uploads.content(ids[1])
    for chunk, reason in (
        (msgspec.structs.replace(second, id=ids[1]), "and 0 of"),
        (messages.UploadCall(ids[1], MAX_UPLOAD_BYTES + 1, 0, ""), "at most"),
        (msgspec.structs.replace(first, total=messages.CHUNK_BYTES + 9), "are here"),
        (msgspec.structs.replace(first, data="!!"), "data"),
        (msgspec.structs.replace(first, id=""), "id"),
    ):
        with pytest.raises(RejectedError, match=reason):
            uploads.add(chunk, 2)
        assert uploads.content(ids[0]) == data
    for one in ids[1:MAX_UPLOADS]:
        uploads.add(msgspec.structs.replace(first, id=one), 3)
    with pytest.raises(RejectedError, match="retry later"):
        uploads.add(msgspec.structs.replace(first, id=ids[-1]), 4)
    uploads.add(msgspec.structs.replace(first, id=ids[-1]), 5 + UPLOAD_IDLE_NS)
    uploads.discard(ids[-1])
