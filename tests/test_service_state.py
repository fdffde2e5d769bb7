"""How far a node is out of service: every pair of state and event has an entry or is refused."""

from __future__ import annotations

import itertools

import pytest

from hollybay.proxy.downstream.service_state import (
    CLOSING_STATES,
    HEALTHY_STATES,
    TRANSITIONS,
    ServiceEvent,
    ServiceState,
    next_state,
)

from .transitions import check_transition

PAIRS = list(itertools.product(ServiceState, ServiceEvent))


@pytest.mark.parametrize(("state", "event"), PAIRS)
def test_every_pair_has_an_entry_or_is_refused(state: ServiceState, event: ServiceEvent) -> None:
    check_transition(TRANSITIONS, next_state, state, event)


def test_only_what_an_operator_drained_is_resumed() -> None:
    refused = {(state, event) for state, event in PAIRS if event not in TRANSITIONS[state]}
    assert refused == {
        (ServiceState.SERVING, ServiceEvent.RESUMED),
        (ServiceState.HANDING_OVER, ServiceEvent.RESUMED),
    }


@pytest.mark.parametrize("state", ServiceState)
def test_health_and_closing_follow_their_own_events_alone(state: ServiceState) -> None:
    """As two flags would: a drain ends health, closing leaves it as it is, resuming undoes both."""
    drained = next_state(state, ServiceEvent.DRAIN_STARTED)
    assert drained not in HEALTHY_STATES
    assert (drained in CLOSING_STATES) == (state in CLOSING_STATES)
    closing = next_state(state, ServiceEvent.CLOSING_STARTED)
    assert closing in CLOSING_STATES
    assert (closing in HEALTHY_STATES) == (state in HEALTHY_STATES)
    if ServiceEvent.RESUMED in TRANSITIONS[state]:
        assert next_state(state, ServiceEvent.RESUMED) is ServiceState.SERVING


def test_every_state_is_reached() -> None:
    assert {state for entries in TRANSITIONS.values() for state in entries.values()} == set(ServiceState)
    assert ServiceState.SERVING in HEALTHY_STATES - CLOSING_STATES
