"""Polling and replacement of unresponsive hosts."""

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

# Time from the end of a host until its entry lapses.
LISTED_FOR_S = 4.0
# A poll without a response, a list of machines, a step of the steward, and a start.
RESTARTED_MAX_S = 1.2
# Above the number of polls after 0, 0.2, 0.6, 1.4, 2.4 and 3.4 s.
POLLS_MAX = 8
# Below the number of polls every 0.2 s.
POLLS_MIN = 12
# A pending poll that gets no response, and the longest pause.
POLLED_AGAIN_MAX_S = 1.5
# These tasks need three hosts.
SPREAD = StepSpec(5, cpu_millicores=1000, memory_mb=100, is_lasting=True, per_host_max=2)
# Two polls that time out, the pause between them, and two steps of the steward.
REPLACED_MAX_S = 0.4 + 0.2 + 0.4 + 0.2
# Offsets within the second that a poll lasts.
OFFSETS_S = (0.0, 0.25, 0.5, 0.75)
# Each host of a quiet pool runs one lasting task.
QUIET_HOSTS = 12
ALONE = StepSpec(QUIET_HOSTS, cpu_millicores=1000, memory_mb=100, is_lasting=True, per_host_max=1)


async def count_polls(platform: PlatformStandin, host_id: str) -> int:
    """Count the polls of a host that refuses connections from now on, while it is listed."""
    host = next(host for host in platform.hosts.hosts.values() if host.record.id == host_id)
    platform.hosts.refused_routes |= {(name, host.record.address) for name in platform.nodes}
    await asyncio.sleep(0.1)
    platform.hosts.poll_counts.clear()
    await asyncio.sleep(LISTED_FOR_S)
    return platform.hosts.poll_counts[host_id]


async def measure_lost_task_s(lose: Callable[[PlatformStandin, JobHostStandin], None]) -> float:
    """Lose the host of a lasting task; return for how many seconds the task did not run."""
    platform = await start_lasting(hosts=4)
    lose(platform, get_first_host(platform))
    await asyncio.sleep(15)
    assert not find_violations(platform)
    return get_longest_gap_s(platform)


def crash_silently(platform: PlatformStandin, host: JobHostStandin) -> None:
    """End a host so that connections to its address time out instead of being refused."""
    cut_host(platform, host)
    platform.crash_host(host.record.id)


class LostHostsTest(TestCase):
    def test_task_of_a_host_that_its_machine_no_longer_has_is_restarted_soon(self) -> None:
        """The task used to wait for its host's lease: 3.6 s instead of 0.7 s."""
        self.assertLess(run_virtual(measure_lost_task_s(crash_silently)), RESTARTED_MAX_S)

    def test_task_of_a_cut_off_host_runs_until_its_lease_lapses(self) -> None:
        """The list of machines still shows the host; no task may run twice meanwhile."""
        self.assertLess(run_virtual(measure_lost_task_s(cut_host)), RESTARTED_MAX_S)

    def test_host_without_runs_is_polled_less_and_less_often(self) -> None:
        async def work() -> None:
            platform = await start_platform(hosts=2)
            host = next(iter(platform.hosts.hosts.values()))
            self.assertLess(await count_polls(platform, host.record.id), POLLS_MAX)

        run_virtual(work())

    def test_host_with_runs_is_polled_until_its_lease_lapses(self) -> None:
        async def work() -> None:
            platform = await start_lasting(hosts=2)
            host = get_first_host(platform)
            self.assertGreater(await count_polls(platform, host.record.id), POLLS_MIN)

        run_virtual(work())

    def test_host_that_responds_again_is_polled_soon(self) -> None:
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
            await asyncio.sleep(POLLED_AGAIN_MAX_S)
            self.assertGreater(platform.hosts.poll_counts[host.record.id], 0)
            self.assertEqual(0, len(list_runs(platform)))

        run_virtual(work())

    def test_host_that_never_responds_to_the_next_owner_is_replaced_soon(self) -> None:
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
        """All hosts of a newly acquired pool would respond at the same moment of each second."""

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
        """Silent hosts look like the first ones of a failed data hall."""

        async def work(offset_s: float) -> None:
            platform = await start_lasting(hosts=QUIET_HOSTS, reserve=QUIET_HOSTS, step=ALONE)
            owner = kill_owner(platform)
            await asyncio.sleep(1)
            platform.start_node(owner)
            await asyncio.sleep(4 + offset_s)
            moves_before = platform.machines.move_count
            lost = [host for host in platform.hosts.hosts.values() if host.is_up][:2]
            for host in lost:
                cut_host(platform, host)
            await asyncio.sleep(15)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(len(lost), platform.machines.move_count - moves_before)
            self.assertEqual([], [run for run in list_runs(platform) if run.end == "stopped"])

        for offset_s in OFFSETS_S:
            run_virtual(work(offset_s))
