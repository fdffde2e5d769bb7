"""The plan of a run: its processes, load, faults, and bounds on the figures.

Typed by msgspec and read with all problems at once (hollybay.routing.typed_tables), then validated here:
groups exist, faults end within the run, links are supported by the harness, and the machine can carry the
number of processes.
Durations are nanoseconds. Source of the form: docs/MAINTAINERS-tier.md.
"""

from __future__ import annotations

import difflib
import os
import random
import resource
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from hollybay.routing.problems import FileProblem, OperatorError
from hollybay.routing.typed_tables import Duration, Table, read_tables
from hollybay.units import SECOND

from .evenness import FIGURES
from .links import LinkState

__all__ = ["Fault", "Plan", "compile_plan", "group_members", "machine_limit_exceeded", "pairs"]

Count = Annotated[int, msgspec.Meta(ge=1, le=2000)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Moment = Annotated[int, msgspec.Meta(ge=0, le=3600 * SECOND, extra={"parse": "duration"})]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,31}$")]

# Private memory in MiB of a node (measured after 20 s), of a worker process, and of everything else; too
# little available memory is reported before the start.
NODE_MB, WORKER_MB, BASE_MB = 20, 60, 300
# Groups that need no table, and the pairs of them between which link faults are supported.
BUILT_IN_GROUPS = ("nodes", "servers", "clients", "discovery", "operators")
LINKS = (
    ("nodes", "servers"),
    ("nodes", "discovery"),
    ("clients", "nodes"),
    ("operators", "nodes"),
    ("nodes", "nodes"),
)
PROCESS_KINDS = ("kill", "stop", "restart", "starve", "few-files")
SERVER_KINDS = ("crash", "slow", "fail", "drain", "absent")
LINK_KINDS = ("cut", "lose-up", "lose-down", "hold", "lag", "throttle", "reset", "lose")
# Faults of datagrams between nodes, if these exchange load reports.
DATAGRAM_KINDS = ("cut", "lag", "lose")
LIST_KINDS = ("lists-late",)
# Steps of a policy change at which a node process may kill itself.
CRASH_STEPS = ("proposed", "drives", "decided", "hears", "serves", "write", "flush", "rename", "flush folder")


class RunTable(Table, frozen=True):
    """Duration, size and load of a run."""

    seconds: Duration = 20 * SECOND
    warm: Duration = 4 * SECOND  # requests and samples before this are not counted
    nodes: Count = 40
    configured: Count | None = None  # number of nodes in their settings; None: the actual one
    servers: Count = 24
    zones: Annotated[int, msgspec.Meta(ge=1, le=8)] = 1
    load: Annotated[float, msgspec.Meta(gt=0, le=5)] = 0.7  # share of the capacity of all servers when warm
    list_every: Duration = SECOND
    retries: Part = 0.0
    # Traffic of the first node, in multiples of the mean.
    uneven: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.0
    connections: Annotated[int, msgspec.Meta(ge=4, le=4000)] = 400  # maximum of one server
    sockets: Annotated[int, msgspec.Meta(ge=192, le=65536)] = 512  # maximum of one node
    # Where the clients of a node that refuses connections go: to any other node, or all to the next one.
    move: Literal["any", "neighbour"] = "any"
    talk: bool = False  # nodes exchange load reports (docs/OPERATORS-fleet.md)
    door: bool = False  # nodes have an admin endpoint, which operators call once a second
    # Number of voters, which are the first nodes; 0: no consensus.
    keepers: Annotated[int, msgspec.Meta(ge=0, le=5)] = 0
    lease: Duration = 2 * SECOND
    narrow_for: Moment = 0  # 0: a node without a valid lease stops serving
    # Numbers of the nodes at which no new policy compiles, and of those whose disk is full after the start.
    unfit: Annotated[list[int], msgspec.Meta(max_length=100)] = msgspec.field(default_factory=list)
    full: Annotated[list[int], msgspec.Meta(max_length=100)] = msgspec.field(default_factory=list)
    start_late: Moment = 0  # delay between the start of the first node and of the last


