"""Nodes that the store rejects while it serves the others."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.node.election import FLEET_POOL
from robinthread._internal.node.job_service import JobRequestOutcome
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
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


def get_fleet_owner(platform: PlatformStandin) -> str:
    """Return the node that owns the fleet pool according to the first node's table."""
    node = next(iter(platform.nodes.values())).assembled.node
    found = node._table.get(FLEET_POOL)
    return "" if found is None else found.owner.node


async def await_owners(platform: PlatformStandin, former: set[str]) -> float:
    """Wait until pool and fleet have owners other than ``former``; return how long that took."""

    def is_so() -> bool:
        served = next(name for name in platform.nodes if name not in former)
        table = platform.nodes[served].assembled.node._table
        found = [table.get(name) for name in (POOL, FLEET_POOL)]
        return all(one is not None and one.owner.node not in former for one in found)

    return await wait_until(is_so)


class TurnedAwayTest(TestCase):
    """The store rejects one or more nodes and serves the others."""

    def test_pools_are_transferred_at_once_to_a_served_node(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            owner = get_owner(platform)
            assert owner is not None
            platform.store.faults.refused.add(owner)
            took_s = await wait_until(lambda: get_owner(platform) not in (owner, None))
            self.assertLess(took_s, 1.0)
            spec = make_job(1)
            await hand_in(platform, get_others(platform)[0], spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_pools_and_fleet_are_transferred_at_once_from_several_rejected_nodes(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=5)
            turned_away = {get_owner(platform) or "", get_fleet_owner(platform)}
            self.assertEqual(2, len(turned_away))
            platform.store.faults.refused |= turned_away
            owners = await_owners(platform, turned_away)
            self.assertLess(await owners, 1.0)

        run_virtual(work())

    def test_running_tasks_continue_under_the_next_owner(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(3.0, Resources(1000, 100)))
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            platform.store.faults.refused.add(get_owner(platform) or "")
            took_s = await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertLess(took_s, 6.7)
            self.assertEqual(6, len(platform.hosts.ledger.runs))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_jobs_are_accepted_through_another_node(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            platform.store.faults.refused.add("node1")
            await asyncio.sleep(1.0)
            spec = make_job(1)
            self.assertEqual(JobRequestOutcome.DONE, await hand_in(platform, "node1", spec))
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            platform.store.faults.refused.add("*")
            self.assertEqual(
                JobRequestOutcome.REFUSED, await hand_in(platform, "node1", make_job(2))
            )
            platform.store.faults.refused.clear()
            await asyncio.sleep(5)
            self.assertEqual(6, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_pool_that_its_owner_could_not_release_is_served_again(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=1)
            node = platform.nodes["node0"].assembled
            owner = next(iter(node.owned.owners.values()))
            platform.store.faults.refused.add("*")
            owner.fenced.set()
            await asyncio.sleep(1.0)
            platform.store.faults.refused.clear()
            await wait_until(lambda: get_owner(platform) is not None, limit_s=10)
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)

        run_virtual(work())
