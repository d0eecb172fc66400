"""Bodies of callers' jobs."""

import re
import time
from typing import Final

import msgspec

from robinthread._internal.models.job_policy import make_job_policy
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.utils.foreign_input import decode_json, reads_foreign_input

JOB_ID: Final = re.compile(r"[0-9a-f]{16}")
SPEC_MAX_CHARACTERS: Final = 4000


class _WireStep(msgspec.Struct):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that the host must have.
    requirements: str = ""
    # Rack that holds the data.
    affinity: str = ""
    # Most tasks of the step on one host.
    anti_affinity: int = 0
    # Whether several copies of a task may run at the same time.
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int | None = None


class _WireJob(msgspec.Struct):
    spec: str
    steps: tuple[_WireStep, ...]
    max_runs: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


@reads_foreign_input
def parse_job(
    body: bytes, job_id: str, queue: QueuePolicy, config_version: int, workspace: str | None
) -> JobSpec:
    """Decode a caller's job; raise ``MalformedInputError`` if no owner could run it."""
    if not JOB_ID.fullmatch(job_id):
        raise ValueError("a job's id has 16 hexadecimal digits")
    wire = decode_json(body, _WireJob)
    if len(wire.spec) > SPEC_MAX_CHARACTERS:
        raise ValueError(f"a spec has at most {SPEC_MAX_CHARACTERS} characters")
    spec = JobSpec(
        job_id=job_id,
        queue=queue.name,
        pool=queue.pool,
        text=wire.spec,
        steps=tuple(map(_parse_step, wire.steps)),
        occurrence_count=wire.max_runs,
        first_due_ms=wire.start_at_ms,
        interval_ms=wire.interval_ms,
        accepted_at_ms=int(time.time() * 1000),
        config_version=config_version,
        workspace=workspace or "",
        policy=make_job_policy(queue),
    )
    if fault := spec.find_fault() or spec.find_excess():
        raise ValueError(fault)
    return spec


def _parse_step(step: _WireStep) -> StepSpec:
    return StepSpec(
        task_count=step.count,
        cpu_millicores=step.cpu,
        memory_mb=step.mem_mb,
        gpu_count=step.gpu,
        estimate_ms=step.estimate_ms,
        after_steps=step.depends_on,
        keeps_checkpoints=step.checkpointing,
        is_gang=step.gang,
        wants_one_rack=step.same_rack,
        required_label=step.requirements,
        near_rack=step.affinity,
        per_host_max=step.anti_affinity,
        allows_copies=step.speculative,
        is_lasting=step.long_running,
        image=step.image,
        latency_target_ms=step.target_ms,
        fills_leftover=step.fills,
        not_running_max=step.may_miss or 0,
        has_not_running_limit=step.may_miss is not None,
    )
