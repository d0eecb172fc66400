"""Sends orders for machines and repeats them until the platform responds."""

import asyncio
import math
from collections.abc import Callable, Collection, Coroutine, Iterable, Mapping
from typing import Any, Final

import msgspec

from robinthread._internal.durable.errors import StoreFencedError
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.order_records import (
    OrderTarget,
    parse_orders_record,
)
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.fleet.fleet_view import MoveOrder, UpkeepOrder
from robinthread._internal.fleet.machine_calls import MachineCalls
from robinthread._internal.fleet.machine_errors import (
    MachineBusyError,
    MachineError,
    MachineFencedError,
    MachineMisfitError,
    MachineNoAnswerError,
)
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.node.order_recorder import OrderRecorder
from robinthread._internal.node.pool_runtime import get_loop_s
from robinthread._internal.node.unsettled_upkeep import ORDER_DELAY_MAX_S, UnsettledUpkeep
from robinthread._internal.node.wave_tracker import WaveTracker
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.telemetry.gathered_lines import LISTED_NAMES_MAX
from robinthread._internal.utils.error_text import describe_error

# Pause before an order that got no response is repeated.
RETRY_PAUSE_S: Final = 0.3
# How long a machine that was busy or not suitable gets no order.
BUSY_PAUSE_S: Final = 1.0

Order = MoveOrder | UpkeepOrder
ReportFenced = Callable[[str], None]


