"""Interface for calls to job hosts."""

from typing import Protocol

from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost


class HostCalls(Protocol):
    """Calls to a host.  Each raises ``HostError`` on failure and ends within a bounded time."""

    async def watch(
        self,
        host: UpstreamHost,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> HostReport:
        """Return the host's report, waiting up to ``wait_s`` for a run to end.

        Also acknowledge the ends up to ``acknowledged`` and extend the lease to
        ``lease_until_ms`` of the host's clock, unless that is None.
        """

    async def start(self, host: UpstreamHost, order: StartOrder) -> int | None:
        """Start a run; return the time on the host's clock in ms, None if it tells none."""

    async def stop(self, host: UpstreamHost, task: TaskKey, run: int, token: int) -> None:
        """Stop a run; the host rejects its start from now on if it has not arrived yet."""

    async def pace(
        self, host: UpstreamHost, task: TaskKey, run: int, percent: int, token: int
    ) -> None:
        """Set the pace of a run, in percent of its full speed."""
