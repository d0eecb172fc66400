"""One host whose answers or entry raise: its pool keeps its owner, and nothing runs twice."""

import asyncio
from typing import Any
from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.node.host_incarnations import HostIncarnations
from robinthread._internal.node.host_report_handler import HostReportHandler
from robinthread._internal.standins.job_hosts_standin import JobHostsClient
from tests.lib.job_platforms import POOL, find_violations, wait_until
from tests.lib.task_failures import (
    InjectedError,
    find_unfinished,
    list_pool_hosts,
    list_starts,
    read_lines,
    start_loaded,
)
from tests.lib.virtual import run_virtual


class OddHostTest(TestCase):
    def _check(self, call: str) -> None:
        """Let one kind of call to one host raise for 3 s; the pool must keep its owner."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            owner = platform.nodes["node0"].assembled.owned.owners[POOL]
            odd, sound = list_pool_hosts(platform)[:2]
            real = getattr(JobHostsClient, call)

            async def make_call(client: Any, host: Any, *args: Any) -> Any:
                answer = await real(client, host, *args)
                if host.id == odd.id:
                    raise InjectedError(call)
                return answer

            began_at_s = asyncio.get_running_loop().time()
            with patch.object(JobHostsClient, call, make_call):
                await asyncio.sleep(3)
            lines = len(platform.events)
            self.assertGreater(len(list_starts(platform, sound.id, began_at_s + 1)), 3)
            await asyncio.sleep(6)
            self.assertGreater(len(list_starts(platform, odd.id, began_at_s + 3)), 3)
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            self.assertIs(owner, platform.nodes["node0"].assembled.owned.owners[POOL])
            self.assertEqual([], find_violations(platform))
            self.assertTrue(read_lines(platform, "host_call_failed"))
            self.assertLess(lines, 400)

        run_virtual(work())

    def test_host_whose_reports_raise_costs_its_pool_no_owner(self) -> None:
        """Guards against one odd host that takes its whole pool to and fro."""
        self._check("watch")

    def test_host_whose_answers_to_stops_raise_costs_its_pool_no_owner(self) -> None:
        """Guards against one odd answer to a stop that takes the whole pool to and fro."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            owner = platform.nodes["node0"].assembled.owned.owners[POOL]
            odd = list_pool_hosts(platform)[0]
            real = JobHostsClient.stop

            async def stop(client: Any, host: Any, *args: Any) -> None:
                await real(client, host, *args)
                if host.id == odd.id:
                    raise InjectedError("stop")

            with patch.object(JobHostsClient, "stop", stop):
                await wait_until(lambda: len(owner.jobs.hosts[odd.id].runs) > 0)
                for run in list(owner.jobs.hosts[odd.id].runs.values()):
                    owner.jobs.stop(run)
                await asyncio.sleep(3)
            self.assertTrue(read_lines(platform, "host_call_failed"))
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            self.assertIs(owner, platform.nodes["node0"].assembled.owned.owners[POOL])
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_host_whose_report_cannot_be_processed_costs_its_pool_no_owner(self) -> None:
        """Guards against one report that raises in this node's own code."""
        self._check_processing(HostReportHandler, "process")

    def test_host_whose_entry_cannot_be_applied_costs_its_pool_no_owner(self) -> None:
        """Guards against one entry of plausible form that raises in this node's own code."""
        self._check_processing(HostIncarnations, "record_listing")

    def _check_processing(self, kind: Any, name: str) -> None:
        """Let a method raise for one host, its first argument, for 3 s."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            owner = platform.nodes["node0"].assembled.owned.owners[POOL]
            odd, sound = list_pool_hosts(platform)[:2]
            real = getattr(kind, name)

            def call(called: Any, host: Any, *args: Any) -> Any:
                if getattr(host, "record", host).id == odd.id:
                    raise InjectedError(name)
                return real(called, host, *args)

            began_at_s = asyncio.get_running_loop().time()
            with patch.object(kind, name, call):
                platform.list_host(odd)
                await asyncio.sleep(3)
            self.assertGreater(len(list_starts(platform, sound.id, began_at_s + 1)), 3)
            self.assertEqual([], list_starts(platform, odd.id, began_at_s + 1.5))
            platform.list_host(odd)
            await asyncio.sleep(6)
            self.assertGreater(len(list_starts(platform, odd.id, began_at_s + 3)), 3)
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))
            self.assertIs(owner, platform.nodes["node0"].assembled.owned.owners[POOL])
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_host_whose_answers_to_starts_raise_costs_its_pool_no_owner(self) -> None:
        """Guards against one odd answer to a start that takes the whole pool to and fro."""
        self._check("start")
