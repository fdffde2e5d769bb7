"""Builds the samples in the golden files. Only this module of the golden tests uses classes of the project.

A rename in the project changes this module, but no golden file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import shutil
import tempfile
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import fields as dataclass_fields
from dataclasses import is_dataclass, replace
from enum import Enum
from functools import partial
from pathlib import Path

import click
import msgspec

from hollybay.admin.administrative_drains import DrainFileError, decode_drains, encode_drains
from hollybay.admin.metrics import CONTENT_TYPE as METRICS_TYPE
from hollybay.admin.metrics import MetricsCollector, NodeMetrics
from hollybay.admin.requests import RejectedRequest, parse_request
from hollybay.balancing import interface as balancing
from hollybay.balancing.bench_codec import encode_action
from hollybay.balancing.settings_parser import REPORT_FIELDS, parse_settings
from hollybay.cli.main import main as command_line
from hollybay.consensus import messages as wire
from hollybay.consensus.core import (
    Accept,
    Accepted,
    EpochState,
    LeaseGrant,
    LeaseRequest,
    Prepare,
    Promise,
    Stage,
)
from hollybay.consensus.errors import RejectedError
from hollybay.consensus.grace_store import GraceRecord
from hollybay.consensus.interfaces import InvalidFileError, MemberSettings, OperatorFileChanges
from hollybay.consensus.log import PolicyLog
from hollybay.consensus.log_entry import Entry
from hollybay.consensus.policy import PolicyVersion, first_policy, successor_policy
from hollybay.consensus.requests import CallFailedError
from hollybay.consensus.service import Service
from hollybay.consensus.store import Store, StoreError
from hollybay.consensus.transfer import Uploads, chunk_at, upload_calls
from hollybay.gossip.load_report import decode_report, encode_reports, server_hash
from hollybay.proxy import admin_client
from hollybay.proxy.admin_service import AdminService
from hollybay.proxy.assembly import assemble
from hollybay.proxy.config import load
from hollybay.proxy.consensus_member import ConsensusMember
from hollybay.resources.model import Change, ChangeProblem, Delete, Kind, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.simulation import consensus_simulation

from . import bench, commands
from .files import joined, read, tree

__all__ = [
    "FILES",
    "disk",
    "load_report_read",
    "read_damaged",
    "read_disk",
    "reencoded",
    "reencoded_text",
    "rejection",
    "settings_read",
    "text_rejection",
]

# Fixed sample values

NODE = 0x1234_5678_9ABC
ADDRESS = "10.0.0.1:7001"
OTHER_ADDRESS = "10.0.0.2:7001"
ADDRESSES = ("10.0.0.1:7001", "10.0.0.2:7001", "10.0.0.3:7001")
OLD, NEW = "7-0123456789ab", "8-ba9876543210"
CHANGE_ID = bytes(range(16))
UPLOAD_ID = "000102030405060708090a0b0c0d0e0f"
SETTLED = EpochState(4, Stage.SETTLED, OLD)
PREPARE = EpochState(5, Stage.PREPARE, OLD, NEW)
JOINT = EpochState(6, Stage.JOINT, OLD, NEW)
BALLOT = (3, NODE)


def _first_change() -> Change:
    operations = (
        Upsert(Kind.ROUTE, "hall-slots", 0, b'{"class":"view-schedule"}'),
        Upsert(Kind.TENANT, "north", 0, b"{}"),
        Upsert(Kind.DRAINED_SERVER, "10.1.0.5:9000", 0, b""),
    )
    return Change(CHANGE_ID, 0, "begin", "ann", operations)


def _second_change() -> Change:
    operations = (
        Upsert(Kind.ROUTE, "hall-slots", 1, b'{"class":"book-venue"}'),
        Delete(Kind.TENANT, "north", 1),
    )
    return Change(CHANGE_ID[::-1], 1, "narrower", "ben", operations)


def _policies() -> tuple[PolicyVersion, PolicyVersion, ResourceState]:
    """Two consecutive log entries, and the resources after the second."""
    one = first_policy((_first_change(),), ADDRESSES)
    state = EMPTY.with_batch(one.changes or (), 1)
    two, after = successor_policy(one, state, (_second_change(),))
    return one, two, after


# Messages between nodes and voters


def _message_values() -> dict[str, object]:
    """A sample of each message with all fields set, and of some messages with only the required fields."""
    w = wire
    one, two, _ = _policies()
    change = w.change_to_text(_second_change())
    lease_request = LeaseRequest(NODE, 9, PREPARE, 4, False)
    return {
        "asking": w.LeaseCall(
            w.MESSAGE_VERSION,
            lease_request,
            "n-1",
            ADDRESS,
            2_000_000_000,
            500_000_000,
            ["route 'x': no such class"],
            {CHANGE_ID.hex(): ["its limit"]},
            True,
        ),
        "asking.first": w.LeaseCall(
            w.MESSAGE_VERSION, LeaseRequest(NODE, 1, None, -1, True), "n-1", ADDRESS, 2_000_000_000, 0
        ),
        "granting": w.LeaseReply(grant=LeaseGrant(NODE, 9, 5)),
        "granting.know": w.LeaseReply(decided=JOINT),
        "granting.neither": w.LeaseReply(),
        "preparing": w.PrepareCall(w.MESSAGE_VERSION, Prepare(BALLOT, 5)),
        "promising": w.PrepareReply(Promise(NODE, BALLOT, 5, ((2, 7), JOINT)), None, 5, 0),
        "promising.unbound": w.PrepareReply(Promise(NODE, BALLOT, 5, None), None, 5, 0),
        "promising.know": w.PrepareReply(decided=SETTLED, decided_epoch=4, promised_number=8),
        "accepting": w.AcceptCall(w.MESSAGE_VERSION, Accept(BALLOT, JOINT), ADDRESS),
        "voting": w.AcceptReply(Accepted(NODE, BALLOT, JOINT), None, 5),
        "voting.waits": w.AcceptReply(
            None,
            SETTLED,
            4,
            8,
            [w.BlockingLease("n-2", 77, 3, 1_500_000, True)],
            250_000_000,
            "mute up to epoch 9",
        ),
        "voting.neither": w.AcceptReply(),
        "knowing": w.DecidedNotice(w.MESSAGE_VERSION, PREPARE, OTHER_ADDRESS),
        "telling": w.KnowledgeReply(True, True, PREPARE, JOINT),
        "telling.nothing": w.KnowledgeReply(False),
        "founding": w.BootstrapCall(file="Zm91bmQ="),
        "founding.uploaded": w.BootstrapCall(upload=UPLOAD_ID),
        "founding.passed": w.BootstrapCall(policy=one.name, entry=w.policy_to_text(one), source=ADDRESS),
        "proposing": w.ProposeCall(
            "Zm91bmQ=", two.parent.hex(), "why", "ann", ["10.1.0.5:9000"], list(ADDRESSES), UPLOAD_ID, OLD
        ),
        "proposing.least": w.ProposeCall(None, "", "why"),
        "drafting": w.DraftCall(
            "why", "ann", "Zm91bmQ=", UPLOAD_ID, OLD, ["10.1.0.5:9000"], ["10.1.0.6:9000"], True, ["route/x"]
        ),
        "drafting.least": w.DraftCall("why"),
        "drafted": w.DraftReply(OLD, change, 2, ["~route/hall-slots", "-tenant/north"], UPLOAD_ID),
        "changing": w.ChangeCall(change),
        "changing.uploaded": w.ChangeCall("", UPLOAD_ID),
        **{
            f"became_of.{outcome.value.replace(' ', '_')}": w.ChangeReply(
                CHANGE_ID.hex(), outcome, NEW, 5, 120, [ChangeProblem("route 'x'", "class", "is missing")]
            )
            for outcome in w.ChangeOutcome
        },
        "uploading": upload_calls(UPLOAD_ID, b"an operator file")[0],
        "piece": chunk_at(NEW, b"a snapshot", 0),
        "changed": w.ProposeReply(NEW, 5),
        "dropping": w.DropCall(NEW),
        "dropping.passed": w.DropCall(NEW, True),
        "history_entry": w.HistoryEntry(JOINT, 1_700_000_000_000),
    }


def messages() -> bytes:
    """The encoding of each sample message."""
    return joined({name: wire.encode(value) for name, value in _message_values().items()})


def reencoded(name: str, data: bytes) -> bytes:
    """Decode the golden bytes of a message and encode the result."""
    return wire.encode(wire.decode(data, type(_message_values()[name])))


def rejection(name: str, data: bytes) -> str:
    """Decode a message of this kind; returns the error text before its first colon, empty if valid."""
    try:
        wire.decode(data, type(_message_values()[name]))
    except RejectedError as error:
        return str(error).partition(":")[0]
    return ""


# Message, name of the case, bytes in the golden message, and their replacement.
_DAMAGES = (
    ("asking", "form_3", b'"form":2', b'"form":3'),
    ("asking", "door_without_port", b"10.0.0.1:7001", b"10.0.0.1"),
    ("asking", "lease_below_zero", b'"lease":2000000000', b'"lease":-1'),
    ("asking", "stage_3", b"[5,1,", b"[5,3,"),
    ("asking", "stage_without_new", b',"8-ba9876543210"]', b',""]'),
    ("asking", "epoch_below_zero", b"[5,1,", b"[-1,1,"),
    ("asking", "text_too_long", b'"n-1"', b'"' + b"n" * 401 + b'"'),
    ("asking", "culprit_not_an_id", b"0c0d0e0f", b"0c0d0e0"),
    ("preparing", "form_1", b'"form":2', b'"form":1'),
    ("preparing", "ballot_short", b"[3,20015998343868]", b"[3]"),
    ("accepting", "form_3", b'"form":2', b'"form":3'),
    ("accepting", "settled_with_new", b"[6,2,", b"[6,0,"),
    ("knowing", "form_3", b'"form":2', b'"form":3'),
    ("knowing", "no_policy", b'"7-0123456789ab"', b'""'),
    ("promising.know", "epoch_below_zero", b"[4,0,", b"[-4,0,"),
    ("founding.passed", "name_not_one", b"1-f59e23eeec24", b"1-f59e"),
    ("proposing", "digest_not_hex", b'"parent":"f', b'"parent":"F'),
    ("proposing", "ten_keepers", b'"keepers":[', b'"keepers":[' + b'"10.0.0.1:1",' * 7),
    ("drafting", "not_a_list", b'["10.1.0.5:9000"]', b'"10.1.0.5:9000"'),
    ("changing.uploaded", "id_short", b"0d0e0f", b"0d0e"),
    ("became_of.queued", "outcome_unknown", b'"queued"', b'"waiting"'),
    ("uploading", "offset_below_zero", b'"offset":0', b'"offset":-1'),
    ("piece", "total_too_large", b'"total":10', b'"total":1099511627777'),
    ("dropping", "passed_not_a_flag", b"false", b"0"),
)


def malformed() -> bytes:
    """Malformed messages: kind and case, the error text before its first colon with underscores for spaces,
    and the bytes."""
    valid = {name: wire.encode(value) for name, value in _message_values().items()}
    found = {}
    for name, case, old, new in _DAMAGES:
        if old not in valid[name]:
            raise ValueError(f"{name}: {case}: {old!r} is not in the message")
        bad = valid[name].replace(old, new, 1)
        found[f"{name}:{case}"] = rejection(name, bad).replace(" ", "_").encode() + b" " + bad
    return joined(found)


def fields() -> bytes:
    """For each message: its optional fields, its encoding without them, and that re-encoded."""
    found = {}
    for name, value in _message_values().items():
        whole: dict[str, object] = msgspec.json.decode(wire.encode(value))
        needed = {
            field: content
            for field, content in whole.items()
            if rejection(name, msgspec.json.encode({key: whole[key] for key in whole if key != field}))
        }
        absent = ",".join(field for field in whole if field not in needed) or "-"
        least = reencoded(name, msgspec.json.encode(needed))
        found[name] = absent.encode() + b" " + msgspec.json.encode(needed) + b" " + least
    return joined(found)


def values_in_text() -> bytes:
    """Text encodings of policies and changes, and the numbers of voters, as used in messages."""
    one, two, after = _policies()
    return joined(
        {
            "policy.first": wire.policy_to_text(one).encode(),
            "policy.second": wire.policy_to_text(two).encode(),
            "policy.second.without_changes": wire.policy_to_text(two.without_changes()).encode(),
            "policy.second.name": two.name.encode(),
            "policy.second.digest": two.digest.hex().encode(),
            "resources.digest": after.digest.hex().encode(),
            "change": wire.change_to_text(_second_change()).encode(),
            **{f"keeper_number.{address}": str(wire.voter_number(address)).encode() for address in ADDRESSES},
        }
    )


def reencoded_text(name: str, data: bytes) -> bytes:
    """Decode a policy or change from text and encode it again."""
    if name.startswith("policy"):
        return wire.policy_to_text(wire.policy_from_text(data.decode())).encode()
    return wire.change_to_text(wire.change_from_text(data.decode())).encode()


def text_rejection(name: str, data: bytes) -> str:
    """Decode a text; returns the error text before its first colon, empty if the text is valid."""
    try:
        reencoded_text(name, data)
    except RejectedError as error:
        return str(error).partition(":")[0]
    return ""


# Outgoing HTTP requests


class _RecordingTransport(asyncio.Transport):
    """A transport that records the written bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def abort(self) -> None:
        """Do nothing: there is no connection."""


