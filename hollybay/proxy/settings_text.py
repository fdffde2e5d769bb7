"""Conversion of the balancer's settings from a JSON object to the text format of `parse_settings`."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["settings_text"]


def settings_text(settings: Mapping[str, object]) -> str:
    """Return the settings as lines of ``path=value``.

    The path of a value consists of the keys and list indices that lead to it, joined with dots. A list of
    objects has an additional line with its length, ``path.count``. The values of any other list are joined
    with commas, so commas within them are replaced with underscores.
    """
    return "\n".join(f"{path}={text}" for path, text in _flatten("", settings))


def _flatten(path: str, value: object) -> list[tuple[str, str]]:
    """Return the path and text of each value below a path."""
    if isinstance(value, dict):
        prefix = path + "." if path else ""
        return [line for key, item in value.items() for line in _flatten(f"{prefix}{key}", item)]
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        lines = [(f"{path}.count", str(len(value)))]
        return lines + [
            line for number, item in enumerate(value) for line in _flatten(f"{path}.{number}", item)
        ]
    if isinstance(value, list):
        return [(path, ",".join(_to_text(item).replace(",", "_") for item in value))]
    return [(path, _to_text(value))]


def _to_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)
