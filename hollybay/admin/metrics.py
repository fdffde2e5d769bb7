"""Metrics of a node in the Prometheus text format, rendered by prometheus_client from a snapshot."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

__all__ = ["CONTENT_TYPE", "PREFIX", "MetricsCollector", "NodeMetrics"]

PREFIX = "edge_balancer_"
# The classic text format, which every scraper accepts.
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class NodeMetrics:
    """Snapshot of a node's metrics; counters run from the start of the process.

    Attributes
    ----------
    classes
        Names of the request classes; `served`, `rejected` and `failed` are in their order.
    served, rejected, failed
        Requests by their final response.
    attempts
        Attempts that were completely written to a server.
    stalled_clients, stalled_servers
        Streamed responses that were ended as their client read nothing, or their server sent nothing.
    in_flight
        Accepted requests that have no final response yet.
    servers_known
        Servers on the list of discovery.
    servers_excluded
        Listed servers that get no requests, drained by operators or avoided by the balancer.
    reloads_ok, reloads_failed
        Configuration reloads by their result.
    rejection_causes
        Requests that the balancer rejected immediately, by cause.
    accounts
        What the node counts, by name: the count, and what it must equal.
    """

    classes: Sequence[str]
    served: Sequence[int]
    rejected: Sequence[int]
    failed: Sequence[int]
    attempts: int
    stalled_clients: int
    stalled_servers: int
    in_flight: int
    servers_known: int
    servers_excluded: int
    reloads_ok: int
    reloads_failed: int
    rejection_causes: Mapping[str, int]
    accounts: Mapping[str, tuple[int, int]]


class MetricsCollector(Collector):
    """Prometheus collector that takes a new snapshot for each scrape and keeps no state of its own.

    Parameters
    ----------
    take_snapshot
        Returns the current metrics of the node.
    """

    def __init__(self, take_snapshot: Callable[[], NodeMetrics]) -> None:
        self.take_snapshot = take_snapshot
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def render(self) -> bytes:
        """Return the current metrics in the text format."""
        return generate_latest(self.registry)

    def describe(self) -> list[Metric]:
        """Return no metrics: registration must not read a node that may not have started."""
        return []

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families of a new snapshot."""
        metrics = self.take_snapshot()
        classes = metrics.classes
        yield _class_counter("served", "Requests served.", classes, metrics.served)
        yield _class_counter(
            "refused", "Requests refused, which a client may try again.", classes, metrics.rejected
        )
        yield _class_counter("failed", "Requests failed.", classes, metrics.failed)
        causes = metrics.rejection_causes
        yield _labelled_counter(
            "refusal_causes", "Requests refused at once, by cause.", "cause", [*causes], [*causes.values()]
        )
        yield _counter("attempts", "Attempts written whole to servers.", metrics.attempts)
        yield _labelled_counter(
            "stalled_responses",
            "Streamed responses cut off, by the side that was silent.",
            "side",
            ["client", "server"],
            [metrics.stalled_clients, metrics.stalled_servers],
        )
        yield _counter("reloads_ok", "Configurations taken over while running.", metrics.reloads_ok)
        yield _counter("reloads_failed", "Configurations that did not hold.", metrics.reloads_failed)
        yield _gauge("in_flight", "Requests taken and not yet ended.", metrics.in_flight)
        yield _gauge("servers_known", "Servers on the list.", metrics.servers_known)
        yield _gauge(
            "servers_excluded",
            "Servers on the list that are not used, by hand or by choice.",
            metrics.servers_excluded,
        )
        yield _accounts(metrics.accounts)


def _class_counter(
    name: str, documentation: str, classes: Sequence[str], counts: Sequence[int]
) -> CounterMetricFamily:
    return _labelled_counter(name, documentation, "class", classes, counts)


def _labelled_counter(
    name: str, documentation: str, label: str, values: Sequence[str], counts: Sequence[int]
) -> CounterMetricFamily:
    family = CounterMetricFamily(PREFIX + name, documentation, labels=(label,))
    for value, count in zip(values, counts, strict=True):
        family.add_metric((value,), count)
    return family


def _accounts(accounts: Mapping[str, tuple[int, int]]) -> GaugeMetricFamily:
    family = GaugeMetricFamily(
        PREFIX + "account",
        "What the node counts, and what the count must equal.",
        labels=("account", "value"),
    )
    for account, (counted, expected) in accounts.items():
        family.add_metric((account, "counted"), counted)
        family.add_metric((account, "expected"), expected)
    return family


def _counter(name: str, documentation: str, value: int) -> CounterMetricFamily:
    return CounterMetricFamily(PREFIX + name, documentation, value=value)


def _gauge(name: str, documentation: str, value: int) -> GaugeMetricFamily:
    return GaugeMetricFamily(PREFIX + name, documentation, value=value)
