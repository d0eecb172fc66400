"""The hosts that a pool needs for waiting tasks that do not fit on every host.

Enough free resources in total do not mean that a task fits on a host: it may need more than
lasting tasks leave free on any host, require a label, or limit how many tasks of its step
share a host.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import reduce
from typing import Final

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.placement import get_usable_or_vacating_hosts
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.waiting_steps import WaitingStep
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import NO_RESOURCES, Resources

# At most this many steps are considered, lasting ones first, then the largest, since each is
# compared with every host.  The others are considered once these have started.
STEPS_MAX: Final = 20
# Task counts and shares of a host's time below this are rounding errors.
SHARE_MIN: Final = 1e-6


@dataclass(frozen=True, slots=True)
class StepDemand:
    """A step with waiting tasks, and how many of them should run in parallel."""

    waiting: WaitingStep
    parallel_count: float

    @property
    def spec(self) -> StepSpec:
        """Return the specification of the step."""
        return self.waiting.spec


@dataclass(frozen=True, slots=True)
class MissingHosts:
    """Hosts that a pool lacks: their number, minimum capacity and required label ("" for any).

    ``is_lasting`` tells whether they are needed for lasting tasks.
    """

    count: int
    resources: Resources
    label: str
    is_lasting: bool


@dataclass(frozen=True, slots=True)
class HostRequirements:
    """The pool's hosts that are needed by tasks that do not fit everywhere, and missing hosts.

    ``separate_host_count`` of the hosts run no lasting tasks and are needed by tasks that end.
    """

    host_ids: frozenset[str] = frozenset()
    separate_host_count: int = 0
    missing: tuple[MissingHosts, ...] = ()


class _HostAllocation:
    """What a host still offers to waiting tasks.

    ``free`` is its capacity beside lasting tasks, and ``share`` the share of its time that is not
    allocated to tasks that end.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.free = host.capacity_beside_lasting
        self.share = 1.0
        self.is_needed = False


@dataclass
class _Shortage:
    """The number of missing hosts, not rounded, and the minimum capacity of each."""

    hosts: float = 0.0
    resources: Resources = field(default=NO_RESOURCES)


def find_host_requirements(
    pool: PoolJobs, demands: Iterable[StepDemand], now_s: float
) -> HostRequirements:
    """Return the hosts that are needed for tasks that do not fit on every host.

    Tasks that end free their resources, so a host counts by its capacity beside lasting tasks,
    even if it is full now.  Hosts that are being vacated are used last.  Hosts whose first
    response is still expected count as if they responded.
    """
    hosts = [*get_usable_or_vacating_hosts(pool, now_s), *_list_awaited(pool, now_s)]
    serving = [host for host in hosts if not host.is_vacating(now_s)]
    if not serving:
        return HostRequirements()
    common_capacity = reduce(Resources.min, (host.capacity_beside_lasting for host in serving))
    constrained = [
        demand for demand in demands if not _fits_everywhere(demand.spec, common_capacity)
    ]
    if not constrained:
        return HostRequirements()
    largest_capacity = max(
        (host.record.capacity for host in hosts), key=lambda capacity: capacity.cpu_millicores
    )
    constrained.sort(
        key=lambda demand: _get_step_order(demand.spec, largest_capacity), reverse=True
    )
    allocations = [
        _HostAllocation(host)
        for host in sorted(hosts, key=lambda host: _get_host_order(host, now_s))
    ]
    shortages: dict[tuple[str, bool], _Shortage] = defaultdict(_Shortage)
    for demand in constrained[:STEPS_MAX]:
        remaining = _allocate(demand, allocations)
        if remaining > SHARE_MIN:
            shortage = shortages[demand.spec.required_label, demand.spec.is_lasting]
            shortage.hosts += remaining / max(1, _count_slots(demand.spec, largest_capacity))
            shortage.resources = shortage.resources.max(demand.spec.resources)
    missing = (
        MissingHosts(math.ceil(shortage.hosts - SHARE_MIN), shortage.resources, label, is_lasting)
        for (label, is_lasting), shortage in shortages.items()
    )
    needed = [allocation for allocation in allocations if allocation.is_needed]
    separate_host_count = sum(
        allocation.share < 1.0 and not allocation.host.lasting_count for allocation in needed
    )
    return HostRequirements(
        frozenset(allocation.host.id for allocation in needed), separate_host_count, tuple(missing)
    )


def _list_awaited(pool: PoolJobs, now_s: float) -> list[Host]:
    return [
        host
        for host in pool.hosts.values()
        if host.is_awaited(now_s) and not pool.evacuated.covers(host)
    ]


def _fits_everywhere(step: StepSpec, common_capacity: Resources) -> bool:
    return (
        not step.required_label
        and not step.per_host_max
        and step.resources.fits_in(common_capacity)
    )


def _get_step_order(step: StepSpec, capacity: Resources) -> tuple[bool, float]:
    """Return a sort key for steps, in descending order: lasting ones, then by size.

    The size is the largest share that a task takes of any resource in ``capacity``.
    """
    shares = (
        step.resources.cpu_millicores / max(1, capacity.cpu_millicores),
        step.resources.memory_mb / max(1, capacity.memory_mb),
        step.resources.gpu_count / max(1, capacity.gpu_count),
    )
    return (step.is_lasting, max(shares))


def _get_host_order(host: Host, now_s: float) -> tuple[bool, int, int, str]:
    """Return a sort key for hosts: those that stay first, those with most lasting tasks and runs.

    Of the hosts that are being vacated, the one with most free processor time comes first.
    """
    if host.is_vacating(now_s):
        return (True, 0, -host.free.cpu_millicores, host.id)
    return (False, -host.lasting_count, -len(host.runs), host.id)


def _allocate(demand: StepDemand, allocations: Sequence[_HostAllocation]) -> float:
    """Allocate a step's tasks to hosts; return how many tasks found no host."""
    step, request, remaining = demand.spec, demand.spec.resources, demand.parallel_count
    counts = _count_lasting_runs(demand.waiting)
    for allocation in allocations:
        if remaining <= SHARE_MIN:
            break
        if not request.fits_in(allocation.free):
            continue
        if step.required_label and step.required_label not in allocation.host.record.labels:
            continue
        slots = _count_slots(step, allocation.free, counts[allocation.host.id])
        allocated = min(remaining, slots * allocation.share)
        if allocated <= SHARE_MIN:
            continue
        if step.is_lasting:
            allocated = min(slots, math.ceil(remaining - SHARE_MIN))
            allocation.free -= request.scale(allocated)
        else:
            allocation.share -= allocated / slots
        allocation.is_needed = True
        remaining -= allocated
    return remaining


def _count_slots(step: StepSpec, capacity: Resources, present_count: int = 0) -> int:
    """Return how many tasks of a step fit into a capacity, given how many are present already."""
    limit = step.per_host_max - present_count if step.per_host_max else step.task_count
    return max(0, min(limit, capacity.count(step.resources)))


def _count_lasting_runs(waiting: WaitingStep) -> Counter[str]:
    """Count a lasting step's runs by host; empty if the step has no limit per host."""
    if not (waiting.spec.is_lasting and waiting.spec.per_host_max):
        return Counter()
    tasks = waiting.job.get_tasks(waiting.occurrence, waiting.number)
    return Counter(run.host_id for task in tasks for run in task.runs)
