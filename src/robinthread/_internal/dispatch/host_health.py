"""Outcomes of a host, and whether it gets work."""

from robinthread._internal.dispatch.slot_outcome import BAD_OUTCOMES, SlotOutcome
from robinthread._internal.settings.dispatch_settings import DispatchSettings


class HostHealth:
    """Keep away from a host that fails whatever it starts.

    A failing host looks fast and idle, so routing by load would feed it.
    Only distinct jobs count, and a job that fails everywhere is taken off the
    count, so a bad job does not suspend good hosts.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._failed_jobs: set[bytes] = set()
        self._suspensions = 0
        self.suspended_until_s = -1e9

    @property
    def has_failed(self) -> bool:
        """Tell whether the host has failed since its last success."""
        return bool(self._failed_jobs)

    @property
    def suspensions(self) -> int:
        """Return how often the host was suspended since its last success."""
        return self._suspensions

    @property
    def is_on_probation(self) -> bool:
        """Tell whether the host was suspended and has not succeeded since."""
        return self._suspensions > 0

    def is_suspended(self, now_s: float) -> bool:
        """Tell whether the host gets no work now."""
        return now_s < self.suspended_until_s

    def record_outcome(self, outcome: SlotOutcome, job: bytes, now_s: float) -> bool:
        """Note an outcome; return whether the host was suspended by it."""
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
        """Take a job that fails everywhere off the count."""
        self._failed_jobs.discard(job)
        if len(self._failed_jobs) < self._settings.suspend_after_failures:
            self.suspended_until_s = -1e9
            self._suspensions = 0
