"""Run a node on the company platform."""

import asyncio

from tornado.web import Application

from robinthread._internal.node.process import run_node
from robinthread._internal.platform.settings import get_settings_path, read_node_settings


def run_node_command(metrics_port: int | None) -> int:
    """Run a node with the settings that the platform laid out, until it is told to stop."""
    path = get_settings_path()
    asyncio.run(run_node(lambda: read_node_settings(path), metrics_port, _begin_metrics))
    return 0


def _begin_metrics() -> Application:
    from robinthread._internal.telemetry.exporter import begin_metrics, make_metrics_application

    begin_metrics()
    return make_metrics_application()
