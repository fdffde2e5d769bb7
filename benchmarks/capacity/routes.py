"""Cost of the routes of an operator file: compilation, a change, and memory."""

from __future__ import annotations

from collections.abc import Callable

from hollybay.balancing.interface import Settings
from hollybay.hollow.meter import metered
from hollybay.routing.admission_control import AdmissionControl
from hollybay.routing.compiled_policy import CompiledPolicy
from hollybay.routing.policy_compiler import compile_file
from hollybay.routing.problems import OperatorError

from . import samples
from .measurement import Figures, SizeRejected

__all__ = ["changed_route", "compiled", "compiled_short"]

MIB = 1 << 20


def compiled(size: int) -> Figures:
    """Read, check and compile an operator file of routes with limits."""
    return _compiled(samples.routes_file, size)


def compiled_short(size: int) -> Figures:
    """Compile routes without limits of their own, of which more fit into a file."""
    return _compiled(samples.short_routes_file, size)


def changed_route(size: int) -> Figures:
    """Change one route of an operator file: the whole file is read and compiled again."""
    settings = samples.settings()
    gate = AdmissionControl(_plan(samples.routes_file(size), settings), 1, 0)
    text = samples.routes_file(size).replace("/halls/h0'", "/halls/other'", 1)
    with metered() as spent:
        gate.replace_policy(_plan(text, settings))
    return Figures({"cpu_s": spent.cpu_s}, spent)


def _compiled(file: Callable[[int], str], size: int) -> Figures:
    text = file(size)
    settings = samples.settings()
    with metered(memory=True) as spent:
        plan = _plan(text, settings)
    assert len(plan.routes) == size
    values = {"cpu_s": spent.cpu_s, "memory_kb": spent.memory / 1024}
    return Figures(values, spent, {"file_mib": len(text) / MIB, "peak_mb": spent.peak / MIB})


def _plan(text: str, settings: Settings) -> CompiledPolicy:
    try:
        return compile_file(text, settings)
    except OperatorError as error:
        raise SizeRejected(str(error).splitlines()[0][:200]) from None
