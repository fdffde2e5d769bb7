"""State machine of a node's service state."""

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
def test_every_pair_has_an_entry_or_is_rejected(state: ServiceState, event: ServiceEvent) -> None:
    check_transition(TRANSITIONS, next_state, state, event)


def test_only_a_node_that_an_operator_drained_can_be_resumed() -> None:
    rejected = {(state, event) for state, event in PAIRS if event not in TRANSITIONS[state]}
    assert rejected == {
        (ServiceState.SERVING, ServiceEvent.RESUMED),
        (ServiceState.HANDING_OVER, ServiceEvent.RESUMED),
    }


@pytest.mark.parametrize("state", ServiceState)
def test_health_and_closing_change_independently(state: ServiceState) -> None:
    """They behave like two flags: a drain ends health, closing does not change it, resuming resets both."""
    drained = next_state(state, ServiceEvent.DRAIN_STARTED)
    assert drained not in HEALTHY_STATES
    assert (drained in CLOSING_STATES) == (state in CLOSING_STATES)
    closing = next_state(state, ServiceEvent.CLOSING_STARTED)
    assert closing in CLOSING_STATES
    assert (closing in HEALTHY_STATES) == (state in HEALTHY_STATES)
    if ServiceEvent.RESUMED in TRANSITIONS[state]:
        assert next_state(state, ServiceEvent.RESUMED) is ServiceState.SERVING


def test_every_state_is_reachable() -> None:
    assert {state for entries in TRANSITIONS.values() for state in entries.values()} == set(ServiceState)
    assert ServiceState.SERVING in HEALTHY_STATES - CLOSING_STATES
