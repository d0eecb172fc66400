"""Updates the outlook of a pool's jobs."""

import math
from typing import Final

from robinthread._internal.jobs.outlook import Outlook
from robinthread._internal.jobs.overload import assess_jobs
from robinthread._internal.node.pool_runtime import PoolRuntime

# Minimum interval between two assessments, which take longer than a pass of placing tasks.
ASSESS_PERIOD_S: Final = 0.1


class OutlookUpdater:
    """Assesses the jobs of a pool while tasks wait and the outlook affects their order."""

    def __init__(self, runtime: PoolRuntime) -> None:
        self._runtime = runtime
        self._assessed_at_s = -math.inf

    def update(self, now_s: float) -> Outlook | None:
        """Return the current outlook; None if it does not affect the order of tasks."""
        context, jobs = self._runtime.context, self._runtime.jobs
        config = context.config_holder.config
        applies = config is not None and config.may_allot_by_work
        if not (applies and context.policy.placement.gives_up_early and jobs.waiting):
            return None
        if jobs.outlook is None or now_s - self._assessed_at_s >= ASSESS_PERIOD_S:
            self._assessed_at_s = now_s
            return assess_jobs(jobs, now_s, context.get_wall_ms())
        return jobs.outlook
