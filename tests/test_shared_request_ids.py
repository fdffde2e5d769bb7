"""Ids of open requests at two processes of one node: an id that is open at one is rejected by the other."""

from __future__ import annotations

import asyncio
import os
from dataclasses import replace
from pathlib import Path

from hollybay.proxy.config import Config
from hollybay.proxy.handover import ListenerGroup
from hollybay.proxy.request_ids import NOT_CLAIMED, RequestIds
from hollybay.testbed.loopback import FakeDiscovery, RunningNode, StalledServer, request, running

CAPACITY = 4


def join(folder: Path, name: str = "node") -> tuple[ListenerGroup, RequestIds]:
    """Begin to share the ids of one process."""
    group, ids = ListenerGroup(folder, name), RequestIds()
    group.share_ids(ids, CAPACITY)
    return group, ids


def test_an_id_that_is_open_at_another_process_is_rejected_until_it_ends(tmp_path: Path) -> None:
    (old_group, old), (_, new) = join(tmp_path), join(tmp_path)
    number = old.claim(b"a", 0.0)
    assert new.claim(b"a", 0.0) == NOT_CLAIMED and not new.open
    old.retire(number, 0.0)
    assert new.claim(b"a", 0.0) != NOT_CLAIMED
    # The older process looks up the ids of the newer one from when it looks for it.
    assert old.claim(b"b", 0.0) != NOT_CLAIMED and new.claim(b"c", 0.0) != NOT_CLAIMED
    old_group.look_up_ids()
    assert old.claim(b"c", 0.0) == NOT_CLAIMED


def test_ids_of_a_process_that_has_died_are_free(tmp_path: Path) -> None:
    (_, old), (_, new) = join(tmp_path), join(tmp_path)
    old.claim(b"a", 0.0)
    assert new.claim(b"a", 0.0) == NOT_CLAIMED and old.shared is not None
    # As when its process is killed; the memory map holds the locked file, too.
    old.shared._digests.close()
    os.close(old.shared._file)
    assert new.claim(b"a", 0.0) != NOT_CLAIMED
    _, third = join(tmp_path)
    assert third.claim(b"a", 0.0) == NOT_CLAIMED
    assert len(list(tmp_path.iterdir())) == 2


def test_a_full_table_shares_no_further_ids_and_frees_each_place(tmp_path: Path) -> None:
    (_, old), (_, new) = join(tmp_path), join(tmp_path)
    for _ in range(3):
        numbers = [old.claim(b"%d" % n, 0.0) for n in range(2 * CAPACITY)]
        assert NOT_CLAIMED not in numbers
        rejected = [new.claim(b"%d" % n, 0.0) == NOT_CLAIMED for n in range(CAPACITY)]
        assert all(rejected)
        for number in numbers:
            old.forget(number)
    assert not old.open and not new.open


def test_other_nodes_and_processes_without_a_folder_share_nothing(tmp_path: Path) -> None:
    (group, ids), (_, other) = join(tmp_path), join(tmp_path, "another")
    ids.claim(b"a", 0.0)
    assert other.claim(b"a", 0.0) != NOT_CLAIMED
    group.close()
    assert ids.claim(b"b", 0.0) != NOT_CLAIMED and len(list(tmp_path.iterdir())) == 1
    alone, apart = ListenerGroup(None, "node"), RequestIds()
    alone.share_ids(apart, CAPACITY)
    assert apart.shared is None


def test_an_id_that_is_open_at_the_old_process_is_not_served_by_the_new_one(tmp_path: Path) -> None:
    """Guards against an unsafe request that runs twice during an upgrade."""

    def share(node: RunningNode) -> ListenerGroup:
        group = ListenerGroup(tmp_path, "node")
        group.share_ids(node.dispatcher.request_ids, node.clients.config.sockets)
        group.join()
        return group

    async def play() -> None:
        server, second = StalledServer("s-1"), StalledServer("s-1")
        (tmp_path / "1").mkdir()
        (tmp_path / "2").mkdir()

        def shared(config: Config) -> Config:
            return replace(config, admin=("127.0.0.1", 0))

        async with running(tmp_path / "1" / "c.json", FakeDiscovery(), server, adjust=shared) as old:
            share(old)
            first = asyncio.ensure_future(old.ask(request("send", rid="r-1")))
            await server.until(lambda: len(server.heads) == 1)
            async with running(tmp_path / "2" / "c.json", FakeDiscovery(), second, adjust=shared) as new:
                share(new)
                assert (await new.ask(request("send", rid="r-1"))).startswith(b"HTTP/1.1 409")
                server.go.set()
                second.go.set()
                assert b" 200 " in await first
                assert b" 200 " in await new.ask(request("send", rid="r-2"))
                assert not any(b"r-1" in head for head in second.heads)

    asyncio.run(play())
