"""A pool with much progress is opened over a slow link."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.store import Partition
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.progress import encode_progress
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.node.pool_owner import PROGRESS_TOPIC
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.job_platforms import POOL, QUEUE, get_owner, make_job, plan_second, wait_until
from tests.lib.virtual import run_virtual

JOBS = 1000
# A page of 500 jobs' progress takes 1.6 s: longer than the store is given for a call.
LINK_BYTES_PER_S = 12_000
OPEN_MAX_S = 20


def fill_progress(platform: PlatformStandin) -> None:
    """Record progress of many jobs, as an earlier owner would have."""
    policy = QueuePolicy("sheets", "", "", POOL)
    partitions = [Partition(PROGRESS_TOPIC, number) for number in range(12)]
    for number in range(JOBS):
        job = Job(make_job(number), policy, number)
        for partition in partitions:
            platform.store.put(partition, job.id, encode_progress(job))


class SlowTakeoverTest(TestCase):
    def test_pool_with_a_thousand_jobs_is_opened_over_a_slow_link(self) -> None:
        async def work() -> None:
            platform = PlatformStandin(plan_second, 1)
            platform.configure(
                1, (QUEUE,), (PoolPolicy(POOL), PoolPolicy(RESERVE, is_reserve=True))
            )
            fill_progress(platform)
            platform.store.link_bytes_per_s["slow"] = LINK_BYTES_PER_S
            platform.start_node("slow")
            took_s = await wait_until(lambda: get_owner(platform) == "slow", OPEN_MAX_S)
            self.assertLess(took_s, OPEN_MAX_S)
            await asyncio.sleep(0)

        run_virtual(work())
