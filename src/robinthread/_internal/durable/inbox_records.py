"""Records of the inbox: jobs handed in, and jobs cancelled.

A job that is handed in several times makes several records, each with a key of
its own, so that the first in the log's order is never replaced.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.models.job_spec import JobSpec

INBOX_PARTITION: Final = Partition("keyed.inbox")
JOB_PREFIX: Final = "j/"
CANCEL_PREFIX: Final = "c/"


@dataclass(frozen=True, slots=True)
class JobHandedIn:
    """A job's record."""

    key: str
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A cancelled job's record."""

    key: str
    job_id: str


@dataclass(frozen=True, slots=True)
class RecordDropped:
    """A record that its job no longer needs."""

    key: str


InboxRecord = JobHandedIn | JobCancelled | RecordDropped


def make_job_record(spec: JobSpec, copy: str) -> KeyedRecord:
    """Make the record of a job; ``copy`` tells this attempt from all others."""
    return KeyedRecord(f"{JOB_PREFIX}{spec.job_id}/{copy}", msgspec.msgpack.encode(spec))


def make_cancel_record(job_id: str) -> KeyedRecord:
    """Make the record that cancels a job."""
    return KeyedRecord(f"{CANCEL_PREFIX}{job_id}", b"1")


def parse_inbox_record(record: KeyedRecord) -> InboxRecord:
    """Read a record of the inbox; raise ``msgspec.MsgspecError``."""
    if record.value is None:
        return RecordDropped(record.key)
    if record.key.startswith(CANCEL_PREFIX):
        return JobCancelled(record.key, record.key.removeprefix(CANCEL_PREFIX))
    return JobHandedIn(record.key, msgspec.msgpack.decode(record.value, type=JobSpec))
