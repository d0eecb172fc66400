"""What the workers have seen: starts, ends, and which ends were taken note of."""

from dataclasses import dataclass


@dataclass
class RunSeen:
    """One run of a subtask on a worker; times are those of the event loop's clock."""

    task: str
    run: int
    worker: str
    began_at_s: float
    ended_at_s: float | None = None
    how: str = ""
    noted_at_s: float | None = None


class Ledger:
    """All runs, in the order of their starts.

    Texts give times in seconds since ``origin_s``, a time of the event loop's clock.
    """

    def __init__(self, origin_s: float) -> None:
        self._origin_s = origin_s
        self.runs: list[RunSeen] = []

    def list_runs(self, task: str) -> list[RunSeen]:
        """Return the runs of a subtask."""
        return [run for run in self.runs if run.task == task]

    def find_twice(self) -> list[str]:
        """Return the breaks of TWICE that need no time bound: the first two of its cases.

        Two runs of one subtask go at the same time, or a start follows a run that ended ``done``,
        if note was taken of that end then or later.
        """
        breaks = []
        by_task: dict[str, list[RunSeen]] = {}
        for run in self.runs:
            for earlier in by_task.setdefault(run.task, []):
                if fault := self._find_fault(earlier, run):
                    began_at = self._tell(run.began_at_s)
                    breaks.append(
                        f"{run.task}: run {run.run} began on {run.worker} at {began_at}, {fault}"
                    )
            by_task[run.task].append(run)
        return breaks

    def _find_fault(self, earlier: RunSeen, run: RunSeen) -> str:
        """Return why a run may not begin after an earlier one, or "" if it may."""
        if earlier.ended_at_s is None or earlier.ended_at_s > run.began_at_s:
            return f"while run {earlier.run} went on {earlier.worker}"
        if earlier.how != "done" or earlier.noted_at_s is None:
            return ""
        return (
            f"after run {earlier.run} had ended done on {earlier.worker} at "
            f"{self._tell(earlier.ended_at_s)} (noted at {self._tell(earlier.noted_at_s)})"
        )

    def _tell(self, at_s: float) -> str:
        return f"{at_s - self._origin_s:.3f}"
