"""Calls to job hosts whose unexpected errors concern the called host alone."""

from collections.abc import Awaitable
from typing import TypeVar

from robinthread._internal.jobs.host_calls import HostCalls
from robinthread._internal.jobs.host_errors import HostError, HostNoAnswerError
from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.error_text import describe_error

T = TypeVar("T")


class ContainedHostCalls:
    """Implements ``HostCalls``; an answer that raises anything unexpected counts as none.

    The host may have carried out the order, which is what ``HostNoAnswerError`` means.
    """

    def __init__(self, calls: HostCalls, events: EventLog) -> None:
        self._calls = calls
        self._events = events

    async def watch(
        self,
        host: UpstreamHost,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> HostReport:
        """Poll a host, see ``HostCalls``."""
        call = self._calls.watch(host, token, acknowledged, lease_until_ms, wait_s)
        return await self._contain("watch", host, call)

    async def start(self, host: UpstreamHost, order: StartOrder) -> int | None:
        """Start a run, see ``HostCalls``."""
        return await self._contain("start", host, self._calls.start(host, order))

    async def stop(self, host: UpstreamHost, task: TaskKey, run: int, token: int) -> None:
        """Stop a run, see ``HostCalls``."""
        await self._contain("stop", host, self._calls.stop(host, task, run, token))

    async def pace(
        self, host: UpstreamHost, task: TaskKey, run: int, percent: int, token: int
    ) -> None:
        """Set the pace of a run, see ``HostCalls``."""
        await self._contain("pace", host, self._calls.pace(host, task, run, percent, token))

    async def _contain(self, kind: str, host: UpstreamHost, call: Awaitable[T]) -> T:
        try:
            return await call
        except HostError:
            raise
        except Exception as error:
            raise make_contained_error(self._events, kind, host, error) from error


def make_contained_error(
    events: EventLog, kind: str, host: UpstreamHost, error: Exception
) -> HostNoAnswerError:
    """Log an unexpected error of a call to a host, and return the one to raise instead."""
    events.gather(
        "host_call_failed",
        by={"pool": host.pool, "call": kind},
        listed={"hosts": host.id},
        **describe_error(error),
    )
    return HostNoAnswerError(f"{kind}: {type(error).__name__}")
