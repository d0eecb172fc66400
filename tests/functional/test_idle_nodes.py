"""A node that owns no pool reads neither jobs nor hosts."""

import asyncio
from collections import Counter

from testtools import TestCase

from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.standins.platform_standin import HOSTS
from tests.lib.job_platforms import get_owner, hand_in, make_job, start_platform
from tests.lib.virtual import run_virtual

JOBS = 200
OWNERS_ONLY = {INBOX_PARTITION.topic, HOSTS.topic}


class IdleNodesTest(TestCase):
    def test_nodes_without_a_pool_read_neither_jobs_nor_hosts_when_they_start(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=3, hosts=4)
            for number in range(JOBS):
                await hand_in(platform, "node0", make_job(number))
            platform.store.reads.clear()
            for number in range(5):
                platform.start_node(f"later{number}")
            await asyncio.sleep(5)
            readers: Counter[str] = Counter(
                caller for caller, topic in platform.store.reads if topic in OWNERS_ONLY
            )
            idle = [name for name in readers if name.startswith("later")]
            self.assertEqual([], idle)
            self.assertIn(get_owner(platform), readers)

        run_virtual(work())
