"""Which machines were ordered last, and by which steward."""

from collections.abc import Mapping
from itertools import zip_longest
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition

ORDERS_PARTITION: Final = Partition("keyed.machine-orders")
ORDERS_KEY: Final = "recent"


class RecentOrders(msgspec.Struct, frozen=True, array_like=True):
    """Machines that a steward has ordered lately, or is about to.

    Written before an order is given, so it names at least all that the steward
    has ordered within the time that must pass between two stewards.  It
    names none once what was ordered last has had the time to come up.  ``pools`` are
    those that they are to come up in, empty for an upkeep.
    """

    machines: tuple[str, ...]
    pools: tuple[str, ...] = ()

    @property
    def targets(self) -> dict[str, str]:
        """Return the pool that each machine is to come up in, empty for an upkeep."""
        return dict(zip_longest(self.machines, self.pools[: len(self.machines)], fillvalue=""))


def make_orders_record(targets: Mapping[str, str]) -> KeyedRecord:
    """Make the record of a steward's recent orders: the pool that each machine is to be in."""
    machines = tuple(sorted(targets))
    pools = tuple(targets[machine] for machine in machines)
    value = msgspec.msgpack.encode(RecentOrders(machines, pools))
    return KeyedRecord(ORDERS_KEY, value)


def parse_orders_record(record: KeyedRecord) -> RecentOrders:
    """Read the record of recent orders; raise ``msgspec.MsgspecError``."""
    return msgspec.msgpack.decode(record.value or b"", type=RecentOrders)
