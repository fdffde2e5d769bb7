"""Dependencies of a member of the replicated log on its process: clocks, disk, random numbers, data plane."""

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
    """The dependencies of one member.

    Attributes
    ----------
    settings : MemberSettings
        Settings of the member.
    data_plane : DataPlane
        The node that the log configures.
    clock : callable
        The time in ns, on a clock that also advances while the process is stopped.
    wall_clock : callable
        The time of day in ms.
    disk : Disk
        Runs a function that blocks on the disk without blocking the event loop; returns once it is done.
    rng : random.Random
        The source of all random numbers.
    boot_id : str
        Identifies the current boot of the machine; values of `clock` are comparable between processes of
        one boot.
    before_disk_step : callable
        Called with the name of each disk operation before it; for tests.
    may_vote_here : callable
        Returns whether this process may act as the voter of its name, which no other process may still be.
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
        """The folder for all files of this member."""
        return self.settings.folder / self.settings.name


async def run_on_disk(disk: Disk, work: Callable[[], _T]) -> _T:
    """Run a function that blocks on the disk or takes long by means of `disk`, and return its result."""
    results: list[_T] = []
    await disk(lambda: results.append(work()))
    return results[0]
