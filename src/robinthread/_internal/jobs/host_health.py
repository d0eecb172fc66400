"""Whether a host does its work, judged by how its runs end."""

from typing import Final

# So many runs in a row must fail, of at least two jobs, before the host is blamed:
# one job that can never be done fails everywhere.
FAILURES_MIN: Final = 3
JOBS_MIN: Final = 2
# Pause of a host that fails all it starts; doubled with each further failure.
PAUSE_MIN_S: Final = 1.0
PAUSE_MAX_S: Final = 8.0


class HostHealth:
    """Recent ends on one host, and until when it gets no new work.

    Times are of the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self.paused_until_s = 0.0
        self._failed_jobs: list[str] = []
        self._pause_s = PAUSE_MIN_S

    def record_success(self) -> None:
        """Note a run that was done."""
        self._failed_jobs.clear()
        self._pause_s = PAUSE_MIN_S

    def record_failure(self, job_id: str, now_s: float) -> bool:
        """Note a run that failed; return whether the host is paused now."""
        self._failed_jobs.append(job_id)
        if len(self._failed_jobs) < FAILURES_MIN or len(set(self._failed_jobs)) < JOBS_MIN:
            return False
        self.pause(self._pause_s, now_s)
        self._pause_s = min(2 * self._pause_s, PAUSE_MAX_S)
        return True

    def pause(self, pause_s: float, now_s: float) -> None:
        """Give the host no new work for a while."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)
