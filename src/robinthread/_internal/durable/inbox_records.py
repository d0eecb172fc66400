"""Inbox records: submitted and cancelled jobs.

Each submission of a job has a record with a key of its own, so a repeated submission never
replaces the first one in log order.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.utils.foreign_input import (
    MalformedInputError,
    decode_msgpack,
    reads_foreign_input,
    shorten,
)

INBOX_PARTITION: Final = Partition("keyed.inbox")
JOB_PREFIX: Final = "j/"
CANCEL_PREFIX: Final = "c/"
# Size of the digest that stands for a workspace's name in a key; keys have at most 255 bytes.
NAME_DIGEST_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """The record of a submitted job."""

    key: str
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """The record of a cancellation.

    ``workspace`` is the one that cancelled the job, or None if the caller needed no key.
    """

    key: str
    job_id: str
    workspace: str | None = None


@dataclass(frozen=True, slots=True)
class RecordDropped:
    """A tombstone: the record under this key was dropped because its job no longer needs it."""

    key: str
    job_id: str


InboxRecord = JobSubmitted | JobCancelled | RecordDropped


def make_job_record(spec: JobSpec, submission_id: str) -> KeyedRecord:
    """Make the record of a job; ``submission_id`` is unique to this submission."""
    return KeyedRecord(f"{JOB_PREFIX}{spec.job_id}/{submission_id}", msgspec.msgpack.encode(spec))


def make_cancel_record(job_id: str, workspace: str | None = None) -> KeyedRecord:
    """Make a record that cancels a job if the job belongs to the workspace.

    Each workspace has a key of its own, so it can't replace the record of another one.
    """
    if workspace is None:
        return KeyedRecord(f"{CANCEL_PREFIX}{job_id}", b"1")
    name = workspace.encode()
    digest = hashlib.blake2b(name, digest_size=NAME_DIGEST_BYTES).hexdigest()
    return KeyedRecord(f"{CANCEL_PREFIX}{job_id}/{digest}", name)


@reads_foreign_input
def parse_inbox_record(record: KeyedRecord) -> InboxRecord:
    """Decode an inbox record; raise ``MalformedInputError`` if it is malformed."""
    job_id = _parse_job_id(record.key)
    if record.value is None:
        return RecordDropped(record.key, job_id)
    if record.key.startswith(CANCEL_PREFIX):
        return JobCancelled(
            record.key, job_id, _parse_cancelling_workspace(record.key, record.value)
        )
    spec = decode_msgpack(record.value, JobSpec)
    fault = spec.find_fault() or (
        ""
        if spec.job_id == job_id
        else f"the key is of job {shorten(job_id)!r}, the spec of {shorten(spec.job_id)!r}"
    )
    if fault:
        raise MalformedInputError(fault)
    return JobSubmitted(record.key, spec)


def _parse_cancelling_workspace(key: str, value: bytes) -> str | None:
    """Return the workspace that cancelled a job, or None if no key was required."""
    if "/" not in key.removeprefix(CANCEL_PREFIX):
        return None
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise MalformedInputError("the workspace's name is not valid UTF-8") from error


def _parse_job_id(key: str) -> str:
    """Return the job id in a key."""
    prefix, _, rest = key.partition("/")
    job_id = rest.partition("/")[0]
    if f"{prefix}/" not in (JOB_PREFIX, CANCEL_PREFIX) or not job_id:
        raise MalformedInputError(f"the key {shorten(key)!r} has no job id")
    return job_id
