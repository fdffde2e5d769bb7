"""Random settings: each value is used, and nothing depends on the names or values of one deployment."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.proxy.config import settings_from_json
from hollybay.proxy.upstream.pools import DRAIN_GRACE_SHARE
from hollybay.testbed.balancer_harness import MS
from hollybay.testbed.loopback import FakeDiscovery, ScriptedServer, request, running
from hollybay.units import SECOND
from tests.test_rules import walk

NAME = st.text("abcdefghijklmnopqrstuvwxyz0123456789-", min_size=1, max_size=12)
EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
GROUPS = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}


def durations(min_ms: int, max_ms: int) -> st.SearchStrategy[int]:
    """Durations in ns, within bounds in ms."""
    return st.integers(min_ms, max_ms).map(lambda ms: ms * MS)


@st.composite
def classes(draw: st.DrawFn) -> list[dict[str, Any]]:
    names = draw(st.lists(NAME, min_size=1, max_size=6, unique=True))
    categories = []
    for name in names:
        latency_objective = draw(durations(20, 5_000))
        categories.append(
            {
                "name": name,
                "effect": draw(st.sampled_from(sorted(EFFECTS))),
                "slo": latency_objective,
                "give-up": latency_objective + draw(durations(0, 9_000)),
                "worth": draw(st.integers(1, 50)) / 2,
                "group": draw(st.sampled_from(sorted(GROUPS))),
                "window": draw(durations(50, 9_000)),
            }
        )
    return categories


@st.composite
def deployments(draw: st.DrawFn) -> dict[str, Any]:
    nodes = draw(st.integers(1, 300))
    return {
        "balancers": nodes,
        "me": draw(st.integers(0, nodes - 1)),
        "quantum": draw(durations(1, 10)),
        "zones": draw(st.lists(NAME, min_size=1, max_size=4, unique=True)),
        "kinds": draw(st.lists(NAME, min_size=1, max_size=4, unique=True)),
        "categories": draw(classes()),
        "tenants": [
            {"name": name, "share": 0.1, "allowance-per-s": draw(st.integers(1, 90))}
            for name in draw(st.lists(NAME, max_size=5, unique=True))
        ],
        "weights": "live",
        "caps": {
            "most-tries": draw(st.integers(1, 6)),
            "cancel": draw(st.booleans()),
            "may-duplicate": draw(st.booleans()),
            "connect-timeout": draw(durations(50, 900)),
            "conn-idle": draw(durations(1_000, 60_000)),
            "retry-after": True,
            "max-retry-after": draw(durations(100, 9_000)),
        },
        "rules": {
            "drain-grace": draw(durations(150, 5_000)),
            "fall-multiple": draw(st.integers(2, 8)) / 1.0,
            "overload-for": draw(durations(500, 5_000)),
            "cold-share": draw(st.integers(1, 9)) / 10,
            "warm-up": draw(durations(500, 30_000)),
            "must-ask-in": draw(durations(1_000, 30_000)),
        },
        "report": {"via": "piggyback", "fields": draw(st.lists(NAME, max_size=4, unique=True))},
    }


@given(deployments())
@settings(max_examples=60)
def test_each_value_of_the_settings_is_used(given_: dict[str, Any]) -> None:
    parsed = settings_from_json(given_)
    caps, rules = given_["caps"], given_["rules"]
    assert [c.name for c in parsed.classes] == [c["name"] for c in given_["categories"]]
    for cls, line in zip(parsed.classes, given_["categories"], strict=True):
        assert (cls.latency_objective, cls.deadline, cls.priority_weight) == (
            line["slo"],
            line["give-up"],
            line["worth"],
        )
        assert (cls.effect, cls.deduplication_scope, cls.deduplication_window) == (
            EFFECTS[line["effect"]], GROUPS[line["group"]], line["window"],
        )  # fmt: skip
    assert [t.name for t in parsed.tenants] == [t["name"] for t in given_["tenants"]]
    assert [t.allowance for t in parsed.tenants] == [t["allowance-per-s"] for t in given_["tenants"]]
    assert (parsed.nodes, parsed.node, parsed.tick) == (given_["balancers"], given_["me"], given_["quantum"])
    assert (parsed.zones, parsed.kinds) == (len(given_["zones"]), len(given_["kinds"]))
    assert (parsed.max_attempts, parsed.cancel_allowed, parsed.hedging_allowed) == (
        caps["most-tries"], caps["cancel"], caps["may-duplicate"],
    )  # fmt: skip
    assert (parsed.connect_timeout, parsed.idle_timeout) == (caps["connect-timeout"], caps["conn-idle"])
    assert parsed.max_retry_after == caps["max-retry-after"]
    assert (parsed.drain_grace, parsed.overload_multiple) == (rules["drain-grace"], rules["fall-multiple"])
    assert (parsed.overload_window, parsed.cold_share) == (rules["overload-for"], rules["cold-share"])
    assert (parsed.warm_up, parsed.poll_within) == (rules["warm-up"], rules["must-ask-in"])


@given(deployments(), st.integers(0, 2**32))
@settings(max_examples=25)
def test_the_rules_hold_and_names_have_no_effect(given_: dict[str, Any], seed: int) -> None:
    """`walk` asserts the four rules with the values of these settings at every step.

    With other names, the same events lead to the same actions.
    """
    parsed = replace(settings_from_json(given_), zones=2, kinds=3, answer_grace=16 * MS)
    renamed = replace(
        parsed,
        classes=tuple(replace(c, name=f"class {n}") for n, c in enumerate(parsed.classes)),
        tenants=tuple(replace(t, name=f"tenant {n}") for n, t in enumerate(parsed.tenants)),
    )
    assert walk(seed, parsed, steps=60).actions == walk(seed, renamed, steps=60).actions


@given(deployments(), st.integers(0, 2**32))
@settings(max_examples=25)
def test_further_attempts_of_keyed_requests_have_the_end_of_the_window_as_write_deadline(
    given_: dict[str, Any], seed: int
) -> None:
    parsed = replace(settings_from_json(given_), zones=2, kinds=3, answer_grace=16 * MS, max_attempts=4)
    node = walk(seed, parsed, steps=60)
    sends = [action for action in node.actions if isinstance(action, api.Send)]
    for send in sends:
        cls = parsed.classes[node.requests[send.id].cls]
        first = node.requests[send.id].attempts[0].sent
        if cls.effect != api.Effect.KEYED:
            assert send.write_deadline == 0
        elif send.write_deadline:
            last = node.requests[send.id].attempts[-1].sent
            assert (
                first + cls.deduplication_window - parsed.tick
                <= send.write_deadline
                <= last + cls.deduplication_window - parsed.tick
            )


@given(deployments())
@settings(max_examples=5)
def test_a_node_serves_each_class_of_its_settings_and_no_other(
    tmp_path_factory: Any, given_: dict[str, Any]
) -> None:
    """Runs a node over sockets; the parts of the node take their timeouts from the settings."""
    path: Path = tmp_path_factory.mktemp("node") / "c.json"

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(path, FakeDiscovery(), server, settings={**given_, "report": {}}) as node:
            for n, line in enumerate(given_["categories"]):
                method = b"GET" if line["effect"] == "retryable" else b"POST"
                key = b"Idempotency-Key: k\r\n" if line["effect"] == "dedup" else b""
                data = (
                    b"%s /%s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: r-%d\r\n%sX-Time-Left-Ms: 9000\r\n"
                    % (method, line["name"].encode(), n, key)
                    + (b"" if method == b"GET" else b"Content-Length: 0\r\n")
                    + b"\r\n"
                )
                response = await node.ask(data)
                assert response.startswith(b"HTTP/1.1 200 "), response
            names = {line["name"] for line in given_["categories"]}
            for cls in {"view", "send", "book"} - names:
                assert (await node.ask(request(cls))).startswith(b"HTTP/1.1 404 ")
            (endpoint,) = node.dispatcher.pools.endpoints.values()
            node.dispatcher.pools._drain(endpoint)
            assert endpoint.drain_timer is not None
            time_left = endpoint.drain_timer.when() - node.dispatcher.loop.time()
            assert time_left <= DRAIN_GRACE_SHARE * given_["rules"]["drain-grace"] / SECOND + 0.01

    asyncio.run(play())
