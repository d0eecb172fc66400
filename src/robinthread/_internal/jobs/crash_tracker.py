"""Under which tasks of a pool hosts have crashed."""

import enum
from collections import Counter, deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from robinthread._internal.jobs.crashes import Crash, is_suspect
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.task import Task
from robinthread._internal.jobs.trials import Trial, Trials
from robinthread._internal.models.task_key import TaskKey

# So many lost hosts are remembered, the latest.
LOSSES_RETAINED_MAX: Final = 64
# The connections to the hosts of a rack that is lost break within so long of each other.
RACK_LOST_WITHIN_S: Final = 0.05
# From so many crashes within so long on, a machine may be what crashes.  Its next host is tried
# after a pause, twice as long each time.
BAD_MACHINE_CRASHES: Final = 2
BAD_MACHINE_WITHIN_S: Final = 120.0
BAD_MACHINE_PAUSE_S: Final = 2.0
BAD_MACHINE_PAUSE_MAX_S: Final = 32.0


@dataclass(frozen=True, slots=True)
class LostHost:
    """A host that crashed, and when it did by the event loop's clock, in seconds.

    One that did not run anything may have been ordered away: it says nothing of its machine.
    """

    id: str
    machine: str
    rack: str
    at_s: float
    had_runs: bool = True


class CrashEventKind(enum.Enum):
    """What was found of a task: the values are the events by which that is told."""

    SUSPECTED = "task_suspected"
    TRIAL_STARTED = "suspect_started"
    CLEARED = "suspect_cleared"
    GIVEN_UP = "task_given_up"


@dataclass(frozen=True, slots=True)
class CrashEvent:
    """What was found of a task, with the crashes that counted then and the hosts it is about."""

    kind: CrashEventKind
    task: TaskKey
    run: int
    crashes: tuple[Crash, ...]
    host_ids: tuple[str, ...]


class CrashTracker:
    """The tasks under which hosts have crashed; the members of a gang count as its first.

    ``suspects`` are those to be started apart from others.
    """

    def __init__(self) -> None:
        self.trials = Trials()
        self.suspects: dict[TaskKey, Task] = {}
        self._notes: list[CrashEvent] = []
        self._crashed: dict[TaskKey, Task] = {}
        self._lapsed: dict[str, Sequence[tuple[Task, Crash]]] = {}
        self._losses: deque[LostHost] = deque(maxlen=LOSSES_RETAINED_MAX)

    def is_suspect(self, task: Task) -> bool:
        """Tell whether a task is to be started apart from others."""
        return bool(self.suspects) and task.crash_task_key in self.suspects

    def set_crashes(self, task: Task, crashes: Sequence[Crash]) -> None:
        """Note the crashes that count for a task."""
        task.crashes = tuple(crashes)
        self._crashed.pop(task.key, None)
        self.suspects.pop(task.key, None)
        if crashes:
            self._crashed[task.key] = task
        if is_suspect(crashes):
            self.suspects[task.key] = task
        else:
            self.trials.drop(task.key)

    def forget(self, task: Task) -> None:
        """Forget a task that is not to be started any more."""
        self._crashed.pop(task.key, None)
        self.suspects.pop(task.key, None)
        self.trials.drop(task.key)

    def resume_trials(self, job: Job) -> None:
        """Keep other work from the hosts on which an earlier owner started a suspect alone.

        What began beside it would hide whose fault a crash is.
        """
        for task in job.iter_running():
            alone = [run for run in task.runs if run.is_alone]
            if alone and self.is_suspect(job.get_crash_task(task)):
                trial = self.trials.get(task.crash_task_key)
                host_ids = trial.host_ids if trial is not None else frozenset()
                host_ids |= {run.host_id for run in alone}
                self.trials.add(
                    Trial(task.crash_task_key, host_ids, is_alone=True, run=alone[0].number)
                )

    def add_event(self, kind: CrashEventKind, task: Task, host_ids: Collection[str]) -> None:
        """Have something told of a task."""
        ids = tuple(sorted(host_ids))
        self._notes.append(CrashEvent(kind, task.key, task.last_run, task.crashes, ids))

    def drain_events(self) -> list[CrashEvent]:
        """Return what has been found since this was last asked."""
        notes, self._notes = self._notes, []
        return notes

    def record_cause_found(self, host_ids: Collection[str]) -> list[Task]:
        """Note that the cause of crashes was found; return the other tasks that they count for.

        A task that is being tried tells by itself.
        """
        self._losses = deque(
            (lost for lost in self._losses if lost.id not in host_ids), LOSSES_RETAINED_MAX
        )
        return [
            task
            for task in self._crashed.values()
            if any(crash.host_id in host_ids for crash in task.crashes)
            and self.trials.get(task.key) is None
        ]

    def record_host_lapse(self, host_id: str, found: Sequence[tuple[Task, Crash]]) -> None:
        """Remember what counts for which tasks once a host whose lease is over has crashed."""
        self._lapsed[host_id] = found

    def is_host_outcome_open(self, task: Task) -> bool:
        """Tell whether it is not known yet if a host crashed that a task's lease lapsed on."""
        return any(task is other for found in self._lapsed.values() for other, _crash in found)

    def pop_lapsed(self, host_id: str) -> Sequence[tuple[Task, Crash]]:
        """Return what was remembered of a host, and forget it."""
        return self._lapsed.pop(host_id, ())

    def record_loss(self, lost: LostHost) -> None:
        """Remember a host that crashed."""
        self._losses.append(lost)

    def was_rack_lost(self, rack: str, at_s: float) -> bool:
        """Tell whether another host of a rack crashed at about a time."""
        return any(
            lost.rack == rack and abs(lost.at_s - at_s) <= RACK_LOST_WITHIN_S
            for lost in self._losses
        )

    def count_by_machine(self) -> Counter[str]:
        """Count by machine the crashes of late whose cause is not known."""
        return Counter(lost.machine for lost in self._losses if lost.had_runs)

    def get_machine_pause_s(self, machine: str, now_s: float) -> float:
        """Return how long a machine's next host gets no work: one that crashes by itself.

        It has crashed several times of late, and as often as all others together: where many
        do, it is not the machine.
        """
        recent = [
            lost
            for lost in self._losses
            if lost.had_runs and now_s - lost.at_s < BAD_MACHINE_WITHIN_S
        ]
        count = sum(lost.machine == machine for lost in recent)
        if count < BAD_MACHINE_CRASHES or 2 * count < len(recent):
            return 0.0
        return min(
            BAD_MACHINE_PAUSE_S * 2 ** (count - BAD_MACHINE_CRASHES), BAD_MACHINE_PAUSE_MAX_S
        )
