"""Policy changes over real processes, with faults between them: a change applies at every node or at none.

Each scenario is a cluster run under load: real nodes, their admin endpoints behind a relay that loses and
delays calls, and operators who propose changes as `hollybay policy` does. The check looks at the policies
under which each request began, over all processes. Up to SIDE_BY_SIDE runs execute concurrently.
"""

from __future__ import annotations

import asyncio

import pytest

from hollybay.cluster.report import Report

from .test_cluster_faults import _run_valid, fault, group
from .test_cluster_faults import run_of as tier_run_of

SIDE_BY_SIDE = 10
FILE = '[[route]]\\nname = \\"halls\\"\\npath = { prefix = \\"/view-schedule/halls\\" }\\n'


def run_of(nodes: int = 5, seconds: float = 7.0, **more: object) -> str:
    words = {"warm": "1s", "servers": 6, "load": 0.3, "door": True, "keepers": 3, "lease": "1500ms"}
    return tier_run_of(nodes, seconds, **(words | more)) + "server_processes = 1\nclient_processes = 1\n"  # type: ignore[arg-type]


def change(at: str, file: str | None = FILE, **more: object) -> str:
    lines = f'[[change]]\nat = "{at}"\n' + (f'file = "{file}"\n' if file is not None else "")
    values = {key: str(value).lower() if value is True else repr(value) for key, value in more.items()}
    return lines + "".join(f"{key} = {value}\n" for key, value in values.items())


def death(node: int, event: str, stage: str = "", back: str = "1s") -> str:
    return f'[[death]]\nnode = {node}\nevent = "{event}"\nstage = "{stage}"\nback = "{back}"\n'


async def _run_limited(text: str, gate: asyncio.Semaphore, defect: str) -> Report:
    async with gate:
        return await _run_valid(text, defect=defect)


def run_all(defects: dict[str, str] | None = None, /, **texts: str) -> dict[str, Report]:
    """Run these plans concurrently; defects: the defect to plant, by name of the run."""
    planted = defects or {}

    async def all_of() -> list[Report]:
        gate = asyncio.Semaphore(SIDE_BY_SIDE)
        return await asyncio.gather(
            *(_run_limited(text, gate, planted.get(label, "")) for label, text in texts.items())
        )

    return dict(zip(texts, asyncio.run(all_of()), strict=True))


def check_rules(label: str, report: Report) -> None:
    """Check atomicity, the four rules, and that requests began at all."""
    assert not report.torn, (label, report.torn, report.changes)
    assert not any(report.rules.values()), (label, report.rules, report.faults)
    assert sum(report.under.values()) > 50, (label, report.under)


def codes(report: Report) -> list[int]:
    return [code for code, _, _, _ in report.changes]


def at_the_end(report: Report) -> set[tuple[str, ...]]:
    """Return the policies under which nodes serve at the end of the run."""
    return {tuple(one.get("serves", ("?",))) for one in report.status.values()}


def check_in_force_everywhere(label: str, report: Report, n: int = 0) -> None:
    """Check that the change is in force at every node."""
    check_rules(label, report)
    assert report.changes[n][0] == 0, (label, report.changes)
    assert at_the_end(report) == {(report.changes[n][1],)}, (label, report.changes, report.status)


STEPS = {
    "proposed": death(0, "proposed"),
    "drives prepare": death(0, "drives", "PREPARE"),
    "decided prepare": death(0, "decided", "PREPARE"),
    "drives narrow": death(0, "drives", "NARROW"),
    "decided narrow": death(0, "decided", "NARROW"),
    "drives settled": death(0, "drives", "SETTLED"),
    "decided settled": death(0, "decided", "SETTLED"),
    "keeper before its disk": death(1, "write"),
    "keeper between disk and word": death(1, "flush folder"),
}


