"""Metrics for the usual scraper."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from tornado.web import Application, RequestHandler

from robinthread._internal.daemon.daemon import Daemon


def make_meter() -> Meter:
    """Make the meter whose instruments the scraper reads."""
    provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
    return provider.get_meter("robinthread")


class MetricsHandler(RequestHandler):
    """Write all instruments in the scraper's text form."""

    def get(self) -> None:
        """Answer a scrape."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(REGISTRY))


def make_metrics_application() -> Application:
    """Make the scraper's listener."""
    return Application([(r"/metrics", MetricsHandler)], log_function=lambda handler: None)


def observe_daemon(daemon: Daemon) -> None:
    """Publish a daemon's gauges, the three measures among them."""
    counters, measures = daemon.counters, daemon.measures
    counters.observe("buffer_cost_slot_s", lambda: measures.buffer_slot_s)
    counters.observe("rollout_time_s", lambda: measures.rollout_s)
    counters.observe("moves", lambda: measures.moves)
    counters.observe("log_lag_s", daemon.follower.get_lag_s)
    counters.observe("next_offset", lambda: daemon.state.next_offset)
    counters.observe("claims_held", daemon.claims.count_held)
    counters.observe("requests_running", lambda: daemon.entry.running_count)
