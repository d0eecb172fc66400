"""Retention of ended jobs."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.pool_owner import PROGRESS_TOPIC
from tests.lib.job_platforms import (
    POOL,
    cancel,
    get_owner,
    get_status,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.virtual import run_virtual


class RetentionTest(TestCase):
    def test_ended_jobs_are_dropped_after_their_retention_time(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            specs = [make_job(number) for number in range(1, 4)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
                await hand_in(platform, "node1", spec)
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            await cancel(platform, "node2", specs[0].job_id)
            await asyncio.sleep(100)
            for name in platform.nodes:
                self.assertEqual(
                    JobStatus.SUCCEEDED, await get_status(platform, name, specs[2].job_id)
                )
            await asyncio.sleep(60)
            self.assertEqual([], platform.store.list_keys(INBOX_PARTITION.topic))
            self.assertEqual([], platform.store.list_keys(PROGRESS_TOPIC))
            owner = get_owner(platform)
            assert owner is not None
            pool = platform.nodes[owner].assembled.owned.owners[POOL]
            self.assertEqual({}, pool.jobs.jobs)
            self.assertEqual(18, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_partly_dropped_job_is_not_run_again_by_the_next_owner(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            await asyncio.sleep(134)
            await wait_until(lambda: not platform.store.list_keys(INBOX_PARTITION.topic))
            platform.kill_node(get_owner(platform) or "")
            await asyncio.sleep(10)
            self.assertEqual([], platform.store.list_keys(PROGRESS_TOPIC))
            self.assertEqual(6, len(platform.hosts.ledger.runs))

        run_virtual(work())
