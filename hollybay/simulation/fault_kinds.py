"""The kinds of faults, of spoilt answers and of wrong requests, each with what it does."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FAULTS", "MALFORMED_REQUESTS", "RESPONSE_VARIANTS", "FaultKind", "MalformedRequest"]


@dataclass(frozen=True, slots=True)
class FaultKind:
    """What a fault strikes (server, node, fleet or discovery) and what it does."""

    target_type: str
    description: str


FAULTS = {
    "crash": FaultKind("server", "dies, is back cold, both told late"),
    "gone": FaultKind("server", "dies and is taken off the list for good"),
    "massacre": FaultKind("fleet", "a part of all servers dies at once, and comes back cold one by one"),
    "drain": FaultKind("server", "told as draining, then as serving again; goes on answering"),
    "roll": FaultKind("fleet", "servers restart in turn: drained, stopped after the grace, back cold"),
    "edge": FaultKind("server", "drained, stopped and back cold just as the grace ends"),
    "move": FaultKind("server", "the same id at a new address; the old one goes on listening for a while"),
    "replace": FaultKind("server", "a new id at the old address, cold"),
    "cut": FaultKind("server", "node and server do not hear each other; reset at the end"),
    "zone": FaultKind("fleet", "all servers of one zone are cut off"),
    "errors": FaultKind("server", "answers 500"),
    "reject": FaultKind("server", "turns requests away as not processed"),
    "slow": FaultKind("server", "takes ten times as long"),
    "never": FaultKind("server", "takes requests and does not answer"),
    "lose": FaultKind("server", "runs a request, then resets instead of answering"),
    "halfway": FaultKind("server", "resets when a request's head is there, before its last byte"),
    "idle": FaultKind("server", "closes connections as soon as they rest, so that it crosses their next use"),
    "few": FaultKind("server", "takes three connections and resets the others"),
    "spoil": FaultKind("server", "answers in a way that is no sound answer"),
    "silent": FaultKind("discovery", "does not answer"),
    "dead": FaultKind("discovery", "refuses connections"),
    "jump": FaultKind("discovery", "its version leaps ahead"),
    "again": FaultKind("discovery", "gives the whole list again and again"),
    "partial": FaultKind("discovery", "a quarter of the servers is dropped by mistake, then back"),
    "empty": FaultKind("discovery", "a whole list without servers, then the right one"),
    "broken": FaultKind("discovery", "answers that are no list"),
    "flap": FaultKind("discovery", "one server is told as draining and serving in turn"),
    "stale": FaultKind("fleet", "load reports stand still or lie"),
    "hup": FaultKind("node", "SIGHUP with files that hold"),
    "badhup": FaultKind("node", "SIGHUP with files that do not hold"),
    "unsafe": FaultKind("node", "SIGHUP with an operator file that would break a rule"),
    "term": FaultKind("node", "SIGTERM in mid-run; a new process takes over where it listened"),
    "kill": FaultKind("node", "SIGKILL in mid-run; a new process starts"),
    "crowd": FaultKind("node", "clients that connect and say nothing, or half a request"),
    "scarce": FaultKind("node", "descriptors run out"),
}

# Answers that are no sound answer, but for the last five, which are unusual and sound.
RESPONSE_VARIANTS = {
    "early": "before the request's last byte has come",
    "twice": "the whole answer once more, right behind",
    "two_lengths": "two lengths that differ",
    "both_framings": "a length and chunks",
    "no_length": "neither a length nor chunks, ended by closing",
    "short": "less than its length, then the end",
    "trailing": "bytes behind the answer",
    "garbage": "no HTTP",
    "stalls": "half of its body, then nothing",
    "bad_chunk": "chunks of senseless size",
    "big_head": "a head without end",
    "huge": "a length beyond all limits",
    "status": "a redirect, which nobody asked for",
    "reset_midway": "half of its body, then a reset",
    "chunked": "sound, in chunks",
    "pieces": "sound, byte by byte",
    "closing": "sound, and the connection ends with it",
    "informational": "sound, behind an informational answer",
    "odd_report": "sound, with a load report that is none",
}


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A request that is none. edit: from the sound head's lines to wrong ones; status: what is right."""

    name: str
    status: tuple[int, ...]


# In the order in which a plan's arg counts them; how each is worded stands in clients.py.
MALFORMED_REQUESTS = (
    MalformedRequest("version", (505,)),
    MalformedRequest("two_lengths", (400,)),
    MalformedRequest("both_framings", (400,)),
    MalformedRequest("two_ids", (400,)),
    MalformedRequest("no_id", (400,)),
    MalformedRequest("bad_id", (400,)),
    MalformedRequest("no_class", (404,)),
    MalformedRequest("method", (405,)),
    MalformedRequest("get_body", (400,)),
    MalformedRequest("no_key", (400,)),
    MalformedRequest("deadline", (400,)),
    MalformedRequest("control", (400,)),
    MalformedRequest("too_long", (413,)),
    MalformedRequest("chunk_size", (400,)),
    MalformedRequest("big_head", (431,)),
    MalformedRequest("two_hosts", (400,)),
    MalformedRequest("old_chunked", (400,)),
    MalformedRequest("noise", (400,)),
)
