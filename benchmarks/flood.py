"""A tenant floods one route: effect on other tenants of that route, with limits and without."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from pathlib import Path

import uvloop

from hollybay.cli.demo_report import percentile
from hollybay.testbed.client_request import RequestMix
from hollybay.testbed.fake_environment import FakeEnvironment
from hollybay.testbed.ledger import FinalOutcome
from hollybay.testbed.load_generator import LoadGenerator
from hollybay.testbed.process import NodeProcess
from hollybay.units import MS

SERVERS, SECONDS, FLOOD_RATE, NORMAL_RATE = 20, 8.0, 1500.0, 100.0
LIMITS = """
[[route]]
name = "board"
path.prefix = "/view-schedule/board"
[route.limits]
rate = { per_second = 100, burst = 50, by = "tenant" }
retry_after = { least = "1s", most = "4s" }
"""


async def play(text: str) -> str:
    """Run once with an operator file; returns a line of figures."""
    environment = FakeEnvironment(SERVERS, seed=3)
    await environment.start()
    target = b"/view-schedule/board/1"
    with tempfile.TemporaryDirectory() as folder:
        operator = Path(folder) / "operator.toml"
        operator.write_text(text)
        node = NodeProcess(environment.config(), Path(folder), HOLLYBAY_OPERATOR=str(operator))
        port = await node.start()
        try:
            await environment.agent.until(lambda: environment.agent.calls >= 2)
            mixes = [
                RequestMix(0, target, 2.0, ("fraser-bands", "island-singers")),
                RequestMix(2, b"/book-venue/1", 1.0, ("island-singers",)),
            ]
            normal = LoadGenerator(environment.ledger, [port], mixes, NORMAL_RATE, seed=2, prefix="usual")
            flood_mixes = [RequestMix(0, target, 1.0, ("coastal-choirs",))]
            flood = LoadGenerator(environment.ledger, [port], flood_mixes, FLOOD_RATE, seed=1, prefix="flood")
            cpu_seconds = node.cpu_seconds()
            await asyncio.gather(normal.run(SECONDS), flood.run(SECONDS))
            cpu_seconds = node.cpu_seconds() - cpu_seconds
            normal.close()
            flood.close()
        finally:
            await node.stop()
            await environment.stop()
    entries = [e for e in environment.ledger.requests.values() if e.id.startswith("usual") and e.cls == 0]
    outcomes = Counter(entry.final for entry in entries)
    latencies_ms = [(entry.ended - entry.at) / MS for entry in entries if entry.final is FinalOutcome.SERVED]
    statuses = Counter(e.status for e in environment.ledger.requests.values() if e.id.startswith("flood"))
    on_time = sum(ms <= 200 for ms in latencies_ms) / len(entries)
    return (
        f"{len(entries):>6} {outcomes[FinalOutcome.SERVED]:>7} {on_time:>8.3f} "
        f"{percentile(latencies_ms, 0.5):>7.0f} {percentile(latencies_ms, 0.99):>7.0f} "
        f"{statuses[200]:>9} {statuses[429]:>6} {statuses[503]:>6} {100 * cpu_seconds / SECONDS:>6.0f}  "
        f"{environment.ledger.check()}"
    )


def main() -> None:
    """Print the table."""
    print(
        f"{'':>10} {'asked':>6} {'served':>7} {'in time':>8} {'p50 ms':>7} {'p99 ms':>7} {'flood 200':>9} "
        f"{'429':>6} {'503':>6} {'CPU %':>6}"
    )
    for name, text in (("no limits", ""), ("limits", LIMITS)):
        print(f"{name:>10} {uvloop.run(play(text))}", flush=True)
