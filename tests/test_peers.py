"""What nodes say to one another of their load: the form, what counts, and what the module does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.gossip import Held, Own, Saying, parse, word
from hollybay.gossip.load_report import MOST_ENTRIES, MOST_PARTS, SIZE, mark
from hollybay.proxy.config import ConfigError
from hollybay.proxy.load_reports import addresses
from hollybay.routing.problems import OperatorError
from hollybay.routing.route_table import compile_file
from hollybay.testbed.scene import settings
from hollybay.testbed.world import MS, SECOND, Node, make_settings

STATES = st.dictionaries(st.integers(0, 2**32 - 1), st.integers(1, 255), max_size=MOST_PARTS * MOST_ENTRIES)
SERVERS = [f"s-{n}" for n in range(8)]


@given(STATES, st.integers(0, 65535), st.integers(0, 2**32 - 1), st.integers(1, 2**32 - 1))
def test_a_state_comes_through_whole(state: dict[int, int], node: int, process: int, count: int) -> None:
    heard: dict[int, int] = {}
    datagrams = word(node, process, count, state)
    for part, data in enumerate(datagrams):
        assert len(data) <= SIZE
        saying = parse(data)
        assert saying is not None
        assert (saying.node, saying.process, saying.turn) == (node, process, count)
        assert (saying.part, saying.parts) == (part, len(datagrams))
        heard |= saying.held
    assert heard == state


@given(st.binary(max_size=300))
def test_anything_else_is_none_of_these(data: bytes) -> None:
    assert parse(data) is None or data[:3] == b"hb\x01"


@given(STATES, st.data())
def test_a_datagram_that_is_cut_or_longer_says_nothing(state: dict[int, int], data: st.DataObject) -> None:
    whole = word(1, 2, 3, state)[0]
    assert parse(whole[: data.draw(st.integers(0, len(whole) - 1))]) is None
    assert parse(whole + b"x") is None


def test_a_state_of_very_many_servers_keeps_those_with_the_most() -> None:
    state = {n: 1 + n % 200 for n in range(1000)}
    heard: dict[int, int] = {}
    for data in word(1, 1, 1, state):
        saying = parse(data)
        assert saying is not None
        heard |= saying.held
    assert len(heard) == MOST_PARTS * MOST_ENTRIES
    assert min(heard.values()) >= max(n for m, n in state.items() if m not in heard)
    with pytest.raises(ValueError, match="a saying of node 70000"):
        word(70000, 1, 1, state)


def said(node: int, process: int, count: int, **held: int) -> Saying:
    whole = parse(word(node, process, count, {mark(f"s-{n[1:]}"): h for n, h in held.items()})[0])
    assert whole is not None
    return whole


def ears(nodes: int = 5) -> Held:
    held = Held(0, nodes, SECOND)
    held.know(SERVERS)
    return held


def test_what_others_have_is_the_sum_of_what_each_said_last() -> None:
    held = ears()
    assert held.hear(said(1, 9, 1, s1=2), 0) == {"s-1": 2}
    assert held.hear(said(2, 9, 1, s1=1, s2=4), 0) == {"s-1": 3, "s-2": 4}
    assert held.hear(said(1, 9, 3), 0) == {"s-1": 1}
    assert held.hear(said(1, 9, 2, s3=7), 0) == {}  # late
    assert held.hear(said(1, 9, 3, s3=7), 0) == {}  # twice
    assert held.hear(said(0, 9, 1, s3=7), 0) == {}  # this node's own
    assert held.hear(said(5, 9, 1, s3=7), 0) == {}  # nobody's
    assert held.heard == 2 and held.ignored == 4


def test_what_a_silent_node_said_is_over_when_it_is_looked_at() -> None:
    held = ears()
    held.hear(said(1, 9, 1, s1=2), 0)
    held.hear(said(2, 9, 1, s1=1), SECOND // 2)
    assert held.look(SECOND - 1) == {}
    assert held.look(SECOND) == {"s-1": 1}
    assert held.heard == 1
    # A process that was stopped itself for a minute wakes and knows that all it heard is old.
    assert held.look(60 * SECOND) == {"s-1": 0}
    assert held.heard == 0 and not held.total


def test_a_new_process_of_a_node_replaces_the_old_one_whose_words_count_no_more() -> None:
    held = ears()
    held.hear(said(1, 9, 50, s1=2), 0)
    assert held.hear(said(1, 10, 1, s2=1), 10) == {"s-1": 0, "s-2": 1}
    assert held.hear(said(1, 9, 51, s1=2), 20) == {}
    assert held.total == {mark("s-2"): 1}


def test_a_state_in_parts_counts_once_all_have_come() -> None:
    held = Held(0, 3, SECOND)
    servers = [f"x{n}" for n in range(MOST_ENTRIES + 5)]
    held.know(servers)
    parts = [parse(data) for data in word(1, 7, 1, {mark(s): 1 for s in servers})]
    first, second = parts
    assert first is not None and second is not None
    assert held.hear(second, 0) == {}
    assert held.hear(second, 0) == {}
    assert held.hear(first, 0) == dict.fromkeys(servers, 1)


def test_two_servers_with_one_mark_are_told_of_neither(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hollybay.gossip.remote_load.mark", lambda server: 1)
    held = Held(0, 3, SECOND)
    held.know(["a", "b"])
    assert held.hear(Saying(1, 1, 1, 0, 1, {1: 3}), 0) == {}


@given(
    st.lists(
        st.tuples(st.integers(1, 4), st.integers(1, 3), st.integers(1, 9), st.integers(0, 5)), max_size=60
    )
)
def test_the_total_is_always_that_of_the_last_whole_states(steps: list[tuple[int, int, int, int]]) -> None:
    held = ears()
    seen: dict[object, int] = {}
    for now, (node, process, count, n) in enumerate(steps):
        seen |= held.hear(said(node, process, count, **({"s1": n} if n else {})), now * SECOND // 4)
        total: Counter[int] = Counter()
        for peer in held.peers.values():
            total.update(peer.held)
        assert total == held.total and all(v > 0 for v in total.values())
        assert seen.get("s-1", 0) == total[mark("s-1")]


def test_a_node_says_what_changed_at_once_and_its_state_now_and_then() -> None:
    own = Own(SECOND // 2)
    assert own.due(0) and own.say(0) == {}
    assert not own.due(SECOND // 2 - 1) and own.due(SECOND // 2)
    own.began("s-1")
    own.began("s-1")
    own.ended("s-1")
    assert own.due(1) and own.say(1) == {mark("s-1"): 1}
    own.ended("s-1")
    assert own.say(2) == {} and own.count == 3


def test_addresses_are_refused_by_field() -> None:
    good = {"peers": ["127.0.0.1:1", "127.0.0.2:1"], "peer_listen": "127.0.0.1:1"}
    assert addresses(good, 2) == (("127.0.0.1", 1), [("127.0.0.1", 1), ("127.0.0.2", 1)])
    for changes, field in (
        ({"peers": None}, "peers"),
        ({"peers": ["127.0.0.1:1"]}, "peers"),
        ({"peers": ["127.0.0.1:1", 7]}, "peers"),
        ({"peer_listen": None}, "peer_listen"),
    ):
        with pytest.raises(ConfigError, match=field):
            addresses(good | changes, 2)


def test_an_operator_file_whose_words_would_be_over_at_once_is_refused() -> None:
    found = compile_file(b'[peers]\nevery = "1s"\nforget = "2s"\n', make_settings()).peers
    assert found is not None and (found.every, found.forget) == (SECOND, 2 * SECOND)
    assert compile_file(b"", make_settings()).peers is None
    with pytest.raises(OperatorError, match=r"\[peers\]: forget = 1500000000: is under twice"):
        compile_file(b'[peers]\nevery = "1s"\n', make_settings())
    with pytest.raises(OperatorError, match="unknown key; the nearest known one is 'every'"):
        compile_file(b'[peers]\nevry = "1s"\n', make_settings())


def node_run(folder: Path, operator: str, **changes: object) -> subprocess.CompletedProcess[str]:
    """The node's own start, with this operator file and configuration."""
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
    words = [sys.executable, "-m", "hollybay.proxy"]
    return subprocess.run(words, env=environ, capture_output=True, text=True, timeout=60, check=False)


