"""Metrics for the usual scraper."""

from collections.abc import Iterable
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import CollectorRegistry
from tornado.web import Application, RequestHandler

# What a scrape begins with: few lines that tell how a node stands.
TYPE_ORDER: Final = ("gauge", "counter", "histogram")


class OrderedRegistry(CollectorRegistry):
    """Metrics of this process alone, without those of its interpreter; short ones first."""

    def collect(self) -> Iterable[Metric]:
        """Iterate over the metrics in the order of their types."""
        return sorted(super().collect(), key=lambda metric: TYPE_ORDER.index(metric.type))


METRICS_REGISTRY: Final = OrderedRegistry()


def make_meter() -> Meter:
    """Make the meter whose instruments the scraper reads."""
    return make_meter_provider().get_meter("robinthread")


def make_meter_provider() -> MeterProvider:
    """Make what hands the scraper the instruments of its meters."""
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
