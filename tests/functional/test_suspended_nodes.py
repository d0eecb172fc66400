"""Nodes whose machine is suspended for some seconds.

The monotonic clock, and with it the default time of an event loop, stops during a suspension,
while leases expire, other nodes take over and callers continue to wait.  An owner that had been
suspended for 10 s assumed that the store had confirmed it 0.1 s ago.  It granted leases of 4 s
that outlasted the time for which its successor waits.
"""

import asyncio
import time

from testtools import TestCase

from robinthread._internal.experiments.virtual_time import run_on_clock
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.node.pool_owner import PoolOwner
from robinthread._internal.node.pool_runtime import CAPACITIES_UNREAD_MAX_S, UNCONFIRMED_MAX_S
from robinthread._internal.standins.platform_standin import PlatformStandin
from robinthread._internal.utils.event_loop import ProcessLoop
from tests.lib.job_platforms import POOL, get_owner, hand_in, make_job, start_platform, wait_until
from tests.lib.suspended import Machine

# After a suspension of this length all confirmations and leases of an owner have expired.
LONG_S = 10.0
TASK = StepSpec(1, cpu_millicores=1000, memory_mb=100)


def get_pool_owner(platform: PlatformStandin) -> PoolOwner:
    """Return the pool's owner."""
    name = get_owner(platform)
    assert name is not None
    return platform.nodes[name].assembled.owned.owners[POOL]


class SuspendedNodesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.machine = Machine()

    def test_owner_detects_that_its_confirmations_and_leases_have_expired(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            await hand_in(platform, "node0", make_job(1, TASK))
            await wait_until(lambda: bool(platform.hosts.ledger.runs))
            owner = get_pool_owner(platform)
            host = owner.jobs.hosts[platform.hosts.ledger.runs[0].host_id]
            self.assertLess(owner.get_unconfirmed_s(), UNCONFIRMED_MAX_S)
            self.machine.suspend(LONG_S)
            self.assertGreater(owner.get_unconfirmed_s(), UNCONFIRMED_MAX_S)
            self.assertIsNone(owner._runtime.get_lease_ms())
            self.assertGreater(owner._context.get_hosts_unconfirmed_s(), CAPACITIES_UNREAD_MAX_S)
            self.assertGreater(asyncio.get_running_loop().time(), host.lease.over_at_s)

        run_on_clock(self.machine, work())

    def test_timers_due_during_a_suspension_fire_right_after_it(self) -> None:
        async def work() -> float:
            sleeping = asyncio.create_task(asyncio.sleep(5))
            await asyncio.sleep(0.1)
            self.machine.suspend(LONG_S)
            await sleeping
            return self.machine.awake_s

        self.assertLess(run_on_clock(self.machine, work()), 0.2)

    def test_event_loop_time_includes_suspensions(self) -> None:
        loop = ProcessLoop()
        self.addCleanup(loop.close)
        elapsed_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertLess(abs(loop.time() - elapsed_s), 1.0)