def test_a_node_that_cannot_hear_or_be_heard_does_not_start(tmp_path: Path) -> None:
    for number, (changes, why) in enumerate(
        (
            ({}, "peers: no list of 2 addresses"),
            ({"peers": ["127.0.0.1:1", "127.0.0.1:2"]}, "peer_listen: 'None' is no address"),
            ({"settings": settings(2, caps={"peers": False})}, "settings.caps.peers: false"),
            (
                {"peers": ["127.0.0.1:1", "127.0.0.1:2"], "peer_listen": "192.0.2.1:9"},
                "peer_listen: 192.0.2.1:9: ",
            ),
        )
    ):
        folder = tmp_path / str(number)
        folder.mkdir()
        done = node_run(folder, "[peers]\n", **changes)
        assert done.returncode == 2 and why in done.stderr, done.stderr
        assert "Traceback" not in done.stderr


def test_a_node_without_the_table_imports_nothing_of_it() -> None:
    code = (
        "import sys, hollybay.proxy.__main__ as m\n"
        "from hollybay.routing.route_table import compile_file\n"
        "from hollybay.testbed.world import make_settings\n"
        "assert compile_file(b'', make_settings()).peers is None\n"
        "mine = ('hollybay.gossip', 'hollybay.proxy.load_reports')\n"
        "sys.exit(any(name.startswith(mine) for name in sys.modules))"
    )
    root = Path(__file__).resolve().parent.parent
    assert subprocess.run([sys.executable, "-c", code], cwd=root, check=False).returncode == 0


