"""No request looks up members of state enums: a look-up costs 0.2 µs, a module-level name a tenth of that."""

from __future__ import annotations

import asyncio
import dis
import itertools
import sys
from enum import Enum
from functools import cache
from pathlib import Path
from types import CodeType, FrameType
from typing import Any

import pytest

import hollybay
from hollybay.balancing.state import RequestPhase
from hollybay.proxy import pending_request
from hollybay.proxy.downstream import states as downstream
from hollybay.proxy.upstream import states as upstream
from hollybay.testbed.loopback import (
    FakeDiscovery,
    RunningNode,
    ScriptedServer,
    read_message,
    request,
    running,
)

STATE_ENUMS: tuple[type[Enum], ...] = (
    RequestPhase,
    pending_request.RequestState,
    pending_request.RequestEvent,
    downstream.ConnectionState,
    downstream.ConnectionEvent,
    upstream.UpstreamConnectionState,
    upstream.UpstreamConnectionEvent,
)
ROOT = Path(hollybay.__file__).parent
NODE = tuple(f"{ROOT / package}/" for package in ("proxy", "balancing"))


@cache
def attributes_of_globals(code: CodeType) -> dict[int, tuple[str, str]]:
    """Return the instructions that load an attribute of a global, by offset: the global and the attribute."""
    return {
        second.offset: (first.argval, second.argval)
        for first, second in itertools.pairwise(dis.get_instructions(code))
        if first.opname == "LOAD_GLOBAL" and second.opname == "LOAD_ATTR"
    }


class LookupTracer:
    """Context manager that records each look-up of a member of a state enum in the node's code."""

    def __init__(self) -> None:
        self.found: list[str] = []
        self.functions: set[str] = set()

    def __enter__(self) -> LookupTracer:
        self.before = sys.gettrace()
        sys.settrace(self._on_call)
        return self

    def __exit__(self, *_: object) -> None:
        sys.settrace(self.before)

    def _on_call(self, frame: FrameType, _event: str, _arg: Any) -> Any:
        if not frame.f_code.co_filename.startswith(NODE):
            return None
        self.functions.add(frame.f_code.co_qualname)
        frame.f_trace_opcodes = True
        return self._on_instruction

    def _on_instruction(self, frame: FrameType, event: str, _arg: Any) -> Any:
        if event == "opcode":
            name, member = attributes_of_globals(frame.f_code).get(frame.f_lasti, ("", ""))
            if any(frame.f_globals.get(name) is enum for enum in STATE_ENUMS):
                self.found.append(f"{frame.f_code.co_qualname}: {name}.{member}")
        return self._on_instruction


async def trace_request(node: RunningNode, cls: str) -> LookupTracer:
    """Return the look-ups of the second request on a connection, including those of its response."""
    reader, writer = await node.connect()
    body = b"" if cls == "view" else b"abc"
    writer.write(request(cls, rid=f"{cls}-1", body=body))
    await read_message(reader)
    await node.until(lambda: not node.dispatcher.requests)
    with LookupTracer() as lookups:
        writer.write(request(cls, rid=f"{cls}-2", body=body))
        head, _ = await read_message(reader)
        await node.until(lambda: bool(node.clients.idle))
    assert b" 200 " in head
    writer.transport.abort()
    return lookups


@pytest.mark.parametrize("cls", ["view", "send", "book"])
def test_a_request_looks_up_no_member_of_a_state_enum(cls: str, tmp_path: Path) -> None:
    async def play() -> LookupTracer:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            return await trace_request(node, cls)

    lookups = asyncio.run(play())
    # All stages were traced: reading, decision, sending, response.
    assert lookups.functions >= {
        "ClientConnection._response_completed",
        "FurtherAttempts.on_attempt_finished",
        "RequestDispatcher.attempt_finished",
        "RequestSender._write_last_piece",
        "ServerConnection._complete",
    }
    assert lookups.found == []


def test_a_look_up_is_detected() -> None:
    """Checks the tracer itself with a function that seems to be part of the node."""
    source = "def step():\n    return RequestState.FINISHED, _FINISHED"
    names: dict[str, Any] = {
        "RequestState": pending_request.RequestState,
        "_FINISHED": pending_request.RequestState.FINISHED,
    }
    exec(compile(source, f"{NODE[0]}step.py", "exec"), names)
    with LookupTracer() as lookups:
        names["step"]()
    assert lookups.found == ["step: RequestState.FINISHED"]
