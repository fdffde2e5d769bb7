"""State machine of a pending request."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from hollybay.proxy.pending_request import (
    TRANSITIONS,
    UNANSWERED_STATES,
    PendingRequest,
    RequestEvent,
    RequestState,
    next_state,
)

from .transitions import check_transition

PAIRS = list(itertools.product(RequestState, RequestEvent))


@pytest.mark.parametrize(("state", "event"), PAIRS)
def test_every_pair_has_an_entry_or_is_rejected(state: RequestState, event: RequestEvent) -> None:
    check_transition(TRANSITIONS, next_state, state, event)


def test_exactly_these_pairs_are_rejected() -> None:
    rejected = {(state, event) for state, event in PAIRS if event not in TRANSITIONS[state]}
    assert rejected == {
        (RequestState.STREAMING, RequestEvent.RESPONSE_STARTED),
        (RequestState.FINISHED, RequestEvent.RESPONSE_STARTED),
        (RequestState.FINISHED, RequestEvent.CONCLUDED),
    }


def test_every_unfinished_state_can_be_concluded_and_finished_is_final() -> None:
    for state in set(RequestState) - {RequestState.FINISHED}:
        assert next_state(state, RequestEvent.CONCLUDED) is RequestState.FINISHED
    assert set(TRANSITIONS[RequestState.FINISHED].values()) == {RequestState.FINISHED}


def test_only_an_unanswered_request_can_start_a_response() -> None:
    starting = {state for state in RequestState if RequestEvent.RESPONSE_STARTED in TRANSITIONS[state]}
    assert starting == UNANSWERED_STATES == {RequestState.PENDING, RequestState.EXPIRED}


def test_every_state_is_reachable_and_none_leads_back_to_pending() -> None:
    following = {state for entries in TRANSITIONS.values() for state in entries.values()}
    assert following == set(RequestState) - {RequestState.PENDING}


def test_a_new_request_is_pending() -> None:
    unused: Any = None
    assert PendingRequest(1, unused, unused, 0).state is RequestState.PENDING
