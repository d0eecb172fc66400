"""Each thing that fails, caused at the stand-ins, alone and together."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.claims.claim import make_key
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.fold.kinds.config_published import ConfigPublished
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.pool_budget_set import PoolBudgetSet
from robinthread._internal.fold.kinds.pool_created import PoolCreated
from robinthread._internal.fold.kinds.pool_removed import PoolRemoved
from robinthread._internal.fold.kinds.quota_set import QuotaSet
from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.fold.kinds.wave_state_set import WaveStateSet
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.quota import Quota
from robinthread._internal.models.urgency import Urgency
from robinthread._internal.models.wave import WaveKind, WaveState
from robinthread._internal.results import Family, ResultCode
from robinthread._internal.standins.fleet_standin import HallSize
from robinthread._internal.standins.worker_standin import WorkerMode
from tests.lib.fleets import (
    POOL,
    SETTINGS,
    get_daemon,
    make_request,
    publish,
    serve,
    start_fleet,
    wait_until,
)
from tests.lib.virtual import run_virtual

ONE_HALL = (HallSize("kandy", 2, 4),)


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

    def test_job_that_can_never_run_is_told_from_bad_workers(self) -> None:
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
            self.assertEqual((), fleet.ledger.iter_run_twice())

        run_virtual(work())

    def test_same_id_with_another_body_is_refused(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "same")
            await fleet.call("kandy-d0", request)
            other = await fleet.call("matale-d0", replace(request, body=b"{}"))
            self.assertEqual(ResultCode.BODY_DIFFERS, other.code)

        run_virtual(work())

    def test_late_duplicate_after_the_claim_is_gone_does_not_run(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            request = make_request(get_daemon(fleet), "late", left_s=5.0)
            await fleet.call("kandy-d0", request)
            await asyncio.sleep(60.0)
            late = await fleet.call("matale-d0", replace(request, try_number=2))
            self.assertEqual(Family.OUTCOME_UNKNOWN, late.code.family)
            self.assertEqual((), fleet.ledger.iter_run_twice())

        run_virtual(work())

    def test_owner_of_the_claim_dies_and_its_successor_knows(self) -> None:
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
            self.assertEqual((), fleet.ledger.iter_run_twice())

        run_virtual(work())

    def test_holder_dies_and_nobody_runs_the_request_again(self) -> None:
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
            self.assertEqual((), fleet.ledger.iter_run_twice())

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
            self.assertEqual((), fleet.ledger.iter_run_twice())

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
            self.assertEqual((), fleet.ledger.iter_run_twice())

        run_virtual(work())

    async def _get_error(self, task: "asyncio.Task[CallerAnswer]") -> object:
        return (await asyncio.gather(task, return_exceptions=True))[0]


class MembersChangeTest(TestCase):
    def test_claims_are_granted_while_daemons_join_one_after_another(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.log.faults.delay_s = 0.05
            codes = []
            for number in range(4):
                await fleet.start_daemon(f"kandy-n{number}", "kandy")
                answers = await asyncio.gather(
                    *(serve(get_daemon(fleet), f"{number}-{n}") for n in range(32))
                )
                codes += [answer.code for answer in answers]
            self.assertEqual({ResultCode.RAN}, set(codes))

        run_virtual(work())


class DigestTest(TestCase):
    def test_daemon_whose_state_differs_stops_acting_and_says_so(self) -> None:
        async def work() -> None:
            settings = replace(SETTINGS, peers=replace(SETTINGS.peers, digest_every_records=8))
            fleet = await start_fleet(settings=settings)
            odd = fleet.daemons["kandy-d0"]
            odd.follower.folder.state = replace(odd.state, quotas={"x": Quota("x", 1)})
            for number in range(16):
                await publish(fleet.daemons["matale-d0"], ConfigPublished(f"c{number}", "x", 0))
            await wait_until(lambda: odd.is_halted, 10.0)
            answer = await serve(odd, "odd", is_repeatable=True)
            self.assertEqual(ResultCode.NOT_READY, answer.code)
            events = [event.kind for event in odd.events.list_events()]
            self.assertIn("digest_differs", events)
            await asyncio.sleep(10.0)
            halted = [name for name, daemon in fleet.daemons.items() if daemon.is_halted]
            self.assertEqual(["kandy-d0"], halted)

        run_virtual(work())


class PlatformTest(TestCase):
    def test_platform_out_serves_what_it_can_and_refuses_claims_at_once(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.log.faults.is_out = True
            await asyncio.sleep(30.0)
            daemon = get_daemon(fleet)
            repeatable = await serve(daemon, "r", is_repeatable=True)
            self.assertEqual(ResultCode.RAN, repeatable.code)
            started_at_s = asyncio.get_running_loop().time()
            claimed = await serve(daemon, "c")
            self.assertEqual(ResultCode.PLATFORM_OUT, claimed.code)
            self.assertTrue(asyncio.get_running_loop().time() - started_at_s < 1.0)
            self.assertFalse(daemon.is_fresh)
            fleet.log.faults.is_out = False
            await asyncio.sleep(5.0)
            self.assertEqual(ResultCode.RAN, (await serve(daemon, "c")).code)

        run_virtual(work())

    def test_slow_outage_is_waited_for_once_and_then_refused_at_once(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            fleet.log.faults = replace(fleet.log.faults, is_out=True, delay_s=1.0)
            daemon = fleet.daemons["kandy-d0"]
            request = make_request(daemon, "slow")
            await daemon.entry.serve(request)
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            answer = await daemon.entry.serve(request)
            self.assertEqual(Family.DID_NOT_RUN, answer.code.family)
            self.assertTrue(loop.time() - started_at_s < 0.1, loop.time() - started_at_s)

        run_virtual(work())

    def test_cut_off_hall_serves_its_own_and_heals(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.cut_halls.add("kandy")
            fleet.cut_from_platform.add("kandy")
            daemon, other = fleet.daemons["kandy-d0"], fleet.daemons["matale-d0"]
            await wait_until(lambda: "kandy" in other.state.cut_halls)
            await asyncio.sleep(5.0)
            self.assertEqual(ResultCode.RAN, (await serve(daemon, 1, is_repeatable=True)).code)
            self.assertEqual(Family.DID_NOT_RUN, (await serve(daemon, 2)).code.family)
            self.assertEqual(ResultCode.RAN, (await serve(other, 3)).code)
            fleet.cut_halls.clear()
            fleet.cut_from_platform.clear()
            await wait_until(lambda: not other.state.cut_halls)
            await asyncio.sleep(5.0)
            self.assertEqual(ResultCode.RAN, (await serve(daemon, 4)).code)

        run_virtual(work())

    def test_new_daemon_starts_from_a_snapshot_after_the_log_let_go(self) -> None:
        async def work() -> None:
            settings = replace(
                SETTINGS, platform=replace(SETTINGS.platform, snapshot_every_records=20)
            )
            fleet = await start_fleet(settings=settings)
            fleet.log._retention_records = 60
            for number in range(150):
                await publish(get_daemon(fleet), ConfigPublished(f"c{number}", "x", 0))
            await asyncio.sleep(2.0)
            fresh = await fleet.start_daemon("kandy-d9", "kandy")
            await fresh.wait_until_member()
            self.assertEqual(150, len(fresh.state.config))
            self.assertEqual(ResultCode.RAN, (await serve(fresh, "new")).code)

        run_virtual(work())

    def test_new_daemon_starts_from_a_peer_while_the_platform_is_out(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.log.faults.is_out = True
            await asyncio.sleep(1.0)
            fresh = await fleet.start_daemon("kandy-d9", "kandy")
            self.assertTrue(fresh.is_ready)
            answer = await serve(fresh, "peer", is_repeatable=True)
            self.assertEqual(ResultCode.RAN, answer.code)

        run_virtual(work())


class OperatorsRaceTest(TestCase):
    def test_two_waves_over_one_host_have_one_winner_everywhere(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            hosts = tuple(get_daemon(fleet).state.hosts)[:2]
            results = await asyncio.gather(
                *(
                    get_daemon(fleet, n).publish(WaveCreated(f"w{n}", "r", WaveKind.REBOOT, hosts))
                    for n in range(4)
                )
            )
            faults = [result.failure().code for result in results if not _is_success(result)]
            self.assertEqual([ResultCode.HOST_IN_OTHER_WAVE] * 3, faults)
            waves = {tuple(daemon.state.waves) for daemon in fleet.daemons.values()}
            self.assertEqual(1, len(waves))

        run_virtual(work())

    def test_budget_raised_while_a_wave_runs_is_held_from_then_on(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(budget=Budget(min_serving_hosts=4))
            daemon = get_daemon(fleet)
            await publish(daemon, WaveCreated("w", "r", WaveKind.REBOOT, tuple(daemon.state.hosts)))
            version = daemon.state.pools[POOL].version
            await publish(daemon, PoolBudgetSet(POOL, Budget(min_serving_hosts=7), version))
            away: list[int] = []
            daemon.follower.watch(
                lambda _: away.append(
                    sum(not host.is_serving for host in daemon.state.hosts.values())
                )
            )
            await wait_until(lambda: daemon.state.waves["w"].state is WaveState.DONE)
            self.assertTrue(max(away[len(away) // 2 :]) <= 1)

        run_virtual(work())

    def test_pool_under_a_wave_is_not_removed_and_stale_changes_lose(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            daemon = get_daemon(fleet)
            version = daemon.state.pools[POOL].version
            removed = await daemon.publish(PoolRemoved(POOL, version))
            self.assertEqual(ResultCode.POOL_IN_USE, removed.failure().code)
            stale = await daemon.publish(PoolBudgetSet(POOL, Budget(), version - 1))
            self.assertEqual(ResultCode.CONFLICT, stale.failure().code)
            taken = await daemon.publish(HostAssigned(next(iter(daemon.state.hosts)), POOL))
            self.assertEqual(ResultCode.HOST_IN_OTHER_POOL, taken.failure().code)

        run_virtual(work())

    def test_repeated_operation_yields_the_first_outcome(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            for n in range(3):
                result = await get_daemon(fleet, n).publish(PoolCreated("once", Budget()), "op-1")
                self.assertTrue(_is_success(result))

        run_virtual(work())

    def test_paused_and_cancelled_waves_take_nothing_more(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(budget=Budget(min_serving_hosts=7))
            daemon = get_daemon(fleet)
            await publish(daemon, WaveCreated("w", "r", WaveKind.REBOOT, tuple(daemon.state.hosts)))
            await wait_until(lambda: len(daemon.state.waves["w"].done) >= 2)
            await publish(
                daemon, WaveStateSet("w", WaveState.PAUSED, daemon.state.waves["w"].version)
            )
            await asyncio.sleep(20.0)
            done = len(daemon.state.waves["w"].done)
            await asyncio.sleep(60.0)
            self.assertEqual(done, len(daemon.state.waves["w"].done))
            await publish(
                daemon, WaveStateSet("w", WaveState.RUNNING, daemon.state.waves["w"].version)
            )
            await wait_until(lambda: daemon.state.waves["w"].state is WaveState.DONE)

        run_virtual(work())


class LimitsTest(TestCase):
    def test_waves_of_cancellations_are_answered_truthfully(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, slots=1)
            daemon = get_daemon(fleet)
            calls = [
                asyncio.create_task(serve(daemon, f"x{n}", run_s=5.0, is_repeatable=True))
                for n in range(12)
            ]
            await asyncio.sleep(1.0)
            codes = await asyncio.gather(
                *(daemon.entry.cancel(make_key("caller", f"rx{n}")) for n in range(12)),
                *(daemon.entry.cancel(make_key("caller", f"rx{n}")) for n in range(12)),
            )
            answers = [(await call).code for call in calls]
            started = sum(fleet.ledger.started.values())
            self.assertEqual(4, started)
            self.assertEqual(4, answers.count(ResultCode.STOPPED_AFTER_START))
            self.assertEqual(8, answers.count(ResultCode.CANCELLED_BEFORE_START))
            self.assertEqual(answers * 2, list(codes))
            unknown = await daemon.entry.cancel(make_key("caller", "nobody"))
            self.assertEqual(ResultCode.NOT_FOUND, unknown)

        run_virtual(work())

    def test_cancellation_at_another_daemon_reaches_the_holder(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            call = asyncio.create_task(serve(fleet.daemons["kandy-d0"], "far", run_s=30.0))
            await asyncio.sleep(1.0)
            code = await fleet.daemons["matale-d1"].entry.cancel(make_key("caller", "rfar"))
            self.assertEqual(ResultCode.STOPPED_AFTER_START, code)
            self.assertEqual(code, (await call).code)

        run_virtual(work())

    def test_quota_bounds_a_team_and_leaves_others_alone(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, slots=2)
            daemon = get_daemon(fleet)
            await publish(daemon, QuotaSet("greedy", 2, 0))
            await asyncio.sleep(1.0)
            greedy = [
                asyncio.create_task(
                    serve(daemon, f"g{n}", team="greedy", run_s=4.0, is_repeatable=True)
                )
                for n in range(6)
            ]
            await asyncio.sleep(0.5)
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            await serve(daemon, "other", team="modest", run_s=1.0)
            self.assertTrue(loop.time() - started_at_s < 1.5)
            self.assertEqual(2, sum(len(w.list_left_s()) for w in fleet.workers.values()))
            await asyncio.gather(*greedy)

        run_virtual(work())

    def test_urgent_work_starts_in_a_full_pool(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, slots=1)
            low = [
                asyncio.create_task(
                    serve(
                        get_daemon(fleet),
                        f"b{n}",
                        urgency=Urgency.BACKGROUND,
                        run_s=100.0,
                        left_s=900.0,
                        is_repeatable=True,
                    )
                )
                for n in range(8)
            ]
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            urgent = await serve(get_daemon(fleet, 1), "u", urgency=Urgency.URGENT, run_s=0.5)
            self.assertEqual(ResultCode.RAN, urgent.code)
            self.assertTrue(loop.time() - started_at_s < 9.3)
            done = {answer.code for answer in await asyncio.gather(*low)}
            self.assertEqual({ResultCode.RAN}, done)

        run_virtual(work())

    def test_run_times_are_learnt_not_declared(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, slots=1)
            for number in range(40):
                await serve(get_daemon(fleet), f"l{number}", run_s=3.0, is_repeatable=True)
            refused = await serve(get_daemon(fleet), "short", left_s=1.0, is_repeatable=True)
            self.assertEqual(ResultCode.DEADLINE_UNREACHABLE, refused.code)

        run_virtual(work())


class DaemonsFailTest(TestCase):
    def test_daemon_dies_in_a_wave_and_its_successor_goes_on(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(budget=Budget(min_serving_hosts=7))
            daemon = fleet.daemons["matale-d0"]
            await publish(daemon, WaveCreated("w", "r", WaveKind.REBOOT, tuple(daemon.state.hosts)))
            await wait_until(lambda: len(daemon.state.waves["w"].done) >= 1)
            fleet.crash("kandy-d0")
            fleet.crash("kandy-d1")
            await asyncio.sleep(3.0)
            await fleet.start_daemon("kandy-d2", "kandy")
            await wait_until(lambda: daemon.state.waves["w"].state is WaveState.DONE)
            self.assertEqual({1}, {worker.boots_count for worker in fleet.workers.values()})

        run_virtual(work())

    def test_planned_stop_cuts_no_request_and_refuses_none_that_it_took(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            calls = [
                asyncio.create_task(fleet.call("kandy-d0", make_request(get_daemon(fleet), n)))
                for n in range(50)
            ]
            await asyncio.sleep(0.01)
            await fleet.daemons["kandy-d0"].stop()
            codes = {(await call).code for call in calls}
            self.assertEqual({ResultCode.RAN}, codes)

        run_virtual(work())


def _is_success(result: object) -> bool:
    return type(result).__name__ == "Success"
