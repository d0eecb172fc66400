"""Detection of data halls that seem to be cut off."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from robinthread._internal.fleet.pool_report import PoolReport
from robinthread._internal.models.machine import Machine

# A hall is silent if at least this many of its hosts, and more than are usable, are unreachable.
SILENT_HOSTS_MIN: Final = 2


def find_silent_halls(
    reports: Iterable[PoolReport], machines: Mapping[str, Machine]
) -> frozenset[str]:
    """Return the halls most of whose hosts cannot be used by the owners of their pools.

    Hosts whose first response is still expected do not count.
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