async def _outgoing(path: str, body: bytes | None) -> bytes:
    call = admin_client._PolicyCall(ADDRESS, path, body, "n-1")
    sink = _RecordingTransport()
    call.connection_made(sink)
    call.close()
    return sink.written


def outgoing_calls() -> bytes:
    """The bytes of HTTP requests with a body, with an empty body, and without one."""

    async def work() -> bytes:
        calls = (("ask", wire.encode(wire.LeaseReply())), ("drop", b""), ("tell", None), ("", None))
        return b"".join([await _outgoing(path, body) + b"\n--\n" for path, body in calls])

    return asyncio.run(work())


def rejected_uploads() -> bytes:
    """The error texts for malformed uploads and chunks."""
    valid = upload_calls(UPLOAD_ID, b"12345678")[0]
    with_fields = msgspec.structs.replace
    chunks = {
        "no_id": with_fields(valid, id=""),
        "not_base64": with_fields(valid, data="?"),
        "too_short": with_fields(valid, data="MTI="),
        "too_long": with_fields(valid, total=(64 << 20) + 1),
        "gap": wire.UploadCall(UPLOAD_ID, 262152, 262144, "MTIzNDU2Nzg="),
    }
    found = {name: _rejection_text(partial(Uploads().add, chunk, 0)) for name, chunk in chunks.items()}
    found["not_whole"] = _rejection_text(lambda: Uploads().content(UPLOAD_ID))
    found["piece_at_odd_offset"] = _rejection_text(lambda: chunk_at(NEW, b"12345678", 3))
    found["piece_past_the_end"] = _rejection_text(lambda: chunk_at(NEW, b"12345678", 262144))
    return joined({name: text.encode() for name, text in found.items()})


