"""Checks the accounts of a running node, as an operator sees them: by its metrics."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable

import h11

from hollybay.proxy.accounts import ACCOUNTS
from hollybay.testbed.listener import request_once

__all__ = ["AccountCheck"]

METRICS_REQUEST = b"GET /-/metrics HTTP/1.1\r\nHost: soak\r\n\r\n"
SAMPLE_INTERVAL_S = 0.1
# For how long the two values of an account that lags may differ in every sample.
TOLERANCE_S = 1.0
LAGGING = frozenset(account.name for account in ACCOUNTS if account.lags)
VALUE = re.compile(rb'^edge_balancer_account\{account="(\w+)",value="(\w+)"\} (\S+)$', re.MULTILINE)


def read_accounts(metrics: bytes) -> dict[str, tuple[int, int]]:
    """Return what the metrics of a node count, and what the count must equal, by account."""
    values = {
        (account.decode(), kind.decode()): int(float(value))
        for account, kind, value in VALUE.findall(metrics)
    }
    names = [account for account, kind in values if kind == "counted"]
    return {name: (values[name, "counted"], values[name, "expected"]) for name in names}


class AccountCheck:
    """Samples the accounts of one node, and reports those whose values differ.

    Parameters
    ----------
    port
        Admin port of the node.
    report
        Called with a description of each account that differs, once.
    """

    def __init__(self, port: int, report: Callable[[str], None]) -> None:
        self.port = port
        self.report = report
        self.samples = 0
        self._differs_since: dict[str, float] = {}
        self._reported: set[str] = set()

    async def run(self) -> None:
        """Sample until cancelled; a node that does not answer, as it ends, is asked again."""
        while True:
            try:
                _, metrics = await request_once(self.port, METRICS_REQUEST)
            except (OSError, asyncio.IncompleteReadError, h11.RemoteProtocolError):
                pass
            else:
                self.check(read_accounts(metrics), time.monotonic())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def check(self, accounts: dict[str, tuple[int, int]], now: float) -> None:
        """Compare the values of a sample that was taken at a monotonic time (s)."""
        self.samples += bool(accounts)
        for name, (counted, expected) in accounts.items():
            if counted == expected:
                self._differs_since.pop(name, None)
                continue
            since = self._differs_since.setdefault(name, now)
            is_due = name not in LAGGING or now - since >= TOLERANCE_S
            if is_due and name not in self._reported:
                self._reported.add(name)
                self.report(f"{name}: counted {counted}, expected {expected}")
