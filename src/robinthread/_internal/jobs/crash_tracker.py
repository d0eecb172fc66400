"""Tracks host crashes and the tasks of a pool that may have caused them."""

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

# Number of the most recent host crashes that are retained.
LOSSES_RETAINED_MAX: Final = 64
# When a rack is lost, the connections to its hosts break within this time of each other.
RACK_LOST_WITHIN_S: Final = 0.05
# A machine whose hosts crashed ``BAD_MACHINE_CRASHES`` times within ``BAD_MACHINE_WITHIN_S`` may
# be faulty itself.  Its next host gets no work for ``BAD_MACHINE_PAUSE_S``; each further crash
# doubles the pause, up to ``BAD_MACHINE_PAUSE_MAX_S``.
BAD_MACHINE_CRASHES: Final = 2
BAD_MACHINE_WITHIN_S: Final = 120.0
BAD_MACHINE_PAUSE_S: Final = 2.0
BAD_MACHINE_PAUSE_MAX_S: Final = 32.0


@dataclass(frozen=True, slots=True)
class LostHost:
    """A host that crashed; ``at_s`` is when, in seconds of the event loop's clock.

    A host without runs may have been removed by an order, so it does not count against its
    machine.
    """

    id: str
    machine: str
    rack: str
    at_s: float
    had_runs: bool = True


class CrashEventKind(enum.Enum):
    """Findings about a task; each value is the name of the log event."""

    SUSPECTED = "task_suspected"
    TRIAL_STARTED = "suspect_started"
    CLEARED = "suspect_cleared"
    GIVEN_UP = "task_given_up"


@dataclass(frozen=True, slots=True)
class CrashEvent:
    """A finding about a task, with the crashes counted at that time and the hosts concerned."""

    kind: CrashEventKind
    task: TaskKey
    run: int
    crashes: tuple[Crash, ...]
    host_ids: tuple[str, ...]


class CrashTracker:
    """Tracks the tasks under which hosts crashed; a gang is tracked by its first member.

    ``suspects`` are the tasks that must be started in isolation.
    """

    def __init__(self) -> None:
        self.trials = Trials()
        self.suspects: dict[TaskKey, Task] = {}
        self._events: list[CrashEvent] = []
        self._tasks_with_crashes: dict[TaskKey, Task] = {}
        self._lapsed_crashes: dict[str, Sequence[tuple[Task, Crash]]] = {}
        self._losses: deque[LostHost] = deque(maxlen=LOSSES_RETAINED_MAX)

    def is_suspect(self, task: Task) -> bool:
        """Return whether a task must be started in isolation."""
        return bool(self.suspects) and task.crash_task_key in self.suspects

    def set_crashes(self, task: Task, crashes: Sequence[Crash]) -> None:
        """Set the crashes that count against a task and update whether it is suspect."""
        task.crashes = tuple(crashes)
        self._tasks_with_crashes.pop(task.key, None)
        self.suspects.pop(task.key, None)
        if crashes:
            self._tasks_with_crashes[task.key] = task
        if is_suspect(crashes):
            self.suspects[task.key] = task
        else:
            self.trials.drop(task.key)

    def forget(self, task: Task) -> None:
        """Stop tracking a task that will not be started again."""
        self._tasks_with_crashes.pop(task.key, None)
        self.suspects.pop(task.key, None)
        self.trials.drop(task.key)

    def resume_trials(self, job: Job) -> None:
        """Reserve the hosts on which an earlier owner started suspects of a job alone.

        With other runs on such a host, a crash could not be attributed to the suspect.
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
        """Queue an event about a task for the log."""
        ids = tuple(sorted(host_ids))
        self._events.append(CrashEvent(kind, task.key, task.last_run, task.crashes, ids))

    def drain_events(self) -> list[CrashEvent]:
        """Return the queued events and clear the queue."""
        events, self._events = self._events, []
        return events

    def record_cause_found(self, host_ids: Collection[str]) -> list[Task]:
        """Drop crashes whose cause was found; return the other tasks against which they count.

        Tasks on trial are excluded: the trial itself shows whether they crash hosts.
        """
        self._losses = deque(
            (lost for lost in self._losses if lost.id not in host_ids), LOSSES_RETAINED_MAX
        )
        return [
            task
            for task in self._tasks_with_crashes.values()
            if any(crash.host_id in host_ids for crash in task.crashes)
            and self.trials.get(task.key) is None
        ]

    def record_host_lapse(self, host_id: str, found: Sequence[tuple[Task, Crash]]) -> None:
        """Retain the crashes to count if a host with a lapsed lease proves to have crashed."""
        self._lapsed_crashes[host_id] = [*self._lapsed_crashes.get(host_id, ()), *found]

    def has_lapsed(self, host_id: str) -> bool:
        """Return whether crashes are retained for a host with a lapsed lease."""
        return bool(self._lapsed_crashes.get(host_id))

    def is_host_outcome_open(self, task: Task) -> bool:
        """Return whether a task's lease lapsed on a host that may or may not have crashed."""
        return any(
            task is other for found in self._lapsed_crashes.values() for other, _crash in found
        )

    def pop_lapsed(self, host_id: str) -> Sequence[tuple[Task, Crash]]:
        """Remove and return the retained crashes of a host; empty if there are none."""
        return self._lapsed_crashes.pop(host_id, ())

    def record_loss(self, lost: LostHost) -> None:
        """Record a host that crashed."""
        self._losses.append(lost)

    def was_rack_lost(self, rack: str, at_s: float) -> bool:
        """Return whether a host of a rack crashed within ``RACK_LOST_WITHIN_S`` of a time."""
        return any(
            lost.rack == rack and abs(lost.at_s - at_s) <= RACK_LOST_WITHIN_S
            for lost in self._losses
        )

    def count_by_machine(self) -> Counter[str]:
        """Count the retained crashes of unknown cause by machine."""
        return Counter(lost.machine for lost in self._losses if lost.had_runs)

    def get_machine_pause_s(self, machine: str, now_s: float) -> float:
        """Return for how many seconds a machine's next host gets no work; 0 if it seems sound.

        A machine seems faulty if its hosts crashed at least ``BAD_MACHINE_CRASHES`` times
        recently and as often as those of all other machines together.  Crashes on many machines
        have another cause.
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