def _rejection_text(work: Callable[[], object]) -> str:
    try:
        work()
    except RejectedError as error:
        return str(error)
    return "taken"


# Responses of a voter


class _InertDataPlane:
    """A data plane without a node; its operator files are JSON objects that map routes to classes."""

    async def compile_policy(self, entry: Entry) -> list[str]:
        return []

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        return {}

    async def read_operator_file(self, file: bytes, state: ResourceState) -> OperatorFileChanges:
        if not file.startswith(b"{"):
            raise InvalidFileError(["line 1: no table", "line 2: no value"])
        routes: dict[str, str] = msgspec.json.decode(file)
        operations = tuple(
            Upsert(Kind.ROUTE, name, one.version if one is not None else 0, body.encode())
            for name, body in routes.items()
            for one in (state.get(Kind.ROUTE, name),)
        )
        return OperatorFileChanges(operations, None)

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        """Do nothing."""

    def log_event(self, event: str, **fields: object) -> None:
        """Do nothing."""


async def _run_inline(work: Callable[[], None]) -> None:
    work()


async def _unreachable(address: str, path: str, body: bytes | None, limit: float) -> bytes:
    raise CallFailedError(f"{address}: nobody there")


class _ManualClock:
    """A clock in ns that changes only when `now` is set."""

    def __init__(self) -> None:
        self.now = 50_000_000_000

    def __call__(self) -> int:
        return self.now


def _service(folder: Path, clock: Callable[[], int] | None = None) -> Service:
    """A process that is the only voter of its group, with fixed clocks and a fixed random seed."""
    settings = MemberSettings("n-1", ADDRESS, (ADDRESS,), 2_000_000_000, 500_000_000, folder)
    service = Service(
        settings,
        _unreachable,
        _InertDataPlane(),
        clock or _ManualClock(),
        lambda: 1_700_000_000_000,
        _run_inline,
        random.Random(7),
        "boot",
    )
    service.voter.log_is_open = True
    service.voter.become_voter()
    return service


