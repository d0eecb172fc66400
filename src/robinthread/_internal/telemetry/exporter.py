"""Prometheus metrics of a process and the application that serves them."""

from collections.abc import Iterable
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import CollectorRegistry
from tornado.web import Application, RequestHandler

# Order of metric types in a scrape.  Gauges come first: they take few lines and show the status of
# a node, and collectors may keep only the beginning of a scrape.
TYPE_ORDER: Final = ("gauge", "counter", "histogram")


class OrderedRegistry(CollectorRegistry):
    """Registry of the project's own metrics, without those of the interpreter, in type order."""

    def collect(self) -> Iterable[Metric]:
        """Return the metrics in the order of ``TYPE_ORDER``."""
        return sorted(super().collect(), key=lambda metric: TYPE_ORDER.index(metric.type))


METRICS_REGISTRY: Final = OrderedRegistry()


def make_meter() -> Meter:
    """Return a meter whose instruments are exported from ``METRICS_REGISTRY``."""
    return make_meter_provider().get_meter("robinthread")


def make_meter_provider() -> MeterProvider:
    """Return a meter provider whose meters are exported from ``METRICS_REGISTRY``."""
    reader = PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=METRICS_REGISTRY
    )
    return MeterProvider(metric_readers=[reader])


def write_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(METRICS_REGISTRY)


class MetricsHandler(RequestHandler):
    """Serves all metrics in the Prometheus text format."""

    def get(self) -> None:
        """Respond to a scrape."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(write_metrics())


def make_metrics_application() -> Application:
    """Return the application that serves ``/metrics``."""
    return Application([(r"/metrics", MetricsHandler)], log_function=lambda handler: None)
