"""Statistics of a pool's submitted jobs: their arrival rate, mean work and mean slack."""

import math
from collections import deque
from typing import Final

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.job_timing import (
    estimate_work,
    get_allowed_duration_s,
    get_critical_path_s,
)
from robinthread._internal.jobs.resource_vector import ZERO_VECTOR, ResourceVector
from robinthread._internal.jobs.run_times import RunTimes
from robinthread._internal.models.open_work import ExpectedWork

# The arrival rate is measured over the last two windows of this length.  More arrivals in the
# later window than in the earlier one indicate a rising rate.
RATE_WINDOW_S: Final = 0.9
# The rate counts as rising if the difference between the two windows is at least this many
# times the square root of the number of arrivals, its standard deviation at a constant rate.
RISE_DEVIATIONS_MIN: Final = 1.2
# Weight of a new job in the moving averages of work and critical path per job: they reflect
# about the last ten jobs.
MEAN_JOB_WEIGHT: Final = 0.1


class JobArrivals:
    """Arrival times of jobs and moving averages of their size.

    A rising rate of arrivals is extrapolated by ``rise_ahead_s``.  ``mean_critical_path_s`` is 0
    before the first job.
    """

    def __init__(self, rise_ahead_s: float) -> None:
        self.mean_critical_path_s = 0.0
        self._rise_ahead_s = rise_ahead_s
        self._arrivals_s: deque[float] = deque()
        self._mean_work: ResourceVector | None = None
        self._mean_slack_s = 0.0

    def record_job(self, job: Job, times: RunTimes, now_s: float) -> None:
        """Add a submitted job to the arrival statistics; lasting and timed jobs don't count."""
        if job.spec.is_lasting or job.spec.is_timed:
            return
        work, critical_path_s = estimate_work(job, times), get_critical_path_s(job, times)
        slack_s = get_allowed_duration_s(job, times) - critical_path_s
        if self._mean_work is None:
            self._mean_work, self.mean_critical_path_s = work, critical_path_s
            self._mean_slack_s = slack_s
        self._mean_work = self._mean_work.scale(1 - MEAN_JOB_WEIGHT) + work.scale(MEAN_JOB_WEIGHT)
        self.mean_critical_path_s += MEAN_JOB_WEIGHT * (critical_path_s - self.mean_critical_path_s)
        self._mean_slack_s += MEAN_JOB_WEIGHT * (slack_s - self._mean_slack_s)
        self._arrivals_s.append(now_s)

    def get_resources(self, now_s: float) -> ResourceVector:
        """Return the resources that jobs of average size need at the current arrival rate.

        A single large job does not predict the next one: its own tasks are counted in the pool.
        """
        while self._arrivals_s and now_s - self._arrivals_s[0] > 2 * RATE_WINDOW_S:
            self._arrivals_s.popleft()
        if self._mean_work is None:
            return ZERO_VECTOR
        return self._mean_work.scale(self._get_arrival_rate(now_s))

    def get_expected_work(self, now_s: float) -> ExpectedWork | None:
        """Return the work that arrives if the last window's rate goes on, None without arrivals."""
        recent_count = sum(now_s - at_s <= RATE_WINDOW_S for at_s in self._arrivals_s)
        if self._mean_work is None or not recent_count:
            return None
        rate = self._mean_work.scale(recent_count / RATE_WINDOW_S)
        return ExpectedWork(
            work_per_s=(rate.cpu, rate.memory, rate.gpu),
            start_in_ms=round(1000 * self._mean_slack_s),
            task_ms=round(1000 * self.mean_critical_path_s),
        )

    def _get_arrival_rate(self, now_s: float) -> float:
        """Return the arrival rate in jobs per second.

        It is the mean over both windows.  If the rate has risen, it is that of the later window,
        extrapolated by ``rise_ahead_s``.
        """
        total = len(self._arrivals_s)
        recent = sum(now_s - at_s <= RATE_WINDOW_S for at_s in self._arrivals_s)
        rise = 2 * recent - total
        if recent < 2 or rise < RISE_DEVIATIONS_MIN * math.sqrt(total):
            return total / (2 * RATE_WINDOW_S)
        ahead_windows = self._rise_ahead_s / RATE_WINDOW_S
        return (recent + rise * ahead_windows) / RATE_WINDOW_S