def _sample_requests() -> list[tuple[str, bytes | None]]:
    """Requests in the order in which they are sent; they include each path of a voter at least once."""
    e = wire.encode
    w = wire
    first_name = "1-d3c835a2254e"  # of the first policy, as in the response to "found"
    digest = "d3c835a2254e8aacc0a775961932666df5a41216cb1324a7ef4fb0da27a6bd37"
    next_name = "2-842f55a97681"  # as in the response to "propose"
    first_epoch = EpochState(0, Stage.SETTLED, first_name)
    prepare_epoch = EpochState(1, Stage.PREPARE, first_name, next_name)
    own_number = w.voter_number(ADDRESS)
    ballot = (1, NODE)
    change = Change(CHANGE_ID, 1, "a tenant", "ben", (Upsert(Kind.TENANT, "north", 0, b"{}"),))
    stale = Change(CHANGE_ID[::-1], 1, "stale", "ben", (Delete(Kind.ROUTE, "hall-slots", 9),))
    later = Change(CHANGE_ID[::-1], 9, "later", "ben", (Upsert(Kind.TENANT, "south", 0, b"{}"),))
    file = base64.b64encode(b'{"hall-slots":"b"}').decode()
    bad = base64.b64encode(b"no file").decode()
    lease_request = LeaseRequest(NODE, 1, first_epoch, -1, True)
    lease_call = w.LeaseCall(w.MESSAGE_VERSION, lease_request, "n-1", ADDRESS, 2_000_000_000, 500_000_000)
    first_file = base64.b64encode(b'{"hall-slots":"a"}').decode()
    return [
        ("", None),
        ("tell", None),
        ("history", None),
        ("propose", e(w.ProposeCall(None, "", "why"))),
        ("change", e(w.ChangeCall(w.change_to_text(change)))),
        ("draft", e(w.DraftCall("why"))),
        ("ask", e(lease_call)),
        ("prepare", e(w.PrepareCall(w.MESSAGE_VERSION, Prepare(ballot, 0)))),
        ("accept", e(w.AcceptCall(w.MESSAGE_VERSION, Accept(ballot, first_epoch), ADDRESS))),
        ("found", e(w.BootstrapCall(bad))),
        ("found", e(w.BootstrapCall("?"))),
        ("found", e(w.BootstrapCall(first_file))),
        ("found", e(w.BootstrapCall(policy=OLD, source=ADDRESS))),
        ("", None),
        ("tell", None),
        ("history", None),
        (f"entry/{first_name}", None),
        (f"entry/{OLD}", None),
        ("entry/x", None),
        (f"since/0/{first_name}", None),
        (f"since/1/{OLD}", None),
        (f"since/0/{first_name}/3", None),
        (f"snapshot/{first_name}", None),
        (f"diff/{first_name}/{first_name}", None),
        (f"diff/{first_name}/{OLD}", None),
        (f"change/{CHANGE_ID.hex()}", None),
        (f"draft/{CHANGE_ID.hex()}", None),
        ("ask", e(lease_call)),
        (
            "ask",
            e(
                w.LeaseCall(
                    w.MESSAGE_VERSION,
                    LeaseRequest(2, 1, None, -1, True),
                    "n-2",
                    OTHER_ADDRESS,
                    1_000_000_000,
                    0,
                )
            ),
        ),
        ("ask", e(w.LeaseCall(w.MESSAGE_VERSION, lease_request, "n-1", ADDRESS, 9_000_000_000, 0))),
        ("prepare", e(w.PrepareCall(w.MESSAGE_VERSION, Prepare(ballot, 0)))),
        ("prepare", e(w.PrepareCall(w.MESSAGE_VERSION, Prepare(ballot, 0)))),
        ("accept", e(w.AcceptCall(w.MESSAGE_VERSION, Accept((0, own_number), SETTLED), ADDRESS))),
        ("change", e(w.ChangeCall(w.change_to_text(change)))),
        ("change", e(w.ChangeCall(w.change_to_text(stale)))),
        ("change", e(w.ChangeCall(w.change_to_text(later)))),
        ("change", e(w.ChangeCall("?"))),
        ("change", e(w.ChangeCall("", UPLOAD_ID))),
        (f"change/{CHANGE_ID.hex()}", None),
        ("draft", e(w.DraftCall("a draft", "ann", file, servers_out=["10.1.0.5:9000"]))),
        ("draft", e(w.DraftCall("nothing"))),
        ("draft", e(w.DraftCall("a draft", file=bad))),
        ("draft", e(w.DraftCall("a draft", delete=["route/none"]))),
        ("draft", e(w.DraftCall("a draft", like_policy=OLD))),
        ("propose", e(w.ProposeCall(file, "", "why"))),
        ("upload", e(upload_calls(UPLOAD_ID, b"12345678")[0])),
        ("upload", e(w.UploadCall("", 8, 0, "MTIzNDU2Nzg="))),
        ("know", e(w.DecidedNotice(w.MESSAGE_VERSION, first_epoch, ADDRESS))),
        ("join", e(w.DecidedNotice(w.MESSAGE_VERSION, first_epoch, ADDRESS))),
        ("propose", e(w.ProposeCall(file, digest, "why", "ann"))),
        ("prepare", e(w.PrepareCall(w.MESSAGE_VERSION, Prepare((2, NODE), 0)))),
        ("accept", e(w.AcceptCall(w.MESSAGE_VERSION, Accept((2, NODE), prepare_epoch), ADDRESS))),
        ("tell", None),
        ("prepare", e(w.PrepareCall(w.MESSAGE_VERSION, Prepare((3, NODE), 0)))),
        ("know", e(w.DecidedNotice(w.MESSAGE_VERSION, prepare_epoch, ADDRESS))),
        ("", None),
        ("drop", e(w.DropCall(next_name))),
        ("drop", e(w.DropCall(OLD))),
        ("drop", e(w.DropCall(OLD, True))),
        ("ask", b""),
        ("ask", b"{}"),
        ("prepare", e(w.PrepareCall(3, Prepare(ballot, 0)))),
        ("accept", b"[]"),
        ("none", b"{}"),
        ("none", None),
        ("tell", b"{}"),
        ("ask", None),
    ]


async def _voter_responses(folder: Path) -> bytes:
    service = _service(folder)
    pieces = []
    for path, body in _sample_requests():
        answer = await service.answer(path, body)
        method = b"GET" if body is None else b"POST"
        pieces.append(
            b"%s %s %s\n%d %s\n\n" % (method, path.encode(), body or b"", answer.status, answer.body)
        )
    service.close()
    return b"".join(pieces)


def voter_responses() -> bytes:
    """The responses of a voter to the requests of `_sample_requests`."""
    return _in_folder(_voter_responses)


# Requests between processes in a simulation


def _requests_of(seed: int, shape: consensus_simulation.Scenario) -> set[str]:
    """Method, first part of the path and fields of all requests that are sent in one run."""
    seen: set[str] = set()
    with tempfile.TemporaryDirectory() as folder:
        stage = consensus_simulation._Simulation(seed, shape, Path(folder))
        forward = stage.call

        async def call(
            caller: consensus_simulation._SimulatedNode | None,
            address: str,
            path: str,
            body: bytes | None,
            limit: float,
        ) -> bytes:
            fields = ",".join(json.loads(body)) if body else ""
            method = "GET" if body is None else "POST"
            seen.add(f"{method} /{path.partition('/')[0]} {fields}".rstrip())
            return await forward(caller, address, path, body, limit)

        stage.call = call  # type: ignore[method-assign]
        stage.run()
    return seen


def requests_made() -> bytes:
    """The kinds of requests that nodes, voters and operators send in two short simulation runs."""
    changes = consensus_simulation.Scenario(stream=4.0, proposals=0.4, seconds=10.0)
    seen = _requests_of(2, changes) | _requests_of(
        1, consensus_simulation.Scenario(proposals=0.6, seconds=12.0)
    )
    return "".join(f"{line}\n" for line in sorted(seen)).encode()


