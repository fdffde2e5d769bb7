"""Which rejections meet one tenant alone: they say nothing of load, and exclude the server for the tenant.

Servers may reject a tenant for what it is, and fast: a quota, a lock, a release that does not know it. Were
that taken for overload, everybody's work would be shed, and the request would not be tried where it is
accepted. It misleads where one tenant's requests are too much for a server that has capacity for the others.
"""

from __future__ import annotations

from .outlier_shares import OutlierShares
from .units import SECOND

__all__ = ["TENANT_EXCLUSION_NS", "TenantRejections"]

# The weight of one answer in a tenant's moving share of rejections.
REJECTION_WEIGHT = 0.05
# A tenant is rejected for itself where that share is above this value, and this many times the median of the
# other tenants.
MIN_REJECTION_RATE = 0.2
MIN_REJECTION_RATIO = 3.0
# How long (ns) a server that rejects a tenant is left out for it.
TENANT_EXCLUSION_NS = 4 * SECOND


class TenantRejections:
    """The share of answers that are rejections, by tenant.

    Parameters
    ----------
    tenants
        The number of tenants, which are numbered from 0.
    """

    __slots__ = ("shares",)

    def __init__(self, tenants: int) -> None:
        self.shares = OutlierShares(tenants)

    def observe(self, tenant: int, rejected: bool) -> bool:
        """Record an answer; True where it is a rejection that meets this tenant alone."""
        shares = self.shares
        if tenant >= shares.count:
            return False
        share = shares.update(tenant, float(rejected), REJECTION_WEIGHT)
        if not rejected or share <= MIN_REJECTION_RATE or shares.count < 2:
            return False
        return share > MIN_REJECTION_RATIO * shares.median_of_others(tenant)
