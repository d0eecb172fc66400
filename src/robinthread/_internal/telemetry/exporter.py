"""Metrics for the usual scraper."""

from collections.abc import Iterable, Iterator
from itertools import accumulate
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter, set_meter_provider
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import HistogramMetricFamily, Metric
from prometheus_client.registry import Collector, CollectorRegistry
from tornado.web import Application, RequestHandler

from robinthread._internal.telemetry.latencies import LATENCY_BOUNDS_S, Latencies
from robinthread._internal.telemetry.node_metrics import NodeMetrics

# What a scrape begins with: few lines that tell how a node stands.
TYPE_ORDER: Final = ("gauge", "counter", "histogram")
BOUND_LABELS: Final = (*map(str, LATENCY_BOUNDS_S), "+Inf")


class OrderedRegistry(CollectorRegistry):
    """Metrics of this process alone, without those of its interpreter; short ones first."""

    def collect(self) -> Iterable[Metric]:
        """Iterate over the metrics in the order of their types."""
        return sorted(super().collect(), key=lambda metric: TYPE_ORDER.index(metric.type))


METRICS_REGISTRY: Final = OrderedRegistry()


class LatencyCollector(Collector):
    """Hands the scraper what a node has timed."""

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Iterate over the latencies that have values."""
        yield from (_make_family(found) for found in self._metrics.latencies if found.kept)


def _make_family(latencies: Latencies) -> HistogramMetricFamily:
    family = HistogramMetricFamily(latencies.name, "", labels=latencies.labels)
    for values, latency in latencies.kept.items():
        counts = map(float, accumulate(latency.counts))
        family.add_metric(values, list(zip(BOUND_LABELS, counts, strict=True)), latency.sum_s)
    return family


def make_meter() -> Meter:
    """Make the meter whose instruments the scraper reads."""
    return _make_provider().get_meter("robinthread")


def begin_metrics(metrics: NodeMetrics) -> None:
    """Have what a node has counted and timed since its start served, and its gauges."""
    set_meter_provider(_make_provider())
    METRICS_REGISTRY.register(LatencyCollector(metrics))


def _make_provider() -> MeterProvider:
    reader = PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=METRICS_REGISTRY
    )
    return MeterProvider(metric_readers=[reader])


def write_metrics() -> bytes:
    """Return all instruments in the scraper's text form."""
    return generate_latest(METRICS_REGISTRY)


class MetricsHandler(RequestHandler):
    """Write all instruments in the scraper's text form."""

    def get(self) -> None:
        """Answer a scrape."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(write_metrics())


def make_metrics_application() -> Application:
    """Make the scraper's listener."""
    return Application([(r"/metrics", MetricsHandler)], log_function=lambda handler: None)
