"""Distribution of the test modules over the workers of pytest-xdist; conftest.py applies it.

In the parallel suite the tests of a module run in order in one worker. Only pure tests are distributed one by
one, as they share no state.
"""

from __future__ import annotations

__all__ = ["LONG", "PURE", "group_of", "start_order"]

# Modules that start whole fleets of real processes, send requests at a rate in real time, or measure
# processor time or lateness. They run one after another in one worker, as two at a time would disturb each
# other's measurements. This group is started before all others, in this order; the modules most sensitive to
# a busy machine come last, when the other workers have less to do.
SERIAL = (
    "test_hollow",
    "test_demo",
    "test_change_stream",
    "test_cluster_faults",
    "test_cluster_consensus",
    "test_handover",
    "test_shutdown",
    "test_capacity",
    "test_event_loop_delay",
    "test_tenants",
    "test_routes_node",
)
# The longest of the other modules, started next.
STARTED_EARLY = ("test_simulation_node", "test_simulation_consensus", "test_planted", "test_soak")
# Modules that use no sockets, no processes and no real time: `make quick` runs these.
PURE = frozenset(
    {
        "test_consensus_core",
        "test_consensus_log_fetch",
        "test_consensus_log",
        "test_consensus_store",
        "test_administrative_drains",
        "test_invalid_changes",
        "test_batch_model",
        "test_admin_requests",
        "test_attempt_tracking",
        "test_balancer",
        "test_balancer_records",
        "test_slow_start_many_nodes",
        "test_balancer_many_nodes",
        "test_group_commit",
        "test_retries",
        "test_import_direction",
        "test_estimates",
        "test_request_limits",
        "test_outlier_shares",
        "test_pending_request",
        "test_resource_plan",
        "test_resource_tables",
        "test_resource_wire",
        "test_resources",
        "test_routing_admission_control",
        "test_routing_file",
        "test_routing_matcher",
        "test_routing_paths",
        "test_routing_policy_intersection",
        "test_rules",
        "test_service_state",
        "test_simulation_oracles",
        "test_slow_start",
        "test_tenant_limits",
        "test_cluster_evenness",
        "test_cluster_records",
    }
)


# Pure modules whose tests share a fixture and therefore run in one worker.
SHARED_FIXTURE = frozenset({"test_import_direction"})
# Pure tests that search for many seconds each: the whole suite runs them, `make quick` does not.
LONG = frozenset(
    {
        "TestQueueMachine::runTest",
        "test_servers_idle_index_and_attempts_agree_after_every_event",
        "test_any_tables_are_read_or_refused",
        "test_an_updated_policy_equals_a_full_compile",
        "test_each_planted_defect_is_found",
        "test_it_agrees_with_looking_at_every_route",
        "test_it_allows_no_more_than_either_and_breaks_no_rule",
        "test_of_ten_thousand_unsafe_files_none_is_accepted",
        "test_routes_that_come_and_go_are_as_if_compiled_at_once",
        "test_the_gate_counts_as_under_whole_compiles",
        "test_the_real_parts_pass_the_search_and_the_search_goes_everywhere",
        "test_the_sum_over_all_nodes_stays_within_budget_and_chance",
        "test_two_routes_of_one_rank_that_take_one_request_are_always_named",
    }
)


def group_of(module: str) -> str | None:
    """Return the group of a module's tests, which run in order in one worker; None: no group."""
    if module in SERIAL:
        return "apart"
    return None if module in PURE - SHARED_FIXTURE else module


def start_order(module: str) -> int:
    """Return the sort key of a module's start: lower values start earlier."""
    first = SERIAL + STARTED_EARLY
    return first.index(module) if module in first else len(first)
