"""Every recorded stream of events leads to the same actions with the same random draws.

To show the first event with a difference: python -m tests.show_first_difference [STREAM]
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from hollybay.balancing.interface import ListKind, Result

from . import recorded_decisions as recorded
from .show_first_difference import digests, first_difference

ROOT = Path(__file__).resolve().parent.parent
STREAMS = recorded.names()
# The actions that the decision module returns; probes and single fetches exist in the interface only.
RETURNED_ACTIONS = {"send", "refuse", "fail", "cancel", "set", "watch"}


@pytest.mark.parametrize("name", STREAMS)
def test_a_recorded_stream_leads_to_the_same_actions(name: str) -> None:
    difference = first_difference(recorded.load(name))
    assert difference is None, f"{name}: {difference}"


def test_the_streams_match_their_recorded_digests() -> None:
    kept = digests()
    assert sorted(kept) == STREAMS
    for name in STREAMS:
        stream = recorded.load(name)
        assert kept[name] == (len(stream.lines), recorded.digest_of(stream)), name


def test_the_streams_contain_every_kind_of_event_action_result_and_list() -> None:
    events: Counter[str] = Counter()
    actions: Counter[str] = Counter()
    results: Counter[int] = Counter()
    lists: Counter[int] = Counter()
    for name in STREAMS:
        for line in recorded.load(name).lines:
            events[line.event[0]] += 1
            actions.update(action[0] for action in line.actions)
            if line.event[0] == "outcome":
                results[line.event[4]] += 1
            elif line.event[0] == "list":
                lists[line.event[1]] += 1
    assert set(events) == set(recorded.EVENTS) and sum(events.values()) > 10_000
    assert set(actions) == RETURNED_ACTIONS
    assert set(results) == set(map(int, Result)) and set(lists) == set(map(int, ListKind))


def test_the_tables_cover_the_whole_interface() -> None:
    assert recorded.missing_from_tables() == []


def test_decisions_do_not_depend_on_the_hash_seed() -> None:
    command = [sys.executable, "-m", "tests.show_first_difference", "world-peers", "seed-13-0"]
    for seed in ("0", "4711"):
        environ = {**os.environ, "PYTHONHASHSEED": seed}
        done = subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True)
        assert done.returncode == 0, done.stdout + done.stderr


def test_differences_in_seed_actions_draws_and_checksum_are_found() -> None:
    stream = recorded.load(STREAMS[0])
    assert first_difference(replace(stream, seed=stream.seed + 1)) is not None
    at = next(n for n, line in enumerate(stream.lines) if line.actions)
    for changed in (
        replace(stream.lines[at], actions=[]),
        replace(stream.lines[at], draws=stream.lines[at].draws + 2),
        replace(stream.lines[at], check="000000"),
    ):
        lines = [*stream.lines[:at], changed, *stream.lines[at + 1 :]]
        difference = first_difference(replace(stream, lines=lines))
        assert difference is not None and difference.number == at
