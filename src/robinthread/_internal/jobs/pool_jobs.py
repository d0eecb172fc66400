"""State of the jobs, tasks and hosts of one pool, and its transitions."""

import math
from collections.abc import Iterable, Sequence
from functools import partial
from typing import Final

from robinthread._internal.jobs.answer_times import AnswerTimes
from robinthread._internal.jobs.cold_state import NO_LIMIT
from robinthread._internal.jobs.crash_tracker import CrashTracker
from robinthread._internal.jobs.crashes import Crash
from robinthread._internal.jobs.evacuated_halls import EvacuatedHalls
from robinthread._internal.jobs.foreign_leases import ForeignLeases
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_lease import HostLease
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.misdirected_leases import MisdirectedLeases
from robinthread._internal.jobs.open_limit import OpenLimit, is_large, make_open_limit
from robinthread._internal.jobs.outlook import Outlook
from robinthread._internal.jobs.policy_resolution import PolicySource, ResolvedPolicy
from robinthread._internal.jobs.progress import JobProgress, restore_progress
from robinthread._internal.jobs.progress_parts import restore_parts
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.run_times import RunTimes
from robinthread._internal.jobs.task import Task
from robinthread._internal.jobs.tickets import TicketCache
from robinthread._internal.jobs.unconfirmed_starts import UnconfirmedStarts
from robinthread._internal.jobs.workspace_limiter import WorkspaceLimiter
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost, make_unknown_host
from robinthread._internal.settings.policy_settings import PlacementPolicy

DEFAULT_PLACEMENT: Final = PlacementPolicy()
# The platform's bound, which owners replace with that of their settings.
DEFAULT_GANG_TIMEOUT_S: Final = 3.0


