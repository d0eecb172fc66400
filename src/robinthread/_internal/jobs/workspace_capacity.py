"""Whether workspaces' limits allow a task of a pool to start."""

from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.resources import NO_RESOURCES, Resources


def fits_workspace_limit(pool: PoolJobs, task: Task) -> bool:
    """Return whether a task fits its workspace's limit, and record one that does not."""
    if has_workspace_capacity(pool, task):
        return True
    pool.workspaces.record_held_back(_get_workspace(pool, task), _get_claim(task))
    return False


def has_workspace_capacity(pool: PoolJobs, task: Task) -> bool:
    """Return whether a waiting task and its whole gang fit within the workspace's limit."""
    workspace = _get_workspace(pool, task)
    return not workspace or pool.workspaces.has_capacity(workspace, _get_claim(task))


def may_restart(pool: PoolJobs, task: Task) -> bool:
    """Return whether a running task could start on another host after it is stopped.

    A workspace whose limit was lowered keeps its runs but starts no new ones.
    """
    return pool.workspaces.has_capacity(_get_workspace(pool, task), NO_RESOURCES)


def _get_workspace(pool: PoolJobs, task: Task) -> str:
    return pool.jobs[task.key.job_id].spec.workspace


def _get_claim(task: Task) -> Resources:
    """Return what a waiting task and its whole gang would use of the workspace's limit."""
    claim = task.step.charged_resources
    return claim.scale(task.step.task_count) if task.step.is_gang else claim
