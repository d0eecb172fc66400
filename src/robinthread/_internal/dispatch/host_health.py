"""Failed tasks of a host, and its suspension from new work."""

from robinthread._internal.dispatch.slot_outcome import BAD_OUTCOMES, SlotOutcome
from robinthread._internal.settings.dispatch_settings import DispatchSettings


class HostHealth:
    """Suspend a host that fails every job it starts.

    A failing host looks fast and idle, so routing by load would send it more work.
    Only distinct jobs count, and a job that fails on several hosts is removed from
    the count, so a faulty job does not suspend healthy hosts.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._failed_jobs: set[bytes] = set()
        self._suspensions = 0
        self.suspended_until_s = -1e9

    @property
    def has_failed(self) -> bool:
        """Return whether failures have been counted since the host's last success."""
        return bool(self._failed_jobs)

    @property
    def suspensions(self) -> int:
        """Return how many times the host was suspended since its last success."""
        return self._suspensions

    @property
    def is_on_probation(self) -> bool:
        """Return whether the host was suspended and has had no success since."""
        return self._suspensions > 0

    def is_suspended(self, now_s: float) -> bool:
        """Return whether the host is suspended from new work now."""
        return now_s < self.suspended_until_s

    def record_outcome(self, outcome: SlotOutcome, job: bytes, now_s: float) -> bool:
        """Record an outcome; return whether it suspended the host."""
        if outcome is SlotOutcome.RAN:
            self._failed_jobs.clear()
            self._suspensions = 0
            return False
        if outcome not in BAD_OUTCOMES:
            return False
        self._failed_jobs.add(job)
        is_probe = self._suspensions > 0
        if not is_probe and len(self._failed_jobs) < self._settings.suspend_after_failures:
            return False
        pause_s = self._settings.suspend_min_s * 2**self._suspensions
        self.suspended_until_s = now_s + min(self._settings.suspend_max_s, pause_s)
        self._suspensions += 1
        return True

    def discard_failed_job(self, job: bytes) -> None:
        """Remove a job that fails on several hosts from the count.

        This ends the suspension if too few failed jobs are left to justify it.
        """
        self._failed_jobs.discard(job)
        if len(self._failed_jobs) < self._settings.suspend_after_failures:
            self.suspended_until_s = -1e9
            self._suspensions = 0
