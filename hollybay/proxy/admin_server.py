"""The door for operators: a listener of its own, one call on a connection. It reads and writes; `Desk`
decides.

Imported only where the configuration gives it an address. However busy the node is, a caller waits a second
at most, so the door has descriptors of its own, and who says nothing is dropped for who comes.
"""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from http import HTTPStatus
from typing import cast

import h11

from hollybay.admin.requests import Denied, Kind, is_policy, parse

from . import system

__all__ = ["CALLERS", "Door", "Reply"]

log = logging.getLogger("elderscale")

# Callers at once; one more displaces the one that came first.
CALLERS = 16
# From a connection to its whole call (s), and from an answer to the close of a caller that does not close.
CALL_LIMIT, CLOSE_LIMIT = 2.0, 1.0
# The most that a call holds, head and body together (bytes).
MOST_CALL = 8 << 10
# Until a call that is answered later must be (s).
ANSWER_LIMIT = 5.0


class Reply:
    """What a call is answered: bytes as they are, text with a line's end, anything else as JSON."""

    __slots__ = ("body", "kind", "status")

    def __init__(self, status: int, body: bytes | object, kind: str = "text/plain; charset=utf-8") -> None:
        self.status = status
        self.kind = kind
        if isinstance(body, bytes):
            self.body = body
        elif isinstance(body, str):
            self.body = body.encode() + b"\n"
        else:
            self.body = json.dumps(body).encode() + b"\n"
            self.kind = "application/json"


class _Caller(asyncio.Protocol):
    """One caller: one call, one answer, the end."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_CALL)
        self.request: h11.Request | None = None
        self.taken = 0
        self.body: list[bytes] = []  # of a call about a policy
        self.over = False
        self.answering: asyncio.Task[Reply] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.door.loop.call_later(CALL_LIMIT, self._late)
        self.door.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.door.callers.pop(self, None)
        if self.answering is not None:
            self.answering.cancel()

    def eof_received(self) -> bool:
        # A caller may end its sending once its call is whole. One that has its answer closes: kept until it
        # is dropped, it would hold the place of the next.
        if not self.over and self.answering is None:
            self.drop()
        return not self.over

    @property
    def most(self) -> int:
        """The most that this call may hold, as far as it is known what it is."""
        if self.request is not None and is_policy(self.request.target.decode("latin-1")):
            return self.door.most
        return MOST_CALL

    def data_received(self, data: bytes) -> None:
        if self.over or self.answering is not None:
            return
        self.taken += len(data)
        try:
            # What comes with the head in one piece is looked at again once the head is read.
            if self.taken > max(self.most, self.door.most if self.request is None else 0):
                raise h11.RemoteProtocolError("the call is too long", error_status_hint=413)
            self.http.receive_data(data)
            while not self.over:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        self._send(h11.InformationalResponse(status_code=100, headers=[]))
                    return
                if isinstance(event, h11.Request):
                    self.request = event
                    if self.taken > self.most:
                        raise h11.RemoteProtocolError("the call is too long", error_status_hint=413)
                elif isinstance(event, h11.EndOfMessage):
                    self._whole()
                    return
                elif isinstance(event, h11.Data):
                    if self.most > MOST_CALL:
                        self.body.append(bytes(event.data))
                else:
                    self.drop()
                    return
        except h11.RemoteProtocolError as error:
            self._reply(Reply(error.error_status_hint, str(error)))
        except Exception:
            # What nobody foresaw costs this call and nothing else.
            log.exception("a call failed")
            self._reply(Reply(500, "failed"))

    def _whole(self) -> None:
        assert self.request is not None
        call = parse(self.request.method.decode("ascii"), self.request.target.decode("latin-1"))
        if isinstance(call, Denied):
            self._reply(Reply(call.status, call.reason), call.allow)
            return
        if call.kind is Kind.POLICY and call.body is not None:
            call = replace(call, body=b"".join(self.body))
        reply = self.door.answer(call)
        if isinstance(reply, Reply):
            self._reply(reply)
            return
        if self.timer is not None:
            self.timer.cancel()
        self.answering = self.door.loop.create_task(self._answered(reply))

    async def _answered(self, answer: Awaitable[Reply]) -> Reply:
        """Give an answer that takes its time."""
        try:
            async with asyncio.timeout(ANSWER_LIMIT):
                reply = await answer
        except TimeoutError:
            reply = Reply(504, "no answer in time")
        except Exception:
            log.exception("a call failed")
            reply = Reply(500, "failed")
        self._reply(reply)
        return reply

    def _late(self) -> None:
        self._reply(Reply(408, "the call is not whole in time"))

    def _reply(self, reply: Reply, allow: str = "") -> None:
        if self.over:
            return
        self.over = True
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [
                ("Content-Type", reply.kind),
                ("Content-Length", str(len(reply.body))),
                ("Connection", "close"),
            ]
            if allow:
                headers.append(("Allow", allow))
            self._send(
                h11.Response(
                    status_code=reply.status, reason=HTTPStatus(reply.status).phrase, headers=headers
                ),
                h11.Data(data=reply.body),
                h11.EndOfMessage(),
            )
        if self.timer is not None:
            self.timer.cancel()
        # The end of sending first: with unread bytes a close would be a reset, and could destroy the answer.
        self.timer = self.door.loop.call_later(CLOSE_LIMIT, self.drop)
        if self.transport.can_write_eof() and not self.transport.is_closing():
            try:
                self.transport.write_eof()
            except OSError:  # its reset has come and was not yet read
                self.drop()

    def _send(self, *events: h11.Event) -> None:
        data = b"".join(self.http.send(event) or b"" for event in events)
        if not self.transport.is_closing():
            self.transport.write(data)

    def drop(self) -> None:
        """End it at once."""
        self.over = True
        self.door.callers.pop(self, None)
        self.transport.abort()


class Door:
    """The listener and its callers."""

    def __init__(self, answer: Callable[..., Reply | Awaitable[Reply]]) -> None:
        self.answer = answer
        self.most = MOST_CALL  # of a call about a policy
        self.room = CALLERS
        self.backlog = 64
        self.loop = asyncio.get_running_loop()
        self.callers: dict[_Caller, None] = {}  # in the order in which they came
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> int:
        """Listen; the port. OSError where the address cannot be had."""
        sock = system.tcp_socket(host)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.setblocking(False)
        self._server = await self.loop.create_server(lambda: _Caller(self), sock=sock, backlog=self.backlog)
        self.port = int(sock.getsockname()[1])
        return self.port

    def admit(self, caller: _Caller) -> None:
        """Take a caller in; beyond what there is room for, the first that came goes whose call is not being
        answered yet, or the new one where all are."""
        self.callers[caller] = None
        if len(self.callers) > self.room:
            next(one for one in self.callers if one.answering is None).drop()

    def close(self) -> None:
        """Take no more calls, and end those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for caller in list(self.callers):
            caller.drop()
