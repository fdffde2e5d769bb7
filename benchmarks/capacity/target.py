"""The size expected within two years, and the budgets, as given by the operators."""

from __future__ import annotations

__all__ = [
    "CHANGES_A_DAY",
    "CHANGE_LIMIT_S",
    "CONTROL_BYTES_A_SECOND",
    "CONTROL_CORE_PART",
    "CONTROL_MACHINES",
    "CONTROL_MEMORY_MB",
    "DAY_S",
    "NODES",
    "REPLACED_SERVERS_A_DAY",
    "REQUESTS_A_SECOND",
    "REQUEST_ADDED_MS",
    "ROUTES",
    "SERVERS",
    "SERVICES",
    "START_LIMIT_S",
    "TENANTS",
]

NODES = 2_900
SERVERS = 120_000
SERVICES = 3_400
ROUTES = 110_000
TENANTS = 300_000
REQUESTS_A_SECOND = 2_000_000
REQUEST_ADDED_MS = 1.7  # for 99 in 100 requests

CHANGES_A_DAY = 77_000
CHANGE_LIMIT_S = 3.0  # from the proposal of a change until it is in force everywhere
REPLACED_SERVERS_A_DAY = 48_000
DAY_S = 86_400

# Budget of a node for the control plane.
CONTROL_CORE_PART = 0.011
CONTROL_MEMORY_MB = 64.0
CONTROL_BYTES_A_SECOND = 5_000.0
# Machines reserved for the control plane.
CONTROL_MACHINES = 51
START_LIMIT_S = 10.0
