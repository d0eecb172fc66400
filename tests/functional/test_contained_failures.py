"""One record, one subscriber, one job or one host that raises: it harms itself alone."""

import asyncio
from dataclasses import replace
from itertools import count
from typing import Any
from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.durable import job_index
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.node import pool_owner
from robinthread._internal.node.job_intake import JobIntake
from robinthread._internal.node.pool_owner import PoolOwner
from robinthread._internal.node.steward import Steward
from robinthread._internal.standins.platform_standin import HOSTS, OPERATORS
from tests.lib.event_lines import find_lines
from tests.lib.job_platforms import (
    POOL,
    POOLS,
    QUEUE,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_until,
)
from tests.lib.task_failures import (
    InjectedError,
    find_faults_of_listing,
    find_unfinished,
    list_pool_hosts,
    load_hosts,
    plan_wide,
    read_lines,
    start_loaded,
)
from tests.lib.virtual import run_virtual

# A pool that was given up is open again after this time.
REOPENED_MAX_S = 5.0


class OneOfManyTest(TestCase):
    def test_subscriber_of_the_host_list_that_raises_harms_no_other(self) -> None:
        """Guards against one pool's error that ends the following of hosts for all."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            directory = platform.nodes["node0"].assembled.node._context.host_directory

            def listener() -> None:
                raise InjectedError("subscriber")

            directory._listeners.insert(0, listener)
            self.assertEqual([], await find_faults_of_listing(platform))
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            self.assertTrue(read_lines(platform, "subscriber_failed"))

        run_virtual(work())

    def test_subscriber_of_the_inbox_that_raises_harms_no_other(self) -> None:
        """Guards against one pool's error that ends the reading of jobs for all."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=1, hosts=2)
            index = platform.nodes["node0"].assembled.node._context.job_index

            def listener(job: object) -> None:
                raise InjectedError("subscriber")

            index._listeners.insert(0, listener)
            jobs: list[Any] = []
            loading = asyncio.create_task(load_hosts(platform, "node0", jobs))
            await asyncio.sleep(3)
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            self.assertTrue(read_lines(platform, "subscriber_failed"))

        run_virtual(work())

    def test_pool_that_cannot_apply_the_host_list_is_given_up_at_once(self) -> None:
        """Guards against an owner that goes on by a list that it could not apply."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            owner = platform.nodes["node0"].assembled.owned.owners[POOL]

            with patch.object(owner._hosts, "_is_listed", side_effect=InjectedError("listing")):
                platform.list_host(list_pool_hosts(platform)[0])
                await wait_until(owner.fenced.is_set, limit_s=2)
            failed = read_lines(platform, "task_failed")
            self.assertEqual([POOL], [line.get("pool") for line in failed])
            await wait_until(lambda: get_owner(platform) is not None, limit_s=REOPENED_MAX_S)
            self.assertEqual([], await find_faults_of_listing(platform))
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_record_that_no_code_can_apply_harms_itself_alone(self) -> None:
        """Guards against an entry of another writer that ends the following of hosts."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            directory = platform.nodes["node0"].assembled.node._context.host_directory
            parse_host = directory._parse_host

            def parse(key: str, value: bytes) -> Any:
                if key == "odd":
                    raise InjectedError(key)
                return parse_host(key, value)

            directory._parse_host = parse
            platform.store.put(HOSTS, "odd", b"")
            self.assertEqual([], await find_faults_of_listing(platform))
            platform.store.put(HOSTS, "odd", b"")
            platform.store.expire_history()
            self.assertEqual([], await find_faults_of_listing(platform))
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))

        run_virtual(work())

    def test_job_that_no_code_can_load_harms_itself_alone(self) -> None:
        """Guards against a job that keeps its pool from being opened by any node."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=1, hosts=2)
            odd, *jobs = (make_job(number) for number in range(1, 5))
            real = JobIntake._handle

            def handle_job(intake: JobIntake, indexed: Any) -> None:
                if intake._runtime.pool == POOL and indexed.spec.job_id == odd.job_id:
                    raise InjectedError("job")
                real(intake, indexed)

            with patch.object(JobIntake, "_handle", handle_job):
                for job in (odd, *jobs):
                    await hand_in(platform, "node0", job)
                await asyncio.sleep(REOPENED_MAX_S)
                self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            failed = read_lines(platform, "task_failed")
            self.assertEqual([f"job/{odd.job_id}"], [line["task"] for line in failed])
            left_out = read_lines(platform, "job_left_out")
            self.assertEqual([odd.job_id], [line["job"] for line in left_out])

        run_virtual(work())

    def test_record_of_the_inbox_that_raises_harms_itself_alone(self) -> None:
        """Guards against one caller's record that ends the reading of all jobs."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=1, hosts=2)
            odd, *jobs = (make_job(number) for number in range(1, 5))
            real = job_index.parse_inbox_record

            def parse(record: Any) -> Any:
                if odd.job_id in record.key:
                    raise InjectedError("record")
                return real(record)

            with patch.object(job_index, "parse_inbox_record", parse):
                for job in (odd, *jobs):
                    await hand_in(platform, "node0", job)
                self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            self.assertTrue(read_lines(platform, "record_failed"))
            self.assertEqual([], read_lines(platform, "task_failed"))

        run_virtual(work())

    def test_record_of_the_operators_that_raises_harms_itself_alone(self) -> None:
        """Guards against one wave or one request that keeps the configuration from being read."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=1, hosts=2)
            node = platform.nodes["node0"].assembled

            def fail(value: bytes) -> Any:
                raise InjectedError("record")

            records = replace(node.config_holder._records, parse_wave=fail, parse_evacuation=fail)
            evacuations = node.node._context.evacuations
            with (
                patch.object(node.config_holder, "_records", records),
                patch.object(evacuations, "_records", records),
            ):
                platform.request_wave(UpkeepWave(7, ("m1",), 60.0, 1))
                platform.request_evacuation("h1")
                platform.configure(2, (QUEUE,), POOLS)
                await asyncio.sleep(2)
            config = node.config_holder.config
            self.assertEqual(2, config and config.version)
            failed = {key for line in read_lines(platform, "record_failed") for key in line["keys"]}
            self.assertEqual({"wave/7", "evacuate/h1"}, failed)
            self.assertEqual(3, len(platform.store.get_newest(OPERATORS)))

        run_virtual(work())


class RepeatedlyGivenUpTest(TestCase):
    def test_pool_whose_owners_all_fail_changes_its_owner_seldom(self) -> None:
        """Guards against a pool that goes to and fro as fast as it can be opened."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded(nodes=3)
            before = len(find_lines(platform, "pool_taken"))
            with patch.object(pool_owner, "place_waiting", side_effect=InjectedError("place")):
                await asyncio.sleep(20)
            taken = len(find_lines(platform, "pool_taken")) - before
            self.assertLess(taken, 20)
            self.assertGreater(taken, 3)
            await wait_until(lambda: get_owner(platform) is not None, limit_s=10)
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node2", jobs, limit_s=60))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())


