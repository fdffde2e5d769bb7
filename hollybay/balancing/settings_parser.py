"""Parses the settings of a node from path=value lines, from its settings file or from the simulator."""

from __future__ import annotations

import math
from typing import TypeVar

from .interface import (
    DEDUPLICATION_SCOPES,
    Effect,
    Prices,
    ReportMode,
    RequestClass,
    Settings,
    Tenant,
    WeightMode,
)

T = TypeVar("T")

EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
WEIGHT_MODES = {
    "silent": WeightMode.NONE,
    "nominal": WeightMode.NOMINAL,
    "rough": WeightMode.ROUGH,
    "live": WeightMode.LIVE,
}
REPORT_MODES = {"silent": ReportMode.NONE, "piggyback": ReportMode.ANSWERS, "pull": ReportMode.PROBES}
REPORT_FIELDS = {
    "rif": "held",
    "q": "queued",
    "busy": "utilisation",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "errors",
}


class _SettingsReader:
    """Reads typed values from path=value lines; each method raises a ValueError that names the path."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            path, separator, value = line.partition("=")
            if separator:
                self.values[path.strip()] = value.strip()

    def text(self, path: str, default: str | None = None) -> str:
        """Return a value as text; the default if it is absent or empty."""
        value = self.values.get(path)
        if value is None or value == "":
            if default is None:
                raise ValueError(f"{path}: missing")
            return default
        return value

    def number(self, path: str, default: float | None = None, minimum: float = 0.0) -> float:
        """Return a finite number that is not below the minimum."""
        raw = self.text(path, None if default is None else str(default))
        try:
            value = float(raw)
        except ValueError:
            raise ValueError(f"{path}: {raw!r} is not a number") from None
        if not math.isfinite(value) or value < minimum:
            raise ValueError(f"{path}: {raw!r} is out of range (at least {minimum:g})")
        return value

    def integer(self, path: str, default: int | None = None, minimum: int = 0) -> int:
        """Return an integer that is not below the minimum; a fractional number is truncated."""
        raw = self.text(path, None if default is None else str(default))
        try:
            value = int(raw)
        except ValueError:
            return int(self.number(path, default, minimum))
        if value < minimum:
            raise ValueError(f"{path}: {raw!r} is out of range (at least {minimum})")
        return value

    def boolean(self, path: str, default: bool) -> bool:
        """Return a value that is true or false."""
        raw = self.text(path, "true" if default else "false")
        if raw not in ("true", "false"):
            raise ValueError(f"{path}: {raw!r} is neither true nor false")
        return raw == "true"

    def choice(self, path: str, choices: dict[str, T], default: str | None = None) -> T:
        """Return the value that one of several words denotes."""
        raw = self.text(path, default)
        if raw not in choices:
            raise ValueError(f"{path}: {raw!r} is none of {', '.join(choices)}")
        return choices[raw]

    def names(self, path: str) -> list[str]:
        """Return the names of a comma-separated list."""
        return [name for name in self.text(path, "").split(",") if name]


def _classes(reader: _SettingsReader) -> tuple[RequestClass, ...]:
    classes = []
    for number in range(reader.integer("categories.count", minimum=1)):
        prefix = f"categories.{number}."
        effect = reader.choice(prefix + "effect", EFFECTS)
        keyed = effect == Effect.KEYED
        classes.append(
            RequestClass(
                name=reader.text(prefix + "name", f"class-{number}"),
                effect=effect,
                priority_weight=reader.number(prefix + "worth", 1.0),
                latency_objective=reader.integer(prefix + "slo", minimum=1),
                deadline=reader.integer(prefix + "give-up", minimum=1),
                late_weight=reader.number(prefix + "late-worth", 0.0),
                deduplication_scope=reader.choice(
                    prefix + "group", DEDUPLICATION_SCOPES, None if keyed else "all"
                ),
                deduplication_window=reader.integer(prefix + "window", None if keyed else 0),
                streamed=reader.boolean(prefix + "streamed", False),
            )
        )
    return tuple(classes)


def _tenants(reader: _SettingsReader) -> tuple[Tenant, ...]:
    return tuple(
        Tenant(
            name=reader.text(f"tenants.{number}.name", f"tenant-{number}"),
            share=reader.number(f"tenants.{number}.share", 0.0),
            allowance=reader.number(f"tenants.{number}.allowance-per-s", 0.0),
        )
        for number in range(reader.integer("tenants.count", 0))
    )


def _max_retry_after(reader: _SettingsReader) -> int:
    if not reader.boolean("caps.retry-after", False):
        return 0
    return reader.integer("caps.max-retry-after", 0)


def _prices(reader: _SettingsReader) -> Prices:
    return Prices(
        cross_zone=reader.number("deductions.cross-zone", 0.0),
        handshake=reader.number("deductions.handshake", 0.0),
        connection=reader.number("deductions.connection", 0.0),
        waste=reader.number("deductions.waste", 0.0),
        late_failure=reader.number("deductions.late-fail", 0.0),
        probe=reader.number("deductions.probe", 0.0),
    )


def parse_settings(text: str) -> Settings:
    """Parse settings from path=value lines; unknown paths are ignored.

    Raises
    ------
    ValueError
        If a value is missing or invalid; the message names its path.
    """
    reader = _SettingsReader(text)
    tenants = _tenants(reader)
    return Settings(
        classes=_classes(reader),
        tenants=tenants,
        zones=max(1, len(reader.names("zones"))),
        kinds=max(1, len(reader.names("kinds"))),
        zone=reader.integer("my-zone", 0),
        node=reader.integer("me", 0),
        nodes=reader.integer("balancers", minimum=1),
        tick=reader.integer("quantum", 1_000_000, minimum=1),
        weight_mode=reader.choice("weights", WEIGHT_MODES, "silent"),
        report_mode=reader.choice("report.via", REPORT_MODES, "silent"),
        report_fields=tuple(REPORT_FIELDS.get(name, "unknown") for name in reader.names("report.fields")),
        poll_required=reader.choice("membership-mode", {"automatic": False, "subscribe": True}, "automatic"),
        max_attempts=reader.integer("caps.most-tries", 3, minimum=1),
        hedging_allowed=reader.boolean("caps.may-duplicate", False),
        cancel_allowed=reader.boolean("caps.cancel", False),
        probes_allowed=reader.boolean("caps.probes", False),
        over_share_weight=reader.number("over-share-worth", 1.0),
        weight_by_work=reader.choice("counted-by", {"request": False, "work": True}, "request"),
        connect_timeout=reader.integer("caps.connect-timeout", 250_000_000, minimum=1),
        idle_timeout=reader.integer("caps.conn-idle", 15_000_000_000, minimum=1),
        streams=reader.integer("caps.max-streams", 1, minimum=1),
        max_retry_after=_max_retry_after(reader),
        answer_grace=reader.integer("rules.grace-to-answer", 0),
        drain_grace=reader.integer("rules.drain-grace", 0),
        cold_share=reader.number("rules.cold-share", 1.0),
        warm_up=reader.integer("rules.warm-up", 0),
        overload_multiple=reader.number("rules.fall-multiple", 4.0),
        overload_window=reader.integer("rules.overload-for", 2_000_000_000, minimum=1),
        poll_within=reader.integer("rules.must-ask-in", 0),
        prices=_prices(reader),
    )
