"""Cost of tenants: in the configuration of a node, and their rate-limit buckets."""

from __future__ import annotations

from hollybay.balancing import Balancer
from hollybay.hollow.meter import metered
from hollybay.proxy.config import settings_from_json
from hollybay.routing.admission_control import AdmissionControl
from hollybay.routing.limits import EffectiveLimits
from hollybay.routing.policy_compiler import compile_file
from hollybay.units import SECOND

from . import samples
from .measurement import Figures

__all__ = ["buckets", "named"]

# most_keys is the largest permitted value, so that each tenant has its own bucket.
LIMITS = "limits = { rate = { per_second = 10, burst = 10, by = 'tenant', most_keys = 1000000 } }\n"


def named(size: int) -> Figures:
    """Read `size` tenants from the configuration of a node, and create the decision module with them."""
    configuration = _configuration(size)
    with metered(memory=True) as spent:
        settings = settings_from_json(configuration)
        balancer = Balancer(settings, 1, SECOND)
    assert len(balancer.settings.tenants) == size
    return Figures({"cpu_s": spent.cpu_s, "memory_kb": spent.memory / 1024}, spent)


def buckets(size: int) -> Figures:
    """Create the buckets of `size` tenants at one route, by one request of each."""
    file = f"[[route]]\nname = 'r'\npath.prefix = '/{samples.CLASS}/x'\n{LIMITS}"
    plan = compile_file(file, samples.settings())
    gate = AdmissionControl(plan, 1, 0)
    limits = plan.resolve(b"GET", f"/{samples.CLASS}/x".encode(), {})
    assert isinstance(limits, EffectiveLimits)
    with metered(memory=True) as spent:
        for tenant in range(size):
            gate.admit(limits, tenant, {}, SECOND + tenant)
    return Figures({"cpu_s": spent.cpu_s, "memory_kb": spent.memory / 1024}, spent)


def _configuration(size: int) -> dict[str, object]:
    return {
        "balancers": 2,
        "zones": ["a"],
        "kinds": ["m"],
        "categories": [{"name": samples.CLASS, "effect": "retryable", "slo": SECOND, "give-up": 2 * SECOND}],
        "tenants": [
            {"name": tenant.name, "share": tenant.share, "allowance-per-s": tenant.allowance}
            for tenant in samples.tenants(size)
        ],
    }
