"""Names on the wire and the numbers that the balancer uses for them.

Load reports of servers are parsed here, as their fields are such names.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["NameTable"]

# Fields of load reports as the protocol names them, by the names that the settings use.
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
    """Numbers of the names of a deployment, from its settings.

    Attributes
    ----------
    classes, tenants, zones, kinds
        Number by name.
    report_fields
        Fields of a load report in the order that the balancer expects.
    """

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    report_fields: tuple[str, ...]

    def parse_load_report(self, text: str) -> tuple[float, ...]:
        """Parse a server's load report.

        A deployment may use the field names of its settings or those of the protocol.

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
