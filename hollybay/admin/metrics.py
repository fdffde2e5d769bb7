"""The node's figures in the text form of Prometheus, from a snapshot; worded by prometheus_client."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

__all__ = ["CONTENT_TYPE", "PREFIX", "Exposition", "Figures"]

PREFIX = "edge_balancer_"
# The plain form: every reader of figures knows it.
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Figures:
    """What a node counts, since its start; served, refused and failed by class, in the order of classes."""

    classes: Sequence[str]
    served: Sequence[int]
    refused: Sequence[int]
    failed: Sequence[int]
    attempts: int
    in_flight: int
    servers_known: int
    servers_excluded: int
    reloads_ok: int
    reloads_failed: int


class Exposition(Collector):
    """Words the figures that `read` gives, each time anew: nothing is counted twice, nothing kept."""

    def __init__(self, read: Callable[[], Figures]) -> None:
        self.read = read
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def text(self) -> bytes:
        """All figures as of now."""
        return generate_latest(self.registry)

    def describe(self) -> list[Metric]:
        """Nothing beforehand: registering must not read the node, which may not have started."""
        return []

    def collect(self) -> Iterator[Metric]:
        figures = self.read()
        for name, words, counts in (
            ("served", "Requests served", figures.served),
            ("refused", "Requests refused, which a client may try again", figures.refused),
            ("failed", "Requests failed", figures.failed),
        ):
            counter = CounterMetricFamily(PREFIX + name, f"{words}.", labels=("class",))
            for cls, count in zip(figures.classes, counts, strict=True):
                counter.add_metric((cls,), count)
            yield counter
        for name, words, value in (
            ("attempts", "Attempts written whole to servers", figures.attempts),
            ("reloads_ok", "Configurations taken over while running", figures.reloads_ok),
            ("reloads_failed", "Configurations that did not hold", figures.reloads_failed),
        ):
            yield CounterMetricFamily(PREFIX + name, f"{words}.", value=value)
        for name, words, value in (
            ("in_flight", "Requests taken and not yet ended", figures.in_flight),
            ("servers_known", "Servers on the list", figures.servers_known),
            (
                "servers_excluded",
                "Servers on the list that are not used, by hand or by choice",
                figures.servers_excluded,
            ),
        ):
            yield GaugeMetricFamily(PREFIX + name, f"{words}.", value=value)
