"""Names on the wire and the numbers that the balancer uses for them.

The load reports of servers are parsed here too, as their fields have such names.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["NameTable"]

# Names of the fields of load reports in the settings, and the corresponding names in the protocol.
PROTOCOL_REPORT_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
TEXT_REPORT_FORMAT = "TEXT"


@dataclass(frozen=True, slots=True)
class NameTable:
    """Numbers of the names in the settings of a deployment.

    Attributes
    ----------
    classes, tenants, zones, kinds
        Numbers by name.
    report_fields
        Names of the fields of a load report, in the order that the balancer expects.
    """

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    report_fields: tuple[str, ...]

    def parse_load_report(self, text: str) -> tuple[float, ...]:
        """Parse a server's load report.

        Its fields may have their names in the settings or those in the protocol.

        Returns
        -------
        tuple of float
            The values in the order of `report_fields`; empty if the report is malformed or incomplete.
        """
        report_format, _, rest = text.strip().partition(" ")
        if report_format.upper() != TEXT_REPORT_FORMAT:
            return ()
        values = {}
        for assignment in rest.split(","):
            field, _, number = assignment.partition("=")
            try:
                values[field.strip()] = float(number)
            except ValueError:
                return ()
        report = tuple(
            values.get(field, values.get(PROTOCOL_REPORT_FIELDS.get(field, field), math.nan))
            for field in self.report_fields
        )
        return report if all(map(math.isfinite, report)) else ()
