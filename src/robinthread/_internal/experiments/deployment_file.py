"""Parser of a deployment's TOML file; reports all errors at once, by key and line."""

import dataclasses
from collections.abc import Iterator
from typing import Any, Final

from returns.result import Result

from robinthread._internal.experiments.deployment import (
    SHAPES,
    TROUBLE_KINDS,
    Deployment,
    QueueSpec,
)
from robinthread._internal.results import Fault
from robinthread._internal.settings.check import Conflict
from robinthread._internal.settings.parse import parse_file
from robinthread._internal.standins.platform_standin import RESERVE

MAY_BE_ZERO: Final = frozenset(
    {"reserve", "work_spread", "memory_mb", "slack_s", "worth", "at_s", "machine_s", "move"}
)
# The simulation of a day with more jobs would take hours.
JOBS_MAX: Final = 100_000


def parse_deployment(text: str, path: str) -> Result[Deployment, Fault]:
    """Parse and validate the text of a deployment's file; the fault lists every error."""
    return parse_file(Deployment, text, path, iter_deployment_conflicts)


def iter_deployment_conflicts(deployment: Deployment) -> Iterator[Conflict]:
    """Iterate over the settings that are out of range or contradict another setting."""
    yield from _iter_range_conflicts(deployment, "")
    if not deployment.queues:
        yield Conflict("queues", "are missing, expected one at least")
    for name, queue in deployment.queues.items():
        yield from _iter_queue_conflicts(f"queues.{name}", queue, deployment)
    for name, trouble in deployment.troubles.items():
        if trouble.kind not in TROUBLE_KINDS:
            yield _make_choice_conflict(f"troubles.{name}.kind", trouble.kind, TROUBLE_KINDS)
        if trouble.share > 1:
            yield Conflict(f"troubles.{name}.share", f"is {trouble.share}, expected 1 at most")
    job_count = sum(queue.jobs_per_s for queue in deployment.queues.values()) * deployment.length_s
    if job_count > JOBS_MAX:
        yield Conflict("length_s", f"gives {job_count:.0f} jobs, expected {JOBS_MAX} at most")
    if deployment.machines.count < len(deployment.pools):
        text = f"is {deployment.machines.count}, expected at least one per pool"
        yield Conflict("machines.count", text)


def _iter_queue_conflicts(key: str, queue: QueueSpec, deployment: Deployment) -> Iterator[Conflict]:
    machines = deployment.machines
    if not queue.pool:
        yield Conflict(f"{key}.pool", "is missing, expected the name of a pool")
    if queue.pool == RESERVE:
        yield Conflict(f"{key}.pool", f"is {RESERVE!r}, which is the pool of machines that are off")
    if queue.shape not in SHAPES:
        yield _make_choice_conflict(f"{key}.shape", queue.shape, SHAPES)
    if queue.work_spread >= 1:
        yield Conflict(f"{key}.work_spread", f"is {queue.work_spread}, expected less than 1")
    for name in ("cpu_millicores", "memory_mb"):
        if getattr(queue, name) > getattr(machines, name):
            text = f"is {getattr(queue, name)}, expected {getattr(machines, name)} at most"
            yield Conflict(f"{key}.{name}", f"{text}, as a machine has")


def _iter_range_conflicts(part: Any, prefix: str) -> Iterator[Conflict]:
    for field in dataclasses.fields(part):
        value, key = getattr(part, field.name), f"{prefix}{field.name}"
        if isinstance(value, dict):
            for name, table in value.items():
                yield from _iter_range_conflicts(table, f"{key}.{name}.")
        elif dataclasses.is_dataclass(value):
            yield from _iter_range_conflicts(value, f"{key}.")
        elif isinstance(value, int | float) and not isinstance(value, bool):
            bound = "at least 0" if field.name in MAY_BE_ZERO else "more than 0"
            if value < 0 or (value == 0 and field.name not in MAY_BE_ZERO):
                yield Conflict(key, f"is {value}, expected {bound}")


def _make_choice_conflict(key: str, value: str, choices: tuple[str, ...]) -> Conflict:
    return Conflict(key, f"is {value!r}, expected one of {', '.join(choices)}")
