"""Which changes of a batch a node names that it cannot serve: those that do not hold by themselves."""

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
    """A change that creates one route."""
    name = f"r{number}"
    body = encode_table(RouteTable(name=name, cls=cls, path=PathTable(prefix=path)))
    return Change(bytes([number]) * 16, 0, "why", "who", (Upsert(Kind.ROUTE, name, 0, body),))


def find_invalid_changes(*changes: Change) -> dict[bytes, list[str]]:
    """What a node names of a batch on no resources."""
    compiled_policies = CompiledPolicies(settings_from_json(settings(1)), lambda: ())
    sealed = EMPTY.with_revision((), 1)
    return asyncio.run(compiled_policies.find_invalid_changes(Entry(FIRST_POLICY, sealed, None, 0), changes))


GOOD = change_of(1, "/view-schedule/a")
BAD = change_of(2, "/view-schedule/b", cls="nobody")
WORSE = change_of(3, "/view-schedule/c", cls="somebody")
SAME = change_of(4, "/view-schedule/a")


def test_each_is_named_for_its_own_reasons() -> None:
    found = find_invalid_changes(GOOD, BAD, WORSE)
    assert set(found) == {BAD.id, WORSE.id}
    assert "'r2'" in found[BAD.id][0] and "'r3'" not in str(found[BAD.id])
    assert "'r3'" in found[WORSE.id][0] and "'r2'" not in str(found[WORSE.id])


def test_one_that_does_not_hold_only_beside_another_is_not_named() -> None:
    """The other one may never be in force."""
    assert find_invalid_changes(GOOD, SAME) == {}
    assert set(find_invalid_changes(GOOD, SAME, BAD)) == {BAD.id}
