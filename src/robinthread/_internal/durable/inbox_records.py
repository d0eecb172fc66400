"""Records of the inbox: jobs handed in, and jobs cancelled.

A job that is handed in several times makes several records, each with a key of
its own, so that the first in the log's order is never replaced.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.models.job_spec import JobSpec

INBOX_PARTITION: Final = Partition("keyed.inbox")
JOB_PREFIX: Final = "j/"
CANCEL_PREFIX: Final = "c/"
# Of a workspace's name in a key, which has 255 bytes at most.
NAME_DIGEST_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A job's record."""

    key: str
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A cancelled job's record; ``workspace`` tells by whom, None by one who needed no key."""

    key: str
    job_id: str
    workspace: str | None = None


@dataclass(frozen=True, slots=True)
class RecordDropped:
    """A record that its job no longer needs."""

    key: str
    job_id: str


InboxRecord = JobSubmitted | JobCancelled | RecordDropped


def make_job_record(spec: JobSpec, submission_id: str) -> KeyedRecord:
    """Make the record of a job; ``submission_id`` tells this attempt from all others."""
    return KeyedRecord(f"{JOB_PREFIX}{spec.job_id}/{submission_id}", msgspec.msgpack.encode(spec))


def make_cancel_record(job_id: str, workspace: str | None = None) -> KeyedRecord:
    """Make the record that cancels a job, if it is the workspace's.

    Each workspace has a key of its own, so that no other one's record is replaced.
    """
    if workspace is None:
        return KeyedRecord(f"{CANCEL_PREFIX}{job_id}", b"1")
    name = workspace.encode()
    digest = hashlib.blake2b(name, digest_size=NAME_DIGEST_BYTES).hexdigest()
    return KeyedRecord(f"{CANCEL_PREFIX}{job_id}/{digest}", name)


def parse_inbox_record(record: KeyedRecord) -> InboxRecord:
    """Read a record of the inbox; raise ``msgspec.MsgspecError``."""
    job_id = _parse_job_id(record.key)
    if record.value is None:
        return RecordDropped(record.key, job_id)
    if record.key.startswith(CANCEL_PREFIX):
        return JobCancelled(
            record.key, job_id, _parse_cancelling_workspace(record.key, record.value)
        )
    spec = msgspec.msgpack.decode(record.value, type=JobSpec)
    fault = spec.find_fault() or ("" if spec.job_id == job_id else "its key names another job")
    if fault:
        raise msgspec.ValidationError(fault)
    return JobSubmitted(record.key, spec)


def _parse_cancelling_workspace(key: str, value: bytes) -> str | None:
    """Return the workspace that cancelled a job; None where no key was asked for."""
    if "/" not in key.removeprefix(CANCEL_PREFIX):
        return None
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise msgspec.ValidationError("a workspace's name is not a text") from error


def _parse_job_id(key: str) -> str:
    """Return the id of the job that a key is about."""
    prefix, _, rest = key.partition("/")
    job_id = rest.partition("/")[0]
    if f"{prefix}/" not in (JOB_PREFIX, CANCEL_PREFIX) or not job_id:
        raise msgspec.ValidationError("the key names no job")
    return job_id
