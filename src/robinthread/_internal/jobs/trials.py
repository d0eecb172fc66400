"""Where suspect tasks run apart from others, and what that may cost at a time."""

from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.task_key import TaskKey

# A host that a suspect took with it counts as at stake for so long: platforms have its machine
# back within some seconds.
HOST_RETURN_S: Final = 3.0


@dataclass(slots=True)
class Trial:
    """Hosts on which a suspect is started, and which nothing else gets meanwhile.

    ``task`` is the one that its crashes are counted for.  ``run`` is 0 while its hosts are not
    ready: what began there of late has to outlive its own start first, or to end.
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
        """Return the trial of a task."""
        return self._trials.get(task)

    def list_all(self) -> list[Trial]:
        """Return all trials."""
        return list(self._trials.values())

    def add(self, trial: Trial) -> None:
        """Reserve the hosts of a trial."""
        self._trials[trial.task] = trial
        self._note_reserved()

    def drop(self, task: TaskKey) -> None:
        """End a task's trial, if there is one."""
        if self._trials.pop(task, None) is not None:
            self._note_reserved()

    def drop_unstarted(self) -> None:
        """Give back the hosts of trials that have not begun: others may suit better now."""
        waiting = [trial.task for trial in self._trials.values() if not trial.run]
        for task in waiting:
            self.drop(task)

    def is_trial_run(self, task: TaskKey, run: int) -> bool:
        """Tell whether a run is its task's trial."""
        trial = self._trials.get(task)
        return trial is not None and trial.run == run

    def record_loss(self, now_s: float) -> None:
        """Note that a trial took a host with it."""
        self._lost_until_s.append(now_s + HOST_RETURN_S)

    def count_at_risk(self, now_s: float) -> int:
        """Count the hosts that trials may take with them, and those that they took of late."""
        self._lost_until_s = [until_s for until_s in self._lost_until_s if until_s > now_s]
        return len(self.reserved) + len(self._lost_until_s)

    def _note_reserved(self) -> None:
        hosts = (trial.host_ids for trial in self._trials.values())
        self.reserved = frozenset().union(*hosts)
