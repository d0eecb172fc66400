"""In-memory stand-in for all job hosts, with faults of the routes to them."""

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
    run_discarding_result,
)
from robinthread._internal.standins.gang_registry import GangRegistry
from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.run_ledger import RunLedger

ORDER_TIMEOUT_S: Final = 0.4
LATENCY_S: Final = 0.001

T = TypeVar("T")


class JobHostsStandin:
    """All hosts by address, and the faults of the routes to them.

    Routes are pairs of caller and address.  Calls on ``cut_routes`` time out, and calls on
    ``refused_routes`` are refused at once.  ``late_callers`` are too slow themselves to
    receive a response in time.  ``poll_counts`` counts polls by host id.  A host in
    ``answer_delays_s`` takes that long to carry out and answer each order, by its id; one that
    takes longer than the order's timeout carries it out after its caller has given up.  A host in
    ``serial_hosts`` has a lock, with which it works off one order after the other.  Polls of hosts
    in ``silent_polls``, by id, time out without reaching them, while their orders are answered.
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
        self.answer_delays_s: dict[str, float] = {}
        self.silent_polls: set[str] = set()
        self.serial_hosts: dict[str, asyncio.Lock] = {}

    def connect(self, caller: str) -> "JobHostsClient":
        """Return a client that calls the hosts as ``caller``."""
        return JobHostsClient(self, caller)

    def add(self, host: JobHostStandin) -> None:
        """Register a host at its address, in place of an earlier incarnation."""
        self.hosts[host.record.address] = host


class JobHostsClient:
    """One caller's client of the hosts; implements ``HostCalls``."""

    def __init__(self, standin: JobHostsStandin, caller: str) -> None:
        self._standin = standin
        self._caller = caller
        self._connections: dict[str, tuple[JobHostStandin, float]] = {}

    async def watch(
        self,
        host: UpstreamHost,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> HostReport:
        """Poll a host for its report, waiting up to ``wait_s`` for a run to end."""
        self._standin.poll_counts[host.id] += 1
        connections = self._standin.faults.connections
        silences_before = connections.silences
        if host.id in self._standin.silent_polls:
            connected_at_s = self._get_connected_at_s(host)
            await asyncio.sleep(wait_s + ORDER_TIMEOUT_S)
            reason = f"the connection to {host.address} is silent"
            raise HostSilentError(reason, connected_at_s)
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
            raise HostNoAnswerError(f"connection to {host.address} is silent")
        # The first poll has applied the acknowledgement.  A host that restarted meanwhile numbers
        # its ends from 1 again; those with numbers up to ``acknowledged`` are not listed here.
        return await self._call(
            host, lambda job_host: job_host.poll(token, 0, None, acknowledged), False
        )

    async def start(self, host: UpstreamHost, order: StartOrder) -> int:
        """Start a run on a host; return the host's clock."""
        sent_to = self._standin.hosts.get(host.address)
        return await self._call(
            host,
            lambda job_host: job_host.start(order, job_host is sent_to),
            timeout_s=order.timeout_s,
        )

    async def stop(self, host: UpstreamHost, task: TaskKey, run: int, token: int) -> None:
        """Stop a run on a host."""
        await self._call(host, lambda job_host: job_host.stop(task, run, token))

    async def pace(
        self, host: UpstreamHost, task: TaskKey, run: int, percent: int, token: int
    ) -> None:
        """Set the pace of a run, in percent; the stand-in checks only the token."""
        await self._call(host, lambda job_host: job_host.pace(token))

    async def _call(
        self,
        host: UpstreamHost,
        work: Callable[[JobHostStandin], T],
        is_order: bool = True,
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> T:
        if (self._caller, host.address) in self._standin.refused_routes:
            raise HostRefusedError(f"{host.address} refuses connections from {self._caller}")
        connected_at_s = self._get_connected_at_s(host)
        if (self._caller, host.address) in self._standin.cut_routes:
            await asyncio.sleep(timeout_s)
            reason = f"no route from {self._caller} to {host.address}"
            raise HostNoAnswerError(reason, connected_at_s)
        if self._caller in self._standin.late_callers:
            await asyncio.sleep(timeout_s)
            raise HostSilentError(f"{self._caller} is too slow to receive the response")
        if is_order:
            await self._wait_for_answer(host, lambda: work(self._find(host)), timeout_s)
        faults = self._standin.faults
        try:
            return await faults.carry_out(
                self._caller,
                lambda: work(self._find(host)),
                timeout_s,
                is_order,
                host.address,
            )
        except (CallUnansweredError, CallRefusedError) as error:
            raise HostNoAnswerError(f"no response from {host.address}", connected_at_s) from error

    def _get_connected_at_s(self, host: UpstreamHost) -> float | None:
        """Return when the connection to a host was opened; open one to another incarnation.

        A connection outlives the incarnation at its other end while the route is cut.
        """
        found = self._connections.get(host.address)
        current = self._standin.hosts.get(host.address)
        is_cut = (self._caller, host.address) in self._standin.cut_routes
        if found is not None and (is_cut or found[0] is current):
            return found[1]
        if current is not None and current.is_up and not is_cut:
            self._connections[host.address] = (current, asyncio.get_running_loop().time())
        return None

    async def _wait_for_answer(
        self, host: UpstreamHost, work: Callable[[], object], timeout_s: float
    ) -> None:
        """Wait for the host's ordinary delay; do ``work`` late if that exceeds the timeout."""
        delay_s = self._standin.answer_delays_s.get(host.id, 0.0)
        if lock := self._standin.serial_hosts.get(host.id):
            await self._wait_in_line(lock, delay_s, work, timeout_s)
            return
        if delay_s > timeout_s:
            asyncio.get_running_loop().call_later(delay_s, run_discarding_result, work)
            await asyncio.sleep(timeout_s)
            raise HostNoAnswerError(f"{host.address} takes {delay_s} s to respond")
        await asyncio.sleep(delay_s)

    async def _wait_in_line(
        self, lock: asyncio.Lock, delay_s: float, work: Callable[[], object], timeout_s: float
    ) -> None:
        """Wait until earlier orders and this one are worked off; do ``work`` late if too long."""

        async def work_off() -> None:
            async with lock:
                await asyncio.sleep(delay_s)

        turn = asyncio.get_running_loop().create_task(work_off())
        try:
            await asyncio.wait_for(asyncio.shield(turn), timeout_s)
        except TimeoutError as error:
            turn.add_done_callback(lambda _: run_discarding_result(work))
            raise HostNoAnswerError("the host works off other orders first") from error

    def _find(self, host: UpstreamHost) -> JobHostStandin:
        job_host = self._standin.hosts.get(host.address)
        if job_host is None or not job_host.is_up:
            raise HostRefusedError(f"no host listens at {host.address}")
        if job_host.record.id != host.id:
            raise HostGoneError(f"another host than {host.id} responds at {host.address}")
        return job_host
