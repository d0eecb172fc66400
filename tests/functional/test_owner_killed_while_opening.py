"""An owner is killed before it has fenced the previous owner off from the journal."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.keyed_follower import FOLLOW_WAIT_S
from robinthread._internal.durable.ownership import OWNERS_PARTITION
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.pool_owner import PROGRESS_TOPIC
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.functional.test_recorded_while_opening import (
    get_client,
    lose_first_append,
    lose_reads,
    unlist,
)
from tests.lib.job_platforms import POOL, find_violations, hand_in, make_job, wait_until
from tests.lib.lasting import LASTING_JOB, get_first_host, start_lasting
from tests.lib.virtual import run_virtual

NAMES = ["node0", "node1", "node2", "node3", "late"]
LONG = StepSpec(1, cpu_millicores=1000, memory_mb=100)
WATCH_S = 20.0
# Time from the second owner's acquisition of the pool until it is killed.
KILLED_AFTER_S = 0.3


def plan(task: TaskKey) -> TaskPlan:
    """Plan lasting tasks, and others that run for longer than the test."""
    return TaskPlan(None if task.job_id == LASTING_JOB else 100.0, Resources(1000, 100))


def find_owner(platform: PlatformStandin, names: list[str]) -> str | None:
    """Return the node that owns the pool, whether it has opened it or not."""
    return next(
        (
            name
            for name in names
            if name in platform.nodes and POOL in platform.nodes[name].assembled.owned.owners
        ),
        None,
    )


class KilledWhileOpeningTest(TestCase):
    def test_third_owner_waits_for_the_first_that_still_writes_to_the_journal(self) -> None:
        async def work() -> None:
            platform = await start_lasting(plan_task=plan)
            host = get_first_host(platform)
            old = find_owner(platform, NAMES)
            assert old is not None
            names = [name for name in NAMES if name != old]
            platform.hosts.cut_routes |= {(name, host.record.address) for name in names}
            unreachable = platform.hosts.hosts.keys() - {host.record.address}
            platform.hosts.cut_routes |= {(old, address) for address in unreachable}
            lose_reads(get_client(platform, old), OWNERS_PARTITION)
            # The read in progress is the last one that gets a response.
            await asyncio.sleep(FOLLOW_WAIT_S + 0.1)
            await unlist(platform, old)
            for name in names:
                lose_first_append(get_client(platform, name), PROGRESS_TOPIC)
            await wait_until(lambda: find_owner(platform, names) is not None)
            second = find_owner(platform, names)
            assert second is not None
            await asyncio.sleep(KILLED_AFTER_S)
            platform.kill_node(second)
            await wait_until(lambda: find_owner(platform, names) is not None)
            # The third owner has not fenced off the first one, which starts another task.
            await hand_in(platform, old, make_job(9, LONG))
            await asyncio.sleep(1.0)
            platform.start_node(second)
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
