"""What the process provides to its member of the replicated log: clocks, disk, random numbers, the node."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from .durable_acceptor import Disk
from .interfaces import DataPlane, MemberSettings

__all__ = ["Environment", "run_on_disk"]

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class Environment:
    """The surroundings of one member.

    Attributes
    ----------
    settings : MemberSettings
        Settings of the member.
    data_plane : DataPlane
        The node that the log configures.
    clock : callable
        The time in ns, of a clock that advances while the process is stopped.
    wall_clock : callable
        The time of day in ms.
    disk : Disk
        Runs a function that blocks on the disk beside the event loop, and returns once it is done.
    rng : random.Random
        The source of all random numbers.
    boot_id : str
        Names the machine's time since its start, in which `clock` is comparable between processes.
    before_disk_step : callable
        Called with the name of each step that touches the disk, before it; for tests.
    may_vote_here : callable
        Whether this process may be the voter of its name: another process may still be it.
    """

    settings: MemberSettings
    data_plane: DataPlane
    clock: Callable[[], int]
    wall_clock: Callable[[], int]
    disk: Disk
    rng: random.Random
    boot_id: str
    before_disk_step: Callable[[str], None]
    may_vote_here: Callable[[], bool]

    @property
    def folder(self) -> Path:
        """The folder that holds all files of this member."""
        return self.settings.folder / self.settings.name


async def run_on_disk(disk: Disk, work: Callable[[], _T]) -> _T:
    """Run a function that blocks on the disk, or takes long, and return its result."""
    results: list[_T] = []
    await disk(lambda: results.append(work()))
    return results[0]
