"""Jobs on the platform's stand-in, from acceptance to the final status."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.job_service import JobRequestOutcome
from tests.lib.job_platforms import (
    QUEUE,
    cancel,
    find_violations,
    get_status,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
    wait_until_done,
)
from tests.lib.virtual import run_virtual


class EndToEndTest(TestCase):
    def test_job_submitted_at_one_node_is_found_and_done_at_another(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_job(1)
            self.assertEqual(JobRequestOutcome.DONE, await hand_in(platform, "node0", spec))
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            for name in platform.nodes:
                status = await get_status(platform, name, spec.job_id)
                self.assertEqual(JobStatus.SUCCEEDED, status)
            self.assertEqual(6, len(platform.hosts.ledger.runs))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_job_cancelled_at_a_third_node_stops_and_starts_nothing_more(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            self.assertEqual(JobRequestOutcome.DONE, await cancel(platform, "node2", spec.job_id))
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
            self.assertEqual([JobRequestOutcome.DONE] * 3, outcomes)
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
            self.assertTrue(set(outcomes) <= {JobRequestOutcome.DONE, JobRequestOutcome.UNKNOWN})
            await wait_until_done(platform, specs)
            self.assertEqual(30, len(platform.hosts.ledger.runs))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_unknown_job_is_distinguished_from_one_that_cannot_be_looked_up(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            job_service = platform.nodes["node0"].assembled.job_service
            response = await job_service.get_status(QUEUE, "f" * 16)
            self.assertEqual(JobRequestOutcome.NO_SUCH_JOB, response.outcome)
            platform.store.faults.silent.add("*")
            response = await job_service.get_status(QUEUE, "f" * 16)
            self.assertEqual(JobRequestOutcome.OWNER_UNREACHABLE, response.outcome)

        run_virtual(work())

    def test_caller_soon_receives_an_unknown_outcome(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            platform.store.faults.silent.add("*")
            loop = asyncio.get_running_loop()
            began_at_s = loop.time()
            outcome = await hand_in(platform, "node0", make_job(1))
            self.assertEqual(JobRequestOutcome.UNKNOWN, outcome)
            self.assertLess(loop.time() - began_at_s, 1.5)

        run_virtual(work())

    def test_refused_job_never_runs(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            for name in platform.nodes:
                platform.store.faults.refused.add(name)
            for number, name in enumerate(platform.nodes):
                refused = await hand_in(platform, name, make_job(number))
                self.assertEqual(JobRequestOutcome.REFUSED, refused)
            platform.store.faults.refused.clear()
            await asyncio.sleep(10)
            self.assertEqual([], platform.hosts.ledger.runs)

        run_virtual(work())