# Responses to operators, and the servers that they have drained

SERVERS = [
    {"id": "s-1", "addr": "10.1.0.1:9000", "zone": "a", "kind": "m", "cell": 0, "state": "SERVING"},
    {"id": "s-2", "addr": "10.1.0.2:9000", "zone": "a", "kind": "m", "cell": 0, "state": "DRAINING"},
    {"id": "s/3 é", "addr": "10.1.0.3:9000", "zone": "a", "kind": "m", "cell": 1, "state": "SERVING"},
]
CATEGORIES = [
    {"name": "view", "effect": "retryable", "slo": 200_000_000, "give-up": 500_000_000, "worth": 3.0},
    {"name": "send", "effect": "fragile", "slo": 1_200_000_000, "give-up": 5_000_000_000, "worth": 2.0},
]
NODE_FILE = {
    "name": "n0",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:9001",
    "admin": "127.0.0.1:9002",
    "seed": "7",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
    "settings": {"balancers": 1, "zones": ["a"], "kinds": ["m"], "categories": CATEGORIES},
    "known": {"version": 3, "full": True, "servers": SERVERS},
}


@asynccontextmanager
async def _admin_endpoint(folder: Path) -> AsyncIterator[AdminService]:
    """The admin endpoint of a node that serves no requests."""
    path = folder / "node.json"
    path.write_text(json.dumps(NODE_FILE))
    scratch = folder / "scratch"
    scratch.mkdir(exist_ok=True)
    config = load({"BALANCER_CONFIG": str(path), "TMPDIR": str(scratch)})
    clients, dispatcher, *_ = assemble(config)
    endpoint = AdminService(replace(config, admin=("127.0.0.1", 0)), clients, dispatcher)
    await endpoint.open()
    try:
        yield endpoint
    finally:
        endpoint.close()
        clients.close()


async def _roundtrip(endpoint: AdminService, sent: bytes) -> bytes:
    """Send bytes to the admin endpoint; returns all that is received until the connection is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", endpoint.server.port)
    writer.write(sent)
    received = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return received


def _request_bytes(line: str, body: bytes = b"") -> bytes:
    length = b"Content-Length: %d\r\n" % len(body) if body or line.startswith("POST") else b""
    return line.encode() + b" HTTP/1.1\r\nHost: node\r\n" + length + b"\r\n" + body


PATHS = (
    "/-/ready",
    "/-/metrics",
    "/-/servers",
    "/-/drain",
    "/-/resume",
    "/-/servers/s-1/disable",
    "/-/servers/s-1/enable",
    "/-/policy",
    "/-/policy/tell",
    "/-/policy/ask",
    "/-/none",
    "/",
    "/-/servers/",
    "/-/servers/s-1",
    "/-/servers/s-1/none",
    "/-/servers//disable",
    "/-/policyx",
)


async def _wrong_methods(endpoint: AdminService) -> list[tuple[bytes, bytes]]:
    """Requests to each path with each method that it does not allow, and the responses."""
    found = []
    for path in PATHS:
        for method in ("GET", "POST", "PUT", "DELETE"):
            sent = _request_bytes(f"{method} {path}")
            received = await _roundtrip(endpoint, sent) if _is_rejected(method, path) else b""
            if received:
                found.append((sent, received))
    return found


def _is_rejected(method: str, path: str) -> bool:
    return isinstance(parse_request(method, path), RejectedRequest)


async def _roundtrips(endpoint: AdminService, sent: Sequence[bytes]) -> list[tuple[bytes, bytes]]:
    return [(one, await _roundtrip(endpoint, one)) for one in sent]


def _format_exchanges(pairs: Sequence[tuple[bytes, bytes]]) -> bytes:
    """Requests and responses as text: the bytes sent, a line >>>>, the bytes received, a line ----."""
    return b"".join(sent + b"\n>>>>\n" + received + b"\n----\n" for sent, received in pairs)


async def _admin(folder: Path) -> bytes:
    async with _admin_endpoint(folder) as endpoint:
        pairs = await _roundtrips(
            endpoint, [_request_bytes("GET /-/ready"), _request_bytes("GET /-/ready?a=b")]
        )
        endpoint.clients.ready = True
        lines = (
            "GET /-/ready",
            "GET /-/servers",
            "POST /-/servers/s-1/disable",
            "POST /-/servers/s-1/disable",
            "POST /-/servers/s%2F3%20%C3%A9/disable",
            "POST /-/servers/s-9/disable",
            "GET /-/servers?x",
            "GET /-/metrics",
            "POST /-/servers/s-1/enable",
            "POST /-/servers/s-9/enable",
            "POST /-/drain",
            "POST /-/drain",
            "GET /-/ready",
            "POST /-/resume",
            "GET /-/ready",
            "POST /-/resume",
            "GET /-/policy",
            "GET /-/policy/tell",
            "POST /-/policy/ask",
        )
        pairs += await _roundtrips(endpoint, [_request_bytes(line) for line in lines])
        endpoint.clients.is_shutting_down = True
        pairs += await _roundtrips(endpoint, [_request_bytes("POST /-/resume")])
        return _format_exchanges(pairs)


async def _admin_rejections(folder: Path) -> bytes:
    async with _admin_endpoint(folder) as endpoint:
        pairs = await _wrong_methods(endpoint)
        odd = (
            _request_bytes("POST /-/drain", body=b"x" * 9000),
            b"GET /-/ready HTTP/1.1\r\n\r\n",
            b"GET /-/ready HTTP/1.1\r\nHost: node\r\nContent-Length: x\r\n\r\n",
            b"what is this\r\n\r\n",
            b"GET /-/ready HTTP/1.1\r\nHost: no",  # incomplete: it ends by time-out
        )
        pairs += await _roundtrips(endpoint, odd)
        return _format_exchanges([(sent[:200], received) for sent, received in pairs])


async def _admin_in_consensus_group(folder: Path) -> bytes:
    async with _admin_endpoint(folder) as endpoint:
        member = ConsensusMember.__new__(ConsensusMember)
        member.service = _service(folder / "accord")
        endpoint.policy_handler = member
        endpoint.server.max_policy_request_bytes = wire.MAX_CALL_BYTES
        sent = (
            _request_bytes("POST /-/servers/s-1/disable"),
            _request_bytes("GET /-/policy"),
            _request_bytes("GET /-/policy/tell?x=y"),
            _request_bytes("GET /-/policy/entry/x"),
            _request_bytes("POST /-/policy/ask", body=b"{}"),
            _request_bytes("POST /-/policy/propose", body=wire.encode(wire.ProposeCall(None, "", "why"))),
            _request_bytes("POST /-/policy/found", body=wire.encode(wire.BootstrapCall("bm8gZmlsZQ=="))),
            _request_bytes("POST /-/policy/change", body=wire.encode(wire.ChangeCall("?"))),
            _request_bytes("POST /-/policy/none", body=b"{}"),
            _request_bytes("PUT /-/policy/ask", body=b"{}"),
        )
        return _format_exchanges(await _roundtrips(endpoint, sent))


def _in_folder(work: Callable[[Path], Coroutine[None, None, bytes]]) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(work(Path(folder)))


def admin() -> bytes:
    """A sequence of operators' requests, and the responses."""
    return _in_folder(_admin)


