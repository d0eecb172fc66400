"""Values at the bounds of what is accepted: ordinary jobs beside them are served as always.

Guards against a bound that is wider than what the arithmetic of a pool's owner bears.
"""

import asyncio
import dataclasses
import json
from typing import Any

import msgspec
from testtools import TestCase

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import AdvicePolicy, QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.standins.platform_standin import HOSTS, RESERVE
from robinthread._internal.utils.foreign_input import (
    DURATION_MAX_MS,
    NUMBER_MAX,
    SIZE_MAX,
    TIME_MAX_MS,
)
from tests.lib.job_platforms import (
    POOL,
    QUEUE,
    get_others,
    hand_in,
    make_job,
    start_platform,
    wait_until_done,
)
from tests.lib.virtual import run_virtual

# Events that tell of a part of a node that has ended.
FAILURES = ("task_failed", "pool_open_failed", "steward_failed", "take_failed", "library_message")
STEP = StepSpec(2, cpu_millicores=1000, memory_mb=100)
STEP_FIELDS: tuple[dict[str, Any], ...] = (
    {"cpu_millicores": SIZE_MAX},
    {"memory_mb": SIZE_MAX},
    {"gpu_count": SIZE_MAX},
    {"cpu_millicores": SIZE_MAX, "memory_mb": SIZE_MAX, "gpu_count": SIZE_MAX},
    {"cpu_millicores": 0, "memory_mb": 0},
    {"cpu_millicores": 1, "memory_mb": SIZE_MAX, "task_count": 5_000},
    {"estimate_ms": DURATION_MAX_MS},
    {"estimate_ms": DURATION_MAX_MS, "is_gang": True},
    {"per_host_max": SIZE_MAX},
    {"not_running_max": SIZE_MAX, "has_not_running_limit": True, "is_lasting": True},
    {"latency_target_ms": DURATION_MAX_MS, "is_lasting": True},
    {"latency_target_ms": 1, "fills_leftover": True, "cpu_millicores": SIZE_MAX},
    {"required_label": "x" * 60_000},
    {"image": "a\r\nb\x00", "near_rack": "\x00"},
)
JOB_FIELDS: tuple[dict[str, Any], ...] = (
    {"occurrence_count": 2, "first_due_ms": TIME_MAX_MS},
    {"occurrence_count": 2, "first_due_ms": -TIME_MAX_MS, "interval_ms": TIME_MAX_MS},
    {"occurrence_count": 100, "first_due_ms": 0, "interval_ms": 0},
    {"interval_ms": TIME_MAX_MS},
    {"accepted_at_ms": TIME_MAX_MS},
    {"config_version": NUMBER_MAX},
)
ADVICE = AdvicePolicy(0, 0, DURATION_MAX_MS)
ODD_QUEUES = (
    QueuePolicy("odd-0", "a", "/a/", POOL, -NUMBER_MAX, 1, SIZE_MAX, DURATION_MAX_MS),
    QueuePolicy("odd-1", "a", "/b/", POOL, NUMBER_MAX, NUMBER_MAX, -SIZE_MAX, -DURATION_MAX_MS),
    QueuePolicy("odd-2", "a", "/c/", POOL, 0, -NUMBER_MAX, 0.0, 0),
    QueuePolicy("odd-3", "a", "/d/", POOL, 0, 3, 1e-300, 0, ADVICE),
)


def make_extreme_jobs() -> list[JobSpec]:
    """Make a job for each extreme, each with an id of its own."""
    steps = [msgspec.structs.replace(STEP, **fields) for fields in STEP_FIELDS]
    jobs = [make_job(100 + number, step) for number, step in enumerate(steps)]
    jobs += [
        msgspec.structs.replace(make_job(200 + number, STEP), **fields)
        for number, fields in enumerate(JOB_FIELDS)
    ]
    jobs += [
        make_job(300 + number, STEP, queue=queue.name) for number, queue in enumerate(ODD_QUEUES)
    ]
    assert not [job.find_fault() for job in jobs if job.find_fault()]
    return jobs


class ExtremeValuesTest(TestCase):
    def play(self, extremes: list[JobSpec], with_odd_hosts: bool) -> list[bytes]:
        """Hand in ordinary jobs after extreme ones; return the lines that tell of failures."""

        async def work() -> list[bytes]:
            platform = await start_platform(reserve=2)
            pools = (PoolPolicy(POOL), PoolPolicy(RESERVE, is_reserve=True))
            platform.configure(2, (QUEUE, *ODD_QUEUES), pools)
            if with_odd_hosts:
                put_odd_hosts(platform)
            await asyncio.sleep(2)
            node = get_others(platform)[0]
            for spec in extremes:
                await hand_in(platform, node, spec)
            await asyncio.sleep(1)
            ordinary = [make_job(number, StepSpec(1, 500, 100)) for number in range(1, 6)]
            for spec in ordinary:
                await hand_in(platform, node, spec)
            await wait_until_done(platform, ordinary, 60)
            return [line[:500] for line in platform.events if json.loads(line)["event"] in FAILURES]

        return run_virtual(work())

    def test_ordinary_jobs_are_served_beside_each_extreme_job(self) -> None:
        """Guards against an owner that ends over one job, and then over it again."""
        found = {}
        for spec in make_extreme_jobs():
            try:
                lines = self.play([spec], False)
            except AssertionError as error:
                lines = [repr(error).encode()]
            if lines:
                found[spec.job_id] = lines[:2]
        self.assertEqual({}, found)

    def test_ordinary_jobs_are_served_beside_hosts_of_extreme_size(self) -> None:
        """Guards against arithmetic over hosts that ends the owner or the steward."""
        self.assertEqual([], self.play([], True))


def put_odd_hosts(platform: Any) -> None:
    """List hosts of extreme size at which nothing answers."""
    host = UpstreamHost("", "m", POOL, "10.0.0.9:1", "h", "r", Resources(), frozenset())
    extremes: tuple[dict[str, Any], ...] = (
        {"capacity": Resources(SIZE_MAX, SIZE_MAX, SIZE_MAX)},
        {"capacity": Resources(1, 0, 0)},
        {"cold_for_ms": DURATION_MAX_MS},
        {"cold_for_ms": -DURATION_MAX_MS},
        {"is_draining": True, "leaves_in_ms": DURATION_MAX_MS},
        {"host_started_at_ms": 2**63 - 1},
    )
    for number, fields in enumerate(extremes):
        odd = dataclasses.replace(host, id=f"i-odd{number}", machine=f"m{number}", **fields)
        platform.store.put(HOSTS, odd.id, msgspec.msgpack.encode(odd))
