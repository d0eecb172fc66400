"""Workers that fail, hang or return wrong responses, and jobs that can never run."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.results import ResultCode
from robinthread._internal.standins.worker_standin import WorkerMode
from tests.lib.fleets import (
    ONE_HALL,
    get_daemon,
    make_request,
    serve,
    start_fleet,
    wait_until,
)
from tests.lib.virtual import run_virtual


class WorkersFailTest(TestCase):
    def test_worker_that_fails_everything_gets_no_more_work(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            bad = next(iter(fleet.workers.values()))
            bad.mode = WorkerMode.FAILS_EVERYTHING
            codes = [
                (await serve(get_daemon(fleet), n, is_repeatable=True)).code for n in range(60)
            ]
            self.assertEqual({ResultCode.RAN}, set(codes))
            self.assertTrue(fleet.count("retries") <= 3, fleet.count("retries"))

        run_virtual(work())

    def test_job_that_can_never_run_is_distinguished_from_faulty_workers(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            answers = [
                await serve(
                    get_daemon(fleet), f"j{n}", is_repeatable=True, can_run=False, body=b"{bad"
                )
                for n in range(1)
            ]
            self.assertEqual(ResultCode.RAN, answers[0].code)
            request = make_request(get_daemon(fleet), "never", is_repeatable=True, can_run=False)
            first = await get_daemon(fleet).entry.serve(request)
            self.assertEqual(ResultCode.RAN_FAILED, first.code)
            again = await get_daemon(fleet).entry.serve(replace(request, request_id="other"))
            self.assertEqual(ResultCode.JOB_CANNOT_RUN, again.code)
            fine = await serve(get_daemon(fleet), "fine")
            self.assertEqual(ResultCode.RAN, fine.code)

        run_virtual(work())

    def test_wrong_and_truncated_answers_are_never_passed_on(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            for mode in (WorkerMode.TRUNCATES, WorkerMode.ANSWERS_ANOTHER):
                for worker in fleet.workers.values():
                    worker.mode = mode
                answer = await serve(get_daemon(fleet), f"m-{mode.value}")
                self.assertEqual(ResultCode.ANSWER_NOT_WHOLE, answer.code)

        run_virtual(work())

    def test_hanging_worker_gives_unknown_at_the_deadline_and_no_later(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            for worker in fleet.workers.values():
                worker.mode = WorkerMode.HANGS
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            answer = await serve(get_daemon(fleet), "hang", left_s=3.0)
            self.assertEqual(ResultCode.ANSWER_TIMED_OUT, answer.code)
            self.assertAlmostEqual(3.0, loop.time() - started_at_s, places=2)

        run_virtual(work())

    def test_failed_host_is_recorded_and_comes_back(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            daemon = get_daemon(fleet)
            name, host = next(iter(daemon.state.hosts.items()))
            fleet.workers[host.address].crash()
            await wait_until(lambda: daemon.state.hosts[name].phase is HostPhase.FAILED)
            fleet.workers[host.address].mode = WorkerMode.NORMAL
            await wait_until(lambda: daemon.state.hosts[name].phase is HostPhase.SERVING)

        run_virtual(work())
