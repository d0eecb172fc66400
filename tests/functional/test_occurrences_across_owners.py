"""Guards against occurrences that are run again once their pool has another owner."""

import asyncio
from collections import Counter

import msgspec
from testtools import TestCase

from robinthread._internal.jobs.open_limit import POOL_WAITING_MAX
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    find_violations,
    get_owner,
    hand_in_all,
    make_job,
    make_stop_budget,
    start_platform,
)
from tests.lib.virtual import run_virtual

TASKS = 250
SMALL = Resources(10, 10)
# The last one is due when the tasks of other jobs wait, and is opened once the others are done.
OCCURRENCES = 4
INTERVAL_MS = 3_000
WORK_S = 12.0
# One task of the first occurrence takes longer, so that the next one ends before it.
LONG_S = 25.0
# Other jobs, due later, whose tasks wait since few of them run at a time.
OTHERS = POOL_WAITING_MAX // 2 // TASKS
OTHER = Resources(7_000, 10)
OTHER_WORK_S = 20.0
OTHERS_DUE_MS = 8_000
REPLACED_AFTER_S = 11.0
PLAYED_AFTER_S = 35.0


class OccurrencesAcrossOwnersTest(TestCase):
    def test_occurrences_at_work_are_not_run_again_after_a_kill(self) -> None:
        """The next owner ran all tasks again of an occurrence that it had not opened itself."""
        self._check(is_planned=False)

    def test_occurrences_at_work_are_not_run_again_after_a_planned_stop(self) -> None:
        """The same after an owner that had recorded everything."""
        self._check(is_planned=True)

    def _check(self, is_planned: bool) -> None:
        platform = run_virtual(play(is_planned))
        self.assertEqual([], find_violations(platform))
        job_id = make_job(0).job_id
        runs = [run for run in platform.hosts.ledger.runs if run.task.job_id == job_id]
        ended = Counter(run.task.occurrence for run in runs if run.end == "done")
        self.assertEqual(dict.fromkeys(range(OCCURRENCES), TASKS), ended)


async def play(is_planned: bool) -> PlatformStandin:
    """Replace the owner while three occurrences are at work and the tasks of other jobs wait."""
    platform = await start_platform(plan_task)
    now_ms = int(asyncio.get_running_loop().time() * 1000)
    # The next owner takes the others first, and opens what is due of them.
    specs = [
        make_timed_job(number, OTHER, 1, now_ms + OTHERS_DUE_MS) for number in range(1, OTHERS + 1)
    ]
    specs.append(make_timed_job(0, SMALL, OCCURRENCES, now_ms))
    await hand_in_all(platform, "node0", specs)
    await asyncio.sleep(REPLACED_AFTER_S)
    owner = get_owner(platform)
    assert owner is not None
    if is_planned:
        await platform.nodes[owner].assembled.node.stop(make_stop_budget(platform))
        platform.nodes.pop(owner)
    else:
        platform.kill_node(owner)
    await asyncio.sleep(PLAYED_AFTER_S)
    return platform


def plan_task(task: TaskKey) -> TaskPlan:
    """Return how long a task works, and its resources."""
    if task.job_id != make_job(0).job_id:
        return TaskPlan(OTHER_WORK_S, OTHER)
    is_long = (task.occurrence, task.index) == (0, 0)
    return TaskPlan(LONG_S if is_long else WORK_S, SMALL)


def make_timed_job(
    number: int, resources: Resources, occurrence_count: int, first_due_ms: int
) -> JobSpec:
    """Make a scheduled job with one step."""
    step = StepSpec(TASKS, resources.cpu_millicores, resources.memory_mb)
    return msgspec.structs.replace(
        make_job(number, step),
        occurrence_count=occurrence_count,
        first_due_ms=first_due_ms,
        interval_ms=INTERVAL_MS,
    )
