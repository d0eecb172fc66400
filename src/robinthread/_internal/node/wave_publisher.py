"""Publishes the status of waves without delaying the steward's decisions."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from robinthread._internal.durable.errors import StoreFencedError
from robinthread._internal.models.machine import Machine
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.node.wave_tracker import WaveTracker
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.error_text import describe_error


class WavePublisher:
    """Publishes changes of waves' statuses in the background, one write after another.

    ``report_fenced`` is called if a later steward has fenced the write.
    """

    def __init__(
        self, waves: WaveTracker, events: EventLog, report_fenced: Callable[[str], None]
    ) -> None:
        self._waves = waves
        self._events = events
        self._report_fenced = report_fenced
        self._task: asyncio.Task[None] | None = None

    def publish(self, waves: Iterable[UpkeepWave], machines: dict[str, Machine]) -> None:
        """Publish the statuses by a list of machines, unless earlier ones are being written."""
        if machines and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._publish(waves, machines))

    def cancel(self) -> list[asyncio.Task[Any]]:
        """Cancel the write in progress and return its task, if there is one."""
        if self._task is None:
            return []
        self._task.cancel()
        return [self._task]

    async def _publish(self, waves: Iterable[UpkeepWave], machines: dict[str, Machine]) -> None:
        try:
            await self._waves.publish_status(waves, machines)
        except StoreFencedError:
            self._report_fenced("StoreFencedError")
        except Exception as error:
            self._events.write("task_failed", task="steward/publish", **describe_error(error))
