"""Capacity benchmark: fits recover slopes and detect bends, late runs have no figures, all parts run."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from concurrent.futures import ThreadPoolExecutor
from mmap import mmap
from pathlib import Path
from threading import Lock
from typing import Any

import pytest

from benchmarks.capacity import budgets, control, page, report, runner, streams
from benchmarks.capacity.__main__ import main
from benchmarks.capacity.fits import Point, extrapolate, fit, fit_line, fit_power
from benchmarks.capacity.measurement import (
    Figures,
    Measured,
    Measurement,
    NotCarried,
    Outcome,
    Rejected,
    judge,
)
from benchmarks.capacity.registry import MEASUREMENTS
from benchmarks.capacity.report import series_of
from hollybay.hollow.meter import LatenessProbe, Limits, ResourceUsage, late_reason, metered

# Quantities that may be 0 in a small run.
MAY_BE_ZERO = {"unfinished", "keeper_cpu_ms"}
CONCURRENT_RUNS = 3
SIZES = (1_000, 3_000, 10_000, 30_000)


def noisy(value: float, chance: random.Random) -> float:
    return value * chance.uniform(0.97, 1.03)


def test_linear_fit_recovers_the_slope_and_extrapolates() -> None:
    chance = random.Random(1)
    found = fit([Point(size, noisy(5.0 + 0.002 * size, chance)) for size in SIZES])
    assert found.line.slope == pytest.approx(0.002, rel=0.1)
    assert found.line.worst < 0.1 and not found.bends
    at = extrapolate(found, 120_000)
    assert at.least == pytest.approx(245.0, rel=0.15) and at.most == pytest.approx(245.0, rel=0.15)
    assert at.beyond == 4.0


@pytest.mark.parametrize("exponent", [0.5, 1.5, 2.0])
def test_power_fit_recovers_the_exponent_and_reports_a_bend(exponent: float) -> None:
    chance = random.Random(2)
    found = fit([Point(size, noisy(0.01 * size**exponent, chance)) for size in SIZES])
    assert found.power is not None
    assert found.power.exponent == pytest.approx(exponent, abs=0.05)
    assert found.bends and found.power.worst < 0.1


def test_steeper_slope_at_large_sizes_is_a_bend() -> None:
    points = [Point(1_000, 1.0), Point(3_000, 3.0), Point(10_000, 30.0)]
    found = fit(points)
    assert found.bends
    at = extrapolate(found, 20_000)
    assert at.least < at.most


def test_figure_independent_of_the_size_is_not_a_bend() -> None:
    found = fit([Point(1_000, 2.0), Point(3_000, 1.9), Point(10_000, 2.1)])
    assert not found.bends
    at = extrapolate(found, 110_000)
    assert (at.least, at.most) == (1.9, 2.1)


def test_small_slope_that_fits_a_line_is_extrapolated() -> None:
    found = fit([Point(50, 5.33), Point(100, 5.65), Point(200, 6.18)])
    assert not found.bends
    assert extrapolate(found, 2_900).least == pytest.approx(21.0, rel=0.1)


def test_latencies_count_unfinished_changes() -> None:
    found = streams.latencies([float(n) for n in range(1, 100)] + [math.inf])
    assert (found.p50, found.p99, found.worst, found.unfinished) == (50.0, 99.0, math.inf, 1)
    assert streams.due_in_a_stream(0.5, 6.0) == [0.0, 2.0, 4.0]
    assert streams.due_in_a_burst(4) == [0.0, 0.25, 0.5, 0.75]


def test_measured_size_is_not_extrapolated() -> None:
    found = fit([Point(1_000, 1.0), Point(3_000, 2.9), Point(10_000, 11.0)])
    assert extrapolate(found, 10_000).least == extrapolate(found, 10_000).most == 11.0


def test_single_size_and_zero_values_have_no_fit() -> None:
    with pytest.raises(ValueError, match="two sizes"):
        fit_line([Point(1_000, 1.0), Point(1_000, 2.0)])
    assert fit_power([Point(1_000, 0.0), Point(3_000, 1.0)]) is None


def test_late_run_has_no_figures() -> None:
    limits = Limits(waited_part=0.5, waited_s=0.1, worst_late_s=0.2)
    figures = {"cpu_s": 1.0}
    measurement = Measurement(
        "x", "x", "x", {"cpu_s": "s"}, (1,), (1,), lambda size: Figures({}, ResourceUsage()), 1, limits
    )
    on_time = judge(measurement, 1, Figures(figures, ResourceUsage(cpu_s=1.0, wall_s=2.0, waited_s=0.9)))
    assert isinstance(on_time, Measured) and on_time.values == figures
    for spent, reason in (
        (ResourceUsage(cpu_s=1.0, wall_s=2.0, waited_s=1.1), "waited for a core for 55 %"),
        (ResourceUsage(cpu_s=1.0, wall_s=2.0, late_s=0.3), "300 ms late"),
    ):
        late = judge(measurement, 1, Figures(figures, spent))
        assert isinstance(late, NotCarried) and reason in late.reason
    # A run of 10 ms is too short to judge how busy the machine is.
    assert not late_reason(ResourceUsage(wall_s=0.01, waited_s=0.009), limits)


def test_lateness_probe_detects_a_blocked_loop() -> None:
    async def play() -> tuple[float, float]:
        probe = LatenessProbe(every=0.005)
        probe.start()
        await asyncio.sleep(0.02)
        time.sleep(0.15)
        overdue = probe.worst
        await asyncio.sleep(0.02)
        probe.stop()
        return overdue, probe.worst

    overdue, worst = asyncio.run(play())
    assert overdue > 0.1 and worst > 0.1


def test_meter_measures_cpu_time_and_memory_of_the_process() -> None:
    # A separate mapping: objects on the heap may reuse memory that earlier tests have freed.
    size = 32 << 20
    with mmap(-1, size) as kept:
        with metered(memory=True) as spent:
            kept.write(b"x" * size)
        assert kept.tell() == size
    assert spent.cpu_s > 0.0
    assert size - (2 << 20) < spent.memory < size + (8 << 20)
    with metered() as idle:
        time.sleep(0.05)
    assert idle.cpu_s < 0.04 < idle.wall_s


@pytest.mark.parametrize("name", [name for name, one in MEASUREMENTS.items() if not one.processes])
def test_each_measurement_runs_at_a_small_size(name: str) -> None:
    measurement = MEASUREMENTS[name]
    size = measurement.quick[-1]
    figures = measurement.run(size)
    assert set(figures.values) == set(measurement.quantities)
    assert all(value == value for value in figures.values.values())


def serialize_process_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Start processes one at a time: event loops in several threads must not start them concurrently."""
    lock = Lock()
    spawn = asyncio.create_subprocess_exec

    async def spawn_serially(*command: str, **more: Any) -> asyncio.subprocess.Process:
        while not lock.acquire(blocking=False):
            await asyncio.sleep(0.005)
        try:
            return await spawn(*command, **more)
        finally:
            lock.release()

    monkeypatch.setattr(asyncio, "create_subprocess_exec", spawn_serially)


