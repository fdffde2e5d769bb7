"""The state machine of a connection to a server: its table, and its states over sockets."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest

from hollybay.proxy.upstream.connection import ServerConnection
from hollybay.proxy.upstream.states import (
    TRANSITIONS,
    ConnectionEvent,
    ConnectionState,
    next_state,
)
from hollybay.testbed.loopback import (
    LIMIT,
    FakeDiscovery,
    ScriptedServer,
    request,
    round_trip,
    running,
)

from .transitions import check_transition

PAIRS = list(itertools.product(ConnectionState, ConnectionEvent))


@pytest.mark.parametrize(("state", "event"), PAIRS)
def test_each_pair_has_an_entry_or_is_refused(state: ConnectionState, event: ConnectionEvent) -> None:
    check_transition(TRANSITIONS, next_state, state, event)


def test_what_must_not_happen_is_refused() -> None:
    """No second request on a connection that carries one, and no response before its request is whole."""
    open_states = set(ConnectionState) - {ConnectionState.CLOSING, ConnectionState.CLOSED}
    for event, sources in (
        (ConnectionEvent.CONNECTED, {ConnectionState.CONNECTING}),
        (ConnectionEvent.REQUEST_STARTED, {ConnectionState.IDLE}),
        (ConnectionEvent.REQUEST_SENT, {ConnectionState.HOLDING}),
        (ConnectionEvent.RESPONSE_STARTED, {ConnectionState.AWAITING}),
        (ConnectionEvent.STREAM_STARTED, {ConnectionState.RECEIVING}),
    ):
        assert {state for state in open_states if event in TRANSITIONS[state]} == sources


def test_a_closed_connection_stays_closed() -> None:
    for event in ConnectionEvent:
        assert next_state(ConnectionState.CLOSED, event) is ConnectionState.CLOSED
    for event in set(ConnectionEvent) - {ConnectionEvent.LOST}:
        assert next_state(ConnectionState.CLOSING, event) is ConnectionState.CLOSING


def test_every_state_is_reached_over_sockets(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    reached = {ConnectionState.CONNECTING}
    advance = ServerConnection._advance

    def note(connection: ServerConnection, event: ConnectionEvent) -> None:
        advance(connection, event)
        reached.add(connection.state)

    monkeypatch.setattr(ServerConnection, "_advance", note)
    long_answer = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 200_000

    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1", long_answer)) as node:
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                for cls in ("view", "send"):
                    head, body = await round_trip(reader, writer, request(cls, rid=f"r-{cls}"))
                    assert b" 200 " in head and len(body) == 200_000
                (connection,) = node.node.pools.connections
                assert connection.state is ConnectionState.IDLE
                connection.close()
                while node.node.pools.connections:
                    await asyncio.sleep(0)
            writer.transport.abort()

    asyncio.run(play())
    assert reached == set(ConnectionState)
