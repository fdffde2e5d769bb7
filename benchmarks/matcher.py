"""Cost of a route look-up with 10, 1,000 and 10,000 routes, and the time to compile the file."""

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
    """Requests for all shapes of routes, a quarter without a match; distinct: for only so many routes."""
    chance = random.Random(seed)
    requests: list[tuple[bytes, dict[bytes, bytes]]] = []
    for _ in range(LOOKUPS):
        n = chance.randrange(distinct or count)
        headers = {b"host": b"book.example", b"x-account": b"coastal-choirs", b"accept": b"*/*"}
        if n % 10 == 0:
            headers[b"x-plan"] = b"gold"
        path = (
            f"/view-schedule/halls/h{n}"
            if n % 3 == 0
            else f"/view-schedule/v{n}/{n % 7}/slots"
            if n % 3 == 1
            else f"/view-schedule/p{n}/q/x/y"
        )
        if chance.random() < 0.25:
            path = f"/view-schedule/none/{n}"
        requests.append((path.encode() + b"?day=1", headers))
    return requests


def measure(policy: CompiledPolicy, requests: list[tuple[bytes, dict[bytes, bytes]]]) -> float:
    """Time per look-up (ns): the median of ROUNDS rounds."""
    resolve = policy.resolve
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter_ns()
        for target, headers in requests:
            resolve(b"GET", target, headers)
        rounds.append((time.perf_counter_ns() - started) / len(requests))
    return statistics.median(rounds)


def adversarial() -> str:
    """Templates with shared segments, for which the matcher has to try many paths that do not match."""
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
        started = time.perf_counter()
        policy = compile_file(text, SETTINGS)
        compile_s = time.perf_counter() - started
        spread, few = measure(policy, targets(count)), measure(policy, targets(count, distinct=10))
        print(f"{count:>8} {spread:>13.0f} {few:>14.0f} {1000 * compile_s:>11.0f}")
    policy = compile_file(adversarial(), SETTINGS)
    requests = [(b"/view-schedule/" + b"a/" * 8 + b"none", {b"host": b"h"})] * 200
    print(
        f"   worst {measure(policy, requests):>13.0f}   "
        "(255 templates that share 8 segments, a path none takes)"
    )
