"""Parser of a message on top of h11, which bounds what a head, a trailer and a chunked body cost.

h11 makes several objects for each field of a head or of a trailer, and an event for each chunk. The parser
counts the fields before h11 sees them, and decodes chunks by itself.
"""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import Any

import h11

from .chunked_decoder import ChunkedDecoder
from .memory_budget import FIELD_BYTES, HEAD_COPIES, MemoryAccount
from .message_limits import MAX_FIELDS, MAX_HEAD_BYTES

__all__ = ["MessageParser"]

# The end of a head, by h11's rules: a line may end without a carriage return.
_BLANK_LINE = re.compile(rb"\n\r?\n")
_BLANK_LINE_BYTES = 3
_EMPTY_SECTION = re.compile(rb"\r?\n")
# A message with such a line may have a chunked body; without it, it has none.
_TRANSFER_ENCODING = b"\ntransfer-encoding:"
_FIRST_PRINTABLE = 0x21
_TOO_LARGE = 431
_UNAVAILABLE = 503


class _Section(Enum):
    """The part of the message that comes next."""

    HEAD = auto()
    BODY = auto()  # parsed by h11, as is a message without a body
    CHUNKS = auto()
    TRAILERS = auto()  # from the last chunk on


# Members used for each message, as names of this module: the look-up on the enum class takes time.
_HEAD = _Section.HEAD
_BODY = _Section.BODY
_CHUNKS = _Section.CHUNKS


