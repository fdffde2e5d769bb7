"""Show the first event of each stream that does not lead to the recorded actions.

python -m tests.show_first_difference [STREAM ...]

The exit status is 1 if there is such an event.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from . import recorded_decisions as recorded
from .recorded_decisions import Line, Stream

__all__ = ["Difference", "digests", "first_difference"]

DIGESTS = recorded.FOLDER / "digests.txt"


@dataclass(frozen=True, slots=True)
class Difference:
    """The number of the event (from 0), with the recorded and the present decision."""

    number: int
    recorded: Line
    found: Line

    def __str__(self) -> str:
        before, after = self.recorded, self.found
        return (
            f"event {self.number} at {before.now} ns: {before.event}\n"
            f"  recorded: {before.actions}, draws at {before.draws}, check {before.check}\n"
            f"  now:      {after.actions}, draws at {after.draws}, check {after.check}"
        )


def first_difference(stream: Stream) -> Difference | None:
    """Return the first event with other actions, random draws or checksum; None if there is none."""
    for number, (before, after) in enumerate(recorded.replay(stream)):
        same = before.actions == after.actions and before.draws == after.draws
        if not same or before.check != after.check:
            return Difference(number, before, after)
    return None


def digests() -> dict[str, tuple[int, str]]:
    """Return the number of events and the digest of each stream, by its name."""
    rows = (row.split() for row in DIGESTS.read_text().splitlines())
    return {name: (int(events), digest) for name, events, digest in rows}


def main(wanted: list[str]) -> int:
    found = 0
    for name in wanted or recorded.names():
        difference = first_difference(recorded.load(name))
        if difference is not None:
            found = 1
            print(f"{name}: {difference}")
    if not found:
        print("the same decisions")
    return found


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
