"""What the accord's log means to this node: operator files as operations, resources as compiled plans.

Imported only where the operator file has [accord].
"""

from __future__ import annotations

from accord.log import Entry
from accord.service import FileRead
from lynxrouter import interface as api
from resources.batch import assemble
from resources.model import Change
from resources.state import ResourceState
from routing.problems import OperatorError
from routing.resource_plan import ResourcePlan, Validator, plan_after, plan_of_state
from routing.resource_tables import operations_between, resources_of
from routing.schema import read_all

__all__ = ["culprits_of", "plan_of", "read_file"]


def read_file(file: bytes, state: ResourceState) -> FileRead:
    """What makes the resources what a file says, and the keepers that it names.

    OperatorError, ChangeRefused: the file does not hold.
    """
    tables, problems = read_all(file)
    if problems:
        raise OperatorError("operator file", problems)
    keepers = sorted(tables.accord.keepers) if tables.accord is not None else None
    return FileRead(operations_between(state, resources_of(tables)), keepers)


def plan_of(entry: Entry, before: ResourcePlan | None, settings: api.Settings) -> ResourcePlan:
    """The plan of a policy; before: that of the policy that it follows, None: it is not at hand.

    ChangeRefused: it does not hold. On the plan before, the cost goes with what the policy changes.
    """
    assert entry.state is not None
    if before is None or entry.changed is None:
        return plan_of_state(entry.state, settings)
    return plan_after(before, entry.state, entry.changed, settings)


def culprits_of(
    base: Entry, plan: ResourcePlan | None, changes: tuple[Change, ...], settings: api.Settings
) -> dict[bytes, list[str]]:
    """Which changes of a batch do not hold, each on those before it that do, and why; by their ids.

    plan: that of the policy that the batch follows, None: it is not at hand.
    """
    state = base.state
    assert state is not None
    sound = Validator(plan if plan is not None else plan_of_state(state, settings), settings)
    return {
        change.id: [str(problem) for problem in error.problems]
        for change, error in assemble(state, changes, sound).refused
    }
