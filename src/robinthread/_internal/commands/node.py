"""Run a node on the company platform."""

from typing import NoReturn

from tornado.web import Application

from robinthread._internal.node.process import run_node
from robinthread._internal.platform.settings import get_settings_path, read_node_settings
from robinthread._internal.results import FaultError
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.event_loop import run_server
from robinthread._internal.utils.files import read_text


def run_node_command(metrics_port: int | None, policy_path: str) -> NoReturn:
    """Run a node with the settings file that the platform provides; end the process with 0.

    The policy is read from ``policy_path``; the defaults apply if it is empty.
    """
    path = get_settings_path()
    policy = _read_policy(policy_path) if policy_path else PolicySettings()
    run_server(
        run_node(lambda: read_node_settings(path), metrics_port, _start_metrics_export, policy)
    )


def _read_policy(path: str) -> PolicySettings:
    """Read the policy file; raise ``FaultError`` if it is invalid.

    The parser loads the daemon's settings, which stay in memory, so it is imported only if there
    is a file.
    """
    from returns.result import Success

    from robinthread._internal.settings.parse import parse_policy

    result = parse_policy(read_text(path), path)
    if isinstance(result, Success):
        return result.unwrap()
    raise FaultError(result.failure())


def _start_metrics_export(metrics: NodeMetrics) -> Application:
    from robinthread._internal.telemetry.exporter import make_metrics_application
    from robinthread._internal.telemetry.node_exporter import start_metrics_export

    start_metrics_export(metrics)
    return make_metrics_application()
