"""What a look-up costs at 10, 1,000 and 10,000 routes, and what compiling the file takes."""

from __future__ import annotations

import random
import statistics
import time

from hollybay.balancing import interface as api
from hollybay.routing.compiled_policy import CompiledPolicy
from hollybay.routing.policy_compiler import compile_file
from hollybay.units import MS

from .files import many_routes

SETTINGS = api.Settings(
    (api.RequestClass("view-schedule", api.Effect.SAFE, 3.0, 200 * MS, 500 * MS),), hedging_allowed=True
)
COUNTS = (10, 1_000, 10_000)
LOOKUPS, ROUNDS = 20_000, 9


def targets(count: int, seed: int = 1, distinct: int = 0) -> list[tuple[bytes, dict[bytes, bytes]]]:
    """Requests that meet every shape of route, and a quarter that meet none; distinct: of so many routes."""
    chance = random.Random(seed)
    found: list[tuple[bytes, dict[bytes, bytes]]] = []
    for _ in range(LOOKUPS):
        n = chance.randrange(distinct or count)
        given = {b"host": b"book.example", b"x-account": b"coastal-choirs", b"accept": b"*/*"}
        if n % 10 == 0:
            given[b"x-plan"] = b"gold"
        path = (
            f"/view-schedule/halls/h{n}"
            if n % 3 == 0
            else f"/view-schedule/v{n}/{n % 7}/slots"
            if n % 3 == 1
            else f"/view-schedule/p{n}/q/x/y"
        )
        if chance.random() < 0.25:
            path = f"/view-schedule/none/{n}"
        found.append((path.encode() + b"?day=1", given))
    return found


def measure(plan: CompiledPolicy, asks: list[tuple[bytes, dict[bytes, bytes]]]) -> float:
    """Nanoseconds a look-up: the median of rounds."""
    apply = plan.resolve
    rounds = []
    for _ in range(ROUNDS):
        begun = time.perf_counter_ns()
        for target, given in asks:
            apply(b"GET", target, given)
        rounds.append((time.perf_counter_ns() - begun) / len(asks))
    return statistics.median(rounds)


def adversarial() -> str:
    """Templates that share their segments, so that many dead ends must be looked at."""
    lines = []
    for n in range(1 << 8):
        parts = [f"{{v{i}}}" if n >> i & 1 else "a" for i in range(8)]
        if n:
            lines.append(
                f"[[route]]\nname = 'r{n}'\npath.template = '/view-schedule/{'/'.join(parts)}/end{n}'\n"
            )
    return "".join(lines)


def main() -> None:
    """Print the table."""
    print(f"{'routes':>8} {'ns a look-up':>13} {'of ten routes':>14} {'compile ms':>11}")
    for count in COUNTS:
        text = many_routes(count)
        begun = time.perf_counter()
        plan = compile_file(text, SETTINGS)
        took = time.perf_counter() - begun
        spread, few = measure(plan, targets(count)), measure(plan, targets(count, distinct=10))
        print(f"{count:>8} {spread:>13.0f} {few:>14.0f} {1000 * took:>11.0f}")
    plan = compile_file(adversarial(), SETTINGS)
    asks = [(b"/view-schedule/" + b"a/" * 8 + b"none", {b"host": b"h"})] * 200
    print(f"   worst {measure(plan, asks):>13.0f}   (255 templates that share 8 segments, a path none takes)")
