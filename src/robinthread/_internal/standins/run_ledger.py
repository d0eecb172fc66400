"""Record of all runs on the stand-in's hosts, and a check of the guarantees on them."""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.limit_ledger import LimitLedger

# Time from the first poll of a host's incarnation until it rejects all orders that were sent to
# the previous one: a poll that reveals the restart, and a stop, of which two may time out.
STRAY_WINDOW_S: Final = 1.2
# A stray that overlaps another run is stopped once its host has been polled.  This is the longest
# pause between two polls (1 s), plus the stop and the timeout of one lost response to it.
STRAY_MAX_S: Final = 2.5


@dataclass
class LedgerRun:
    """A run as recorded by its host; times are of the event loop's clock.

    ``is_acknowledged`` means that the run's end was acknowledged before its host's lease
    lapsed; ``crashed_its_host`` that the run caused a crash of its host.  A run ``is_stray``
    if it started on an order that was sent to the host's previous incarnation, no later than
    ``STRAY_WINDOW_S`` after the new one was first polled.  Nodes can't prevent such a run;
    they can only stop it.
    """

    task: TaskKey
    number: int
    host_id: str
    began_at_s: float
    ended_at_s: float | None = None
    end: str = ""
    is_acknowledged: bool = False
    crashed_its_host: bool = False
    is_stray: bool = False
    resources: Resources = NO_RESOURCES
    hall: str = ""


class RunLedger:
    """Collects the runs on all hosts and finds violations of the guarantees.

    ``over_capacity`` describes each start that exceeded its host's capacity.
    """

    def __init__(self) -> None:
        self.runs: list[LedgerRun] = []
        self.cancelled_at_s: dict[str, float] = {}
        self.over_capacity: list[str] = []
        self.limits = LimitLedger()

    def add(self, run: LedgerRun) -> None:
        """Record a run that started."""
        self.runs.append(run)
        self.limits.record_start(run.task.job_id, run, run.began_at_s)

    def find_violations(self, cancel_s: float) -> list[str]:
        """Return a description of each violation; empty if all guarantees held.

        A task may start up to ``cancel_s`` after the cancel of its job.
        """
        by_task: dict[TaskKey, list[LedgerRun]] = defaultdict(list)
        for run in self.runs:
            by_task[run.task].append(run)
        violations = [*self.over_capacity, *self.limits.over_limit]
        for all_runs in by_task.values():
            violations += [
                f"{run.task} run {run.number} on {run.host_id}, a stray, was not stopped"
                for run in all_runs
                if run.is_stray
                and _get_duration_s(run) > STRAY_MAX_S
                and _overlaps_another_run(run, all_runs)
            ]
            runs = [run for run in all_runs if not run.is_stray]
            runs.sort(key=lambda run: run.began_at_s)
            for earlier, later in itertools.pairwise(runs):
                violations += _check_successive(earlier, later)
            violations += self._find_late_starts(runs, cancel_s)
        return violations

    def count_strays(self) -> int:
        """Return the number of stray runs."""
        return sum(run.is_stray for run in self.runs)

    def _find_late_starts(self, runs: list[LedgerRun], cancel_s: float) -> list[str]:
        if not runs:
            return []
        cancelled_at_s = self.cancelled_at_s.get(runs[0].task.job_id)
        if cancelled_at_s is None:
            return []
        return [
            f"{run.task} started {run.began_at_s - cancelled_at_s:.3f} s after its job's cancel"
            for run in runs
            if run.began_at_s > cancelled_at_s + cancel_s
        ]


def _get_duration_s(run: LedgerRun) -> float:
    return math.inf if run.ended_at_s is None else run.ended_at_s - run.began_at_s


def _overlaps_another_run(stray: LedgerRun, runs: Iterable[LedgerRun]) -> bool:
    """Tell whether another run of the stray's task continued beside it or had completed it."""
    return any(
        run is not stray
        and (
            run.ended_at_s is None
            or run.ended_at_s > stray.began_at_s + STRAY_MAX_S
            or (run.end == "done" and run.is_acknowledged)
        )
        and run.began_at_s < (stray.ended_at_s or math.inf)
        for run in runs
    )


def _check_successive(earlier: LedgerRun, later: LedgerRun) -> list[str]:
    ended_at_s = earlier.ended_at_s
    if ended_at_s is None or later.began_at_s < ended_at_s:
        return [
            f"{earlier.task} runs {earlier.number} on {earlier.host_id} and {later.number} on "
            f"{later.host_id} overlap at {later.began_at_s:.3f} s"
        ]
    if earlier.end == "done" and earlier.is_acknowledged:
        return [f"{later.task} run {later.number} started after run {earlier.number} was done"]
    return []
