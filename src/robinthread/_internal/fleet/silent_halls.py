"""Which data halls seem to be cut off."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from robinthread._internal.fleet.pool_report import PoolReport
from robinthread._internal.models.machine import Machine

# So many hosts of a hall must be out of reach, and more than answer.
SILENT_HOSTS_MIN: Final = 2


def find_silent_halls(
    reports: Iterable[PoolReport], machines: Mapping[str, Machine]
) -> frozenset[str]:
    """Return the halls most of whose hosts cannot be used by the owners of their pools.

    A host that is still awaited tells nothing of its hall.
    """
    silent: Counter[str] = Counter()
    usable: Counter[str] = Counter()
    for report in reports:
        for host in report.hosts:
            machine = machines.get(host.machine)
            is_current = machine is not None and machine.host_id == host.host_id
            if machine is not None and is_current and not host.is_awaited:
                (usable if host.is_usable else silent)[machine.hall] += 1
    return frozenset(
        hall for hall, count in silent.items() if count >= SILENT_HOSTS_MIN and count > usable[hall]
    )