class RigTable(Table, frozen=True):
    """Processes other than nodes, and the bounds beyond which a run is invalid."""

    server_processes: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    client_processes: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    late: Duration = 40_000_000  # a beat delayed more than this is late
    late_part: Part = 0.02  # largest share of late beats of one process
    starved_part: Part = 0.15  # largest share of its time that a process may be runnable without a core


class GroupTable(Table, frozen=True):
    """Some nodes or servers: those between two fractions of their order."""

    all_or_nothing = True

    of: Literal["nodes", "servers"]
    begin: Part = 0.0
    end: Part = 1.0
    drawn: bool = False  # from an order shuffled by the seed of the run


class FaultTable(Table, frozen=True):
    """One fault: its kind, its target group or pair of groups, start and duration."""

    all_or_nothing = True

    kind: Annotated[str, msgspec.Meta(max_length=32)]
    at: Moment
    lasts: Moment = 0
    on: str = ""
    between: Annotated[list[str], msgspec.Meta(min_length=2, max_length=2)] | None = None
    by: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0


class ChangeTable(Table, frozen=True):
    """A policy change that operators propose: text of an operator file, drained servers, or other voters."""

    all_or_nothing = True

    at: Moment
    after_restarts: bool = False  # also wait until the nodes killed before `at` are ready again
    file: Annotated[str, msgspec.Meta(max_length=100_000)] | None = None
    out: list[str] | None = None
    keepers: list[int] | None = None  # the voters, by node number
    to: Annotated[int, msgspec.Meta(ge=0, le=4)] = 0  # number of the voter that is called first
    drop: Moment | None = None  # the change is dropped this long after its proposal
    parent: str = ""  # the policy on which it is based; "": the current one
    limit: Duration = 20 * SECOND  # how long the change is tracked


class DeathTable(Table, frozen=True):
    """A node process that kills itself when it reaches a step of a policy change."""

    all_or_nothing = True

    node: Annotated[int, msgspec.Meta(ge=0, le=1999)]
    event: str  # one of CRASH_STEPS: a log event of consensus or a step of a write to disk
    stage: str = ""  # stage of the epoch, if the event has one
    back: Moment = SECOND  # delay until a new process of the node starts


class PlanFile(Table, frozen=True):
    """The whole file."""

    run: RunTable = RunTable()
    rig: RigTable = RigTable()
    group: dict[str, GroupTable] = msgspec.field(default_factory=dict)
    faults: list[FaultTable] = msgspec.field(default_factory=list, name="fault")
    changes: list[ChangeTable] = msgspec.field(default_factory=list, name="change")
    deaths: list[DeathTable] = msgspec.field(default_factory=list, name="death")
    most: dict[str, float] = msgspec.field(default_factory=dict)


class Fault(msgspec.Struct, frozen=True):
    """A fault with the names of its targets. Times in ns from the start of the run; state: of its links."""

    kind: str
    at: int
    until: int
    nodes: tuple[str, ...]
    servers: tuple[str, ...]
    link: str  # "", or the names of a pair in LINKS, joined by "-"
    state: LinkState
    by: float
    others: tuple[str, ...] = ()  # of a link between nodes: the nodes at its other end

    def __str__(self) -> str:
        whom = f"{len(self.nodes)} nodes" if self.nodes else ""
        if self.servers:
            whom = f"{whom} and {len(self.servers)} servers" if whom else f"{len(self.servers)} servers"
        return f"{self.kind} {self.link + ' of ' if self.link else ''}{whom}"


class Plan(msgspec.Struct, frozen=True):
    """A valid plan, for one seed."""

    name: str
    seed: int
    run: RunTable
    rig: RigTable
    nodes: tuple[str, ...]
    servers: tuple[str, ...]
    faults: tuple[Fault, ...]
    most: dict[str, float]
    changes: tuple[ChangeTable, ...] = ()
    deaths: tuple[DeathTable, ...] = ()

    @property
    def sides(self) -> dict[str, int]:
        """The side of each node, a number: nodes on one side have the same faults on their links to servers.

        A server has one listener for each side, so that a fault can apply to one side alone.
        """
        touched = [set(f.nodes) for f in self.faults if f.link == "nodes-servers"]
        known: dict[tuple[bool, ...], int] = {}
        return {
            node: known.setdefault(tuple(node in nodes for nodes in touched), len(known))
            for node in self.nodes
        }