def admin_rejections() -> bytes:
    """Invalid requests, and the responses."""
    return _in_folder(_admin_rejections)


def admin_in_consensus_group() -> bytes:
    """Requests to a node that is a member of a consensus group, and the responses."""
    return _in_folder(_admin_in_consensus_group)


# Files on disk


def _log_on_disk(folder: Path) -> tuple[PolicyVersion, PolicyVersion]:
    """Write entries 1 to 3 and a snapshot of 2, which replaces entry 1; returns the policies 2 and 3."""
    one, two, after = _policies()
    change = Change(UPLOAD_ID[:16].encode(), 2, "", "", (Upsert(Kind.DEFAULTS, "", 0, b"\x80"),))
    three, _ = successor_policy(two, after, (msgspec.structs.replace(change, reason="why", author="cy"),))
    log = PolicyLog(folder, max_states_in_memory=1, snapshot_floor_bytes=0)
    log.open()
    for policy in (one, two):
        log.append(policy)
    log.prune({two.name})
    log.append(three)
    return two, three


async def _write_disk(folder: Path) -> None:
    """Write the files of a voter that has recovered, promised and voted, and of its node."""
    two, three = _log_on_disk(folder / "n-1" / "policies")
    clock = _ManualClock()
    service = _service(folder, clock)
    service.log.open()
    assert service.acceptor is not None
    await service.acceptor.recover([(EpochState(4, Stage.SETTLED, two.name), None)])
    clock.now += 60_000_000_000  # after the time in which it must not vote
    vote = Accept(BALLOT, EpochState(7, Stage.PREPARE, two.name, three.name))
    calls: tuple[tuple[str, object], ...] = (
        ("know", wire.DecidedNotice(wire.MESSAGE_VERSION, EpochState(6, Stage.SETTLED, two.name), ADDRESS)),
        ("prepare", wire.PrepareCall(wire.MESSAGE_VERSION, Prepare(BALLOT, 6))),
        ("accept", wire.AcceptCall(wire.MESSAGE_VERSION, vote, ADDRESS)),
    )
    for path, value in calls:
        await service.answer(path, wire.encode(value))
        await asyncio.gather(*service.tasks.running)
    for epoch, until in ((4, 160_000_000_000), (6, 170_000_000_000)):
        at = EpochState(epoch, Stage.SETTLED, two.name)
        service.lease_client.leaseholder = service.lease_client.leaseholder._replace(
            effective_epoch=at, grace_end=until
        )
        service.lease_client.save_grace()
        await asyncio.gather(*service.tasks.running)


async def _drain_servers(folder: Path) -> bytes:
    """Drain two servers by request, which writes a file in the folder `scratch`."""
    async with _admin_endpoint(folder) as endpoint:
        lines = ("POST /-/servers/s-2/disable", "POST /-/servers/s%2F3%20%C3%A9/disable")
        return _format_exchanges(await _roundtrips(endpoint, [_request_bytes(line) for line in lines]))


def write_disk(folder: Path) -> None:
    """Write the files of a process into a folder."""
    asyncio.run(_write_disk(folder))
    with tempfile.TemporaryDirectory() as other:
        asyncio.run(_drain_servers(Path(other)))
        scratch = Path(other) / "scratch"
        shutil.copytree(scratch, folder / "scratch", ignore=shutil.ignore_patterns("*.lock"))


def disk() -> dict[str, bytes]:
    """The files that `write_disk` writes, by path."""
    with tempfile.TemporaryDirectory() as folder:
        write_disk(Path(folder))
        return tree(Path(folder))


async def _read_disk(folder: Path) -> bytes:
    service = _service(folder)
    service.voter.acceptor = None
    service.log.open()
    service.voter.become_voter()
    remembered: GraceRecord = msgspec.msgpack.decode(
        service.lease_client.grace_store.store.open() or b"", type=GraceRecord
    )
    names = service.log.names()
    paths = ["", "tell", "history", *(f"entry/{name}" for name in names)]
    paths += [f"since/{n}/{names[-1]}" for n in (0, 1, 2)] + [f"snapshot/{names[-1]}"]
    found = {path: await service.answer(path, None) for path in [*paths, f"diff/{names[0]}/{names[-1]}"]}
    samples = {f"/{path}": b"%d %s" % (answer.status, answer.body) for path, answer in found.items()}
    samples["node"] = msgspec.json.encode(remembered)
    assert service.acceptor is not None and service.acceptor.state is not None
    samples["keeper"] = msgspec.json.encode(tuple(service.acceptor.state))
    samples["counts"] = b"%d %d" % (
        service.acceptor.store.sequence,
        service.lease_client.grace_store.store.sequence,
    )
    samples["set_aside"] = msgspec.json.encode(service.log.quarantined)
    for name in names:
        state = service.log.state(name)
        rows = [] if state is None else [f"{one.key} {one.version}" for one in state.resources.values()]
        samples[f"resources.{name}"] = msgspec.json.encode(sorted(rows))
    return joined(samples)


async def _read_servers(folder: Path) -> bytes:
    async with _admin_endpoint(folder) as endpoint:
        return _format_exchanges(await _roundtrips(endpoint, [_request_bytes("GET /-/servers")]))


