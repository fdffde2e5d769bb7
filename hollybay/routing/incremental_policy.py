"""A policy compiled from a state of resources, with the indexes that applying a change needs.

The policy is immutable: `policy_update` derives the next one, which shares all unchanged parts with it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from immutables import Map

from hollybay.resources.model import Key, Kind, Resource

from .compiled_policy import CompiledPolicy, Route
from .limits import EffectiveLimits
from .resource_tables import decode_table
from .schema import ClassTable, LimitsTable, PathsTable, TenantTable
from .tenants import compile_tenant_limits

__all__ = ["MAX_COMPILED_TENANTS", "IncrementalPolicy", "PolicyChange", "StateTenants"]

# Tenants whose compiled limits are cached; those of others are compiled from the resource when needed.
MAX_COMPILED_TENANTS = 4096


class PolicyChange(NamedTuple):
    """One change in the history of a policy.

    Attributes
    ----------
    before
        Identity of the policy that was changed.
    removed_scopes
        Scopes that the change removed.
    """

    before: object
    removed_scopes: tuple[str, ...]


class StateTenants:
    """The tenants of a state; a tenant's table is decoded when its limits are first needed.

    Parameters
    ----------
    resources
        All resources of the state.
    count
        The number of tenants among them.
    compiled
        Cache of compiled limits by name and body, so that limits of an outdated body are never returned.
        Shared between the policies derived from one another, and bounded by `MAX_COMPILED_TENANTS`.
    """

    __slots__ = ("_count", "_resources", "compiled")

    def __init__(
        self,
        resources: Map[Key, Resource],
        count: int,
        compiled: dict[tuple[str, bytes], EffectiveLimits],
    ) -> None:
        self._resources = resources
        self._count = count
        self.compiled = compiled

    def get(self, name: str, /) -> EffectiveLimits | None:
        """Return the limits of a tenant, if it has any."""
        resource = self._resources.get(Key(Kind.TENANT, name))
        if resource is None:
            return None
        limits = self.compiled.get((name, resource.body))
        if limits is None:
            table = decode_table(resource.key, resource.body, TenantTable)
            limits = compile_tenant_limits(name, table)
            while len(self.compiled) >= MAX_COMPILED_TENANTS:
                del self.compiled[next(iter(self.compiled))]
            self.compiled[name, resource.body] = limits
        return limits

    def __contains__(self, name: object, /) -> bool:
        return isinstance(name, str) and Key(Kind.TENANT, name) in self._resources

    def __iter__(self) -> Iterator[str]:
        return (key.name for key in self._resources if key.kind is Kind.TENANT)

    def __len__(self) -> int:
        return self._count


@dataclass(frozen=True, slots=True, kw_only=True)
class IncrementalPolicy(CompiledPolicy):
    """A compiled policy with the data needed to derive the next one.

    Attributes
    ----------
    class_tables, defaults
        Tables from which limits are inherited.
    route_names_by_class
        By class index, the names of the routes that have limits for the class.
    header_counts
        By header, the number of routes and classes that inspect it.
    identity
        Identifies this policy in the history of later ones.
    history
        The last changes that led to this policy, the oldest first.
    """

    routes_by_name: Map[str, Route]
    tenants: StateTenants
    class_tables: Mapping[str, ClassTable]
    defaults: LimitsTable
    paths: PathsTable
    route_names_by_class: Mapping[int, Map[str, None]]
    header_counts: Map[bytes, int]
    identity: object = field(default_factory=object, compare=False)
    history: tuple[PolicyChange, ...] = field(default=(), compare=False)

    def scopes_removed_since(self, before: CompiledPolicy) -> Iterable[str] | None:
        """Return scopes removed since an earlier policy; None: it is not in the history."""
        if before is self:
            return ()
        if not isinstance(before, IncrementalPolicy):
            return None
        for position, change in enumerate(self.history):
            if change.before is before.identity:
                return {scope for later in self.history[position:] for scope in later.removed_scopes}
        return None
