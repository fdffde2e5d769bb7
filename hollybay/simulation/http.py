"""A strict HTTP/1.1 parser for the models, independent of the node's code so as not to share its faults."""

from __future__ import annotations

from hashlib import blake2b

__all__ = ["MalformedMessageError", "Message", "MessageReader", "filler"]

MAX_HEAD_BYTES = 64 << 10
MAX_BODY_BYTES = 4 << 20
_TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz")


class MalformedMessageError(Exception):
    """The bytes are not a valid message; the text says why."""


def filler(name: str, size: int) -> bytes:
    """Return deterministic bytes of a given size that are specific to a name."""
    unit = blake2b(name.encode(), digest_size=24).hexdigest().encode()
    return (unit * (size // len(unit) + 1))[:size]


class Message:
    """A message: its start line, headers (names in lower case), and the received part of its body."""

    __slots__ = ("body", "chunked", "first", "headers", "length", "size")

    def __init__(
        self, first: bytes, headers: list[tuple[bytes, bytes]], length: int | None, chunked: bool
    ) -> None:
        self.first = first
        self.headers = headers
        self.length = length
        self.chunked = chunked
        self.body: list[bytes] = []
        self.size = 0

    def get(self, name: bytes) -> bytes | None:
        """Return a header's value, None if the message doesn't have it."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def content(self) -> bytes:
        """The received part of the body."""
        return b"".join(self.body)


class MessageReader:
    """Parses messages incrementally. `head` is the message in progress, None until its head is complete.

    answers: whether it parses responses, which may be informational or end with the connection.
    """

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.buffer = b""
        self.head: Message | None = None
        self.informational: list[int] = []
        self._chunk = -1  # bytes left of the chunk; -1: its size line is next, -2: the CRLF at its end
        self._last = False

    @property
    def in_progress(self) -> bool:
        """Whether a message has been received in part."""
        return bool(self.buffer) or self.head is not None

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def next(self) -> Message | None:
        """Return the next complete message, None if more bytes are needed; raises MalformedMessageError."""
        while self.head is None:
            if not self._head():
                return None
        head = self.head
        if head.chunked:
            return self._whole(head) if self._chunks(head) else None
        if head.length is None:
            if not self.answers:
                return self._whole(head)
            self._take(head, len(self.buffer))
            return None  # the body ends with the connection: see ended()
        self._take(head, min(len(self.buffer), head.length - head.size))
        return self._whole(head) if head.size == head.length else None

    def ended(self) -> Message | None:
        """Return the message that ends with the connection; MalformedMessageError if one is incomplete."""
        head = self.head
        if head is not None and head.length is None and not head.chunked and self.answers:
            return self._whole(head)
        if self.in_progress:
            raise MalformedMessageError("the connection ended within a message")
        return None

    def _whole(self, head: Message) -> Message:
        self.head = None
        self._chunk, self._last = -1, False
        return head

    def _take(self, head: Message, size: int) -> None:
        if size:
            head.body.append(self.buffer[:size])
            head.size += size
            self.buffer = self.buffer[size:]
            if head.size > MAX_BODY_BYTES:
                raise MalformedMessageError(f"body of more than {MAX_BODY_BYTES} bytes")

    def _head(self) -> bool:
        at = self.buffer.find(b"\r\n\r\n")
        if at < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise MalformedMessageError(f"head of more than {MAX_HEAD_BYTES} bytes")
            return False
        lines = self.buffer[:at].split(b"\r\n")
        self.buffer = self.buffer[at + 4 :]
        headers = []
        length: int | None = None
        chunked = False
        for line in lines[1:]:
            name, sep, value = line.partition(b":")
            name = name.lower()
            if not sep or not name or not _TOKEN.issuperset(name):
                raise MalformedMessageError(f"invalid header line: {line[:40]!r}")
            value = value.strip(b" \t")
            headers.append((name, value))
            if name == b"content-length":
                if length is not None or not value.isdigit():
                    raise MalformedMessageError(f"invalid or repeated content-length: {value[:20]!r}")
                length = int(value)
            elif name == b"transfer-encoding":
                if chunked or value.lower() != b"chunked":
                    raise MalformedMessageError(f"unsupported or repeated transfer-encoding: {value[:20]!r}")
                chunked = True
        if chunked and length is not None:
            raise MalformedMessageError("both content-length and chunked transfer-encoding")
        message = Message(lines[0], headers, length, chunked)
        if self.answers:
            parts = lines[0].split(b" ", 2)
            if parts[0] != b"HTTP/1.1" or len(parts) < 2 or not (parts[1].isdigit() and len(parts[1]) == 3):
                raise MalformedMessageError(f"invalid status line: {lines[0][:40]!r}")
            if parts[1][:1] == b"1":
                self.informational.append(int(parts[1]))
                return True
        elif len(lines[0].split(b" ")) != 3 or not lines[0].endswith(b" HTTP/1.1"):
            raise MalformedMessageError(f"invalid request line: {lines[0][:40]!r}")
        self.head = message
        return True

    def _chunks(self, head: Message) -> bool:
        """Parse the received chunks; return whether the last one is complete."""
        while True:
            if self._chunk > 0:
                size = min(self._chunk, len(self.buffer))
                if not size:
                    return False
                self._take(head, size)
                self._chunk -= size
                if not self._chunk:
                    self._chunk = -2
            elif self._chunk == -2 or self._last:
                if len(self.buffer) < 2:
                    return False
                if self.buffer[:2] != b"\r\n":
                    raise MalformedMessageError("chunk longer than its declared size")
                self.buffer = self.buffer[2:]
                self._chunk = -1
                if self._last:
                    return True
            else:
                line, sep, rest = self.buffer.partition(b"\r\n")
                if not sep:
                    return False
                try:
                    size = int(line.split(b";")[0], 16)
                except ValueError:
                    raise MalformedMessageError(f"invalid chunk size line: {line[:20]!r}") from None
                self.buffer = rest
                self._chunk, self._last = size, size == 0
