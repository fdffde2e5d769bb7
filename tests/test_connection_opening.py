"""Attempts that end while their connection is being opened: no set, count or descriptor is left wrong.

Each end of an attempt is forced at each step of opening, so that the bad order happens every time.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from hollybay.balancing import interface as api
from hollybay.proxy.upstream.attempt import UpstreamAttempt
from hollybay.proxy.upstream.connection import ServerConnection
from hollybay.proxy.upstream.connector import establish
from hollybay.testbed.loopback import (
    FakeDiscovery,
    RunningNode,
    ScriptedServer,
    call,
    request,
    running,
    settings,
)

End = Callable[[RunningNode, UpstreamAttempt], None]


def leave(node: RunningNode, _attempt: UpstreamAttempt) -> None:
    """The client has closed its connection, and the event loop reads that."""
    (conn,) = node.clients.connections
    conn.abandon()


def time_out(node: RunningNode, _attempt: UpstreamAttempt) -> None:
    (pending,) = node.dispatcher.requests.values()
    node.dispatcher._on_deadline(pending)


def drain(node: RunningNode, attempt: UpstreamAttempt) -> None:
    """The server drains, and the time in which attempts may still be written is over."""
    pools = node.dispatcher.pools
    endpoint = pools.endpoints[attempt.server]
    pools._drain(endpoint)
    pools._end_unwritten_attempts(endpoint)


def shut_down(node: RunningNode, _attempt: UpstreamAttempt) -> None:
    node.dispatcher.end_all_requests()


def give_up(_node: RunningNode, attempt: UpstreamAttempt) -> None:
    """The balancer cancels the attempt, or the attempt's own time is up."""
    attempt.end(api.Result.TIMEOUT)


ENDS: dict[str, End] = {
    "client gone": leave,
    "deadline": time_out,
    "drain": drain,
    "shutdown": shut_down,
    "given up": give_up,
}


class EndingConnections(set[ServerConnection]):
    """A table of connections that calls a function when the first connection enters it."""

    def __init__(self, entered: Callable[[], None]) -> None:
        super().__init__()
        self.entered: Callable[[], None] | None = entered

    def add(self, connection: ServerConnection) -> None:
        super().add(connection)
        entered, self.entered = self.entered, None
        if entered is not None:
            entered()


