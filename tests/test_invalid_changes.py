"""A node reports which changes of a batch it cannot serve: those that are invalid on their own."""

from __future__ import annotations

import asyncio

from hollybay.consensus.log_entry import Entry
from hollybay.consensus.policy import FIRST_POLICY
from hollybay.proxy.compiled_policies import CompiledPolicies
from hollybay.proxy.config import settings_from_json
from hollybay.resources.model import Change, Kind, Upsert
from hollybay.resources.state import EMPTY
from hollybay.routing.resource_tables import encode_table
from hollybay.routing.schema import PathTable, RouteTable
from hollybay.testbed.fake_environment import settings


def change_of(number: int, path: str, cls: str | None = None) -> Change:
    """Return a change that creates one route."""
    name = f"r{number}"
    body = encode_table(RouteTable(name=name, cls=cls, path=PathTable(prefix=path)))
    return Change(bytes([number]) * 16, 0, "why", "who", (Upsert(Kind.ROUTE, name, 0, body),))


def find_invalid_changes(*changes: Change) -> dict[bytes, list[str]]:
    """Return the invalid changes of a batch that is based on an empty state, with their reasons."""
    compiled_policies = CompiledPolicies(settings_from_json(settings(1)), lambda: ())
    base_state = EMPTY.with_revision((), 1)
    return asyncio.run(
        compiled_policies.find_invalid_changes(Entry(FIRST_POLICY, base_state, None, 0), changes)
    )


VALID = change_of(1, "/view-schedule/a")
INVALID = change_of(2, "/view-schedule/b", cls="nobody")
ALSO_INVALID = change_of(3, "/view-schedule/c", cls="somebody")
CONFLICTING = change_of(4, "/view-schedule/a")


def test_each_invalid_change_is_reported_with_its_own_reasons() -> None:
    found = find_invalid_changes(VALID, INVALID, ALSO_INVALID)
    assert set(found) == {INVALID.id, ALSO_INVALID.id}
    assert "'r2'" in found[INVALID.id][0] and "'r3'" not in str(found[INVALID.id])
    assert "'r3'" in found[ALSO_INVALID.id][0] and "'r2'" not in str(found[ALSO_INVALID.id])


def test_a_change_that_only_conflicts_with_another_is_not_reported() -> None:
    """The other change may never take effect."""
    assert find_invalid_changes(VALID, CONFLICTING) == {}
    assert set(find_invalid_changes(VALID, CONFLICTING, INVALID)) == {INVALID.id}