class MessageParser(h11.Connection):
    """Parser of one message, with the interface of `h11.Connection`; it encodes the other direction, too.

    Parameters
    ----------
    role
        `h11.SERVER` to parse a request, `h11.CLIENT` to parse a response.
    account
        Account that is charged for the head, and for what was received and not parsed; None: nothing is.
    free_bytes
        How much of that is not charged, as it was reserved before.

    Attributes
    ----------
    chunks
        Number of chunks of the body that were decoded.
    """

    def __init__(
        self, role: type[h11._util.Sentinel], account: MemoryAccount | None = None, free_bytes: int = 0
    ) -> None:
        super().__init__(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._account = account
        self._free_bytes = free_bytes
        self._head_bytes = 0  # memory that the parsed head takes
        self._charged = 0
        self._section = _HEAD
        self._unparsed = bytearray()
        self._lines = 0  # number of lines of the head or trailer
        self._searched = 0  # number of unparsed bytes that were searched for the end of the head or trailer
        self._decoder: ChunkedDecoder | None = None
        self._has_body_begun = False

    @property
    def chunks(self) -> int:
        """Number of chunks of the body that were decoded."""
        return self._decoder.chunks if self._decoder is not None else 0

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes of an incomplete head, chunk header or trailer."""
        return len(self._unparsed)

    @property
    def trailing_data(self) -> tuple[bytes, bool]:
        """The bytes that were not parsed yet, and whether the peer has ended its stream."""
        rest, is_closed = super().trailing_data
        return rest + self._unparsed, is_closed

    @property
    def they_are_waiting_for_100_continue(self) -> bool:
        """Whether the client waits for a response before it sends its body."""
        return not self._has_body_begun and super().they_are_waiting_for_100_continue

    def receive_data(self, data: bytes | bytearray | memoryview) -> None:
        """Add received bytes; none if the peer has ended its stream."""
        if self._section is _BODY or not data:
            super().receive_data(data)
        else:
            self._unparsed += data

    def next_event(self) -> Any:
        """Return the next event, or `h11.NEED_DATA` or `h11.PAUSED`.

        Raises
        ------
        h11.RemoteProtocolError
            The message is malformed, or its head or trailer is too large.
        """
        section = self._section
        if section is _BODY:
            return super().next_event()
        if section is _HEAD:
            return self._next_head()
        if section is _CHUNKS:
            return self._next_chunks()
        return self._next_trailers()

    def close(self) -> None:
        """Release what is charged, as the message is not needed any more."""
        if self._charged:
            self._hold(0)

    def _hold(self, size: int, may_refuse: bool = False) -> None:
        """Charge for a number of bytes, in place of those that were charged before.

        Raises
        ------
        h11.RemoteProtocolError
            There is no room, and the message may be refused.
        """
        if self._account is None:
            return
        size = max(0, size - self._free_bytes)
        more = size - self._charged
        if more <= 0:
            self._account.release(-more)
        elif not may_refuse:
            self._account.charge(more)
        elif not self._account.reserve(more):
            raise h11.RemoteProtocolError("refused", error_status_hint=_UNAVAILABLE)
        self._charged = size

    def _next_head(self) -> Any:
        unparsed = self._unparsed
        if not unparsed:
            return super().next_event()
        end = self._find_end(0, MAX_FIELDS + 2)
        if end is None:
            if unparsed[0] >= _FIRST_PRINTABLE:
                self._hold(len(unparsed), may_refuse=True)
                return h11.NEED_DATA
            end = len(unparsed)  # no head at all, which h11 rejects
        if end == len(unparsed):
            head, self._unparsed = unparsed, bytearray()
        else:
            head = unparsed[:end]
            del unparsed[:end]
        self._searched = 0
        self._head_bytes = HEAD_COPIES * end + FIELD_BYTES * self._lines
        if self._charged or self._head_bytes > self._free_bytes:
            self._hold(self._head_bytes, may_refuse=True)
        super().receive_data(head)
        event = super().next_event()
        if type(event) is h11.InformationalResponse:
            return event
        if _TRANSFER_ENCODING in head.lower():
            self._section = _CHUNKS
        elif self._unparsed:
            self._begin_plain_body()
        else:
            self._section = _BODY
        return event

    def _begin_plain_body(self) -> None:
        """Let h11 parse the rest."""
        self._section = _BODY
        if self._unparsed:
            super().receive_data(self._unparsed)
            self._unparsed = bytearray()

    def _next_chunks(self) -> Any:
        decoder = self._decoder
        if decoder is None:
            event = super().next_event()
            if event is not h11.NEED_DATA:  # a message without a body in spite of its head
                self._begin_plain_body()
                return event
            decoder = self._decoder = ChunkedDecoder()
        data = decoder.decode(self._unparsed)
        self._hold(self._head_bytes + len(self._unparsed))
        if data:
            self._has_body_begun = True
            return h11.Data(data=data)
        if decoder.is_at_last_chunk:
            self._section = _Section.TRAILERS
            return self._next_trailers()
        return super().next_event()  # NEED_DATA, or an error if the peer has ended its stream

    def _next_trailers(self) -> Any:
        unparsed = self._unparsed
        start = unparsed.find(b"\n") + 1  # behind the line of the last chunk, which is whole
        empty = _EMPTY_SECTION.match(unparsed, start)
        end = empty.end() if empty is not None else self._find_end(start, MAX_FIELDS + 1)
        if end is None:
            self._hold(self._head_bytes + len(unparsed))
            return super().next_event()
        section = unparsed[:end]
        del unparsed[:end]
        super().receive_data(section)
        self._begin_plain_body()
        return super().next_event()

    def _find_end(self, start: int, max_lines: int) -> int | None:
        """Return the end of the head or trailer that begins at an index; None if it has not come.

        The empty line at its end counts as a line, and so does the first line of a head.

        Raises
        ------
        h11.RemoteProtocolError
            It is too large, or has too many fields.
        """
        unparsed = self._unparsed
        searched = self._searched - _BLANK_LINE_BYTES
        match = _BLANK_LINE.search(unparsed, start if searched < start else searched)
        end = match.end() if match is not None else len(unparsed)
        if end - start > MAX_HEAD_BYTES:
            raise h11.RemoteProtocolError("the head is too long", error_status_hint=_TOO_LARGE)
        self._lines = unparsed.count(b"\n", start, end)
        if self._lines > max_lines - (match is None):
            raise h11.RemoteProtocolError("too many fields", error_status_hint=_TOO_LARGE)
        if match is None:
            self._searched = end
            return None
        return end
