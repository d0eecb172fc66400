"""A job of a pool and the state of its tasks."""

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import accumulate

from robinthread._internal.jobs.occurrence_set import OccurrenceSet
from robinthread._internal.jobs.part_key import PartKey
from robinthread._internal.jobs.policy_resolution import PolicySource
from robinthread._internal.jobs.run import Run
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.job_policy import StoredPolicy
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.task_key import TaskKey


class Job:
    """A job and its tasks.

    ``status`` is the status decided by this owner.  ``recorded_status`` is the status in the
    store and the only one that may be shown: the pool's next owner could revert a status that
    is not recorded.  ``confirmed_crash_tasks`` are the tasks with a confirmed crash of a host;
    while there are any, no other task of the job is started.  A job that ``is_beyond_share``
    comes after all others, and one that ``is_held_back`` starts nothing.  ``last_policy`` is the
    policy to store with the progress.  ``changed`` are the tasks whose latest state is not recorded
    yet.  An occurrence is opened by this owner, or by an earlier one that started a task of it;
    ``next_occurrence`` is the first that is not.  It is ``retired`` once its tasks are done and
    recorded; they are no longer kept.  ``is_split`` and ``recorded_parts`` tell how the job's
    progress is stored, see ``ProgressPart``.
    """

    def __init__(
        self,
        spec: JobSpec,
        policy: QueuePolicy,
        offset: int,
        policy_source: PolicySource = PolicySource.CONFIGURATION,
    ) -> None:
        self.spec = spec
        self.policy = policy
        self.policy_source = policy_source
        self.last_policy: StoredPolicy | None = None
        self.offset = offset
        self.status = JobStatus.QUEUED
        self.recorded_status = JobStatus.QUEUED
        self.ended_at_ms = 0
        self.has_begun = False
        self.is_beyond_share = False
        self.is_held_back = False
        self.confirmed_crash_tasks: set[TaskKey] = set()
        self.tasks: dict[TaskKey, Task] = {}
        self.changed: dict[TaskKey, Task] = {}
        self.retired = OccurrenceSet()
        self.is_split = False
        self.recorded_parts: set[PartKey] = set()
        self.retired_run_count = 0
        self.retired_failure_count = 0
        self.next_occurrence = 0
        self._open_occurrences: set[int] = set()
        self._done_occurrences = OccurrenceSet()
        self._done_step_counts: Counter[int] = Counter()
        self._first_task_numbers = tuple(
            accumulate((step.task_count for step in spec.steps), initial=0)
        )
        self._open_counts: dict[tuple[int, int], int] = {}
        self._step_tasks: dict[tuple[int, int], list[Task]] = {}

    @property
    def id(self) -> str:
        """Return the job's id."""
        return self.spec.job_id

    @property
    def shown_status(self) -> JobStatus:
        """Return the status that callers may see."""
        if self.recorded_status.is_final:
            return self.recorded_status
        return JobStatus.RUNNING if self.has_begun else JobStatus.QUEUED

    @property
    def occurrence_count(self) -> int:
        """Return how many times the job's steps run."""
        return max(1, self.spec.occurrence_count)

    @property
    def open_occurrence_count(self) -> int:
        """Return the number of occurrences that are open and not done."""
        return len(self._open_occurrences)

    @property
    def open_task_count(self) -> int:
        """Return the number of tasks of the occurrences that are open and not done."""
        return self.open_occurrence_count * self.occurrence_task_count

    @property
    def occurrence_task_count(self) -> int:
        """Return the number of tasks of one occurrence."""
        return self._first_task_numbers[-1]

    def get_task_number(self, key: TaskKey) -> int:
        """Return the position of a task among all tasks of its occurrence, step by step."""
        return self._first_task_numbers[key.step] + key.index

    def iter_tasks_between(self, occurrence: int, first: int, end: int) -> Iterator[Task]:
        """Iterate over the tasks of an occurrence by number, from ``first`` to before ``end``."""
        first_numbers = self._first_task_numbers
        end = min(end, first_numbers[-1])
        step = bisect_right(first_numbers, first) - 1
        while first < end:
            step_end = min(end, first_numbers[step + 1])
            step_tasks = self.get_tasks(occurrence, step)
            yield from step_tasks[first - first_numbers[step] : step_end - first_numbers[step]]
            first, step = step_end, step + 1

    def get_due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in ms of Unix time; 0 means at once."""
        if not self.spec.is_timed:
            return 0
        return self.spec.first_due_ms + occurrence * self.spec.interval_ms

    def get_tasks(self, occurrence: int, step: int) -> list[Task]:
        """Return the tasks of a step, created on first use; don't modify the list."""
        tasks = self._step_tasks.get((occurrence, step))
        if tasks is None:
            count = self.spec.steps[step].task_count
            keys = (TaskKey(self.id, occurrence, step, index) for index in range(count))
            tasks = self._step_tasks[occurrence, step] = [self.get_task(key) for key in keys]
        return tasks

    def get_task(self, key: TaskKey) -> Task:
        """Return a task, created on first use; one of a retired occurrence is done."""
        task = self.tasks.get(key)
        if task is None:
            task = self.tasks[key] = Task(key, self.spec.steps[key.step])
            task.is_done = key.occurrence in self.retired
        return task

    def get_crash_task(self, task: Task) -> Task:
        """Return the task that holds a task's crashes; see ``Task.crash_task_key``."""
        return self.get_task(task.crash_task_key) if task.step.is_gang else task

    def has_task(self, key: TaskKey) -> bool:
        """Return whether the key names a task of this job that is not retired."""
        return (
            key.job_id == self.id
            and 0 <= key.occurrence < self.occurrence_count
            and key.occurrence not in self.retired
            and 0 <= key.step < len(self.spec.steps)
            and 0 <= key.index < self.spec.steps[key.step].task_count
        )

    def count_open(self, occurrence: int, step: int) -> int:
        """Return the number of tasks of a step that are not done."""
        if occurrence in self.retired:
            return 0
        return self._open_counts.get((occurrence, step), self.spec.steps[step].task_count)

    def count_open_tasks(self) -> int:
        """Return the number of tasks of open occurrences that are not done."""
        return sum(
            self.count_open(occurrence, step)
            for occurrence in self.iter_open_occurrences()
            for step in range(len(self.spec.steps))
        )

    def set_done(self, task: Task) -> None:
        """Mark a task as done."""
        if task.is_done:
            return
        task.is_done = True
        place = (task.key.occurrence, task.key.step)
        self._open_counts[place] = self.count_open(*place) - 1
        if self._open_counts[place]:
            return
        occurrence = task.key.occurrence
        self._done_step_counts[occurrence] += 1
        if self._done_step_counts[occurrence] == len(self.spec.steps):
            self._done_occurrences.add(occurrence)
            self._open_occurrences.discard(occurrence)
            self._update_next_occurrence()

    def retire(self, occurrences: Iterable[int]) -> list[int]:
        """Drop the tasks of those occurrences that are done and have no run; return these."""
        done = [
            occurrence
            for occurrence in occurrences
            if occurrence in self._done_occurrences and not self._has_runs(occurrence)
        ]
        for occurrence in done:
            self._retire_one(occurrence)
        return done

    def restore_retired(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Mark occurrences as retired that an earlier owner recorded as such."""
        ranges = tuple(ranges)
        self._done_occurrences.add_ranges(ranges)
        self.retired.add_ranges(ranges)
        self._update_next_occurrence()

    def _has_runs(self, occurrence: int) -> bool:
        return any(
            task.runs
            for step in range(len(self.spec.steps))
            for task in self.get_tasks(occurrence, step)
        )

    def _retire_one(self, occurrence: int) -> None:
        for step in range(len(self.spec.steps)):
            for task in self._step_tasks.pop((occurrence, step), ()):
                self.retired_run_count += task.last_run
                self.retired_failure_count += task.failure_count
                self.tasks.pop(task.key, None)
                self.changed.pop(task.key, None)
            self._open_counts.pop((occurrence, step), None)
        self._done_step_counts.pop(occurrence, None)
        self.retired.add(occurrence)

    def count_runs(self) -> int:
        """Return how many runs this owner knows of."""
        return self.retired_run_count + sum(task.last_run for task in self.tasks.values())

    def count_failures(self) -> int:
        """Return how many failures of tasks this owner knows of."""
        failure_counts = (task.failure_count for task in self.tasks.values())
        return self.retired_failure_count + sum(failure_counts)

    def is_step_open(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        after = self.spec.steps[step].after_steps
        return all(self.count_open(occurrence, earlier) == 0 for earlier in after)

    def is_all_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return len(self._done_occurrences) == self.occurrence_count

    def iter_open_occurrences(self) -> Iterator[int]:
        """Iterate over the occurrences that are open and not done."""
        return iter(sorted(self._open_occurrences))

    def is_next_due(self, now_ms: int) -> bool:
        """Return whether there is another occurrence to be opened, and it is due."""
        is_left = self.next_occurrence < self.occurrence_count
        return is_left and self.get_due_ms(self.next_occurrence) <= now_ms

    def open(self, occurrence: int) -> None:
        """Open an occurrence, unless it is open or done."""
        if occurrence not in self._done_occurrences:
            self._open_occurrences.add(occurrence)
            self._update_next_occurrence()

    def _update_next_occurrence(self) -> None:
        """Advance ``next_occurrence`` past those that are open or done."""
        missing = self._done_occurrences.find_missing(self.next_occurrence)
        while missing in self._open_occurrences:
            missing = self._done_occurrences.find_missing(missing + 1)
        self.next_occurrence = missing

    def get_members(self, task: Task) -> list[Task]:
        """Return the members of a task's gang, or only the task if it has none."""
        if task.step.is_gang:
            return self.get_tasks(task.key.occurrence, task.key.step)
        return [task]

    def count_failure(self, task: Task, run: Run) -> int:
        """Count a failure of a task or of its gang; return the number of failures so far."""
        task.failed_host_ids.add(run.host_id)
        counted = self.get_members(task)[0]
        if not task.step.is_gang or run.number > counted.last_failed_run:
            # Several members may fail in one run of a gang, which counts once.
            counted.failure_count += 1
            counted.last_failed_run = run.number
        return counted.failure_count

    def has_attempts_left(self, task: Task) -> bool:
        """Return whether a task has failed less often than it may.

        While the job's policy is not known, that is certain only of a task that never failed.
        """
        if task.step.is_lasting:
            return True
        attempts_max = self.policy.attempts_max if self.policy_source.is_known else 1
        return self.get_members(task)[0].failure_count < attempts_max

    def iter_running(self) -> Iterator[Task]:
        """Iterate over the tasks that have a run."""
        return (task for task in self.tasks.values() if task.runs)
