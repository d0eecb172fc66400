"""Search in the log lines of nodes."""

import json
from typing import Any

from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import POOL


def find_lines(
    platform: PlatformStandin, event: str, pool: str | None = POOL
) -> list[dict[str, Any]]:
    """Return the log lines of an event for ``pool``; None selects lines without a pool."""
    lines = map(json.loads, platform.events)
    return [line for line in lines if line["event"] == event and line.get("pool") == pool]
