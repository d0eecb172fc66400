"""Processing of hosts' reports on their runs."""

from collections.abc import Sequence
from typing import Any

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.host_report import EndedRun, HostReport, RunEnd, RunningTask
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s


class HostReportHandler:
    """Processes the reports of one pool's hosts."""

    def __init__(self, runtime: PoolRuntime, orders: OrderSender) -> None:
        self._runtime = runtime
        self._events = runtime.events
        self._orders = orders

    def process(self, host: Host, report: HostReport, polled_at_s: float) -> int:
        """Process a report; return the number of its newest unprocessed end, 0 if there is none."""
        new_ends = [end for end in report.ended if end.number > host.processed_end]
        for end in report.ended:
            if end.number <= host.forgotten_end:
                self._log_ignored_end(host, end, "its number was already acknowledged")
        for end in new_ends:
            self._process_end(host, end)
        self._process_running(host, report, polled_at_s)
        return max((end.number for end in new_ends), default=0)

    def _process_end(self, host: Host, end: EndedRun) -> None:
        run = host.runs.get((end.task, end.run))
        now_ms = self._runtime.context.get_wall_ms()
        if run is None:
            self._process_unknown_end(host, end, now_ms)
            return
        self._log_end("run_failed" if end.end is RunEnd.FAILED else "run_ended", host, end)
        if end.end is RunEnd.DONE:
            host.health.record_success()
        elif end.end is RunEnd.FAILED and host.health.record_failure(end.task.job_id, get_loop_s()):
            self._events.write("host_paused", host=host.id, pool=self._runtime.pool)
        self._runtime.jobs.end_run(run, end.end, end.checkpoint, now_ms, get_loop_s())

    def _process_unknown_end(self, host: Host, end: EndedRun, now_ms: int) -> None:
        """Accept the end of a run that had counted as lapsed, if the run completed its task.

        The host had not responded for longer than its lease, because it was cut off or because
        this owner was late.  An end that is not accepted is lost once it is acknowledged.
        """
        is_done = end.end is RunEnd.DONE
        jobs = self._runtime.jobs
        if is_done and jobs.record_late_completion(end.task, end.run, end.checkpoint, now_ms):
            self._log_end("late_end_taken", host, end)
        else:
            self._log_ignored_end(host, end, "the run is unknown here")

    def _log_ignored_end(self, host: Host, end: EndedRun, reason: str) -> None:
        self._log_end("end_not_taken", host, end, number=end.number, reason=reason)

    def _log_end(self, event: str, host: Host, end: EndedRun, **fields: Any) -> None:
        self._events.write(
            event,
            job=end.task.job_id,
            task=end.task.position,
            run=end.run,
            host=host.id,
            outcome=end.end.value,
            **fields,
        )

    def _process_running(self, host: Host, report: HostReport, polled_at_s: float) -> None:
        now_s = get_loop_s()
        present = set()
        for running in report.running:
            key = (running.task, running.run)
            present.add(key)
            run = host.runs.get(key)
            if run is None:
                self._stop_unknown(host, running)
                continue
            run.awaits_end = False
            run.checkpoint = running.checkpoint
            run.recent_load = running.recent_load
            run.record_progress(running.progress_percent, now_s)
            self._runtime.jobs.confirm_start(run, now_s)
        missing = [run for key, run in host.runs.items() if key not in present]
        if not report.lists_all_ends:
            self._await_ends(host, report, missing)
            return
        for run in missing:
            if polled_at_s > run.settled_at_s:
                self._forget_run(run)

    def _await_ends(self, host: Host, report: HostReport, missing: Sequence[Run]) -> None:
        """Keep the runs in neither list of a report that leaves out ends.

        Any of them may have ended; the next reports tell, once the listed ends are acknowledged.
        """
        for run in missing:
            run.awaits_end = True
        self._events.gather(
            "host_ends_left_out",
            by={"pool": self._runtime.pool},
            listed={"hosts": host.id},
            listed_count=len(report.ended),
            missing_count=len(missing),
        )

    def _stop_unknown(self, host: Host, running: RunningTask) -> None:
        self._events.write(
            "unknown_run_stopped",
            job=running.task.job_id,
            task=running.task.position,
            run=running.run,
            host=host.id,
        )
        self._runtime.spawn(self._try_stop(host, running))

    async def _try_stop(self, host: Host, running: RunningTask) -> None:
        await self._orders.try_stop(host, running.task, running.run)

    def _forget_run(self, run: Run) -> None:
        self._events.write(
            "run_not_there",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            host=run.host_id,
            phase=run.phase.value,
            was_there=run.present_since_s is not None,
        )
        self._runtime.jobs.forget_run(run)
