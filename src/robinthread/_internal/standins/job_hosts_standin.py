"""All job hosts in memory, and faults of the ways to them."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final, TypeVar

from robinthread._internal.jobs.host_errors import (
    HostGoneError,
    HostNoAnswerError,
    HostRefusedError,
    HostSilentError,
)
from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.standins.call_faults import (
    CallFaults,
    CallRefusedError,
    CallUnansweredError,
)
from robinthread._internal.standins.gang_registry import GangRegistry
from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.run_ledger import RunLedger

ORDER_TIMEOUT_S: Final = 0.4
LATENCY_S: Final = 0.001

T = TypeVar("T")


class JobHostsStandin:
    """All hosts by address, with faults of the ways to them; ``poll_counts`` counts looks by host.

    ``late_callers`` are so late themselves that no answer reaches them in time.
    """

    def __init__(self, seed: int = 1) -> None:
        self.faults = CallFaults(seed, LATENCY_S)
        self.ledger = RunLedger()
        self.gangs = GangRegistry()
        self.hosts: dict[str, JobHostStandin] = {}
        self.cut_routes: set[tuple[str, str]] = set()
        self.refused_routes: set[tuple[str, str]] = set()
        self.late_callers: set[str] = set()
        self.poll_counts: Counter[str] = Counter()

    def connect(self, caller: str) -> "JobHostsClient":
        """Return the hosts as one caller reaches them."""
        return JobHostsClient(self, caller)

    def add(self, host: JobHostStandin) -> None:
        """Put a host at its address."""
        self.hosts[host.record.address] = host


class JobHostsClient:
    """One caller's calls; see ``HostCalls``."""

    def __init__(self, standin: JobHostsStandin, caller: str) -> None:
        self._standin = standin
        self._caller = caller

    async def watch(
        self,
        host: UpstreamHost,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> HostReport:
        """Ask what runs, waiting for an end."""
        self._standin.poll_counts[host.id] += 1
        connections = self._standin.faults.connections
        silences_before = connections.silences
        report = await self._call(
            host,
            lambda job_host: job_host.poll(token, acknowledged, lease_until_ms),
            is_order=False,
        )
        if wait_s <= 0 or report.ended:
            return report
        await self._find(host).wait_for_end(wait_s)
        if connections.silences > silences_before:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            connections.replace_silent(self._caller, host.address)
            raise HostNoAnswerError("silent")
        # What is acknowledged was so when the call came; an end of a later life is not listed.
        return await self._call(
            host, lambda job_host: job_host.poll(token, 0, None, acknowledged), False
        )

    async def start(self, host: UpstreamHost, order: StartOrder) -> int:
        """Start a run."""
        sent_to = self._standin.hosts.get(host.address)
        return await self._call(host, lambda job_host: job_host.start(order, job_host is sent_to))

    async def stop(self, host: UpstreamHost, task: TaskKey, run: int, token: int) -> None:
        """Stop a run."""
        await self._call(host, lambda job_host: job_host.stop(task, run, token))

    async def pace(
        self, host: UpstreamHost, task: TaskKey, run: int, percent: int, token: int
    ) -> None:
        """Slow a run down."""
        await self._call(host, lambda job_host: job_host.pace(token))

    async def _call(
        self, host: UpstreamHost, work: Callable[[JobHostStandin], T], is_order: bool = True
    ) -> T:
        if (self._caller, host.address) in self._standin.refused_routes:
            raise HostRefusedError("cut off by refusals")
        if (self._caller, host.address) in self._standin.cut_routes:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise HostNoAnswerError("cut")
        if self._caller in self._standin.late_callers:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise HostSilentError("late")
        faults = self._standin.faults
        try:
            return await faults.carry_out(
                self._caller,
                lambda: work(self._find(host)),
                ORDER_TIMEOUT_S,
                is_order,
                host.address,
            )
        except (CallUnansweredError, CallRefusedError) as error:
            raise HostNoAnswerError("no answer") from error

    def _find(self, host: UpstreamHost) -> JobHostStandin:
        job_host = self._standin.hosts.get(host.address)
        if job_host is None or not job_host.is_up:
            raise HostRefusedError("nobody listens")
        if job_host.record.id != host.id:
            raise HostGoneError("another life")
        return job_host
