"""Metrics for the usual scraper."""

from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter, set_meter_provider
from opentelemetry.sdk.metrics import Histogram, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from tornado.web import Application, RequestHandler

# Upper bounds of the latency histograms: from a call on the local network to the
# longest job that callers wait for.
LATENCY_BOUNDS_S: Final = (
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
)  # fmt: skip


def make_meter() -> Meter:
    """Make the meter whose instruments the scraper reads."""
    return _make_provider().get_meter("robinthread")


def begin_metrics() -> None:
    """Have instruments made of the library's global meter, earlier ones too, keep values."""
    set_meter_provider(_make_provider())


def _make_provider() -> MeterProvider:
    view = View(
        instrument_type=Histogram,
        aggregation=ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_S),
    )
    return MeterProvider(metric_readers=[PrometheusMetricReader()], views=[view])


class MetricsHandler(RequestHandler):
    """Write all instruments in the scraper's text form."""

    def get(self) -> None:
        """Answer a scrape."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(REGISTRY))


def make_metrics_application() -> Application:
    """Make the scraper's listener."""
    return Application([(r"/metrics", MetricsHandler)], log_function=lambda handler: None)