def test_the_proposer_is_killed_at_each_step_and_the_voters_complete_the_change() -> None:
    """Also a voter killed between its write to disk and its reply."""
    found = run_all(**{label: run_of() + change("1500ms") + words for label, words in STEPS.items()})
    for label, report in found.items():
        check_in_force_everywhere(label, report)
        assert report.excused.get("killed", 0) < 40


def test_nodes_that_are_down_stopped_or_cut_off_during_a_change() -> None:
    last = group("last", "nodes", 0.8, 1.0) + group("rest", "nodes", 0.0, 0.8)
    halves = group("one", "nodes", 0.0, 0.4) + group("other", "nodes", 0.4, 1.0)
    second = group("second", "nodes", 0.17, 0.34)
    cut = {"between": ["last", "rest"]}
    found = run_all(
        stopped=run_of(6) + last + fault("stop", "1s", "4s", on="last") + change("1500ms"),
        killed=run_of(6) + last + fault("kill", "1s", "2s", on="last") + change("1500ms"),
        cut=run_of(6) + last + fault("cut", "1s", "4s", **cut) + change("1500ms"),
        deaf=run_of(6) + last + fault("lose-down", "1s", "4s", **cut) + change("1500ms"),
        dumb=run_of(6) + last + fault("lose-up", "1s", "4s", **cut) + change("1500ms"),
        halves=run_of(6) + halves + fault("cut", "1s", "3s", between=["one", "other"]) + change("1500ms"),
        # A voter that missed two changes restarts with its old disk.
        behind=run_of(6, 9.0)
        + second
        + fault("kill", "1s", "4500ms", on="second")
        + change("1500ms")
        + change("4s", None, out=["s-001"]),
        loss=run_of(6) + fault("lose", "1s", "6s", between=["nodes", "nodes"], by=0.15) + change("1500ms"),
        late=run_of(6) + fault("lag", "1s", "6s", between=["nodes", "nodes"], by=0.1) + change("1500ms"),
    )
    for label, report in found.items():
        check_in_force_everywhere(label, report, len(report.changes) - 1)
        assert not any(codes(report)), (label, report.changes)
    # A silent node delays a change until its lease has expired, and no longer.
    for label in ("stopped", "cut"):
        assert 0.5 < found[label].changes[0][3] < 4.5, (label, found[label].changes)


def test_most_nodes_killed_all_voters_down_and_two_changes_at_once() -> None:
    most = group("most", "nodes", 0.3, 1.0)
    keepers = group("keepers", "nodes", 0.0, 0.5)
    odd = change("1500ms", None, out=["s-001"])
    narrow = run_of(6, 10.0, narrow_for="5s") + group("keepers", "nodes", 0.0, 0.5)
    found = run_all(
        most=run_of(10, 10.0) + most + fault("kill", "1600ms", "3s", on="most") + change("1500ms"),
        keepers=run_of(6, 10.0)
        + keepers
        + fault("kill", "1500ms", "3s", on="keepers")
        + change("2s")
        + change("6s", after_restarts=True),
        # The change is due while all voters are down, and is proposed once they are back, however late.
        awaited=run_of(6, 8.0)
        + keepers
        + fault("kill", "1500ms", "2s", on="keepers")
        + change("2s", after_restarts=True),
        narrow=narrow + fault("kill", "1500ms", "3s", on="keepers"),
        both=run_of() + change("1500ms") + odd.replace("[[change]]", "[[change]]\nto = 1"),
        dropped=run_of() + change("1500ms", drop="10ms") + change("4s", None, out=["s-001"]),
        old=run_of() + change("1500ms", parent="7-0123456789ab"),
    )
    check_in_force_everywhere("most", found["most"])
    # With all voters down a change is impossible, and the operator is told so.
    assert found["keepers"].changes[0][0] == 3, found["keepers"].changes
    check_in_force_everywhere("keepers", found["keepers"], 1)
    check_in_force_everywhere("awaited", found["awaited"])
    for label in ("narrow", "both", "dropped", "old"):
        check_rules(label, found[label])
    # Without voters a node stops serving when its lease expires, until they return, unless narrow_for is set.
    assert found["keepers"].door.get("503", 0) > found["narrow"].door.get("503", 0)
    assert found["narrow"].figures["refused"] < 0.05 < found["keepers"].figures["refused"]
    assert sorted(codes(found["both"])) == [0, 1], found["both"].changes
    assert codes(found["dropped"])[0] == 1 and codes(found["dropped"])[1] == 0, found["dropped"].changes
    assert codes(found["old"]) == [1] and "made on 7-0123456789ab" in found["old"].changes[0][2]


