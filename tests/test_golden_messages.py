"""Compatibility of messages between nodes and voters, checked against golden files (tests/golden)."""

from __future__ import annotations

import json

import pytest

from .golden import build
from .golden.files import lines, read

MESSAGES = lines("messages.txt")
MALFORMED = lines("messages_malformed.txt")
TEXTS = {
    name: data
    for name, data in lines("values_in_text.txt").items()
    if name == "change" or (name.startswith("policy") and not name.endswith((".name", ".digest")))
}


@pytest.mark.parametrize(
    "name",
    [
        "messages.txt",
        "messages_fields.txt",
        "messages_malformed.txt",
        "values_in_text.txt",
        "outgoing_calls.http",
        "uploads_refused.txt",
        "keeper_answers.txt",
        "calls_made.txt",
    ],
)
def test_output_equals_the_golden_file(name: str) -> None:
    assert build.FILES[name]() == read(name)


@pytest.mark.parametrize("name", MESSAGES)
def test_a_golden_message_decodes_and_encodes_to_the_same_bytes(name: str) -> None:
    assert build.reencoded(name, MESSAGES[name]) == MESSAGES[name]


@pytest.mark.parametrize("name", TEXTS)
def test_a_golden_text_decodes_and_encodes_to_the_same_bytes(name: str) -> None:
    assert build.reencoded_text(name, TEXTS[name]) == TEXTS[name]


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_message_is_rejected_as_before(name: str) -> None:
    reason, _, data = MALFORMED[name].partition(b" ")
    assert reason
    assert build.rejection(name.partition(":")[0], data) == reason.decode().replace("_", " ")


@pytest.mark.parametrize("name", MESSAGES)
def test_truncated_bytes_other_values_and_unknown_fields_are_rejected(name: str) -> None:
    data = MESSAGES[name]
    extended = json.dumps({**json.loads(data), "extra": 1}).encode()
    for bad in (b"", data[:-1], data + b"}", b"null", b"[]", b"\xff", b"[" * 5000, extended):
        assert build.rejection(name, bad) == "no such words", bad[:40]


@pytest.mark.parametrize("name", TEXTS)
def test_a_damaged_text_is_rejected(name: str) -> None:
    kind = name.partition(".")[0]
    data = TEXTS[name]
    assert build.text_rejection(name, b"?" + data) == kind
    assert build.text_rejection(name, data[:-8]) in (kind, f"no {kind}")
