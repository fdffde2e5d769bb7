"""What comes from others is verified before it is taken in: deltas, snapshots, pieces, uploads."""

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


def unspoiled(_path: str, data: bytes) -> bytes:
    return data


class Others:
    """Keepers by door, each with a log, and what they do to their answers."""

    def __init__(self, **logs: PolicyLog) -> None:
        self.logs = logs
        self.spoil: dict[str, Callable[[str, bytes], bytes]] = {}
        self.called: list[tuple[str, str]] = []

    async def call(self, door: str, path: str) -> bytes:
        self.called.append((door, path))
        log = self.logs.get(door)
        if log is None:
            raise CallFailedError(f"{door}: nobody")
        kind, *parts = path.split("/")
        try:
            if kind == "since":
                name, whole = parts[1], log.encoded_delta(int(parts[0]), parts[1])
            else:
                name, whole = log.newest_snapshot(parts[0])
        except LogTruncatedError as error:
            raise CallFailedError(str(error), LOG_TRUNCATED_STATUS) from None
        offset = int(parts[2 if kind == "since" else 1]) if len(parts) > (2 if kind == "since" else 1) else 0
        whole = self.spoil.get(door, unspoiled)(path, whole)
        return messages.encode(chunk_at(name, whole, offset))


def bring(log: PolicyLog, others: Others, name: str, *doors: str) -> tuple[FetchResult, Fetcher]:
    async def play() -> tuple[FetchResult, Fetcher]:
        async def disk(work: Callable[[], None]) -> None:
            work()

        fetcher = Fetcher(log, others.call, disk, asyncio.get_running_loop().create_task)
        async with asyncio.timeout(10):
            return await fetcher.fetch(name, doors), fetcher

    return asyncio.run(play())


def files(folder: Path) -> list[str]:
    return sorted(path.name for path in folder.iterdir()) if folder.exists() else []


def test_a_delta_comes_where_the_log_reaches_and_a_snapshot_where_it_does_not(tmp_path: Path) -> None:
    policies = chain(30)
    last = policies[-1].name
    others = Others(k=filled(tmp_path / "k", policies, max_states_in_memory=4, snapshot_floor_bytes=400))
    near = filled(tmp_path / "near", policies[:28])
    found, _ = bring(near, others, last, "k")
    assert found.policy == policies[-1].without_changes() and near.state(last) == state_of(policies)
    assert [path.split("/")[0] for _, path in others.called] == ["since"]
    others.called.clear()
    for label, known in (("fresh", []), ("far", policies[:3])):
        log = filled(tmp_path / label, known)
        found, _ = bring(log, others, last, "k")
        assert found.policy is not None and log.state(last) == state_of(policies)
        kinds = [path.split("/")[0] for _, path in others.called]
        assert kinds[-2:] == ["snapshot", "since"], kinds
        assert opened(tmp_path / label).state(last) == state_of(policies)
        others.called.clear()


def test_one_that_holds_a_dropped_proposal_asks_from_the_entry_before(tmp_path: Path) -> None:
    policies, others_chain = chain(8), chain(3)
    last = policies[-1].name
    log = filled(tmp_path / "n", others_chain)
    state = state_of(others_chain)
    dropped, _ = successor_policy(others_chain[-1], state, [change(state, "dropped", b"x")])
    log.append(dropped)
    found, _ = bring(log, Others(k=filled(tmp_path / "k", policies)), last, "k")
    assert found.policy is not None and log.state(last) == state_of(policies)


def spoiled(
    kind: str, policies: list[PolicyVersion], foreign: list[PolicyVersion]
) -> Callable[[str, bytes], bytes]:
    """Something that an answer may be and must not be taken in as."""

    def spoil(path: str, data: bytes) -> bytes:
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

    return spoil


@pytest.mark.parametrize("kind", ["gap", "cut", "others", "short", "false", "bare", "nothing"])
def test_a_false_delta_is_refused_and_another_keeper_is_asked(kind: str, tmp_path: Path) -> None:
    policies, foreign = chain(8), chain(8, b"foreign")
    last = policies[-1].name
    good = filled(tmp_path / "good", policies)
    others = Others(bad=good, good=good)
    others.spoil["bad"] = spoiled(kind, policies, foreign)
    log = filled(tmp_path / "n", policies[:3])
    before = files(tmp_path / "n")
    found, fetcher = bring(log, others, last, "bad")
    assert found == FetchResult(None) and fetcher.failures["bad"]
    assert files(tmp_path / "n") == before and log.names() == [one.name for one in policies[:3]]
    found, fetcher = bring(log, others, last, "nobody", "bad", "good")
    assert found.policy is not None and log.state(last) == state_of(policies)
    assert set(fetcher.failures) == {"nobody", "bad"}


