"""Record of the steward's recent orders to machines."""

from collections.abc import Mapping
from itertools import chain, repeat
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.utils.foreign_input import Number, decode_msgpack

ORDERS_PARTITION: Final = Partition("keyed.machine-orders")
ORDERS_KEY: Final = "recent"


class OrderTarget(msgspec.Struct, frozen=True, array_like=True):
    """Target of an order: the pool that the machine joins, or the wave of its upkeep."""

    pool: str = ""
    wave: Number = 0


class RecentOrders(msgspec.Struct, frozen=True, array_like=True):
    """Machines that a steward has ordered recently or is about to order.

    The record is written before the order is sent, so it lists at least every machine that the
    steward ordered within the time that must pass between two stewards.  It is empty once the
    machines ordered last have had time to come up.  ``targets`` has the target of each order,
    by position; older processes write none.
    """

    machines: tuple[str, ...]
    targets: tuple[OrderTarget, ...] = ()

    @property
    def targets_by_machine(self) -> dict[str, OrderTarget]:
        """Return the target of each machine's order; an empty target if none was written."""
        targets = chain(self.targets, repeat(OrderTarget()))
        return dict(zip(self.machines, targets, strict=False))


def make_orders_record(by_machine: Mapping[str, OrderTarget]) -> KeyedRecord:
    """Make the record of a steward's recent orders from their targets by machine."""
    machines = tuple(sorted(by_machine))
    targets = tuple(by_machine[machine] for machine in machines)
    value = msgspec.msgpack.encode(RecentOrders(machines, targets))
    return KeyedRecord(ORDERS_KEY, value)


def parse_orders_record(record: KeyedRecord) -> RecentOrders:
    """Decode the record of recent orders; raise ``MalformedInputError`` if it is malformed."""
    return decode_msgpack(record.value or b"", RecentOrders)
