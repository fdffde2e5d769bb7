"""HTTP/1.1 messages as the models read them: strict, and by no code of the node, so as not to err alike."""

from __future__ import annotations

from hashlib import blake2b

__all__ = ["MalformedMessageError", "Message", "MessageReader", "filler"]

MOST_HEAD = 64 << 10
MOST_BODY = 4 << 20
_TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz")


class MalformedMessageError(Exception):
    """Bytes that are no sound message; the text says why."""


def filler(name: str, size: int) -> bytes:
    """So many bytes that belong to this name and to no other."""
    unit = blake2b(name.encode(), digest_size=24).hexdigest().encode()
    return (unit * (size // len(unit) + 1))[:size]


class Message:
    """A message's first line and headers (names in lower case), and its body as far as it has come."""

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
        """A header's value, None where there is none."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def content(self) -> bytes:
        """The body so far."""
        return b"".join(self.body)


class MessageReader:
    """Takes bytes as they come. `head` is the message that is being read, None before its head is whole.

    answers: whether it reads answers, whose bodies may end with the connection, and informational ones.
    """

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.buffer = b""
        self.head: Message | None = None
        self.informational: list[int] = []
        self._chunk = -1  # bytes left of the present chunk, -1: its size comes next, -2: the end of its line
        self._last = False

    @property
    def in_progress(self) -> bool:
        """Whether a message has begun to come and is not whole."""
        return bool(self.buffer) or self.head is not None

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        self.buffer += data

    def next(self) -> Message | None:
        """The next whole message, None until more comes; Malformed where none can be."""
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
            return None  # until the end of the connection: see ended()
        self._take(head, min(len(self.buffer), head.length - head.size))
        return self._whole(head) if head.size == head.length else None

    def ended(self) -> Message | None:
        """The connection has ended: the message that ends with it; Malformed for one that breaks off."""
        head = self.head
        if head is not None and head.length is None and not head.chunked and self.answers:
            return self._whole(head)
        if self.in_progress:
            raise MalformedMessageError("the connection ended in mid-message")
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
            if head.size > MOST_BODY:
                raise MalformedMessageError("a body without end")

    def _head(self) -> bool:
        at = self.buffer.find(b"\r\n\r\n")
        if at < 0:
            if len(self.buffer) > MOST_HEAD:
                raise MalformedMessageError("a head without end")
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
                raise MalformedMessageError(f"no header: {line[:40]!r}")
            value = value.strip(b" \t")
            headers.append((name, value))
            if name == b"content-length":
                if length is not None or not value.isdigit():
                    raise MalformedMessageError(f"content-length: {value[:20]!r}")
                length = int(value)
            elif name == b"transfer-encoding":
                if chunked or value.lower() != b"chunked":
                    raise MalformedMessageError(f"transfer-encoding: {value[:20]!r}")
                chunked = True
        if chunked and length is not None:
            raise MalformedMessageError("a length and chunks")
        message = Message(lines[0], headers, length, chunked)
        if self.answers:
            parts = lines[0].split(b" ", 2)
            if parts[0] != b"HTTP/1.1" or len(parts) < 2 or not (parts[1].isdigit() and len(parts[1]) == 3):
                raise MalformedMessageError(f"no status line: {lines[0][:40]!r}")
            if parts[1][:1] == b"1":
                self.informational.append(int(parts[1]))
                return True
        elif len(lines[0].split(b" ")) != 3 or not lines[0].endswith(b" HTTP/1.1"):
            raise MalformedMessageError(f"no request line: {lines[0][:40]!r}")
        self.head = message
        return True

    def _chunks(self, head: Message) -> bool:
        """Read chunks as far as they go; whether the last one is whole."""
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
                    raise MalformedMessageError("a chunk longer than it says")
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
                    raise MalformedMessageError(f"no chunk: {line[:20]!r}") from None
                self.buffer = rest
                self._chunk, self._last = size, size == 0