def test_a_policy_that_one_node_or_no_node_can_serve_applies_nowhere() -> None:
    last = group("last", "nodes", 0.8, 1.0) + group("rest", "nodes", 0.0, 0.8)
    bad = change("1500ms", '[[route]]\\nname = \\"x\\"\\nclass = \\"nobody\\"\\n')
    found = run_all(
        {"blind": "lease-never-over", "abrupt": "narrow-skipped"},
        bad=run_of(5, 5.0) + bad,
        unfit=run_of(5, 5.5, unfit=[4]) + change("1500ms"),
        full=run_of(5, 5.5, full=[4]) + change("1500ms"),
        keeper=run_of(6) + change("1500ms", None, keepers=[0, 1, 4]) + change("4s"),
        stranger=run_of(6, 5.0) + change("1500ms", None, keepers=[0, 4, 5]),
        even=run_of(6, 5.0) + change("1500ms", None, keepers=[0, 1]),
        # Planted defects that the check must detect.
        blind=run_of(6, servers=24, load=0.6)
        + last
        + fault("cut", "1s", "4s", between=["last", "rest"])
        + change("1500ms"),
        abrupt=run_of(6, servers=24, load=0.6)
        + last
        + fault("lag", "1s", "5s", between=["last", "rest"], by=0.15)
        + change("1500ms"),
    )
    for label in ("blind", "abrupt"):
        assert any("after one at" in text for text in found.pop(label).torn), label
    for label, report in found.items():
        check_rules(label, report)
    assert codes(found["bad"]) == [1] and "does not hold here" in found["bad"].changes[0][2]
    assert any("nobody" in text for one in found["bad"].reasons_by_node for r in one.values() for text in r)
    # One node rejects the change, so it applies nowhere; the operator is told which node, and why.
    for label, why in (("unfit", "does not hold here"), ("full", "No space left")):
        assert codes(found[label]) == [1], (label, found[label].changes)
        (reasons,) = found[label].reasons_by_node
        assert list(reasons) == ["n004"] and why in reasons["n004"][0], (label, reasons)
        assert len(at_the_end(found[label])) == 1
    assert codes(found["keeper"]) == [0, 0], found["keeper"].changes
    assert at_the_end(found["keeper"]) == {(found["keeper"].changes[1][1],)}
    assert (
        codes(found["stranger"]) == [1] and "2 voters added and 2 removed" in found["stranger"].changes[0][2]
    )
    assert codes(found["even"]) == [1] and "keepers: 2" in found["even"].changes[0][2]


@pytest.mark.parametrize("nodes", [100])
def test_a_hundred_nodes_of_which_a_third_is_down_stopped_or_cut_off(nodes: int) -> None:
    down = group("down", "nodes", 0.66, 0.77) + group("held", "nodes", 0.77, 0.88)
    down += group("away", "nodes", 0.88, 1.0) + group("there", "nodes", 0.0, 0.66)
    text = run_of(nodes, 10.0, servers=12) + down
    text += fault("kill", "1s", "5s", on="down") + fault("stop", "1s", "5s", on="held")
    text += fault("cut", "1s", "5s", between=["away", "there"]) + change("1500ms")
    found = run_all(hundred=text)
    check_in_force_everywhere("hundred", found["hundred"])
