"""Planned stops of nodes on the stand-in of the platform while the store fails."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.node.peer_messages import StoreStatusRequest, StoreStatusResponse
from robinthread._internal.node.stop_budget import BUDGET_SHARE
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.node_settings_standin import BOUNDS
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    find_violations,
    get_owner,
    hand_in,
    make_job,
    make_stop_budget,
    start_platform,
    wait_for_status,
)
from tests.lib.virtual import run_virtual

BUDGET_S = BOUNDS.stop_grace_s * BUDGET_SHARE
LOST_SHARE = 0.5
LATE_MAX_S = 1.0
SEEDS = range(8)


async def stop_owner(platform: PlatformStandin) -> tuple[float, list[str]]:
    """Stop and kill the pool's owner; return how long the stop took and its unfinished parts."""
    owner = get_owner(platform)
    assert owner is not None
    budget, began_at_s = make_stop_budget(platform), asyncio.get_running_loop().time()
    await platform.nodes[owner].assembled.node.stop(budget)
    took_s = asyncio.get_running_loop().time() - began_at_s
    platform.kill_node(owner)
    return took_s, budget.unfinished_parts


class StopsOnPlatformTest(TestCase):
    def test_stop_stays_within_its_budget_while_the_store_fails(self) -> None:
        async def work(name: str, seed: int) -> None:
            platform = await start_platform(
                lambda task: TaskPlan(2.0, Resources(1000, 100)), seed=seed
            )
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await asyncio.sleep(0.5)
            faults = platform.store.faults
            if name == "lost":
                faults.lost_share, faults.late_s = LOST_SHARE, (0.0, LATE_MAX_S)
            else:
                getattr(faults, name).add("*")
            took_s, left = await stop_owner(platform)
            self.assertLessEqual(took_s, BUDGET_S + 0.01)
            if name != "lost":
                self.assertEqual(["release", "leave"], left)
                getattr(faults, name).clear()
            faults.lost_share = 0.0
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED, 40)
            self.assertEqual([], find_violations(platform))

        for name, seeds in (("silent", (1,)), ("refused", (1,)), ("lost", SEEDS)):
            for seed in seeds:
                run_virtual(work(name, seed))

    def test_stopping_node_takes_over_no_pool(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            owner = get_owner(platform)
            assert owner is not None
            node = platform.nodes[owner].assembled
            # Leaving takes as long as a call may, and other nodes still see it as a member.
            platform.store.faults.silent.add(owner)
            stop = asyncio.create_task(node.node.stop(make_stop_budget(platform)))
            await asyncio.sleep(0.1)
            answer = await node.request_handler.handle(StoreStatusRequest())
            assert isinstance(answer, StoreStatusResponse)
            self.assertFalse(answer.is_served)
            await stop

        run_virtual(work())
