"""Queues whose steps run only on hosts that the advice service allows."""

import asyncio
import dataclasses

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import AdvicePolicy
from robinthread._internal.models.step_key import StepKey
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    POOLS,
    QUEUE,
    get_status,
    hand_in,
    hand_in_all,
    make_job,
    start_platform,
    wait_for_status,
    wait_until_done,
)
from tests.lib.virtual import run_virtual


async def start_advised_platform() -> PlatformStandin:
    """Start a platform whose hosts reject starts without a ticket."""
    platform = await start_platform()
    platform.requires_tickets = True
    queue = dataclasses.replace(QUEUE, advice=AdvicePolicy(10, 1, 3000))
    platform.configure(2, (queue,), POOLS)
    await asyncio.sleep(0.5)
    return platform


class AdviceTest(TestCase):
    def test_tasks_run_only_on_hosts_that_are_allowed(self) -> None:
        async def work() -> None:
            platform = await start_advised_platform()
            hosts = [host.record.id for host in platform.hosts.hosts.values()]
            refused = {hosts[0], hosts[1]}

            def is_allowed(step: StepKey, host_id: str) -> bool:
                return host_id not in refused

            platform.advice.is_allowed = is_allowed
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            took_s = await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertLess(took_s, 3.0)
            self.assertEqual(set(), refused & {run.host_id for run in platform.hosts.ledger.runs})
            self.assertEqual(6, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_expired_ticket_is_requested_again(self) -> None:
        async def work() -> None:
            platform = await start_advised_platform()
            platform.advice.valid_s = 0.5
            specs = [make_job(number) for number in range(1, 30)]
            await hand_in_all(platform, "node0", specs)
            await wait_until_done(platform, specs, limit_s=60)
            self.assertEqual(6 * len(specs), len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_jobs_wait_while_the_service_is_unavailable(self) -> None:
        async def work() -> None:
            platform = await start_advised_platform()
            platform.advice.is_down = True
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await asyncio.sleep(3)
            self.assertEqual([], platform.hosts.ledger.runs)
            self.assertEqual(JobStatus.QUEUED, await get_status(platform, "node0", spec.job_id))
            platform.advice.is_down = False
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED, limit_s=5)

        run_virtual(work())
