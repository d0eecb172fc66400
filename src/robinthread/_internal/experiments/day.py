"""Simulation of one day of a deployment.

A day is the simulated period of ``length_s`` seconds, not 24 hours.  The production code of the
nodes runs in virtual time against the stand-in of the platform.
"""

import asyncio
import itertools
import math
import random
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Final

from robinthread._internal.experiments.day_result import DayResult, Sample
from robinthread._internal.experiments.demand import Arrival, draw_arrivals
from robinthread._internal.experiments.deployment import Deployment
from robinthread._internal.experiments.processors import Processors, charge_calls
from robinthread._internal.experiments.troubles import inject_trouble
from robinthread._internal.experiments.virtual_time import VirtualClock, run_on_clock
from robinthread._internal.experiments.worth import JobOutcome, compute_worth
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.machine import MachineState
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.job_request_outcome import JobRequestOutcome
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import (
    RESERVE,
    PlatformStandin,
    StartTimeSource,
)

# Time for the nodes to discover each other and to acquire the pools, before the first job.
SETTLE_TIME_S: Final = 4.0
SAMPLE_INTERVAL_S: Final = 0.5
# Limit of the wait for jobs to end after the last submission.  The remaining ones count as
# unfinished.
END_WAIT_MAX_S: Final = 20.0
# A caller tries up to TRIES_MAX nodes.  It waits up to TRY_TIMEOUT_S for each response, and
# RETRY_PAUSE_S after an unsuccessful one before it tries the next node.
TRY_TIMEOUT_S: Final = 3.0
TRIES_MAX: Final = 3
RETRY_PAUSE_S: Final = 1.0
TASK_ATTEMPTS_MAX: Final = 3
MILLICORES_PER_CORE: Final = 1000


def simulate_day(deployment: Deployment, policy: PolicySettings, seed: int) -> DayResult:
    """Simulate one day under a policy; the same seed gives the same result."""
    return run_on_clock(VirtualClock(), _DaySimulation(deployment, policy, seed).simulate())


