"""Servers that reject only one tenant: this does not count as load, and other servers get its requests."""

from __future__ import annotations

import asyncio
from pathlib import Path

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.testbed.balancer_harness import MS, SECOND, fleet, make_settings
from hollybay.testbed.loopback import OK, FakeDiscovery, ScriptedServer, request, running, settings

REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"


def test_a_tenant_is_served_where_it_is_welcome(tmp_path: Path) -> None:
    async def play() -> None:
        async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(REJECTION if b"x-tenant: b" in head.lower() else OK)

        rejecting = [ScriptedServer(f"s-{n}", script) for n in range(6)]
        tenants = [{"name": name, "share": 0.3} for name in ("a", "b", "c")]
        async with running(
            tmp_path / "c.json",
            FakeDiscovery(),
            ScriptedServer("open"),
            *rejecting,
            settings=settings(tenants=tenants),
        ) as node:

            async def ask(name: bytes, rid: str) -> bytes:
                extra = b"X-Account: %s\r\nX-Tenant: %s\r\n" % (name, name)
                return await node.ask(request("send", rid=rid, extra=extra))

            def asked(name: bytes) -> int:
                return sum(b"x-tenant: " + name in head for server in rejecting for head in server.heads)

            for n in range(20):
                await ask(b"b", f"learn-{n}")
            rejected_before = asked(b"b")
            for n in range(20):
                assert b" 200 " in await ask(b"b", f"b-{n}")
                assert b" 200 " in await ask(b"a", f"a-{n}")
            assert asked(b"b") == rejected_before <= len(rejecting)
            assert asked(b"a") >= 5  # these servers still get requests of other tenants

    asyncio.run(play())


def test_rejections_of_a_single_tenant_do_not_count_as_load() -> None:
    tenants = tuple(api.Tenant(name, 0.3) for name in "abc")
    balancer = Balancer(make_settings(tenants=tenants, max_retry_after=SECOND), 1, 0)
    balancer.handle(0, api.ServerList(api.ListKind.FULL, fleet(12), 1))
    rejected = [0, 0, 0]
    shed = 0.0
    for now in range(SECOND, 11 * SECOND, 5 * MS):
        rid = now // MS
        tenant = rid // 5 % 3
        result = api.Result.REJECTED if tenant == 1 else api.Result.OK
        actions = balancer.handle(now, api.Request(rid, 1, 4 * SECOND, tenant))
        balancer.handle(now, api.TimerFired(0))  # handles wakeups that are due
        attempts = 0
        while actions:
            action = actions.pop(0)
            if isinstance(action, api.Send):
                outcome = api.AttemptFinished(rid, attempts, action.server, result, 5 * MS, tenant != 1)
                actions += balancer.handle(now, outcome)
                attempts += 1
            rejected[tenant] += isinstance(action, api.Reject)
        shed = max(shed, balancer.load_shedder.shed_share)
    assert rejected[1] > 600  # no server accepts this tenant
    assert rejected[0] == rejected[2] == 0 and shed == 0.0
