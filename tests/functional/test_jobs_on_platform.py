"""Jobs on the platform's stand-in, from acceptance to the last answer."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.node.election import FLEET
from robinthread._internal.node.job_gate import GateOutcome
from robinthread._internal.node.pool_owner import PROGRESS_TOPIC
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import STATUS, PlatformStandin
from tests.lib.job_platforms import (
    POOL,
    ROOM,
    cancel,
    find_breaks,
    get_others,
    get_owner,
    get_status,
    hand_in,
    make_job,
    make_stop_budget,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.virtual import run_virtual


class WholePathTest(TestCase):
    def test_job_handed_in_at_one_node_is_found_and_done_at_another(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_job(1)
            self.assertEqual(GateOutcome.DONE, await hand_in(platform, "node0", spec))
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            for name in platform.nodes:
                status = await get_status(platform, name, spec.job_id)
                self.assertEqual(JobStatus.SUCCEEDED, status)
            self.assertEqual(6, len(platform.hosts.ledger.runs))
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_job_cancelled_at_a_third_node_stops_and_starts_nothing_more(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            self.assertEqual(GateOutcome.DONE, await cancel(platform, "node2", spec.job_id))
            await asyncio.sleep(3.5)
            status = await get_status(platform, "node1", spec.job_id)
            self.assertEqual(JobStatus.CANCELLED, status)
            self.assertEqual(4, len(platform.hosts.ledger.runs))
            self.assertEqual({"stopped"}, {run.end for run in platform.hosts.ledger.runs})

        run_virtual(work())

    def test_same_id_at_three_nodes_at_once_is_one_job(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_job(7)
            outcomes = await asyncio.gather(
                *(hand_in(platform, name, spec) for name in platform.nodes)
            )
            self.assertEqual([GateOutcome.DONE] * 3, outcomes)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            await hand_in(platform, "node1", spec)
            await asyncio.sleep(3)
            self.assertEqual(6, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_lost_append_replies_make_one_job_each(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            platform.store.faults.lost_share = 0.4
            specs = [make_job(number) for number in range(1, 6)]
            nodes = list(platform.nodes)
            outcomes = await asyncio.gather(
                *(hand_in(platform, nodes[number % 3], spec) for number, spec in enumerate(specs))
            )
            platform.store.faults.lost_share = 0.0
            self.assertTrue(set(outcomes) <= {GateOutcome.DONE, GateOutcome.UNKNOWN})
            for spec in specs:
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual(30, len(platform.hosts.ledger.runs))
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_unknown_job_is_told_from_one_that_cannot_be_looked_up(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            gate = platform.nodes["node0"].assembled.gate
            from tests.lib.job_platforms import QUEUE

            told = await gate.get_status(QUEUE, "f" * 16)
            self.assertEqual(GateOutcome.NO_SUCH_JOB, told.outcome)
            platform.store.faults.silent.add("*")
            told = await gate.get_status(QUEUE, "f" * 16)
            self.assertEqual(GateOutcome.OWNER_UNREACHABLE, told.outcome)

        run_virtual(work())

    def test_caller_hears_soon_that_the_outcome_is_unknown(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            platform.store.faults.silent.add("*")
            loop = asyncio.get_running_loop()
            began_at_s = loop.time()
            outcome = await hand_in(platform, "node0", make_job(1))
            self.assertEqual(GateOutcome.UNKNOWN, outcome)
            self.assertLess(loop.time() - began_at_s, 1.5)

        run_virtual(work())

    def test_refused_job_never_runs(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            for name in platform.nodes:
                platform.store.faults.refused.add(name)
            for number, name in enumerate(platform.nodes):
                refused = await hand_in(platform, name, make_job(number))
                self.assertEqual(GateOutcome.REFUSED, refused)
            platform.store.faults.refused.clear()
            await asyncio.sleep(10)
            self.assertEqual([], platform.hosts.ledger.runs)

        run_virtual(work())


class HostsTest(TestCase):
    def test_silent_host_keeps_its_tasks_until_its_lease_has_lapsed(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(6.0, Resources(1000, 100)))
            spec = make_job(1, StepSpec(4, cpu_millicores=1000))
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            run = platform.hosts.ledger.runs[0]
            host = next(
                host for host in platform.hosts.hosts.values() if host.record.id == run.host_id
            )
            platform.hosts.cut_ways |= {(name, host.record.address) for name in platform.nodes}
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_breaks(platform))
            self.assertEqual("lapsed", run.end)

        run_virtual(work())

    def test_orders_carried_out_late_run_no_task_twice(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            platform.hosts.faults.lost_share = 0.2
            platform.hosts.faults.late_s = (2.0, 12.0)
            specs = [make_job(number) for number in range(1, 9)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
            await asyncio.sleep(6)
            platform.hosts.faults.lost_share = 0.0
            for spec in specs:
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            await asyncio.sleep(15)
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_host_that_fails_all_is_left_out_and_the_jobs_are_done(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            bad = next(iter(platform.hosts.hosts.values()))
            bad.fails_all = True
            specs = [make_job(number) for number in range(1, 13)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
            for spec in specs:
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            failed = [run for run in platform.hosts.ledger.runs if run.end == "failed"]
            self.assertTrue(len(failed) <= 24, len(failed))

        run_virtual(work())

    def test_jobs_that_can_never_be_done_keep_no_host_from_others(self) -> None:
        async def work() -> None:
            hopeless = {make_job(number).job_id for number in range(1, 9)}

            def plan(task: TaskKey) -> TaskPlan:
                end = RunEnd.FAILED if task.job_id in hopeless else RunEnd.DONE
                return TaskPlan(0.2, Resources(1000, 100), end)

            platform = await start_platform(plan, hosts=2)
            for number in range(1, 9):
                await hand_in(platform, "node0", make_job(number))
            await asyncio.sleep(0.5)
            spec = make_job(9)
            await hand_in(platform, "node0", spec)
            took_s = await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertTrue(took_s < 2, took_s)

        run_virtual(work())

    def test_job_that_can_never_be_done_fails_after_its_attempts(self) -> None:
        async def work() -> None:
            def plan(task: TaskKey) -> TaskPlan:
                end = RunEnd.FAILED if task.index == 2 else RunEnd.DONE
                return TaskPlan(0.3, Resources(1000, 100), end)

            platform = await start_platform(plan)
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.FAILED)
            failed = [run for run in platform.hosts.ledger.runs if run.end == "failed"]
            numbers = [run.number for run in failed]
            self.assertEqual(3, len(numbers))
            self.assertEqual(sorted(set(numbers)), numbers)

        run_virtual(work())


class ChangeOfOwnerTest(TestCase):
    def test_jobs_survive_a_killed_owner_without_running_twice(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(2.0, Resources(1000, 100)))
            specs = [make_job(number) for number in range(1, 6)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
            await asyncio.sleep(1)
            owner = get_owner(platform)
            assert owner is not None
            platform.kill_node(owner)
            took_s = await wait_until(lambda: get_owner(platform) is not None)
            self.assertTrue(took_s < 2.5, took_s)
            for spec in specs:
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_breaks(platform))
            self.assertEqual(30, sum(run.end == "done" for run in platform.hosts.ledger.runs))

        run_virtual(work())

    def test_owner_cut_off_is_replaced_and_does_no_harm_when_it_is_back(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(2.0, Resources(1000, 100)))
            specs = [make_job(number) for number in range(1, 6)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
            await asyncio.sleep(0.8)
            old = get_owner(platform)
            assert old is not None
            platform.cut_node(old)
            await wait_until(lambda: any(get_owner_at(platform, name) for name in others))
            await asyncio.sleep(5)
            platform.heal_node(old)
            for spec in specs:
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            await asyncio.sleep(3)
            self.assertEqual([], find_breaks(platform))

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
            self.assertEqual([], find_breaks(platform))
            self.assertEqual(6, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_all_nodes_killed_at_once_lose_nothing_and_run_nothing_twice(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(2.0, Resources(1000, 100)))
            specs = [make_job(number) for number in range(1, 6)]
            for spec in specs:
                await hand_in(platform, "node1", spec)
            await asyncio.sleep(1.2)
            for name in list(platform.nodes):
                platform.kill_node(name)
            await asyncio.sleep(1)
            for name in ("node0", "node1", "node2"):
                platform.start_node(name)
            for spec in specs:
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_cancel_holds_over_a_change_of_owner(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(5.0, Resources(1000, 100)))
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await asyncio.sleep(0.5)
            owner = get_owner(platform)
            assert owner is not None
            other = get_others(platform)[0]
            self.assertEqual(GateOutcome.DONE, await cancel(platform, other, spec.job_id))
            platform.kill_node(owner)
            await asyncio.sleep(6)
            self.assertTrue(all(run.ended_at_s for run in platform.hosts.ledger.runs))
            self.assertEqual(JobStatus.CANCELLED, await get_status(platform, other, spec.job_id))
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())


class StoreTest(TestCase):
    def test_store_outage_loses_nothing(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            specs = [make_job(number) for number in range(1, 6)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
            await asyncio.sleep(0.5)
            platform.store.faults.silent.add("*")
            await asyncio.sleep(5)
            platform.store.faults.silent.clear()
            for spec in specs:
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_expired_history_loses_nothing(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            await hand_in(platform, "node0", make_job(1))
            owner = get_owner(platform)
            assert owner is not None
            platform.store.faults.silent.add(owner)
            await hand_in(platform, get_others(platform)[0], make_job(2))
            platform.store.expire_history()
            platform.store.faults.silent.clear()
            for number in (1, 2):
                job_id = make_job(number).job_id
                await wait_for_status(platform, job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_runs_placed_during_an_outage_begin_at_its_end(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(1.0, Resources(1000, 100)))
            await hand_in(platform, "node0", make_job(1))
            await asyncio.sleep(0.5)
            # The second step's tasks are placed while nothing can be recorded.
            platform.store.faults.refused.add("*")
            await asyncio.sleep(6.5)
            self.assertEqual(4, len(platform.hosts.ledger.runs))
            platform.store.faults.refused.clear()
            took_s = await wait_until(lambda: len(platform.hosts.ledger.runs) == 6)
            self.assertTrue(took_s < 0.6, took_s)
            self.assertEqual({1}, {run.number for run in platform.hosts.ledger.runs})

        run_virtual(work())


class RoomTest(TestCase):
    def test_tasks_wait_for_room_and_all_run(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(0.5, ROOM), hosts=2)
            spec = make_job(1, StepSpec(6, cpu_millicores=16_000, memory_mb=32_000))
            await hand_in(platform, "node0", spec)
            took_s = await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertTrue(1.5 <= took_s < 2.5, took_s)

        run_virtual(work())


def get_fleet_owner(platform: PlatformStandin) -> str:
    """Return the node that every node believes to own the fleet's machines."""
    node = next(iter(platform.nodes.values())).assembled.node
    found = node._table.get(FLEET)
    return "" if found is None else found.owner.node


