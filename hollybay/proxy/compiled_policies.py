"""Compiled route plans of the policies in the log, and operator files as operations on resources.

Imported only where the operator file has [accord]. Long computations run in threads, beside the event loop.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import TypeVar

from hollybay.balancing import interface as api
from hollybay.consensus.interfaces import InvalidFileError, OperatorFileChanges
from hollybay.consensus.log_entry import Entry
from hollybay.resources.batch import assemble
from hollybay.resources.model import Change, ChangeRejectedError
from hollybay.resources.state import ResourceState
from hollybay.routing.incremental_policy import IncrementalPolicy
from hollybay.routing.policy_update import Validator, compile_state, update_policy
from hollybay.routing.problems import OperatorError
from hollybay.routing.resource_tables import operations_between, resources_of
from hollybay.routing.schema import read_all

from .gc_pauses import paused
from .operator_file import COMPILE_SWITCH_INTERVAL_S

__all__ = ["CompiledPolicies", "read_operator_file"]

T = TypeVar("T")
# How many of the last plans are kept, beside those in use.
KEPT_PLANS = 8


class CompiledPolicies:
    """The compiled plans of the last policies.

    Parameters
    ----------
    settings
        Settings of this node.
    in_use
        The names of the policies whose plans are kept in any case.
    """

    def __init__(self, settings: api.Settings, in_use: Callable[[], tuple[str, ...]]) -> None:
        self.settings = settings
        self.in_use = in_use
        self.by_name: dict[str, IncrementalPolicy] = {}

    async def compile_policy(self, entry: Entry) -> list[str]:
        """Compile a policy in a thread; why it cannot be compiled, empty: it was."""
        name = entry.policy.name
        if name in self.by_name:
            return []
        try:
            self.by_name[name] = await _in_thread(lambda: self._compiled(entry))
        except InvalidFileError as error:
            return error.problems
        for old_name in list(self.by_name)[:-KEPT_PLANS]:
            if old_name not in self.in_use():
                del self.by_name[old_name]
        return []

    def policy_of(self, entry: Entry) -> IncrementalPolicy:
        """The plan of a policy that compiles. ChangeRejectedError: it does not."""
        plan = self.by_name.get(entry.policy.name)
        if plan is None:
            plan = self.by_name[entry.policy.name] = self._compiled(entry)
        return plan

    def _compiled(self, entry: Entry) -> IncrementalPolicy:
        """The plan of a policy; made from that of its parent if it is here, at the cost of what changed."""
        assert entry.state is not None
        parent_plan = self.by_name.get(entry.policy.parent_name)
        if parent_plan is None or entry.changed_keys is None:
            return compile_state(entry.state, self.settings)
        return update_policy(parent_plan, entry.state, entry.changed_keys, self.settings)

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        """The changes of a batch that do not hold by themselves, by their ids, each with its problems.

        A change that fails only beside another one may be rejected once that one is decided. If there are
        only such changes none is named, and the batch is split.
        """
        try:
            return await _in_thread(lambda: self._find_invalid_changes(base, changes))
        except InvalidFileError:
            return {}

    def _find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        assert base.state is not None
        plan = self.by_name.get(base.policy.name) or self._compiled(base)
        culprits: dict[bytes, list[str]] = {}
        for change, error in assemble(base.state, changes, Validator(plan, self.settings)).rejected:
            if assemble(base.state, (change,), Validator(plan, self.settings)).rejected:
                culprits[change.id] = [str(problem) for problem in error.problems]
        return culprits


async def read_operator_file(file: bytes, state: ResourceState) -> OperatorFileChanges:
    """The operations that bring resources to what an operator file says, and the voters that it names.

    Raises
    ------
    InvalidFileError
        The file is invalid.
    """
    return await _in_thread(lambda: _read(file, state))


def _read(file: bytes, state: ResourceState) -> OperatorFileChanges:
    tables, problems = read_all(file)
    if problems:
        raise OperatorError("operator file", problems)
    voters = sorted(tables.consensus.voters) if tables.consensus is not None else None
    return OperatorFileChanges(operations_between(state, resources_of(tables)), voters)


async def _in_thread(compute: Callable[[], T]) -> T:
    """The result of a long computation, beside the event loop and without garbage collection.

    Raises
    ------
    InvalidFileError
        The input does not hold, or the computation failed unexpectedly.
    """
    interval = sys.getswitchinterval()
    sys.setswitchinterval(COMPILE_SWITCH_INTERVAL_S)
    try:
        with paused():
            return await asyncio.get_running_loop().run_in_executor(None, compute)
    except (OperatorError, ChangeRejectedError) as error:
        raise InvalidFileError([str(problem) for problem in error.problems]) from None
    except Exception as error:  # an unforeseen failure costs this policy and nothing else
        raise InvalidFileError([f"cannot be compiled: {type(error).__name__}: {error}"]) from None
    finally:
        sys.setswitchinterval(interval)
