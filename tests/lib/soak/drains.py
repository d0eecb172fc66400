"""Hosts that begin to drain during a soak, and checks of the starts on them and of idle jobs."""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.run_ledger import LedgerRun
from tests.lib.soak.world import SoakWorld

# Time from the store's acceptance of a draining entry after which no start reaches the host.
DRAIN_S = 2.0
# A host serves on for longer than it announces.
REMAINING_MS = 30_000
# Time for which no task of a job runs, while there is room for all that wait.
IDLE_MAX_S = 3.0

Span = tuple[float, float]


@dataclass(frozen=True)
class Drain:
    """A host that says that it drains; the store took its entry at ``taken_at_s``."""

    host_id: str
    taken_at_s: float


def drain_host(world: SoakWorld, host: JobHostStandin) -> Drain:
    """Write the draining entry of a host, which serves on."""
    world.list_host(replace(host.record, is_draining=True, leaves_in_ms=REMAINING_MS))
    return Drain(host.record.id, asyncio.get_running_loop().time())


def find_starts_on_draining_hosts(
    runs: Iterable[LedgerRun], drains: Iterable[Drain], allowed_s: float = DRAIN_S
) -> list[str]:
    """Describe the runs that began on a draining host later than allowed."""
    taken_at_s = {drain.host_id: drain.taken_at_s for drain in drains}
    return [
        f"{run.task} began on {run.host_id} {since_s:.3f} s after it said that it drains"
        for run in runs
        if (since_s := run.began_at_s - taken_at_s.get(run.host_id, run.began_at_s)) > allowed_s
    ]


def find_idle_spans(
    runs: Iterable[LedgerRun], accepted_at_s: Mapping[str, float], ended_at_s: Mapping[str, float]
) -> dict[str, list[Span]]:
    """Return the spans longer than ``IDLE_MAX_S`` in which no task of a job ran, by job.

    A job is looked at from its acceptance to its end; all times are of the event loop's clock.
    """
    by_job: dict[str, list[LedgerRun]] = defaultdict(list)
    for run in runs:
        by_job[run.task.job_id].append(run)
    spans = {
        job: list(_iter_idle(by_job[job], from_s, ended_at_s[job]))
        for job, from_s in accepted_at_s.items()
        if job in ended_at_s
    }
    return {job: idle for job, idle in spans.items() if idle}


def _iter_idle(runs: list[LedgerRun], from_s: float, to_s: float) -> Iterable[Span]:
    ordered = sorted(runs, key=lambda run: run.began_at_s)
    until_s = itertools.accumulate(
        (to_s if run.ended_at_s is None else run.ended_at_s for run in ordered),
        max,
        initial=from_s,
    )
    begins_s = [*(run.began_at_s for run in ordered), to_s]
    return (
        (idle_from_s, min(begin_s, to_s))
        for idle_from_s, begin_s in zip(until_s, begins_s, strict=True)
        if min(begin_s, to_s) - idle_from_s > IDLE_MAX_S
    )
