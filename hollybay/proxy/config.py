"""What a node is told at its start: BALANCER_CONFIG, read into settings, limits, names and the known list."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hollybay.balancing.bench_settings import parse_settings
from hollybay.balancing.interface import ListKind, Server, ServerList, ServerState, Settings

from . import system

MS = 1_000_000
SECOND = 1_000_000_000
STATES = {"SERVING": ServerState.READY, "DRAINING": ServerState.DRAINING, "DELETED": ServerState.GONE}
# The words of load reports on sockets, by the words that the settings use.
REPORT_WORDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
# Memory that the interpreter, the module and the open connections need beside bodies. Bodies may take a third
# of what is left: as much again goes to answers and to what the allocator keeps of both.
BASE_MEMORY_MB = 24
BODY_PART = 3
# Room for bodies even where memory is scarcest; it holds many of the longest.
BODY_LEAST = 2 << 20


class ConfigError(Exception):
    """The configuration is missing, unreadable or senseless; the text names the field."""


@dataclass(frozen=True, slots=True)
class Listing:
    """A list of servers as discovery gives it, with the address of each."""

    servers: ServerList
    addresses: Mapping[str, tuple[str, int]]


@dataclass(frozen=True, slots=True)
class Names:
    """Numbers of the names that stand on the wire."""

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    report: tuple[str, ...]

    def listing(self, data: object, cached: bool = False) -> Listing:
        """A list in discovery's form; anything malformed is a ValueError, so that nothing is half taken."""
        try:
            return self._listing(data, cached)
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"malformed list: {error!r}") from None

    def _listing(self, data: Any, cached: bool) -> Listing:
        version = data["version"]
        if not isinstance(version, int) or version < 0 or not isinstance(data["full"], bool):
            raise ValueError("version or full")
        servers = []
        addresses = {}
        for line in data["servers"]:
            name = line["id"]
            if not isinstance(name, str):
                raise ValueError("id is no text")
            state = STATES[line["state"]]
            weight = float(line.get("weight", 1.0))
            started = float(line.get("started_ms", 0))
            if not math.isfinite(weight) or not math.isfinite(started):
                raise ValueError(f"{name}: weight or started_ms")
            addresses[name] = address(line["addr"])
            servers.append(
                Server(
                    id=name,
                    # Names that the settings do not hold: a zone like no other, a kind that has no number.
                    zone=self.zones.get(line.get("zone"), len(self.zones)),
                    kind=self.kinds.get(line.get("kind"), len(self.kinds)),
                    cell=int(line.get("cell", 0)),
                    state=state,
                    weight=weight,
                    up_since=max(1, int(started * MS) - system.wall_ahead) if started > 0 else 0,
                )
            )
        kind = ListKind.CACHED if cached else ListKind.FULL if data["full"] else ListKind.CHANGES
        return Listing(ServerList(kind, tuple(servers), version), addresses)

    def load_report(self, text: str) -> tuple[float, ...]:
        """The values of a load report in the order of the settings; () where it is malformed."""
        form, _, rest = text.strip().partition(" ")
        if form.upper() != "TEXT":
            return ()
        values = {}
        for part in rest.split(","):
            word, _, number = part.partition("=")
            try:
                values[word.strip()] = float(number)
            except ValueError:
                return ()
        # A deployment words its reports as its settings do, or as the protocol's page does.
        report = tuple(
            values.get(word, values.get(REPORT_WORDS.get(word, word), math.nan)) for word in self.report
        )
        return report if all(map(math.isfinite, report)) else ()


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one node."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    body_budget: int
    settings: Settings
    names: Names
    known: Listing | None
    admin: tuple[str, int] | None = None  # where operators call; None: nowhere
    # As they stand in the file, read only where an operator file asks for it.
    peers: Mapping[str, object] = field(default_factory=dict)
    scratch: str = ""  # a folder that this node's processes share while one takes over from another


