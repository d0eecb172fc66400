"""A job host of a pool, as the pool's owner sees it."""

import enum
from typing import Final

from robinthread._internal.jobs.answer_times import AnswerTimes
from robinthread._internal.jobs.cold_state import ColdState
from robinthread._internal.jobs.host_errors import (
    HostError,
    HostNoAnswerError,
    HostRefusedError,
    HostSilentError,
)
from robinthread._internal.jobs.host_health import HostHealth
from robinthread._internal.jobs.host_lease import HostLease
from robinthread._internal.jobs.run import Run
from robinthread._internal.jobs.start_slots import StartSlots
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost

# Longest delay with which an owner learns that a host has begun to drain.  The host may end this
# much before ``Host.leaves_at_s``.
LEAVES_EARLY_S: Final = 0.5


class HostContact(enum.Enum):
    """Whether a host responds.

    NOT_CONTACTED: it has not yet responded under this owner's token, so orders of
    earlier owners may still be carried out.  ANSWERING: it responds.  SILENT: it
    responded earlier and no longer does.
    """

    NOT_CONTACTED = "unheard"
    ANSWERING = "answering"
    SILENT = "silent"


class Host:
    """One incarnation of a host: its runs, its lease and the state of its reports.

    Times are of the event loop's clock, in seconds.

    Numbers of run ends: those up to ``processed_end`` have been processed, those up to
    ``acknowledged_end`` are recorded in the store, and the host has certainly discarded
    those up to ``forgotten_end``.  ``processed_batch`` is the batch of records after which
    ``acknowledged_end`` may advance to ``processed_end``.

    ``unanswered`` are the runs that this owner placed here and whose starts the host has not
    answered, the oldest first.  ``free`` is the free capacity, and ``lasting_count`` the number of
    runs of lasting tasks.

    ``reported_at_s`` is when the last report arrived, ``report_requested_at_s`` when it was
    requested, and ``leaves_at_s`` the earliest time
    at which a draining host may have ended.  ``unanswered_since_s`` is when the first order
    since the last response was sent.  A host that is NOT_CONTACTED is expected to respond
    until ``awaited_until_s``.  ``is_needed_elsewhere``: while it is vacating, another pool needs
    its machine.  ``is_refusing``: the last failed order met a refused
    connection.  ``connection_broken_at_s`` is when a connection first broke since the last
    response: a host that ends breaks its connections at once, whereas one that is cut off
    sends nothing.

    ``is_unlisted_alive``: the host's entry was removed while the host still responded.
    ``foreign_stops_over_at_s`` is when all runs that earlier owners ordered to stop have
    ended.  ``has_current_record``: the record describes this incarnation; the capacity of
    another one may differ.  ``is_settled`` is False while orders meant for the previous
    incarnation may still affect runs placed here.  ``is_placeholder``: it stands for the next
    incarnation, not known yet, which may have runs whose starts were sent to the previous one.
    """

    def __init__(self, record: UpstreamHost, lease: HostLease) -> None:
        self._record = record
        self._id = record.incarnation_id
        self._used = NO_RESOURCES
        self._used_by_lasting = NO_RESOURCES
        self.lasting_count = 0
        self.free = record.capacity
        self.lease = lease
        self.health = HostHealth()
        self.cold = ColdState()
        self.answer_times = AnswerTimes()
        self.start_slots = StartSlots()
        self.contact = HostContact.NOT_CONTACTED
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.unanswered: dict[tuple[TaskKey, int], Run] = {}
        self.acknowledged_end = 0
        self.forgotten_end = 0
        self.processed_end = 0
        self.processed_batch = 0
        self.is_listed = True
        self.vacating_until_s = 0.0
        self.is_needed_elsewhere = False
        self.reported_at_s = 0.0
        self.report_requested_at_s = 0.0
        self.leaves_at_s: float | None = None
        self.foreign_stops_over_at_s = 0.0
        self.unanswered_since_s: float | None = None
        self.awaited_until_s = 0.0
        self.is_refusing = False
        self.connection_broken_at_s: float | None = None
        self.is_unlisted_alive = False
        self.has_current_record = True
        self.is_settled = True
        self.is_placeholder = False

    @property
    def id(self) -> str:
        """Return the id of this incarnation; ``record.id`` is the id of the host itself."""
        return self._id

    @property
    def record(self) -> UpstreamHost:
        """Return the latest description of the host."""
        return self._record

    @record.setter
    def record(self, record: UpstreamHost) -> None:
        self._record = record
        self._id = record.incarnation_id
        self._set_used(self._used)

    def has_lapsed(self, now_s: float) -> bool:
        """Return whether the leases of the host and of all its runs have certainly lapsed."""
        is_over = now_s > self.lease.over_at_s
        return is_over and len(self.list_lapsed_runs(now_s)) == len(self.runs)

    def list_lapsed_runs(self, now_s: float) -> list[Run]:
        """Return the runs whose leases have certainly lapsed."""
        if now_s <= self.lease.over_at_s:
            return []
        return [run for run in self.runs.values() if now_s > self.get_run_over_at_s(run)]

    def get_run_over_at_s(self, run: Run) -> float:
        """Return when all leases of a run on this host have certainly lapsed."""
        longest_over_at_s = 0.0 if run.is_inherited else self.lease.longest_over_at_s
        return max(self.lease.over_at_s, run.lease_over_at_s, longest_over_at_s)

    def record_draining(self, default_s: float, now_s: float) -> None:
        """Set when a draining host may have ended, or clear that if it does not drain.

        ``default_s`` applies if the host does not state how long it drains.
        """
        if not self.record.is_draining:
            self.leaves_at_s = None
        elif self.leaves_at_s is None:
            self.leaves_at_s = now_s + (self.record.leaves_in_ms / 1000 or default_s)

    def record_order_sent(self, now_s: float) -> None:
        """Record that an order is sent; the host should respond at once."""
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def record_response(self) -> None:
        """Record any response of the host."""
        self.unanswered_since_s = None
        self.is_refusing = False
        self.connection_broken_at_s = None

    def record_failure(self, error: HostError, now_s: float) -> None:
        """Record the failure of an order."""
        self.is_refusing = isinstance(error, HostRefusedError)
        is_broken = isinstance(error, (HostNoAnswerError, HostRefusedError))
        if (
            is_broken
            and not isinstance(error, HostSilentError)
            and self.connection_broken_at_s is None
        ):
            self.connection_broken_at_s = now_s

    def has_certainly_got(self, error: HostNoAnswerError) -> bool:
        """Return whether an order without a response can't have reached another incarnation.

        This one has answered a request that was sent after the order's connection had been opened.
        """
        connected_at_s = error.connected_at_s
        return connected_at_s is not None and connected_at_s < self.report_requested_at_s

    def record_listing(self, is_listed: bool) -> None:
        """Record whether the store lists the host; some end without draining first."""
        answers = self.contact is HostContact.ANSWERING and self.connection_broken_at_s is None
        self.is_unlisted_alive = not is_listed and (answers or self.is_unlisted_alive)
        self.is_listed = is_listed

    def get_lost_at_s(self) -> float:
        """Return when a lost host broke a connection or, if it did not, when it last reported."""
        return (
            self.reported_at_s
            if self.connection_broken_at_s is None
            else self.connection_broken_at_s
        )

    def was_expected_to_end(self) -> bool:
        """Return whether the end of a host was planned: it drained, or was unlisted while alive.

        A draining host that ends before its time has crashed.  A host that the steward has
        vacated has no runs left when its removal is ordered.
        """
        if self.leaves_at_s is not None:
            return self.get_lost_at_s() > self.leaves_at_s - LEAVES_EARLY_S
        return self.record.is_draining or self.is_unlisted_alive

    def add_run(self, run: Run, resources: Resources) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        if run.awaits_answer:
            self.unanswered[run.key] = run
        self._set_used(self._used + resources)
        if run.is_lasting:
            self._used_by_lasting += resources
            self.lasting_count += 1

    def remove_run(self, run: Run, resources: Resources) -> None:
        """Remove a run and release its resources."""
        if self.runs.pop(run.key, None) is None:
            return
        self.unanswered.pop(run.key, None)
        self._set_used(self._used - resources)
        if run.is_lasting:
            self._used_by_lasting -= resources
            self.lasting_count -= 1

    def _set_used(self, used: Resources) -> None:
        self._used = used
        self.free = self._record.capacity - used

    def is_overcommitted(self, resources: Resources) -> bool:
        """Return whether the host is short of a resource that a run on it takes."""
        pairs = (
            (self.free.cpu_millicores, resources.cpu_millicores),
            (self.free.memory_mb, resources.memory_mb),
            (self.free.gpu_count, resources.gpu_count),
        )
        return any(free < 0 < takes for free, takes in pairs)

    @property
    def capacity_beside_lasting(self) -> Resources:
        """Return the capacity that lasting tasks leave for tasks that end."""
        return self._record.capacity - self._used_by_lasting

    def accepts_work(self, now_s: float) -> bool:
        """Return whether new work may be placed here; ``is_paused`` is checked separately."""
        return self.is_eligible() and not self.is_vacating(now_s)

    def is_eligible(self) -> bool:
        """Return whether the host could take work; whether it is vacating does not matter."""
        is_present = self.contact is HostContact.ANSWERING and self.is_listed
        is_known = self.has_current_record and self.is_settled
        return is_present and is_known and not self.record.is_draining

    def is_awaited(self, now_s: float) -> bool:
        """Return whether the host has not responded yet and still has time to do so."""
        may_respond = self.contact is HostContact.NOT_CONTACTED and now_s < self.awaited_until_s
        return may_respond and self.is_listed and not self.record.is_draining

    def is_vacating(self, now_s: float) -> bool:
        """Return whether the host is being vacated for the steward."""
        return now_s < self.vacating_until_s

    def is_paused(self, now_s: float) -> bool:
        """Return whether the host is paused because it seems unhealthy."""
        return now_s < self.health.paused_until_s