class CancelledInsideTest(TestCase):
    """A call inside a task raises CancelledError, although nobody cancelled the task."""

    def test_fleet_whose_step_is_cancelled_inside_is_taken_again(self) -> None:
        """Guards against a steward that is neither at work nor dropped."""

        async def work() -> None:
            steps = count()
            real = Steward._step

            async def step(steward: Steward) -> None:
                if next(steps) == 20:
                    raise asyncio.CancelledError("inside")
                await real(steward)

            with patch.object(Steward, "_step", step):
                platform = await start_platform(plan_wide, nodes=2, hosts=2)
                await asyncio.sleep(10)
                before = next(steps)
                await asyncio.sleep(REOPENED_MAX_S)
                self.assertGreater(next(steps), before + 1)
            (failed,) = read_lines(platform, "steward_failed")
            taken = [line["token"] for line in read_lines(platform, "fleet_taken")]
            self.assertGreater(max(taken), failed["token"])

        run_virtual(work())

    def test_pool_whose_opening_is_cancelled_inside_is_opened_again(self) -> None:
        """Guards against an owner that is neither open nor dropped."""

        async def work() -> None:
            loads = count()
            real = PoolOwner._load_progress

            async def load(owner: PoolOwner) -> None:
                if owner.pool == POOL and not next(loads):
                    raise asyncio.CancelledError("inside")
                await real(owner)

            with patch.object(PoolOwner, "_load_progress", load):
                platform = await start_platform(plan_wide, nodes=2, hosts=2)
                await wait_until(lambda: get_owner(platform) is not None, limit_s=REOPENED_MAX_S)
            failed = read_lines(platform, "pool_open_failed")
            self.assertEqual([POOL], [line["pool"] for line in failed])

        run_virtual(work())

    def test_pool_whose_placing_is_cancelled_inside_is_given_up(self) -> None:
        """Guards against an owner that goes on without one of its tasks."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            real, failures = pool_owner.place_waiting, count()

            def place(*args: Any) -> int:
                if not next(failures):
                    raise asyncio.CancelledError("inside")
                return real(*args)

            with patch.object(pool_owner, "place_waiting", place):
                await asyncio.sleep(REOPENED_MAX_S)
            self.assertEqual(1, len(read_lines(platform, "task_failed")))
            await wait_until(lambda: get_owner(platform) is not None, limit_s=REOPENED_MAX_S)
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
