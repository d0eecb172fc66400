"""A sound lasting job is shown as failed because the worker of one subtask crashed five times."""

import asyncio
import sys
from pathlib import Path

from review.rig3.deployment import CannotRunError, Record, deploy, run_case

from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan

JOB = "68a0000000000001"
STEP = {
    "count": 4,
    "cpu": 1000,
    "mem_mb": 100,
    "estimate_ms": 1000,
    "long_running": True,
    "anti_affinity": 1,
    "may_miss": 1,
}
# The subtask whose worker crashes, how long it has been at work then, and how often that happens.
INDEX = 2
AT_WORK_S = 2.5
CRASHES_MAX = 7
# How long a subtask may take to start again before the case gives up.
RESTART_MAX_S = 20.0
CALM_S = 8.0


def plan(task: TaskKey) -> TaskPlan:
    """Return how a subtask behaves: it is sound, and works until it is stopped."""
    return TaskPlan(None, Resources(1000, 100))


async def play(record: Record, has_trouble: bool) -> None:
    """Crash the worker of one subtask again and again, then ask for the job."""
    async with deploy(record, plan) as deployment:
        loop = asyncio.get_running_loop()
        await deployment.hand_in(JOB, [STEP])
        states: list[str] = []
        for crash in range(CRASHES_MAX):
            ends_s = loop.time() + RESTART_MAX_S
            while loop.time() < ends_s and not (states and states[-1] == "failed"):
                await asyncio.sleep(0.02)
                old = [
                    run
                    for run in deployment.list_present(JOB)
                    if run.task.index == INDEX and loop.time() - run.began_at_s >= AT_WORK_S
                ]
                if old:
                    break
            else:
                break
            if has_trouble:
                deployment.crash_worker(old[0].host_id)
            await asyncio.sleep(1.0 if has_trouble else AT_WORK_S + 0.5)
            states.append(await deployment.ask(JOB, crash))
        await asyncio.sleep(CALM_S)
        states += [await deployment.ask(JOB, entry) for entry in range(3)]
        runs = deployment.world.hosts.ledger.runs
        if not runs:
            raise CannotRunError("nothing was started")
        failed_runs = [run for run in runs if run.end == "failed"]
        present = len(deployment.list_present(JOB))
        record.add(f"runs that ended failed: {len(failed_runs)}; subtasks at work now: {present}")
        if "failed" in states and not failed_runs:
            record.add("BROKEN: LOST, the job shows as failed, but no run of it ended failed")
        record.add_runs(runs, record.get_s)


sys.exit(run_case(Path(__file__).parent, play))
