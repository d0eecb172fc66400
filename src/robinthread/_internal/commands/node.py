"""Run a node on the company platform."""

import asyncio

from robinthread._internal.node.process import run_node
from robinthread._internal.platform.settings import get_settings_path, read_node_settings


def run_node_command() -> int:
    """Run a node with the settings that the platform laid out, until it is told to stop."""
    asyncio.run(run_node(read_node_settings(get_settings_path())))
    return 0
