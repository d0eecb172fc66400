"""One day of a deployment: the nodes' own code on the platform's stand-in, on virtual time."""

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
from robinthread._internal.experiments.troubles import bring_about
from robinthread._internal.experiments.virtual_time import VirtualClock, run_on_clock
from robinthread._internal.experiments.worth import JobOutcome, weigh_day
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

# Nodes have found each other, and pools their owners, by then.
SETTLES_S: Final = 4.0
SAMPLE_S: Final = 0.5
# Jobs that have not ended so long after the last came earn nothing any more.
AWAITED_S: Final = 20.0
# A caller waits so long for an answer, and tries so often, each time at another node and so
# long after it was turned away.
ANSWERED_WITHIN_S: Final = 3.0
TRIES_MAX: Final = 3
TRIES_AGAIN_S: Final = 1.0
ATTEMPTS_MAX: Final = 3
WHOLE_CORE_MILLICORES: Final = 1000


def play_day(deployment: Deployment, policy: PolicySettings, seed: int) -> DayResult:
    """Play a day; the same seed gives the same result."""
    return run_on_clock(VirtualClock(), _Day(deployment, policy, seed).play())


class _Day:
    """A day while it is played."""

    def __init__(self, deployment: Deployment, policy: PolicySettings, seed: int) -> None:
        self._deployment = deployment
        self._policy = policy
        self._seed = seed
        self._random = random.Random(seed)
        self._arrivals = draw_arrivals(deployment, seed)
        self._processors = Processors(deployment.nodes.processor_share)
        self._began_at_s = 0.0
        self._samples: list[Sample] = []

    async def play(self) -> DayResult:
        """Play the day to its end."""
        platform = self._start_platform()
        await asyncio.sleep(SETTLES_S)
        self._began_at_s = asyncio.get_running_loop().time()
        moves_before = platform.machines.move_count
        async with asyncio.TaskGroup() as day:
            sampling = day.create_task(self._keep_sampling(platform))
            for trouble in self._deployment.troubles.values():
                day.create_task(bring_about(platform, trouble, self._random, self._start_node))
            await self._feed(platform)
            await self._wait_until_ended(platform)
            sampling.cancel()
        return self._judge(platform, platform.machines.move_count - moves_before)

    def _start_platform(self) -> PlatformStandin:
        spec = self._deployment
        platform = PlatformStandin(self._plan_task, self._seed)
        platform.keeps_host_ids, platform.start_time_sources = (
            spec.machines.keeps_host_ids,
            tuple(StartTimeSource),
        )
        charge_calls(platform, self._processors, spec.costs)
        platform.hosts.faults.latency_s = spec.nodes.call_ms / 1000
        platform.machines.faults.latency_s = spec.nodes.call_ms / 1000
        platform.store.faults.latency_s = spec.nodes.store_ms / 1000
        pools = tuple(PoolPolicy(pool) for pool in spec.pools)
        queues = tuple(
            QueuePolicy(
                name,
                f"{name}.example",
                "/",
                queue.pool,
                0,
                ATTEMPTS_MAX,
                queue.stretch,
                round(queue.slack_s * 1000),
            )
            for name, queue in spec.queues.items()
        )
        platform.configure(1, queues, (*pools, PoolPolicy(RESERVE, is_reserve=True)))
        room = Resources(spec.machines.cpu_millicores, spec.machines.memory_mb, 0)
        pool_names = itertools.cycle(spec.pools)
        for number in range(spec.machines.count + spec.machines.reserve):
            pool = RESERVE if number >= spec.machines.count else next(pool_names)
            platform.machines.add(pool, f"rack{number % spec.machines.racks}", room)
        for number in range(spec.nodes.count):
            self._start_node(platform, f"node{number}")
        return platform

    def _start_node(self, platform: PlatformStandin, name: str) -> None:
        millicores = round(self._deployment.nodes.processor_share * WHOLE_CORE_MILLICORES)
        platform.start_node(name, millicores, self._policy)

    def _plan_task(self, task: TaskKey) -> TaskPlan:
        arrival = self._arrivals[int(task.job_id, 16) - 1]
        queue = self._deployment.queues[arrival.queue]
        return TaskPlan(
            arrival.work_s[task.index], Resources(queue.cpu_millicores, queue.memory_mb, 0)
        )

    async def _feed(self, platform: PlatformStandin) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as callers:
            for arrival in self._arrivals:
                await asyncio.sleep(self._began_at_s + arrival.at_s - loop.time())
                callers.create_task(self._hand_in(platform, arrival))

    async def _hand_in(self, platform: PlatformStandin, arrival: Arrival) -> None:
        """Hand a job in as a caller does; one that no node takes is lost to its queue."""
        spec = self._make_job(arrival)
        loop = asyncio.get_running_loop()
        for name in self._random.sample(sorted(platform.nodes), len(platform.nodes))[:TRIES_MAX]:
            node = platform.nodes.get(name)
            if node is None or name in platform.cut_nodes:
                continue
            try:
                async with asyncio.timeout(ANSWERED_WITHIN_S):
                    job_service = node.assembled.job_service
                    outcome = await job_service.accept(spec, loop.time() + ANSWERED_WITHIN_S)
            except TimeoutError:
                continue
            if outcome is JobRequestOutcome.DONE:
                return
            await asyncio.sleep(TRIES_AGAIN_S)

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
        until_s = loop.time() + AWAITED_S
        while loop.time() < until_s and len(self._find_ends(platform)) < len(self._arrivals):
            await asyncio.sleep(SAMPLE_S)

    async def _keep_sampling(self, platform: PlatformStandin) -> None:
        while True:
            self._samples += self._sample(platform)
            await asyncio.sleep(SAMPLE_S)

    def _sample(self, platform: PlatformStandin) -> Iterator[Sample]:
        at_s = asyncio.get_running_loop().time() - self._began_at_s
        ends = self._find_ends(platform)
        queues = self._deployment.queues
        waiting = Counter(
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
            yield Sample(at_s, pool, hosts[pool], waiting[pool])

    def _find_ends(self, platform: PlatformStandin) -> dict[str, float]:
        """Return when the jobs ended all of whose tasks are done, as the hosts saw it."""
        done: dict[str, dict[int, float]] = defaultdict(dict)
        for run in platform.hosts.ledger.runs:
            if run.end == "done" and run.ended_at_s is not None:
                done[run.task.job_id].setdefault(run.task.index, run.ended_at_s)
        counts = {
            _make_id(arrival): self._deployment.queues[arrival.queue].tasks
            for arrival in self._arrivals
        }
        return {
            job_id: max(ends.values())
            for job_id, ends in done.items()
            if len(ends) == counts[job_id]
        }

    def _judge(self, platform: PlatformStandin, move_count: int) -> DayResult:
        ends = self._find_ends(platform)
        jobs = tuple(
            JobOutcome(
                arrival.queue,
                arrival.at_s,
                max(arrival.work_s),
                _subtract(ends.get(_make_id(arrival)), self._began_at_s),
            )
            for arrival in self._arrivals
        )
        machine_s = sum(sample.host_count for sample in self._samples) * SAMPLE_S
        spec = self._deployment
        took_s = asyncio.get_running_loop().time()
        spent_s = max(self._processors.spent_s.values(), default=0.0)
        return DayResult(
            self._seed,
            weigh_day(jobs, spec.queues, spec.prices, machine_s, move_count),
            len(jobs),
            sum(job.ended_at_s is not None for job in jobs),
            machine_s,
            move_count,
            spent_s / spec.nodes.processor_share / took_s,
            tuple(platform.hosts.ledger.find_violations(math.inf)),
            jobs,
            tuple(self._samples),
        )


def _make_id(arrival: Arrival) -> str:
    return f"{arrival.number:016x}"


def _subtract(at_s: float | None, began_at_s: float) -> float | None:
    return None if at_s is None else at_s - began_at_s
