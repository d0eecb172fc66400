"""Measurements of a platform that recovers from a loss of power; see ``back_at_size``."""

import asyncio
import itertools
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from robinthread._internal.models.task_key import TaskKey
from tests.lib.back_callers import IN_TIME_S
from tests.lib.back_site import QUICK, Site
from tests.lib.drawn_days import find_lost
from tests.lib.job_platforms import find_violations

# Requests must be served if they are sent more than this long after the machines are back.
RECOVERY_S = 12.0
# The requirements are a share of a quarter, and that lasting tasks run again.  A fleet with free
# capacity does better.
IN_TIME_SHARE_MIN = 0.9


@dataclass(frozen=True)
class BackFigures:
    """Recovery times of a platform, and the violations found.

    Times are seconds since the machines were back.  ``lasting_again_s`` is the time at which the
    last of the ended lasting tasks ran again, ``lasting_gap_s`` the longest time for which one
    did not run.  ``sent`` counts the jobs that were submitted after ``RECOVERY_S``.
    """

    first_accept_s: float
    first_start_s: dict[str, float]
    open_s: dict[str, float]
    lasting_again_s: float
    lasting_gap_s: float
    full_service_s: float
    served: int
    in_time: int
    sent: int
    lost: tuple[str, ...]
    breaks: tuple[str, ...]
    undone: tuple[str, ...]

    @property
    def served_share(self) -> float:
        """Return the share of the jobs submitted after ``RECOVERY_S`` that were served."""
        return self.served / self.sent

    @property
    def in_time_share(self) -> float:
        """Return the share of the jobs submitted after ``RECOVERY_S`` that were done in time."""
        return self.in_time / self.sent


def measure(site: Site, undone: tuple[str, ...], opened: dict[str, float]) -> BackFigures:
    """Return the recovery times and violations of a platform whose jobs have ended."""
    back_at_s = site.back_at_s
    now_s = asyncio.get_running_loop().time()
    late = [job for job in site.submitted if back_at_s + RECOVERY_S < job.at_s]
    in_time = _list_in_time(site)
    gaps = list(_iter_gaps(site, now_s))
    return BackFigures(
        first_accept_s=min(
            (
                job.accepted_at_s - back_at_s
                for job in site.submitted
                if job.accepted_at_s is not None and job.accepted_at_s >= back_at_s
            ),
            default=math.inf,
        ),
        first_start_s={pool: _find_first_start_s(site, pool) for pool in site.pools},
        open_s=opened,
        lasting_again_s=max((at_s for at_s, _gap_s in gaps), default=0.0),
        lasting_gap_s=max((gap_s for _at_s, gap_s in gaps), default=0.0),
        full_service_s=_find_full_service_s(site, in_time),
        served=sum(job.is_served for job in late),
        in_time=sum(job.spec.job_id in in_time for job in late),
        sent=len(late),
        lost=tuple(find_lost(site.list_lasting(), site.troubled, now_s)),
        breaks=tuple(find_violations(site.platform)),
        undone=undone,
    )


def _find_first_start_s(site: Site, pool: str) -> float:
    """Return when a task of the pool's non-lasting jobs first started, or infinity."""
    jobs = {job.spec.job_id for job in site.submitted if job.spec.pool == pool}
    starts_s = (
        run.began_at_s - site.back_at_s
        for run in site.platform.hosts.ledger.runs
        if run.task.job_id in jobs and run.began_at_s >= site.back_at_s
    )
    return min(starts_s, default=math.inf)


def _iter_gaps(site: Site, now_s: float) -> Iterator[tuple[float, float]]:
    """Yield, for each end of a lasting task, when it ran again and how long after the end."""
    runs = sorted(site.list_lasting(), key=lambda run: (run.task, run.began_at_s))
    for _task, group in itertools.groupby(runs, key=lambda run: run.task):
        own = list(group)
        for run, later in itertools.zip_longest(own, own[1:]):
            if run.ended_at_s is not None:
                again_at_s = later.began_at_s if later else now_s
                yield max(0.0, again_at_s - site.back_at_s), again_at_s - run.ended_at_s


def _list_in_time(site: Site) -> set[str]:
    """List the jobs whose tasks were all done in time and that were shown as succeeded."""
    done_at_s: dict[str, dict[TaskKey, float]] = defaultdict(dict)
    for run in site.platform.hosts.ledger.runs:
        if run.end == "done" and run.ended_at_s is not None:
            done_at_s[run.task.job_id].setdefault(run.task, run.ended_at_s)
    return {
        job.spec.job_id
        for job in site.submitted
        if job.is_served
        and len(done_at_s[job.spec.job_id]) == QUICK.task_count
        and max(done_at_s[job.spec.job_id].values()) <= job.at_s + IN_TIME_S
    }


def _find_full_service_s(site: Site, in_time: set[str]) -> float:
    """Return the first whole second from which on every second has its share done in time."""
    by_second: dict[int, list[bool]] = defaultdict(list)
    for job in site.submitted:
        by_second[math.floor(job.at_s - site.back_at_s)].append(job.spec.job_id in in_time)
    poor = [
        second
        for second, were_in_time in by_second.items()
        if sum(were_in_time) < IN_TIME_SHARE_MIN * len(were_in_time)
    ]
    return max([0, *(second + 1 for second in poor)])
