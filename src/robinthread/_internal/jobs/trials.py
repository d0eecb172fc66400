"""Trials of suspect tasks on reserved hosts, and the number of hosts at risk."""

from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.task_key import TaskKey

# A host that crashed in a trial counts as at risk for this long: platforms bring its machine back
# within some seconds.
HOST_RETURN_S: Final = 3.0


@dataclass(slots=True)
class Trial:
    """Hosts reserved for the isolated start of a suspect.

    ``task`` is the task that holds its crashes.  ``run`` is 0 until the hosts are ready: runs
    that began there recently must first run past their own start, or end.
    """

    task: TaskKey
    host_ids: frozenset[str]
    is_alone: bool
    run: int = 0


class Trials:
    """The trials of a pool; ``reserved`` are the hosts of all of them.

    Times are of the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self._trials: dict[TaskKey, Trial] = {}
        self._lost_until_s: list[float] = []
        self.reserved: frozenset[str] = frozenset()

    def get(self, task: TaskKey) -> Trial | None:
        """Return the trial of a task, or None."""
        return self._trials.get(task)

    def list_all(self) -> list[Trial]:
        """Return all trials."""
        return list(self._trials.values())

    def add(self, trial: Trial) -> None:
        """Reserve the hosts of a trial."""
        self._trials[trial.task] = trial
        self._update_reserved()

    def drop(self, task: TaskKey) -> None:
        """End a task's trial, if there is one."""
        if self._trials.pop(task, None) is not None:
            self._update_reserved()

    def drop_unstarted(self) -> None:
        """Drop trials that have not begun: other hosts may suit better now."""
        waiting = [trial.task for trial in self._trials.values() if not trial.run]
        for task in waiting:
            self.drop(task)

    def is_trial_run(self, task: TaskKey, run: int) -> bool:
        """Return whether a run belongs to its task's trial."""
        trial = self._trials.get(task)
        return trial is not None and trial.run == run

    def record_loss(self, now_s: float) -> None:
        """Record that a host crashed in a trial."""
        self._lost_until_s.append(now_s + HOST_RETURN_S)

    def count_at_risk(self, now_s: float) -> int:
        """Count the hosts reserved for trials and those that crashed in trials recently."""
        self._lost_until_s = [until_s for until_s in self._lost_until_s if until_s > now_s]
        return len(self.reserved) + len(self._lost_until_s)

    def _update_reserved(self) -> None:
        hosts = (trial.host_ids for trial in self._trials.values())
        self.reserved = frozenset().union(*hosts)
