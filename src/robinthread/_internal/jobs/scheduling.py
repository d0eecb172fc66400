"""Placing all waiting tasks that fit somewhere."""

from robinthread._internal.jobs.gangs import place_gang
from robinthread._internal.jobs.placement import choose_host, sort_waiting
from robinthread._internal.jobs.pool_jobs import PoolJobs


def place_waiting(pool: PoolJobs, now_s: float, now_ms: int) -> int:
    """Place the tasks that fit somewhere, most urgent first; return how many."""
    placed = 0
    for task in sort_waiting(pool, now_ms):
        if task.key not in pool.waiting:
            # It has been placed with its gang.
            continue
        if task.step.is_gang:
            placed += place_gang(pool, task, now_s)
            continue
        host = choose_host(pool, task, now_s)
        if host is not None:
            pool.place(task, host)
            placed += 1
    return placed
