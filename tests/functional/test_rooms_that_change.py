"""Hosts whose capacity changes while they run, and that do not check it when they start tasks.

A start that was placed while a host had the capacity for it could be sent long after the host had
shrunk: it was queued behind other starts that the host did not answer, and was sent repeatedly.
On the stand-in a host of 16 cores shrank to 4 with 2 of them in use, and the queued starts brought
it to 16 cores in use 5 s later.
"""

import asyncio
import itertools
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.node_settings_standin import BOUNDS
from robinthread._internal.standins.platform_standin import HOSTS, PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOLS,
    find_violations,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until_done,
)
from tests.lib.lasting import restart_owner
from tests.lib.virtual import run_virtual

UNCHECKED = tuple(replace(pool, hosts_check_room=False) for pool in POOLS)
SMALL_CAPACITY = Resources(4_000, 32_000)
FULL = StepSpec(16, cpu_millicores=1000, memory_mb=100)
GANG = StepSpec(8, cpu_millicores=1000, memory_mb=100, is_gang=True)
COPIED = StepSpec(8, cpu_millicores=1000, memory_mb=100, allows_copies=True)
# Longer than the time after which a change of capacity must be known.
CHANGE_KNOWN_S = 5.0


async def start_unchecked(hosts: int = 1) -> PlatformStandin:
    """Start a platform whose hosts do not check their capacity."""
    platform = await start_platform(hosts=hosts, pools=UNCHECKED)
    platform.hosts_check_room = False
    return platform


def get_host(platform: PlatformStandin) -> JobHostStandin:
    """Return the platform's first host."""
    return next(iter(platform.hosts.hosts.values()))


class ChangingCapacityTest(TestCase):
    def test_host_that_shrinks_is_not_overcommitted(self) -> None:
        async def work() -> None:
            platform = await start_unchecked()
            specs = [make_job(number, FULL) for number in range(1, 4)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
            platform.resize_host(get_host(platform).record.id, SMALL_CAPACITY)
            await wait_until_done(platform, specs, 60)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_host_that_grows_again_is_filled_at_once(self) -> None:
        async def work() -> None:
            platform = await start_unchecked()
            platform.resize_host(get_host(platform).record.id, SMALL_CAPACITY)
            await asyncio.sleep(1)
            spec = make_job(1, FULL)
            await hand_in(platform, "node0", spec)
            await asyncio.sleep(0.5)
            platform.resize_host(get_host(platform).record.id, HOST_CAPACITY)
            self.assertLess(await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED), 2.0)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_queued_starts_are_not_sent_to_a_host_that_has_shrunk(self) -> None:
        for step in (FULL, GANG, COPIED):
            run_virtual(self._shrink_while_starts_wait(step))

    async def _shrink_while_starts_wait(self, step: StepSpec) -> None:
        platform = await start_unchecked()
        spec = make_job(1, step)
        # Orders are neither carried out nor answered.
        platform.hosts.faults.lost_share, platform.hosts.faults.late_s = 1.0, (1000.0, 1000.0)
        await hand_in(platform, "node0", spec)
        await asyncio.sleep(0.1)
        platform.resize_host(get_host(platform).record.id, Resources(2_000, 32_000))
        await asyncio.sleep(CHANGE_KNOWN_S)
        platform.hosts.faults.lost_share = 0.0
        await asyncio.sleep(2)
        self.assertEqual([], find_violations(platform))

    def test_hosts_with_an_unread_capacity_get_no_work(self) -> None:
        """The entries of hosts can't be read, while the store serves all other requests."""

        async def work() -> None:
            platform = await start_unchecked()
            platform.store.unreadable_topics.add(HOSTS.topic)
            platform.resize_host(get_host(platform).record.id, SMALL_CAPACITY)
            await asyncio.sleep(CHANGE_KNOWN_S)
            spec = make_job(1, FULL)
            await hand_in(platform, "node0", spec)
            await asyncio.sleep(3)
            platform.store.unreadable_topics.clear()
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_hosts_that_check_their_capacity_get_work_without_a_recent_read(self) -> None:
        """Their capacity needs no recent read; the bound on draining hosts is long here."""

        def set_long_drain(platform: PlatformStandin) -> None:
            platform.bounds = replace(BOUNDS, drain_ms=60_000)

        async def work() -> None:
            platform = await start_platform(hosts=1, prepare=set_long_drain)
            platform.store.unreadable_topics.add(HOSTS.topic)
            await asyncio.sleep(CHANGE_KNOWN_S)
            spec = make_job(1, FULL)
            await hand_in(platform, "node0", spec)
            self.assertLess(await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED), 2.0)

        run_virtual(work())

    def test_work_held_for_an_unread_list_of_hosts_starts_once_it_is_read(self) -> None:
        """A host may have begun to drain meanwhile, whether or not it checks its capacity."""

        async def work() -> None:
            platform = await start_platform(hosts=1)
            platform.store.unreadable_topics.add(HOSTS.topic)
            await asyncio.sleep(CHANGE_KNOWN_S)
            spec = make_job(1, FULL)
            await hand_in(platform, "node0", spec)
            await asyncio.sleep(3)
            self.assertEqual([], platform.hosts.ledger.runs)
            platform.store.unreadable_topics.clear()
            self.assertLess(await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED), 4.0)

        run_virtual(work())

    def test_next_owner_does_not_overcommit_hosts(self) -> None:
        async def work() -> None:
            platform = await start_unchecked(hosts=2)
            specs = [make_job(number, FULL) for number in range(1, 5)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
            for host in platform.hosts.hosts.values():
                platform.resize_host(host.record.id, SMALL_CAPACITY)
            await restart_owner(platform)
            await wait_until_done(platform, specs, 60)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_capacities_that_change_continuously_are_not_exceeded(self) -> None:
        """This includes stopped runs, which use their resources until they have ended."""

        async def work() -> None:
            platform = await start_unchecked(hosts=3)
            capacities = itertools.cycle((SMALL_CAPACITY, HOST_CAPACITY, Resources(9_000, 32_000)))
            specs = [make_job(number, FULL) for number in range(1, 13)]

            async def change() -> None:
                while True:
                    await asyncio.sleep(0.7)
                    for host in platform.hosts.hosts.values():
                        platform.resize_host(host.record.id, next(capacities))

            changing = asyncio.create_task(change())
            platform.hosts.faults.lost_share, platform.hosts.faults.late_s = 0.2, (0.5, 3.0)
            for spec in specs:
                await hand_in(platform, "node0", spec)
                await asyncio.sleep(0.5)
            platform.hosts.faults.lost_share = 0.0
            await wait_until_done(platform, specs, 60)
            changing.cancel()
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