def test_each_measurement_with_processes_runs_at_a_small_size(monkeypatch: pytest.MonkeyPatch) -> None:
    serialize_process_starts(monkeypatch)
    monkeypatch.setattr(control, "LEASE_MS", 1_000)
    monkeypatch.setattr(control, "RENEWAL_SECONDS", 1.0)
    monkeypatch.setattr(control, "CHANGES", 1)
    monkeypatch.setattr(control, "STATUS_CALLS", 100)  # long enough for the timer of the rig to be due
    monkeypatch.setattr(streams, "STREAM_S", 2.5)
    monkeypatch.setattr(streams, "BURST", 2)
    chosen = [one for one in MEASUREMENTS.values() if one.processes]
    with ThreadPoolExecutor(CONCURRENT_RUNS) as threads:
        found = list(threads.map(lambda one: one.run(one.quick[0]), chosen))
    for measurement, figures in zip(chosen, found, strict=True):
        assert set(figures.values) == set(measurement.quantities), measurement.name
        values = {key: value for key, value in figures.values.items() if key not in MAY_BE_ZERO}
        assert all(value > 0 for value in values.values()), (measurement.name, values)
        assert not figures.values.get("unfinished"), measurement.name
        assert figures.spent.wall_s > 0 and figures.spent.late_s > 0


