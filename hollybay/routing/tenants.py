"""Limits over all requests of a tenant at a node, whatever their route."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from .limits import EffectiveLimits, LimitSettings, Rate
from .schema import TenantTable

__all__ = ["NO_TENANTS", "TENANT_SCOPE", "Tenants", "compile_tenant_limits"]

# Prefix of a tenant's name in the scope of its requests. Route names contain no colon, so that
# scopes do not collide.
TENANT_SCOPE = "tenant:"
NO_CLASS = -1


class Tenants(Protocol):
    """The limits of tenants by name: the part of `Mapping[str, EffectiveLimits]` that policies need."""

    def get(self, name: str, /) -> EffectiveLimits | None:
        """Return the limits of a tenant; None: it has none."""

    def __contains__(self, name: object, /) -> bool: ...
    def __iter__(self) -> Iterator[str]: ...
    def __len__(self) -> int: ...


NO_TENANTS: dict[str, EffectiveLimits] = {}


def compile_tenant_limits(name: str, table: TenantTable) -> EffectiveLimits:
    """Return the limits of a tenant's table, which belong to no class."""
    limits = table.limits
    rate = None
    if limits.rate is not None:
        per_second = float(limits.rate.per_second)
        rate = Rate(per_second, limits.rate.burst or max(1, round(per_second)))
    stated = {"in_flight": limits.in_flight, "rate": rate}
    sources = {key: f"tenant.{name}.limits" for key, value in stated.items() if value is not None}
    return EffectiveLimits(
        f"{TENANT_SCOPE}{name}",
        NO_CLASS,
        request_timeout=0,
        max_body=-1,
        max_in_flight=limits.in_flight or 0,
        rate=rate,
        retry_after=None,
        balancer_limits=None,
        limit_settings=LimitSettings(in_flight=limits.in_flight, rate=rate, sources=sources),
    )
