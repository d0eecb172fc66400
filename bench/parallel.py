"""Runs jobs in parallel processes and returns their results in the order of the jobs."""

import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import TypeVar

Job = TypeVar("Job")
Found = TypeVar("Found")

PROCESSES_MAX = max(1, (os.cpu_count() or 1) - 1)


def run_in_processes(
    work: Callable[[Job], Found], jobs: Sequence[Job], processes_max: int = PROCESSES_MAX
) -> list[Found]:
    """Return the result of ``work`` for each job, in the order of ``jobs``."""
    with ProcessPoolExecutor(min(processes_max, PROCESSES_MAX)) as executor:
        return list(executor.map(work, jobs))
