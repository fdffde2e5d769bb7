"""Attempt tracking with events in unusual orders: late bodies, and servers that are removed meanwhile."""

from __future__ import annotations

from hollybay.balancing import interface as api
from hollybay.testbed.balancer_harness import MS, BalancerHarness, make_settings
from hollybay.testbed.balancer_invariants import record_fault

SERVERS = tuple(api.Server(id=b"s%03d" % number) for number in range(4))


def harness(**changes: object) -> BalancerHarness:
    node = BalancerHarness(make_settings(zones=1, kinds=1, nodes=1, warm_up=0, **changes))
    node.tell(SERVERS)
    return node


def check_records(node: BalancerHarness) -> None:
    fault = record_fault(node.balancer, node.now)
    assert fault is None, fault


# Guards against attempts that count as in flight after their end: idle servers look busy, and requests are
# rejected.
def test_an_upload_to_a_removed_server_is_counted_only_until_it_ends() -> None:
    node = harness()
    for rid in range(20):
        node.ask(rid, 1, body_pending=True)
        sent_to = node.requests[rid].attempts[0].server
        node.tell(tuple(server for server in SERVERS if server.id != sent_to))
        node.give(api.RequestCompleted(rid))
        node.answer(rid, 0)
        node.tell(SERVERS)
        node.run_to(node.now + 100 * MS)
    assert node.balancer.load_shedder.queueing_delay.in_flight == 0
    check_records(node)


# Guards against a completed body that moves another server to a wrong position in the idle index.
def test_a_body_completed_after_its_server_was_deleted_keeps_the_idle_index_consistent() -> None:
    node = harness()
    for rid in range(8):
        node.ask(rid, 1, body_pending=True)
    for left_out in range(len(SERVERS)):
        node.tell(tuple(server for n, server in enumerate(SERVERS) if n != left_out))
        node.give(api.RequestCompleted(2 * left_out))
        check_records(node)
        node.give(api.RequestCompleted(2 * left_out + 1))
        check_records(node)


# Guards against a server that fails uploads before their last byte and still looks idle for the next one.
def test_a_server_that_fails_while_a_body_is_pending_is_not_idle_for_the_next_request() -> None:
    node = harness()
    node.ask(1, 1, body_pending=True)
    failed = node.requests[1].attempts[0].server
    node.answer(1, 0, api.Result.NOT_DELIVERED)
    check_records(node)
    node.sent.clear()
    for rid in range(2, 30):
        node.ask(rid, 1, body_pending=True)
    assert failed not in {server for _, _, server in node.sent}


# Guards against hedging a request whose body is still being received: the hedge cannot be sent and uses up a
# retry.
def test_a_request_whose_body_is_pending_is_not_hedged() -> None:
    node = harness(hedging_allowed=True)
    limits = api.Limits(hedges=1, hedge_delay=30 * MS)
    for rid in range(10):  # requests credit the node's hedge budget
        node.ask(rid)
        node.answer(rid, 0)
    node.ask(20, limits=limits, body_pending=True)
    node.ask(21, limits=limits)
    node.run_to(node.now + 100 * MS)
    assert len(node.requests[20].attempts) == 1
    assert len(node.requests[21].attempts) == 2
