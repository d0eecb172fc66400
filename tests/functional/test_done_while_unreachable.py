"""Tasks that end while their host is unreachable for the owner are not run again."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.standins.store_standin import LATENCY_S
from tests.lib.job_platforms import (
    find_violations,
    get_others,
    get_owner,
    hand_in,
    make_job,
    make_stop_budget,
    plan_second,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.lasting import cut_host, get_first_host
from tests.lib.virtual import run_virtual

TASKS = 4
JOB = make_job(1, StepSpec(TASKS, cpu_millicores=1000, memory_mb=100))
# Covers a lease (4 s), the tolerated drift of a host's clock, and two polls.
LAPSED_S = 6.0
# At this store latency, a pool takes as long to open as on a small node.
SLOW_STORE_S = 1.0
# All leases that the previous owner granted before it stopped have lapsed by then.
LATE_S = 2.7


class DoneWhileUnreachableTest(TestCase):
    def test_end_of_a_run_that_counted_as_lapsed_is_accepted(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_second, hosts=1)
            await hand_in(platform, "node0", JOB)
            await asyncio.sleep(0.5)
            cut_host(platform, get_first_host(platform))
            await asyncio.sleep(LAPSED_S)
            platform.hosts.cut_routes.clear()
            await wait_for_status(platform, JOB.job_id, JobStatus.SUCCEEDED, 5.0)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(TASKS, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_late_owner_does_not_count_uncontacted_hosts_as_silent(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_second, nodes=4)
            await hand_in(platform, "node0", JOB)
            await asyncio.sleep(0.5)
            platform.hosts.late_callers |= set(get_others(platform))
            platform.store.faults.latency_s = SLOW_STORE_S
            owner = get_owner(platform) or ""
            await platform.nodes[owner].assembled.node.stop(make_stop_budget(platform))
            platform.kill_node(owner)
            await wait_until(lambda: get_owner(platform) is not None)
            await asyncio.sleep(LATE_S)
            platform.hosts.late_callers.clear()
            platform.store.faults.latency_s = LATENCY_S
            await wait_for_status(platform, JOB.job_id, JobStatus.SUCCEEDED, 5.0)
            self.assertEqual(TASKS, len(platform.hosts.ledger.runs))

        run_virtual(work())
