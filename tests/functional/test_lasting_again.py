"""A lasting task runs again in time after any failure that ended its last run."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import NoReturn

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.peer_calls import PeerUnreachableError
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    find_violations,
    hand_in,
    make_job,
    wait_until,
)
from tests.lib.lasting import (
    AGAIN_MAX_S,
    LARGE,
    LASTING_JOB,
    LASTING_NUMBER,
    SMALL,
    cut_host,
    get_first_host,
    get_longest_gap_s,
    kill_owner,
    list_runs,
    restart_owner,
    start_lasting,
)
from tests.lib.virtual import run_virtual

# Late enough that the host's entry in the store is removed before its lease is certainly over.
LATE_RESTART_S = 4.0
# How long all nodes are without power.
POWER_LOSS_S = 1.0
# Longer than any lease that an owner granted: 6 s without the store, plus 4.2 s.
LONG_AGO_S = 12.0
# Longer than any wait that follows from a lease.
WATCH_S = 25.0
SPREAD = StepSpec(5, cpu_millicores=1000, memory_mb=100, is_lasting=True, per_host_max=2)
ALONE = StepSpec(3, cpu_millicores=1000, memory_mb=100, is_lasting=True, per_host_max=1)


async def lose_power(platform: PlatformStandin) -> None:
    """Kill all nodes at once and start them again after ``POWER_LOSS_S``."""
    names = list(platform.nodes)
    for name in names:
        platform.kill_node(name)
    await asyncio.sleep(POWER_LOSS_S)
    for name in names:
        platform.start_node(name)


class LastingAgainTest(TestCase):
    def _check(self, cause_failure: Callable[[PlatformStandin], Awaitable[None]]) -> None:
        """Cause a failure; each task must run again in time, and never twice at once."""

        async def work() -> None:
            platform = await start_lasting()
            await cause_failure(platform)
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))
            self.assertLess(get_longest_gap_s(platform), AGAIN_MAX_S)

        run_virtual(work())

    def test_host_lost_permanently_as_the_owner_is_killed(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)
            await restart_owner(platform)

        self._check(cause_failure)

    def test_host_and_owner_lost_permanently_at_once(self) -> None:
        """No process is left at the owner's address that could report that it has stopped."""

        async def cause_failure(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)
            kill_owner(platform)

        self._check(cause_failure)

    def test_host_lost_during_a_stop_of_all_nodes_long_after_an_owner_was_lost(self) -> None:
        """The restarted nodes find that owner in the store; its leases are over by then."""

        async def cause_failure(platform: PlatformStandin) -> None:
            kill_owner(platform)
            await asyncio.sleep(LONG_AGO_S)
            platform.crash_host(get_first_host(platform).record.id)
            await lose_power(platform)

        self._check(cause_failure)

    def test_owner_killed_while_a_host_is_cut_off(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            cut_host(platform, get_first_host(platform))
            await asyncio.sleep(3)
            await restart_owner(platform)

        self._check(cause_failure)

    def test_two_owners_killed_one_after_the_other(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            cut_host(platform, get_first_host(platform))
            await asyncio.sleep(2)
            for _ in range(2):
                await restart_owner(platform)

        self._check(cause_failure)

    def test_next_host_is_lost_as_well(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            lost = get_first_host(platform)
            platform.crash_host(lost.record.id)
            await restart_owner(platform)
            # Just before the first host's tasks are placed again, 7.0 s after it was lost.
            await asyncio.sleep(4.4)
            hosts = [host for host in platform.hosts.hosts.values() if host.is_up]
            for host in hosts:
                platform.crash_host(host.record.id)
            for number in range(2):
                platform.machines.add(POOL, f"r{number}", HOST_CAPACITY)

        self._check(cause_failure)

    def test_owner_cut_off_for_a_while_as_a_host_is_lost(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)
            owner = next(name for name in platform.nodes if _owns(platform, name))
            platform.cut_node(owner)
            await asyncio.sleep(3)
            platform.heal_node(owner)

        self._check(cause_failure)

    def test_lasting_tasks_wait_for_an_owner_that_still_reaches_their_host(self) -> None:
        """The owner is cut off from the store, and is the only one that reaches a host."""

        async def work(peers_are_cut: bool) -> None:
            platform = await start_lasting()
            host = get_first_host(platform)
            old = next(name for name in platform.nodes if _owns(platform, name))
            others = [name for name in platform.nodes if name != old]
            platform.hosts.cut_routes |= {(name, host.record.address) for name in others}
            # Any other host would report the next owner to it.
            away = platform.hosts.hosts.keys() - {host.record.address}
            platform.hosts.cut_routes |= {(old, address) for address in away}
            platform.store.faults.silent.add(old)
            platform.cut_nodes.add(old)
            await wait_until(lambda: any(_owns(platform, name) for name in others))
            if not peers_are_cut:
                # It does not learn that other nodes reach the store.
                platform.cut_nodes.discard(old)
                platform.nodes[old].assembled.node._handover._peers = _NoPeers()
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))
            self.assertEqual("lapsed", list_runs(platform)[0].end)

        for peers_are_cut in (True, False):
            run_virtual(work(peers_are_cut))

    def test_pool_full_of_small_tasks_frees_capacity_for_a_large_one(self) -> None:
        """A host is lost; the others have capacity only for a small task when one ends."""

        def plan(task: TaskKey) -> TaskPlan:
            if task.job_id == LASTING_JOB:
                return TaskPlan(None, LARGE.resources)
            return TaskPlan(1.0 + 0.13 * task.index, SMALL.resources)

        async def submit_jobs(platform: PlatformStandin) -> None:
            for number in itertools.count(LASTING_NUMBER + 1):
                await hand_in(platform, next(iter(platform.nodes)), make_job(number, SMALL))
                await asyncio.sleep(0.25)

        async def work() -> None:
            platform = await start_lasting(hosts=3, step=LARGE, plan_task=plan)
            submitting = asyncio.create_task(submit_jobs(platform))
            await asyncio.sleep(3)
            platform.crash_host(get_first_host(platform).record.id)
            await asyncio.sleep(WATCH_S)
            submitting.cancel()
            self.assertEqual([], find_violations(platform))
            self.assertLess(get_longest_gap_s(platform), AGAIN_MAX_S)

        run_virtual(work())

    def test_lost_host_is_not_treated_as_an_arriving_one(self) -> None:
        """The store does not list it any more but the list of machines does; it is replaced."""

        async def work() -> None:
            platform = await start_lasting(hosts=3, reserve=2, step=SPREAD)
            moves_before = platform.machines.move_count
            platform.crash_host(get_first_host(platform).record.id)
            owner = kill_owner(platform)
            await asyncio.sleep(LATE_RESTART_S)
            platform.start_node(owner)
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))
            self.assertLess(get_longest_gap_s(platform), AGAIN_MAX_S)
            self.assertEqual(1, platform.machines.move_count - moves_before)

        run_virtual(work())

    def test_replacement_of_a_lost_host_stays_after_a_restart_of_all_nodes(self) -> None:
        """The list of machines shows the lost host as up, and no owner has reported it."""

        async def work() -> None:
            platform = await start_lasting(hosts=3, reserve=2, step=ALONE)
            moves_before = platform.machines.move_count
            platform.crash_host(get_first_host(platform).record.id)
            await lose_power(platform)
            # By the second loss the pool has another host, and the lost one's entry is removed.
            await asyncio.sleep(2.5)
            await lose_power(platform)
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(1, platform.machines.move_count - moves_before)

        run_virtual(work())

    def test_lost_host_that_was_moved_last_is_replaced_once(self) -> None:
        """The last steward moved its machine long before the loss and has ordered nothing since."""

        async def work() -> None:
            platform = await start_lasting(hosts=3, reserve=2, step=ALONE)
            platform.crash_host(get_first_host(platform).record.id)
            await asyncio.sleep(WATCH_S)
            moves_before = platform.machines.move_count
            self.assertEqual(ALONE.task_count + 1, len(list_runs(platform)))
            platform.crash_host(list_runs(platform)[-1].host_id)
            await lose_power(platform)
            await asyncio.sleep(2.5)
            await lose_power(platform)
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(1, platform.machines.move_count - moves_before)

        run_virtual(work())


class _NoPeers:
    """Peers that never respond."""

    async def send_request(self, address: str, *rest: object) -> NoReturn:
        """Raise the error of an unreachable peer."""
        raise PeerUnreachableError(address)


def _owns(platform: PlatformStandin, node: str) -> bool:
    return POOL in platform.nodes[node].assembled.owned.owners
