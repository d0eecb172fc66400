"""Which machines were ordered last, and by which steward."""

from collections.abc import Iterable
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition

ORDERS_PARTITION: Final = Partition("keyed.machine-orders")
ORDERS_KEY: Final = "recent"


class RecentOrders(msgspec.Struct, frozen=True, array_like=True):
    """Machines that a steward has ordered lately, or is about to.

    Written before an order is given, so it names at least all that the steward
    has ordered within the time that must pass between two stewards.  It
    names none once what was ordered last has had the time to come up.
    """

    machines: tuple[str, ...]


def make_orders_record(machines: Iterable[str]) -> KeyedRecord:
    """Make the record of a steward's recent orders."""
    value = msgspec.msgpack.encode(RecentOrders(tuple(sorted(machines))))
    return KeyedRecord(ORDERS_KEY, value)


def parse_orders_record(record: KeyedRecord) -> RecentOrders:
    """Read the record of recent orders; raise ``msgspec.MsgspecError``."""
    return msgspec.msgpack.decode(record.value or b"", type=RecentOrders)