class _DaySimulation:
    """State of the simulation of one day."""

    def __init__(self, deployment: Deployment, policy: PolicySettings, seed: int) -> None:
        self._deployment = deployment
        self._policy = policy
        self._seed = seed
        self._random = random.Random(seed)
        self._arrivals = draw_arrivals(deployment, seed)
        self._processors = Processors(deployment.nodes.processor_share)
        self._started_at_s = 0.0
        self._samples: list[Sample] = []

    async def simulate(self) -> DayResult:
        """Run the simulation and return its result."""
        platform = self._start_platform()
        await asyncio.sleep(SETTLE_TIME_S)
        self._started_at_s = asyncio.get_running_loop().time()
        moves_before = platform.machines.move_count
        async with asyncio.TaskGroup() as group:
            sampling = group.create_task(self._sample_periodically(platform))
            for trouble in self._deployment.troubles.values():
                group.create_task(inject_trouble(platform, trouble, self._random, self._start_node))
            await self._submit_jobs(platform)
            await self._wait_until_ended(platform)
            sampling.cancel()
        return self._make_result(platform, platform.machines.move_count - moves_before)

    def _start_platform(self) -> PlatformStandin:
        deployment = self._deployment
        platform = PlatformStandin(self._plan_task, self._seed)
        platform.keeps_host_ids, platform.start_time_sources = (
            deployment.machines.keeps_host_ids,
            tuple(StartTimeSource),
        )
        charge_calls(platform, self._processors, deployment.costs)
        platform.hosts.faults.latency_s = deployment.nodes.call_ms / 1000
        platform.machines.faults.latency_s = deployment.nodes.call_ms / 1000
        platform.store.faults.latency_s = deployment.nodes.store_ms / 1000
        pools = tuple(PoolPolicy(pool) for pool in deployment.pools)
        queues = tuple(
            QueuePolicy(
                name,
                f"{name}.example",
                "/",
                queue.pool,
                0,
                TASK_ATTEMPTS_MAX,
                queue.stretch,
                round(queue.slack_s * 1000),
            )
            for name, queue in deployment.queues.items()
        )
        platform.configure(1, queues, (*pools, PoolPolicy(RESERVE, is_reserve=True)))
        capacity = Resources(deployment.machines.cpu_millicores, deployment.machines.memory_mb, 0)
        pool_names = itertools.cycle(deployment.pools)
        for number in range(deployment.machines.count + deployment.machines.reserve):
            pool = RESERVE if number >= deployment.machines.count else next(pool_names)
            platform.machines.add(pool, f"rack{number % deployment.machines.racks}", capacity)
        for number in range(deployment.nodes.count):
            self._start_node(platform, f"node{number}")
        return platform

    def _start_node(self, platform: PlatformStandin, name: str) -> None:
        millicores = round(self._deployment.nodes.processor_share * MILLICORES_PER_CORE)
        platform.start_node(name, millicores, self._policy)

    def _plan_task(self, task: TaskKey) -> TaskPlan:
        arrival = self._arrivals[int(task.job_id, 16) - 1]
        queue = self._deployment.queues[arrival.queue]
        return TaskPlan(
            arrival.work_s[task.index], Resources(queue.cpu_millicores, queue.memory_mb, 0)
        )

    async def _submit_jobs(self, platform: PlatformStandin) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as callers:
            for arrival in self._arrivals:
                await asyncio.sleep(self._started_at_s + arrival.at_s - loop.time())
                callers.create_task(self._submit_job(platform, arrival))

    async def _submit_job(self, platform: PlatformStandin, arrival: Arrival) -> None:
        """Submit a job as a caller does; the job is lost if no node accepts it."""
        spec = self._make_job(arrival)
        loop = asyncio.get_running_loop()
        for name in self._random.sample(sorted(platform.nodes), len(platform.nodes))[:TRIES_MAX]:
            node = platform.nodes.get(name)
            if node is None or name in platform.cut_nodes:
                continue
            try:
                async with asyncio.timeout(TRY_TIMEOUT_S):
                    job_service = node.assembled.job_service
                    outcome = await job_service.accept(spec, loop.time() + TRY_TIMEOUT_S)
            except TimeoutError:
                continue
            if outcome is JobRequestOutcome.DONE:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    def _make_job(self, arrival: Arrival) -> JobSpec:
        queue = self._deployment.queues[arrival.queue]
        step = StepSpec(
            queue.tasks,
            cpu_millicores=queue.cpu_millicores,
            memory_mb=queue.memory_mb,
            estimate_ms=round(queue.work_s * 1000),
        )
        at_ms = round(asyncio.get_running_loop().time() * 1000)
        return JobSpec(
            _make_id(arrival), arrival.queue, queue.pool, "", (step,), accepted_at_ms=at_ms
        )

    async def _wait_until_ended(self, platform: PlatformStandin) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + END_WAIT_MAX_S
        while loop.time() < deadline_s and len(self._find_ends(platform)) < len(self._arrivals):
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _sample_periodically(self, platform: PlatformStandin) -> None:
        while True:
            self._samples += self._sample(platform)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _sample(self, platform: PlatformStandin) -> Iterator[Sample]:
        at_s = asyncio.get_running_loop().time() - self._started_at_s
        ends = self._find_ends(platform)
        queues = self._deployment.queues
        unfinished = Counter(
            queues[arrival.queue].pool
            for arrival in self._arrivals
            if arrival.at_s <= at_s and _make_id(arrival) not in ends
        )
        hosts = Counter(
            machine.pool
            for machine in platform.machines.machines.values()
            if machine.state is MachineState.UP
        )
        for pool in self._deployment.pools:
            yield Sample(at_s, pool, hosts[pool], unfinished[pool])

    def _find_ends(self, platform: PlatformStandin) -> dict[str, float]:
        """Return by job id the time at which the last task was done, as recorded by the hosts.

        Jobs with an unfinished task are not included.
        """
        done: dict[str, dict[int, float]] = defaultdict(dict)
        for run in platform.hosts.ledger.runs:
            if run.end == "done" and run.ended_at_s is not None:
                done[run.task.job_id].setdefault(run.task.index, run.ended_at_s)
        task_counts = {
            _make_id(arrival): self._deployment.queues[arrival.queue].tasks
            for arrival in self._arrivals
        }
        return {
            job_id: max(ends.values())
            for job_id, ends in done.items()
            if len(ends) == task_counts[job_id]
        }

    def _make_result(self, platform: PlatformStandin, move_count: int) -> DayResult:
        ends = self._find_ends(platform)
        jobs = tuple(
            JobOutcome(
                arrival.queue,
                arrival.at_s,
                max(arrival.work_s),
                _subtract_start(ends.get(_make_id(arrival)), self._started_at_s),
            )
            for arrival in self._arrivals
        )
        machine_s = sum(sample.host_count for sample in self._samples) * SAMPLE_INTERVAL_S
        deployment = self._deployment
        elapsed_s = asyncio.get_running_loop().time()
        spent_s = max(self._processors.spent_s.values(), default=0.0)
        return DayResult(
            self._seed,
            compute_worth(jobs, deployment.queues, deployment.prices, machine_s, move_count),
            len(jobs),
            sum(job.ended_at_s is not None for job in jobs),
            machine_s,
            move_count,
            spent_s / deployment.nodes.processor_share / elapsed_s,
            tuple(platform.hosts.ledger.find_violations(math.inf)),
            jobs,
            tuple(self._samples),
        )


def _make_id(arrival: Arrival) -> str:
    return f"{arrival.number:016x}"


def _subtract_start(at_s: float | None, started_at_s: float) -> float | None:
    """Return ``at_s`` relative to the start of the day, None for None."""
    return None if at_s is None else at_s - started_at_s
