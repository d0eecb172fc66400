"""Which machines were ordered last, and by which steward."""

from collections.abc import Mapping
from itertools import chain, repeat
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition

ORDERS_PARTITION: Final = Partition("keyed.machine-orders")
ORDERS_KEY: Final = "recent"


class OrderTarget(msgspec.Struct, frozen=True, array_like=True):
    """What an order is for: the pool that a machine is to come up in, or the wave of its upkeep."""

    pool: str = ""
    wave: int = 0


class RecentOrders(msgspec.Struct, frozen=True, array_like=True):
    """Machines that a steward has ordered lately, or is about to.

    Written before an order is given, so it names at least all that the steward
    has ordered within the time that must pass between two stewards.  It
    names none once what was ordered last has had the time to come up.  ``targets`` tells what
    each order is for; an older process writes none.
    """

    machines: tuple[str, ...]
    targets: tuple[OrderTarget, ...] = ()

    @property
    def targets_by_machine(self) -> dict[str, OrderTarget]:
        """Return what the order of each machine is for."""
        targets = chain(self.targets, repeat(OrderTarget()))
        return dict(zip(self.machines, targets, strict=False))


def make_orders_record(by_machine: Mapping[str, OrderTarget]) -> KeyedRecord:
    """Make the record of a steward's recent orders, by machine."""
    machines = tuple(sorted(by_machine))
    targets = tuple(by_machine[machine] for machine in machines)
    value = msgspec.msgpack.encode(RecentOrders(machines, targets))
    return KeyedRecord(ORDERS_KEY, value)


def parse_orders_record(record: KeyedRecord) -> RecentOrders:
    """Read the record of recent orders; raise ``msgspec.MsgspecError``."""
    return msgspec.msgpack.decode(record.value or b"", type=RecentOrders)
