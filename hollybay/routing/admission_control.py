"""Admission under a plan: token buckets and requests in flight. Time and chance come from the caller.

Buckets and counts go by a route's name and outlive a reload; what a request began under is told back when it
is over, so that a plan that has changed meanwhile takes nothing from it.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import replace

from .limits import Effective, Rate
from .policy_intersection import Narrow
from .route_table import Plan

__all__ = ["Gate"]

SECOND = 1_000_000_000
MS = 1_000_000
# Buckets that are looked at for one that may be forgotten, each time that a new key finds no room.
LOOKED_AT = 4


class _Bucket:
    """Tokens as of a time (ns)."""

    __slots__ = ("at", "tokens")

    def __init__(self, tokens: float, at: int) -> None:
        self.tokens = tokens
        self.at = at

    def take(self, rate: Rate, now: int) -> int:
        """Take a token: 0, or the time (ns) until there is one."""
        elapsed = max(0, now - self.at)
        tokens = min(float(rate.burst), self.tokens + elapsed * rate.per_second / SECOND)
        self.at = max(now, self.at)
        if tokens >= 1.0:
            self.tokens = tokens - 1.0
            return 0
        self.tokens = tokens
        return max(1, int((1.0 - tokens) * SECOND / rate.per_second))

    def full(self, rate: Rate, now: int) -> bool:
        """Whether it has forgotten all: a new one would be the same."""
        return self.tokens + max(0, now - self.at) * rate.per_second / SECOND >= rate.burst


class _State:
    """What is known of one scope: requests in flight, and its buckets by key."""

    __slots__ = ("buckets", "by", "in_flight", "others")

    def __init__(self) -> None:
        self.in_flight = 0
        self.buckets: dict[int, _Bucket] = {}
        # For keys beyond the most that are kept apart: they share one, or who makes up keys would be free.
        self.others: _Bucket | None = None
        self.by: tuple[bytes, bool] = (b"", False)


def _gone(before: Plan | Narrow, after: Plan | Narrow) -> set[str] | None:
    """Scopes of one that the other may not have; None: that is not known, and all must be looked at."""
    gone: set[str] = set()
    for old in before.plans():
        known = [new.gone_since(old) for new in after.plans()]
        found = next((scopes for scopes in known if scopes is not None), None)
        if found is None:
            return None
        gone.update(found)
    return gone


class Gate:
    """The plan in force and what counts under it."""

    def __init__(self, plan: Plan | Narrow, seed: int, max_retry_after: int) -> None:
        self.plan: Plan | Narrow = plan
        self.tenanted = plan.tenanted  # whether any tenant has limits
        # Scopes that are counted and that the plan has not: those of requests that began under an older one.
        self.strays: set[str] = set()
        self.random = random.Random(seed)
        self.max_retry_after = max_retry_after
        self.states: dict[str, _State] = {}
        self.turned_away: dict[str, int] = {}

    def admit(self, limits: Effective, tenant: int, given: Mapping[bytes, bytes], now: int) -> int | None:
        """Let a request in (None, and done() is owed), or tell the Retry-After (ns, 0: none) that it is
        turned away with.

        Under the narrower of two policies a request counts under both, or under neither.
        """
        if limits.parts:
            return self._admit_all(limits.parts, tenant, given, now)
        rate = limits.rate
        if rate is None and not limits.in_flight:
            return None
        state = self.states.get(limits.scope)
        if state is None:
            state = self._begun(limits.scope)
        if limits.in_flight and state.in_flight >= limits.in_flight:
            return self._away(limits, 0)
        if rate is not None:
            wait = self._bucket(state, rate, tenant, given, now).take(rate, now)
            if wait:
                return self._away(limits, wait)
        if limits.in_flight:
            state.in_flight += 1
        return None

    def with_tenant(self, limits: Effective, name: str) -> Effective:
        """Limits of a request, and those of its tenant beside them; to be asked for only where `tenanted`.

        The tenant's come first: who is over them takes nothing from what others share with it.
        """
        tenant = self.plan.tenant(name)
        if not tenant:
            return limits
        in_flight = limits.in_flight or max(one.in_flight for one in tenant)
        return replace(limits, in_flight=in_flight, parts=(*tenant, *(limits.parts or (limits,))))

    def _begun(self, scope: str) -> _State:
        """Count from now on under a scope."""
        state = self.states[scope] = _State()
        if not self.plan.has_scope(scope):
            self.strays.add(scope)
        return state

    def _admit_all(
        self, parts: tuple[Effective, ...], tenant: int, given: Mapping[bytes, bytes], now: int
    ) -> int | None:
        for n, one in enumerate(parts):
            wait = self.admit(one, tenant, given, now)
            if wait is not None:
                for before in parts[:n]:
                    self._take_back(before, tenant, given, now)
                return wait
        return None

    def _take_back(self, limits: Effective, tenant: int, given: Mapping[bytes, bytes], now: int) -> None:
        """A request that was let in under these limits is turned away by others: it never was."""
        rate = limits.rate
        if rate is not None:
            bucket = self._bucket(self.states[limits.scope], rate, tenant, given, now)
            bucket.tokens = min(float(rate.burst), bucket.tokens + 1.0)
        self.done(limits)

    def done(self, limits: Effective) -> None:
        """A request that was let in under these limits is over."""
        if limits.parts:
            for one in limits.parts:
                self.done(one)
            return
        if not limits.in_flight:
            return
        state = self.states[limits.scope]
        state.in_flight -= 1
        if not state.in_flight and not self.plan.has_scope(limits.scope):
            del self.states[limits.scope]

    def take_over(self, plan: Plan | Narrow) -> None:
        """Put another plan in force; buckets and counts of what it still names go on.

        Where the plan came from the one in force, by changes, only what these took away is looked at.
        """
        gone = _gone(self.plan, plan)
        if gone is None:
            gone = {*self.states, *self.turned_away}
        self.plan = plan
        self.tenanted = plan.tenanted
        for scope in gone | self.strays:
            if plan.has_scope(scope):
                self.strays.discard(scope)
            else:
                self._forget(scope)

    def _forget(self, scope: str) -> None:
        """Count no longer under a scope, but for requests that are still in flight under it."""
        self.strays.discard(scope)
        self.turned_away.pop(scope, None)
        state = self.states.get(scope)
        if state is not None and not state.in_flight:
            del self.states[scope]

    def _bucket(
        self, state: _State, rate: Rate, tenant: int, given: Mapping[bytes, bytes], now: int
    ) -> _Bucket:
        by = (rate.header, rate.tenant)
        if state.by != by:
            # Keys of another kind: what was saved up under them tells nothing of these.
            state.by = by
            state.buckets.clear()
            state.others = None
        # By hash: a value may be as long as a head.
        key = tenant if rate.tenant else hash(given.get(rate.header)) if rate.header else 0
        buckets = state.buckets
        bucket = buckets.get(key)
        if bucket is not None:
            return bucket
        if len(buckets) >= rate.most_keys:
            # Only what has filled up again may be forgotten. It is looked for among those that were looked at
            # longest ago, a few for each new key: a key that is known costs no bookkeeping.
            for _ in range(LOOKED_AT):
                old = next(iter(buckets))
                one = buckets.pop(old)
                if not one.full(rate, now):
                    buckets[old] = one
                elif len(buckets) < rate.most_keys:
                    break
            if len(buckets) >= rate.most_keys:
                if state.others is None:
                    state.others = _Bucket(float(rate.burst), now)
                return state.others
        bucket = buckets[key] = _Bucket(float(rate.burst), now)
        return bucket

    def _away(self, limits: Effective, wait: int) -> int:
        """Count one that is turned away; when it may come back, spread out so that not all come together."""
        count = self.turned_away.get(limits.scope, 0)
        if not count and not self.plan.has_scope(limits.scope):
            self.strays.add(limits.scope)
        self.turned_away[limits.scope] = count + 1
        if not self.max_retry_after:
            return 0
        if limits.retry_after is not None:
            least, most = limits.retry_after
        else:
            least, most = 0, self.max_retry_after
            most = min(most, max(2 * wait, wait + SECOND))
        begin = min(max(least, wait), most)
        return max(MS, begin + int(self.random.random() * (most - begin)))
