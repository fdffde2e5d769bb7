"""Admission control: rate limits and limits on requests in flight. Time and random seed come from the caller.

Counters are kept by scope (a route's, class's or tenant's name) and outlive a change of the policy. A request
is released under the limits that it was admitted under, even if the policy has been replaced since.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import replace

from hollybay.routing.policy_intersection import PolicyIntersection
from hollybay.units import MS, SECOND

from .compiled_policy import CompiledPolicy
from .limits import EffectiveLimits, Rate
from .token_bucket import TokenBucket

__all__ = ["AdmissionControl"]

# Buckets inspected for eviction when a new key finds the table full.
EVICTION_CANDIDATES = 4


class _ScopeCounters:
    """Requests in flight in one scope, and its token buckets by key."""

    __slots__ = ("buckets", "in_flight", "key_kind", "overflow_bucket")

    def __init__(self) -> None:
        self.in_flight = 0
        self.buckets: dict[int, TokenBucket] = {}
        # Shared by all keys beyond the limit on buckets: otherwise invented keys
        # would evade the rate.
        self.overflow_bucket: TokenBucket | None = None
        # The kind of key: the header's name (b"": no header), and whether the key is the tenant.
        self.key_kind: tuple[bytes, bool] = (b"", False)

    def bucket(self, rate: Rate, tenant: int, headers: Mapping[bytes, bytes], now: int) -> TokenBucket:
        """Return the bucket that a request draws from."""
        key_kind = (rate.header, rate.tenant)
        if self.key_kind != key_kind:
            self._reset(key_kind)
        key = _bucket_key(rate, tenant, headers)
        bucket = self.buckets.get(key)
        if bucket is not None:
            return bucket
        if len(self.buckets) >= rate.max_keys:
            self._evict(rate, now)
        if len(self.buckets) >= rate.max_keys:
            if self.overflow_bucket is None:
                self.overflow_bucket = TokenBucket.full(rate, now)
            return self.overflow_bucket
        bucket = self.buckets[key] = TokenBucket.full(rate, now)
        return bucket

    def _reset(self, key_kind: tuple[bytes, bool]) -> None:
        """Drop all buckets: tokens counted by one kind of key cannot be carried over to another kind."""
        self.key_kind = key_kind
        self.buckets.clear()
        self.overflow_bucket = None

    def _evict(self, rate: Rate, now: int) -> None:
        """Make room for a key by dropping full buckets.

        Inspects up to `EVICTION_CANDIDATES` buckets, those inspected longest ago first; one that is not full
        moves to the end.
        """
        buckets = self.buckets
        for _ in range(EVICTION_CANDIDATES):
            oldest = next(iter(buckets))
            candidate = buckets.pop(oldest)
            if not candidate.is_full(rate, now):
                buckets[oldest] = candidate
            elif len(buckets) < rate.max_keys:
                break


def _bucket_key(rate: Rate, tenant: int, headers: Mapping[bytes, bytes]) -> int:
    if rate.tenant:
        return tenant
    # Only the hash is kept: a header's value may be as long as a request's head.
    return hash(headers.get(rate.header)) if rate.header else 0


class AdmissionControl:
    """Admits or rejects requests under the policy in force.

    Parameters
    ----------
    policy
        The policy in force.
    seed
        Seed of the jitter in Retry-After.
    max_retry_after
        Maximum Retry-After (ns); 0: no Retry-After is sent.
    """

    def __init__(self, policy: CompiledPolicy | PolicyIntersection, seed: int, max_retry_after: int) -> None:
        self.policy: CompiledPolicy | PolicyIntersection = policy
        self.has_tenant_limits = policy.has_tenant_limits
        # Scopes that have counters but are not in the policy in force: requests were admitted under
        # an earlier policy.
        self.orphaned_scopes: set[str] = set()
        self.random = random.Random(seed)
        self.max_retry_after = max_retry_after
        self.counters: dict[str, _ScopeCounters] = {}
        self.rejected: dict[str, int] = {}

    def admit(
        self, limits: EffectiveLimits, tenant: int, headers: Mapping[bytes, bytes], now: int
    ) -> int | None:
        """Admit or reject a request; limits with components admit it under all of them, or under none.

        Parameters
        ----------
        limits
            The limits in force for the request.
        tenant
            The tenant's index, -1 if it is not known.
        headers
            The request's headers, names in lower case.
        now
            Monotonic time (ns).

        Returns
        -------
        int or None
            None: admitted, and the caller must call `release` when the request ends. Otherwise the
            Retry-After (ns, 0: none) of the rejection.
        """
        if limits.components:
            return self._admit_all(limits.components, tenant, headers, now)
        rate = limits.rate
        if rate is None and not limits.max_in_flight:
            return None
        counters = self.counters.get(limits.scope)
        if counters is None:
            counters = self._add_counters(limits.scope)
        if limits.max_in_flight and counters.in_flight >= limits.max_in_flight:
            return self._reject(limits, 0)
        if rate is not None:
            wait = counters.bucket(rate, tenant, headers, now).take(rate, now)
            if wait:
                return self._reject(limits, wait)
        if limits.max_in_flight:
            counters.in_flight += 1
        return None

    def with_tenant_limits(self, limits: EffectiveLimits, name: str) -> EffectiveLimits:
        """Combine a request's limits with those of its tenant; call only where `has_tenant_limits`.

        The tenant's limits are checked first, so that a tenant that exceeds them takes nothing from limits
        that it shares with others.
        """
        tenant = self.policy.tenant_limits(name)
        if not tenant:
            return limits
        max_in_flight = limits.max_in_flight or max(limit.max_in_flight for limit in tenant)
        components = (*tenant, *(limits.components or (limits,)))
        return replace(limits, max_in_flight=max_in_flight, components=components)

    def release(self, limits: EffectiveLimits) -> None:
        """End a request that was admitted under these limits."""
        if limits.components:
            for component in limits.components:
                self.release(component)
            return
        if not limits.max_in_flight:
            return
        counters = self.counters[limits.scope]
        counters.in_flight -= 1
        if not counters.in_flight and not self.policy.has_scope(limits.scope):
            del self.counters[limits.scope]

    def replace_policy(self, policy: CompiledPolicy | PolicyIntersection) -> None:
        """Put another policy in force; counters of scopes that it still has are kept.

        If the new policy was derived from the one in force, only the scopes removed since are examined.
        """
        removed = _removed_scopes(self.policy, policy)
        if removed is None:
            removed = {*self.counters, *self.rejected}
        self.policy = policy
        self.has_tenant_limits = policy.has_tenant_limits
        for scope in removed | self.orphaned_scopes:
            if policy.has_scope(scope):
                self.orphaned_scopes.discard(scope)
            else:
                self._drop_scope(scope)

    def _admit_all(
        self,
        components: tuple[EffectiveLimits, ...],
        tenant: int,
        headers: Mapping[bytes, bytes],
        now: int,
    ) -> int | None:
        """Admit a request under all of several limits, or under none."""
        for position, component in enumerate(components):
            wait = self.admit(component, tenant, headers, now)
            if wait is not None:
                for admitted in components[:position]:
                    self._undo(admitted, tenant, headers, now)
                return wait
        return None

    def _undo(self, limits: EffectiveLimits, tenant: int, headers: Mapping[bytes, bytes], now: int) -> None:
        """Revert an admission under these limits after other limits rejected the request."""
        rate = limits.rate
        if rate is not None:
            self.counters[limits.scope].bucket(rate, tenant, headers, now).put_back(rate)
        self.release(limits)

    def _add_counters(self, scope: str) -> _ScopeCounters:
        counters = self.counters[scope] = _ScopeCounters()
        if not self.policy.has_scope(scope):
            self.orphaned_scopes.add(scope)
        return counters

    def _drop_scope(self, scope: str) -> None:
        """Drop the counters of a scope, unless requests are still in flight under it."""
        self.orphaned_scopes.discard(scope)
        self.rejected.pop(scope, None)
        counters = self.counters.get(scope)
        if counters is not None and not counters.in_flight:
            del self.counters[scope]

    def _reject(self, limits: EffectiveLimits, wait: int) -> int:
        """Count a rejection and return its Retry-After (ns, 0: none), with jitter against retry storms.

        Parameters
        ----------
        limits
            The limits that reject the request.
        wait
            The time (ns) until a token is available; 0 where no rate was exceeded.
        """
        count = self.rejected.get(limits.scope, 0)
        if not count and not self.policy.has_scope(limits.scope):
            self.orphaned_scopes.add(limits.scope)
        self.rejected[limits.scope] = count + 1
        if not self.max_retry_after:
            return 0
        if limits.retry_after is not None:
            least, most = limits.retry_after
        else:
            least, most = 0, self.max_retry_after
            most = min(most, max(2 * wait, wait + SECOND))
        earliest = min(max(least, wait), most)
        return max(MS, earliest + int(self.random.random() * (most - earliest)))


def _removed_scopes(
    before: CompiledPolicy | PolicyIntersection, after: CompiledPolicy | PolicyIntersection
) -> set[str] | None:
    """Return scopes that may be missing after a change of policy; None: unknown, so all must be examined."""
    removed: set[str] = set()
    for old in before.policies():
        known = [new.scopes_removed_since(old) for new in after.policies()]
        found = next((scopes for scopes in known if scopes is not None), None)
        if found is None:
            return None
        removed.update(found)
    return removed