def group_members(names: tuple[str, ...], group: GroupTable, seed: int, label: str) -> tuple[str, ...]:
    """Return the names in a group; at least one if its range is not empty."""
    order = list(names)
    if group.drawn:
        random.Random(f"{seed} {label}").shuffle(order)
    begin, end = round(group.begin * len(order)), round(group.end * len(order))
    if group.end > group.begin:
        end = max(end, begin + 1)
    return tuple(sorted(order[begin:end]))


def _suggestion(word: str, known: Iterable[str]) -> str:
    found = difflib.get_close_matches(word, list(known), n=1, cutoff=0.0)
    return f"; the nearest known one is {found[0]!r}" if found else ""


_LINK_STATES: dict[str, Callable[[float], LinkState]] = {
    "cut": lambda by: LinkState(cut=True),
    "lose-up": lambda by: LinkState(lost_up=True),
    "lose-down": lambda by: LinkState(lost_down=True),
    "hold": lambda by: LinkState(hold=True),
    "lag": lambda by: LinkState(lag=min(by, 60.0)),
    "throttle": lambda by: LinkState(rate=by),
    "reset": lambda by: LinkState(reset=True),
    "lose": lambda by: LinkState(lose=min(by, 1.0)),
}
# The range and meaning of `by`, for the kinds that need it.
_BY_RANGES = {
    "lag": (1e-4, 60.0, "seconds of delay"),
    "throttle": (1.0, 1e6, "bytes a second"),
    "lose": (0.01, 1.0, "the part of datagrams that are lost"),
    "starve": (0.01, 0.95, "the part of the time that the process is stopped"),
    "few-files": (48.0, 65536.0, "descriptors that the process may have"),
    "slow": (1.01, 1000.0, "so many times the work"),
    "fail": (0.01, 1.0, "the part of requests that fail"),
    "lists-late": (0.1, 60.0, "seconds that lists come later"),
}


def compile_plan(text: str | bytes, file: str, seed: int = 1, nodes: int = 0, load: float = 0.0) -> Plan:
    """Compile the plan in a file for one seed; nodes and load override those of the file.

    OperatorError: all problems of the plan, each with table, key, value and reason.
    """
    tables, problems = read_tables(PlanFile, text, file)
    run = tables.run
    if nodes:
        run = msgspec.structs.replace(run, nodes=nodes)
    if load:
        run = msgspec.structs.replace(run, load=load)
    if run.warm >= run.seconds:
        problems.append(FileProblem("run", "warm", run.warm, f"is not before the end ({run.seconds} ns)"))
    names = {
        "nodes": tuple(f"n{n:03d}" for n in range(run.nodes)),
        "servers": tuple(f"s-{n:03d}" for n in range(run.servers)),
    }
    groups: dict[str, tuple[str, tuple[str, ...]]] = {who: (who, names[who]) for who in names}
    groups |= {who: (who, ()) for who in BUILT_IN_GROUPS if who not in names}
    for label, group in tables.group.items():
        if label in BUILT_IN_GROUPS:
            problems.append(FileProblem("group", label, None, "is the built-in group of all of them"))
        elif group.end <= group.begin:
            problems.append(
                FileProblem(f"group.{label}", "end", group.end, f"is not above begin ({group.begin})")
            )
        else:
            groups[label] = (group.of, group_members(names[group.of], group, seed, label))
    faults = []
    for number, table in enumerate(tables.faults, 1):
        fault = _fault(table, f"fault {number}", run, groups, problems)
        if fault is not None:
            faults.append(fault)
    _check_overlaps(faults, problems)
    for figure, value in tables.most.items():
        if figure not in FIGURES:
            problems.append(
                FileProblem("most", figure, value, f"unknown figure{_suggestion(figure, FIGURES)}")
            )
    _check_consensus(tables, run, problems)
    if problems:
        raise OperatorError(file, problems)
    return Plan(
        Path(file).stem,
        seed,
        run,
        tables.rig,
        names["nodes"],
        names["servers"],
        tuple(faults),
        tables.most,
        tuple(tables.changes),
        tuple(tables.deaths),
    )