async def await_owners(platform: PlatformStandin, former: set[str]) -> float:
    """Wait until pool and fleet have owners beside ``former``; return how long that took."""

    def is_so() -> bool:
        served = next(name for name in platform.nodes if name not in former)
        table = platform.nodes[served].assembled.node._table
        found = [table.get(name) for name in (POOL, FLEET)]
        return all(one is not None and one.owner.node not in former for one in found)

    return await wait_until(is_so)


class TurnedAwayTest(TestCase):
    """The store turns one node away and serves the others."""

    def test_pools_pass_at_once_to_a_node_that_the_store_serves(self) -> None:
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
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_pools_and_fleet_pass_at_once_where_several_nodes_are_turned_away(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=5)
            turned_away = {get_owner(platform) or "", get_fleet_owner(platform)}
            self.assertEqual(2, len(turned_away))
            platform.store.faults.refused |= turned_away
            owners = await_owners(platform, turned_away)
            self.assertLess(await owners, 1.0)

        run_virtual(work())

    def test_running_tasks_go_on_under_the_next_owner(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(3.0, Resources(1000, 100)))
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            platform.store.faults.refused.add(get_owner(platform) or "")
            took_s = await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertLess(took_s, 6.7)
            self.assertEqual(6, len(platform.hosts.ledger.runs))
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_jobs_are_taken_in_through_another_node(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            platform.store.faults.refused.add("node1")
            await asyncio.sleep(1.0)
            spec = make_job(1)
            self.assertEqual(GateOutcome.DONE, await hand_in(platform, "node1", spec))
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            platform.store.faults.refused.add("*")
            self.assertEqual(GateOutcome.REFUSED, await hand_in(platform, "node1", make_job(2)))
            platform.store.faults.refused.clear()
            await asyncio.sleep(5)
            self.assertEqual(6, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_pool_that_its_owner_could_not_give_back_is_served_again(self) -> None:
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


class RetentionTest(TestCase):
    def test_ended_jobs_are_dropped_once_callers_may_no_longer_ask(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            specs = [make_job(number) for number in range(1, 4)]
            for spec in specs:
                await hand_in(platform, "node0", spec)
                await hand_in(platform, "node1", spec)
                await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            await cancel(platform, "node2", specs[0].job_id)
            await asyncio.sleep(100)
            for name in platform.nodes:
                self.assertEqual(
                    JobStatus.SUCCEEDED, await get_status(platform, name, specs[2].job_id)
                )
            await asyncio.sleep(60)
            self.assertEqual([], platform.store.list_keys(INBOX_PARTITION.topic))
            self.assertEqual([], platform.store.list_keys(PROGRESS_TOPIC))
            owner = get_owner(platform)
            assert owner is not None
            pool = platform.nodes[owner].assembled.owned.owners[POOL]
            self.assertEqual({}, pool.jobs.jobs)
            self.assertEqual(18, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_job_dropped_in_part_is_not_run_again_by_the_next_owner(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            await asyncio.sleep(134)
            await wait_until(lambda: not platform.store.list_keys(INBOX_PARTITION.topic))
            platform.kill_node(get_owner(platform) or "")
            await asyncio.sleep(10)
            self.assertEqual([], platform.store.list_keys(PROGRESS_TOPIC))
            self.assertEqual(6, len(platform.hosts.ledger.runs))

        run_virtual(work())


class SpreadTest(TestCase):
    """Lasting tasks of which a host may carry only a few."""

    STEP = StepSpec(
        5,
        cpu_millicores=1000,
        memory_mb=100,
        is_lasting=True,
        per_host_max=2,
        away_max=1,
        has_away_limit=True,
    )

    def test_pool_grows_to_the_hosts_that_they_must_be_spread_over(self) -> None:
        async def work() -> None:
            platform = await start_platform(
                lambda task: TaskPlan(None, Resources(1000, 100)), hosts=2, reserve=3
            )
            await hand_in(platform, "node0", make_job(1, self.STEP))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 5, limit_s=6)

        run_virtual(work())

    def test_host_that_carries_them_is_emptied_for_its_upkeep(self) -> None:
        async def work() -> None:
            platform = await start_platform(
                lambda task: TaskPlan(None, Resources(1000, 100)), hosts=3, reserve=3
            )
            await hand_in(platform, "node0", make_job(1, self.STEP))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 5, limit_s=6)
            machines = tuple(
                host.record.machine
                for host in platform.hosts.hosts.values()
                if host.record.pool == POOL
            )
            platform.ask_for_wave(UpkeepWave(1, machines, 26.0, 1))
            await wait_until(
                lambda: platform.store.get_newest(STATUS).get("wave/1") == b"done", limit_s=26
            )

        run_virtual(work())