def test_command_runs_each_size_in_a_process_and_writes_table_and_json(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "out.json"
    assert main(["tenants-named", "--sizes", "100,200,400", "--json", str(path)]) == 0
    output = capsys.readouterr().out
    assert output.count("tenants-named") >= 6 and "at 300,000" in output
    found = json.loads(path.read_text())
    assert [one["size"] for one in found["outcomes"]] == [100, 200, 400]
    assert {one["quantity"] for one in found["series"]} == {"cpu_s", "memory_kb"}


def test_rejected_size_is_reported_with_its_reason() -> None:
    outcome = runner.run_here("start-from-file", 250_000)
    assert isinstance(outcome, Rejected) and "longer than 16 MiB" in outcome.reason
    assert runner.decode(runner.encode(outcome)) == outcome
    assert "refused" in report.outcome_line(outcome)


def measured(name: str, **points: tuple[tuple[int, float], ...]) -> list[Outcome]:
    """Outcomes of one measurement; points: pairs of size and value by quantity."""
    sizes = [size for size, _ in next(iter(points.values()))]
    return [
        Measured(name, size, {key: dict(values)[size] for key, values in points.items()}, {}, 0.0, 0.0)
        for size in sizes
    ]


def test_slope_is_compared_with_its_budget_as_a_factor() -> None:
    costs = ((100, 1.0), (200, 2.0), (400, 4.0))
    outcomes = measured("request-rejected", cpu_us=costs) + measured("servers-review", cpu_ms=costs)
    verdicts = {one.row.what: one for one in budgets.compare_with_budgets(series_of(outcomes))}
    # 0.01 us per tenant and 300,000 tenants give 3 ms; the budget is 1.7 ms.
    rejected = verdicts["a request that is rejected"]
    assert rejected.figure is not None and rejected.factor is not None
    assert rejected.figure.least == pytest.approx(3.0) and rejected.factor.most == pytest.approx(3.0 / 1.7)
    assert page.verdict_text(rejected) == "**OVER 1.76 x**"
    review = verdicts["longest stop of the loop: review"].figure
    assert review is not None
    assert review.least == pytest.approx(1_200.0) and review.most == pytest.approx(1_200.0)
    # Rows without measurements have no figure, nor has a sum of which only a part was measured.
    assert verdicts["processor: review of all servers"].figure is None
    assert verdicts["memory: all of these"].figure is None
    table = page.budget_table(outcomes)
    assert table.count("not measured") == len(budgets.ROWS) - 2


def test_verdict_text_for_under_over_and_between() -> None:
    row = budgets.ROWS[0]
    for part, text in (((0.5, 0.5), "under, 0.5 x"), ((0.5, 1.5), "**OVER or under, 0.5 to 1.5 x**")):
        figure = budgets.Range(part[0] * row.budget, part[1] * row.budget)
        assert page.verdict_text(budgets.Verdict(row, figure)) == text


def test_page_uses_the_last_figure_of_each_size(tmp_path: Path) -> None:
    first, second = tmp_path / "1.json", tmp_path / "2.json"
    early = measured("request-rejected", cpu_us=((100, 1.0), (200, 9.0)))
    first.write_bytes(report.as_json(early))
    late: list[Outcome] = [Measured("request-rejected", 200, {"cpu_us": 2.0}, {}, 0.0, 0.0)]
    late += [NotCarried("request-rejected", 100, "late"), Rejected("request-rejected", 400, "too many")]
    second.write_bytes(report.as_json(late))
    found = page.read_outcomes([first, second])
    assert [(one.size, type(one)) for one in found] == [(100, Measured), (200, Measured), (400, Rejected)]
    table = page.slope_table(found)
    assert "100: 1; 200: 2; 400: refused" in table


def test_budget_rows_refer_to_existing_quantities() -> None:
    known = {(one.name, quantity) for one in MEASUREMENTS.values() for quantity in one.quantities}

    def at(measurement: str, quantity: str) -> budgets.Range:
        assert (measurement, quantity) in known
        return budgets.Range(1.0, 1.0)

    assert all(row.figure(at).least > 0 for row in budgets.ROWS)


def test_failed_run_has_no_figures() -> None:
    outcome = runner.run_one(MEASUREMENTS["servers-list"], -1)
    assert isinstance(outcome, NotCarried) and "ended with 1" in outcome.reason