def _fault(
    table: FaultTable,
    at: str,
    run: RunTable,
    groups: dict[str, tuple[str, tuple[str, ...]]],
    problems: list[FileProblem],
) -> Fault | None:
    known = len(problems)
    kinds = (*PROCESS_KINDS, *SERVER_KINDS, *LINK_KINDS, *LIST_KINDS)
    kind = table.kind
    if kind not in kinds:
        problems.append(FileProblem(at, "kind", kind, f"unknown kind{_suggestion(kind, kinds)}"))
        return None
    until = table.at + table.lasts
    if until > run.seconds or table.at >= run.seconds:
        reason = f"outlasts the run of {run.seconds / SECOND:g} s"
        problems.append(FileProblem(at, "lasts" if table.at < run.seconds else "at", until / SECOND, reason))
    if kind in _BY_RANGES:
        least, largest, what = _BY_RANGES[kind]
        if not least <= table.by <= largest:
            problems.append(FileProblem(at, "by", table.by, f"must be from {least:g} to {largest:g}: {what}"))
    elif table.by:
        problems.append(FileProblem(at, "by", table.by, f"does not apply to {kind!r}"))
    found: dict[str, tuple[str, ...]] = {}
    link = ""
    others: tuple[str, ...] = ()
    if kind in LINK_KINDS:
        if table.on or table.between is None:
            problems.append(
                FileProblem(at, "between", table.between, "a link fault needs the groups at both ends")
            )
            return None
        strangers = [name for name in table.between if name not in groups]
        for name in strangers:
            problems.append(FileProblem(at, "between", name, f"no such group{_suggestion(name, groups)}"))
        if strangers:
            return None
        ends = tuple(groups[name][0] for name in table.between)
        if ends not in LINKS:
            pairs = ", ".join("-".join(pair) for pair in LINKS)
            problems.append(
                FileProblem(at, "between", table.between, f"unknown link, expected one of {pairs}")
            )
            return None
        link = "-".join(ends)
        if link == "operators-nodes" and not run.door:
            problems.append(
                FileProblem(
                    at, "between", table.between, "nodes have no admin endpoint: set [run] door = true"
                )
            )
        if link == "nodes-nodes" and not run.talk and not run.keepers:
            problems.append(
                FileProblem(
                    at, "between", table.between, "nodes exchange no messages: set [run] talk or keepers"
                )
            )
        datagrams = link == "nodes-nodes" and run.talk
        if (kind not in DATAGRAM_KINDS) if datagrams else kind == "lose" and link != "nodes-nodes":
            problems.append(
                FileProblem(
                    at,
                    "kind",
                    kind,
                    f"is not supported for {link}: kinds of datagram faults are {DATAGRAM_KINDS}",
                )
            )
        found = dict(groups[name] for name in reversed(table.between))
        others = groups[table.between[1]][1] if link == "nodes-nodes" else ()
        if not table.lasts:
            problems.append(FileProblem(at, "lasts", None, "missing: a link fault needs a duration"))
    else:
        if table.between is not None:
            problems.append(FileProblem(at, "between", table.between, f"does not apply to {kind!r}: use on"))
        if table.on not in groups:
            problems.append(FileProblem(at, "on", table.on, f"no such group{_suggestion(table.on, groups)}"))
            return None
        wanted = "servers" if kind in SERVER_KINDS else "nodes"
        who, names = groups[table.on]
        if who != wanted:
            problems.append(FileProblem(at, "on", table.on, f"holds {who}, and {kind!r} is for {wanted}"))
        found = {who: names}
        if not table.lasts and kind not in ("kill", "restart", "crash"):
            problems.append(FileProblem(at, "lasts", None, "missing: this fault needs a duration"))
    if len(problems) > known:
        return None
    state = _LINK_STATES[kind](table.by) if kind in _LINK_STATES else LinkState()
    return Fault(
        kind, table.at, until, found.get("nodes", ()), found.get("servers", ()), link, state, table.by, others
    )


