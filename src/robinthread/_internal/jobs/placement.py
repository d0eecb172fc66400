"""Choice of a host for a waiting task, and the order in which waiting tasks are placed."""

from collections.abc import Collection, Iterable, Iterator

from robinthread._internal.jobs.cold_hosts import may_start
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.job_timing import get_slack_s
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.start_limits import can_send_soon
from robinthread._internal.jobs.task import Task
from robinthread._internal.jobs.unresponsive_hosts import list_unresponsive
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.step_key import StepKey


def choose_host(pool: PoolJobs, task: Task, hosts: Iterable[Host], now_s: float) -> Host | None:
    """Return the best of the usable ``hosts`` that may run a task, or None if none may."""
    fitting = iter_fitting(pool, task, hosts, now_s)
    return max(fitting, key=lambda host: _get_host_rank(host, task, now_s), default=None)


def is_still_best_host(task: Task, last: Task, host: Host) -> bool:
    """Tell whether the host that was chosen for the ``last`` task is the best for ``task`` too.

    Hosts are filled one after the other, so the same host stays best for the tasks of a step
    while it has capacity.  Lasting tasks are spread instead.
    """
    return (
        task.key.step_key == last.key.step_key
        and not task.step.is_lasting
        and task.resources.fits_in(host.free)
        and host.id not in task.failed_host_ids
        and allows_another_run(task, host)
    )


def iter_fitting(pool: PoolJobs, task: Task, hosts: Iterable[Host], now_s: float) -> Iterator[Host]:
    """Iterate over those of the usable ``hosts`` that can run a task now."""
    job, resources = pool.jobs[task.key.job_id], task.resources
    are_starts_limited = pool.cold_start_limit.restricts_starts
    return (
        host
        for host in hosts
        if resources.fits_in(host.free)
        and (not are_starts_limited or may_start(pool, host, now_s))
        and can_send_soon(pool, host, now_s)
        and may_run(pool, job, task, host, now_s)
        and allows_another_run(task, host)
    )


def get_usable_hosts(pool: PoolJobs, now_s: float) -> list[Host]:
    """Return the hosts that accept work, without those that are reserved for trials of suspects.

    All choices of hosts for starts begin with this list, so it has no host of an evacuated hall.
    Paused hosts are left out unless they are the majority, which indicates that the jobs fail
    and not the hosts.
    """
    if not pool.are_capacities_known:
        return []
    excluded = list_unresponsive(pool, now_s) | pool.crash_tracker.trials.reserved
    halls = pool.evacuated.halls
    hosts = [
        host
        for host in pool.hosts.values()
        if host.id not in excluded and host.accepts_work(now_s) and host.record.hall not in halls
    ]
    return _prefer_healthy(hosts, now_s)


def get_usable_or_vacating_hosts(pool: PoolJobs, now_s: float) -> list[Host]:
    """Return the hosts that accept work, and those that would if they were not being vacated."""
    unresponsive = list_unresponsive(pool, now_s)
    hosts = [
        host
        for host in pool.hosts.values()
        if host.is_eligible() and host.id not in unresponsive and not pool.evacuated.covers(host)
    ]
    return _prefer_healthy(hosts, now_s)


def _prefer_healthy(hosts: list[Host], now_s: float) -> list[Host]:
    healthy = [host for host in hosts if not host.is_paused(now_s)]
    return healthy if 2 * len(healthy) >= len(hosts) else hosts


def may_run(pool: PoolJobs, job: Job, task: Task, host: Host, now_s: float) -> bool:
    """Tell whether a host has the label that a task requires and, with advice, a valid ticket."""
    step = task.step
    if step.required_label and step.required_label not in host.record.labels:
        return False
    return has_ticket(pool, job, task.key.step_key, host, now_s)


def has_ticket(pool: PoolJobs, job: Job, step: StepKey, host: Host, now_s: float) -> bool:
    """Return whether a job needs no ticket for a host, or has one that is still valid."""
    return job.policy.advice is None or pool.tickets.get(step, host.id, now_s) is not None


