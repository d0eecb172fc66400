"""Pools that a node releases late, because their owners on it have failed repeatedly."""

import asyncio

from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.restart_backoff import RestartBackoff


class PoolHolds:
    """Keeps pools whose owners failed again from their next owners for a while.

    What fails on one node is likely to fail on the next one, and each change of owner costs the
    pool's hosts and jobs more than a pause.  After its first failure a pool is not held.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._failures: dict[str, RestartBackoff] = {}
        self._until_s: dict[str, float] = {}

    def record_start(self, pool: str) -> None:
        """Record that an owner of the pool begins."""
        failures = self._failures.setdefault(pool, RestartBackoff())
        failures.restarted_at_s = asyncio.get_running_loop().time()

    def record_failure(self, pool: str) -> None:
        """Record that this owner has failed, and hold the pool if earlier ones failed lately."""
        now_s, failures = asyncio.get_running_loop().time(), self._failures[pool]
        pause_s = failures.record(now_s)
        if failures.count > 1:
            self._until_s[pool] = now_s + pause_s
            self._events.write(
                "pool_held", pool=pool, failure_count=failures.count, release_in_s=pause_s
            )

    def is_held(self, pool: str) -> bool:
        """Tell whether the pool must not be released yet."""
        return asyncio.get_running_loop().time() < self._until_s.get(pool, 0.0)
