"""The state machine of a client connection: every pair of state and event has an entry or is refused."""

from __future__ import annotations

import pytest

from hollybay.proxy.downstream.states import (
    LINGERING_STATES,
    READING_STATES,
    RESPONDING_STATES,
    TRANSITIONS,
    ConnectionEvent,
    ConnectionState,
    next_state,
)

from .transitions import check_transition


@pytest.mark.parametrize("state", ConnectionState)
@pytest.mark.parametrize("event", ConnectionEvent)
def test_every_pair_has_an_entry_or_is_refused(state: ConnectionState, event: ConnectionEvent) -> None:
    check_transition(TRANSITIONS, next_state, state, event)


def test_the_table_names_every_state_and_only_states_and_events() -> None:
    assert set(TRANSITIONS) == set(ConnectionState)
    for entries in TRANSITIONS.values():
        assert set(entries) <= set(ConnectionEvent)
        assert set(entries.values()) <= set(ConnectionState)


def test_each_state_is_of_one_kind() -> None:
    kinds = [READING_STATES, RESPONDING_STATES, LINGERING_STATES]
    assert [sum(state in kind for kind in kinds) for state in ConnectionState] == [1] * len(ConnectionState)


def test_every_state_is_reached_and_every_event_happens() -> None:
    reached, todo = {ConnectionState.READING}, [ConnectionState.READING]
    while todo:
        for following in TRANSITIONS[todo.pop()].values():
            if following not in reached:
                reached.add(following)
                todo.append(following)
    assert reached == set(ConnectionState)
    assert {event for entries in TRANSITIONS.values() for event in entries} == set(ConnectionEvent)


def test_a_connection_ends_in_order_from_every_state_and_nothing_follows() -> None:
    for state in ConnectionState:
        if state in LINGERING_STATES:
            assert not TRANSITIONS[state]
        else:
            assert next_state(state, ConnectionEvent.SENDING_SHUT_DOWN) in LINGERING_STATES


def test_only_a_connection_whose_answer_was_taken_reads_again() -> None:
    again = {
        (state, event)
        for state, entries in TRANSITIONS.items()
        for event, following in entries.items()
        if state not in READING_STATES and following in READING_STATES
    }
    assert again == {(ConnectionState.RESPONDING, ConnectionEvent.RESPONSE_FLUSHED)}


def test_after_the_head_of_a_last_answer_no_further_request_is_read() -> None:
    last = {ConnectionState.STREAMING_LAST, ConnectionState.RESPONDING_LAST, ConnectionState.DISCARDING}
    for state in last:
        assert set(TRANSITIONS[state].values()) <= last | LINGERING_STATES


def test_an_answer_that_was_complete_before_the_body_leaves_time_to_read_it() -> None:
    state = ConnectionState.READING
    for event in (
        ConnectionEvent.BODY_STREAMED,
        ConnectionEvent.LAST_RESPONSE_BEGUN,
        ConnectionEvent.RESPONSE_COMPLETED,
        ConnectionEvent.SENDING_SHUT_DOWN,
    ):
        state = next_state(state, event)
    assert state is ConnectionState.LINGERING_UPLOAD
