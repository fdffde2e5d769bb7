"""The guard of resends, copies and refusals, over all effects, groups, outcomes and window positions."""

from __future__ import annotations

import itertools

import pytest

from hollybay.balancing import interface as api
from hollybay.balancing.retries import allowed_scope, is_client_retry_harmless
from hollybay.balancing.state import TrackedAttempt, TrackedServer
from hollybay.testbed.balancer_harness import MS, NEVER_RAN, SECOND

WINDOW = 2 * SECOND
RESULTS = [None, *api.Result]


def tries_of(results: tuple[api.Result | None, ...]) -> list[TrackedAttempt]:
    tries = []
    for n, result in enumerate(results):
        server = TrackedServer(b"%d" % n, first_ejection=SECOND)
        server.zone, server.cell = 1, 7
        t = TrackedAttempt(server, n * MS)
        t.result = result
        tries.append(t)
    return tries


@pytest.mark.parametrize("effect", api.Effect)
@pytest.mark.parametrize("group", api.DeduplicationScope)
@pytest.mark.parametrize("age", [MS, WINDOW - 10 * MS, WINDOW, 2 * WINDOW])
@pytest.mark.parametrize("copies", [True, False])
def test_every_case(effect: api.Effect, group: api.DeduplicationScope, age: int, copies: bool) -> None:
    cls = api.RequestClass("c", effect, 1.0, SECOND, 3 * SECOND, 0.0, group, WINDOW)
    for count in range(3):
        for results in itertools.product(RESULTS, repeat=count):
            tries = tries_of(results)
            scope = allowed_scope(cls, tries, age, copies, 3, 4 * MS)
            ran = [n for n, r in enumerate(results) if r not in NEVER_RAN]
            allowed = copies or None not in results
            if ran and effect == api.Effect.UNSAFE:
                allowed = False
            if ran and effect == api.Effect.KEYED and age - ran[0] * MS >= WINDOW - 4 * MS:
                allowed = False
            assert (scope is not None) == allowed, (results, scope)
            if scope is not None:
                bound = bool(ran) and effect == api.Effect.KEYED
                assert scope.cell == (7 if bound and group == api.DeduplicationScope.CELL else -1)
                assert scope.zone == (1 if bound and group == api.DeduplicationScope.ZONE else -1)
            harmless = effect == api.Effect.SAFE or (
                effect == api.Effect.KEYED and group == api.DeduplicationScope.ALL
            )
            assert is_client_retry_harmless(cls, tries) == (harmless or not ran)


def test_no_more_attempts_than_allowed() -> None:
    cls = api.RequestClass("c", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND)
    rejected = tries_of((api.Result.REJECTED,) * 3)
    assert allowed_scope(cls, rejected, MS, True, 3) is None
    assert allowed_scope(cls, rejected, MS, True, 4) is not None
