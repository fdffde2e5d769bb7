"""Rejections of a single tenant: they do not count as load, and exclude the server for that tenant.

A server may reject a tenant quickly for reasons other than load: a quota, a lock, a release that does not
know the tenant. If that counted as overload, requests of all tenants would be shed, and the request would not
be sent to servers that accept it. The distinction is wrong if one tenant's requests are too much for a server
that has capacity for those of the others.
"""

from __future__ import annotations

from .outlier_shares import OutlierShares
from .units import SECOND

__all__ = ["TENANT_EXCLUSION_NS", "TenantRejections"]

# The weight of one response in a tenant's moving share of rejections.
REJECTION_WEIGHT = 0.05
# Rejections concern a tenant alone if its share is above MIN_REJECTION_RATE and above MIN_REJECTION_RATIO
# times the median of the other tenants.
MIN_REJECTION_RATE = 0.2
MIN_REJECTION_RATIO = 3.0
# How long (ns) a server that rejects a tenant is excluded for that tenant.
TENANT_EXCLUSION_NS = 4 * SECOND


class TenantRejections:
    """The share of responses that are rejections, by tenant.

    Parameters
    ----------
    tenants
        The number of tenants, which are numbered from 0.
    """

    __slots__ = ("shares",)

    def __init__(self, tenants: int) -> None:
        self.shares = OutlierShares(tenants)

    def observe(self, tenant: int, rejected: bool) -> bool:
        """Record a response; True if it is a rejection that concerns this tenant alone."""
        shares = self.shares
        if tenant >= shares.count:
            return False
        share = shares.update(tenant, float(rejected), REJECTION_WEIGHT)
        if not rejected or share <= MIN_REJECTION_RATE or shares.count < 2:
            return False
        return share > MIN_REJECTION_RATIO * shares.median_of_others(tenant)
