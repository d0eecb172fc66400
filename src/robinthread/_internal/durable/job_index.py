"""Index of the jobs in the inbox, built by applying its records in log order."""

from collections.abc import Callable, Sequence

import msgspec

from robinthread._internal.durable.contained_calls import apply_each, call_each
from robinthread._internal.durable.inbox_records import (
    JobCancelled,
    JobSubmitted,
    RecordDropped,
    parse_inbox_record,
)
from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.share_meter import ShareMeter
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.models.workspace_policy import may_access
from robinthread._internal.telemetry.event_log import EventLog


class IndexedJob:
    """A job as first submitted, the keys of its records, and whether it is cancelled.

    ``is_beyond_share`` is set if its workspace exceeded its share of jobs per second when the
    job was accepted.
    """

    __slots__ = ("is_beyond_share", "is_cancelled", "keys", "offset", "spec")

    def __init__(self, spec: JobSpec, offset: int, is_beyond_share: bool = False) -> None:
        self.spec = spec
        self.offset = offset
        self.is_beyond_share = is_beyond_share
        self.keys: set[str] = set()
        self.is_cancelled = False


Listener = Callable[[IndexedJob], None]


class JobIndex:
    """Index of jobs by id; the first record of an id determines the job and its pool.

    Listeners are called with each new and each newly cancelled job.
    """

    def __init__(self, events: EventLog, meter: ShareMeter) -> None:
        self.jobs: dict[str, IndexedJob] = {}
        self._meter = meter
        self._early_cancellations: dict[str, list[JobCancelled]] = {}
        self._listeners: list[Listener] = []
        self._events = events
        self._malformed = MalformedRecords(events, "inbox")

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` for all known jobs now and for each new or cancelled job later."""
        self._listeners.append(listener)
        for job in list(self.jobs.values()):
            call_each((listener,), self._events, job)

    def unsubscribe(self, listener: Listener) -> None:
        """Stop calling ``listener``."""
        self._listeners.remove(listener)

    def apply(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        """Apply records in log order; a snapshot holds all records that still exist.

        A job that is missing from a snapshot is removed.  It ended long ago and was dropped
        together with its progress, so an owner that still found it here would run it again.
        """
        if is_snapshot:
            self._retain_keys(frozenset(record.key for record in records))
        apply_each(records, self._apply_record, self._events)

    def _apply_record(self, record: KeyedRecord) -> None:
        try:
            parsed = parse_inbox_record(record)
        except msgspec.MsgspecError as error:
            self._malformed.tell(record, error)
            return
        match parsed:
            case JobSubmitted(key, spec):
                self._add(key, spec, record.offset)
            case JobCancelled() as cancelled:
                self._cancel(cancelled)
            case RecordDropped(key, job_id):
                self._drop(key, job_id)

    def _add(self, key: str, spec: JobSpec, offset: int) -> None:
        job = self.jobs.get(spec.job_id)
        if job is not None:
            job.keys.add(key)
            return
        is_beyond = self._meter.is_beyond(spec.workspace, spec.accepted_at_ms)
        job = self.jobs[spec.job_id] = IndexedJob(spec, offset, is_beyond)
        job.keys.add(key)
        early_cancellations = self._early_cancellations.pop(spec.job_id, ())
        job.is_cancelled = any(
            may_access(cancellation.workspace, spec.workspace)
            for cancellation in early_cancellations
        )
        self._notify(job)

    def _cancel(self, cancelled: JobCancelled) -> None:
        job = self.jobs.get(cancelled.job_id)
        if job is None:
            self._early_cancellations.setdefault(cancelled.job_id, []).append(cancelled)
            return
        job.keys.add(cancelled.key)
        if not job.is_cancelled and may_access(cancelled.workspace, job.spec.workspace):
            job.is_cancelled = True
            self._notify(job)

    def _drop(self, key: str, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is not None:
            job.keys.discard(key)
            if not job.keys:
                del self.jobs[job_id]

    def _retain_keys(self, keys: frozenset[str]) -> None:
        self._early_cancellations.clear()
        for job_id, job in list(self.jobs.items()):
            job.keys &= keys
            if not job.keys:
                del self.jobs[job_id]

    def _notify(self, job: IndexedJob) -> None:
        call_each(self._listeners, self._events, job)