# The module

READ = (api.RequestClass("r", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)


def talking(nodes: int = 40) -> Node:
    node = Node(make_settings(classes=READ, zones=1, kinds=1, nodes=nodes))
    node.tell(tuple(api.Server(b"s%d" % n, weight=1.0) for n in range(4)))
    return node


def test_a_node_that_hears_the_others_takes_only_servers_that_are_idle_for_all() -> None:
    node = talking()
    node.give(api.PeerLoad({b"s0": 1, b"s1": 2, b"s3": 1}, 39))
    node.run_to(node.now + SECOND)  # a review: every node takes any idle server now
    for rid in range(5):
        node.ask(rid)
        assert node.books[rid].attempts[0].server == b"s2"
        node.run_to(node.now + 20 * MS)
        node.answer(rid, 0)
    node.give(api.PeerLoad({b"s1": 0}, 39))
    node.ask(10)
    node.ask(11)
    assert {node.books[rid].attempts[0].server for rid in (10, 11)} == {b"s1", b"s2"}
    assert node.balancer.servers[b"s1"].held == 1


def test_without_others_it_goes_on_as_before() -> None:
    node = talking()
    node.give(api.PeerLoad({b"s0": 3}, 39))
    node.give(api.PeerLoad({b"s0": 0, b"gone": 2}, 0))
    node.run_to(node.now + SECOND)
    assert sum(s.listed for s in node.balancer.servers.values()) < 4
    assert all(not s.held and not s.others for s in node.balancer.servers.values())


def test_what_others_have_and_its_own_are_counted_apart() -> None:
    node = talking()
    chance = random.Random(3)
    others = dict.fromkeys((b"s0", b"s1", b"s2", b"s3"), 0)
    own: Counter[object] = Counter()
    open_: list[int] = []
    for rid in range(300):
        if chance.random() < 0.5:
            server = chance.choice(list(others))
            others[server] = chance.randrange(4)
            node.give(api.PeerLoad({server: others[server]}, 39))
        node.ask(rid)
        if node.books[rid].attempts:
            own[node.books[rid].attempts[0].server] += 1
            open_.append(rid)
        if open_ and chance.random() < 0.6:
            done = open_.pop(0)
            node.answer(done, 0)
            own[node.books[done].attempts[0].server] -= 1
        for name, s in node.balancer.servers.items():
            assert (s.held, s.others) == (own[name] + others[name], others[name])  # type: ignore[index]


def test_nothing_that_arrives_raises_and_nothing_is_taken_from_strangers() -> None:
    asyncio.run(_strangers())


async def _strangers() -> None:
    from hollybay.proxy.load_reports import Peers

    class Heard:
        settings = make_settings(nodes=2, node=0)
        fed: list[api.Event]

        def feed(self, event: api.Event) -> None:
            self.fed.append(event)

    heard = Heard()
    heard.fed = []
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
    ):
        other.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            mine = free.getsockname()
        peers = Peers(heard, mine, [mine, other.getsockname()], SECOND // 2, 2 * SECOND)  # type: ignore[arg-type]
        try:
            peers.listed(["s-1"])
            good = word(1, 5, 1, {mark("s-1"): 2})[0]
            stranger.sendto(good, mine)
            for data in (b"", b"x", bytes(400), good[:-1], word(0, 5, 1, {})[0]):
                other.sendto(data, mine)
            other.sendto(good, mine)
            async with asyncio.timeout(10):
                while not heard.fed:
                    await asyncio.sleep(0.005)
            assert heard.fed == [api.PeerLoad({"s-1": 2}, 1)]
            assert peers.foreign == 6
            peers.began("s-1")
            other.settimeout(10)
            while True:  # the first saying may be the one of its start
                said_ = parse(await asyncio.to_thread(other.recv, 300))
                assert said_ is not None and said_.node == 0
                if said_.held:
                    break
            assert said_.held == {mark("s-1"): 1}
        finally:
            peers.close()
