"""Limits over all requests of a tenant at a node, whatever their route."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from .limits import Effective, Rate, Sourced
from .schema import TenantTable

__all__ = ["NO_TENANTS", "TENANT_SCOPE", "Tenants", "tenant_limits"]

# Before a tenant's name in the scope under which its requests are counted. No route's name has a colon.
TENANT_SCOPE = "tenant:"


class Tenants(Protocol):
    """The limits of tenants, by name; Mapping[str, Effective] is one."""

    def get(self, name: str, /) -> Effective | None: ...
    def __contains__(self, name: object, /) -> bool: ...
    def __iter__(self) -> Iterator[str]: ...
    def __len__(self) -> int: ...


NO_TENANTS: dict[str, Effective] = {}


def tenant_limits(name: str, table: TenantTable) -> Effective:
    """What a tenant's table means; it is of no class."""
    limits = table.limits
    rate = None
    if limits.rate is not None:
        per_second = float(limits.rate.per_second)
        rate = Rate(per_second, limits.rate.burst or max(1, round(per_second)))
    stated = {"in_flight": limits.in_flight, "rate": rate}
    source = {field: f"tenant.{name}.limits" for field, value in stated.items() if value is not None}
    words = Sourced(in_flight=limits.in_flight, rate=rate, source=source)
    return Effective(f"{TENANT_SCOPE}{name}", -1, 0, -1, limits.in_flight or 0, rate, None, None, words)