class MachineOrders:
    """Tracks orders in progress, orders just completed and machines that get no order for a while.

    A completed order counts as in progress until a machine list that was requested later shows
    its effect.  ``moved`` is, by machine, when and to which pool it was last moved.
    ``previously_ordered`` are the machines that the previous steward recorded.

    Machines that the previous steward ordered get no order for ``wait_s``, which is 0 if it
    can give no more orders.  The next steward may have to wait in any case, and has to know
    which machines may be coming up.  So the record always contains the machines that were
    ordered within ``turn_s`` or within ``settle_s``, in which a machine comes up or is still tried.
    Once that time has passed without an order, an empty record is written.

    An order without a response stays in progress as long as it may be executed late, whatever
    the outcome of its repetition.

    An order is sent, or repeated, only while its machine is known to be vacated, see ``confirm``:
    after a wait for the store or the platform, the machine may be in use again.
    """

    def __init__(
        self,
        machines: MachineCalls,
        journal: Journal,
        waves: WaveTracker,
        events: EventLog,
        holder: str,
        token: int,
        turn_s: float,
        settle_s: float,
        wait_s: float,
        report_fenced: ReportFenced,
    ) -> None:
        self._machines = machines
        self._waves = waves
        self._events = events
        self._holder = holder
        self._token = token
        self._turn_s = turn_s
        self._settle_s = settle_s
        self._wait_s = wait_s
        self._report_fenced = report_fenced
        self.under_way: dict[str, Order] = {}
        self.moved: dict[str, tuple[float, str]] = {}
        self.previously_ordered: frozenset[str] = frozenset()
        self.unsettled = UnsettledUpkeep()
        self._done_at_s: dict[str, float] = {}
        self._ordered_at_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}
        self._recorder = OrderRecorder(journal, self._spawn, report_fenced)
        self._vacated_until_s: dict[str, float] = {}
        self._left_at_s = -math.inf
        self._targets: dict[str, OrderTarget] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_stopped = False

    def load(self, records: tuple[KeyedRecord, ...]) -> None:
        """Block the machines that the previous steward recorded for ``wait_s``."""
        now_s = get_loop_s()
        malformed = MalformedRecords(self._events, "orders")
        for record in records:
            try:
                self._targets |= parse_orders_record(record).targets_by_machine
            except msgspec.MsgspecError as error:
                malformed.tell(record, error)
        self._paused_until_s = dict.fromkeys(self._targets, now_s + self._wait_s)
        self._ordered_at_s = dict.fromkeys(self._targets, now_s)
        self._recorder.recorded = dict(self._targets)
        self.previously_ordered = frozenset(self._targets)
        open_upkeep = {
            machine: target.wave
            for machine, target in self._targets.items()
            if target.wave and not self._waves.has_begun(target.wave, machine)
        }
        self._waves.record_earlier_orders(self._targets)
        self.unsettled.load(open_upkeep, has_previous_steward_ended=self._wait_s == 0)

    def list_blocked(self) -> frozenset[str]:
        """Return the machines that must get no order now."""
        now_s = get_loop_s()
        paused = {name for name, until_s in self._paused_until_s.items() if now_s < until_s}
        return frozenset(self.under_way) | paused

    def list_leaving(self, known: Mapping[str, Machine]) -> frozenset[str]:
        """Return the machines that may be about to leave the pool in which they are listed.

        A machine that the previous steward moved does not count once it is up in its new pool, as
        a late order of that steward would leave it there.  Neither does a machine that is up and
        whose upkeep has begun.
        """
        return frozenset(self.under_way) | {
            name for name in self.list_blocked() if not self._has_arrived(known.get(name))
        }

    def _has_arrived(self, machine: Machine | None) -> bool:
        if machine is None or machine.state is not MachineState.UP:
            return False
        target = self._targets.get(machine.name, OrderTarget())
        if target.wave:
            return self._waves.has_begun(target.wave, machine.name)
        return machine.pool == target.pool

    def record_listing(self, requested_at_s: float) -> None:
        """Drop orders that were completed before the machine list was requested."""
        for name in [name for name, done_s in self._done_at_s.items() if done_s < requested_at_s]:
            del self._done_at_s[name]
            self.under_way.pop(name, None)

    def confirm(self, machines: Iterable[str], until_s: float) -> None:
        """Set which machines have no work and will get none until ``until_s``."""
        self._vacated_until_s = dict.fromkeys(machines, until_s)

    async def give(self, orders: tuple[Order, ...]) -> None:
        """Write a record of the machines to be ordered, then start the orders.

        If the record takes too long, or a machine is no longer known to be vacated by then, the
        order is left to a later step.
        """
        if orders and not await self._recorder.record(self._list_targets(orders)):
            self._leave("their record is not stored yet", orders)
            return
        vacated = [order for order in orders if self._is_vacated(order)]
        self._leave("the decision is too old", set(orders) - set(vacated))
        for order in vacated:
            self._targets[order.machine] = _get_target(order)
            self.under_way[order.machine] = order
            self._spawn(self._execute(order))

    def drop_settled(self) -> None:
        """Empty the record if no order is open and the last one is ``settle_s`` ago.

        Orders that were left to a later step still need it.
        """
        last_s = max(self._ordered_at_s.values(), default=-math.inf)
        last_s = max(last_s, self._left_at_s)
        is_open = self.under_way or self.unsettled.get_waves() or self._recorder.is_writing
        is_settled = not is_open and get_loop_s() - last_s >= self._settle_s
        if self._recorder.recorded and is_settled:
            self._recorder.empty()

    def cancel(self) -> list[asyncio.Task[Any]]:
        """Cancel all orders in progress, and return their tasks."""
        self._is_stopped = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except Exception as error:
            name = f"steward/{getattr(work, '__name__', '')}"
            self._events.write("task_failed", task=name, **describe_error(error))

    def _is_vacated(self, order: Order) -> bool:
        return get_loop_s() < self._vacated_until_s.get(order.machine, -math.inf)

    def _list_targets(self, orders: tuple[Order, ...]) -> dict[str, OrderTarget]:
        """Return the machines that the record must have for these orders, with their targets."""
        now_s = get_loop_s()
        self._ordered_at_s = {
            name: ordered_s
            for name, ordered_s in self._ordered_at_s.items()
            if now_s - ordered_s < max(self._turn_s, self._settle_s)
        }
        targets = {order.machine: _get_target(order) for order in orders}
        names = {*self.under_way, *self._ordered_at_s, *self.unsettled.get_waves()}
        return {name: self._targets[name] for name in names} | targets

    async def _execute(self, order: Order) -> None:
        """Send an order until it gets a response; one without may still be executed."""
        may_be_executed_until_s = -math.inf
        try:
            while not self._is_stopped:
                if not self._is_vacated(order):
                    if get_loop_s() >= may_be_executed_until_s:
                        self._log_outcome(order, "withheld", "the machine may be in use again")
                        return
                    await asyncio.sleep(RETRY_PAUSE_S)
                    continue
                try:
                    await self._send(order)
                except MachineNoAnswerError as error:
                    may_be_executed_until_s = get_loop_s() + ORDER_DELAY_MAX_S
                    self._log_outcome(order, "no answer", str(error))
                    await asyncio.sleep(RETRY_PAUSE_S)
                    continue
                except MachineFencedError:
                    self._report_fenced("MachineFencedError")
                except MachineError as error:
                    self._log_outcome(order, _get_outcome(error), str(error))
                    # An earlier attempt without a response may still be executed.
                    if get_loop_s() < may_be_executed_until_s:
                        await asyncio.sleep(BUSY_PAUSE_S)
                        continue
                    self._paused_until_s[order.machine] = get_loop_s() + BUSY_PAUSE_S
                else:
                    self._log_outcome(order, "done")
                    await self._record_done(order)
                return
        except StoreFencedError:
            self._report_fenced("StoreFencedError")
        finally:
            # While a slow store delayed this order, the machine may have got its next one.
            is_own = self.under_way.get(order.machine) is order
            if is_own and order.machine not in self._done_at_s:
                del self.under_way[order.machine]

    async def _send(self, order: Order) -> None:
        self._ordered_at_s[order.machine] = get_loop_s()
        if isinstance(order, MoveOrder):
            await self._machines.move(order.machine, order.pool, self._holder, self._token)
        else:
            await self._machines.begin_upkeep(order.machine, order.wave, self._holder, self._token)

    async def _record_done(self, order: Order) -> None:
        self._done_at_s[order.machine] = get_loop_s()
        if isinstance(order, MoveOrder):
            self.moved[order.machine] = (get_loop_s(), order.pool)
        else:
            self.unsettled.settle(order.machine)
            await self._waves.record_start(order.wave, order.machine)

    def _leave(self, reason: str, orders: Collection[Order]) -> None:
        """Leave orders to a later step."""
        if orders:
            self._left_at_s = get_loop_s()
            self._events.gather(
                "machine_orders_left",
                by={"reason": reason},
                machine_count=len(orders),
                machines=sorted(order.machine for order in orders)[:LISTED_NAMES_MAX],
            )

    def _log_outcome(self, order: Order, outcome: str, error: str = "") -> None:
        detail = {"error": error} if error else {}
        if isinstance(order, UpkeepOrder):
            self._events.write(
                "upkeep_answered",
                wave=order.wave,
                machine=order.machine,
                outcome=outcome,
                took_ms=round(1000 * (get_loop_s() - self._ordered_at_s[order.machine]), 1),
                **detail,
            )
            return
        self._events.gather(
            "machine_ordered",
            by={"to_pool": order.pool, "outcome": outcome},
            listed={"machines": order.machine},
            **detail,
        )


def _get_outcome(error: MachineError) -> str:
    if isinstance(error, MachineBusyError):
        return "busy"
    return "does not fit" if isinstance(error, MachineMisfitError) else "refused"


def _get_target(order: Order) -> OrderTarget:
    if isinstance(order, MoveOrder):
        return OrderTarget(pool=order.pool)
    return OrderTarget(wave=order.wave)
