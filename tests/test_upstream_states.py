"""State machine of a connection to a server: its transition table, and its states over sockets."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest

from hollybay.proxy.upstream import connection, request_sender
from hollybay.proxy.upstream.states import (
    TRANSITIONS,
    UpstreamConnectionEvent,
    UpstreamConnectionState,
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

PAIRS = list(itertools.product(UpstreamConnectionState, UpstreamConnectionEvent))


@pytest.mark.parametrize(("state", "event"), PAIRS)
def test_each_pair_has_an_entry_or_is_rejected(
    state: UpstreamConnectionState, event: UpstreamConnectionEvent
) -> None:
    check_transition(TRANSITIONS, next_state, state, event)


def test_events_are_allowed_only_in_their_states() -> None:
    """No second request on a connection that carries one, and no response before its request is complete."""
    open_states = set(UpstreamConnectionState) - {
        UpstreamConnectionState.CLOSING,
        UpstreamConnectionState.CLOSED,
    }
    for event, sources in (
        (UpstreamConnectionEvent.CONNECTED, {UpstreamConnectionState.CONNECTING}),
        (UpstreamConnectionEvent.REQUEST_STARTED, {UpstreamConnectionState.IDLE}),
        (UpstreamConnectionEvent.REQUEST_SENT, {UpstreamConnectionState.HOLDING}),
        (UpstreamConnectionEvent.RESPONSE_STARTED, {UpstreamConnectionState.AWAITING}),
        (UpstreamConnectionEvent.STREAM_STARTED, {UpstreamConnectionState.RECEIVING}),
    ):
        assert {state for state in open_states if event in TRANSITIONS[state]} == sources


def test_a_closed_connection_stays_closed() -> None:
    for event in UpstreamConnectionEvent:
        assert next_state(UpstreamConnectionState.CLOSED, event) is UpstreamConnectionState.CLOSED
    for event in set(UpstreamConnectionEvent) - {UpstreamConnectionEvent.LOST}:
        assert next_state(UpstreamConnectionState.CLOSING, event) is UpstreamConnectionState.CLOSING


def test_every_state_is_reached_over_sockets(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    reached = {UpstreamConnectionState.CONNECTING}

    def record(state: UpstreamConnectionState, event: UpstreamConnectionEvent) -> UpstreamConnectionState:
        reached.add(next_state(state, event))
        return next_state(state, event)

    for module in (connection, request_sender):
        monkeypatch.setattr(module, "next_state", record)
    long_reply = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 200_000

    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1", long_reply)) as node:
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                for cls in ("view", "send"):
                    head, body = await round_trip(reader, writer, request(cls, rid=f"r-{cls}"))
                    assert b" 200 " in head and len(body) == 200_000
                (idle,) = node.dispatcher.pools.connections
                assert idle.state is UpstreamConnectionState.IDLE
                idle.close()
                while node.dispatcher.pools.connections:
                    await asyncio.sleep(0)
            writer.transport.abort()

    asyncio.run(play())
    assert reached == set(UpstreamConnectionState)
