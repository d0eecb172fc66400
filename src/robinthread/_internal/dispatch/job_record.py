"""Jobs that fail on host after host."""

from collections import OrderedDict
from typing import Final

from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.settings.dispatch_settings import DispatchSettings

JOBS_MAX: Final = 4096


class JobRecord:
    """Tell a job that can never run from a host that fails everything."""

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._failed_on: OrderedDict[bytes, set[str]] = OrderedDict()
        self._set_aside_until_s: OrderedDict[bytes, float] = OrderedDict()

    def is_set_aside(self, job: bytes, now_s: float) -> bool:
        """Tell whether the job is refused now."""
        return now_s < self._set_aside_until_s.get(job, -1e9)

    def note(self, outcome: SlotOutcome, job: bytes, host: str, now_s: float) -> bool:
        """Note an outcome; return whether the job was set aside by it."""
        if outcome is SlotOutcome.RAN:
            self._failed_on.pop(job, None)
            return False
        if outcome is not SlotOutcome.RAN_FAILED:
            return False
        hosts = self._failed_on.setdefault(job, set())
        hosts.add(host)
        if len(self._failed_on) > JOBS_MAX:
            self._failed_on.popitem(last=False)
        if len(hosts) < self._settings.set_aside_after_hosts:
            return False
        self._set_aside_until_s[job] = now_s + self._settings.set_aside_s
        if len(self._set_aside_until_s) > JOBS_MAX:
            self._set_aside_until_s.popitem(last=False)
        return True
