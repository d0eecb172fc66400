"""Lines that nodes have logged."""

import json
from typing import Any

from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import POOL


def find_lines(
    platform: PlatformStandin, event: str, pool: str | None = POOL
) -> list[dict[str, Any]]:
    """Return the lines of one event about a pool, or about none."""
    lines = map(json.loads, platform.events)
    return [line for line in lines if line["event"] == event and line.get("pool") == pool]
