"""Jobs that another owner dropped while a node did not own the pool."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.retention import DROP_MARGIN_S, DROP_PERIOD_S
from robinthread._internal.standins.node_settings_standin import BOUNDS
from tests.lib.job_platforms import (
    POOL,
    find_violations,
    get_others,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.virtual import run_virtual

# Time after which an ended job is dropped from the store.
DROPPED_AFTER_S = BOUNDS.keep_ended_s + DROP_MARGIN_S + 2 * DROP_PERIOD_S


class DroppedMeanwhileTest(TestCase):
    def test_job_that_ended_long_ago_does_not_run_again_at_its_earlier_owner(self) -> None:
        """The first owner is cut off, and acquires its pool again after the job is dropped."""

        async def work() -> None:
            platform = await start_platform(nodes=2)
            first = get_owner(platform)
            assert first is not None
            (second,) = get_others(platform)
            job = make_job(1)
            await hand_in(platform, first, job)
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)
            platform.cut_node(first)
            await wait_until(lambda: POOL in platform.nodes[second].assembled.owned.owners)
            platform.heal_node(first)
            await asyncio.sleep(DROPPED_AFTER_S)
            self.assertEqual(second, get_owner(platform))
            self.assertEqual([], platform.store.list_keys(INBOX_PARTITION.topic))
            run_count = len(platform.hosts.ledger.runs)
            platform.kill_node(second)
            await wait_until(lambda: get_owner(platform) == first)
            await asyncio.sleep(10)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(run_count, len(platform.hosts.ledger.runs))

        run_virtual(work())
