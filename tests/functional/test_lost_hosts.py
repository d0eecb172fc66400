"""How often a host that does not answer is looked at."""

import asyncio
from collections.abc import Callable

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import find_violations, get_owner, start_platform, wait_until
from tests.lib.lasting import (
    cut_host,
    get_first_host,
    get_longest_gap_s,
    kill_owner,
    list_runs,
    start_lasting,
)
from tests.lib.virtual import run_virtual

# An entry lapses so long after its host has ended.
LISTED_FOR_S = 4.0
# A look that is not answered, a list of machines, a step of the steward, and a start.
AGAIN_SOON_S = 1.2
# Looks after 0, 0.2, 0.6, 1.4, 2.4 and 3.4 s.
LOOKS_MAX = 8
# Looks each 0.2 s.
LOOKS_MIN = 12
# A look under way that will not be answered, and the longest pause.
BACK_MAX_S = 1.5
# Three hosts are needed for these.
SPREAD = StepSpec(5, cpu_millicores=1000, memory_mb=100, is_lasting=True, per_host_max=2)
# Two looks that time out, the pause between them, and two steps of the steward.
REPLACED_MAX_S = 0.4 + 0.2 + 0.4 + 0.2
# Moments of the second that a look lasts.
MOMENTS_S = (0.0, 0.25, 0.5, 0.75)
# Each host of a quiet pool runs one task that lasts.
QUIET_HOSTS = 12
ALONE = StepSpec(QUIET_HOSTS, cpu_millicores=1000, memory_mb=100, is_lasting=True, per_host_max=1)


async def count_looks(platform: PlatformStandin, host_id: str) -> int:
    """Count the looks at a host that refuses connections from now on, while it is listed."""
    host = next(host for host in platform.hosts.hosts.values() if host.record.id == host_id)
    platform.hosts.refused_routes |= {(name, host.record.address) for name in platform.nodes}
    await asyncio.sleep(0.1)
    platform.hosts.poll_counts.clear()
    await asyncio.sleep(LISTED_FOR_S)
    return platform.hosts.poll_counts[host_id]


async def lose_task(lose: Callable[[PlatformStandin, JobHostStandin], None]) -> float:
    """Lose the host of a lasting task; return for how long the task did not run."""
    platform = await start_lasting(hosts=4)
    lose(platform, get_first_host(platform))
    await asyncio.sleep(15)
    assert not find_violations(platform)
    return get_longest_gap_s(platform)


def crash_silently(platform: PlatformStandin, host: JobHostStandin) -> None:
    """End a host; nothing refuses connections where it was."""
    cut_host(platform, host)
    platform.crash_host(host.record.id)


class LostHostsTest(TestCase):
    def test_task_of_a_host_that_its_machine_has_no_more_runs_again_soon(self) -> None:
        """It waited for the lease of its host: 3.6 s in place of 0.7 s."""
        self.assertLess(run_virtual(lose_task(crash_silently)), AGAIN_SOON_S)

    def test_task_of_a_host_that_is_cut_off_runs_on_until_its_lease_is_over(self) -> None:
        """The list of machines shows it as before; no task may run twice meanwhile."""
        self.assertLess(run_virtual(lose_task(cut_host)), AGAIN_SOON_S)

    def test_host_on_which_nothing_runs_is_looked_at_less_and_less(self) -> None:
        async def work() -> None:
            platform = await start_platform(hosts=2)
            host = next(iter(platform.hosts.hosts.values()))
            self.assertLess(await count_looks(platform, host.record.id), LOOKS_MAX)

        run_virtual(work())

    def test_host_with_runs_is_looked_at_until_its_lease_is_over(self) -> None:
        async def work() -> None:
            platform = await start_lasting(hosts=2)
            host = get_first_host(platform)
            self.assertGreater(await count_looks(platform, host.record.id), LOOKS_MIN)

        run_virtual(work())

    def test_host_that_answers_again_is_heard_soon(self) -> None:
        async def work() -> None:
            platform = await start_platform(hosts=2)
            host = next(iter(platform.hosts.hosts.values()))
            owner = get_owner(platform)
            assert owner is not None
            way = (owner, host.record.address)
            platform.hosts.cut_routes.add(way)
            await asyncio.sleep(5)
            platform.hosts.cut_routes.discard(way)
            platform.hosts.poll_counts.clear()
            await asyncio.sleep(BACK_MAX_S)
            self.assertGreater(platform.hosts.poll_counts[host.record.id], 0)
            self.assertEqual(0, len(list_runs(platform)))

        run_virtual(work())

    def test_host_that_the_next_owner_never_hears_is_replaced_soon(self) -> None:
        async def work() -> None:
            platform = await start_lasting(hosts=3, reserve=2, step=SPREAD)
            moves_before = platform.machines.move_count
            cut_host(platform, get_first_host(platform))
            kill_owner(platform)
            await wait_until(lambda: get_owner(platform) is not None)
            took_s = await wait_until(lambda: platform.machines.move_count > moves_before)
            self.assertLess(took_s, REPLACED_MAX_S)

        run_virtual(work())

    def test_two_hosts_lost_at_once_leave_the_others_in_use(self) -> None:
        """Since the pool was taken, all its hosts answer in the same moment of each second."""

        async def work() -> None:
            platform = await start_lasting(hosts=QUIET_HOSTS, reserve=QUIET_HOSTS, step=ALONE)
            owner = kill_owner(platform)
            await asyncio.sleep(1)
            platform.start_node(owner)
            await asyncio.sleep(4)
            moves_before = platform.machines.move_count
            lost = [host for host in platform.hosts.hosts.values() if host.is_up][:2]
            for host in lost:
                platform.crash_host(host.record.id)
            await asyncio.sleep(15)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(len(lost), platform.machines.move_count - moves_before)
            self.assertEqual([], [run for run in list_runs(platform) if run.end == "stopped"])

        run_virtual(work())

    def test_two_hosts_cut_off_at_once_leave_the_others_in_use(self) -> None:
        """They say nothing at all, so that they might be the first of their hall."""

        async def work(moment_s: float) -> None:
            platform = await start_lasting(hosts=QUIET_HOSTS, reserve=QUIET_HOSTS, step=ALONE)
            owner = kill_owner(platform)
            await asyncio.sleep(1)
            platform.start_node(owner)
            await asyncio.sleep(4 + moment_s)
            moves_before = platform.machines.move_count
            lost = [host for host in platform.hosts.hosts.values() if host.is_up][:2]
            for host in lost:
                cut_host(platform, host)
            await asyncio.sleep(15)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(len(lost), platform.machines.move_count - moves_before)
            self.assertEqual([], [run for run in list_runs(platform) if run.end == "stopped"])

        for moment_s in MOMENTS_S:
            run_virtual(work(moment_s))
