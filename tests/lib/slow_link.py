"""A pool with many progress records, and a node that reads them over a slow link."""

from robinthread._internal.durable.store import Partition
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.progress import encode_progress
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.node.pool_owner import PROGRESS_TOPIC
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import POOL, POOLS, QUEUE, make_job, plan_second

JOBS = 1000
# A page with the progress of 500 jobs takes 1.6 s, which exceeds the timeout of a store call.
LINK_BYTES_PER_S = 12_000
SLOW_NODE = "slow"


def start_on_slow_link() -> PlatformStandin:
    """Start a platform without hosts; its only node begins to open the pool."""
    platform = PlatformStandin(plan_second, 1)
    platform.configure(1, (QUEUE,), POOLS)
    _fill_progress(platform)
    platform.store.link_bytes_per_s[SLOW_NODE] = LINK_BYTES_PER_S
    platform.start_node(SLOW_NODE)
    return platform


def _fill_progress(platform: PlatformStandin) -> None:
    """Store progress of ``JOBS`` jobs, as a previous owner would have done."""
    policy = QueuePolicy("sheets", "", "", POOL)
    partitions = [Partition(PROGRESS_TOPIC, number) for number in range(12)]
    for number in range(JOBS):
        job = Job(make_job(number), policy, number)
        for partition in partitions:
            platform.store.put(partition, job.id, encode_progress(job))
