"""On which hosts tasks would find room that not every host of a pool has.

Room in sum is not room on a host: a task may be too wide for what lasting tasks leave
free, be kept off by a label, or share a host with too few of its like.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import reduce
from typing import Final

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.placement import get_willing_hosts
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.waiting_steps import WaitingStep
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import NO_RESOURCES, Resources

# Most steps that are looked at, the widest first: each is compared with every host.  What
# is left out counts once these have begun.
STEPS_MAX: Final = 20
# Shares of a host's time below this are what rounding leaves.
SHARE_MIN: Final = 1e-6


@dataclass(frozen=True, slots=True)
class StepDemand:
    """A step of which tasks wait, and how many should run at a time."""

    waiting: WaitingStep
    parallel: float

    @property
    def spec(self) -> StepSpec:
        """Return what the step's tasks are like."""
        return self.waiting.spec


@dataclass(frozen=True, slots=True)
class MissingHosts:
    """Hosts that a pool lacks: how many, with what room at least, and which label.

    ``is_lasting`` tells whether they are for lasting tasks or for such as end.
    """

    count: int
    resources: Resources
    label: str
    is_lasting: bool


@dataclass(frozen=True, slots=True)
class HostRequirements:
    """The pool's hosts that tasks wait for which do not fit on all, and hosts it lacks.

    ``separate_host_count`` of the hosts are needed by tasks that end and carry no lasting ones.
    """

    host_ids: frozenset[str] = frozenset()
    separate_host_count: int = 0
    missing: tuple[MissingHosts, ...] = ()


class _Space:
    """What a host has for tasks that wait: its room beside lasting ones, and its time."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.free = host.capacity_beside_lasting
        self.share = 1.0
        self.is_needed = False


@dataclass
class _Lack:
    """Hosts that are missing, as a real number."""

    hosts: float = 0.0
    resources: Resources = field(default=NO_RESOURCES)


def find_host_requirements(
    pool: PoolJobs, needs: Iterable[StepDemand], now_s: float
) -> HostRequirements:
    """Return the hosts for tasks that do not fit on every host.

    What ends leaves its room to others: a host that is full now counts by what it has
    beside its lasting tasks.  Hosts that are being emptied count after all others, and
    those that are still awaited as if they answered.
    """
    hosts = [*get_willing_hosts(pool, now_s), *_list_awaited(pool, now_s)]
    serving = [host for host in hosts if not host.is_vacating(now_s)]
    if not serving:
        return HostRequirements()
    common = reduce(Resources.min, (host.capacity_beside_lasting for host in serving))
    narrow = [need for need in needs if not _fits_everywhere(need.spec, common)]
    if not narrow:
        return HostRequirements()
    largest = max((host.record.capacity for host in hosts), key=lambda room: room.cpu_millicores)
    narrow.sort(key=lambda need: _get_width(need.spec, largest), reverse=True)
    spaces = [_Space(host) for host in sorted(hosts, key=lambda host: _get_order(host, now_s))]
    lacks: dict[tuple[str, bool], _Lack] = defaultdict(_Lack)
    for need in narrow[:STEPS_MAX]:
        left = _fill(need, spaces)
        if left > SHARE_MIN:
            lack = lacks[need.spec.required_label, need.spec.is_lasting]
            lack.hosts += left / max(1, _count_slots(need.spec, largest))
            lack.resources = lack.resources.max(need.spec.resources)
    missing = (
        MissingHosts(math.ceil(lack.hosts - SHARE_MIN), lack.resources, label, is_lasting)
        for (label, is_lasting), lack in lacks.items()
    )
    needed = [space for space in spaces if space.is_needed]
    separate_host_count = sum(
        space.share < 1.0 and not space.host.lasting_count for space in needed
    )
    return HostRequirements(
        frozenset(space.host.id for space in needed), separate_host_count, tuple(missing)
    )


def _list_awaited(pool: PoolJobs, now_s: float) -> list[Host]:
    return [host for host in pool.hosts.values() if host.is_awaited(now_s)]


def _fits_everywhere(step: StepSpec, common: Resources) -> bool:
    return not step.required_label and not step.per_host_max and step.resources.fits_in(common)


def _get_width(step: StepSpec, room: Resources) -> tuple[bool, float]:
    """Order steps: those that keep their room first, then the widest."""
    shares = (
        step.resources.cpu_millicores / max(1, room.cpu_millicores),
        step.resources.memory_mb / max(1, room.memory_mb),
        step.resources.gpu_count / max(1, room.gpu_count),
    )
    return (step.is_lasting, max(shares))


def _get_order(host: Host, now_s: float) -> tuple[bool, int, int, str]:
    """Order hosts: those first that stay in any case, and the roomiest that do not."""
    if host.is_vacating(now_s):
        return (True, 0, -host.free.cpu_millicores, host.id)
    return (False, -host.lasting_count, -len(host.runs), host.id)


def _fill(need: StepDemand, spaces: Sequence[_Space]) -> float:
    """Give a step's tasks room, and note where; return how many are left."""
    step, room, left = need.spec, need.spec.resources, need.parallel
    counts = _count_lasting_runs(need.waiting)
    for space in spaces:
        if left <= SHARE_MIN:
            break
        if not room.fits_in(space.free):
            continue
        if step.required_label and step.required_label not in space.host.record.labels:
            continue
        slots = _count_slots(step, space.free, counts[space.host.id])
        taken = min(left, slots * space.share)
        if taken <= SHARE_MIN:
            continue
        if step.is_lasting:
            taken = min(slots, math.ceil(left - SHARE_MIN))
            space.free -= room.scale(taken)
        else:
            space.share -= taken / slots
        space.is_needed = True
        left -= taken
    return left


def _count_slots(step: StepSpec, room: Resources, present_count: int = 0) -> int:
    """Return how many tasks of a step fit in a room beside those that stay there."""
    limit = step.per_host_max - present_count if step.per_host_max else step.task_count
    return max(0, min(limit, room.count(step.resources)))


def _count_lasting_runs(waiting: WaitingStep) -> Counter[str]:
    """Count by host the runs of a step that stay."""
    if not (waiting.spec.is_lasting and waiting.spec.per_host_max):
        return Counter()
    tasks = waiting.job.get_tasks(waiting.occurrence, waiting.number)
    return Counter(run.host_id for task in tasks for run in task.runs)
