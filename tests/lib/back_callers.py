"""Callers that submit jobs at a steady rate and check whether they are done."""

import asyncio
import itertools

from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.node.job_service import JobRequestOutcome
from tests.lib.back_site import FIRST_QUICK, QUICK, SLACK_S, STRETCH, TASK_S, Site, SubmittedJob
from tests.lib.job_platforms import make_job

# Limits of a caller: tries, the pause between two of them, and the time for all.
TRIES_MAX = 5
RETRY_PAUSE_S = 0.25
BUDGET_S = 3.0
# A job counts as served within three times the time that counts as in time.
IN_TIME_S = STRETCH * TASK_S + SLACK_S
SERVED_S = 3 * IN_TIME_S
# All accepted jobs are done within this time after the last submission.
DONE_WITHIN_S = 12.0


async def feed(site: Site, jobs: list["asyncio.Task[None]"]) -> None:
    """Submit jobs at a steady rate, for the pools in turn."""
    for number in itertools.count(FIRST_QUICK):
        jobs.append(asyncio.create_task(_hand_in(site, number)))
        await asyncio.sleep(1 / site.size.jobs_per_s)


async def _hand_in(site: Site, number: int) -> None:
    """Submit a job as a caller does, and check whether it is done in time."""
    loop = asyncio.get_running_loop()
    pool = site.pools[number % len(site.pools)]
    spec = make_job(number, QUICK, queue=f"queue-{pool}", pool=pool)
    job = SubmittedJob(spec, loop.time())
    site.submitted.append(job)
    for _try in range(TRIES_MAX):
        if await _try_once(site, spec, job.at_s + BUDGET_S) is JobRequestOutcome.DONE:
            job.accepted_at_s = loop.time()
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    await asyncio.sleep(max(0.0, job.at_s + IN_TIME_S - loop.time()))
    while job.accepted_at_s is not None and loop.time() <= job.at_s + SERVED_S:
        if await _is_done(site, spec):
            job.is_served = True
            return
        await asyncio.sleep(RETRY_PAUSE_S)


def _draw_node(site: Site) -> str | None:
    """Draw a node as the platform does: a ready one, or any if fewer than half are ready."""
    nodes = site.platform.nodes
    ready = [name for name in sorted(nodes) if nodes[name].assembled.readiness.check()]
    names = ready if 2 * len(ready) >= len(nodes) else sorted(nodes)
    return site.random.choice(names) if names else None


async def _try_once(site: Site, spec: JobSpec, until_s: float) -> JobRequestOutcome | None:
    name = _draw_node(site)
    left_s = until_s - asyncio.get_running_loop().time()
    if name is None or left_s <= 0:
        return None
    node = site.platform.nodes[name].assembled
    if node.config_holder.config is None:
        # A node without configuration knows no queues and refuses every job.
        return JobRequestOutcome.REFUSED
    try:
        async with asyncio.timeout(left_s):
            return await node.job_service.accept(spec, until_s)
    except TimeoutError:
        # A killed node sends no response.
        return None


async def _is_done(site: Site, spec: JobSpec) -> bool:
    """Return whether a drawn node shows a job as succeeded."""
    name = _draw_node(site)
    if name is None:
        return False
    queue = QueuePolicy(spec.queue, "", "/", spec.pool)
    try:
        async with asyncio.timeout(BUDGET_S):
            response = await site.platform.nodes[name].assembled.job_service.get_status(
                queue, spec.job_id
            )
    except TimeoutError:
        return False
    return response.status is JobStatus.SUCCEEDED


async def wait_until_done(site: Site) -> tuple[str, ...]:
    """Wait until all accepted jobs are shown as succeeded; return those that still are not."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + DONE_WITHIN_S
    undone = [job.spec for job in site.submitted if job.accepted_at_s is not None]
    while undone and loop.time() < until_s:
        done = await asyncio.gather(*(_is_done(site, spec) for spec in undone))
        undone = [spec for spec, is_done in zip(undone, done, strict=True) if not is_done]
        await asyncio.sleep(0.5 if undone else 0)
    return tuple(f"{spec.job_id} of {spec.pool}" for spec in undone)