class PoolJobs:
    """Jobs and hosts of a pool, and the tasks that wait for a host.

    ``unrecorded`` are the jobs whose latest progress is not in the store yet, and ``to_stop``
    the runs whose stop must still be ordered.  ``exhausted`` are jobs to fail, because a task has
    used up its attempts.  ``reserved_host_ids`` names, for some waiting
    tasks, the host that gets no other work until the task fits there.  ``foreign_leases``
    are the leases that earlier owners granted, and ``cold_start_limit`` bounds the starts on each
    cold host.  ``outlook`` is how late jobs will be, None where that does not affect their order.
    While ``are_capacities_known`` is False no host gets any work; hosts of ``evacuated`` halls
    get none.  The members of a gang must all start within ``gang_timeout_s``.
    ``recording_times`` are those from the placement of runs until they are recorded.  Times in
    seconds are of the event loop's clock.
    """

    def __init__(self, policy: PlacementPolicy = DEFAULT_PLACEMENT) -> None:
        self.policy = policy
        self.foreign_leases = ForeignLeases()
        self.jobs: dict[str, Job] = {}
        self.hosts: dict[str, Host] = {}
        self.waiting: dict[TaskKey, Task] = {}
        self.unrecorded: dict[str, Job] = {}
        self.to_stop: list[Run] = []
        self.exhausted: dict[str, Job] = {}
        self.reserved_host_ids: dict[TaskKey, str] = {}
        self.run_times = RunTimes()
        self.tickets = TicketCache()
        self.crash_tracker = CrashTracker()
        self.unconfirmed_starts = UnconfirmedStarts()
        self.misdirected_leases = MisdirectedLeases()
        self.workspaces = WorkspaceLimiter()
        self.cold_start_limit = NO_LIMIT
        self.are_capacities_known = True
        self.recording_times = AnswerTimes()
        self.gang_timeout_s = DEFAULT_GANG_TIMEOUT_S
        self.unix_offset_s = 0.0
        self.evacuated = EvacuatedHalls()
        self.outlook: Outlook | None = None

    def add_job(
        self,
        spec: JobSpec,
        policy: QueuePolicy,
        offset: int,
        now_s: float,
        progress: JobProgress | None = None,
        policy_source: PolicySource = PolicySource.CONFIGURATION,
    ) -> Job:
        """Add a job and return it, with the progress that an earlier owner recorded.

        Whether its recorded runs are present, or will ever arrive, is known only when their hosts
        have reported under this owner's fencing token, which shuts out older orders.
        """
        job = Job(spec, policy, offset, policy_source)
        self.jobs[job.id] = job
        if progress is not None:
            restore_progress(job, progress)
            restore_parts(job, progress)
            for task in list(job.tasks.values()):
                if task.crashes and not job.status.is_final:
                    self.record_crashes(job, task, task.crashes)
        for task in job.iter_running():
            for run in task.runs:
                run.phase = RunPhase.SENDING
                # It may have begun long ago, so its end gives no run time.
                run.is_resumed = run.is_inherited = True
                run.settled_at_s = now_s
                run.lease_over_at_s = self._get_inherited_over_at_s(run)
                self._get_host(run.host_id).add_run(run, task.step.resources)
                self.workspaces.record_start(spec.workspace, task.step.charged_resources)
        self.crash_tracker.resume_trials(job)
        self._queue_open_steps(job)
        return job

    def open_due_jobs(self, now_ms: int) -> None:
        """Open the due occurrences of all jobs as far as ``OpenLimit`` allows."""
        due = [
            job for job in self.jobs.values() if not job.status.is_final and job.is_next_due(now_ms)
        ]
        limit = self._make_open_limit() if due else None
        for job in due:
            self.queue_due_tasks(job, now_ms, limit)

    def queue_due_tasks(self, job: Job, now_ms: int, limit: OpenLimit | None = None) -> None:
        """Open the due occurrences of a job as far as the limit allows; queue their tasks."""
        while job.is_next_due(now_ms):
            if job.spec.is_timed or is_large(job):
                limit = limit or self._make_open_limit()
                if not limit.allows(job):
                    return
                limit.record_opened(job)
            occurrence = job.next_occurrence
            job.open(occurrence)
            self._queue_steps(job, occurrence, range(len(job.spec.steps)))

    def _make_open_limit(self) -> OpenLimit:
        return make_open_limit(self.jobs.values(), self.waiting)

    def set_policy(self, job: Job, resolved: ResolvedPolicy) -> None:
        """Apply a policy to an open job; tasks that waited for it, or have used it up, follow."""
        job.policy, job.policy_source = resolved.policy, resolved.source
        if job.last_policy != resolved.to_store:
            job.last_policy = resolved.to_store
            self._mark_unrecorded(job)
        self._queue_open_steps(job)

    def hold_back(self, job: Job) -> None:
        """Withdraw a job's runs that are not recorded, and start none until ``release``."""
        job.is_held_back = True
        for task in list(job.iter_running()):
            for run in list(task.runs):
                if run.phase is RunPhase.RECORDING and self._remove_run(task, run):
                    # Nothing of the run left this process, so its number can be used again.
                    task.last_run -= 1
        for key in [key for key in self.waiting if key.job_id == job.id]:
            del self.waiting[key]

    def release(self, job: Job) -> None:
        """Let a job start tasks again."""
        job.is_held_back = False
        self._queue_open_steps(job)

    def fail_exhausted(self, now_ms: int) -> None:
        """Fail the jobs of which a task has used up its attempts."""
        exhausted, self.exhausted = self.exhausted, {}
        for job in exhausted.values():
            self.fail(job, now_ms)

    def add_host(self, record: UpstreamHost) -> Host:
        """Add a host, or update its record; return the host."""
        host = self._get_host(record.incarnation_id)
        host.record = record
        return host

    def place(
        self, task: Task, host: Host, number: int | None = None, now_s: float | None = None
    ) -> Run:
        """Place a waiting task on a host; its start may be sent once the run is recorded."""
        self.waiting.pop(task.key, None)
        run = task.add_run(host.id, number)
        run.placed_at_s = now_s
        run.is_regular = now_s is not None and host.lease.is_regular(now_s)
        run.placed_at_unix_ms = 0 if now_s is None else int((now_s + self.unix_offset_s) * 1000)
        host.add_run(run, task.resources)
        job = self.jobs[task.key.job_id]
        self.workspaces.record_start(job.spec.workspace, task.step.charged_resources)
        self._mark_unrecorded(job, task)
        return run

    def request_copy(self, task: Task) -> None:
        """Queue a task with a single run for a copy on another host, if its step allows copies.

        A job that has ended gets none: its runs exist only until they have stopped.
        """
        job = self.jobs[task.key.job_id]
        is_task_open = not job.status.is_final and not task.is_done
        is_sound = not self.crash_tracker.is_suspect(task)
        if is_task_open and is_sound and task.step.allows_copies and len(task.runs) == 1:
            self.waiting[task.key] = task

    def has_silent_runs(self) -> bool:
        """Return whether there are runs on hosts that do not respond."""
        return any(
            host.runs and host.contact is not HostContact.ANSWERING for host in self.hosts.values()
        )

    def drain_unrecorded(self) -> list[Job]:
        """Return the jobs whose progress must be recorded and clear the list."""
        jobs, self.unrecorded = list(self.unrecorded.values()), {}
        return jobs

    def confirm_start(self, run: Run, now_s: float) -> None:
        """Mark a run as present after its host accepted or reported it."""
        if run.is_regular or not run.is_inherited:
            run.lease_over_at_s = 0.0
        if run.phase is RunPhase.SENDING:
            run.phase = RunPhase.PRESENT
            self.hosts[run.host_id].unanswered.pop(run.key, None)
            run.settled_at_s = min(run.settled_at_s, now_s)
        if run.present_since_s is None:
            run.present_since_s = run.progress_at_s = now_s
            if not run.is_inherited:
                self.evacuated.record_start(self.hosts[run.host_id], now_s)
        self.jobs[run.task.job_id].has_begun = True

    def end_run(
        self, run: Run, end: RunEnd, checkpoint: str, now_ms: int, now_s: float | None = None
    ) -> None:
        """End a run and update its task and job: done, queued again or failed."""
        job = self.jobs[run.task.job_id]
        task = job.get_task(run.task)
        if not self._remove_run(task, run):
            return
        if run.is_lasting:
            task.record_last_run_time(run, self.hosts[run.host_id].reported_at_s)
        if checkpoint:
            task.checkpoint, task.checkpoint_percent = checkpoint, run.progress_percent
        # The first member of a gang counts its failures.
        self._mark_unrecorded(job, task, job.get_members(task)[0])
        is_done = end is RunEnd.DONE and not task.step.is_lasting
        if is_done:
            self._record_run_time(job, task, run, now_s)
            self._complete(job, task, now_ms)
        elif end is RunEnd.FAILED and not task.step.is_lasting:
            job.count_failure(task, run)
            if job.policy_source.is_known and not job.has_attempts_left(task):
                self.fail(job, now_ms)
            else:
                self._requeue(job, task)
        else:
            self._requeue(job, task)
        if task.step.is_gang and not is_done:
            self._stop_members(job, task)

    def record_late_completion(
        self, key: TaskKey, number: int, checkpoint: str, now_ms: int
    ) -> bool:
        """Record that a run counted as lapsed was done; return whether that changes its task.

        The task does not run again, and runs started in its place are stopped.
        """
        job = self.jobs.get(key.job_id)
        if job is None or job.status.is_final or not job.has_task(key):
            return False
        task = job.get_task(key)
        is_open = not (task.is_done or task.step.is_lasting or task.step.is_gang)
        if not is_open or not 0 < number <= task.last_run:
            return False
        task.checkpoint = checkpoint or task.checkpoint
        self._mark_unrecorded(job, task)
        self._complete(job, task, now_ms)
        return True

    def forget_run(self, run: Run) -> None:
        """Remove a run that never began and never will, and queue its task again."""
        job = self.jobs[run.task.job_id]
        task = job.get_task(run.task)
        if self._remove_run(task, run):
            self._mark_unrecorded(job, task)
            self._requeue(job, task)
            if task.step.is_gang:
                self._stop_members(job, task)

    def remove_host(
        self,
        host_id: str,
        now_ms: int,
        moved_runs: Sequence[Run] = (),
        successor: Host | None = None,
    ) -> None:
        """Remove a host that has certainly ended and end its runs.

        The ``moved_runs`` continue on its ``successor``, if there is one.
        """
        host = self.hosts.get(host_id)
        if host is None:
            return
        if successor is not None:
            for run in moved_runs:
                self._move_run(run, host, successor)
        self.end_lapsed_runs(list(host.runs.values()), now_ms)
        self.crash_tracker.pop_lapsed(host_id)
        del self.hosts[host_id]

    def end_lapsed_runs(self, runs: Iterable[Run], now_ms: int) -> None:
        """End runs as lapsed."""
        for run in runs:
            self.end_run(run, RunEnd.LAPSED, "", now_ms)

    def record_crashes(self, job: Job, task: Task, crashes: Sequence[Crash]) -> None:
        """Set the host crashes that count against a task, or against the gang it is first in."""
        self.crash_tracker.set_crashes(task, crashes)
        job.confirmed_crash_tasks.discard(task.key)
        if any(crash.is_confirmed for crash in crashes):
            job.confirmed_crash_tasks.add(task.key)
        self._mark_unrecorded(job, task)

    def is_withheld(self, task: Task) -> bool:
        """Return whether regular placement skips a task.

        It does if the task is suspect or its job has confirmed crash tasks.
        """
        if not self.crash_tracker.suspects:
            return False
        return bool(
            self.jobs[task.key.job_id].confirmed_crash_tasks
        ) or self.crash_tracker.is_suspect(task)

    def get_crash_task(self, run: Run) -> Task:
        """Return the task that holds the crashes of a run's task."""
        job = self.jobs[run.task.job_id]
        return job.get_crash_task(job.get_task(run.task))

    def fail(self, job: Job, now_ms: int) -> None:
        """Fail a job unless it has ended."""
        self._finish(job, JobStatus.FAILED, now_ms)

    def cancel(self, job: Job, now_ms: int) -> None:
        """Cancel a job unless it has ended."""
        self._finish(job, JobStatus.CANCELLED, now_ms)

    def stop(self, run: Run) -> None:
        """Queue the stop of a run, or remove the run if its start was not sent."""
        if run.is_unsent:
            self.forget_run(run)
        elif run.phase in (RunPhase.SENDING, RunPhase.PRESENT):
            # While it stops, the host may list it neither as running nor as ended; the end is
            # listed later.  The same holds for a start that is being sent: the host may have
            # accepted it from an earlier owner.
            run.settled_at_s = math.inf
            run.phase = RunPhase.STOPPING
            self.hosts[run.host_id].unanswered.pop(run.key, None)
            self.to_stop.append(run)

    def record_irregular(self, runs: Iterable[Run]) -> None:
        """Have the next owner expect leases by another clock of these runs."""
        for run in runs:
            if run.is_regular:
                run.is_regular = False
                job = self.jobs[run.task.job_id]
                self._mark_unrecorded(job, job.get_task(run.task))

    def drop_job(self, job: Job) -> None:
        """Remove a job that ended long ago."""
        self.jobs.pop(job.id, None)

    def _remove_run(self, task: Task, run: Run) -> bool:
        """Remove a run from its task and host; return False if it was over already."""
        if run.phase is RunPhase.OVER:
            return False
        run.phase = RunPhase.OVER
        task.runs.remove(run)
        self.hosts[run.host_id].remove_run(run, task.step.resources)
        self.workspaces.record_end(
            self.jobs[run.task.job_id].spec.workspace, task.step.charged_resources
        )
        if self.crash_tracker.trials.is_trial_run(task.crash_task_key, run.number):
            self.crash_tracker.trials.drop(task.crash_task_key)
        return True

    def _move_run(self, run: Run, host: Host, successor: Host) -> None:
        if run.phase is RunPhase.OVER:
            return
        job = self.jobs[run.task.job_id]
        task = job.get_task(run.task)
        resources = task.step.resources
        host.remove_run(run, resources)
        run.host_id = successor.id
        run.is_regular = False
        run.present_since_s = None
        successor.add_run(run, resources)
        self._mark_unrecorded(job, task)

    def _get_inherited_over_at_s(self, run: Run) -> float:
        """Return when the longest lease is over that a run of an earlier owner may have."""
        placed_at_s = None
        if run.placed_at_unix_ms:
            placed_at_s = run.placed_at_unix_ms / 1000 - self.unix_offset_s
        return self.foreign_leases.get_run_over_at_s(run.host_id, placed_at_s)

    def _get_host(self, host_id: str) -> Host:
        host = self.hosts.get(host_id)
        if host is None:
            record = make_unknown_host(host_id)
            lease = HostLease(
                self.foreign_leases,
                host_id,
                partial(self.misdirected_leases.get_answered_over_at_s, record.id),
                partial(self.misdirected_leases.get_over_at_s, record.id),
            )
            host = self.hosts[host_id] = Host(record, lease)
        return host

    def _mark_unrecorded(self, job: Job, *tasks: Task) -> None:
        self.unrecorded[job.id] = job
        job.changed.update((task.key, task) for task in tasks)

    def _queue_steps(self, job: Job, occurrence: int, steps: Iterable[int]) -> None:
        if job.status.is_final:
            return
        for step in steps:
            if job.is_step_open(occurrence, step):
                for task in job.get_tasks(occurrence, step):
                    self._requeue(job, task)

    def _queue_open_steps(self, job: Job) -> None:
        for occurrence in list(job.iter_open_occurrences()):
            self._queue_steps(job, occurrence, range(len(job.spec.steps)))

    def _requeue(self, job: Job, task: Task) -> None:
        """Queue a task that has no run, unless its job's policy forbids or awaits that."""
        if job.status.is_final or task.is_done or task.runs:
            return
        if job.is_held_back or job.policy_source is PolicySource.UNREAD:
            return
        if job.has_attempts_left(task):
            self.waiting[task.key] = task
        elif job.policy_source.is_known:
            self.exhausted[job.id] = job

    def _stop_members(self, job: Job, task: Task) -> None:
        """Stop the remaining members of a gang; all members start again together."""
        for member in job.get_members(task):
            for run in list(member.runs):
                self.stop(run)

    def _complete(self, job: Job, task: Task, now_ms: int) -> None:
        """Mark a task or its whole gang as done, stop its copies and queue dependent steps."""
        for done in job.get_members(task):
            job.set_done(done)
            self.waiting.pop(done.key, None)
            self.record_crashes(job, done, ())
        if not task.step.is_gang:
            for copy in list(task.runs):
                self.stop(copy)
        occurrence, step = task.key.occurrence, task.key.step
        if job.count_open(occurrence, step):
            return
        dependents = (
            number for number, spec in enumerate(job.spec.steps) if step in spec.after_steps
        )
        self._queue_steps(job, occurrence, dependents)
        if job.is_all_done():
            self._finish(job, JobStatus.SUCCEEDED, now_ms)

    def _record_run_time(self, job: Job, task: Task, run: Run, now_s: float | None) -> None:
        """Add the run time of a run that was not resumed to the estimates.

        A run that a cold host has slowed down says nothing of how long the task usually takes.
        """
        if now_s is None or run.present_since_s is None or run.is_resumed:
            return
        if not self.hosts[run.host_id].cold.was_cold_since(run.present_since_s):
            task.took_s = now_s - run.present_since_s
            self.run_times.add(job.spec.queue, task.step, task.took_s)

    def _finish(self, job: Job, status: JobStatus, now_ms: int) -> None:
        if job.status.is_final:
            return
        job.status = status
        job.ended_at_ms = now_ms
        self._mark_unrecorded(job)
        self.tickets.drop_job(job.id)
        for task in job.tasks.values():
            self.waiting.pop(task.key, None)
            self.crash_tracker.forget(task)
            for run in list(task.runs):
                self.stop(run)