def allows_another_run(task: Task, host: Host) -> bool:
    """Tell whether a host may run a task without a second run of it or too many of its step."""
    if any(run.host_id == host.id for run in task.runs):
        return False
    limit = task.step.per_host_max
    return not limit or count_step_runs(task, host) < limit


def get_future_capacity(pool: PoolJobs, host: Host) -> Resources:
    """Return the free capacity that a host will have once its runs of tasks that end have ended."""
    ending = (run for run in host.runs.values() if not run.is_lasting)
    ending_resources = (pool.jobs[run.task.job_id].get_task(run.task).resources for run in ending)
    return sum(ending_resources, start=host.free)


def count_step_runs(task: Task, host: Host) -> int:
    """Count the runs of a task's step that use resources on a host."""
    step_key = (task.key.job_id, task.key.occurrence, task.key.step)
    return sum((key.job_id, key.occurrence, key.step) == step_key for key, _number in host.runs)


def sort_waiting(pool: PoolJobs, now_ms: int) -> list[Task]:
    """Return all waiting tasks in the order of ``sort_tasks``."""
    return sort_tasks(pool, pool.waiting.values(), now_ms)


def sort_tasks(pool: PoolJobs, tasks: Collection[Task], now_ms: int) -> list[Task]:
    """Return tasks in the order of placement.

    More urgent queues come first, within a queue's priority lasting jobs, then jobs that can be
    on time, the one with least slack first.  Late jobs come after these: they gain little from
    being done sooner, and would delay other jobs.  So do the jobs that are given up
    (``pool.outlook``).  Jobs that a workspace submitted beyond its share come last.
    """
    order = {
        occurrence_key: _get_occurrence_rank(pool, occurrence_key, now_ms)
        for occurrence_key in {(task.key.job_id, task.key.occurrence) for task in tasks}
    }
    return sorted(
        tasks,
        key=lambda task: (
            order[task.key.job_id, task.key.occurrence],
            task.key.step,
            task.key.index,
        ),
    )


def _get_occurrence_rank(
    pool: PoolJobs, occurrence_key: tuple[str, int], now_ms: int
) -> tuple[bool, int, bool, bool, float, int, int]:
    job_id, occurrence = occurrence_key
    job = pool.jobs[job_id]
    if job.spec.is_lasting:
        rank = (job.policy.priority, False, False, 0.0, job.offset, occurrence)
        return (job.is_beyond_share, *rank)
    slack_s = get_slack_s(job, occurrence, pool.run_times, now_ms)
    if pool.outlook is not None:
        slack_s = pool.outlook.slacks_s.get(occurrence_key, slack_s)
    is_late = slack_s < (0.0 if job.has_begun else pool.policy.slack_margin_s)
    is_late = is_late or (pool.outlook is not None and occurrence_key in pool.outlook.given_up)
    rank_s = 0.0 if is_late else slack_s
    rank = (job.policy.priority, True, is_late, rank_s, job.offset, occurrence)
    return (job.is_beyond_share, *rank)


def _get_host_rank(host: Host, task: Task, now_s: float) -> tuple[bool, bool, int, bool, float]:
    """Return a host's rank for a task; the highest rank is best.

    Tasks that end are packed onto few hosts, so that other hosts become empty and can leave the
    pool.  Lasting tasks are spread, so that the loss of a host affects few of them; a cold host
    does not change the spread.
    """
    step: StepSpec = task.step
    is_near = not step.near_rack or host.record.rack == step.near_rack
    has_not_failed = host.id not in task.failed_host_ids
    is_warm = now_s >= host.cold.until_s
    free_share = host.free.cpu_millicores / max(1, host.record.capacity.cpu_millicores)
    if step.is_lasting:
        return (has_not_failed, is_near, -count_step_runs(task, host), is_warm, free_share)
    return (has_not_failed, is_near, 0, is_warm, -free_share)