def address(text: str) -> tuple[str, int]:
    """HOST:PORT in figures."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str]) -> Config:
    """The configuration that BALANCER_CONFIG names; ConfigError names the field that does not hold."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set")
    try:
        data = json.loads(system.read_bytes(path).decode("utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"BALANCER_CONFIG: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError("BALANCER_CONFIG: no JSON object")

    def address_of(field: str) -> tuple[str, int]:
        text = data.get(field)
        if text is None:
            text = environ.get(f"BALANCER_{field.upper()}")
        try:
            return address(str(text))
        except ValueError:
            raise ConfigError(f"{field}: {text!r} is no address") from None

    settings = data.get("settings")
    parsed = settings_of(settings)
    assert isinstance(settings, dict)
    names = Names(
        classes={c.name: n for n, c in enumerate(parsed.classes)},
        tenants={t.name: n for n, t in enumerate(parsed.tenants)},
        zones=_numbers(settings.get("zones")),
        kinds=_numbers(settings.get("kinds")),
        report=tuple(_report_fields(settings)),
    )
    limits = data.get("limits", {})
    memory = _whole(limits, "memory_mb", 2048)
    known = None
    if data.get("known") is not None:
        try:
            known = names.listing(data["known"], cached=True)
        except ValueError as error:
            raise ConfigError(f"known: {error}") from None
    admin = None
    if data.get("admin") is not None or environ.get("BALANCER_ADMIN"):
        admin = address_of("admin")
    try:
        seed = int(str(data.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {data['seed']!r} is no hexadecimal number") from None
    return Config(
        name=str(data.get("name", environ.get("BALANCER_NAME", ""))),
        listen=address_of("listen"),
        discovery=address_of("discovery"),
        seed=seed,
        sockets=_whole(limits, "sockets", 1024, least=192),
        body_budget=max(BODY_LEAST, ((memory - BASE_MEMORY_MB) << 20) // BODY_PART),
        settings=parsed,
        names=names,
        known=known,
        admin=admin,
        peers={
            "peers": data.get("peers"),
            "peer_listen": data.get("peer_listen"),
            "allowed": _cap(settings, "peers"),
        },
        scratch=environ.get("TMPDIR", ""),
    )


def _cap(settings: Mapping[str, object], name: str) -> object:
    """One of the settings' caps as it stands there; None where nothing is said."""
    caps = settings.get("caps")
    return caps.get(name) if isinstance(caps, dict) else None


def settings_of(settings: object) -> Settings:
    """The settings of an instance from their JSON object; ConfigError names what does not hold."""
    if not isinstance(settings, dict):
        raise ConfigError("settings: missing, or no object")
    try:
        return parse_settings("\n".join(f"{path}={value}" for path, value in _flat("", settings)))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None


def _flat(path: str, value: object) -> list[tuple[str, str]]:
    """The settings as the simulator's path=value lines, which lynxrouter reads."""
    if isinstance(value, dict):
        at = path + "." if path else ""
        return [line for key, item in value.items() for line in _flat(f"{at}{key}", item)]
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        lines = [(f"{path}.count", str(len(value)))]
        return lines + [line for n, item in enumerate(value) for line in _flat(f"{path}.{n}", item)]
    if isinstance(value, list):
        return [(path, ",".join(_text(item).replace(",", "_") for item in value))]
    return [(path, _text(value))]


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)


def _numbers(names: object) -> dict[str, int]:
    return {str(name): n for n, name in enumerate(names)} if isinstance(names, list) else {}


def _report_fields(settings: dict[str, Any]) -> list[str]:
    report = settings.get("report")
    fields = report.get("fields") if isinstance(report, dict) else None
    return [str(field) for field in fields] if isinstance(fields, list) else []


def _whole(limits: object, key: str, default: int, least: int = 1) -> int:
    value = limits.get(key, default) if isinstance(limits, dict) else None
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise ConfigError(f"limits.{key}: {value!r} is no whole number of at least {least}")
    return value
