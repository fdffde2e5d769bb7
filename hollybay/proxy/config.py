"""Configuration of a node, from the file that BALANCER_CONFIG names and the environment."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hollybay.balancing.interface import Settings
from hollybay.balancing.settings_parser import parse_settings

from . import system
from .addresses import Address, parse_address
from .discovery_list import DiscoveryUpdate, parse_discovery_list
from .name_table import NameTable
from .settings_text import settings_text

__all__ = ["Config", "ConfigError", "PeerFields", "load", "settings_from_json"]

CONFIG_VARIABLE = "BALANCER_CONFIG"
DEFAULT_MEMORY_MB = 2048
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 192
# Memory for the interpreter, the code and idle connections.
BASE_MEMORY_MB = 27
# Share of the remaining memory (percent) for all that connections hold; the allocator's overhead is the rest.
CONNECTION_MEMORY_PERCENT = 70
MIN_MEMORY_BUDGET_BYTES = 3 << 20
# The budget for request bodies, which is part of that, is the remaining memory divided by this.
BODY_MEMORY_DIVISOR = 3
MIN_BODY_BUDGET_BYTES = 1 << 20


class ConfigError(Exception):
    """The configuration is missing, unreadable or invalid; the message contains the name of the field."""


@dataclass(frozen=True, slots=True)
class PeerFields:
    """Fields of the configuration for load reports, as in the file and not validated.

    Attributes
    ----------
    peers
        Addresses of all nodes.
    peer_listen
        Address that this node receives reports on.
    allowed
        Whether the settings allow load reports; only False forbids them.
    """

    peers: object = None
    peer_listen: object = None
    allowed: object = None


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one node.

    Attributes
    ----------
    name
        Name of the node.
    listen, discovery
        Address to listen on, and address of the discovery service.
    seed
        Seed of the balancer's random numbers.
    sockets
        Number of file descriptors that the node may use.
    memory_budget
        Memory for all that connections hold (bytes).
    body_budget
        Memory for request bodies (bytes), which is part of it.
    settings
        Settings of the balancer.
    names
        Names in the settings and their numbers.
    known_servers
        Server list that was known before this process started; None if there is none.
    admin
        Admin address; None for no admin server.
    peers
        Fields for load reports; validated only if the operator file enables load reports.
    scratch_folder
        Folder that the processes of this node share during a hand-over; empty if there is none.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_budget: int
    body_budget: int
    settings: Settings
    names: NameTable
    known_servers: DiscoveryUpdate | None
    admin: Address | None = None
    peers: PeerFields = field(default_factory=PeerFields)
    scratch_folder: str = ""


def load(environ: Mapping[str, str]) -> Config:
    """Load the configuration that the environment names.

    Raises
    ------
    ConfigError
        The file is missing or unreadable, or a field is invalid.
    """
    data = _read_file(environ)
    raw_settings = data.get("settings")
    settings = settings_from_json(raw_settings)
    assert isinstance(raw_settings, dict)
    names = _parse_names(settings, raw_settings)
    limits = data.get("limits", {})
    memory_left = (_parse_limit(limits, "memory_mb", DEFAULT_MEMORY_MB) - BASE_MEMORY_MB) << 20
    return Config(
        known_servers=_parse_known_servers(data, names),
        admin=_parse_admin_address(data, environ),
        seed=_parse_seed(data),
        name=str(data.get("name", environ.get("BALANCER_NAME", ""))),
        listen=_address_field(data, environ, "listen"),
        discovery=_address_field(data, environ, "discovery"),
        sockets=_parse_limit(limits, "sockets", DEFAULT_SOCKETS, minimum=MIN_SOCKETS),
        memory_budget=max(MIN_MEMORY_BUDGET_BYTES, memory_left * CONNECTION_MEMORY_PERCENT // 100),
        body_budget=max(MIN_BODY_BUDGET_BYTES, memory_left // BODY_MEMORY_DIVISOR),
        settings=settings,
        names=names,
        peers=PeerFields(
            peers=data.get("peers"),
            peer_listen=data.get("peer_listen"),
            allowed=_capability(raw_settings, "peers"),
        ),
        scratch_folder=environ.get("TMPDIR", ""),
    )


def settings_from_json(value: object) -> Settings:
    """Parse the settings of the balancer from their JSON object.

    Raises
    ------
    ConfigError
        The value is not an object, or a setting is invalid.
    """
    if not isinstance(value, dict):
        raise ConfigError("settings: missing or not a JSON object")
    try:
        return parse_settings(settings_text(value))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None


def _read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE}: not set")
    try:
        data = json.loads(system.read_bytes(path).decode("utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{CONFIG_VARIABLE}: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{CONFIG_VARIABLE}: the file must contain a JSON object")
    return data


# Fields of the file


def _address_field(data: Mapping[str, Any], environ: Mapping[str, str], name: str) -> Address:
    """Parse an address from the file or else from the environment."""
    text = data.get(name)
    if text is None:
        text = environ.get(f"BALANCER_{name.upper()}")
    try:
        return parse_address(str(text))
    except ValueError:
        raise ConfigError(f"{name}: {text!r} is no address, expected HOST:PORT") from None


def _parse_admin_address(data: Mapping[str, Any], environ: Mapping[str, str]) -> Address | None:
    if data.get("admin") is None and not environ.get("BALANCER_ADMIN"):
        return None
    return _address_field(data, environ, "admin")


def _parse_known_servers(data: Mapping[str, Any], names: NameTable) -> DiscoveryUpdate | None:
    if data.get("known") is None:
        return None
    try:
        return parse_discovery_list(data["known"], names, cached=True)
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None


def _parse_seed(data: Mapping[str, Any]) -> int:
    try:
        return int(str(data.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {data['seed']!r} is not a hexadecimal number") from None


def _parse_limit(limits: object, key: str, default: int, minimum: int = 1) -> int:
    value = limits.get(key, default) if isinstance(limits, dict) else None
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise ConfigError(f"limits.{key}: {value!r} is not an integer of at least {minimum}")
    return value


def _parse_names(settings: Settings, raw_settings: dict[str, Any]) -> NameTable:
    return NameTable(
        classes={request_class.name: number for number, request_class in enumerate(settings.classes)},
        tenants={tenant.name: number for number, tenant in enumerate(settings.tenants)},
        zones=_number_names(raw_settings.get("zones")),
        kinds=_number_names(raw_settings.get("kinds")),
        report_fields=_report_fields(raw_settings),
    )


def _number_names(names: object) -> dict[str, int]:
    return {str(name): number for number, name in enumerate(names)} if isinstance(names, list) else {}


def _report_fields(raw_settings: dict[str, Any]) -> tuple[str, ...]:
    report = raw_settings.get("report")
    fields = report.get("fields") if isinstance(report, dict) else None
    return tuple(str(name) for name in fields) if isinstance(fields, list) else ()


def _capability(raw_settings: Mapping[str, object], name: str) -> object:
    """Return one of the settings' `caps` as in the file, not validated; None if it is missing."""
    capabilities = raw_settings.get("caps")
    return capabilities.get(name) if isinstance(capabilities, dict) else None
