"""Load reports between nodes: encoding, expiry, exchange over UDP, and their use by the balancer."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.gossip import LoadReport, LocalLoad, RemoteLoad, decode_report, encode_reports
from hollybay.gossip.load_report import MAX_DATAGRAM_BYTES, MAX_ENTRIES, MAX_PARTS, server_hash
from hollybay.proxy.config import ConfigError, PeerFields
from hollybay.proxy.load_reports import PeerAddresses, parse_peer_addresses
from hollybay.routing.policy_compiler import compile_file
from hollybay.routing.problems import OperatorError
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, make_settings
from hollybay.testbed.fake_environment import settings

STATES = st.dictionaries(st.integers(0, 2**32 - 1), st.integers(1, 255), max_size=MAX_PARTS * MAX_ENTRIES)
SERVERS = [f"s-{n}" for n in range(8)]


@given(STATES, st.integers(0, 65535), st.integers(0, 2**32 - 1), st.integers(1, 2**32 - 1))
def test_a_state_round_trips_through_reports(
    state: dict[int, int], node: int, process: int, count: int
) -> None:
    decoded: dict[int, int] = {}
    datagrams = encode_reports(node, process, count, state)
    for part, data in enumerate(datagrams):
        assert len(data) <= MAX_DATAGRAM_BYTES
        report = decode_report(data)
        assert report is not None
        assert (report.node, report.incarnation, report.sequence) == (node, process, count)
        assert (report.part, report.part_count) == (part, len(datagrams))
        decoded |= report.in_flight
    assert decoded == state


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_invalid(data: bytes) -> None:
    assert decode_report(data) is None or data[:3] == b"hb\x01"


@given(STATES, st.data())
def test_a_truncated_or_extended_datagram_is_invalid(state: dict[int, int], data: st.DataObject) -> None:
    whole = encode_reports(1, 2, 3, state)[0]
    assert decode_report(whole[: data.draw(st.integers(0, len(whole) - 1))]) is None
    assert decode_report(whole + b"x") is None


def test_a_state_of_too_many_servers_keeps_those_with_the_most_load() -> None:
    state = {n: 1 + n % 200 for n in range(1000)}
    decoded: dict[int, int] = {}
    for data in encode_reports(1, 1, 1, state):
        report = decode_report(data)
        assert report is not None
        decoded |= report.in_flight
    assert len(decoded) == MAX_PARTS * MAX_ENTRIES
    assert min(decoded.values()) >= max(n for m, n in state.items() if m not in decoded)
    with pytest.raises(ValueError, match="load report of node 70000"):
        encode_reports(70000, 1, 1, state)


def report_of(node: int, process: int, count: int, **in_flight: int) -> LoadReport:
    whole = decode_report(
        encode_reports(node, process, count, {server_hash(f"s-{n[1:]}"): h for n, h in in_flight.items()})[0]
    )
    assert whole is not None
    return whole


def remote_load(nodes: int = 5) -> RemoteLoad:
    remote = RemoteLoad(0, nodes, SECOND)
    remote.set_servers(SERVERS)
    return remote


def test_the_remote_load_is_the_sum_of_the_last_reports() -> None:
    remote = remote_load()
    assert remote.receive(report_of(1, 9, 1, s1=2), 0) == {"s-1": 2}
    assert remote.receive(report_of(2, 9, 1, s1=1, s2=4), 0) == {"s-1": 3, "s-2": 4}
    assert remote.receive(report_of(1, 9, 3), 0) == {"s-1": 1}
    assert remote.receive(report_of(1, 9, 2, s3=7), 0) == {}  # out of order
    assert remote.receive(report_of(1, 9, 3, s3=7), 0) == {}  # duplicate
    assert remote.receive(report_of(0, 9, 1, s3=7), 0) == {}  # from this node itself
    assert remote.receive(report_of(5, 9, 1, s3=7), 0) == {}  # from an unknown node
    assert remote.peer_count == 2 and remote.ignored_reports == 4


def test_the_report_of_a_silent_node_expires() -> None:
    remote = remote_load()
    remote.receive(report_of(1, 9, 1, s1=2), 0)
    remote.receive(report_of(2, 9, 1, s1=1), SECOND // 2)
    assert remote.expire(SECOND - 1) == {}
    assert remote.expire(SECOND) == {"s-1": 1}
    assert remote.peer_count == 1
    # A process that was stopped for a minute discards all reports when it continues.
    assert remote.expire(60 * SECOND) == {"s-1": 0}
    assert remote.peer_count == 0 and not remote.total


def test_reports_of_an_old_incarnation_are_ignored() -> None:
    remote = remote_load()
    remote.receive(report_of(1, 9, 50, s1=2), 0)
    assert remote.receive(report_of(1, 10, 1, s2=1), 10) == {"s-1": 0, "s-2": 1}
    assert remote.receive(report_of(1, 9, 51, s1=2), 20) == {}
    assert remote.total == {server_hash("s-2"): 1}


def test_a_report_in_parts_counts_once_all_have_arrived() -> None:
    remote = RemoteLoad(0, 3, SECOND)
    servers = [f"x{n}" for n in range(MAX_ENTRIES + 5)]
    remote.set_servers(servers)
    parts = [decode_report(data) for data in encode_reports(1, 7, 1, {server_hash(s): 1 for s in servers})]
    first, second = parts
    assert first is not None and second is not None
    assert remote.receive(second, 0) == {}
    assert remote.receive(second, 0) == {}
    assert remote.receive(first, 0) == dict.fromkeys(servers, 1)


def test_load_of_two_servers_with_the_same_hash_is_not_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hollybay.gossip.remote_load.server_hash", lambda server: 1)
    remote = RemoteLoad(0, 3, SECOND)
    remote.set_servers(["a", "b"])
    assert remote.receive(LoadReport(1, 1, 1, 0, 1, {1: 3}), 0) == {}


@given(
    st.lists(
        st.tuples(st.integers(1, 4), st.integers(1, 3), st.integers(1, 9), st.integers(0, 5)), max_size=60
    )
)
def test_the_total_is_always_that_of_the_last_complete_reports(
    steps: list[tuple[int, int, int, int]],
) -> None:
    remote = remote_load()
    seen: dict[object, int] = {}
    for now, (node, process, count, n) in enumerate(steps):
        seen |= remote.receive(report_of(node, process, count, **({"s1": n} if n else {})), now * SECOND // 4)
        total: Counter[int] = Counter()
        for peer in remote.peers.values():
            total.update(peer.in_flight)
        assert total == remote.total and all(v > 0 for v in total.values())
        assert seen.get("s-1", 0) == total[server_hash("s-1")]


def test_a_change_is_reported_at_once_and_the_state_at_each_interval() -> None:
    local = LocalLoad(SECOND // 2)
    assert local.is_due(0) and local.begin_report(0) == {}
    assert not local.is_due(SECOND // 2 - 1) and local.is_due(SECOND // 2)
    local.attempt_started("s-1")
    local.attempt_started("s-1")
    local.attempt_finished("s-1")
    assert local.is_due(1) and local.begin_report(1) == {server_hash("s-1"): 1}
    local.attempt_finished("s-1")
    assert local.begin_report(2) == {} and local.sequence == 3


def test_addresses_are_rejected_by_field() -> None:
    good = PeerFields(peers=["127.0.0.1:1", "127.0.0.2:1"], peer_listen="127.0.0.1:1")
    assert parse_peer_addresses(good, 2) == (("127.0.0.1", 1), [("127.0.0.1", 1), ("127.0.0.2", 1)])
    for bad, field in (
        (replace(good, peers=None), "peers"),
        (replace(good, peers=["127.0.0.1:1"]), "peers"),
        (replace(good, peers=["127.0.0.1:1", 7]), "peers"),
        (replace(good, peer_listen=None), "peer_listen"),
    ):
        with pytest.raises(ConfigError, match=field):
            parse_peer_addresses(bad, 2)


def test_an_operator_file_whose_reports_expire_too_soon_is_rejected() -> None:
    found = compile_file(b'[peers]\nevery = "1s"\nforget = "2s"\n', make_settings()).peers
    assert found is not None and (found.every, found.forget) == (SECOND, 2 * SECOND)
    assert compile_file(b"", make_settings()).peers is None
    with pytest.raises(OperatorError, match=r"\[peers\]: forget = 1500000000: must be at least twice"):
        compile_file(b'[peers]\nevery = "1s"\n', make_settings())
    with pytest.raises(OperatorError, match="unknown key; the nearest known one is 'every'"):
        compile_file(b'[peers]\nevry = "1s"\n', make_settings())


def node_run(folder: Path, operator: str, **changes: object) -> subprocess.CompletedProcess[str]:
    """Start a node process with this operator file and configuration, and wait until it exits."""
    (folder / "operator.toml").write_text(operator)
    config = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "limits": {},
        "settings": settings(2),
        **changes,
    }
    (folder / "config.json").write_text(json.dumps(config))
    environ = {
        **os.environ,
        "BALANCER_CONFIG": str(folder / "config.json"),
        "HOLLYBAY_OPERATOR": str(folder / "operator.toml"),
    }
    command = [sys.executable, "-m", "hollybay.proxy"]
    return subprocess.run(command, env=environ, capture_output=True, text=True, timeout=60, check=False)


def test_a_node_without_usable_addresses_for_reports_does_not_start(tmp_path: Path) -> None:
    cases: tuple[tuple[dict[str, object], str], ...] = (
        ({}, "peers: no list of 2 addresses"),
        ({"peers": ["127.0.0.1:1", "127.0.0.1:2"]}, "peer_listen: 'None' is no address"),
        ({"settings": settings(2, caps={"peers": False})}, "settings.caps.peers: false"),
        (
            {"peers": ["127.0.0.1:1", "127.0.0.1:2"], "peer_listen": "192.0.2.1:9"},
            "peer_listen: 192.0.2.1:9: ",
        ),
    )
    for number, (changes, why) in enumerate(cases):
        folder = tmp_path / str(number)
        folder.mkdir()
        done = node_run(folder, "[peers]\n", **changes)
        assert done.returncode == 2 and why in done.stderr, done.stderr
        assert "Traceback" not in done.stderr


def test_without_a_peers_table_its_modules_are_not_imported() -> None:
    code = (
        "import sys, hollybay.proxy.__main__ as m\n"
        "from hollybay.routing.policy_compiler import compile_file\n"
        "from hollybay.testbed.balancer_harness import make_settings\n"
        "assert compile_file(b'', make_settings()).peers is None\n"
        "mine = ('hollybay.gossip', 'hollybay.proxy.load_reports')\n"
        "sys.exit(any(name.startswith(mine) for name in sys.modules))"
    )
    root = Path(__file__).resolve().parent.parent
    assert subprocess.run([sys.executable, "-c", code], cwd=root, check=False).returncode == 0


# The balancer

READ = (api.RequestClass("r", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)


def harness_with_peers(nodes: int = 40) -> BalancerHarness:
    node = BalancerHarness(make_settings(classes=READ, zones=1, kinds=1, nodes=nodes))
    node.tell(tuple(api.Server(b"s%d" % n, weight=1.0) for n in range(4)))
    return node


def test_a_node_with_peer_load_selects_only_servers_idle_at_all_nodes() -> None:
    node = harness_with_peers()
    node.give(api.PeerLoad({b"s0": 1, b"s1": 2, b"s3": 1}, 39))
    node.run_to(node.now + SECOND)  # a review: every node may now select any idle server
    for rid in range(5):
        node.ask(rid)
        assert node.requests[rid].attempts[0].server == b"s2"
        node.run_to(node.now + 20 * MS)
        node.answer(rid, 0)
    node.give(api.PeerLoad({b"s1": 0}, 39))
    node.ask(10)
    node.ask(11)
    assert {node.requests[rid].attempts[0].server for rid in (10, 11)} == {b"s1", b"s2"}
    assert node.balancer.servers[b"s1"].in_flight == 1


def test_without_peers_selection_is_unchanged() -> None:
    node = harness_with_peers()
    node.give(api.PeerLoad({b"s0": 3}, 39))
    node.give(api.PeerLoad({b"s0": 0, b"gone": 2}, 0))
    node.run_to(node.now + SECOND)
    assert sum(s.in_idle_index for s in node.balancer.servers.values()) < 4
    assert all(not s.in_flight and not s.peer_in_flight for s in node.balancer.servers.values())


def test_load_of_peers_and_own_load_are_counted_separately() -> None:
    node = harness_with_peers()
    rng = random.Random(3)
    peer_load = dict.fromkeys((b"s0", b"s1", b"s2", b"s3"), 0)
    own: Counter[object] = Counter()
    pending: list[int] = []
    for rid in range(300):
        if rng.random() < 0.5:
            server = rng.choice(list(peer_load))
            peer_load[server] = rng.randrange(4)
            node.give(api.PeerLoad({server: peer_load[server]}, 39))
        node.ask(rid)
        if node.requests[rid].attempts:
            own[node.requests[rid].attempts[0].server] += 1
            pending.append(rid)
        if pending and rng.random() < 0.6:
            done = pending.pop(0)
            node.answer(done, 0)
            own[node.requests[done].attempts[0].server] -= 1
        for name, s in node.balancer.servers.items():
            assert (s.in_flight, s.peer_in_flight) == (own[name] + peer_load[name], peer_load[name])  # type: ignore[index]


def test_invalid_datagrams_and_those_of_unknown_peers_are_ignored() -> None:
    asyncio.run(_exchange_with_an_unknown_peer())


async def _exchange_with_an_unknown_peer() -> None:
    from hollybay.proxy.load_reports import LoadReportExchange

    class RecordingNode:
        settings = make_settings(nodes=2, node=0)
        fed: list[api.Event]

        def feed(self, event: api.Event) -> None:
            self.fed.append(event)

    recorder = RecordingNode()
    recorder.fed = []
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_peer,
    ):
        other.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            mine = free.getsockname()
        addresses = PeerAddresses(mine, [mine, other.getsockname()])
        exchange = LoadReportExchange(recorder, addresses, SECOND // 2, 2 * SECOND)  # type: ignore[arg-type]
        try:
            exchange.servers_changed(["s-1"])
            good = encode_reports(1, 5, 1, {server_hash("s-1"): 2})[0]
            unknown_peer.sendto(good, mine)
            for data in (b"", b"x", bytes(400), good[:-1], encode_reports(0, 5, 1, {})[0]):
                other.sendto(data, mine)
            other.sendto(good, mine)
            async with asyncio.timeout(10):
                while not recorder.fed:
                    await asyncio.sleep(0.005)
            assert recorder.fed == [api.PeerLoad({"s-1": 2}, 1)]
            assert exchange.invalid_datagrams == 6
            exchange.attempt_started("s-1")
            other.settimeout(10)
            while True:  # the first report may be the one sent at the start
                report = decode_report(await asyncio.to_thread(other.recv, 300))
                assert report is not None and report.node == 0
                if report.in_flight:
                    break
            assert report.in_flight == {server_hash("s-1"): 1}
        finally:
            exchange.close()
