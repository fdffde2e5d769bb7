"""Compiled policies of the replicated log, and conversion of operator files into operations on resources.

Imported only if the operator file has an [accord] table. Long computations run in threads, so that they do
not block the event loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from hollybay.balancing.interface import Settings
from hollybay.consensus.interfaces import InvalidFileError, OperatorFileChanges
from hollybay.consensus.log_entry import Entry
from hollybay.resources.batch import assemble
from hollybay.resources.model import Change, ChangeRejectedError
from hollybay.resources.state import ResourceState
from hollybay.routing.incremental_policy import IncrementalPolicy
from hollybay.routing.policy_update import update_policy
from hollybay.routing.problems import OperatorError
from hollybay.routing.resource_tables import operations_between, resources_of
from hollybay.routing.schema import read_all
from hollybay.routing.state_compiler import Validator, compile_state

from .gc_pauses import paused
from .thread_switching import short_switch_interval

__all__ = ["CompiledPolicies", "read_operator_file"]

T = TypeVar("T")
RECENT_POLICIES_CACHED = 8  # in addition to those in use


class CompiledPolicies:
    """Cache of compiled policies: the most recent ones, and those in use.

    Parameters
    ----------
    settings
        Settings of this node's balancer, which policies are compiled for.
    policies_in_use
        Returns the names of the policies that must stay cached.
    """

    def __init__(self, settings: Settings, policies_in_use: Callable[[], tuple[str, ...]]) -> None:
        self.settings = settings
        self.policies_in_use = policies_in_use
        self._by_name: dict[str, IncrementalPolicy] = {}

    async def compile_policy(self, entry: Entry) -> list[str]:
        """Compile the policy of an entry in a thread and cache it.

        Returns
        -------
        list of str
            Why the policy cannot be compiled; empty if it was compiled.
        """
        name = entry.policy.name
        if name in self._by_name:
            return []
        try:
            self._by_name[name] = await _run_in_thread(lambda: self._compile(entry))
        except InvalidFileError as error:
            return error.problems
        for old_name in list(self._by_name)[:-RECENT_POLICIES_CACHED]:
            if old_name not in self.policies_in_use():
                del self._by_name[old_name]
        return []

    def policy_of(self, entry: Entry) -> IncrementalPolicy:
        """Return the compiled policy of an entry; it is compiled at once if it is not cached.

        Raises
        ------
        ChangeRejectedError
            The policy does not compile.
        """
        compiled = self._by_name.get(entry.policy.name)
        if compiled is None:
            compiled = self._by_name[entry.policy.name] = self._compile(entry)
        return compiled

    def _compile(self, entry: Entry) -> IncrementalPolicy:
        """Compile a policy, incrementally from its parent if that is cached and the changes are known."""
        assert entry.state is not None
        parent = self._by_name.get(entry.policy.parent_name)
        if parent is None or entry.changed_keys is None:
            return compile_state(entry.state, self.settings)
        return update_policy(parent, entry.state, entry.changed_keys, self.settings)

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        """Find the changes of a batch that are invalid by themselves.

        A change that is invalid only together with another one may be rejected after that one is decided. If
        there are only such changes, the result is empty and the batch is split.

        Returns
        -------
        dict
            The problems of each such change, by its id.
        """
        try:
            return await _run_in_thread(lambda: self._find_invalid_changes(base, changes))
        except InvalidFileError:
            return {}

    def _find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        assert base.state is not None
        policy = self._by_name.get(base.policy.name) or self._compile(base)
        invalid_changes: dict[bytes, list[str]] = {}
        for change, error in assemble(base.state, changes, Validator(policy, self.settings)).rejected:
            alone = assemble(base.state, (change,), Validator(policy, self.settings))
            if alone.rejected:
                invalid_changes[change.id] = [str(problem) for problem in error.problems]
        return invalid_changes


async def read_operator_file(file: bytes, state: ResourceState) -> OperatorFileChanges:
    """Compare an operator file with resources, in a thread.

    Raises
    ------
    InvalidFileError
        The file is invalid.
    """
    return await _run_in_thread(lambda: _compare(file, state))


def _compare(file: bytes, state: ResourceState) -> OperatorFileChanges:
    tables, problems = read_all(file)
    if problems:
        raise OperatorError("operator file", problems)
    voters = sorted(tables.consensus.voters) if tables.consensus is not None else None
    return OperatorFileChanges(operations_between(state, resources_of(tables)), voters)


async def _run_in_thread(compute: Callable[[], T]) -> T:
    """Run a long computation in a thread, with garbage collection paused.

    Raises
    ------
    InvalidFileError
        The input is invalid, or the computation failed unexpectedly.
    """
    try:
        with short_switch_interval(), paused():
            return await asyncio.get_running_loop().run_in_executor(None, compute)
    except (OperatorError, ChangeRejectedError) as error:
        raise InvalidFileError([str(problem) for problem in error.problems]) from None
    except Exception as error:  # an unexpected error rejects only this policy
        raise InvalidFileError([f"cannot be compiled: {type(error).__name__}: {error}"]) from None