def _check_consensus(tables: PlanFile, run: RunTable, problems: list[FileProblem]) -> None:
    """Check the settings of the consensus group, the policy changes and the crashes."""
    if run.keepers and (run.keepers % 2 == 0 or run.keepers > run.nodes):
        problems.append(
            FileProblem(
                "run",
                "keepers",
                run.keepers,
                "expected an odd number of voters, at most 5 and no more than nodes",
            )
        )
    if run.keepers and not run.door:
        problems.append(
            FileProblem("run", "keepers", run.keepers, "nodes have no admin endpoint: set [run] door = true")
        )
    if not run.keepers and (tables.changes or tables.deaths):
        problems.append(
            FileProblem(
                "run", "keepers", 0, "changes and deaths need a consensus group: set an odd number of voters"
            )
        )
    for key, numbers in (("unfit", run.unfit), ("full", run.full)):
        if any(not 0 <= number < run.nodes for number in numbers):
            problems.append(FileProblem("run", key, numbers, f"is none of {run.nodes} nodes"))
    for n, change in enumerate(tables.changes, 1):
        if change.at >= run.seconds:
            problems.append(
                FileProblem(
                    f"change {n}",
                    "at",
                    change.at / SECOND,
                    f"is after the end of the run ({run.seconds / SECOND:g} s)",
                )
            )
        if change.file is None and change.out is None and change.keepers is None:
            problems.append(
                FileProblem(f"change {n}", "file", None, "changes nothing: expected file, out or keepers")
            )
        if any(number >= run.nodes for number in change.keepers or ()):
            problems.append(
                FileProblem(
                    f"change {n}", "keepers", change.keepers, f"expected node numbers below {run.nodes}"
                )
            )
    for n, death in enumerate(tables.deaths, 1):
        if death.node >= run.nodes:
            problems.append(FileProblem(f"death {n}", "node", death.node, f"is none of {run.nodes} nodes"))
        if death.event not in CRASH_STEPS:
            reason = f"unknown event{_suggestion(death.event, CRASH_STEPS)}"
            problems.append(FileProblem(f"death {n}", "event", death.event, reason))


def _check_overlaps(faults: list[Fault], problems: list[FileProblem]) -> None:
    """Reject simultaneous faults of one type on one target: the end of one would undo the other."""
    for n, one in enumerate(faults):
        for number, other in enumerate(faults[n + 1 :], n + 2):
            if max(one.at, other.at) >= min(one.until, other.until) or one.link != other.link:
                continue
            both = set(one.nodes) & set(other.nodes) or set(one.servers) & set(other.servers)
            if one.link == "nodes-servers":
                both = set(one.nodes) & set(other.nodes)
                both = both if set(one.servers) & set(other.servers) else set()
            if one.link == "nodes-nodes":
                both = set(one.nodes) & set(other.nodes) if set(one.others) & set(other.others) else set()
            if both:
                reason = f"at the same time as fault {n + 1} on {sorted(both)[0]}"
                problems.append(FileProblem(f"fault {number}", "at", other.at / SECOND, reason))


def pairs(plan: Plan) -> list[tuple[str, str]]:
    """Return the ordered pairs of nodes between which the plan has a link fault."""
    found = {
        pair
        for fault in plan.faults
        if fault.link == "nodes-nodes"
        for a in fault.nodes
        for b in fault.others
        if a != b
        for pair in ((a, b), (b, a))
    }
    return sorted(found)


def machine_limit_exceeded(plan: Plan, memory_mb: int | None = None, files: int | None = None) -> str | None:
    """Return why this machine cannot run the plan, with the figures, or None if its limits suffice.

    memory_mb: available memory; files: limit on descriptors of one process; None: read from the system.
    """
    if memory_mb is None:
        memory_mb = _available_mb()
    if files is None:
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    run, rig = plan.run, plan.rig
    need = BASE_MB + NODE_MB * run.nodes + WORKER_MB * (rig.server_processes + rig.client_processes + 2)
    if need > memory_mb:
        return f"{run.nodes} nodes and the harness need {need} MiB of memory, {memory_mb} MiB are available"
    sides = len(set(plan.sides.values()))
    # A server process holds the connections of its servers, up to their limits, and a listener for each side.
    each = -(-run.servers // rig.server_processes)
    connections = min(run.connections * each, run.nodes * each * 4)
    need = max(connections + each * sides, 3 * run.nodes, run.sockets, len(pairs(plan))) + 64
    if need > files:
        return f"one process of the harness needs {need} descriptors, {files} are allowed"
    return None


def _available_mb() -> int:
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) // 1024
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20