def read_disk(folder: Path) -> bytes:
    """Read such a folder, and describe its content as text. Reading may modify the folder."""
    return asyncio.run(_read_disk(folder)) + asyncio.run(_read_servers(folder))


def disk_as_read() -> bytes:
    """The description of the files that the current code writes."""
    with tempfile.TemporaryDirectory() as folder:
        write_disk(Path(folder))
        return read_disk(Path(folder))


_BAD_RECORDS: tuple[tuple[str, Callable[[bytes], bytes]], ...] = (
    ("cut", lambda data: data[:-1]),
    ("empty", lambda data: b""),
    ("cut_in_head", lambda data: data[:12]),
    ("one_bit", lambda data: data[:-1] + bytes([data[-1] ^ 1])),
    ("count_changed", lambda data: data[:17] + bytes([data[17] ^ 8]) + data[18:]),
    ("foreign", lambda data: b"PK" + data[2:]),
    ("newer", lambda data: data[:9] + b"\2" + data[10:]),
)


def _store_opened(folder: Path, name: str) -> bytes:
    store = Store(folder, name)
    try:
        data = store.open()
    except StoreError as error:
        return f"failed {error}".replace(str(folder), "FOLDER").encode()
    kept = len(data) if data is not None else -1
    return b"count %d, %d bytes, doubtful %d" % (store.sequence, kept, store.may_be_stale)


def _log_opened(folder: Path) -> bytes:
    log = PolicyLog(folder)
    log.open()
    return msgspec.json.encode({"names": log.names(), "set_aside": log.quarantined})


def read_damaged(folder: Path) -> bytes:
    """Describe what is read from such a folder if one file, or both generations of a record, are damaged."""
    found = {}
    for case, damage in _BAD_RECORDS:
        for files in (["n-1/keeper.0"], ["n-1/keeper.1"], ["n-1/keeper.0", "n-1/keeper.1"]):
            with _damaged(folder, files, damage) as copy:
                key = "+".join(files) + ":" + case
                found[key] = _store_opened(copy / "n-1", "keeper") + b" | " + _names(copy / "n-1")
        for path in sorted((folder / "n-1" / "policies").iterdir()):
            with _damaged(folder, [f"n-1/policies/{path.name}"], damage) as copy:
                policies = copy / "n-1" / "policies"
                found[f"{path.name}:{case}"] = _log_opened(policies) + b" | " + _names(policies)
    return joined(found)


def _names(folder: Path) -> bytes:
    return " ".join(sorted(path.name for path in folder.iterdir() if path.is_file())).encode()


@contextmanager
def _damaged(folder: Path, files: Sequence[str], damage: Callable[[bytes], bytes]) -> Iterator[Path]:
    """A copy of a folder in which some files are damaged."""
    with tempfile.TemporaryDirectory() as other:
        copy = Path(shutil.copytree(folder, Path(other) / "copy"))
        for file in files:
            (copy / file).write_bytes(damage((copy / file).read_bytes()))
        yield copy


def disk_damaged() -> bytes:
    """The description of damaged files that the current code wrote."""
    with tempfile.TemporaryDirectory() as folder:
        write_disk(Path(folder))
        return read_damaged(Path(folder))


def rejected_drain_files() -> bytes:
    """Files of drained servers, valid and malformed, and the results of decoding them."""
    valid = encode_drains(["s-1", "s-2"])
    cases = {
        "sound": valid,
        "none_out": encode_drains([]),
        "cut": valid[:-1],
        "version_2": valid.replace(b'"version": 1', b'"version": 2'),
        "not_a_list": valid.replace(b'["s-1", "s-2"]', b'"s-1"'),
        "another_server": valid.replace(b"s-2", b"s-3"),
        "not_a_map": b"[]",
    }
    found = {}
    for case, data in cases.items():
        try:
            found[case] = f"{sorted(decode_drains(data))} <- ".encode() + data
        except DrainFileError as error:
            found[case] = str(error).partition(": ")[0].encode() + b" <- " + data
    return joined(found)


# Load reports between nodes


def _load_reports() -> dict[str, list[bytes]]:
    many = {n * 7919: n % 255 + 1 for n in range(120)}
    held = {server_hash(server): n for n, server in enumerate(("s-1", "10.1.0.5:9000", b"\x0a\0\0\1#)"), 1)}
    return {
        "nothing_held": encode_reports(0, 1, 1, {}),
        "three_servers": encode_reports(3, 0xFFFF_FFFF, 77, held),
        "more_than_a_byte": encode_reports(65535, 0, 0xFFFF_FFFF, {1: 300, 2: 0}),
        "three_datagrams": encode_reports(1, 2, 3, many),
    }


def load_report_datagrams() -> bytes:
    """Encoded load reports, as hexadecimal digits."""
    return joined(
        {
            f"{name}.{part}": data.hex().encode()
            for name, datagrams in _load_reports().items()
            for part, data in enumerate(datagrams)
        }
    )


def load_report_read(data: bytes) -> str:
    """Decode a load report to six values, the last one by server; empty if it is invalid."""
    found = decode_report(data)
    if found is None:
        return ""
    *head, held = found
    return json.dumps([*head, sorted(held.items())])


def load_reports_read() -> bytes:
    """The decoded values of the same load reports."""
    return joined(
        {
            f"{name}.{part}": load_report_read(data).encode()
            for name, datagrams in _load_reports().items()
            for part, data in enumerate(datagrams)
        }
    )


# The bench


def bench_answer() -> bytes:
    """The output of the bench process for the recorded input."""
    return bench.answer(read("bench_input.bin"))[0]


def bench_rejections() -> bytes:
    """Inputs that are not valid frames, with the exit status and the output, as hexadecimal digits."""
    found = {}
    for case, sent in bench.refused().items():
        written, code = bench.answer(sent)
        found[case] = f"{sent.hex() or '-'} {code} {written.hex() or '-'}".encode()
    return joined(found)


