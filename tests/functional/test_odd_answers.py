"""Machines, peers and advice whose answers raise: one call fails, and nobody loses ownership."""

import asyncio
from typing import Any
from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.node.election import FLEET_POOL
from robinthread._internal.node.peer_messages import StoreStatusRequest
from robinthread._internal.standins.machines_standin import MachinesClient
from robinthread._internal.standins.platform_standin import RESERVE, _PeersClient
from tests.lib.job_platforms import HOST_CAPACITY, POOL, get_owner, start_platform, wait_until
from tests.lib.task_failures import (
    InjectedError,
    find_unfinished,
    list_pool_hosts,
    plan_wide,
    read_lines,
    start_loaded,
)
from tests.lib.virtual import run_virtual


class OddAnswersTest(TestCase):
    def test_machine_list_that_raises_costs_the_steward_no_token(self) -> None:
        """Guards against stewards that follow one another on a list that none can read."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=2, hosts=2)
            table = platform.nodes["node0"].assembled.node._table
            before = table.owners[FLEET_POOL].token

            async def list_machines(client: Any) -> Any:
                raise InjectedError("list")

            with patch.object(MachinesClient, "list_machines", list_machines):
                await asyncio.sleep(3)
            self.assertEqual(before, table.owners[FLEET_POOL].token)
            self.assertTrue(read_lines(platform, "call_failed"))
            self.assertEqual([], read_lines(platform, "steward_failed"))

        run_virtual(work())

    def test_move_whose_answer_raises_is_sent_again(self) -> None:
        """Guards against an order that ends unseen, with its machine blocked or forgotten."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded()
            real = MachinesClient.move
            failed: list[str] = []

            async def move(client: Any, machine: str, *args: Any) -> None:
                if not failed:
                    failed.append(machine)
                    raise InjectedError("move")
                await real(client, machine, *args)

            with patch.object(MachinesClient, "move", move):
                platform.machines.add(RESERVE, "r1", HOST_CAPACITY)
                await wait_until(lambda: len(list_pool_hosts(platform)) == 3, limit_s=10)
            self.assertEqual(1, len(failed))
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node0", jobs))

        run_virtual(work())

    def test_step_of_the_steward_that_raises_costs_it_no_token(self) -> None:
        """Guards against one row of a list that ends the steward in this node's own code."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=2, hosts=2)
            table = platform.nodes["node0"].assembled.node._table
            before = table.owners[FLEET_POOL].token
            steward = next(
                node.assembled.node._steward
                for node in platform.nodes.values()
                if node.assembled.node._steward is not None
            )
            build = steward._view_builder.build
            with patch.object(steward._view_builder, "build", side_effect=InjectedError("row")):
                await asyncio.sleep(0.5)
            self.assertEqual(build, steward._view_builder.build)
            await asyncio.sleep(3)
            self.assertEqual(before, table.owners[FLEET_POOL].token)
            self.assertTrue(read_lines(platform, "steward_step_failed"))

        run_virtual(work())

    def test_report_of_a_pool_that_raises_costs_the_steward_no_token(self) -> None:
        """Guards against one pool that keeps the machines of all others from being planned."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=1, hosts=2)
            node = platform.nodes["node0"].assembled
            before = node.node._table.owners[FLEET_POOL].token
            owner = node.owned.owners[POOL]
            with patch.object(owner, "report", side_effect=InjectedError("report")):
                await asyncio.sleep(3)
            self.assertEqual(before, node.node._table.owners[FLEET_POOL].token)
            self.assertIs(owner, node.owned.owners[POOL])
            self.assertTrue(read_lines(platform, "pool_report_failed"))

        run_virtual(work())

    def test_peer_whose_answers_raise_does_not_keep_a_lost_owner_in_place(self) -> None:
        """Guards against one odd peer that ends the monitoring of missing owners."""

        async def work() -> None:
            platform = await start_platform(plan_wide, nodes=3, hosts=2)
            real = _PeersClient.send_request

            async def send(client: Any, address: str, request: Any, *args: Any) -> Any:
                if isinstance(request, StoreStatusRequest):
                    raise InjectedError(address)
                return await real(client, address, request, *args)

            owner = get_owner(platform) or ""
            with patch.object(_PeersClient, "send_request", send):
                platform.kill_node(owner)
                took_s = await wait_until(lambda: get_owner(platform) not in (owner, None))
            self.assertLess(took_s, 5)
            self.assertEqual([], read_lines(platform, "task_failed"))

        run_virtual(work())
