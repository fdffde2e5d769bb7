"""Plans of cluster runs: all problems are reported at once, with table, key, value and reason."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.cluster.links import LinkState
from hollybay.cluster.plan import compile_plan, machine_limit_exceeded, pairs
from hollybay.routing.problems import OperatorError

ROOT = Path(__file__).resolve().parent.parent
EXPERIMENTS = sorted((ROOT / "experiments").glob("*.toml"))

SPLIT = """
[run]
nodes = 9
servers = 6
[group.west]
of = "nodes"
end = 0.34
[group.east]
of = "nodes"
begin = 0.66
[group.few]
of = "servers"
end = 0.34
[[fault]]
kind = "cut"
between = ["west", "few"]
at = "5s"
lasts = "2s"
[[fault]]
kind = "lag"
between = ["east", "servers"]
by = 0.05
at = "5s"
lasts = "2s"
"""


def problems(text: str) -> list[str]:
    with pytest.raises(OperatorError) as caught:
        compile_plan(text, "p.toml")
    return [str(problem) for problem in caught.value.problems]


def test_there_are_at_least_ten_experiments_and_this_machine_can_run_them() -> None:
    assert len(EXPERIMENTS) >= 10
    for path in EXPERIMENTS:
        plan = compile_plan(path.read_bytes(), str(path))
        assert machine_limit_exceeded(plan) is None, path


def test_groups_and_sides() -> None:
    plan = compile_plan(SPLIT, "split.toml")
    cut, lag = plan.faults
    assert cut.nodes == ("n000", "n001", "n002") and cut.servers == ("s-000", "s-001")
    assert cut.state == LinkState(cut=True) and lag.state == LinkState(lag=0.05)
    assert lag.link == "nodes-servers" and lag.nodes == ("n006", "n007", "n008")
    sides = plan.sides
    assert len(set(sides.values())) == 3 and sides["n000"] != sides["n008"] != sides["n004"]
    drawn = SPLIT.split('[[fault]]\nkind = "lag"')[0].replace("end = 0.34", "end = 0.34\ndrawn = true", 1)
    one, other = (compile_plan(drawn, "p", seed).faults[0].nodes for seed in (1, 2))
    assert len(one) == len(other) == 3 and one != other
    assert compile_plan(drawn, "p", 1).faults[0].nodes == one


def test_an_invalid_plan_is_rejected_with_all_its_problems() -> None:
    text = """
    [run]
    node = 9
    warm = "30s"
    load = 9
    [group.nodes]
    of = "nodes"
    [group.empty]
    of = "servers"
    begin = 0.5
    end = 0.5
    [[fault]]
    kind = "kil"
    at = "1s"
    [[fault]]
    kind = "kill"
    on = "serverz"
    at = "1s"
    [[fault]]
    kind = "stop"
    on = "nodes"
    at = "15s"
    lasts = "9s"
    [[fault]]
    kind = "cut"
    between = ["servers", "clients"]
    at = "1s"
    lasts = "1s"
    [[fault]]
    kind = "lag"
    between = ["nodes", "discovery"]
    at = "1s"
    by = 99
    [[fault]]
    kind = "crash"
    on = "nodes"
    at = "1s"
    [most]
    idle_while_queue = 0.1
    """
    found = problems(text)
    for wanted in (
        "[run]: node = 9: unknown key; the nearest known one is 'nodes'",
        "[run]: load = 9: expected `float` <= 5.0",
        "[run]: warm = 30000000000: is not before the end",
        "[group]: nodes: is the built-in group of all of them",
        "[group.empty]: end = 0.5: is not above begin",
        "[fault 1]: kind = 'kil': unknown kind; the nearest known one is 'kill'",
        "[fault 2]: on = 'serverz': no such group; the nearest known one is 'servers'",
        "[fault 3]: lasts = 24.0: outlasts the run of 20 s",
        "[fault 4]: between = ['servers', 'clients']: unknown link, expected one of nodes-servers",
        "[fault 5]: by = 99.0: must be from 0.0001 to 60: seconds of delay",
        "[fault 5]: lasts: missing: a link fault needs a duration",
        "[fault 6]: on = 'nodes': holds nodes, and 'crash' is for servers",
        "[most]: idle_while_queue = 0.1: unknown figure; the nearest known one is 'idle_while_queued'",
    ):
        assert any(problem.startswith(wanted) for problem in found), (wanted, found)
    assert len(found) == 13


def test_simultaneous_faults_of_one_kind_on_one_target_are_rejected() -> None:
    twice = SPLIT + '\n[[fault]]\nkind = "hold"\nbetween = ["west", "servers"]\nat = "6s"\nlasts = "2s"\n'
    assert problems(twice) == ["[fault 3]: at = 6.0: at the same time as fault 1 on n000"]
    compile_plan(twice.replace('at = "6s"', 'at = "7s"'), "p.toml")


def test_operators_need_an_admin_endpoint() -> None:
    text = '[[fault]]\nkind = "cut"\nbetween = ["operators", "nodes"]\nat = "1s"\nlasts = "1s"\n'
    assert problems(text) == [
        "[fault 1]: between = ['operators', 'nodes']: nodes have no admin endpoint: set [run] door = true"
    ]
    assert compile_plan("[run]\ndoor = true\n" + text, "p").faults[0].link == "operators-nodes"


def test_links_between_nodes_support_only_datagram_faults() -> None:
    text = """
    [run]
    nodes = 4
    talk = true
    [group.west]
    of = "nodes"
    end = 0.5
    [[fault]]
    kind = "lose"
    between = ["west", "nodes"]
    at = "1s"
    lasts = "1s"
    by = 0.5
    """
    plan = compile_plan(text, "p")
    assert plan.faults[0].state == LinkState(lose=0.5)
    assert len(pairs(plan)) == 10 and ("n000", "n001") in pairs(plan) and ("n002", "n003") not in pairs(plan)
    (problem,) = problems(text.replace("talk = true", ""))
    assert "nodes exchange no messages" in problem
    (problem,) = problems(text.replace('"lose"', '"hold"').replace("by = 0.5", ""))
    assert "[fault 1]: kind = 'hold': is not supported for nodes-nodes" in problem
    (problem,) = problems(text.replace('"west", "nodes"', '"west", "servers"'))
    assert "[fault 1]: kind = 'lose': is not supported for nodes-servers" in problem


def test_a_plan_beyond_the_machine_is_rejected_with_the_figure() -> None:
    plan = compile_plan("[run]\nnodes = 200\n", "p")
    assert machine_limit_exceeded(plan, memory_mb=16000, files=20000) is None
    assert machine_limit_exceeded(plan, memory_mb=1000, files=20000) == (
        "200 nodes and the harness need 4660 MiB of memory, 1000 MiB are available"
    )
    reason = machine_limit_exceeded(plan, memory_mb=16000, files=512)
    assert reason is not None and reason.endswith("descriptors, 512 are allowed")


@given(
    st.recursive(
        st.one_of(
            st.integers(), st.floats(), st.text(max_size=5), st.booleans(), st.sampled_from(["5s", "nodes"])
        ),
        lambda inner: st.one_of(
            st.lists(inner, max_size=3),
            st.dictionaries(
                st.sampled_from(["run", "rig", "group", "fault", "most", "nodes", "at", "kind", "of"]), inner
            ),
        ),
        max_leaves=12,
    )
)
def test_any_tables_are_read_or_refused(value: object) -> None:
    def toml(item: object) -> str:
        if isinstance(item, dict):
            return "{" + ", ".join(f"{key} = {toml(inner)}" for key, inner in item.items()) + "}"
        if isinstance(item, list):
            return "[" + ", ".join(map(toml, item)) + "]"
        return str(item).lower() if isinstance(item, bool | int | float) else repr(item)

    text = "\n".join(f"{k} = {toml(v)}" for k, v in value.items()) if isinstance(value, dict) else toml(value)
    try:
        compile_plan(text, "p.toml")
    except OperatorError as error:
        assert error.problems


def test_the_command_rejects_a_bad_plan_with_status_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text('[run]\nnodes = 5\n[[fault]]\nkind = "kill"\non = "nobody"\nat = "1s"\n')
    done = subprocess.run(
        [sys.executable, "-m", "hollybay.cli", "tier", str(path)],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode == 2
    assert "[fault 1]: on = 'nobody': no such group" in done.stdout
    assert "Traceback" not in done.stderr + done.stdout
