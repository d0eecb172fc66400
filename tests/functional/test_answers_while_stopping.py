"""Responses of a node about a job while it hands over the job's pool."""

import asyncio

from testtools import TestCase

from robinthread._internal.node.job_service import JobRequestOutcome
from tests.lib.job_platforms import (
    QUEUE,
    get_others,
    get_owner,
    hand_in,
    make_job,
    make_stop_budget,
    start_platform,
)
from tests.lib.virtual import run_virtual

JOB = 7


class JobRequestsWhileStoppingTest(TestCase):
    def test_accepted_job_is_never_unknown_while_its_owner_stops(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=3)
            owner = get_owner(platform)
            assert owner is not None
            node = platform.nodes[owner].assembled
            other = get_others(platform)[0]
            # With a slow store, the owner has not read the job when its status is requested.
            spec = make_job(JOB)
            platform.store.faults.latency_s = 0.3
            outcome = await hand_in(platform, other, spec)
            self.assertEqual(JobRequestOutcome.DONE, outcome)
            request = asyncio.create_task(node.job_service.get_status(QUEUE, spec.job_id))
            await asyncio.sleep(0.01)
            stopping = asyncio.create_task(node.node.stop(make_stop_budget(platform)))
            response = await request
            self.assertNotEqual(JobRequestOutcome.NO_SUCH_JOB, response.outcome)
            await stopping

        run_virtual(work())
