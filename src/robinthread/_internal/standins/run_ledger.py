"""Every run on the stand-in's hosts, and what must never be seen of them."""

import itertools
from collections import defaultdict
from dataclasses import dataclass

from robinthread._internal.models.task_key import TaskKey


@dataclass
class LedgerRun:
    """A run as the hosts saw it; times are of the event loop's clock.

    ``is_noted`` tells that note was taken of its end, and before its host's lease lapsed,
    ``is_cause`` that it took its host down.
    """

    task: TaskKey
    number: int
    host_id: str
    began_at_s: float
    ended_at_s: float | None = None
    end: str = ""
    is_noted: bool = False
    is_cause: bool = False


class RunLedger:
    """Collects runs over all hosts and finds what breaks the promises.

    ``overfull`` are starts that brought a host over its room, in words.
    """

    def __init__(self) -> None:
        self.runs: list[LedgerRun] = []
        self.cancelled_at_s: dict[str, float] = {}
        self.overfull: list[str] = []

    def add(self, run: LedgerRun) -> None:
        """Note a run that began."""
        self.runs.append(run)

    def find_breaks(self, cancel_s: float) -> list[str]:
        """Return what was seen and must not be, in words."""
        by_task: dict[TaskKey, list[LedgerRun]] = defaultdict(list)
        for run in self.runs:
            by_task[run.task].append(run)
        breaks = list(self.overfull)
        for runs in by_task.values():
            runs.sort(key=lambda run: run.began_at_s)
            for earlier, later in itertools.pairwise(runs):
                breaks += _compare(earlier, later)
            breaks += self._find_late_starts(runs, cancel_s)
        return breaks

    def _find_late_starts(self, runs: list[LedgerRun], cancel_s: float) -> list[str]:
        cancelled_at_s = self.cancelled_at_s.get(runs[0].task.job_id)
        if cancelled_at_s is None:
            return []
        return [
            f"{run.task} began {run.began_at_s - cancelled_at_s:.3f} s after its job's cancel"
            for run in runs
            if run.began_at_s > cancelled_at_s + cancel_s
        ]


def _compare(earlier: LedgerRun, later: LedgerRun) -> list[str]:
    ended_at_s = earlier.ended_at_s
    if ended_at_s is None or later.began_at_s < ended_at_s:
        return [
            f"{earlier.task} runs {earlier.number} on {earlier.host_id} and {later.number} on "
            f"{later.host_id} overlap at {later.began_at_s:.3f} s"
        ]
    if earlier.end == "done" and earlier.is_noted:
        return [f"{later.task} run {later.number} began after run {earlier.number} was done"]
    return []
