"""Invariants of a balancer's records: servers, idle index and attempts agree after every event.

Checked by the tests with random event streams and by the simulation.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.balancing.state import SpeedClass, TrackedAttempt, TrackedServer

__all__ = ["record_fault", "watch_records"]


def record_fault(balancer: Balancer, now: int) -> str | None:
    """Return a description of an inconsistency in a balancer's records, or None.

    - Every attempt in flight is at a server that the balancer knows.
    - A server's in-flight count is the sum of this node's counted attempts there and those reported by peers.
    - The in-flight count of the queueing delay is the sum of this node's counted attempts at all servers.
    - A server listed as idle has nothing in flight, and its `idle_from` is not in the future.
    - A server with nothing in flight that belongs in the idle index is listed, or pending.

    Parameters
    ----------
    balancer
        The balancer, between two events.
    now
        The time (ns) of the last event.
    """
    attempts = [
        attempt
        for request in balancer.requests.values()
        for attempt in request.attempts
        if attempt.result is None
    ]
    return (
        _unknown_server(balancer, attempts)
        or _wrong_count(balancer, attempts)
        or _wrong_listing(balancer, now)
        or _missing_listing(balancer)
    )


def watch_records(balancer: Balancer, report: Callable[[api.Event, str], None]) -> None:
    """Check a balancer's records after each event from now on, and report inconsistencies."""
    handle = balancer.handle

    def checked(now: int, event: api.Event) -> list[api.Action]:
        actions = handle(now, event)
        fault = record_fault(balancer, now)
        if fault is not None:
            report(event, fault)
        return actions

    balancer.handle = checked  # type: ignore[method-assign]


def _unknown_server(balancer: Balancer, attempts: list[TrackedAttempt]) -> str | None:
    for attempt in attempts:
        if balancer.servers.get(attempt.server.id) is not attempt.server:
            return f"an attempt is in flight at {attempt.server.id!r}, which the balancer does not know"
    return None


def _wrong_count(balancer: Balancer, attempts: list[TrackedAttempt]) -> str | None:
    counted = Counter(attempt.server.id for attempt in attempts if attempt.is_counted)
    for server in balancer.servers.values():
        own = server.in_flight - server.peer_in_flight
        if own != counted[server.id]:
            return f"{server.id!r} has {counted[server.id]} attempts in flight, but counts {own}"
    total = balancer.load_shedder.queueing_delay.in_flight
    if total != counted.total():
        return f"{counted.total()} attempts are in flight, but the queueing delay counts {total}"
    return None


def _speed_classes(balancer: Balancer) -> list[SpeedClass]:
    selector = balancer.selector
    return [*selector.local.speed_classes, *selector.remote.speed_classes]


def _wrong_listing(balancer: Balancer, now: int) -> str | None:
    """Return what is wrong with a server that is listed as idle."""
    listed = 0
    for speed_class in _speed_classes(balancer):
        for position, server in enumerate(speed_class.idle):
            listed += 1
            if server.idle_position != position or server.speed_class is not speed_class:
                return f"{server.id!r} is listed as idle at {position}, but records {server.idle_position}"
            if server.in_flight:
                return f"{server.id!r} is listed as idle with {server.in_flight} attempts in flight"
            if server.idle_from > now:
                return f"{server.id!r} is listed as idle {server.idle_from - now} ns too early"
    claims = sum(server.idle_position >= 0 for server in balancer.servers.values())
    return f"{claims} servers record an idle position, but {listed} are listed" if claims != listed else None


def _missing_listing(balancer: Balancer) -> str | None:
    """Describe a server that should be listed as idle, but is neither listed nor pending."""
    for server in balancer.servers.values():
        if server.speed_class is None or server.in_flight or not server.in_idle_index:
            continue
        if server.idle_position < 0 and not _is_pending(server, server.speed_class):
            return f"{server.id!r} has nothing in flight, but is neither listed as idle nor pending"
    return None


def _is_pending(server: TrackedServer, speed_class: SpeedClass) -> bool:
    return any(
        entry is server and idle_from >= server.idle_from for idle_from, _, entry in speed_class.pending_idle
    )
