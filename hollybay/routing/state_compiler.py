"""Compiles the policy of a whole state of resources, and validates changes one after another."""

from __future__ import annotations

from immutables import Map

from hollybay.balancing import interface as api
from hollybay.resources.model import Change
from hollybay.resources.state import ResourceState

from .compiled_policy import Route
from .incremental_policy import IncrementalPolicy, StateTenants
from .matcher import Matcher
from .paths import PathOptions
from .policy_update import update_policy
from .problems import FileProblem
from .route_compiler import LimitsContext, compile_class_limits
from .schema import LimitsTable, PathsTable

__all__ = ["Validator", "compile_state"]


def compile_state(state: ResourceState, settings: api.Settings) -> IncrementalPolicy:
    """Compile the policy of a whole state.

    Raises
    ------
    ChangeRejectedError
        The state is not valid; lists the problems.
    """
    return update_policy(_empty_policy(settings), state, state.resources, settings)


class Validator:
    """Validates changes one after another, each on top of those that were valid.

    Parameters
    ----------
    policy
        The policy before the first change; the policy after each valid change replaces it.
    settings
        The settings that the policy was compiled for.
    """

    def __init__(self, policy: IncrementalPolicy, settings: api.Settings) -> None:
        self.policy = policy
        self.settings = settings

    def __call__(self, state: ResourceState, change: Change) -> None:
        """Apply a change that leads to this state.

        Raises
        ------
        ChangeRejectedError
            The state would not be valid.
        """
        changed = [operation.key for operation in change.operations]
        self.policy = update_policy(self.policy, state, changed, self.settings)


def _empty_policy(settings: api.Settings) -> IncrementalPolicy:
    """Return the policy of a state without resources."""
    context = LimitsContext.of(settings, {}, LimitsTable())
    problems: list[FileProblem] = []
    routes_by_name: Map[str, Route] = Map()
    class_indexes = range(len(settings.classes))
    return IncrementalPolicy(
        routes_by_name.values(),
        Matcher(),
        context.class_indexes,
        tuple(compile_class_limits(index, context, problems) for index in class_indexes),
        PathOptions(),
        frozenset(),
        is_empty=True,
        routes_by_name=routes_by_name,
        tenants=StateTenants(Map(), 0, {}),
        class_tables={},
        defaults=LimitsTable(),
        paths=PathsTable(),
        route_names_by_class={index: Map() for index in class_indexes},
        header_counts=Map(),
    )
