"""Tasks that crash each host that starts them, and checks of how the pool treats them."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Collection, Iterable

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.job_service import JobRequestOutcome
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from robinthread._internal.standins.run_ledger import LedgerRun
from tests.lib.job_platforms import get_owner, get_status, hand_in, make_job

# After ``CRASHES`` host crashes, a task is started at most ``STARTS_AFTER_MAX`` more times.
CRASHES = 3
STARTS_AFTER_MAX = 2
# A job may fail for crashes only if this many hosts have crashed under one of its tasks.
CRASHES_TO_GIVE_UP = 2
# Time from the start of a crashing task until its host crashes.
CRASH_AFTER_S = 0.01
# Twelve hosts have capacity for 192 of these tasks.
SMALL = Resources(1000, 100)
STEP = StepSpec(4, cpu_millicores=1000, memory_mb=100)
# A job submission waits up to 3 s for a node's response.
ANSWERED_WITHIN_S = 4.0
JOBS = 60
JOB_PERIOD_S = 0.1


def make_jobs(count: int = JOBS, *steps: StepSpec) -> list[JobSpec]:
    """Make jobs of one step of four tasks, or of the given steps."""
    return [make_job(number, *(steps or (STEP,))) for number in range(1, count + 1)]


class CrashPlan:
    """Plans in which the first task of the ``crashing`` jobs crashes its hosts.

    All other tasks work normally.  ``steps`` are the steps whose first task crashes hosts.
    """

    def __init__(
        self,
        crashing: Iterable[JobSpec],
        work_s: float | None = 1.0,
        crash_after_s: float = CRASH_AFTER_S,
        steps: Collection[int] = (0,),
    ) -> None:
        self.crashing = {spec.job_id for spec in crashing}
        self._work_s = work_s
        self._crash_after_s = crash_after_s
        self._steps = steps

    def is_cause(self, task: TaskKey) -> bool:
        """Return whether a task crashes its hosts."""
        return task.job_id in self.crashing and not task.index and task.step in self._steps

    def __call__(self, task: TaskKey) -> TaskPlan:
        """Return the plan of a task."""
        crashes_after_s = self._crash_after_s if self.is_cause(task) else None
        return TaskPlan(self._work_s, SMALL, crashes_after_s=crashes_after_s)


async def feed(
    platform: PlatformStandin, specs: Iterable[JobSpec], period_s: float = JOB_PERIOD_S
) -> None:
    """Submit one job per ``period_s`` to any running node."""
    for spec in specs:
        await _hand_in_somewhere(platform, spec)
        await asyncio.sleep(period_s)


async def crash_hosts(platform: PlatformStandin, per_s: float, seed: int) -> None:
    """Crash random hosts at ``per_s`` per second, whatever runs there, until cancelled."""
    drawn = random.Random(seed + 1)
    while per_s:
        await asyncio.sleep(drawn.expovariate(per_s))
        up = [host for host in platform.hosts.hosts.values() if host.is_up]
        if len(up) > 1:
            platform.crash_and_replace_host(drawn.choice(up).record.id)


async def _hand_in_somewhere(platform: PlatformStandin, spec: JobSpec) -> None:
    """Submit a job to one node after another until one has accepted it."""
    while True:
        for name in sorted(platform.nodes):
            if name in platform.nodes:
                try:
                    async with asyncio.timeout(ANSWERED_WITHIN_S):
                        outcome = await hand_in(platform, name, spec)
                except TimeoutError:
                    # The node was killed meanwhile.  Submitting again is safe, since
                    # the id identifies the job.
                    continue
                if outcome is JobRequestOutcome.DONE:
                    return
        await asyncio.sleep(0.2)


async def read_statuses(
    platform: PlatformStandin, specs: Iterable[JobSpec]
) -> dict[str, JobStatus | None]:
    """Return the status of each job as shown by the pool's owner."""
    name = get_owner(platform) or min(platform.nodes)
    return {spec.job_id: await get_status(platform, name, spec.job_id) for spec in specs}


async def wait_until_ended(
    platform: PlatformStandin, specs: Collection[JobSpec], limit_s: float
) -> dict[str, JobStatus | None]:
    """Wait up to ``limit_s`` until all jobs have ended; return their shown statuses."""
    until_s = asyncio.get_running_loop().time() + limit_s
    while True:
        statuses = await read_statuses(platform, specs)
        is_over = all(status is not None and status.is_final for status in statuses.values())
        if is_over or asyncio.get_running_loop().time() > until_s:
            return statuses
        await asyncio.sleep(0.5)


def find_excess(platform: PlatformStandin) -> list[str]:
    """Return a description of each task that was started too often after its third crash."""
    by_task: dict[TaskKey, list[LedgerRun]] = defaultdict(list)
    for run in platform.hosts.ledger.runs:
        by_task[run.task].append(run)
    return [
        f"{task}: {len(causes)} hosts crashed, {len(after)} starts after the third crash"
        for task, runs in by_task.items()
        if len(causes := [run for run in runs if run.crashed_its_host]) >= CRASHES
        and len(after := [run for run in runs if run.began_at_s > _get_third_s(causes)])
        > STARTS_AFTER_MAX
    ]


def _get_third_s(causes: list[LedgerRun]) -> float:
    return sorted(run.ended_at_s or 0.0 for run in causes)[CRASHES - 1]


def find_given_up_early(
    platform: PlatformStandin, statuses: dict[str, JobStatus | None]
) -> list[str]:
    """Return the failed jobs none of whose tasks lost ``CRASHES_TO_GIVE_UP`` hosts."""
    crashed: dict[TaskKey, set[str]] = defaultdict(set)
    for run in platform.hosts.ledger.runs:
        if run.end == "crashed":
            crashed[run.task].add(run.host_id)
    may_be = {task.job_id for task, hosts in crashed.items() if len(hosts) >= CRASHES_TO_GIVE_UP}
    return [
        job_id
        for job_id, status in statuses.items()
        if status is JobStatus.FAILED and job_id not in may_be
    ]


def count_causes(platform: PlatformStandin) -> int:
    """Return how many times a task crashed its host."""
    return sum(run.crashed_its_host for run in platform.hosts.ledger.runs)


def count_lost_beside(platform: PlatformStandin) -> int:
    """Count the runs of other tasks that were lost with hosts that a task crashed."""
    hosts = {run.host_id for run in platform.hosts.ledger.runs if run.crashed_its_host}
    return sum(
        run.host_id in hosts and run.end == "crashed" and not run.crashed_its_host
        for run in platform.hosts.ledger.runs
    )
