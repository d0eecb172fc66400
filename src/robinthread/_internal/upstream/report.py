"""A worker's usage report."""

from dataclasses import dataclass


@dataclass(frozen=True)
class WorkerReport:
    """Usage of a worker, with a lag.

    ``boot_id`` changes with every reboot.  ``token`` is the newest fencing
    token that the worker has seen.
    """

    boot_id: str
    slots_in_use: int
    token: int
