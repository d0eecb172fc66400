"""What a steward records of its orders, and what the next one leaves alone for a while."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.order_records import (
    ORDERS_KEY,
    ORDERS_PARTITION,
    parse_orders_record,
)
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.fleet.fleet_view import MoveOrder, UpkeepOrder
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.node.machine_orders import MachineOrders
from robinthread._internal.node.unsettled_upkeep import (
    ORDER_DELAY_MAX_S,
    PREVIOUS_STEWARD_FROZEN_MAX_S,
)
from robinthread._internal.node.wave_tracker import WaveTracker
from robinthread._internal.standins.node_settings_standin import BOUNDS
from robinthread._internal.standins.platform_standin import (
    RECORDS,
    RESERVE,
    PlatformStandin,
)
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.job_platforms import HOST_CAPACITY, POOL, plan_second, wait_until
from tests.lib.virtual import run_virtual

TURN_S = BOUNDS.steward_turn_ms / 1000
SETTLE_S = TURN_S + 2


def make_orders(platform: PlatformStandin, token: int, wait_s: float) -> MachineOrders:
    """Make the orders of a steward that leaves alone for ``wait_s`` what the last one ordered."""
    events = EventLog("n", platform.events.append)
    journal = Journal(platform.store.connect("n"), ORDERS_PARTITION, "steward", token, events)
    return MachineOrders(
        platform.machines.connect("n"),
        journal,
        WaveTracker(journal, journal, RECORDS, events, BOUNDS.machine_upkeep_s),
        events,
        f"n/{token}",
        token,
        TURN_S,
        SETTLE_S,
        wait_s,
        lambda reason: None,
    )


def read_records(platform: PlatformStandin) -> tuple[KeyedRecord, ...]:
    """Return what stewards have recorded."""
    newest = platform.store.get_newest(ORDERS_PARTITION)
    return tuple(KeyedRecord(key, value) for key, value in newest.items())


def read_machines(platform: PlatformStandin) -> tuple[str, ...]:
    """Return the machines that the last record of orders names."""
    value = platform.store.get_newest(ORDERS_PARTITION)[ORDERS_KEY]
    return parse_orders_record(KeyedRecord(ORDERS_KEY, value)).machines


class RecordedOrdersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = PlatformStandin(plan_second)

    def _add_machines(self, count: int) -> list[str]:
        return [self.platform.machines.add(RESERVE, "r", HOST_CAPACITY) for _ in range(count)]

    def test_steward_that_need_not_wait_records_what_it_is_about_to_order(self) -> None:
        async def work() -> None:
            first, second = self._add_machines(2)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            await orders.give((MoveOrder(first, POOL),))
            self.assertEqual((first,), read_machines(self.platform))
            await asyncio.sleep(TURN_S / 2)
            await orders.give((MoveOrder(second, POOL),))
            self.assertEqual((first, second), read_machines(self.platform))

        run_virtual(work())

    def test_machine_on_its_way_stays_recorded_when_another_is_ordered(self) -> None:
        async def work() -> None:
            first, second = self._add_machines(2)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            await orders.give((MoveOrder(first, POOL),))
            await asyncio.sleep(TURN_S + 0.5)
            orders.record_listing(asyncio.get_running_loop().time())
            # The first one may still be on its way: it settles only SETTLE_S after its order.
            await orders.give((MoveOrder(second, POOL),))
            self.assertEqual((first, second), read_machines(self.platform))

        run_virtual(work())

    def test_next_steward_leaves_it_alone_if_it_is_to_wait(self) -> None:
        async def work() -> None:
            (machine,) = self._add_machines(1)
            await make_orders(self.platform, 1, wait_s=0.0).give((MoveOrder(machine, POOL),))
            for wait_s, held in ((TURN_S, {machine}), (0.0, set())):
                following = make_orders(self.platform, 2, wait_s)
                following.load(read_records(self.platform))
                self.assertEqual(held, following.list_blocked())

        run_virtual(work())

    def test_what_was_ordered_long_ago_is_named_no_more(self) -> None:
        async def work() -> None:
            first, second = self._add_machines(2)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            await orders.give((MoveOrder(first, POOL),))
            await asyncio.sleep(SETTLE_S)
            orders.record_listing(asyncio.get_running_loop().time())
            await orders.give((MoveOrder(second, POOL),))
            self.assertEqual((second,), read_machines(self.platform))

        run_virtual(work())

    def test_order_counts_as_recent_from_when_it_was_last_given(self) -> None:
        """The platform leaves it unanswered for longer than the time between two stewards."""

        async def work() -> None:
            first, second = self._add_machines(2)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            self.platform.machines.faults.silent.add("*")
            await orders.give((MoveOrder(first, POOL),))
            await asyncio.sleep(TURN_S)
            self.platform.machines.faults.silent.clear()
            await wait_until(lambda: first in orders.moved)
            await asyncio.sleep(TURN_S / 2)
            orders.record_listing(asyncio.get_running_loop().time())
            await orders.give((MoveOrder(second, POOL),))
            self.assertEqual((first, second), read_machines(self.platform))

        run_virtual(work())

    def test_next_steward_knows_what_was_ordered_before(self) -> None:
        async def work() -> None:
            (machine,) = self._add_machines(1)
            await make_orders(self.platform, 1, wait_s=0.0).give((MoveOrder(machine, POOL),))
            following = make_orders(self.platform, 2, wait_s=0.0)
            self.assertEqual(frozenset(), following.previously_ordered)
            following.load(read_records(self.platform))
            self.assertEqual({machine}, following.previously_ordered)

        run_virtual(work())

    def test_machine_that_has_come_where_the_last_steward_moved_it_does_not_leave(self) -> None:
        async def work() -> None:
            come, late = self._add_machines(2)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            await orders.give((MoveOrder(come, POOL), MoveOrder(late, POOL)))
            following = make_orders(self.platform, 2, TURN_S)
            following.load(read_records(self.platform))
            known = {
                name: Machine(name, pool, MachineState.UP, "hall", "r", "", HOST_CAPACITY, "")
                for name, pool in ((come, POOL), (late, RESERVE))
            }
            self.assertEqual({come, late}, following.list_blocked())
            self.assertEqual({late}, following.list_leaving(known))
            known[come] = replace(known[come], state=MachineState.MOVING)
            self.assertEqual({come, late}, following.list_leaving(known))

        run_virtual(work())

    def test_record_is_emptied_when_all_that_it_names_was_ordered_long_ago(self) -> None:
        async def work() -> None:
            first, second = self._add_machines(2)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            await orders.give((MoveOrder(first, POOL),))
            await wait_until(lambda: first in orders.moved)
            orders.record_listing(asyncio.get_running_loop().time() + 1)
            await asyncio.sleep(SETTLE_S - 1)
            orders.drop_settled()
            await asyncio.sleep(0.5)
            self.assertEqual((first,), read_machines(self.platform))
            await asyncio.sleep(1)
            orders.drop_settled()
            await orders.give((MoveOrder(second, POOL),))
            self.assertEqual((second,), read_machines(self.platform))
            await asyncio.sleep(SETTLE_S)
            orders.record_listing(asyncio.get_running_loop().time())
            orders.drop_settled()
            await asyncio.sleep(1)
            self.assertEqual((), read_machines(self.platform))

        run_virtual(work())

    def test_record_names_an_order_for_as_long_as_it_is_tried(self) -> None:
        async def work() -> None:
            (machine,) = self._add_machines(1)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            self.platform.machines.faults.silent.add("*")
            await orders.give((MoveOrder(machine, POOL),))
            await asyncio.sleep(3 * SETTLE_S)
            orders.drop_settled()
            await asyncio.sleep(1)
            self.assertEqual((machine,), read_machines(self.platform))
            orders.cancel()

        run_virtual(work())

    def test_next_steward_empties_the_record_of_the_last_one(self) -> None:
        async def work() -> None:
            (machine,) = self._add_machines(1)
            await make_orders(self.platform, 1, wait_s=0.0).give((MoveOrder(machine, POOL),))
            following = make_orders(self.platform, 2, wait_s=0.0)
            following.load(read_records(self.platform))
            following.drop_settled()
            await asyncio.sleep(SETTLE_S / 2)
            self.assertEqual((machine,), read_machines(self.platform))
            await asyncio.sleep(SETTLE_S / 2)
            following.drop_settled()
            await asyncio.sleep(1)
            self.assertEqual((), read_machines(self.platform))

        run_virtual(work())


class UnsettledUpkeepTest(TestCase):
    """What a steward makes of the upkeep that the last one recorded."""

    def setUp(self) -> None:
        super().setUp()
        self.platform = PlatformStandin(plan_second)

    async def _replace(self, begun: bool, wait_s: float = TURN_S) -> tuple[MachineOrders, str]:
        machine = self.platform.machines.add(RESERVE, "r", HOST_CAPACITY)
        await make_orders(self.platform, 1, wait_s=0.0).give((UpkeepOrder(machine, 1),))
        following = make_orders(self.platform, 2, wait_s)
        if begun:
            await following._waves.record_start(1, machine)
        following.load(read_records(self.platform))
        return following, machine

    def test_upkeep_that_has_begun_is_settled_and_its_record_is_emptied(self) -> None:
        async def work() -> None:
            orders, _machine = await self._replace(begun=True)
            self.assertEqual({}, orders.unsettled.get_waves())
            await asyncio.sleep(SETTLE_S)
            orders.drop_settled()
            await asyncio.sleep(0.1)
            self.assertEqual((), read_machines(self.platform))

        run_virtual(work())

    def test_other_upkeep_counts_until_it_is_ordered_shown_or_long_ago(self) -> None:
        async def work() -> None:
            orders, machine = await self._replace(begun=False)
            self.assertEqual({machine: 1}, orders.unsettled.get_waves())
            listed = Machine(machine, RESERVE, MachineState.UP, "", "", "", HOST_CAPACITY, "")
            orders.unsettled.record_listing({machine: listed})
            self.assertEqual({machine: 1}, orders.unsettled.get_waves())
            orders.unsettled.record_listing({machine: replace(listed, state=MachineState.UPKEEP)})
            self.assertEqual({}, orders.unsettled.get_waves())
            for wait_s, left_s in ((0.0, 0.0), (TURN_S, PREVIOUS_STEWARD_FROZEN_MAX_S)):
                self.platform = PlatformStandin(plan_second)
                orders, machine = await self._replace(begun=False, wait_s=wait_s)
                await asyncio.sleep(ORDER_DELAY_MAX_S - 1)
                self.assertEqual({machine: 1}, orders.unsettled.get_waves())
                await asyncio.sleep(left_s + 2)
                self.assertEqual({}, orders.unsettled.get_waves())

        run_virtual(work())


class PlaceKeptTest(TestCase):
    """An upkeep that may be done keeps its place in the wave, whatever comes after it."""

    def setUp(self) -> None:
        super().setUp()
        self.platform = PlatformStandin(plan_second)

    def test_order_without_answer_keeps_it_though_its_repetition_does_not_fit(self) -> None:
        """The place was free 1.3 s after the order was sent, which was done 4 s after."""

        async def work() -> None:
            (machine,) = (self.platform.machines.add(RESERVE, "r", HOST_CAPACITY),)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            faults = self.platform.machines.faults
            faults.lost_share, faults.late_s = 1.0, (4.0, 4.0)
            await orders.give((UpkeepOrder(machine, 1),))
            await asyncio.sleep(0.5)
            faults.lost_share = 0.0
            record = self.platform.machines.machines.pop(machine)
            await asyncio.sleep(2)
            self.assertIn(machine, orders.under_way)
            self.platform.machines.machines[machine] = record
            await asyncio.sleep(2)
            self.assertEqual({machine}, self.platform.machines.waves.begun[1])

        run_virtual(work())

    def test_end_of_an_order_leaves_the_place_of_the_next_one(self) -> None:
        """A store that is slow for 3 s had the first upkeep recorded after the second was sent."""

        async def work() -> None:
            machine = self.platform.machines.add(RESERVE, "r", HOST_CAPACITY)
            orders = make_orders(self.platform, 1, wait_s=0.0)
            await orders.give((UpkeepOrder(machine, 1),))
            self.platform.store.faults.silent.add("*")
            await asyncio.sleep(2.5)
            orders.record_listing(asyncio.get_running_loop().time())
            self.platform.machines.faults.silent.add("*")
            second = UpkeepOrder(machine, 2)
            orders.under_way[machine] = second
            self.platform.store.faults.silent.clear()
            await asyncio.sleep(3)
            self.assertIs(second, orders.under_way.get(machine))

        run_virtual(work())
