"""Record streams of events and decisions: python -m tests.record_decisions [NAME ...] [--loopback]

The streams come from whole nodes under simulation, from random worlds with fixed seeds, from scripts, and
from a node on loopback sockets. All but the last are reproducible; the last contains times of the real clock.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from types import ModuleType
from typing import Any, ClassVar

import hollybay.proxy.balancer_driver
from hollybay.simulation.world import play_seed

from . import recorded_decisions as recorded
from .loopback_day import loopback_day
from .random_world import WORLDS, RandomWorld
from .scripted_streams import SCRIPTS
from .show_first_difference import DIGESTS, digests

# Seeds of the simulator, with the numbers of the balancers whose streams are kept.
SIMULATED = {
    2: (0,), 7: (0,), 10: (0,), 13: (0, 1, 2), 15: (1, 2), 17: (0,), 18: (0,), 20: (0,), 28: (2, 3, 6),
    30: (0, 1), 31: (0,), 34: (1, 3), 37: (0,), 39: (0,),
}  # fmt: skip


class RecordedBalancer(recorded.Balancer):
    """A balancer that records its events and actions."""

    created: ClassVar[list[RecordedBalancer]] = []

    def __init__(self, settings: Any, seed: int, now: int) -> None:
        self.head = (recorded.encode_settings(settings), seed, now)
        self.lines: list[recorded.Line] = []
        self.digest = recorded.chained_digest(b"", *self.head)
        self.created.append(self)
        super().__init__(settings, seed, now)

    def handle(self, now: int, event: Any) -> list[Any]:
        given = recorded.encode_event(event)
        actions = super().handle(now, event)
        taken, draws = recorded.encode_actions(actions), recorded.draws_made(self)
        self.digest = recorded.chained_digest(self.digest, now, given, taken, draws)
        self.lines.append(recorded.Line(now, given, taken, draws, self.digest.hex()[:6]))
        return actions

    @property
    def stream(self) -> recorded.Stream:
        return recorded.Stream(*self.head, self.lines)


@contextmanager
def recording(module: ModuleType) -> Iterator[list[RecordedBalancer]]:
    """Within this context, balancers that a module creates are recorded; yields these."""
    name = recorded.Balancer.__name__
    kept = getattr(module, name)
    RecordedBalancer.created = []
    setattr(module, name, RecordedBalancer)
    try:
        yield RecordedBalancer.created
    finally:
        setattr(module, name, kept)


def simulated(seed: int) -> dict[str, recorded.Stream]:
    with recording(hollybay.proxy.balancer_driver) as created:
        play_seed(seed)
    return {f"seed-{seed}-{n}": created[n].stream for n in SIMULATED[seed]}


def generated(name: str) -> dict[str, recorded.Stream]:
    world = RandomWorld(RecordedBalancer, name, **WORLDS[name])
    world.run()
    return {name: world.balancer.stream}


def scripted(name: str) -> dict[str, recorded.Stream]:
    return {name: SCRIPTS[name](RecordedBalancer).balancer.stream}


def on_loopback() -> dict[str, recorded.Stream]:
    with recording(hollybay.proxy.balancer_driver) as created, TemporaryDirectory() as folder:
        asyncio.run(loopback_day(Path(folder) / "config.json"))
    return {"loopback": created[0].stream}


def main(arguments: list[str]) -> None:
    loopback = "--loopback" in arguments
    wanted = [name for name in arguments if name != "--loopback"]
    streams: dict[str, recorded.Stream] = {}
    for seed in SIMULATED:
        if not wanted or f"seed-{seed}" in wanted:
            streams |= simulated(seed)
    for name in WORLDS:
        if not wanted or name in wanted:
            streams |= generated(name)
    for name in SCRIPTS:
        if not wanted or name in wanted:
            streams |= scripted(name)
    if loopback:
        streams |= on_loopback()
    kept = digests() if DIGESTS.exists() else {}
    for name, stream in streams.items():
        recorded.save(name, stream)
        kept[name] = (len(stream.lines), recorded.digest_of(stream))
        print(name, len(stream.lines), dict(Counter(line.event[0] for line in stream.lines)))
    rows = (f"{name} {events} {digest}\n" for name, (events, digest) in sorted(kept.items()))
    DIGESTS.write_text("".join(rows))


if __name__ == "__main__":
    main(sys.argv[1:])
