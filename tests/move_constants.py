"""Find constants of hollybay.balancing that no stream covers: python -m tests.move_constants [NAME ...]

This mutation test increases each numeric constant by a tenth (an integer by at least one), one at a time and
each in its own process, and replays the recorded streams until one leads to other decisions. It prints one
line for each constant, then the constants without a difference (unseen); with NAMEs, only these constants are
changed. An unseen constant needs a stream (tests/scripted_streams.py) or, if it has no effect on decisions,
is removed.
"""

from __future__ import annotations

import ast
import multiprocessing
import re
import sys
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec, PathFinder, SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType
from typing import NamedTuple

__all__ = ["Constant", "constants", "moved"]

PACKAGE = "hollybay.balancing"
FOLDER = Path(__file__).resolve().parent.parent / "hollybay" / "balancing"
# The codec of the simulator's wire makes no decisions, and recorded streams do not pass through it.
WIRE_PREFIX = "bench_"
UNITS = "units"
CONSTANT_NAME = re.compile(r"_?[A-Z][A-Z0-9_]*")
MOVE = 0.1  # the change as a share of the value
PROCESSES = 2


class Constant(NamedTuple):
    """A constant of a module of hollybay.balancing."""

    module: str
    name: str

    def __str__(self) -> str:
        return f"{self.module}.{self.name}"


def moved(value: float) -> float:
    """Return a number increased by a tenth; an integer stays an integer."""
    if isinstance(value, int):
        return value + max(1, round(MOVE * value))
    return value * (1.0 + MOVE)


def is_number(node: ast.expr) -> bool:
    """Whether an expression consists only of numbers, named constants and arithmetic."""
    allowed = (ast.Constant, ast.Name, ast.BinOp, ast.UnaryOp, ast.operator, ast.unaryop, ast.expr_context)
    if not all(isinstance(part, allowed) for part in ast.walk(node)):
        return False
    values = [part.value for part in ast.walk(node) if isinstance(part, ast.Constant)]
    return bool(values) and all(isinstance(value, int | float) and value is not True for value in values)


def constant_of(statement: ast.stmt) -> str | None:
    """Return the name of the numeric constant that a statement defines, if it defines one."""
    if not isinstance(statement, ast.Assign) or len(statement.targets) != 1:
        return None
    target = statement.targets[0]
    if not isinstance(target, ast.Name) or not CONSTANT_NAME.fullmatch(target.id):
        return None
    return target.id if is_number(statement.value) else None


def constants() -> list[Constant]:
    """Return all numeric constants of the decision modules, by module and line."""
    return [
        Constant(path.stem, name)
        for path in sorted(FOLDER.glob("*.py"))
        if not path.stem.startswith(WIRE_PREFIX) and path.stem != UNITS
        for name in map(constant_of, ast.parse(path.read_text()).body)
        if name is not None
    ]


class MovingLoader(SourceFileLoader):
    """Loads a module with one of its constants changed, before other values are computed from it."""

    constant: Constant

    def source_to_code(self, data: bytes, path: str) -> CodeType:  # type: ignore[override]
        tree = ast.parse(data)
        for statement in tree.body:
            if constant_of(statement) == self.constant.name and isinstance(statement, ast.Assign):
                mover = ast.parse(f"__import__({__name__!r}, fromlist=['moved']).moved(0)", mode="eval").body
                assert isinstance(mover, ast.Call)
                mover.args = [statement.value]
                statement.value = mover
        return compile(ast.fix_missing_locations(tree), path, "exec", dont_inherit=True)

    def get_code(self, fullname: str) -> CodeType | None:
        """Compile the source instead of loading cached bytecode."""
        path = self.get_filename(fullname)
        return self.source_to_code(self.get_data(path), path)


class MovingFinder(MetaPathFinder):
    """Finds the module of a constant, and has it loaded with the constant changed."""

    def __init__(self, constant: Constant) -> None:
        self.constant = constant

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        spec = PathFinder.find_spec(fullname, path, target)
        if fullname != f"{PACKAGE}.{self.constant.module}" or spec is None or spec.origin is None:
            return None
        spec.loader = MovingLoader(fullname, spec.origin)
        spec.loader.constant = self.constant
        return spec


def first_differing_stream(constant: Constant) -> str | None:
    """Return the first stream with other decisions if a constant is changed; call it once per process."""
    assert PACKAGE not in sys.modules
    sys.meta_path.insert(0, MovingFinder(constant))
    from . import recorded_decisions as recorded
    from .show_first_difference import first_difference

    # The streams of generated worlds (names from "world-" on) detect most changes, so they are replayed
    # first.
    for name in reversed(recorded.names()):
        try:
            if first_difference(recorded.load(name)) is not None:
                return name
        except ArithmeticError:
            return name
    return None


def main(wanted: list[str]) -> None:
    chosen = [constant for constant in constants() if not wanted or constant.name in wanted]
    unseen = []
    with multiprocessing.get_context("spawn").Pool(PROCESSES, maxtasksperchild=1) as pool:
        for constant, stream in zip(
            chosen, pool.imap(first_differing_stream, chosen, chunksize=1), strict=True
        ):
            print(constant, stream or "UNSEEN", flush=True)
            if stream is None:
                unseen.append(constant)
    print(f"unseen: {len(unseen)} of {len(chosen)}:", *unseen)


if __name__ == "__main__":
    main(sys.argv[1:])