def test_a_false_snapshot_is_refused_and_another_keeper_is_asked(tmp_path: Path) -> None:
    policies, foreign = chain(30), chain(30, b"foreign")
    last = policies[-1].name
    good = filled(tmp_path / "good", policies, max_states_in_memory=4, snapshot_floor_bytes=400)
    others = Others(bad=good, good=good)

    def spoil(path: str, data: bytes) -> bytes:
        if not path.startswith("snapshot"):
            return data
        snapshot: Snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        version = snapshot.policy.version
        state = state_of(foreign[:version])
        # A whole snapshot of another chain: the entries that follow do not follow it.
        header = foreign[version - 1].without_changes()
        return msgspec.msgpack.encode(Snapshot(header, encode_snapshot(state)))

    others.spoil["bad"] = spoil
    log = opened(tmp_path / "n")
    found, fetcher = bring(log, others, last, "bad")
    assert found == FetchResult(None) and "a gap" in fetcher.failures["bad"] and not files(tmp_path / "n")
    found, _ = bring(log, others, last, "bad", "good")
    assert found.policy is not None and log.state(last) == state_of(policies)


def test_a_disk_that_takes_nothing_leaves_the_policy_known_and_says_why(tmp_path: Path) -> None:
    policies = chain(4)

    class Full(PolicyLog):
        def append(self, policy: PolicyVersion) -> Any:
            raise StoreError("No space left on device")

    log = Full(tmp_path / "n")
    found, _ = bring(log, Others(k=filled(tmp_path / "k", policies)), policies[-1].name, "k")
    assert found.policy == policies[-1].without_changes()
    assert found.problem == NotPersisted("No space left on device")
    assert not log.names()


# Pieces


def run_download(answers: Callable[[str], messages.Chunk], most: int) -> tuple[str, bytes]:
    async def play() -> tuple[str, bytes]:
        async def call(path: str) -> bytes:
            return messages.encode(answers(path))

        async with asyncio.timeout(10):
            return await download(call, "x/n", lambda name: f"x/{name}", most)

    return asyncio.run(play())


def test_pieces_make_the_whole_and_end_within_their_bound() -> None:
    whole = bytes(range(256)) * 4096
    assert len(whole) == 4 * messages.CHUNK_BYTES
    for data in (b"", b"x", whole, whole + b"x"):

        def answer(path: str, data: bytes = data) -> messages.Chunk:
            parts = path.split("/")
            return chunk_at("n", data, int(parts[2]) if len(parts) > 2 else 0)

        assert run_download(answer, len(data)) == ("n", data)
        if data:
            with pytest.raises(RejectedError, match="at most"):
                run_download(answer, len(data) - 1)
        assert all(
            len(messages.encode(answer(f"x/n/{at}"))) < messages.MAX_CALL_BYTES
            for at in range(0, len(data), messages.CHUNK_BYTES)
        )


@pytest.mark.parametrize(
    ("piece", "why"),
    [
        (messages.Chunk("n", 10**9, 0, ""), "bytes at 0 of"),
        (messages.Chunk("n", 10**12, 0, ""), "at most"),
        (messages.Chunk("n", 3, 1, "AA=="), "in the first piece"),
        (messages.Chunk("n", 3, 0, "AA=="), "1 bytes at 0 of 3"),
        (messages.Chunk("n", 3, 0, "no base64"), "data"),
        # One that goes on for ever gives the same again and again.
        (
            messages.Chunk("n", 10**9, 0, base64.b64encode(bytes(messages.CHUNK_BYTES)).decode()),
            "a piece at 0",
        ),
    ],
)
def test_pieces_that_do_not_fit_are_refused(piece: messages.Chunk, why: str) -> None:
    with pytest.raises(RejectedError, match=why):
        run_download(lambda path: piece, 10**10)


def test_uploads_are_bounded_and_come_in_any_order_of_repeats() -> None:
    uploads = Uploads()
    whole = bytes(messages.CHUNK_BYTES) + b"the end"
    ids = [f"{n:032x}" for n in range(1, MAX_UPLOADS + 2)]
    first, second = upload_calls(ids[0], whole)
    for piece in (first, first, second, first, second):
        uploads.add(piece, 1)
    assert uploads.content(ids[0]) == whole
    with pytest.raises(RejectedError, match="not whole"):
        uploads.content(ids[1])
    for piece, why in (
        (msgspec.structs.replace(second, id=ids[1]), "and 0 of"),
        (messages.UploadCall(ids[1], MAX_UPLOAD_BYTES + 1, 0, ""), "at most"),
        (msgspec.structs.replace(first, total=messages.CHUNK_BYTES + 9), "are here"),
        (msgspec.structs.replace(first, data="!!"), "data"),
        (msgspec.structs.replace(first, id=""), "id"),
    ):
        with pytest.raises(RejectedError, match=why):
            uploads.add(piece, 2)
        assert uploads.content(ids[0]) == whole
    for one in ids[1:MAX_UPLOADS]:
        uploads.add(msgspec.structs.replace(first, id=one), 3)
    with pytest.raises(RejectedError, match="come again later"):
        uploads.add(msgspec.structs.replace(first, id=ids[-1]), 4)
    uploads.add(msgspec.structs.replace(first, id=ids[-1]), 5 + UPLOAD_IDLE_NS)
    uploads.discard(ids[-1])
