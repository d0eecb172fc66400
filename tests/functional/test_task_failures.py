"""Background tasks of a node that fail: none ends unseen, and the node serves on."""

import asyncio
from typing import Any
from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.node.job_service import JobRequestOutcome
from robinthread._internal.standins.platform_standin import HOSTS
from robinthread._internal.standins.store_standin import StoreClient
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    find_violations,
    get_others,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_until,
)
from tests.lib.task_failures import (
    InjectedError,
    drain,
    fail_repeatedly,
    fail_task,
    find_faults_of_listing,
    find_unfinished,
    list_background_tasks,
    list_pool_hosts,
    plan_wide,
    read_lines,
    start_loaded,
    wait_for_background,
)
from tests.lib.virtual import run_virtual

# A pool that was given up is open again after this time.
REOPENED_MAX_S = 5.0
# A node whose task keeps failing has passed its pools on after this time.
GIVEN_UP_MAX_S = 5.0
# The steward's failure has a line of its own, because another steward follows it.
STEWARD = "fleet/machines"


async def list_names() -> list[str]:
    platform = await start_platform(plan_wide, nodes=1, hosts=2)
    return sorted(list_background_tasks("node0")) if platform.nodes else []


async def find_faults_after_failure(name: str) -> list[str]:
    """Fail one background task of the only node; describe what it does not do afterwards."""
    platform, jobs, loading = await start_loaded()
    await fail_task(list_background_tasks("node0")[name])
    await asyncio.sleep(REOPENED_MAX_S)
    faults = [] if await wait_for_background("node0", name) else ["the task is gone"]
    if name == STEWARD:
        is_told = bool(read_lines(platform, "steward_failed"))
    else:
        is_told = name in [line.get("task") for line in read_lines(platform, "task_failed")]
    if not is_told:
        faults.append("no line")
    faults += await find_faults_of_listing(platform)
    loading.cancel()
    faults += await find_unfinished(platform, "node0", jobs)
    if not platform.nodes["node0"].assembled.readiness.check():
        faults.append("not ready")
    return faults + find_violations(platform)


class OneFailureTest(TestCase):
    def test_node_serves_on_after_a_failure_of_any_of_its_tasks(self) -> None:
        """Guards against a task that ends for good: each name that runs on a node is failed."""
        names = run_virtual(list_names())
        self.assertLess({"hosts", "inbox", "owners", "operators", "member"}, set(names))
        found = {
            name: faults
            for name in names
            if (faults := run_virtual(find_faults_after_failure(name)))
        }
        self.assertEqual({}, found)


