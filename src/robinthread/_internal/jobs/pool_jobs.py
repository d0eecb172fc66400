"""The jobs of one pool and what happens to them."""

import math
from collections.abc import Iterable, Sequence
from typing import Final

from robinthread._internal.jobs.crash_tracker import CrashTracker
from robinthread._internal.jobs.crashes import Crash
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_lease import ForeignLeases, HostLease
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.progress import JobProgress, restore_progress
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
from robinthread._internal.models.resources import NO_RESOURCES
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost, make_unknown_host
from robinthread._internal.settings.policy_settings import PlacementPolicy

DEFAULT_PLACEMENT: Final = PlacementPolicy()


class PoolJobs:
    """Jobs, hosts and the tasks that wait for a host.

    ``unrecorded`` are the jobs whose progress the store does not hold yet, and
    ``to_stop`` the runs that must be told to stop.  ``reserved_host_ids`` are those that get no
    other work until a waiting task fits there.  Times in seconds are of the
    event loop's clock.  ``foreign_leases`` are those that earlier owners granted.  While
    ``are_capacities_known`` is False no host gets any work.
    """

    def __init__(self, policy: PlacementPolicy = DEFAULT_PLACEMENT) -> None:
        self.policy = policy
        self.foreign_leases = ForeignLeases()
        self.jobs: dict[str, Job] = {}
        self.hosts: dict[str, Host] = {}
        self.waiting: dict[TaskKey, Task] = {}
        self.unrecorded: dict[str, Job] = {}
        self.to_stop: list[Run] = []
        self.reserved_host_ids: dict[TaskKey, str] = {}
        self.run_times = RunTimes()
        self.tickets = TicketCache()
        self.crash_tracker = CrashTracker()
        self.unconfirmed_starts = UnconfirmedStarts()
        self.workspaces = WorkspaceLimiter()
        self.are_capacities_known = True

    def add_job(
        self,
        spec: JobSpec,
        policy: QueuePolicy,
        offset: int,
        now_s: float,
        progress: JobProgress | None = None,
    ) -> Job:
        """Take a job in, with the progress that an earlier owner recorded.

        Its runs may be present, or never arrive: their hosts have yet to tell,
        under a token that older orders do not get past.
        """
        job = Job(spec, policy, offset)
        self.jobs[job.id] = job
        if progress is not None:
            restore_progress(job, progress)
            for task in list(job.tasks.values()):
                if task.crashes and not job.status.is_final:
                    self.record_crashes(job, task, task.crashes)
        for task in job.iter_running():
            for run in task.runs:
                run.phase = RunPhase.SENDING
                # It may have begun long ago: its end says nothing of how long it took.
                run.is_resumed = run.is_inherited = True
                run.settled_at_s = now_s
                self._get_host(run.host_id).add_run(run, task.step.resources)
                self.workspaces.record_start(spec.workspace, task.step.charged_resources)
        self.crash_tracker.resume_trials(job)
        return job

    def queue_due_tasks(self, job: Job, now_ms: int) -> None:
        """Let the tasks wait for hosts whose time and turn have come."""
        while (
            job.next_occurrence < job.occurrence_count
            and job.get_due_ms(job.next_occurrence) <= now_ms
        ):
            self._open_steps(job, job.next_occurrence, range(len(job.spec.steps)))
            job.next_occurrence += 1

    def add_host(self, record: UpstreamHost) -> Host:
        """Take a host in, or what it newly says of itself."""
        host = self._get_host(record.incarnation_id)
        host.record = record
        return host

    def place(self, task: Task, host: Host, number: int | None = None) -> Run:
        """Give a waiting task a host; the run may be sent once it is recorded."""
        self.waiting.pop(task.key, None)
        run = task.add_run(host.id, number)
        host.add_run(run, task.resources)
        job = self.jobs[task.key.job_id]
        self.workspaces.record_start(job.spec.workspace, task.step.charged_resources)
        self._mark(job)
        return run

    def fits_workspace_limit(self, task: Task) -> bool:
        """Tell whether its workspace's share has room for a waiting task, and all its gang."""
        job = self.jobs[task.key.job_id]
        workspace, claim = job.spec.workspace, task.step.charged_resources
        if not workspace:
            return True
        if task.step.is_gang:
            claim = claim.scale(task.step.task_count)
        if self.workspaces.has_capacity(workspace, claim):
            return True
        self.workspaces.record_held_back(workspace, claim)
        return False

    def request_copy(self, task: Task) -> None:
        """Let a task that has one run, and may have more, wait for another host.

        A job that has ended wants none: its runs are there only until they have stopped.
        """
        job = self.jobs[task.key.job_id]
        is_wanted = not job.status.is_final and not task.is_done
        is_sound = not self.crash_tracker.is_suspect(task)
        if is_wanted and is_sound and task.step.allows_copies and len(task.runs) == 1:
            self.waiting[task.key] = task

    def may_restart(self, task: Task) -> bool:
        """Tell whether a task that runs could begin elsewhere once it has been stopped here.

        A workspace whose limit has fallen keeps what it runs, and begins nothing.
        """
        return self.workspaces.has_capacity(self.jobs[task.key.job_id].spec.workspace, NO_RESOURCES)

    def has_silent_runs(self) -> bool:
        """Tell whether there are runs on hosts that do not answer."""
        return any(
            host.runs and host.contact is not HostContact.ANSWERING for host in self.hosts.values()
        )

    def drain_unrecorded(self) -> list[Job]:
        """Return the jobs to record now."""
        jobs, self.unrecorded = list(self.unrecorded.values()), {}
        return jobs

    def confirm_start(self, run: Run, now_s: float) -> None:
        """Note that a host has taken a run, or lists it."""
        if run.phase is RunPhase.SENDING:
            run.phase = RunPhase.PRESENT
            run.settled_at_s = min(run.settled_at_s, now_s)
        if run.present_since_s is None:
            run.present_since_s = run.progress_at_s = now_s
        self.jobs[run.task.job_id].has_begun = True

    def end_run(
        self, run: Run, end: RunEnd, checkpoint: str, now_ms: int, now_s: float | None = None
    ) -> None:
        """Note that a run has ended, and what follows for its task and job."""
        job = self.jobs[run.task.job_id]
        task = job.get_task(run.task)
        if not self._take_run(task, run):
            return
        if run.is_lasting:
            task.record_last_run_time(run, self.hosts[run.host_id].reported_at_s)
        task.checkpoint = checkpoint or task.checkpoint
        self._mark(job)
        is_done = end is RunEnd.DONE and not task.step.is_lasting
        if is_done:
            self._learn(job, task, run, now_s)
            self._complete(job, task, now_ms)
        elif end is RunEnd.FAILED and not task.step.is_lasting:
            if job.count_failure(task, run) >= job.policy.attempts_max:
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
        """Note that a run was done that had counted as lapsed; return whether that was news.

        Its task need not run again, and what was started in its place is stopped.
        """
        job = self.jobs.get(key.job_id)
        if job is None or job.status.is_final or not job.has_task(key):
            return False
        task = job.get_task(key)
        is_open = not (task.is_done or task.step.is_lasting or task.step.is_gang)
        if not is_open or not 0 < number <= task.last_run:
            return False
        task.checkpoint = checkpoint or task.checkpoint
        self._mark(job)
        self._complete(job, task, now_ms)
        return True

    def forget_run(self, run: Run) -> None:
        """Take back a run that never began and never will."""
        job = self.jobs[run.task.job_id]
        task = job.get_task(run.task)
        if self._take_run(task, run):
            self._mark(job)
            self._requeue(job, task)
            if task.step.is_gang:
                self._stop_members(job, task)

    def remove_host(
        self, host_id: str, now_ms: int, carried: Sequence[Run] = (), successor: Host | None = None
    ) -> None:
        """Forget a host that has surely ended, with all that ran there.

        The ``carried`` runs are its ``successor``'s from now on.
        """
        host = self.hosts.get(host_id)
        if host is None:
            return
        if successor is not None:
            for run in carried:
                self._move_run(run, host, successor)
        self.end_host_runs(host, now_ms)
        self.crash_tracker.pop_lapsed(host_id)
        del self.hosts[host_id]

    def end_host_runs(self, host: Host, now_ms: int) -> None:
        """Note that nothing runs on a host any more."""
        for run in list(host.runs.values()):
            self.end_run(run, RunEnd.LAPSED, "", now_ms)

    def record_crashes(self, job: Job, task: Task, crashes: Sequence[Crash]) -> None:
        """Note which crashes of hosts count for a task, or for the gang that it is first of."""
        self.crash_tracker.set_crashes(task, crashes)
        job.culprits.discard(task.key)
        if any(crash.is_confirmed for crash in crashes):
            job.culprits.add(task.key)
        self._mark(job)

    def is_withheld(self, task: Task) -> bool:
        """Tell whether a task is not started among others: it is suspect, or its job's is."""
        if not self.crash_tracker.suspects:
            return False
        return bool(self.jobs[task.key.job_id].culprits) or self.crash_tracker.is_suspect(task)

    def get_crash_task(self, run: Run) -> Task:
        """Return the task whose crashes count for a run."""
        job = self.jobs[run.task.job_id]
        return job.get_crash_task(job.get_task(run.task))

    def fail(self, job: Job, now_ms: int) -> None:
        """End a job that can't be done."""
        self._finish(job, JobStatus.FAILED, now_ms)

    def cancel(self, job: Job, now_ms: int) -> None:
        """Cancel a job unless it has ended."""
        self._finish(job, JobStatus.CANCELLED, now_ms)

    def stop(self, run: Run) -> None:
        """Have a run told to stop."""
        if run.phase is RunPhase.RECORDING:
            self.forget_run(run)
        elif run.phase in (RunPhase.SENDING, RunPhase.PRESENT):
            # While it stops it may be in neither list of its host; its end will be.  That goes
            # too for a start under way, which the host may have taken from an earlier owner.
            run.settled_at_s = math.inf
            run.phase = RunPhase.STOPPING
            self.to_stop.append(run)

    def drop_job(self, job: Job) -> None:
        """Forget a job that ended long ago."""
        self.jobs.pop(job.id, None)

    def _take_run(self, task: Task, run: Run) -> bool:
        """Take a run off its task and host; return whether it was there."""
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
        room = job.get_task(run.task).step.resources
        host.remove_run(run, room)
        run.host_id = successor.id
        run.present_since_s = None
        successor.add_run(run, room)
        self._mark(job)

    def _get_host(self, host_id: str) -> Host:
        host = self.hosts.get(host_id)
        if host is None:
            lease = HostLease(self.foreign_leases)
            host = self.hosts[host_id] = Host(make_unknown_host(host_id), lease)
        return host

    def _mark(self, job: Job) -> None:
        self.unrecorded[job.id] = job

    def _open_steps(self, job: Job, occurrence: int, steps: Iterable[int]) -> None:
        if job.status.is_final:
            return
        for step in steps:
            if job.is_step_open(occurrence, step):
                for task in job.get_tasks(occurrence, step):
                    self._requeue(job, task)

    def _requeue(self, job: Job, task: Task) -> None:
        if not job.status.is_final and not task.is_done and not task.runs:
            self.waiting[task.key] = task

    def _stop_members(self, job: Job, task: Task) -> None:
        """Stop the members that are left of a gang; all begin anew together."""
        for member in job.get_members(task):
            for run in list(member.runs):
                self.stop(run)

    def _complete(self, job: Job, task: Task, now_ms: int) -> None:
        """Note that a task is done: its copies are not needed, and a gang is done whole."""
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
        self._open_steps(job, occurrence, dependents)
        if job.is_all_done():
            self._finish(job, JobStatus.SUCCEEDED, now_ms)

    def _learn(self, job: Job, task: Task, run: Run, now_s: float | None) -> None:
        """Learn how long a task takes from a run that began at its beginning."""
        if now_s is not None and run.present_since_s is not None and not run.is_resumed:
            task.took_s = now_s - run.present_since_s
            self.run_times.add(job.spec.queue, task.step, task.took_s)

    def _finish(self, job: Job, status: JobStatus, now_ms: int) -> None:
        if job.status.is_final:
            return
        job.status = status
        job.ended_at_ms = now_ms
        self._mark(job)
        self.tickets.drop_job(job.id)
        for task in job.tasks.values():
            self.waiting.pop(task.key, None)
            self.crash_tracker.forget(task)
            for run in list(task.runs):
                self.stop(run)
