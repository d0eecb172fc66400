"""Calls to job hosts, as the engine uses them."""

from typing import Protocol

from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost


class HostCalls(Protocol):
    """Orders to one host.  Each raises ``HostError`` and ends in a bounded time."""

    async def watch(
        self,
        host: UpstreamHost,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> HostReport:
        """Ask what runs, waiting for an end; acknowledge ends, extend the lease."""

    async def start(self, host: UpstreamHost, order: StartOrder) -> int:
        """Start a run; return the host's clock in ms."""

    async def stop(self, host: UpstreamHost, task: TaskKey, run: int, token: int) -> None:
        """Stop a run, or have its start rejected from now on."""

    async def pace(
        self, host: UpstreamHost, task: TaskKey, run: int, percent: int, token: int
    ) -> None:
        """Have a run work at a share of its speed."""
