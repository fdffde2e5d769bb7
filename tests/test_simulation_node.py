"""The real node under simulation: unchanged code, bytes in memory, time that only the seed moves."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from click.testing import CliRunner

from elderscale.clients import ClientConnection
from elderscale.node import Node
from hollybay.cli import main
from lynxrouter import brain
from lynxrouter import interface as api
from simulation.faults import KINDS, script
from simulation.scene import Played, play_seed, played
from standins.ledger import Final


def test_calm_requests_are_all_served_in_virtual_time() -> None:
    scene, loop = played(1, trouble=False)
    ends = Counter(entry.final for entry in scene.ledger.requests.values())
    assert ends == {Final.SERVED: 240}
    assert scene.ledger.check() and not loop.errors
    assert loop.now > 1000 + 27  # the drain and the rests took their time, on the loop's clock
    assert scene.left_over() == []


@pytest.mark.parametrize("seed", range(8))
def test_crashes_and_drains_break_no_rule(seed: int) -> None:
    scene, loop = played(seed, trouble=True)
    verdict = scene.ledger.check()
    assert verdict, verdict.faults
    assert not loop.errors and scene.left_over() == []
    ends = Counter(entry.final for entry in scene.ledger.requests.values())
    assert ends[Final.SERVED] >= 200 and sum(ends.values()) == 240


def test_one_seed_plays_the_same_and_another_does_not() -> None:
    def figures(seed: int) -> Any:
        scene, loop = played(seed, trouble=True, requests=60)
        finals = [(rid, entry.final, entry.ended) for rid, entry in scene.ledger.requests.items()]
        return loop.trace, loop.steps, finals

    assert figures(3) == figures(3)
    assert figures(3)[0] != figures(4)[0]


def test_the_seam_is_put_back() -> None:
    import time

    from elderscale import system

    played(5, trouble=False, requests=3)
    assert system.monotonic_ns is time.monotonic_ns
    assert system.tcp_socket("127.0.0.1").close() is None


def found(rule: str, seeds: int = 20) -> bool:
    """Whether one of so many seeds finds a rule broken."""
    for seed in range(seeds):
        scene, _ = played(seed, trouble=True)
        if scene.ledger.check().counts[rule]:
            return True
    return False


def test_a_planted_double_send_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(brain, "resend_scope", lambda *args: brain.ANYWHERE)
    assert found("dup")


def test_a_planted_refusal_of_what_may_have_run_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(brain, "may_refuse", lambda *args: True)
    assert found("dup")


def test_a_planted_lost_answer_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClientConnection, "fail", ClientConnection.cut)
    assert found("lost")


def test_a_planted_send_after_a_drain_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    rebuild = brain.Balancer._server_list

    def deaf(self: brain.Balancer, event: api.ServerList) -> None:
        lines = tuple(replace(line, state=api.State.READY) for line in event.servers)
        rebuild(self, replace(event, servers=lines))

    monkeypatch.setattr(brain.Balancer, "_server_list", deaf)
    assert found("drain")


def test_a_planted_leak_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Node, "_forget", lambda self, request: None)
    scene, _ = played(0, trouble=False, requests=5)
    assert "5 requests" in scene.left_over()


def test_a_script_is_drawn_from_its_seed_and_switches_kinds_on_and_off() -> None:
    assert script(5, 6, 4.0) == script(5, 6, 4.0) != script(6, 6, 4.0)
    drawn = [{fault.kind for fault in script(seed, 6, 4.0)} for seed in range(200)]
    assert set().union(*drawn) == set(KINDS)
    assert min(map(len, drawn)) == 1 and max(map(len, drawn)) >= 5
    for seed in range(200):
        faults = script(seed, 6, 4.0, ("crash", "late"))
        assert {fault.kind for fault in faults} <= {"crash", "late"} and faults
        assert all(0 <= fault.at <= 4.0 and 0 <= fault.server < 6 and fault.lasts > 0 for fault in faults)
    with pytest.raises(ValueError, match="no such fault: fire"):
        script(1, 6, 4.0, ("crash", "fire"))


@pytest.mark.parametrize("seed", range(24))
def test_seeds_under_swarms_of_faults_break_no_rule(seed: int) -> None:
    assert play_seed(seed).wrong == ()


def test_the_fixed_seeds_meet_every_kind_of_fault() -> None:
    assert {fault.kind for seed in range(24) for fault in script(seed, 6, 4.0)} == set(KINDS)


def test_the_command_prints_the_seed_the_rule_and_how_to_play_it_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def run(*args: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["simulate", *args])
        return result.exit_code, result.output

    code, said = run("--seeds", "3..4", "--jobs", "2", "--faults", "crash,cut")
    assert code == 0 and "2 seeds" in said and "0 seeds with something wrong" in said
    assert run("--faults", "fire")[0] == 2 and run("--seeds", "4..3")[0] == 2
    wrong = Played(7, ("crash",), 10, "t", ("dup: r-1: an unsafe request ran again",))
    monkeypatch.setattr("concurrent.futures.ProcessPoolExecutor", Inline)
    monkeypatch.setattr("simulation.scene.play_seed", lambda seed, allowed: wrong)
    code, said = run("--seed", "7", "--faults", "crash")
    assert code == 1 and "seed 7: dup: r-1: an unsafe request ran again" in said
    assert "hollybay simulate --seed 7 --faults crash" in said


class Inline:
    """A pool of this process."""

    def __init__(self, *args: object) -> None:
        self.map = map

    def __enter__(self) -> Inline:
        return self

    def __exit__(self, *args: object) -> None:
        """Nothing to end."""
