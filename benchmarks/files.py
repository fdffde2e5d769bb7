"""Generated operator files with many routes, for benchmarks."""

from __future__ import annotations

__all__ = ["many_routes"]

LIMITS = "limits = { in_flight = 1000, rate = { per_second = 100000, burst = 100000, by = 'tenant' } }\n"


def many_routes(count: int, limits: str = LIMITS, cls: str = "view-schedule") -> str:
    """A file of `count` routes: exact paths, templates and prefixes in turn; every tenth matches a header."""
    lines = []
    for n in range(count):
        shape = n % 3
        path = (
            f"path.exact = '/{cls}/halls/h{n}'"
            if shape == 0
            else f"path.template = '/{cls}/v{n}/{{id}}/slots'"
            if shape == 1
            else f"path.prefix = '/{cls}/p{n}/q'"
        )
        header = "headers = [{ name = 'X-Plan', exact = 'gold' }]\n" if n % 10 == 0 else ""
        lines.append(f"[[route]]\nname = 'r{n}'\n{path}\n{header}{limits}")
    return "".join(lines)
