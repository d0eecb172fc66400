"""Usage report of a worker."""

from dataclasses import dataclass


@dataclass(frozen=True)
class WorkerReport:
    """Slot usage of a worker at the time of the report, which may be out of date.

    ``boot_id`` changes with every reboot.  ``token`` is the newest fencing token that
    the worker has received.
    """

    boot_id: str
    slots_in_use: int
    token: int
