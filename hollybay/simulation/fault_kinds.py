"""The kinds of faults, of unusual responses and of malformed requests, each with a description."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FAULTS", "MALFORMED_REQUESTS", "RESPONSE_VARIANTS", "FaultKind", "MalformedRequest"]


@dataclass(frozen=True, slots=True)
class FaultKind:
    """The target of a fault (server, node, fleet or discovery) and its effect."""

    target_type: str
    description: str


FAULTS = {
    "crash": FaultKind("server", "crashes and restarts cold; the server list shows both late"),
    "gone": FaultKind("server", "crashes and is removed from the server list permanently"),
    "massacre": FaultKind("fleet", "a share of all servers crashes at once; they restart cold one by one"),
    "drain": FaultKind("server", "listed as draining, then as serving again; responds throughout"),
    "roll": FaultKind(
        "fleet", "three servers restart in turn: drained, stopped after the grace period, started cold"
    ),
    "edge": FaultKind("server", "drained, stopped as the grace period ends, started cold"),
    "move": FaultKind("server", "same ID at a new address; the old one listens until after the grace period"),
    "replace": FaultKind("server", "a new ID at the old address, cold"),
    "cut": FaultKind("server", "partitioned from the nodes; connections are reset at the end"),
    "zone": FaultKind("fleet", "all servers of one zone are partitioned from the nodes"),
    "errors": FaultKind("server", "responds with 500"),
    "reject": FaultKind("server", "rejects requests as not processed"),
    "slow": FaultKind("server", "needs ten times as long"),
    "never": FaultKind("server", "accepts requests and does not respond"),
    "lose": FaultKind("server", "runs a request, then resets the connection instead of responding"),
    "halfway": FaultKind("server", "resets the connection after a request's head, before its last byte"),
    "idle": FaultKind("server", "closes idle connections early, which races with their next use"),
    "few": FaultKind("server", "accepts three connections and resets the others"),
    "spoil": FaultKind("server", "responds in one of the ways of RESPONSE_VARIANTS"),
    "silent": FaultKind("discovery", "does not respond"),
    "dead": FaultKind("discovery", "refuses connections"),
    "jump": FaultKind("discovery", "its version jumps ahead"),
    "again": FaultKind("discovery", "sends the whole list repeatedly"),
    "partial": FaultKind("discovery", "a quarter of the servers is missing from the list for a while"),
    "empty": FaultKind("discovery", "no serving server is on the list for a while"),
    "broken": FaultKind("discovery", "responds with something other than a valid list"),
    "flap": FaultKind("discovery", "one server alternates between draining and serving"),
    "stale": FaultKind("fleet", "load reports stay unchanged or are wrong"),
    "hup": FaultKind("node", "SIGHUP with valid files"),
    "badhup": FaultKind("node", "SIGHUP with damaged files"),
    "unsafe": FaultKind("node", "SIGHUP with an operator file that would break a rule"),
    "term": FaultKind("node", "SIGTERM during the run; a new process starts at the same address"),
    "kill": FaultKind("node", "SIGKILL during the run; a new process starts"),
    "crowd": FaultKind("node", "clients that connect and send nothing or part of a request"),
    "scarce": FaultKind("node", "few file descriptors are left"),
}

# Responses other than the usual one: all are invalid except `no_length` and the last five.
RESPONSE_VARIANTS = {
    "early": "sent before the request's last byte has arrived",
    "twice": "the whole response twice",
    "two_lengths": "two different Content-Lengths",
    "both_framings": "a Content-Length and chunked encoding",
    "no_length": "neither a Content-Length nor chunks; ended by closing the connection",
    "short": "shorter than its Content-Length, then the end of the connection",
    "trailing": "extra bytes after the response",
    "garbage": "not HTTP",
    "stalls": "half of the body, then nothing",
    "bad_chunk": "an invalid chunk size",
    "big_head": "a head that does not end",
    "huge": "a Content-Length beyond all limits",
    "status": "an unexpected redirect",
    "reset_midway": "half of the body, then a reset",
    "chunked": "valid, in chunks",
    "pieces": "valid, in many small pieces",
    "closing": "valid; the connection is closed after it",
    "informational": "valid, after an informational response",
    "odd_report": "valid, with an invalid load report",
}


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A kind of malformed request, and the statuses that are correct responses to it."""

    name: str
    status: tuple[int, ...]


# `RequestPlan.arg` is an index into this tuple; clients.py has the encoding of each.
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
