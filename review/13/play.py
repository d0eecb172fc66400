"""A process that has just been started is ended by SIGHUP, which says that its settings changed."""

import asyncio
import signal
import sys
from pathlib import Path

from review.rig3.deployment import CannotRunError, Entry, Record, deploy, run_case

from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan

# The entries are stopped and started again in this order, and get SIGHUP so long after a start.
ROUNDS = (0, 1, 0, 1)
AFTER_START_S = 0.3
STOP_MAX_S = 8.0
# The rule: processes end by themselves three times, on two machines at least.
ENDS_MIN, MACHINES_MIN = 3, 2


def plan(task: TaskKey) -> TaskPlan:
    """Return how a subtask behaves."""
    return TaskPlan(1.0, Resources(100, 100))


async def play(record: Record, has_trouble: bool) -> None:
    """Stop and start entries in turn, with a SIGHUP soon after each start."""
    ended: list[str] = []
    async with deploy(record, plan) as deployment:
        for number in ROUNDS:
            entry = deployment.entries[number]
            await _stop(entry)
            await entry.start()
            await asyncio.sleep(AFTER_START_S)
            if has_trouble:
                entry.signal(signal.SIGHUP)
            await asyncio.sleep(1.0)
            code = entry.get_exit_code()
            if code is not None:
                ended.append(entry.name)
                record.add(f"{entry.name} has ended by itself with {code}; it is started again")
                await entry.start()
            await entry.wait_until_ready()
    record.add(f"ends: {len(ended)}")
    if len(ended) >= ENDS_MIN and len(set(ended)) >= MACHINES_MIN:
        record.add(f"BROKEN: Fault, processes ended by themselves: {', '.join(ended)}")


async def _stop(entry: Entry) -> None:
    """Stop an entry as the platform does, and wait for its end."""
    entry.signal(signal.SIGTERM)
    for _ in range(int(STOP_MAX_S / 0.1)):
        if entry.get_exit_code() is not None:
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f"{entry.name} did not stop")


sys.exit(run_case(Path(__file__).parent, play))
