"""A workspace's limit over three pools with three owners."""

import asyncio
import json

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from tests.lib.job_platforms import find_violations, get_owner, wait_for_status, wait_until
from tests.lib.limited import (
    LIMIT,
    MAPS,
    POOLS,
    SHOP,
    TASK_RESOURCES,
    Feeder,
    UseSample,
    configure,
    get_steward,
    keep_sampling,
    sample_use,
    start_limited,
)
from tests.lib.virtual import run_virtual

# Each job has four tasks of two cores and 1 s.  OVERLOAD_PER_S jobs need six times the limit,
# PEAK_PER_S jobs most of it.
OVERLOAD_PER_S = 24.0
PEAK_PER_S = 3.5
# The platform's rules allow a task to wait this long if its workspace uses less than half of its
# limit and the pool has the capacity.
WAIT_MAX_S = 3.0
LOWERED_LIMIT = Resources(12_000, 0)


class WorkspaceLimitsTest(TestCase):
    def test_overload_in_all_pools_stays_within_the_limit_and_uses_most_of_it(self) -> None:
        async def work() -> None:
            platform = await start_limited()
            feeder, samples = Feeder(platform), list[UseSample]()
            sampling = asyncio.create_task(keep_sampling(platform, MAPS, LIMIT, samples))
            await asyncio.gather(*(feeder.feed(MAPS, pool, OVERLOAD_PER_S, 6) for pool in POOLS))
            sampling.cancel()
            self.assertEqual([], find_violations(platform))
            steady = [sample.part for sample in samples[20:]]
            self.assertGreater(sum(steady) / len(steady), 0.7)

        run_virtual(work())

    def test_pool_at_its_peak_gets_most_of_the_limit_and_then_the_next_pool(self) -> None:
        async def work() -> None:
            platform = await start_limited()
            feeder, reached = Feeder(platform), dict[str, float]()
            for pool in POOLS:
                began_at_s = asyncio.get_running_loop().time()
                samples: list[UseSample] = []
                sampling = asyncio.create_task(keep_sampling(platform, MAPS, LIMIT, samples))
                await feeder.feed(MAPS, pool, PEAK_PER_S, 5)
                sampling.cancel()
                reached[pool] = max(sample.by_pool[pool] for sample in samples)
                first = min(one.at_s for one in samples if one.by_pool[pool] > 0)
                self.assertLess(first - began_at_s, 1.0)
            self.assertEqual([], find_violations(platform))
            self.assertGreater(min(reached.values()), 0.7)

        run_virtual(work())

    def test_workspace_without_a_limit_is_not_held_back_by_one_that_is(self) -> None:
        async def work() -> None:
            platform = await start_limited()
            feeder = Feeder(platform)
            overload = asyncio.create_task(feeder.feed(MAPS, "press", OVERLOAD_PER_S, 6))
            await asyncio.sleep(3)
            spec = await feeder.hand_in(SHOP, "press")
            assert spec is not None
            took_s = await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertLess(took_s, 2.0)
            await overload

        run_virtual(work())

    def test_lowered_limit_stops_starts_until_enough_runs_have_ended(self) -> None:
        async def work() -> None:
            platform = await start_limited()
            feeder = Feeder(platform)
            # Lasting tasks in one pool use more than half of the limit permanently.
            for _ in range(3):
                await feeder.hand_in(MAPS, "press", is_lasting=True)
            await wait_until(lambda: sample_use(platform, MAPS, LIMIT).part > 0.6)
            overload = [asyncio.create_task(feeder.feed(MAPS, pool, 2.0, 14)) for pool in POOLS]
            await asyncio.sleep(3)
            configure(platform, 2, LOWERED_LIMIT)
            await asyncio.sleep(5)
            held = sample_use(platform, MAPS, LOWERED_LIMIT)
            # The lasting tasks continue, and no other task is started.
            self.assertAlmostEqual(24 / 12, held.part, places=3)
            configure(platform, 3, LIMIT)
            await wait_until(lambda: sample_use(platform, MAPS, LIMIT).part > 0.8, WAIT_MAX_S)
            await asyncio.gather(*overload)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_owner_that_the_steward_cannot_reach_uses_the_reserved_share(self) -> None:
        async def work() -> None:
            platform = await start_limited()
            feeder, steward = Feeder(platform), get_steward(platform)
            assert steward is not None
            # No node reaches the steward, which still reaches the store, and an owner is lost.
            pool = next(pool for pool in POOLS if get_owner(platform, pool) != steward)
            platform.cut_nodes.add(steward)
            lost = get_owner(platform, pool)
            assert lost is not None
            platform.kill_node(lost)
            await wait_until(lambda: get_owner(platform, pool) is not None)
            opened_at_s = asyncio.get_running_loop().time()
            await feeder.hand_in(MAPS, pool)
            await wait_until(lambda: bool(platform.hosts.ledger.runs), WAIT_MAX_S)
            self.assertLess(platform.hosts.ledger.runs[0].began_at_s - opened_at_s, WAIT_MAX_S)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_logs_and_gauge_show_why_jobs_wait_and_the_usage_of_their_workspace(self) -> None:
        async def work() -> None:
            platform = await start_limited()
            await Feeder(platform).feed(MAPS, "press", OVERLOAD_PER_S, 4)
            name = get_owner(platform, "press")
            assert name is not None
            parts = platform.nodes[name].assembled.status_reporter.read_workspace_parts()
            # It uses the limit except the reserved shares of the two other pools, in whole tasks.
            self.assertGreater(parts[f"press/{MAPS}"], 0.7)
            lines = [json.loads(line) for line in platform.events]
            waits = [line for line in lines if line["event"] == "job_waits"][-1]
            self.assertEqual((MAPS, True), (waits["workspace"], waits["waits_for_workspace"]))
            self.assertEqual(list(LIMIT.astuple()), waits["workspace_limit"])
            standings = [line for line in lines if line["event"] == "owner_standing"]
            told = [line for line in standings if line["pool"] == "press"][-1]
            self.assertIn(MAPS, told["workspaces"])

        run_virtual(work())

    def test_limit_of_one_task_lets_pools_start_tasks_in_turn(self) -> None:
        async def work() -> None:
            platform = await start_limited(limit=TASK_RESOURCES)
            feeder = Feeder(platform)
            specs = [await feeder.hand_in(MAPS, pool) for pool in POOLS]
            for spec in specs:
                assert spec is not None
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED, 30)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_limit_holds_after_the_loss_of_steward_and_an_owner(self) -> None:
        async def work() -> None:
            platform = await start_limited()
            feeder, samples = Feeder(platform), list[UseSample]()
            overload = [asyncio.create_task(feeder.feed(MAPS, pool, 10.0, 14)) for pool in POOLS]
            await asyncio.sleep(3)
            lost = {get_steward(platform), get_owner(platform, "cards")} - {None}
            for name in lost:
                assert name is not None
                platform.kill_node(name)
            sampling = asyncio.create_task(keep_sampling(platform, MAPS, LIMIT, samples))
            await asyncio.gather(*overload)
            sampling.cancel()
            self.assertEqual([], find_violations(platform))
            self.assertGreater(samples[-1].part, 0.5)

        run_virtual(work())