def bench_actions() -> bytes:
    """The encoding of each action (as hexadecimal digits), and its tail."""
    server = bytes.fromhex("0a124a072b23")
    actions: dict[str, balancing.Action] = {
        "SUBMIT_TO": balancing.Send(0x0EDA755D3A91C4, server, 80_000_000),
        "SUBMIT_TO.no_timeout": balancing.Send(1, server),
        "TURN_AWAY": balancing.Reject(5, 250_000_000),
        "DROP_REQUEST": balancing.Fail(5),
        "RETRACT": balancing.Cancel(5, 2),
        "PROBE": balancing.Probe(server),
        "CLOSE": balancing.CloseIdle(server),
        "WAKE_AT": balancing.SetTimer(500_000_000, 77),
        "KEEP_INFORMED": balancing.WatchServers(True),
        "KEEP_INFORMED.off": balancing.WatchServers(False),
        "GET_LIST": balancing.FetchServers(),
        "JOURNAL_LINE": balancing.Log("two servers known"),
    }
    found = {}
    for name, action in actions.items():
        tail = bytearray()
        record = encode_action(3, action, tail)
        found[name] = record.hex().encode() + b" " + bytes(tail)
    return joined(found)


def _plain(value: object) -> object:
    """Convert dataclasses and enums to plain values, without field names."""
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value):
        return [_plain(getattr(value, field.name)) for field in dataclass_fields(value)]
    return [_plain(one) for one in value] if isinstance(value, tuple) else value


def settings_read(text: str) -> bytes:
    """The values of settings in order; report fields by their names at the bench."""
    settings = parse_settings(text)
    bench_names = {ours: theirs for theirs, ours in REPORT_FIELDS.items()}
    reports = tuple(bench_names[name] for name in settings.report_fields)
    return json.dumps(_plain(replace(settings, report_fields=reports))).encode()


def bench_settings() -> bytes:
    """Settings as parsed from the bench, and the errors for invalid ones."""
    texts = {"whole": bench.SETUP, "least": BENCH_LEAST, "every": bench.EVERY_SETTING}
    found = {name: settings_read(text) for name, text in texts.items()}
    return joined(found | {case: told.encode() for case, told in bench.settings_refused().items()})


BENCH_LEAST = """balancers=1
categories.count=1
categories.0.effect=fragile
categories.0.slo=1
categories.0.give-up=2
"""


# The command line


def _subcommands(group: click.Group, before: str = "") -> list[str]:
    """All commands and subcommands, each as typed on the command line."""
    found = []
    for name, command in sorted(group.commands.items()):
        found.append(f"{before}{name}")
        if isinstance(command, click.Group):
            found += _subcommands(command, f"{before}{name} ")
    return found


def command_help() -> bytes:
    """The help of all commands, and the errors for a missing, unknown or incomplete command."""
    names = ["", *_subcommands(command_line)]
    wrong = ["", "nothing", "--nothing", "check", "policy", "policy nothing", "policy status"]
    return commands.shown([*(f"{name} --help".strip() for name in names), "-h", *wrong])


def operator_files() -> bytes:
    """The output of checks of operator files and of route look-ups."""
    broken = ["broken_form.toml", "broken_rules.toml", "missing.toml"]
    file = "deploy/operator.toml"
    return commands.shown(
        [
            f"check {file}",
            f"check {file} --config tests/golden/node.json",
            f"check {file} --config tests/golden/missing.json",
            *(f"check tests/golden/{name}" for name in broken),
            "check tests/golden/broken_rules.toml --config tests/golden/node.json",
            f"routes {file} GET /view-schedule/halls/7 -H 'Host: book.example'",
            f"routes {file} GET /venues/7/slots",
            f"routes {file} GET /view-schedule/season/1 -H 'X-Client: wallboard' -H 'X-Account: a'",
            f"routes {file} POST /send-callout",
            f"routes {file} GET /view-schedule/../x",
            f"routes {file} GET / -H wrong",
        ]
    )


# Metrics


def metrics() -> bytes:
    """The metrics as rendered by the endpoint, each with a distinct value."""
    snapshot = NodeMetrics(
        classes=("view", "send"),
        served=(1, 2),
        rejected=(3, 4),
        failed=(5, 6),
        attempts=7,
        stalled_clients=15,
        stalled_servers=16,
        in_flight=8,
        servers_known=9,
        servers_excluded=10,
        reloads_ok=11,
        reloads_failed=12,
        rejection_causes={"node_late": 13, "queue_limit": 14},
        accounts={"requests": (17, 18)},
    )
    return f"{METRICS_TYPE}\n".encode() + MetricsCollector(lambda: snapshot).render()


async def _metrics_of_node(folder: Path) -> bytes:
    async with _admin_endpoint(folder) as endpoint:
        counters = endpoint.dispatcher.counters
        counters.served[:], counters.rejected[:], counters.failed[:] = [1, 2], [3, 4], [5, 6]
        counters.reloads_ok, counters.reloads_failed = 11, 12
        endpoint.dispatcher.pools.attempts_written = 7
        counters.stalled_clients = 15
        endpoint.dispatcher.pools.stalled_streams = 16
        endpoint.dispatcher.unfinished_requests = 8
        return await _roundtrip(endpoint, _request_bytes("GET /-/metrics"))


def metrics_of_node() -> bytes:
    """The HTTP response with the metrics of a node whose counters are set."""
    return _in_folder(_metrics_of_node)


FILES: dict[str, Callable[[], bytes]] = {
    "messages.txt": messages,
    "messages_malformed.txt": malformed,
    "messages_fields.txt": fields,
    "values_in_text.txt": values_in_text,
    "outgoing_calls.http": outgoing_calls,
    "uploads_refused.txt": rejected_uploads,
    "keeper_answers.txt": voter_responses,
    "calls_made.txt": requests_made,
    "disk_as_read.txt": disk_as_read,
    "disk_damaged.txt": disk_damaged,
    "servers_out_refused.txt": rejected_drain_files,
    "load_reports.txt": load_report_datagrams,
    "load_reports_read.txt": load_reports_read,
    "bench_answer.bin": bench_answer,
    "bench_actions.txt": bench_actions,
    "bench_refused.txt": bench_rejections,
    "bench_settings.txt": bench_settings,
    "metrics.txt": metrics,
    "metrics_of_node.http": metrics_of_node,
    "command_help.txt": command_help,
    "operator_files.txt": operator_files,
    "node_without_configuration.txt": commands.node_without_configuration,
    "admin.http": admin,
    "admin_refused.http": admin_rejections,
    "admin_in_accord.http": admin_in_consensus_group,
}
