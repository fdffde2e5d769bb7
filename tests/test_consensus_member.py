"""A consensus member over real sockets: what it rejects, what its admin server bears, what operators see."""

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

START = '[accord]\nkeepers = ["127.0.0.1:1"]\nfolder = "unused"\n'
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
        path.write_text(START)
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


def test_a_node_that_cannot_know_refuses_at_once_and_serves_once_it_does(tmp_path: Path) -> None:
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
            # Nobody renews its lease any more: it is over within its time.
            member.service.close()
            async with asyncio.timeout(LIMIT):
                while member.may_begin_request():
                    await asyncio.sleep(0.02)
            assert (await node.ask(request(rid="r-3"))).startswith(b"HTTP/1.1 503")

    asyncio.run(play())


def test_bad_calls_change_nothing_and_the_door_still_answers(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_member(tmp_path) as (_, member):
            await bootstrap(member)
            acceptor = member.service.acceptor
            assert acceptor is not None and acceptor.state is not None
            state = acceptor.state.decided
            before = acceptor.state
            here = member.settings.address
            odd = EpochState(7, Stage.SETTLED, "7-00000000000a", "8-00000000000b")
            ask = messages.LeaseCall(
                messages.FORM, LeaseRequest(1, 1, state, -1, True), "x", here, 900 * MS, 0
            )
            policy = first_policy([route_change("other")], [here])

            def proposal(**words: Any) -> bytes:
                whole = {"file": base64.b64encode(ROUTE).decode(), "parent": "", "reason": "why"} | words
                return json.dumps(whole).encode()

            digest = policy.digest.hex()
            now = first_policy((), [here]).digest.hex()
            for head, body, status, reason in (
                ("POST /-/policy/ask", b"", 400, "no such words"),
                ("POST /-/policy/ask", b"[" * 5000, 400, "no such words"),
                ("POST /-/policy/ask", b'{"form": 1}', 400, "missing required field"),
                (
                    "POST /-/policy/ask",
                    messages.encode(msgspec.structs.replace(ask, form=messages.FORM + 1)),
                    400,
                    f"this build speaks {messages.FORM}",
                ),
                ("POST /-/policy/ask", messages.encode(ask), 400, "at most are granted here"),
                (
                    "POST /-/policy/ask",
                    messages.encode(msgspec.structs.replace(ask, request=ask.request._replace(state=odd))),
                    400,
                    "state",
                ),
                (
                    "POST /-/policy/know",
                    messages.encode(messages.DecidedNotice(messages.FORM, odd, here)),
                    400,
                    "state",
                ),
                ("POST /-/policy/prepare", b"{}", 400, "missing"),
                (
                    "POST /-/policy/accept",
                    b'{"form":%d,"call":[[1,1],[1,9,"a",""]],"by":"h:1"}' % messages.FORM,
                    400,
                    "Invalid enum",
                ),
                (
                    "POST /-/policy/found",
                    messages.encode(messages.BootstrapCall(policy=policy.name, source=here)),
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
                ("POST /-/policy/propose", proposal(file="no base64!", parent=now), 409, "file"),
                ("POST /-/policy/propose", proposal(keepers=[here, "h:1"], parent=now), 409, "keepers: 2"),
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
            prepare = messages.encode(messages.PrepareCall(messages.FORM, Prepare((1, 1), 5)))
            assert (await send_request(member, "POST /-/policy/prepare", prepare))[0] == 200

    asyncio.run(play())


def run(member: ConsensusMember, *words: str) -> Result:
    return CliRunner().invoke(main, ["policy", *words, "--door", member.settings.address])


def test_the_command_and_its_exit_statuses(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_bytes(ROUTE)
    bad.write_text('[[route]]\nname = "x"\nclass = "nobody"\n')

    async def play() -> None:
        backend = ScriptedServer("s-1")
        async with running_member(tmp_path, backend) as (node, member):

            async def did(*words: str) -> Result:
                return await asyncio.to_thread(run, member, *words)

            assert (await did("status")).exit_code == 3
            assert (await did("propose", str(good), "--reason", "r")).exit_code == 3
            assert (await did("found")).exit_code == 0
            assert (await did("found", str(good))).exit_code == 1
            done = await did("propose", str(good), "--reason", "a route", "--author", "me")
            assert done.exit_code == 0 and "in force everywhere" in done.output, done.output
            assert b" 200 " in await node.ask(request(rid="r-1"))
            assert [route.name for route in member.admission.policy.routes] == ["x"]  # type: ignore[union-attr]
            refused = await did("propose", str(bad), "--reason", "a class")
            assert refused.exit_code == 1 and "nobody" in refused.output, refused.output
            same = await did("propose", str(good), "--reason", "again")
            assert same.exit_code == 1 and "says the same" in same.output
            assert (await did("propose", str(tmp_path / "none"), "--reason", "r")).exit_code == 2
            assert (await did("propose", "--reason", "r")).exit_code == 2
            old = await did("propose", "--out", "s-1", "--reason", "r", "--parent", "1-0123456789ab")
            assert old.exit_code == 1 and "in force is 2-" in old.output
            out = await did("propose", "--out", "s-1", "--reason", "it is ill", "--json")
            drains = member.admin_service.server_drains.drains
            assert json.loads(out.output)["code"] == 0 and drains.drained == {"s-1"}
            assert (await did("back", "--reason", "it is well")).exit_code == 0
            assert not drains.drained
            nothing = await did("drop")
            assert nothing.exit_code == 2 and "no change is under way" in nothing.output
            told = await did("status")
            assert told.exit_code == 0 and "n0" in told.output and "epoch 9 settled: 4-" in told.output
            history = json.loads((await did("history", "--json")).output)
            assert [one["epoch"] for one in history] == list(range(10))
            assert {"it is ill", "it is well", "a route"} <= {one["reason"] for one in history}
            names = [one["policy"] for one in history if one["stage"] == "SETTLED"]
            differs = await did("diff", names[0], names[2])
            assert (
                differs.exit_code == 0
                and "+server-out 's-1'" in differs.output
                and "+route 'x'" in differs.output
            )
            assert (await did("diff", names[0], "9-00000000000a")).exit_code == 2
        nobody = await asyncio.to_thread(run, member, "propose", str(good), "--reason", "r")
        assert nobody.exit_code == 3

    asyncio.run(play())


def test_a_change_of_one_resource_by_the_command(tmp_path: Path) -> None:
    first_file, second = tmp_path / "first.toml", tmp_path / "second.toml"
    first_file.write_bytes(ROUTE + ROUTE.replace(b"/x", b"/y").replace(b'"x"', b'"y"'))
    second.write_bytes(ROUTE.replace(b"/view/x", b"/view/z").replace(b'"x"', b'"z"'))
    bad = tmp_path / "bad.toml"
    bad.write_text('[[route]]\nname = "x"\nclass = "nobody"\n')

    async def play() -> None:
        async with running_member(tmp_path, ScriptedServer("s-1")) as (_, member):

            async def did(*words: str) -> Result:
                return await asyncio.to_thread(run, member, *words)

            def routes() -> list[str]:
                return sorted(route.name for route in member.admission.policy.routes)  # type: ignore[union-attr]

            await bootstrap(member, first_file.read_bytes())
            assert routes() == ["x", "y"]
            shown = await did("diff", str(second))
            assert shown.exit_code == 0 and "-route 'x'" in shown.output and "+route 'z'" in shown.output
            done = await did("change", str(second), "--reason", "one more", "--json")
            assert done.exit_code == 0 and routes() == ["x", "y", "z"], done.output
            assert json.loads(done.output)["code"] == 0
            done = await did("change", "--delete", "route/y", "--reason", "one less")
            assert done.exit_code == 0 and routes() == ["x", "z"], done.output
            for words, code, why in (
                (("--delete", "route/y"), 1, "route/y: there is no such resource"),
                (("--delete", "rout/y"), 1, "kinds are class"),
                ((str(bad),), 1, "nobody"),
                ((str(second),), 1, "says the same"),
                ((str(tmp_path / "none"),), 2, "No such file"),
                ((), 2, "nothing to change"),
            ):
                refused = await did("change", *words, "--reason", "r")
                assert refused.exit_code == code and why in refused.output, (words, refused.output)
            assert routes() == ["x", "z"] and member.may_begin_request()

    asyncio.run(play())


def test_changes_by_calls_each_hears_of_its_own(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_member(tmp_path) as (_, member):
            early = await send_request(member, "POST /-/policy/change", changing(route_change("early")))
            assert early[0] == 503 and json.loads(early[1])["retry_after_ms"] > 0
            await bootstrap(member)
            many = [route_change(f"r{n}") for n in range(20)]
            # One that no node can serve among them, one on a version that never was, one that comes twice.
            odd = replaced(route_change("odd"), {"name": "odd", "class": "nobody"})
            rare = replaced(route_change("rare"), {"name": "rare", "class": "somebody"})
            stale = route_change("stale", base=7)
            answers = await asyncio.gather(
                *(
                    send_request(member, "POST /-/policy/change", changing(one))
                    for one in (*many, odd, stale, many[0], rare)
                )
            )
            assert [status for status, _ in answers] == [202] * 21 + [409, 202, 202]
            assert "was made on version 7" in answers[21][1].decode()
            told = {one.id: await ended(member, one) for one in (*many, odd, rare)}
            assert {told[one.id].outcome for one in many} == {messages.ChangeOutcome.IN_FORCE}
            # Each of the two that cannot be served hears of its own reason, and of no other.
            for one, own, other in ((odd, "nobody", "somebody"), (rare, "somebody", "nobody")):
                assert told[one.id].outcome is messages.ChangeOutcome.REJECTED
                reasons = " ".join(str(problem) for problem in told[one.id].problems)
                assert own in reasons and other not in reasons.replace(own, "")
            acceptor = member.service.acceptor
            assert acceptor is not None and acceptor.state is not None
            state = member.service.log.state(acceptor.state.decided.policy)
            # Two batches were enough, as the one was found before anything was proposed.
            assert state is not None and len(state.resources) == 20 and state.revision < 6
            for one in many:
                assert state.revision_of(one.id) == int(told[one.id].policy.partition("-")[0])
            # Proposed again, it is the same change and has no second effect.
            again = await send_request(member, "POST /-/policy/change", changing(many[3]))
            assert again[0] == 202 and json.loads(again[1])["outcome"] == "in force"
            assert acceptor.state.decided.policy == member.service.policies_in_force[0]
            for path, status in ((f"change/{'0' * 32}", 200), ("change/xyz", 400), ("change/00", 400)):
                assert (await send_request(member, f"GET /-/policy/{path}"))[0] == status
            for body in (b"{}", b'{"change": "!!"}', b'{"change": "AAAA"}', changing(odd)[:-9] + b'"}'):
                assert (await send_request(member, "POST /-/policy/change", body))[0] == 400, body[:60]

    asyncio.run(play())


def changing(change: Change) -> bytes:
    return messages.encode(messages.ChangeCall(messages.change_text(change)))


def replaced(change: Change, table: dict[str, str]) -> Change:
    (operation,) = change.operations
    assert isinstance(operation, Upsert)
    fresh = msgspec.structs.replace(operation, body=msgspec.msgpack.encode(table))
    return msgspec.structs.replace(change, operations=(fresh,))


async def ended(member: ConsensusMember, change: Change) -> messages.ChangeReply:
    """What became of a change, once that is known."""
    async with asyncio.timeout(LIMIT):
        while True:
            found = messages.decode(
                (await send_request(member, f"GET /-/policy/change/{change.id.hex()}"))[1],
                messages.ChangeReply,
            )
            if found.outcome in (messages.ChangeOutcome.IN_FORCE, messages.ChangeOutcome.REJECTED):
                return found
            await asyncio.sleep(0.02)


def test_what_is_longer_than_a_call_goes_in_pieces(tmp_path: Path) -> None:
    """An operator file, the change that it makes, and the first_policy policy, each of some MiB."""
    text = "".join(
        f'[[route]]\nname = "r{n}"\nhosts = ["h{n}.example.org"]\npath = {{ prefix = "/view/{n}" }}\n'
        for n in range(9000)
    )
    whole, fewer = tmp_path / "whole.toml", tmp_path / "fewer.toml"
    whole.write_text(text)
    fewer.write_text(text[: text.index('[[route]]\nname = "r6000"')])
    assert len(text) > 2 * messages.PIECE_BYTES

    async def play() -> None:
        async with running_member(tmp_path) as (_, member):
            found = await asyncio.to_thread(run, member, "found", str(whole))
            assert found.exit_code == 0, found.output
            async with asyncio.timeout(LIMIT):
                while not member.may_begin_request():
                    await asyncio.sleep(0.01)
            assert len(member.admission.policy.routes) == 9000  # type: ignore[union-attr]
            done = await asyncio.to_thread(run, member, "propose", str(fewer), "--reason", "fewer")
            assert done.exit_code == 0, done.output
            assert len(member.admission.policy.routes) == 6000  # type: ignore[union-attr]
            # Another node, with nothing on its disk, fetches all that in pieces.
            async with running_member(tmp_path, name="n1", voters=(member.settings.address,)) as (_, other):
                async with asyncio.timeout(LIMIT):
                    while not other.may_begin_request():
                        await asyncio.sleep(0.02)
                mine, its = member.service, other.service
                assert its.log.state(its.policies_in_force[0]) == mine.log.state(mine.policies_in_force[0])

    asyncio.run(play())


def test_sighup_proposes_nothing_and_says_what_to_use(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def play() -> None:
        path = tmp_path / "operator.toml"
        path.write_text(START)
        operator = OperatorFile(str(path), make_settings(), 1, settle_pause=lambda: None)
        plan = operator.admission.policy
        path.write_bytes(ROUTE)
        with caplog.at_level(logging.ERROR):
            operator.reload()
        assert operator.reloads_finished == 1 and operator.admission.policy is plan
        assert "hollybay policy propose" in caplog.text

    asyncio.run(play())


def test_a_second_process_of_a_name_is_no_keeper_while_the_first_lives(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_member(tmp_path) as (_, one):
            await bootstrap(one)
            async with running_member(tmp_path, voters=(one.settings.address,)) as (_, other):
                assert not other._may_vote_here() and other.service.acceptor is None
                async with asyncio.timeout(LIMIT):
                    while not other.may_begin_request():  # as a node it holds a lease of its own
                        await asyncio.sleep(0.01)
                status: Any = one.service.status()
                assert [m["twice"] for m in status["keeper"]["members"]] == [True, True]
                one.close()
                assert other._may_vote_here()

    asyncio.run(play())


def test_what_does_not_hold_in_the_table_is_refused(tmp_path: Path) -> None:
    for text, reason in (
        ('[accord]\nfolder = "f"\n', "keepers: missing"),
        ('[accord]\nfolder = "f"\nkeepers = ["a:1", "b:1"]\n', "an even number"),
        ('[accord]\nfolder = "f"\nkeepers = ["a:1", "a:1", "b:1"]\n', "one stands twice"),
        ('[accord]\nfolder = "f"\nkeepers = ["here"]\n', "keepers"),
        (START + 'lease = "100ms"\n', "must be from 500 ms"),
        (START + 'when_unsure = "guess"\n', "when_unsure"),
        (START + 'when_unsure = "narrow"\nnarrow_for = "2d"\n', "narrow_for"),
    ):
        with pytest.raises(OperatorError) as caught:
            compile_file(text, make_settings())
        assert reason in str(caught.value), (text, str(caught.value))
    both = tmp_path / "both.toml"
    both.write_bytes(START.encode() + ROUTE.replace(b"/view", b"/read"))
    with pytest.raises(ConfigError, match="hollybay policy propose"):
        OperatorFile(str(both), make_settings(), 1, settle_pause=lambda: None)


def started(tmp_path: Path, **changes: object) -> str:
    """What a node says that does not start."""
    config = {
        "name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": settings(),
        "admin": "127.0.0.1:1",
    } | changes  # fmt: skip
    (tmp_path / "c.json").write_text(json.dumps({k: v for k, v in config.items() if v is not None}))
    (tmp_path / "o.toml").write_text(START.replace("unused", str(tmp_path / "a")))
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
def test_a_node_that_cannot_be_in_an_accord_does_not_start(
    changes: dict[str, object], reason: str, tmp_path: Path
) -> None:
    assert reason in started(tmp_path, **changes)


def test_without_the_table_nothing_of_it_is_imported() -> None:
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


def test_two_threads_bring_one_policy_to_the_log_and_both_find_it_there(tmp_path: Path) -> None:
    both = Barrier(2)

    def step(word: str) -> None:
        # Were they both under way, each would wait here for the other; one that comes second never does.
        with contextlib.suppress(BrokenBarrierError):
            both.wait(0.2)

    log, policy = PolicyLog(tmp_path / "policies", step), first_policy([route_change("one")])
    with ThreadPoolExecutor(2) as pool:
        for done in [pool.submit(log.append, policy) for _ in range(2)]:
            done.result()
    again = PolicyLog(tmp_path / "policies")
    again.open()
    assert both.broken and again.policy(policy.name) == policy.without_changes()
