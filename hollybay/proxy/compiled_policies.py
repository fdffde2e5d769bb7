"""What the accord's log means to a node: operator files as operations, resources as compiled plans.

Imported only where the operator file has [accord]. What takes the processor for long is done in threads,
beside the loop.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

from hollybay.balancing import interface as api
from hollybay.consensus.interfaces import FileRead, InvalidFileError
from hollybay.consensus.log import Entry
from hollybay.resources.batch import assemble
from hollybay.resources.model import Change, ChangeRefused
from hollybay.resources.state import ResourceState
from hollybay.routing.problems import OperatorError
from hollybay.routing.resource_route_table import ResourcePlan, Validator, plan_after, plan_of_state
from hollybay.routing.resource_tables import operations_between, resources_of
from hollybay.routing.schema import read_all

from .gc_pauses import paused
from .operator_file import YIELD

__all__ = ["PolicyPlans", "read_file"]

KEPT_PLANS = 8


class PolicyPlans:
    """The compiled plans of the last policies. settings: of this node; in_use: policies that are kept."""

    def __init__(self, settings: api.Settings, in_use: Callable[[], tuple[str, ...]]) -> None:
        self.settings = settings
        self.in_use = in_use
        self.by_name: dict[str, ResourcePlan] = {}

    async def compile(self, entry: Entry) -> list[str]:
        """Make the plan of a policy; why it does not hold."""
        name = entry.policy.name
        if name in self.by_name:
            return []
        made: list[ResourcePlan] = []
        problems = await _in_thread(lambda: made.append(self._made(entry)))
        if problems:
            return problems
        self.by_name[name] = made[0]
        for old in list(self.by_name)[:-KEPT_PLANS]:
            if old not in self.in_use():
                del self.by_name[old]
        return []

    def of(self, entry: Entry) -> ResourcePlan:
        """The plan of a policy that compiles. ChangeRefused: it does not."""
        plan = self.by_name.get(entry.policy.name)
        if plan is None:
            plan = self.by_name[entry.policy.name] = self._made(entry)
        return plan

    def _made(self, entry: Entry) -> ResourcePlan:
        """A plan, on that of the policy before where it is here: then its cost goes with what changes."""
        assert entry.state is not None
        before = self.by_name.get(entry.policy.parent_name)
        if before is None or entry.changed is None:
            return plan_of_state(entry.state, self.settings)
        return plan_after(before, entry.state, entry.changed, self.settings)

    async def culprits(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        """Which changes of a batch do not hold, by their ids; by themselves, and not only beside another one.

        One that holds alone may be refused for the others only once these are decided. Where there are only
        such, none is named, and the batch is divided.
        """
        found: dict[bytes, list[str]] = {}
        await _in_thread(lambda: found.update(self._culprits(base, changes)))
        return found

    def _culprits(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        assert base.state is not None
        plan = self.by_name.get(base.policy.name) or self._made(base)
        found: dict[bytes, list[str]] = {}
        for change, error in assemble(base.state, changes, Validator(plan, self.settings)).refused:
            if assemble(base.state, (change,), Validator(plan, self.settings)).refused:
                found[change.id] = [str(problem) for problem in error.problems]
        return found


async def read_file(file: bytes, state: ResourceState) -> FileRead:
    """What makes the resources what a file says, and the keepers that it names. InvalidFileError: it does
    not hold.
    """
    made: list[FileRead] = []
    problems = await _in_thread(lambda: made.append(_read(file, state)))
    if problems:
        raise InvalidFileError(problems)
    return made[0]


def _read(file: bytes, state: ResourceState) -> FileRead:
    tables, problems = read_all(file)
    if problems:
        raise OperatorError("operator file", problems)
    keepers = sorted(tables.accord.keepers) if tables.accord is not None else None
    return FileRead(operations_between(state, resources_of(tables)), keepers)


async def _in_thread(work: Callable[[], object]) -> list[str]:
    """Do what takes the processor for long beside the loop; the problems of what does not hold."""
    interval = sys.getswitchinterval()
    sys.setswitchinterval(YIELD)
    try:
        with paused():
            await asyncio.get_running_loop().run_in_executor(None, work)
    except OperatorError as error:
        return [str(problem) for problem in error.problems]
    except ChangeRefused as error:
        return [str(problem) for problem in error.problems]
    except Exception as error:  # what nobody foresaw costs this policy and nothing else
        return [f"cannot be compiled: {type(error).__name__}: {error}"]
    finally:
        sys.setswitchinterval(interval)
    return []
