"""Drawn days of one pool's jobs under owners that replace each other, without a node or a store.

Jobs have overlapping occurrences, steps that follow one another, gangs, and progress that is
recorded whole or in parts.  Owners end with or without their last records, and their clocks are
ahead or behind.  Hosts run what was recorded on until its end.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import make_unknown_host
from robinthread._internal.node.progress_changes import restore_changes, take_changes
from tests.lib.drawn_findings import DrawnFindings
from tests.lib.job_platforms import QUEUE, make_job
from tests.lib.recorded_jobs import LIMITS, Recorded

HOST = "i-1"
STEPS = 40
STEP_MS = 500
INTERVAL_MS = 1_000
REPLACED_SHARE = 0.2
NOT_RECORDED_SHARE = 0.1
DONE_SHARE = 0.95
CLOCK_ERRORS_MS = (-4_000, -4_000, 0, 4_000)
# Shapes of jobs: tasks of the steps, of which some are gangs.
SHAPES = (
    (StepSpec(3, cpu_millicores=1), StepSpec(2, cpu_millicores=1, after_steps=(0,))),
    (StepSpec(260, cpu_millicores=1),),
    (StepSpec(4, cpu_millicores=1, is_gang=True), StepSpec(260, cpu_millicores=1)),
    (StepSpec(300, cpu_millicores=1), StepSpec(3, is_gang=True, after_steps=(0,))),
    (StepSpec(1_100, cpu_millicores=1),),
)


@dataclass
class _Day:
    """What outlasts an owner: records, runs on hosts, and the ends of which note was taken."""

    drawn: random.Random
    specs: tuple[JobSpec, ...]
    recorded: dict[str, Recorded]
    now_ms: int = 0
    at_work: dict[TaskKey, int] = field(default_factory=dict)
    noted: set[TaskKey] = field(default_factory=set)
    breaks: list[str] = field(default_factory=list)


def find_in_owners(seed: int) -> DrawnFindings:
    """Simulate the day of a seed; an error that would end an owner is a finding as well."""
    drawn = random.Random(seed)
    specs = tuple(_draw_job(drawn, number) for number in range(1, drawn.choice((2, 4)) + 1))
    day = _Day(drawn, specs, {spec.job_id: Recorded(spec.job_id) for spec in specs})
    try:
        _play(day)
    except (KeyError, ValueError) as error:
        day.breaks.append(repr(error))
    return DrawnFindings(seed, tuple(day.breaks), ())


def _play(day: _Day) -> None:
    owner = _Owner(day)
    for _ in range(STEPS):
        day.now_ms += STEP_MS
        if day.drawn.random() < REPLACED_SHARE:
            owner.end(is_planned=day.drawn.random() < 0.5)
            owner = _Owner(day)
        owner.act()


def _draw_job(drawn: random.Random, number: int) -> JobSpec:
    spec = make_job(number, *drawn.choice(SHAPES))
    return msgspec.structs.replace(
        spec, occurrence_count=drawn.choice((3, 8)), first_due_ms=1, interval_ms=INTERVAL_MS
    )


class _Owner:
    """An owner of the pool, with its own clock, from its takeover to its end."""

    def __init__(self, day: _Day) -> None:
        self._day = day
        self._clock_error_ms = day.drawn.choice(CLOCK_ERRORS_MS)
        self._pool = PoolJobs()
        self._host = self._pool.add_host(make_unknown_host(HOST))
        for spec in day.specs:
            recorded = day.recorded[spec.job_id]
            progress = recorded.load() if recorded.values else None
            job = self._pool.add_job(spec, QUEUE, 0, 0.0, progress)
            self._pool.queue_due_tasks(job, self._now_ms)
        self._learn_runs()

    @property
    def _now_ms(self) -> int:
        return max(0, self._day.now_ms + self._clock_error_ms)

    def act(self) -> None:
        """Open, place, record and end what is drawn."""
        drawn = self._day.drawn
        self._pool.open_due_jobs(self._now_ms)
        if drawn.random() < 0.7:
            self._place(drawn.choice((0.1, 0.9, 1.0)))
        self._record()
        if drawn.random() < 0.7:
            self._end_runs(drawn.choice((0.1, 0.9, 1.0)))
        if drawn.random() < 0.7:
            self._record()

    def end(self, is_planned: bool) -> None:
        """End the owner; a planned end records its latest progress first."""
        if is_planned:
            self._record()

    def _learn_runs(self) -> None:
        """Take the report of the host: runs that it does not have never began."""
        for run in list(self._host.runs.values()):
            if self._is_at_work(run):
                self._pool.confirm_start(run, 0.0)
            elif run.phase is not RunPhase.OVER:
                self._pool.forget_run(run)

    def _place(self, share: float) -> None:
        for task in list(self._pool.waiting.values()):
            if task.key in self._pool.waiting and self._day.drawn.random() < share:
                self._place_one(task)

    def _place_one(self, task: Task) -> None:
        members = self._pool.jobs[task.key.job_id].get_members(task)
        number = max(member.last_run for member in members) + 1
        for member in members:
            self._pool.place(member, self._host, number)

    def _record(self) -> None:
        """Record changed jobs; runs that are recorded begin, and ends are noted."""
        for job in self._pool.drain_unrecorded():
            changes = take_changes(job, may_split=True, limits=LIMITS)
            if self._day.drawn.random() < NOT_RECORDED_SHARE:
                restore_changes(changes)
                self._pool.unrecorded[job.id] = job
                continue
            self._day.recorded[job.id].store(changes.records)
            self._day.noted.update(task.key for task in changes.tasks if task.is_done)
            for run in changes.runs:
                self._begin(run)

    def _begin(self, run: Run) -> None:
        if run.phase is not RunPhase.RECORDING:
            return
        run.phase = RunPhase.PRESENT
        if run.task in self._day.noted:
            self._day.breaks.append(f"{run.task} is done and gets run {run.number}")
        if run.task in self._day.at_work:
            self._day.breaks.append(f"{run.task} has two runs")
        self._day.at_work[run.task] = run.number

    def _is_at_work(self, run: Run) -> bool:
        return self._day.at_work.get(run.task) == run.number

    def _end_runs(self, share: float) -> None:
        """End some runs on the host, as done or failed; the owner learns of it."""
        for run in list(self._iter_present()):
            if self._is_at_work(run) and self._day.drawn.random() < share:
                self._end_run(run)

    def _iter_present(self) -> Iterator[Run]:
        return (run for run in self._host.runs.values() if run.phase is RunPhase.PRESENT)

    def _end_run(self, run: Run) -> None:
        job = self._pool.jobs[run.task.job_id]
        task = job.get_task(run.task)
        is_done = task.step.is_gang or self._day.drawn.random() < DONE_SHARE
        for each in self._list_gang_runs(job, task):
            self._day.at_work.pop(each.task, None)
            self._pool.end_run(each, RunEnd.DONE if is_done else RunEnd.LAPSED, "", self._now_ms)

    def _list_gang_runs(self, job: Job, task: Task) -> list[Run]:
        return [run for member in job.get_members(task) for run in member.runs]
