"""Periodic checks of a pool's jobs and runs."""

from typing import Any

from robinthread._internal.jobs.evacuation import evacuate
from robinthread._internal.jobs.pacing import choose_paces
from robinthread._internal.jobs.run import Run
from robinthread._internal.jobs.stalls import stop_stalled
from robinthread._internal.jobs.stragglers import move_stragglers
from robinthread._internal.node.cold_starts import apply_start_limit
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.pool_runtime import PoolRuntime
from robinthread._internal.node.wait_reporter import WaitReporter


class RunMonitor:
    """Starts due occurrences and stops, moves, copies or paces runs, and logs each action."""

    def __init__(self, runtime: PoolRuntime, orders: OrderSender) -> None:
        self._runtime = runtime
        self._pool = runtime.jobs
        self._orders = orders
        self._wait_reporter = WaitReporter(runtime)

    def check(self, now_s: float) -> None:
        """Open due occurrences of jobs; stop, move, copy and pace runs that need it."""
        apply_start_limit(self._runtime, now_s)
        self._wait_reporter.report(now_s)
        self._pool.open_due_jobs(self._runtime.context.get_wall_ms())
        self._stop_stalled(now_s)
        self._move_stragglers(now_s)
        self._pace(now_s)
        self._evacuate(now_s)

    def _stop_stalled(self, now_s: float) -> None:
        for run in stop_stalled(self._pool, now_s):
            self._log_run(
                "run_stalled",
                run,
                progress_percent=run.progress_percent,
                still_for_s=round(now_s - run.progress_at_s, 3),
            )

    def _move_stragglers(self, now_s: float) -> None:
        for straggler in move_stragglers(self._pool, now_s):
            run = straggler.run
            self._log_run(
                "run_lags",
                run,
                progress_percent=run.progress_percent,
                present_for_s=round(now_s - (run.present_since_s or now_s), 3),
                usual_s=round(straggler.usual_s, 3),
            )

    def _pace(self, now_s: float) -> None:
        for change in choose_paces(self._pool, now_s):
            change.run.paced_at_s = now_s
            self._runtime.spawn(self._orders.send_pace(change))

    def _evacuate(self, now_s: float) -> None:
        for run in evacuate(self._pool, now_s, self._runtime.context.get_wall_ms()):
            self._log_run("run_moved", run)

    def _log_run(self, event: str, run: Run, **fields: Any) -> None:
        self._runtime.events.write(
            event,
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            host=run.host_id,
            **fields,
        )
