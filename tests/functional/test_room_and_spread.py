"""Tasks that wait for capacity, and lasting tasks that are spread over hosts."""

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import STATUS
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.virtual import run_virtual


class CapacityTest(TestCase):
    def test_tasks_wait_for_capacity_and_all_run(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(0.5, HOST_CAPACITY), hosts=2)
            spec = make_job(1, StepSpec(6, cpu_millicores=16_000, memory_mb=32_000))
            await hand_in(platform, "node0", spec)
            took_s = await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertTrue(1.5 <= took_s < 2.5, took_s)

        run_virtual(work())


class SpreadTest(TestCase):
    """Lasting tasks with a limit per host."""

    STEP = StepSpec(
        5,
        cpu_millicores=1000,
        memory_mb=100,
        is_lasting=True,
        per_host_max=2,
        not_running_max=1,
        has_not_running_limit=True,
    )

    def test_pool_grows_to_the_hosts_that_the_spread_requires(self) -> None:
        async def work() -> None:
            platform = await start_platform(
                lambda task: TaskPlan(None, Resources(1000, 100)), hosts=2, reserve=3
            )
            await hand_in(platform, "node0", make_job(1, self.STEP))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 5, limit_s=6)

        run_virtual(work())

    def test_host_with_spread_tasks_is_vacated_for_its_upkeep(self) -> None:
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
            platform.request_wave(UpkeepWave(1, machines, 26.0, 1))
            await wait_until(
                lambda: platform.store.get_newest(STATUS).get("wave/1") == b"done", limit_s=26
            )

        run_virtual(work())
