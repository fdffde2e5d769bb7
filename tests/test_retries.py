"""The safety of retries, hedges and rejections, for all effects, scopes, results and times in the window."""

from __future__ import annotations

import itertools

import pytest

from hollybay.balancing import interface as api
from hollybay.balancing.retries import allowed_scope, is_client_retry_harmless
from hollybay.balancing.state import TrackedAttempt, TrackedServer
from hollybay.testbed.balancer_harness import MS, NEVER_RAN, SECOND

WINDOW = 2 * SECOND
RESULTS = [None, *api.Result]


def attempts_with(results: tuple[api.Result | None, ...]) -> list[TrackedAttempt]:
    attempts = []
    for n, result in enumerate(results):
        server = TrackedServer(b"%d" % n, first_ejection=SECOND)
        server.zone, server.cell = 1, 7
        attempt = TrackedAttempt(server, n * MS)
        attempt.result = result
        attempts.append(attempt)
    return attempts


@pytest.mark.parametrize("effect", api.Effect)
@pytest.mark.parametrize("deduplication_scope", api.DeduplicationScope)
@pytest.mark.parametrize("age", [MS, WINDOW - 10 * MS, WINDOW, 2 * WINDOW])
@pytest.mark.parametrize("hedging_allowed", [True, False])
def test_every_case(
    effect: api.Effect, deduplication_scope: api.DeduplicationScope, age: int, hedging_allowed: bool
) -> None:
    cls = api.RequestClass("c", effect, 1.0, SECOND, 3 * SECOND, 0.0, deduplication_scope, WINDOW)
    for count in range(3):
        for results in itertools.product(RESULTS, repeat=count):
            attempts = attempts_with(results)
            scope = allowed_scope(cls, attempts, age, hedging_allowed, 3, 4 * MS)
            ran = [n for n, r in enumerate(results) if r not in NEVER_RAN]
            allowed = hedging_allowed or None not in results
            if ran and effect == api.Effect.UNSAFE:
                allowed = False
            if ran and effect == api.Effect.KEYED and age - ran[0] * MS >= WINDOW - 4 * MS:
                allowed = False
            assert (scope is not None) == allowed, (results, scope)
            if scope is not None:
                bound = bool(ran) and effect == api.Effect.KEYED
                assert scope.cell == (
                    7 if bound and deduplication_scope == api.DeduplicationScope.CELL else -1
                )
                assert scope.zone == (
                    1 if bound and deduplication_scope == api.DeduplicationScope.ZONE else -1
                )
            harmless = effect == api.Effect.SAFE or (
                effect == api.Effect.KEYED and deduplication_scope == api.DeduplicationScope.ALL
            )
            assert is_client_retry_harmless(cls, attempts) == (harmless or not ran)


def test_the_number_of_attempts_is_limited() -> None:
    cls = api.RequestClass("c", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND)
    rejected = attempts_with((api.Result.REJECTED,) * 3)
    assert allowed_scope(cls, rejected, MS, True, 3) is None
    assert allowed_scope(cls, rejected, MS, True, 4) is not None
