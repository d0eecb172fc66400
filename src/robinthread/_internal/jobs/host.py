"""A job host of a pool, as its owner sees it."""

import enum
from typing import Final

from robinthread._internal.jobs.host_errors import (
    HostError,
    HostNoAnswerError,
    HostRefusedError,
    HostSilentError,
)
from robinthread._internal.jobs.host_health import HostHealth
from robinthread._internal.jobs.host_lease import HostLease
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost

# That a host drains is heard so long after it said so at most: it may be gone as much sooner
# than it seems to leave.
LEAVES_EARLY_S: Final = 0.5


class HostContact(enum.Enum):
    """Whether a host answers.

    NOT_CONTACTED: it has not yet answered under this owner's token, so older owners'
    orders may still be carried out.  ANSWERING: it has, and does.  SILENT: it
    did, and does not any more.
    """

    NOT_CONTACTED = "unheard"
    ANSWERING = "answering"
    SILENT = "silent"


class Host:
    """One life of a host: what runs there and how long its lease may reach.

    Times are of the event loop's clock, in seconds.  Ends up to
    ``processed_end`` have been taken in, those up to ``acknowledged_end`` are
    recorded, and those up to ``forgotten_end`` the host has surely forgotten;
    ``processed_batch`` is the batch of records that closes the gap.
    ``free`` is the room that is left; ``lasting_count`` runs stay.  ``reported_at_s`` is
    when its last report came, ``leaves_at_s`` the earliest time at which a draining host
    may be gone.
    ``unanswered_since_s`` is when the first order was sent since it last answered.
    Until ``awaited_until_s`` a host that is NOT_CONTACTED is taken for one that will answer.
    ``is_refusing`` tells whether it refused a connection for the order that failed last.
    ``connection_broken_at_s`` is when a connection to it first broke since it last answered:
    a host that
    ends breaks them at once, one that is cut off says nothing.
    ``is_unlisted_alive`` tells that its entry went while it answered.
    By ``foreign_stops_over_at_s`` all that earlier owners told to stop has ended.
    ``has_current_record`` tells that its record is of this life: another one's room may differ.
    Until it ``is_settled``, orders meant for the life before may harm what is placed here.
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
        self.contact = HostContact.NOT_CONTACTED
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.acknowledged_end = 0
        self.forgotten_end = 0
        self.processed_end = 0
        self.processed_batch = 0
        self.is_listed = True
        self.vacating_until_s = 0.0
        self.reported_at_s = 0.0
        self.leaves_at_s: float | None = None
        self.foreign_stops_over_at_s = 0.0
        self.unanswered_since_s: float | None = None
        self.awaited_until_s = 0.0
        self.is_refusing = False
        self.connection_broken_at_s: float | None = None
        self.is_unlisted_alive = False
        self.has_current_record = True
        self.is_settled = True

    @property
    def id(self) -> str:
        """Return the id of this life of the host; its record has the host's own."""
        return self._id

    @property
    def record(self) -> UpstreamHost:
        """Return what the host last said of itself."""
        return self._record

    @record.setter
    def record(self, record: UpstreamHost) -> None:
        self._record = record
        self._id = record.incarnation_id
        self._note_used(self._used)

    def record_draining(self, default_s: float, now_s: float) -> None:
        """Note when a host that has begun to drain may be gone, if it drains."""
        if not self.record.is_draining:
            self.leaves_at_s = None
        elif self.leaves_at_s is None:
            self.leaves_at_s = now_s + (self.record.leaves_in_ms / 1000 or default_s)

    def record_order_sent(self, now_s: float) -> None:
        """Note that an order is sent, which should be answered at once."""
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def record_response(self) -> None:
        """Note that the host has answered anything."""
        self.unanswered_since_s = None
        self.is_refusing = False
        self.connection_broken_at_s = None

    def record_failure(self, error: HostError, now_s: float) -> None:
        """Note how an order failed."""
        self.is_refusing = isinstance(error, HostRefusedError)
        is_broken = isinstance(error, (HostNoAnswerError, HostRefusedError))
        if (
            is_broken
            and not isinstance(error, HostSilentError)
            and self.connection_broken_at_s is None
        ):
            self.connection_broken_at_s = now_s

    def record_listing(self, is_listed: bool) -> None:
        """Note whether the store lists the host; some leave without having said so."""
        answers = self.contact is HostContact.ANSWERING and self.connection_broken_at_s is None
        self.is_unlisted_alive = not is_listed and (answers or self.is_unlisted_alive)
        self.is_listed = is_listed

    def get_lost_at_s(self) -> float:
        """Return when a host that has ended did, or when it was last heard to live."""
        return (
            self.reported_at_s
            if self.connection_broken_at_s is None
            else self.connection_broken_at_s
        )

    def was_expected_to_end(self) -> bool:
        """Tell whether a host that has ended was to: it drained, or had left without a word.

        One that drains may crash before its time is over.  One that the steward has emptied
        runs nothing when it is ordered away.
        """
        if self.leaves_at_s is not None:
            return self.get_lost_at_s() > self.leaves_at_s - LEAVES_EARLY_S
        return self.record.is_draining or self.is_unlisted_alive

    def add_run(self, run: Run, room: Resources) -> None:
        """Take room for a run."""
        self.runs[run.key] = run
        self._note_used(self._used + room)
        if run.is_lasting:
            self._used_by_lasting += room
            self.lasting_count += 1

    def remove_run(self, run: Run, room: Resources) -> None:
        """Give a run's room back."""
        if self.runs.pop(run.key, None) is None:
            return
        self._note_used(self._used - room)
        if run.is_lasting:
            self._used_by_lasting -= room
            self.lasting_count -= 1

    def _note_used(self, used: Resources) -> None:
        self._used = used
        self.free = self._record.capacity - used

    def is_overcommitted(self, room: Resources) -> bool:
        """Tell whether the host lacks room of a kind that a run on it takes."""
        pairs = (
            (self.free.cpu_millicores, room.cpu_millicores),
            (self.free.memory_mb, room.memory_mb),
            (self.free.gpu_count, room.gpu_count),
        )
        return any(free < 0 < takes for free, takes in pairs)

    @property
    def capacity_beside_lasting(self) -> Resources:
        """Return the room that is there for tasks that end."""
        return self._record.capacity - self._used_by_lasting

    def accepts_work(self, now_s: float) -> bool:
        """Tell whether new work may be placed here, if the host is well."""
        return self.is_eligible() and not self.is_vacating(now_s)

    def is_eligible(self) -> bool:
        """Tell whether the host would take work, were it not to be emptied."""
        is_there = self.contact is HostContact.ANSWERING and self.is_listed
        is_known = self.has_current_record and self.is_settled
        return is_there and is_known and not self.record.is_draining

    def is_awaited(self, now_s: float) -> bool:
        """Tell whether the host was not heard yet, and had no time to answer either."""
        is_coming = self.contact is HostContact.NOT_CONTACTED and now_s < self.awaited_until_s
        return is_coming and self.is_listed and not self.record.is_draining

    def is_vacating(self, now_s: float) -> bool:
        """Tell whether the host is to be emptied for the steward."""
        return now_s < self.vacating_until_s

    def is_paused(self, now_s: float) -> bool:
        """Tell whether the host does not seem well."""
        return now_s < self.health.paused_until_s
