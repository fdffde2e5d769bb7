"""Reload at SIGHUP: the new discovery address is used at once, and an invalid file has no effect."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

from hollybay.proxy.config import load
from hollybay.proxy.life_cycle import serve
from hollybay.testbed.loopback import LIMIT, FakeDiscovery, ScriptedServer, request, running, write_config


def test_the_watch_continues_at_the_new_address(tmp_path: Path) -> None:
    async def play() -> None:
        old, new = FakeDiscovery(version=900), FakeDiscovery(version=3)
        first, second = ScriptedServer("s-1"), ScriptedServer("s-2")
        async with running(tmp_path / "c.json", old, first) as node:
            assert b" 200 " in await node.ask(request(rid="r-1"))
            await new.start()
            await second.start()
            new.tell(second)
            write_config(node.path, new)
            node.discovery.change_address(load({"BALANCER_CONFIG": str(node.path)}).discovery)
            # The versions of the two services are not comparable: the first call must request the full list.
            await new.until(lambda: new.calls >= 2)
            assert list(node.dispatcher.balancer.servers) == ["s-2"]
            assert b" 200 " in await node.ask(request(rid="r-2"))
            assert len(first.heads) == len(second.heads) == 1
        await new.stop()
        await second.stop()

    asyncio.run(play())


def test_sighup_reloads_and_an_invalid_file_leaves_the_old_one_in_force(tmp_path: Path) -> None:
    async def play() -> None:
        old, new = FakeDiscovery(), FakeDiscovery()
        await old.start()
        await new.start()
        path = tmp_path / "c.json"
        write_config(path, old, listen="127.0.0.1:1")
        environ = {"BALANCER_CONFIG": str(path)}
        config = load(environ)
        started: asyncio.Queue[int] = asyncio.Queue()
        node = asyncio.ensure_future(serve(config, environ, started.put_nowait, port=0))
        async with asyncio.timeout(LIMIT):
            await started.get()
            await old.until(lambda: old.calls >= 2)  # the first list, and a watch that waits
            path.write_text('{"half": ')
            os.kill(os.getpid(), signal.SIGHUP)
            old.tell()  # the old watch must still be active to receive this change
            await old.until(lambda: old.calls >= 3)
            assert not node.done() and new.calls == 0
            write_config(path, new, listen="127.0.0.1:1")
            os.kill(os.getpid(), signal.SIGHUP)
            await new.until(lambda: new.calls >= 2)
            os.kill(os.getpid(), signal.SIGTERM)
            await node
        await old.stop()
        await new.stop()

    asyncio.run(play())
