"""Requests that must run at most once, also when daemons crash or the log loses replies."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.results import Family, ResultCode
from tests.lib.fleets import (
    get_daemon,
    make_request,
    serve,
    start_fleet,
)
from tests.lib.virtual import run_virtual


class AtMostOnceTest(TestCase):
    def test_duplicates_at_other_daemons_get_the_one_answer(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "dup", run_s=1.0)
            answers = await asyncio.gather(
                *(fleet.call(name, request) for name in sorted(fleet.daemons))
            )
            self.assertEqual({ResultCode.RAN}, {answer.code for answer in answers})
            self.assertEqual(1, len({answer.body for answer in answers}))
            self.assertEqual((), fleet.ledger.list_keys_run_twice())

        run_virtual(work())

    def test_same_id_with_another_body_is_refused(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "same")
            await fleet.call("kandy-d0", request)
            other = await fleet.call("matale-d0", replace(request, body=b"{}"))
            self.assertEqual(ResultCode.BODY_DIFFERS, other.code)

        run_virtual(work())

    def test_late_duplicate_after_the_claim_has_expired_does_not_run(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "late", left_s=5.0)
            await fleet.call("kandy-d0", request)
            await asyncio.sleep(60.0)
            late = await fleet.call("matale-d0", replace(request, try_number=2))
            self.assertEqual(Family.OUTCOME_UNKNOWN, late.code.family)
            self.assertEqual((), fleet.ledger.list_keys_run_twice())

        run_virtual(work())

    def test_claim_is_known_to_the_successor_of_a_crashed_owner(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "owner", left_s=60.0)
            key = request.make_key()
            owner = get_daemon(fleet).claims._find_owner(key)
            assert owner is not None
            holder = next(name for name in sorted(fleet.daemons) if name != owner.name)
            first = await fleet.call(holder, request)
            fleet.crash(owner.name)
            other = next(name for name in sorted(fleet.daemons) if name != holder)
            await asyncio.sleep(15.0)
            again = await fleet.call(other, replace(request, try_number=2))
            self.assertEqual((first.code, first.body), (again.code, again.body))
            self.assertEqual((), fleet.ledger.list_keys_run_twice())

        run_virtual(work())

    def test_request_is_not_run_again_after_its_holder_crashes(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "holder", run_s=2.0, left_s=60.0)
            call = asyncio.create_task(fleet.call("kandy-d0", request))
            await asyncio.sleep(1.0)
            fleet.crash("kandy-d0")
            self.assertTrue(isinstance(await self._get_error(call), ConnectionError))
            await asyncio.sleep(15.0)
            again = await fleet.call("matale-d0", replace(request, try_number=2))
            self.assertEqual(ResultCode.HOLDER_LOST, again.code)
            self.assertEqual((), fleet.ledger.list_keys_run_twice())

        run_virtual(work())

    def test_holder_paused_past_its_deadline_sends_nothing_when_it_wakes(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "sleepy", left_s=10.0)
            call = asyncio.create_task(fleet.call("kandy-d0", request))
            await asyncio.sleep(0.0001)
            fleet.freeze("kandy-d0")
            await asyncio.sleep(40.0)
            again = await fleet.call("matale-d0", replace(request, try_number=2))
            self.assertEqual(Family.OUTCOME_UNKNOWN, again.code.family)
            fleet.thaw("kandy-d0")
            answer = await call
            await asyncio.sleep(5.0)
            self.assertNotEqual(ResultCode.RAN, answer.code)
            self.assertEqual(0, sum(fleet.ledger.started.values()))

        run_virtual(work())

    def test_paused_owner_grants_nothing_after_its_successor(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "paused", left_s=100.0)
            owner = get_daemon(fleet).claims._find_owner(request.make_key())
            assert owner is not None
            fleet.freeze(owner.name)
            own = asyncio.create_task(fleet.call(owner.name, replace(request, try_number=2)))
            await asyncio.sleep(30.0)
            other = next(n for n in sorted(fleet.daemons) if n != owner.name)
            first = await fleet.call(other, request)
            fleet.thaw(owner.name)
            second = await own
            self.assertEqual(ResultCode.RAN, first.code)
            self.assertNotEqual(Family.DID_NOT_RUN, second.code.family)
            self.assertEqual((), fleet.ledger.list_keys_run_twice())

        run_virtual(work())

    def test_reply_of_the_append_lost_runs_once(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.log.faults.lost_reply_share = 0.5
            answers = await asyncio.gather(
                *(serve(get_daemon(fleet, n % 4), f"lost{n}") for n in range(40))
            )
            ran = sum(answer.code is ResultCode.RAN for answer in answers)
            self.assertTrue(ran >= 30, ran)
            self.assertEqual(ran, len(fleet.ledger.started))
            self.assertEqual((), fleet.ledger.list_keys_run_twice())

        run_virtual(work())

    async def _get_error(self, task: "asyncio.Task[CallerAnswer]") -> object:
        return (await asyncio.gather(task, return_exceptions=True))[0]
