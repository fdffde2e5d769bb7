"""Encoding and decoding of messages, and the published names of stages."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from .core import EpochState, Stage
from .errors import MalformedDataError
from .message_fields import MESSAGE_VERSION
from .protocol_messages import (
    AcceptCall,
    AcceptReply,
    DecidedNotice,
    HistoryEntry,
    KnowledgeReply,
    LeaseCall,
    LeaseReply,
    PrepareReply,
)

__all__ = ["decode", "encode", "stage_label"]

# The published names of the stages.
_STAGE_LABELS = {Stage.SETTLED: "SETTLED", Stage.PREPARE: "PREPARE", Stage.JOINT: "NARROW"}

_T = TypeVar("_T")


def encode(message: object) -> bytes:
    """Encode a message for the wire."""
    return msgspec.json.encode(message)


def decode(data: bytes, kind: type[_T]) -> _T:
    """Decode a received message of the given type.

    Raises
    ------
    MalformedDataError
        The data is not such a message, has another version, or names an epoch that is not well-formed.
    """
    try:
        found: _T = msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedDataError(f"no such words: {error}") from None
    form = getattr(found, "form", MESSAGE_VERSION)
    if form != MESSAGE_VERSION:
        raise MalformedDataError(f"form: {form}, and this build speaks {MESSAGE_VERSION}")
    for state in _received_states(found):
        if not _is_well_formed(state):
            raise MalformedDataError(f"state: {_format_state(state)} is not a valid epoch")
    return found


def _received_states(message: object) -> list[EpochState]:
    """The epochs that a message names.

    Epochs in promises and votes are left out: they repeat epochs that were checked when they were proposed.
    """
    candidates: list[EpochState | None] = []
    match message:
        case DecidedNotice() | HistoryEntry():
            candidates.append(message.state)
        case LeaseCall():
            candidates.append(message.request.state)
        case AcceptCall():
            candidates.append(message.accept.state)
        case LeaseReply() | PrepareReply() | AcceptReply() | KnowledgeReply():
            candidates.append(message.decided)
    return [state for state in candidates if state is not None]


def _is_well_formed(state: EpochState) -> bool:
    """Whether the fields of an epoch are consistent."""
    return state.epoch >= 0 and bool(state.new) == (state.stage is not Stage.SETTLED) and state.policy != ""


def stage_label(stage: Stage) -> str:
    """The published name of a stage, in status, history and logs."""
    return _STAGE_LABELS[stage]


def _format_state(state: EpochState) -> str:
    """Format an epoch for the message of a rejection."""
    stage = f"<Stage.{stage_label(state.stage)}: {state.stage.value}>"
    return f"EpochState(epoch={state.epoch}, stage={stage}, policy={state.policy!r}, new={state.new!r})"