class InboxWriterTest(TestCase):
    def test_append_that_raises_ends_its_batch_alone(self) -> None:
        """Guards against a writer whose lane is taken for good by a batch that failed."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=1, hosts=2)
            real = StoreClient.append

            async def append(client: Any, partition: Any, *args: Any, **options: Any) -> Any:
                if partition == INBOX_PARTITION:
                    raise InjectedError("append")
                return await real(client, partition, *args, **options)

            with patch.object(StoreClient, "append", append):
                outcome = await hand_in(platform, "node0", make_job(1))
            self.assertNotEqual(JobRequestOutcome.DONE, outcome)
            self.assertEqual(
                ["inbox_writer"], [line["task"] for line in read_lines(platform, "task_failed")]
            )
            jobs = [make_job(number) for number in (2, 3)]
            for job in jobs:
                self.assertEqual(JobRequestOutcome.DONE, await hand_in(platform, "node0", job))
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))

        run_virtual(work())


class RepeatedFailureTest(TestCase):
    def _check(self, name: str) -> None:
        async def work() -> None:
            platform, jobs, loading = await start_loaded(nodes=3)
            owner = get_owner(platform) or ""
            readiness = platform.nodes[owner].assembled.readiness
            failing = asyncio.create_task(fail_repeatedly(owner, name))
            await asyncio.sleep(GIVEN_UP_MAX_S)
            self.assertNotIn(get_owner(platform), (owner, None))
            self.assertFalse(readiness.check())
            self.assertIn(name, read_lines(platform, "unready")[-1]["reason"])
            self.assertEqual([], await find_faults_of_listing(platform))
            self.assertFalse(readiness.check())
            failing.cancel()
            await wait_until(readiness.check, limit_s=20)
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node2", jobs))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_pools_move_from_a_node_whose_host_list_keeps_failing(self) -> None:
        """Guards against an owner that goes on by an old list of hosts."""
        self._check("hosts")

    def test_pools_move_from_a_node_whose_inbox_keeps_failing(self) -> None:
        """Guards against an owner that never sees the jobs that other nodes accept."""
        self._check("inbox")

    def test_pools_stay_where_they_are_while_a_task_fails_on_all_nodes(self) -> None:
        """Guards against pools that go to and fro between nodes of which none is better."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded(nodes=3)
            failing = [
                asyncio.create_task(fail_repeatedly(name, "settings")) for name in platform.nodes
            ]
            await asyncio.sleep(GIVEN_UP_MAX_S)
            before = len(read_lines(platform, "pool_taken"))
            await asyncio.sleep(20)
            self.assertLessEqual(len(read_lines(platform, "pool_taken")) - before, 1)
            for task in failing:
                task.cancel()
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node2", jobs))

        run_virtual(work())

    def test_pool_of_a_lost_owner_goes_past_a_node_whose_task_keeps_failing(self) -> None:
        """Guards against a free pool that all nodes leave to one that can't own it."""

        async def work() -> None:
            for seed in range(3):
                platform = await start_platform(plan_wide, nodes=3, hosts=2, seed=seed)
                weak = get_others(platform)[seed % 2]
                failing = asyncio.create_task(fail_repeatedly(weak, "hosts"))
                await asyncio.sleep(GIVEN_UP_MAX_S)
                platform.kill_node(get_owner(platform) or "")
                await asyncio.sleep(GIVEN_UP_MAX_S + REOPENED_MAX_S)
                self.assertNotIn(get_owner(platform), (weak, None))
                failing.cancel()
                # The next platform's nodes, and so their tasks, have the same names.
                for name in list(platform.nodes):
                    platform.kill_node(name)

        run_virtual(work())

    def test_only_node_serves_on_while_a_task_keeps_failing(self) -> None:
        """Guards against a total outage by giving up what no other node can take."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            failing = asyncio.create_task(fail_repeatedly("node0", "settings"))
            await asyncio.sleep(10)
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            lines = read_lines(platform, "task_failed")
            self.assertLess(len(lines), 12)
            self.assertGreater(len(lines), 4)
            failing.cancel()

        run_virtual(work())


class AgeTest(TestCase):
    def test_read_that_never_returns_is_given_up(self) -> None:
        """Guards against a follower that hangs for good on one call."""
        self._check_hanging("read")

    def test_snapshot_that_never_returns_is_given_up(self) -> None:
        """Guards against a follower that hangs for good on the first read after a failure."""
        self._check_hanging("read_newest")

    def _check_hanging(self, call: str) -> None:
        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            real = getattr(StoreClient, call)
            hung: list[Any] = []

            async def make_call(client: Any, partition: Any, *args: Any) -> Any:
                if partition == HOSTS and not hung:
                    hung.append(partition)
                    await asyncio.Event().wait()
                return await real(client, partition, *args)

            with patch.object(StoreClient, call, make_call):
                if call == "read_newest":
                    await fail_task(list_background_tasks("node0")["hosts"])
                await wait_until(lambda: bool(hung))
                await asyncio.sleep(3)
                self.assertEqual([], await find_faults_of_listing(platform))
            lost = read_lines(platform, "store_lost")
            self.assertIn(HOSTS.topic, [line["topic"] for line in lost])
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))

        run_virtual(work())

    def test_old_host_list_is_told_and_its_age_shown(self) -> None:
        """Guards against a list of hosts that grows old without a line or a figure."""

        async def work() -> None:
            platform, _, loading = await start_loaded()
            node = platform.nodes["node0"].assembled
            platform.store.unreadable_by.add(("node0", HOSTS.topic))
            await asyncio.sleep(5)
            self.assertEqual(
                [HOSTS.topic], [x["topic"] for x in read_lines(platform, "view_stale")]
            )
            self.assertGreater(node.views.read_ages()[HOSTS.topic], 4)
            platform.store.unreadable_by.clear()
            await asyncio.sleep(4)
            fresh = read_lines(platform, "view_fresh")
            self.assertEqual([HOSTS.topic], [line["topic"] for line in fresh])
            self.assertGreater(fresh[0]["stale_for_s"], 4)
            self.assertLess(node.views.read_ages()[HOSTS.topic], 2)
            self.assertEqual(
                platform.store.get_log(HOSTS).end, node.views.read_offsets()[HOSTS.topic]
            )
            loading.cancel()

        run_virtual(work())

    def test_change_of_a_host_is_told_once_with_its_offset(self) -> None:
        """Guards against a drain of which no line tells when a node knew of it."""

        async def work() -> None:
            platform, _, loading = await start_loaded()
            host = list_pool_hosts(platform)[0]
            drain(platform, host)
            offset = platform.store.get_log(HOSTS).end - 1
            await asyncio.sleep(1)
            drain(platform, host)
            platform.machines.add(POOL, "r1", HOST_CAPACITY)
            await asyncio.sleep(2)
            draining = read_lines(platform, "host_draining")
            self.assertEqual([([host.id], offset)], [(x["hosts"], x["offset"]) for x in draining])
            self.assertLess(draining[0]["unread_for_s"], 1)
            listed = [
                name for line in read_lines(platform, "host_listed") for name in line["hosts"]
            ]
            self.assertEqual(
                sorted({host.id for host in list_pool_hosts(platform)}), sorted(listed)
            )
            loading.cancel()

        run_virtual(work())

    def test_views_that_are_followed_are_never_told_as_old(self) -> None:
        """Guards against false alarms: idle partitions are confirmed by each long poll."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=3, hosts=2)
            await asyncio.sleep(30)
            self.assertEqual([], read_lines(platform, "view_stale"))

        run_virtual(work())
