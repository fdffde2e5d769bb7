"""A consensus member over real sockets: rejected requests, the admin endpoint, and the policy commands."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import logging
import subprocess
import sys
from collections.abc import AsyncIterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import asynccontextmanager
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path
from threading import Barrier, BrokenBarrierError
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

from hollybay.cli.main import main
from hollybay.consensus import messages
from hollybay.consensus.core import EpochState, LeaseRequest, Prepare, Stage
from hollybay.consensus.interfaces import MemberSettings
from hollybay.consensus.log import PolicyLog
from hollybay.consensus.policy import first_policy
from hollybay.proxy.admin_client import call_policy
from hollybay.proxy.admin_service import AdminService
from hollybay.proxy.config import ConfigError
from hollybay.proxy.consensus_member import ConsensusMember
from hollybay.proxy.consensus_setup import create_consensus_member
from hollybay.proxy.operator_file import OperatorFile
from hollybay.resources.model import Change, Kind, Upsert
from hollybay.routing.policy_compiler import compile_file
from hollybay.routing.problems import OperatorError
from hollybay.testbed.balancer_harness import make_settings
from hollybay.testbed.loopback import (
    LIMIT,
    FakeDiscovery,
    RunningNode,
    ScriptedServer,
    request,
    running,
    settings,
)
from hollybay.units import MS

CONSENSUS_TABLE = '[accord]\nkeepers = ["127.0.0.1:1"]\nfolder = "unused"\n'
ROUTE = b'[[route]]\nname = "x"\npath = { prefix = "/view/x" }\n'


@asynccontextmanager
async def running_member(
    tmp_path: Path, *backends: ScriptedServer, name: str = "n0", voters: tuple[str, ...] = ()
) -> AsyncIterator[tuple[RunningNode, ConsensusMember]]:
    """A node with an admin address, which is the only voter unless others are given."""
    raw_settings = settings()
    raw_settings["caps"] = raw_settings["caps"] | {"retry-after": True, "max-retry-after": 10**9}
    async with running(tmp_path / f"{name}.json", FakeDiscovery(), *backends, settings=raw_settings) as node:
        path = tmp_path / f"{name}.toml"
        path.write_text(CONSENSUS_TABLE)
        config = replace(node.clients.config, admin=("127.0.0.1", 0), name=name)
        operator = OperatorFile(str(path), config.settings, 1, settle_pause=lambda: None)
        node.clients.admission = operator.admission
        node.clients.ready = True
        service = AdminService(config, node.clients, node.dispatcher)
        address = f"127.0.0.1:{await service.open()}"
        folder = tmp_path / "accord"
        member_settings = MemberSettings(name, address, voters or (address,), 800 * MS, 0, folder)
        member = create_consensus_member(member_settings, config, operator, node.clients, service)
        await member.start()
        try:
            yield node, member
        finally:
            member.close()
            service.close()


async def bootstrap(member: ConsensusMember, file: bytes = b"") -> None:
    body = messages.encode(messages.BootstrapCall(file=base64.b64encode(file).decode()))
    await call_policy(member.settings.address, "found", body, LIMIT)
    async with asyncio.timeout(LIMIT):
        while not member.may_begin_request():
            await asyncio.sleep(0.01)


async def send_request(member: ConsensusMember, head: str, body: bytes = b"") -> tuple[int, bytes]:
    host, _, port = member.settings.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    async with asyncio.timeout(LIMIT):
        writer.write(f"{head} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = await reader.read(-1)
    writer.close()
    return int(answer.split()[1]), answer.partition(b"\r\n\r\n")[2]


def route_change(name: str, base: int = 0, made_on: int = 0) -> Change:
    """A change that writes one route."""
    body = msgspec.msgpack.encode({"name": name, "path": {"prefix": f"/view/{name}"}})
    change_id = blake2b(name.encode(), digest_size=16).digest()
    return Change(change_id, made_on, "a route", "me", (Upsert(Kind.ROUTE, name, base, body),))


def test_a_node_rejects_requests_while_no_policy_is_in_force(tmp_path: Path) -> None:
    async def play() -> None:
        backend = ScriptedServer("s-1")
        async with running_member(tmp_path, backend) as (node, member):
            answer = await node.ask(request(rid="r-1"))
            assert answer.startswith(b"HTTP/1.1 503") and b"retry-after" in answer.lower()
            assert (await send_request(member, "GET /-/ready"))[0] == 503 and not backend.heads
            assert (await send_request(member, "POST /-/servers/s-1/disable"))[0] == 409
            began: list[tuple[str, ...]] = []
            member.on_request_begun = lambda at, names: began.append(names)
            await bootstrap(member)
            assert (await send_request(member, "GET /-/ready"))[0] == 200 and not began
            assert b" 200 " in await node.ask(request(rid="r-2"))
            assert began == [(first_policy((), [member.settings.address]).name,)]
            # The lease is not renewed any more, so it expires.
            member.service.close()
            async with asyncio.timeout(LIMIT):
                while member.may_begin_request():
                    await asyncio.sleep(0.02)
            assert (await node.ask(request(rid="r-3"))).startswith(b"HTTP/1.1 503")

    asyncio.run(play())


def test_invalid_requests_change_nothing_and_the_endpoint_still_responds(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_member(tmp_path) as (_, member):
            await bootstrap(member)
            acceptor = member.service.acceptor
            assert acceptor is not None and acceptor.state is not None
            state = acceptor.state.decided
            before = acceptor.state
            own_address = member.settings.address
            malformed_state = EpochState(7, Stage.SETTLED, "7-00000000000a", "8-00000000000b")
            lease_call = messages.LeaseCall(
                messages.MESSAGE_VERSION, LeaseRequest(1, 1, state, -1, True), "x", own_address, 900 * MS, 0
            )
            policy = first_policy([route_change("other")], [own_address])

            def proposal(**changed_fields: Any) -> bytes:
                fields = {
                    "file": base64.b64encode(ROUTE).decode(),
                    "parent": "",
                    "reason": "why",
                } | changed_fields
                return json.dumps(fields).encode()

            digest = policy.digest.hex()
            current_digest = first_policy((), [own_address]).digest.hex()
            for head, body, status, reason in (
                ("POST /-/policy/ask", b"", 400, "no such words"),
                ("POST /-/policy/ask", b"[" * 5000, 400, "no such words"),
                ("POST /-/policy/ask", b'{"form": 1}', 400, "missing required field"),
                (
                    "POST /-/policy/ask",
                    messages.encode(msgspec.structs.replace(lease_call, form=messages.MESSAGE_VERSION + 1)),
                    400,
                    f"this build speaks {messages.MESSAGE_VERSION}",
                ),
                ("POST /-/policy/ask", messages.encode(lease_call), 400, "at most are granted here"),
                (
                    "POST /-/policy/ask",
                    messages.encode(
                        msgspec.structs.replace(
                            lease_call, request=lease_call.request._replace(state=malformed_state)
                        )
                    ),
                    400,
                    "state",
                ),
                (
                    "POST /-/policy/know",
                    messages.encode(
                        messages.DecidedNotice(messages.MESSAGE_VERSION, malformed_state, own_address)
                    ),
                    400,
                    "state",
                ),
                ("POST /-/policy/prepare", b"{}", 400, "missing"),
                (
                    "POST /-/policy/accept",
                    b'{"form":%d,"call":[[1,1],[1,9,"a",""]],"by":"h:1"}' % messages.MESSAGE_VERSION,
                    400,
                    "Invalid enum",
                ),
                (
                    "POST /-/policy/found",
                    messages.encode(messages.BootstrapCall(policy=policy.name, source=own_address)),
                    409,
                    "founded already",
                ),
                (
                    "POST /-/policy/found",
                    messages.encode(messages.BootstrapCall(policy="????")),
                    409,
                    "policy",
                ),
                ("POST /-/policy/propose", proposal(), 409, "made on nothing"),
                ("POST /-/policy/propose", proposal(parent=digest), 409, "made on"),
                ("POST /-/policy/propose", proposal(file="no base64!", parent=current_digest), 409, "file"),
                (
                    "POST /-/policy/propose",
                    proposal(keepers=[own_address, "h:1"], parent=current_digest),
                    409,
                    "keepers: 2",
                ),
                ("POST /-/policy/propose", proposal(keepers=["nobody"]), 409, "no such words"),
                ("POST /-/policy/drop", b'{"change": "9-00000000000a"}', 409, "not under way"),
                ("POST /-/policy/nothing", b"{}", 404, "no such call"),
                ("GET /-/policy/file/../../etc/passwd", b"", 404, "no such call"),
                ("GET /-/policy/entry/9-00000000000a", b"", 404, "no policy"),
                ("PUT /-/policy", b"", 405, "GET and POST"),
                ("POST /-/policy/propose", b"x" * (messages.MAX_CALL_BYTES + 1), 413, "too long"),
                ("POST /-/drain", b"x" * 9000, 413, "too long"),
            ):
                got, answer = await send_request(member, head, body)
                assert got == status and reason in answer.decode(), (head, body[:80], got, answer[:200])
            assert acceptor.state._replace(leases=()) == before._replace(leases=())
            status_ = json.loads((await send_request(member, "GET /-/policy"))[1])
            assert status_["keeper"]["epoch"] == 0 and status_["serves"] == [state.policy]
            prepare = messages.encode(messages.PrepareCall(messages.MESSAGE_VERSION, Prepare((1, 1), 5)))
            assert (await send_request(member, "POST /-/policy/prepare", prepare))[0] == 200

    asyncio.run(play())


def run(member: ConsensusMember, *arguments: str) -> Result:
    return CliRunner().invoke(main, ["policy", *arguments, "--door", member.settings.address])


def test_policy_commands_and_their_exit_statuses(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_bytes(ROUTE)
    bad.write_text('[[route]]\nname = "x"\nclass = "nobody"\n')

    async def play() -> None:
        backend = ScriptedServer("s-1")
        async with running_member(tmp_path, backend) as (node, member):

            async def run_policy(*arguments: str) -> Result:
                return await asyncio.to_thread(run, member, *arguments)

            assert (await run_policy("status")).exit_code == 3
            assert (await run_policy("propose", str(good), "--reason", "r")).exit_code == 3
            assert (await run_policy("found")).exit_code == 0
            assert (await run_policy("found", str(good))).exit_code == 1
            done = await run_policy("propose", str(good), "--reason", "a route", "--author", "me")
            assert done.exit_code == 0 and "in force everywhere" in done.output, done.output
            assert b" 200 " in await node.ask(request(rid="r-1"))
            assert [route.name for route in member.admission.policy.routes] == ["x"]  # type: ignore[union-attr]
            rejected = await run_policy("propose", str(bad), "--reason", "a class")
            assert rejected.exit_code == 1 and "nobody" in rejected.output, rejected.output
            same = await run_policy("propose", str(good), "--reason", "again")
            assert same.exit_code == 1 and "says the same" in same.output
            assert (await run_policy("propose", str(tmp_path / "none"), "--reason", "r")).exit_code == 2
            assert (await run_policy("propose", "--reason", "r")).exit_code == 2
            outdated = await run_policy(
                "propose", "--out", "s-1", "--reason", "r", "--parent", "1-0123456789ab"
            )
            assert outdated.exit_code == 1 and "in force is 2-" in outdated.output
            drained = await run_policy("propose", "--out", "s-1", "--reason", "it is ill", "--json")
            drains = member.admin_service.server_drains.drains
            assert json.loads(drained.output)["code"] == 0 and drains.drained == {"s-1"}
            assert (await run_policy("back", "--reason", "it is well")).exit_code == 0
            assert not drains.drained
            no_change = await run_policy("drop")
            assert no_change.exit_code == 2 and "no change is under way" in no_change.output
            status = await run_policy("status")
            assert status.exit_code == 0 and "n0" in status.output and "epoch 9 settled: 4-" in status.output
            history = json.loads((await run_policy("history", "--json")).output)
            assert [record["epoch"] for record in history] == list(range(10))
            assert {"it is ill", "it is well", "a route"} <= {record["reason"] for record in history}
            names = [record["policy"] for record in history if record["stage"] == "SETTLED"]
            differs = await run_policy("diff", names[0], names[2])
            assert (
                differs.exit_code == 0
                and "+server-out 's-1'" in differs.output
                and "+route 'x'" in differs.output
            )
            assert (await run_policy("diff", names[0], "9-00000000000a")).exit_code == 2
        unreachable = await asyncio.to_thread(run, member, "propose", str(good), "--reason", "r")
        assert unreachable.exit_code == 3

    asyncio.run(play())


def test_policy_change_command_changes_single_resources(tmp_path: Path) -> None:
    first_file, second = tmp_path / "first.toml", tmp_path / "second.toml"
    first_file.write_bytes(ROUTE + ROUTE.replace(b"/x", b"/y").replace(b'"x"', b'"y"'))
    second.write_bytes(ROUTE.replace(b"/view/x", b"/view/z").replace(b'"x"', b'"z"'))
    bad = tmp_path / "bad.toml"
    bad.write_text('[[route]]\nname = "x"\nclass = "nobody"\n')

    async def play() -> None:
        async with running_member(tmp_path, ScriptedServer("s-1")) as (_, member):

            async def run_policy(*arguments: str) -> Result:
                return await asyncio.to_thread(run, member, *arguments)

            def routes() -> list[str]:
                return sorted(route.name for route in member.admission.policy.routes)  # type: ignore[union-attr]

            await bootstrap(member, first_file.read_bytes())
            assert routes() == ["x", "y"]
            shown = await run_policy("diff", str(second))
            assert shown.exit_code == 0 and "-route 'x'" in shown.output and "+route 'z'" in shown.output
            done = await run_policy("change", str(second), "--reason", "one more", "--json")
            assert done.exit_code == 0 and routes() == ["x", "y", "z"], done.output
            assert json.loads(done.output)["code"] == 0
            done = await run_policy("change", "--delete", "route/y", "--reason", "one less")
            assert done.exit_code == 0 and routes() == ["x", "z"], done.output
            for arguments, code, reason in (
                (("--delete", "route/y"), 1, "route/y: there is no such resource"),
                (("--delete", "rout/y"), 1, "kinds are class"),
                ((str(bad),), 1, "nobody"),
                ((str(second),), 1, "says the same"),
                ((str(tmp_path / "none"),), 2, "No such file"),
                ((), 2, "nothing to change"),
            ):
                rejected = await run_policy("change", *arguments, "--reason", "r")
                assert rejected.exit_code == code and reason in rejected.output, (arguments, rejected.output)
            assert routes() == ["x", "z"] and member.may_begin_request()

    asyncio.run(play())


def test_each_of_many_concurrent_changes_gets_its_own_outcome(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_member(tmp_path) as (_, member):
            early = await send_request(member, "POST /-/policy/change", change_body(route_change("early")))
            assert early[0] == 503 and json.loads(early[1])["retry_after_ms"] > 0
            await bootstrap(member)
            valid_changes = [route_change(f"r{n}") for n in range(20)]
            # They include two that no node can serve, one on a version that does not exist, and a duplicate.
            unserviceable = with_table(route_change("odd"), {"name": "odd", "class": "nobody"})
            also_unserviceable = with_table(route_change("rare"), {"name": "rare", "class": "somebody"})
            stale = route_change("stale", base=7)
            answers = await asyncio.gather(
                *(
                    send_request(member, "POST /-/policy/change", change_body(change))
                    for change in (*valid_changes, unserviceable, stale, valid_changes[0], also_unserviceable)
                )
            )
            assert [status for status, _ in answers] == [202] * 21 + [409, 202, 202]
            assert "was made on version 7" in answers[21][1].decode()
            outcomes = {
                change.id: await final_outcome(member, change)
                for change in (*valid_changes, unserviceable, also_unserviceable)
            }
            assert {outcomes[change.id].outcome for change in valid_changes} == {
                messages.ChangeOutcome.IN_FORCE
            }
            # Each of the two that cannot be served is rejected with its own reasons only.
            for change, own, other in (
                (unserviceable, "nobody", "somebody"),
                (also_unserviceable, "somebody", "nobody"),
            ):
                assert outcomes[change.id].outcome is messages.ChangeOutcome.REJECTED
                reasons = " ".join(str(problem) for problem in outcomes[change.id].problems)
                assert own in reasons and other not in reasons.replace(own, "")
            acceptor = member.service.acceptor
            assert acceptor is not None and acceptor.state is not None
            state = member.service.log.state(acceptor.state.decided.policy)
            # Few batches suffice: the changes that cannot be served were found before anything was proposed.
            assert state is not None and len(state.resources) == 20 and state.revision < 6
            for change in valid_changes:
                assert state.revision_of(change.id) == int(outcomes[change.id].policy.partition("-")[0])
            # A change that is proposed again takes no second effect.
            again = await send_request(member, "POST /-/policy/change", change_body(valid_changes[3]))
            assert again[0] == 202 and json.loads(again[1])["outcome"] == "in force"
            assert acceptor.state.decided.policy == member.service.policies_in_force[0]
            for path, status in ((f"change/{'0' * 32}", 200), ("change/xyz", 400), ("change/00", 400)):
                assert (await send_request(member, f"GET /-/policy/{path}"))[0] == status
            for body in (
                b"{}",
                b'{"change": "!!"}',
                b'{"change": "AAAA"}',
                change_body(unserviceable)[:-9] + b'"}',
            ):
                assert (await send_request(member, "POST /-/policy/change", body))[0] == 400, body[:60]

    asyncio.run(play())


def change_body(change: Change) -> bytes:
    return messages.encode(messages.ChangeCall(messages.change_to_text(change)))


def with_table(change: Change, table: dict[str, str]) -> Change:
    (operation,) = change.operations
    assert isinstance(operation, Upsert)
    fresh = msgspec.structs.replace(operation, body=msgspec.msgpack.encode(table))
    return msgspec.structs.replace(change, operations=(fresh,))


async def final_outcome(member: ConsensusMember, change: Change) -> messages.ChangeReply:
    """Wait for the final outcome of a change."""
    async with asyncio.timeout(LIMIT):
        while True:
            found = messages.decode(
                (await send_request(member, f"GET /-/policy/change/{change.id.hex()}"))[1],
                messages.ChangeReply,
            )
            if found.outcome in (messages.ChangeOutcome.IN_FORCE, messages.ChangeOutcome.REJECTED):
                return found
            await asyncio.sleep(0.02)


def test_data_longer_than_a_request_is_sent_in_chunks(tmp_path: Path) -> None:
    """The operator file, the change that it makes, and the first policy are longer than one chunk."""
    text = "".join(
        f'[[route]]\nname = "r{n}"\nhosts = ["h{n}.example.org"]\npath = {{ prefix = "/view/{n}" }}\n'
        for n in range(9000)
    )
    long_file, short_file = tmp_path / "whole.toml", tmp_path / "fewer.toml"
    long_file.write_text(text)
    short_file.write_text(text[: text.index('[[route]]\nname = "r6000"')])
    assert len(text) > 2 * messages.CHUNK_BYTES

    async def play() -> None:
        async with running_member(tmp_path) as (_, member):
            found = await asyncio.to_thread(run, member, "found", str(long_file))
            assert found.exit_code == 0, found.output
            async with asyncio.timeout(LIMIT):
                while not member.may_begin_request():
                    await asyncio.sleep(0.01)
            assert len(member.admission.policy.routes) == 9000  # type: ignore[union-attr]
            done = await asyncio.to_thread(run, member, "propose", str(short_file), "--reason", "fewer")
            assert done.exit_code == 0, done.output
            assert len(member.admission.policy.routes) == 6000  # type: ignore[union-attr]
            # Another node with an empty disk fetches the policies in chunks.
            async with running_member(tmp_path, name="n1", voters=(member.settings.address,)) as (_, other):
                async with asyncio.timeout(LIMIT):
                    while not other.may_begin_request():
                        await asyncio.sleep(0.02)
                own_service, other_service = member.service, other.service
                assert other_service.log.state(other_service.policies_in_force[0]) == own_service.log.state(
                    own_service.policies_in_force[0]
                )

    asyncio.run(play())


def test_sighup_proposes_nothing_and_logs_the_command_to_use(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def play() -> None:
        path = tmp_path / "operator.toml"
        path.write_text(CONSENSUS_TABLE)
        operator = OperatorFile(str(path), make_settings(), 1, settle_pause=lambda: None)
        plan = operator.admission.policy
        path.write_bytes(ROUTE)
        with caplog.at_level(logging.ERROR):
            operator.reload()
        assert operator.reloads_finished == 1 and operator.admission.policy is plan
        assert "hollybay policy propose" in caplog.text

    asyncio.run(play())


def test_a_second_process_of_a_name_is_not_a_voter_while_the_first_runs(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_member(tmp_path) as (_, one):
            await bootstrap(one)
            async with running_member(tmp_path, voters=(one.settings.address,)) as (_, other):
                assert not other._may_vote_here() and other.service.acceptor is None
                async with asyncio.timeout(LIMIT):
                    while not other.may_begin_request():  # as a node it holds its own lease
                        await asyncio.sleep(0.01)
                status: Any = one.service.status()
                assert [m["twice"] for m in status["keeper"]["members"]] == [True, True]
                one.close()
                assert other._may_vote_here()

    asyncio.run(play())


def test_invalid_settings_in_the_accord_table_are_rejected(tmp_path: Path) -> None:
    for text, reason in (
        ('[accord]\nfolder = "f"\n', "keepers: missing"),
        ('[accord]\nfolder = "f"\nkeepers = ["a:1", "b:1"]\n', "an even number"),
        ('[accord]\nfolder = "f"\nkeepers = ["a:1", "a:1", "b:1"]\n', "one stands twice"),
        ('[accord]\nfolder = "f"\nkeepers = ["here"]\n', "keepers"),
        (CONSENSUS_TABLE + 'lease = "100ms"\n', "must be from 500 ms"),
        (CONSENSUS_TABLE + 'when_unsure = "guess"\n', "when_unsure"),
        (CONSENSUS_TABLE + 'when_unsure = "narrow"\nnarrow_for = "2d"\n', "narrow_for"),
    ):
        with pytest.raises(OperatorError) as caught:
            compile_file(text, make_settings())
        assert reason in str(caught.value), (text, str(caught.value))
    both = tmp_path / "both.toml"
    both.write_bytes(CONSENSUS_TABLE.encode() + ROUTE.replace(b"/view", b"/read"))
    with pytest.raises(ConfigError, match="hollybay policy propose"):
        OperatorFile(str(both), make_settings(), 1, settle_pause=lambda: None)


def failed_start(tmp_path: Path, **changes: object) -> str:
    """Start a node with an invalid configuration; returns its error output."""
    config = {
        "name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": settings(),
        "admin": "127.0.0.1:1",
    } | changes  # fmt: skip
    (tmp_path / "c.json").write_text(json.dumps({k: v for k, v in config.items() if v is not None}))
    (tmp_path / "o.toml").write_text(CONSENSUS_TABLE.replace("unused", str(tmp_path / "a")))
    environ = {"BALANCER_CONFIG": str(tmp_path / "c.json"), "HOLLYBAY_OPERATOR": str(tmp_path / "o.toml")}
    done = subprocess.run(
        [sys.executable, "-m", "hollybay.proxy"],
        env=environ, capture_output=True, text=True, timeout=LIMIT, check=False,
        cwd=Path(__file__).resolve().parent.parent,
    )  # fmt: skip
    assert done.returncode == 2 and "Traceback" not in done.stderr, done.stderr
    return done.stderr


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"admin": None}, "admin: missing"),
        ({"admin": "0.0.0.0:9"}, "no address of one node"),
        ({"name": "a/b"}, "name: 'a/b'"),
        ({"limits": {"sockets": 192}}, "limits.sockets: 192"),
    ],
)
def test_a_node_with_settings_unfit_for_consensus_does_not_start(
    changes: dict[str, object], reason: str, tmp_path: Path
) -> None:
    assert reason in failed_start(tmp_path, **changes)


def test_consensus_modules_are_not_imported_without_the_accord_table() -> None:
    code = (
        "import sys, hollybay.proxy.__main__, hollybay.proxy.operator_file, hollybay.proxy.admin_service\n"
        "from hollybay.routing.policy_compiler import compile_file\n"
        "from hollybay.testbed.balancer_harness import make_settings\n"
        "assert compile_file(b'', make_settings()).consensus is None\n"
        "mine = ('hollybay.consensus', 'structlog', 'hollybay.proxy.consensus_member',\n"
        "    'hollybay.proxy.consensus_setup', 'hollybay.proxy.admin_client')\n"
        "sys.exit(any(n in mine or n.startswith('hollybay.consensus.') for n in sys.modules))"
    )
    root = Path(__file__).resolve().parent.parent
    assert subprocess.run([sys.executable, "-c", code], cwd=root, check=False).returncode == 0


def test_two_threads_can_append_the_same_policy_to_the_log(tmp_path: Path) -> None:
    barrier = Barrier(2)

    def before_step(step: str) -> None:
        # The barrier completes only if both threads write at the same time. One of them must find the policy
        # written by the other, so the barrier breaks by time-out.
        with contextlib.suppress(BrokenBarrierError):
            barrier.wait(0.2)

    log, policy = PolicyLog(tmp_path / "policies", before_step), first_policy([route_change("one")])
    with ThreadPoolExecutor(2) as pool:
        for done in [pool.submit(log.append, policy) for _ in range(2)]:
            done.result()
    reopened = PolicyLog(tmp_path / "policies")
    reopened.open()
    assert barrier.broken and reopened.policy(policy.name) == policy.without_changes()
