"""Export of a node's metrics to Prometheus."""

from collections.abc import Iterator
from itertools import accumulate
from typing import Final

from opentelemetry.metrics import set_meter_provider
from prometheus_client.metrics_core import HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from robinthread._internal.telemetry.exporter import METRICS_REGISTRY, make_meter_provider
from robinthread._internal.telemetry.latencies import LATENCY_BOUNDS_S, LatencyHistogram
from robinthread._internal.telemetry.node_metrics import NodeMetrics

BOUND_LABELS: Final = (*map(str, LATENCY_BOUNDS_S), "+Inf")


class LatencyCollector(Collector):
    """Exports the latency histograms of a node."""

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Iterate over the histograms that have values."""
        yield from (
            _make_family(histogram) for histogram in self._metrics.latencies if histogram.by_labels
        )


def _make_family(histogram: LatencyHistogram) -> HistogramMetricFamily:
    family = HistogramMetricFamily(histogram.name, "", labels=histogram.labels)
    for values, entry in histogram.by_labels.items():
        counts = map(float, accumulate(entry.counts))
        family.add_metric(values, list(zip(BOUND_LABELS, counts, strict=True)), entry.sum_s)
    return family


def start_metrics_export(metrics: NodeMetrics) -> None:
    """Export a node's gauges and all that it has counted and timed since its start."""
    set_meter_provider(make_meter_provider())
    METRICS_REGISTRY.register(LatencyCollector(metrics))
