"""Jobs while their pool's owner is killed, cut off or stopped."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.node.job_service import JobRequestOutcome
from robinthread._internal.standins.job_host_standin import TaskPlan
from tests.lib.job_platforms import (
    cancel,
    find_violations,
    get_others,
    get_owner,
    get_status,
    hand_in,
    hand_in_all,
    make_job,
    make_stop_budget,
    start_platform,
    wait_for_status,
    wait_until,
    wait_until_done,
)
from tests.lib.virtual import run_virtual


class ChangeOfOwnerTest(TestCase):
    def test_jobs_survive_a_killed_owner_without_running_twice(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(2.0, Resources(1000, 100)))
            specs = [make_job(number) for number in range(1, 6)]
            await hand_in_all(platform, "node0", specs)
            await asyncio.sleep(1)
            owner = get_owner(platform)
            assert owner is not None
            platform.kill_node(owner)
            took_s = await wait_until(lambda: get_owner(platform) is not None)
            self.assertTrue(took_s < 2.5, took_s)
            await wait_until_done(platform, specs)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(30, sum(run.end == "done" for run in platform.hosts.ledger.runs))

        run_virtual(work())

    def test_owner_cut_off_is_replaced_and_causes_no_violation_after_healing(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(2.0, Resources(1000, 100)))
            specs = [make_job(number) for number in range(1, 6)]
            await hand_in_all(platform, "node0", specs)
            await asyncio.sleep(0.8)
            old = get_owner(platform)
            assert old is not None
            platform.cut_node(old)
            await wait_until(lambda: any(get_owner_at(platform, name) for name in others))
            await asyncio.sleep(5)
            platform.heal_node(old)
            await wait_until_done(platform, specs)
            await asyncio.sleep(3)
            self.assertEqual([], find_violations(platform))

        others: list[str] = []

        def get_owner_at(platform, name: str) -> bool:  # type: ignore[no-untyped-def]
            owner = platform.nodes[name].assembled.owned.owners.get("press")
            return owner is not None and owner.is_open

        async def prepared() -> None:
            others.extend(["node0", "node1", "node2"])
            await work()

        run_virtual(prepared())

    def test_planned_stop_hands_over_at_once(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(2.0, Resources(1000, 100)))
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await asyncio.sleep(0.5)
            owner = get_owner(platform)
            assert owner is not None
            stopping = platform.nodes[owner].assembled.node
            await stopping.stop(make_stop_budget(platform))
            took_s = await wait_until(lambda: get_owner(platform) not in (None, owner))
            self.assertTrue(took_s < 0.5, took_s)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(6, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_all_nodes_killed_at_once_lose_nothing_and_run_nothing_twice(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(2.0, Resources(1000, 100)))
            specs = [make_job(number) for number in range(1, 6)]
            await hand_in_all(platform, "node1", specs)
            await asyncio.sleep(1.2)
            for name in list(platform.nodes):
                platform.kill_node(name)
            await asyncio.sleep(1)
            for name in ("node0", "node1", "node2"):
                platform.start_node(name)
            await wait_until_done(platform, specs)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_cancel_persists_across_a_change_of_owner(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(5.0, Resources(1000, 100)))
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await asyncio.sleep(0.5)
            owner = get_owner(platform)
            assert owner is not None
            other = get_others(platform)[0]
            self.assertEqual(JobRequestOutcome.DONE, await cancel(platform, other, spec.job_id))
            platform.kill_node(owner)
            await asyncio.sleep(6)
            self.assertTrue(all(run.ended_at_s for run in platform.hosts.ledger.runs))
            self.assertEqual(JobStatus.CANCELLED, await get_status(platform, other, spec.job_id))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
