"""Faults between real processes: rules and bounds hold, and each planted defect exceeds its bound.

Each scenario is a separate plan. An incomplete or invalid run is repeated once and never counts as passed.
The bounds are far from the figures of clean runs (docs/DESIGN-evenness.md), so that a busy machine changes no
result.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from hollybay.cluster.harness import HarnessError, run_plan
from hollybay.cluster.plan import compile_plan
from hollybay.cluster.report import Report, report_of

ROOT = Path(__file__).resolve().parent.parent

# A machine that is busy with other tests is late at times; a run beyond these bounds is invalid.
RIG = """
[rig]
late = "150ms"
late_part = 0.04
starved_part = 0.45
"""


def run_of(nodes: int, seconds: float = 9.0, servers: int = 12, **more: object) -> str:
    words = {"seconds": f"{seconds}s", "warm": "2s", "nodes": nodes, "servers": servers, "load": 0.6} | more
    lines = "".join(f"{k} = {str(v).lower() if isinstance(v, bool) else repr(v)}\n" for k, v in words.items())
    return f"[run]\n{lines}{RIG}"


def group(label: str, of: str, begin: float, end: float) -> str:
    return f'[group.{label}]\nof = "{of}"\nbegin = {begin}\nend = {end}\n'


def fault(kind: str, at: str, lasts: str = "0ms", **more: object) -> str:
    rest = "".join(f"{k} = {v!r}\n" for k, v in more.items())
    return f'[[fault]]\nkind = "{kind}"\nat = "{at}"\nlasts = "{lasts}"\n{rest}'


async def _run_valid(text: str, seed: int = 1, defect: str = "") -> Report:
    why: object = None
    for _ in range(2):
        try:
            report = report_of(await run_plan(compile_plan(text, "scene", seed), defect=defect))
        except HarnessError as error:
            why = error
            continue
        if report.trusted:
            return report
        why = report.reasons
    raise AssertionError(f"invalid run, twice: {why}")


def run_all(*texts: str, defects: tuple[str, ...] = ()) -> list[Report]:
    """Run these plans concurrently."""

    async def all_of() -> list[Report]:
        names = defects or ("",) * len(texts)
        return await asyncio.gather(*(_run_valid(t, defect=d) for t, d in zip(texts, names, strict=True)))

    return asyncio.run(all_of())


def check_rules(report: Report) -> None:
    assert not any(report.rules.values()), (report.rules, report.faults)
    assert report.figures["failed"] <= 0.01, report.classes


def test_200_nodes_of_which_seven_in_ten_die_at_once_and_come_back() -> None:
    text = run_of(200, 13.0, 24) + group("doomed", "nodes", 0.3, 1.0)
    (report,) = run_all(text + fault("kill", "4s", "4s", on="doomed"))
    check_rules(report)
    assert report.nodes == 200 and report.up_seconds < 10.0
    figures = report.figures
    assert figures["settle_s"] <= 5.0
    assert figures["unused_over_chance"] < 4.0 and figures["work_by_server_cv"] < 0.4
    assert figures["herd_over_chance"] < 2.0 and figures["refused"] < 0.1
    assert report.excused["killed"] > 0


def test_hard_cases_of_nodes() -> None:
    """A tenth stopped and resumed; nodes each cut from a third of the servers; one with 8 times the mean."""
    thirds = "".join(
        group(f"{who}-{n}", who, n / 3, (n + 1) / 3) for n in range(3) for who in ("nodes", "servers")
    )
    cuts = "".join(fault("cut", "3500ms", "2500ms", between=[f"nodes-{n}", f"servers-{n}"]) for n in range(3))
    stopped, split, heavy = run_all(
        run_of(20) + group("tenth", "nodes", 0.0, 0.1) + fault("stop", "3s", "3s", on="tenth"),
        run_of(12) + thirds + cuts,
        run_of(20, uneven=8.0),
    )
    for report in (stopped, split, heavy):
        check_rules(report)
        assert report.figures["unused_over_chance"] < 4.0
    assert stopped.excused["stopped"] > 0
    assert heavy.figures["refused"] < 0.1 and heavy.figures["work_by_server_cv"] < 0.6


def test_hard_cases_of_lists_and_servers() -> None:
    """Lists 3 s late at half of the nodes while servers crash and restart; a slow server; cold servers."""
    behind = group("behind", "nodes", 0.0, 0.5) + group("lost", "servers", 0.0, 0.2)
    late = fault("lists-late", "2500ms", "6s", on="behind", by=3.0) + fault("crash", "3s", "2s", on="lost")
    slow_ = group("slow", "servers", 0.0, 0.1) + fault("slow", "2s", "6500ms", on="slow", by=4.0)
    new_ = group("new", "servers", 0.0, 0.2) + fault("absent", "0ms", "3s", on="new")
    lists, slow, new = run_all(run_of(16) + behind + late, run_of(16) + slow_, run_of(40) + new_)
    for report in (lists, slow, new):
        check_rules(report)
    assert lists.figures["share_s"] < 3.0 and new.figures["share_s"] < 3.0
    assert slow.figures["refused"] < 0.15


def test_clients_that_stay_with_neighbours_and_a_wrong_number_of_nodes() -> None:
    dying = group("third", "nodes", 0.0, 0.34) + fault("kill", "3s", "3s", on="third")
    links = group("west", "nodes", 0.0, 0.3) + group("south", "servers", 0.0, 0.3)
    links += fault("lag", "2500ms", "1s", between=["west", "servers"], by=0.02)
    links += fault("reset", "4s", "500ms", between=["west", "south"])
    links += fault("hold", "5s", "700ms", between=["clients", "west"])
    links += fault("cut", "3s", "3s", between=["nodes", "discovery"])
    links += fault("lose-down", "5s", "2500ms", between=["operators", "west"])
    wrong = run_of(30, 14.0, configured=10)
    bad, moved, few, told = run_all(
        run_of(12, door=True) + links,
        run_of(15, move="neighbour") + dying,
        wrong,
        wrong,
        defects=("", "", "", "configured-only"),
    )
    for report in (moved, few, bad):
        check_rules(report)
    # Operators get a response from every node that they are not cut off from, and from the others later.
    # (503: not ready, because discovery does not respond or the node drains at the end.)
    assert bad.door["200"] >= 12 * 5 and 4 <= bad.door["0"] <= 20 and set(bad.door) <= {"0", "200", "503"}
    # Once servers report the load of all nodes, the configured number of nodes has no effect.
    assert few.figures["unused_over_chance"] < 4.0
    assert few.figures["idle_while_queued"] < 0.24 < told.figures["idle_while_queued"]


def test_nodes_that_exchange_load_reports_leave_nothing_idle_even_when_most_die() -> None:
    dying = group("doomed", "nodes", 0.3, 1.0) + fault("kill", "4s", on="doomed")
    killed_ = run_of(40, 13.0, talk=True) + dying
    lost_ = run_of(16, 10.0, talk=True) + group("west", "nodes", 0.0, 0.5) + group("east", "nodes", 0.5, 1.0)
    lost_ += fault("lose", "2s", "3s", between=["west", "east"], by=0.7)
    lost_ += fault("cut", "5s", "3s", between=["west", "east"])
    alone, told, killed, kept, lost, few = run_all(
        run_of(40),
        run_of(40, talk=True),
        killed_,
        killed_,
        lost_,
        run_of(30, talk=True, connections=8),
        defects=("", "", "", "keeps-shares", "", ""),
    )
    for report in (alone, told, killed, lost):
        check_rules(report)
    # More nodes than connections of a server: 0.25 were rejected when all nodes used the fastest server.
    assert not any(few.rules.values()) and few.figures["refused"] < 0.16, (few.faults, few.figures)
    # With most load reports lost, or those of half of the nodes, it is no worse than without load reports.
    assert lost.figures["idle_while_queued"] < 0.2 and lost.figures["unused_over_chance"] < 4.0
    assert told.figures["idle_while_queued"] < 0.05 < alone.figures["idle_while_queued"]
    assert told.figures["refused"] < 0.2  # 0.0003 on a free machine, 0.04 on a busy one
    # The last report of a dead node counts for 1.5 s, and indefinitely with the defect planted.
    after = [[part for at, part in r.series if 6.0 <= at < 12.5] for r in (killed, kept)]
    sound, defect = (sum(parts) / len(parts) for parts in after)
    assert sound < 0.03 < defect, (sound, defect)
    assert killed.figures["settle_s"] <= 5.0


def test_each_planted_defect_is_seen_by_its_oracle_and_none_in_the_sound_tier() -> None:
    back = group("lost", "servers", 0.0, 0.2) + fault("crash", "2500ms", "1s", on="lost")
    plain = run_of(40) + back
    names = ("", "same-numbers", "least-loaded", "few-for-all", "avoids-returned")
    sound, same, least, few, avoided = run_all(*(plain,) * 5, defects=names)
    check_rules(sound)
    bounds = {
        "herd_over_chance": 2.0,
        "unused_over_chance": 4.0,
        "work_cv": 0.4,
        "work_by_server_cv": 0.6,
        "share_s": 4.0,
    }
    for figure, bound in bounds.items():
        assert sound.figures[figure] < bound, (figure, sound.figures)
    assert same.figures["work_cv"] > bounds["work_cv"], same.figures
    assert least.figures["herd_over_chance"] > bounds["herd_over_chance"], least.figures
    assert few.figures["unused_over_chance"] > bounds["unused_over_chance"], few.figures
    assert few.figures["work_by_server_cv"] > bounds["work_by_server_cv"], few.figures
    assert avoided.figures["share_s"] > bounds["share_s"], avoided.figures


def children(pid: int) -> set[int]:
    found = set()
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            if int(path.read_text().rpartition(")")[2].split()[1]) == pid:
                found.add(int(path.parent.name))
        except (OSError, IndexError):
            continue
    return found


def alive(pids: set[int]) -> set[int]:
    return {pid for pid in pids if Path(f"/proc/{pid}").exists() and state(pid) != "Z"}


def state(pid: int) -> str:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return "Z"


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_no_process_is_left_running_when_the_harness_is_killed(
    number: signal.Signals, tmp_path: Path
) -> None:
    plan = tmp_path / "long.toml"
    stop = group("all", "nodes", 0.0, 1.0) + fault("stop", "100ms", "50s", on="all")
    plan.write_text(run_of(6, 60.0, 4) + stop)
    harness = subprocess.Popen(
        [sys.executable, "-m", "hollybay.cli", "tier", str(plan)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        # A shell starts background jobs with SIGINT ignored, and children inherit that.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    limit = time.monotonic() + 60.0
    mine: set[int] = set()
    try:
        # Wait until all nodes are stopped: a stopped process handles no signal but SIGKILL.
        while sum(state(pid) == "T" for pid in mine) < 6:
            assert harness.poll() is None and time.monotonic() < limit
            fork_servers = children(harness.pid)
            mine = fork_servers | {pid for parent in fork_servers for pid in children(parent)}
            time.sleep(0.02)
        os.kill(harness.pid, number)
        harness.wait(30)
        while alive(mine):
            assert time.monotonic() < limit, alive(mine)
            time.sleep(0.02)
    finally:
        if harness.poll() is None:
            harness.kill()
            harness.wait()