class OpeningSteps:
    """Ends the first attempt of a node at one step of the opening of its connection.

    Parameters
    ----------
    node
        The node.
    step
        Where the attempt ends: "created", before the first step of the task; "connecting"; "connected",
        between the socket's connect and the transport; "made", when the transport enters the table of
        connections.
    end
        Ends the attempt.
    """

    def __init__(self, node: RunningNode, step: str, end: End) -> None:
        self.node, self.step, self.end = node, step, end
        self.attempt: UpstreamAttempt | None = None
        self.tasks: list[asyncio.Task[None]] = []
        pools = node.dispatcher.pools
        self.send = pools.send
        pools.send = self._send  # type: ignore[method-assign]
        pools.establish = self._establish
        if step == "made":
            pools.connections = EndingConnections(self.end_attempt)

    def end_attempt(self) -> None:
        assert self.attempt is not None
        assert self.attempt.result is None
        self.end(self.node, self.attempt)
        assert self.attempt.result is not None

    def has_ended(self) -> bool:
        return self.attempt is not None and self.attempt.result is not None

    def _send(self, attempt: UpstreamAttempt) -> None:
        if self.attempt is None:
            self.attempt = attempt
            if self.step == "created":
                # Called before the first step of the task, which is scheduled only now.
                asyncio.get_running_loop().call_soon(self.end_attempt)
        self.send(attempt)
        if attempt.connecting is not None:
            self.tasks.append(attempt.connecting)

    async def _establish(self, sock: socket.socket, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        is_first = self.attempt is not None and self.attempt.result is None
        if is_first and self.step == "connecting":
            loop.call_soon(self.end_attempt)
            await loop.create_future()
        await establish(sock, address)
        if is_first and self.step == "connected":
            loop.call_soon(self.end_attempt)


def socket_count() -> int:
    """Count the sockets of this process."""
    count = 0
    for name in os.listdir("/proc/self/fd"):
        try:
            count += os.readlink(f"/proc/self/fd/{name}").startswith("socket:")
        except OSError:  # the descriptor of the listing itself
            continue
    return count


@pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("step", ["created", "connecting", "connected", "made"])
@pytest.mark.parametrize("end", ENDS)
def test_an_attempt_that_ends_while_its_connection_opens_leaves_nothing_counted(
    end: str, step: str, cancel: bool, tmp_path: Path
) -> None:
    """Guards against connections that are counted forever: in the end the node would reject everything."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        caps = {**settings()["caps"], "cancel": cancel, "most-tries": 1}
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(caps=caps)
        ) as node:
            pools = node.dispatcher.pools
            sockets_before = socket_count()
            steps = OpeningSteps(node, step, ENDS[end])
            sock = call(node, request("send", rid="r-1"))
            await node.until(steps.has_ended)
            await asyncio.wait(steps.tasks)
            await node.until(lambda: not any(c.transport.is_closing() for c in pools.connections))
            sock.close()
            await node.until(lambda: not node.clients.connections)

            # Whatever is still counted is open and idle.
            assert not pools.opening and not node.dispatcher.requests
            assert all(connection.is_alive() for connection in pools.connections)
            assert set(pools.idle_since) == pools.connections
            assert all(not endpoint.unwritten_attempts for endpoint in pools.endpoints.values())
            assert all(not known.in_flight for known in node.dispatcher.balancer.servers.values())
            assert not node.dispatcher.request_ids.open
            await node.until(lambda: len(server.writers) >= len(pools.connections))
            assert not server.heads

            # The sockets of the node and of the server, once those that were given up are closed.
            def remaining() -> int:
                ends = [w for w in server.writers if not w.transport.is_closing()]
                return sockets_before + len(pools.connections) + len(ends)

            await node.until(lambda: socket_count() == remaining())
            if end != "drain":
                assert b" 200 " in await node.ask(request("send", rid="r-2"))

    asyncio.run(play())


def test_a_client_that_is_found_gone_while_its_request_is_taken_ends_it_at_once(tmp_path: Path) -> None:
    """The connection does not know the request's number yet, and cannot end the request by it."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            pools, attempts = node.dispatcher.pools, []
            send = pools.send

            def leave_and_send(attempt: UpstreamAttempt) -> None:
                attempts.append(attempt)
                leave(node, attempt)
                send(attempt)

            pools.send = leave_and_send  # type: ignore[method-assign]
            sock = call(node, request("send", rid="r-1"))
            await node.until(lambda: bool(attempts))
            assert not node.dispatcher.requests and not node.dispatcher.unfinished_requests
            assert not node.dispatcher.request_ids.open
            await node.until(lambda: not node.clients.connections and not pools.opening)
            assert not server.heads
            sock.close()

    asyncio.run(play())


def test_clients_that_leave_in_a_row_do_not_use_up_the_limit_of_connections(tmp_path: Path) -> None:
    """As in an incident: each client leaves when its connection to a server has just been made."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            pools = node.dispatcher.pools
            pools.limit = 3
            for n in range(4 * pools.limit):
                for connection in list(pools.idle_since):
                    connection.close()
                await node.until(lambda: not any(c.transport.is_closing() for c in pools.connections))
                counted = pools.connections
                steps = OpeningSteps(node, "made", leave)
                assert isinstance(pools.connections, EndingConnections)
                pools.connections.update(counted)
                sock = call(node, request("send", rid=f"r-{n}"))
                await node.until(steps.has_ended)
                await asyncio.wait(steps.tasks)
                pools.send = steps.send  # type: ignore[method-assign]
                sock.close()
                await node.until(lambda: not node.clients.connections)
            assert b" 200 " in await node.ask(request(rid="r-last"))

    asyncio.run(play())
