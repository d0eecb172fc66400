"""Health of a host, derived from the results of its starts and runs."""

from typing import Final

from robinthread._internal.jobs.rejection_backoff import RejectionBackoff

# A host is paused after this many consecutive failed runs of at least ``JOBS_MIN`` jobs: a
# single job that can't succeed fails on every host.  The same holds for starts that a host rejects.
FAILURES_MIN: Final = 3
JOBS_MIN: Final = 2
# First pause of a host on which all runs fail; each further failure doubles it.
PAUSE_MIN_S: Final = 1.0
PAUSE_MAX_S: Final = 8.0
# Limit of the doubling pause of a host that rejects starts.
REJECTION_PAUSE_MAX_S: Final = 5.0


class HostHealth:
    """Recent failures on one host, and until when it gets no new work.

    Times are of the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self.paused_until_s = 0.0
        self._failed_jobs: list[str] = []
        self._pause_s = PAUSE_MIN_S
        self._rejected_jobs: set[str] = set()
        self._rejections = RejectionBackoff(REJECTION_PAUSE_MAX_S)

    def record_success(self) -> None:
        """Record a successful run."""
        self._failed_jobs.clear()
        self._pause_s = PAUSE_MIN_S

    def record_failure(self, job_id: str, now_s: float) -> bool:
        """Record a failed run; return whether the host is paused now."""
        self._failed_jobs.append(job_id)
        if len(self._failed_jobs) < FAILURES_MIN or len(set(self._failed_jobs)) < JOBS_MIN:
            return False
        self.pause(self._pause_s, now_s)
        self._pause_s = min(2 * self._pause_s, PAUSE_MAX_S)
        return True

    def record_start(self) -> None:
        """Record a start that the host confirmed."""
        self._rejected_jobs.clear()
        self._rejections.record_start()

    def record_rejection(self, job_id: str, is_of_host: bool, now_s: float) -> None:
        """Record a rejected start; pause the host if that can't be the job's fault.

        ``is_of_host`` tells that it certainly is the host's.  Else the host must have rejected
        ``JOBS_MIN`` jobs since its last confirmed start.
        """
        if len(self._rejected_jobs) < JOBS_MIN:
            self._rejected_jobs.add(job_id)
        if is_of_host or len(self._rejected_jobs) >= JOBS_MIN:
            self._rejections.record_rejection(now_s)
            self.paused_until_s = max(self.paused_until_s, self._rejections.paused_until_s)

    def pause(self, pause_s: float, now_s: float) -> None:
        """Give the host no new work for at least ``pause_s``."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)
