"""Settings of an instance from the path=value lines of its first message."""

from __future__ import annotations

import math
from typing import TypeVar

from .interface import (
    DeduplicationScope,
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
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
WEIGHTS = {
    "silent": WeightMode.NONE,
    "nominal": WeightMode.NOMINAL,
    "rough": WeightMode.ROUGH,
    "live": WeightMode.LIVE,
}
MODES = {"silent": ReportMode.NONE, "piggyback": ReportMode.ANSWERS, "pull": ReportMode.PROBES}
FIELDS = {
    "rif": "held",
    "q": "queued",
    "busy": "utilisation",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "errors",
}


class _Reader:
    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            path, sep, value = line.partition("=")
            if sep:
                self.values[path.strip()] = value.strip()

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key)
        if value is None or value == "":
            if default is None:
                raise ValueError(f"{key}: missing")
            return default
        return value

    def number(self, key: str, default: float | None = None, least: float = 0.0) -> float:
        raw = self.text(key, None if default is None else str(default))
        try:
            value = float(raw)
        except ValueError:
            raise ValueError(f"{key}: {raw!r} is not a number") from None
        if not math.isfinite(value) or value < least:
            raise ValueError(f"{key}: {raw!r} is out of range (at least {least:g})")
        return value

    def whole(self, key: str, default: int | None = None, least: int = 0) -> int:
        raw = self.text(key, None if default is None else str(default))
        try:
            value = int(raw)
        except ValueError:
            return int(self.number(key, default, least))
        if value < least:
            raise ValueError(f"{key}: {raw!r} is out of range (at least {least})")
        return value

    def flag(self, key: str, default: bool) -> bool:
        raw = self.text(key, "true" if default else "false")
        if raw not in ("true", "false"):
            raise ValueError(f"{key}: {raw!r} is neither true nor false")
        return raw == "true"

    def choice(self, key: str, choices: dict[str, T], default: str | None = None) -> T:
        raw = self.text(key, default)
        if raw not in choices:
            raise ValueError(f"{key}: {raw!r} is none of {', '.join(choices)}")
        return choices[raw]

    def names(self, key: str) -> list[str]:
        return [part for part in self.text(key, "").split(",") if part]


def _classes(r: _Reader) -> tuple[RequestClass, ...]:
    classes = []
    for n in range(r.whole("categories.count", least=1)):
        at = f"categories.{n}."
        effect = r.choice(at + "effect", EFFECTS)
        classes.append(
            RequestClass(
                name=r.text(at + "name", f"class-{n}"),
                effect=effect,
                priority_weight=r.number(at + "worth", 1.0),
                latency_objective=r.whole(at + "slo", least=1),
                deadline=r.whole(at + "give-up", least=1),
                late_weight=r.number(at + "late-worth", 0.0),
                deduplication_scope=r.choice(at + "group", GROUPS, "all" if effect != Effect.KEYED else None),
                deduplication_window=r.whole(at + "window", 0 if effect != Effect.KEYED else None),
                streamed=r.flag(at + "streamed", False),
            )
        )
    return tuple(classes)


def parse_settings(text: str) -> Settings:
    """Settings from path=value lines; unknown keys are ignored, senseless ones are named in a ValueError."""
    r = _Reader(text)
    tenants = tuple(
        Tenant(
            name=r.text(f"tenants.{n}.name", f"tenant-{n}"),
            share=r.number(f"tenants.{n}.share", 0.0),
            allowance=r.number(f"tenants.{n}.allowance-per-s", 0.0),
        )
        for n in range(r.whole("tenants.count", 0))
    )
    return Settings(
        classes=_classes(r),
        tenants=tenants,
        zones=max(1, len(r.names("zones"))),
        kinds=max(1, len(r.names("kinds"))),
        zone=r.whole("my-zone", 0),
        node=r.whole("me", 0),
        nodes=r.whole("balancers", least=1),
        tick=r.whole("quantum", 1_000_000, least=1),
        weight_mode=r.choice("weights", WEIGHTS, "silent"),
        report_mode=r.choice("report.via", MODES, "silent"),
        report_fields=tuple(FIELDS.get(name, "unknown") for name in r.names("report.fields")),
        must_poll=r.choice("membership-mode", {"automatic": False, "subscribe": True}, "automatic"),
        max_attempts=r.whole("caps.most-tries", 3, least=1),
        hedging_allowed=r.flag("caps.may-duplicate", False),
        cancel_allowed=r.flag("caps.cancel", False),
        probes_allowed=r.flag("caps.probes", False),
        over_share_weight=r.number("over-share-worth", 1.0),
        weight_by_work=r.choice("counted-by", {"request": False, "work": True}, "request"),
        connect_timeout=r.whole("caps.connect-timeout", 250_000_000, least=1),
        idle_timeout=r.whole("caps.conn-idle", 15_000_000_000, least=1),
        streams=r.whole("caps.max-streams", 1, least=1),
        max_retry_after=r.whole("caps.max-retry-after", 0) if r.flag("caps.retry-after", False) else 0,
        answer_grace=r.whole("rules.grace-to-answer", 0),
        drain_grace=r.whole("rules.drain-grace", 0),
        cold_share=r.number("rules.cold-share", 1.0),
        warm_up=r.whole("rules.warm-up", 0),
        overload_multiple=r.number("rules.fall-multiple", 4.0),
        overload_window=r.whole("rules.overload-for", 2_000_000_000, least=1),
        poll_within=r.whole("rules.must-ask-in", 0),
        prices=Prices(
            crossing=r.number("deductions.cross-zone", 0.0),
            handshake=r.number("deductions.handshake", 0.0),
            connection=r.number("deductions.connection", 0.0),
            waste=r.number("deductions.waste", 0.0),
            late_failure=r.number("deductions.late-fail", 0.0),
            probe=r.number("deductions.probe", 0.0),
        ),
    )
