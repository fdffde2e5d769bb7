"""Load reports between nodes, free of I/O and clocks.

Each node reports the requests that it has in flight at each server, in datagrams of at most 256 bytes.

Modules
-------
load_report
    Encoding of load reports.
remote_load
    The sum of the other nodes' valid reports, and the load that this node reports itself.
"""

from .load_report import LoadReport, decode_report, encode_reports
from .remote_load import LocalLoad, RemoteLoad

__all__ = ["LoadReport", "LocalLoad", "RemoteLoad", "decode_report", "encode_reports"]
