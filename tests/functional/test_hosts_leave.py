"""Hosts that the platform is removing, and hosts set aside because their jobs fail."""

import asyncio
from dataclasses import replace
from unittest.mock import PropertyMock, patch

from testtools import TestCase

from robinthread._internal.models.budget import Budget
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.results import ResultCode
from robinthread._internal.settings.dispatch_settings import DispatchSettings
from robinthread._internal.settings.wave_settings import WaveSettings
from robinthread._internal.standins.fleet_standin import HallSize
from robinthread._internal.standins.host_list_standin import HostListStandin
from robinthread._internal.standins.worker_standin import WorkerMode
from tests.lib.fleets import SETTINGS, get_daemon, serve, start_fleet, wait_until
from tests.lib.virtual import run_virtual

ONE_HALL = (HallSize("kandy", 2, 3),)
HOST_LIST_WAIT_S = 5.0


class HostsLeaveTest(TestCase):
    def test_leaving_host_gets_no_new_work_and_loses_none(self) -> None:
        async def work() -> None:
            settings = replace(SETTINGS, waves=WaveSettings(drain_timeout_s=5.0))
            fleet = await start_fleet(ONE_HALL, settings=settings)
            daemon, leaving = get_daemon(fleet), "kandy-h000"
            worker = fleet.workers[f"{leaving}:80"]
            long_requests = [
                asyncio.create_task(serve(daemon, f"l{n}", run_s=60.0, left_s=300.0))
                for n in range(6)
            ]
            await asyncio.sleep(1.0)
            self.assertTrue(worker.list_remaining_s())
            listed = await fleet.host_list.list_hosts()
            fleet.host_list.set_hosts(
                tuple(replace(host, is_leaving=host.name == leaving) for host in listed)
            )
            await asyncio.sleep(HOST_LIST_WAIT_S)
            started = worker.starts_count
            for number in range(40):
                await serve(daemon, number, is_repeatable=True)
            self.assertEqual(started, worker.starts_count)
            await wait_until(lambda: not worker.list_remaining_s(), 30.0)
            fleet.host_list.set_hosts(tuple(host for host in listed if host.name != leaving))
            await wait_until(lambda: leaving not in daemon.state.hosts, 30.0)
            codes = {answer.code for answer in await asyncio.gather(*long_requests)}
            self.assertEqual({ResultCode.RAN}, codes)
            self.assertEqual((), fleet.ledger.list_keys_run_twice())

        run_virtual(work())

    def test_list_that_raises_is_read_again(self) -> None:
        """Guards against one odd host list that ends the following of hosts for good."""

        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            daemon = get_daemon(fleet)
            listed = await fleet.host_list.list_hosts()
            odd = PropertyMock(side_effect=ValueError("odd"))
            with patch.object(HostListStandin, "is_out", odd, create=True):
                await asyncio.sleep(HOST_LIST_WAIT_S)
            self.assertTrue(odd.called)
            fleet.host_list.set_hosts(tuple(replace(host, is_leaving=True) for host in listed))
            await wait_until(lambda: self._list_phases(daemon) == {HostPhase.LEAVING}, 15.0)

        run_virtual(work())

    def test_host_no_longer_marked_as_leaving_serves_again(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            daemon = get_daemon(fleet)
            listed = await fleet.host_list.list_hosts()
            fleet.host_list.set_hosts(tuple(replace(host, is_leaving=True) for host in listed))
            await wait_until(lambda: self._list_phases(daemon) == {HostPhase.LEAVING})
            fleet.host_list.set_hosts(listed)
            await wait_until(lambda: self._list_phases(daemon) == {HostPhase.SERVING})

        run_virtual(work())

    def test_host_whose_jobs_fail_is_set_aside_only_if_budget_allows(self) -> None:
        for min_serving_hosts, phase in ((2, HostPhase.SET_ASIDE), (3, HostPhase.SERVING)):
            run_virtual(self._run_failing_jobs(min_serving_hosts, phase))

    async def _run_failing_jobs(self, min_serving_hosts: int, phase: HostPhase) -> None:
        settings = replace(
            SETTINGS, dispatch=DispatchSettings(suspend_min_s=0.1, suspend_max_s=0.2)
        )
        fleet = await start_fleet(
            ONE_HALL, settings=settings, slots=1, budget=Budget(min_serving_hosts=min_serving_hosts)
        )
        daemon = get_daemon(fleet)
        fleet.workers["kandy-h000:80"].mode = WorkerMode.FAILS_EVERYTHING
        for number in range(60):
            await asyncio.gather(
                *(serve(daemon, f"{number}-{n}", is_repeatable=True, run_s=0.3) for n in range(3))
            )
        self.assertIs(phase, daemon.state.hosts["kandy-h000"].phase)
        self.assertTrue(fleet.count("hosts_set_aside_asked") > 0)

    def _list_phases(self, daemon: object) -> set[HostPhase]:
        return {host.phase for host in daemon.state.hosts.values()}  # type: ignore[attr-defined]
