"""Loading of the job progress that earlier owners of a pool recorded."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

import msgspec

from robinthread._internal.durable.errors import StoreError, StoreFencedError
from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.newest_reader import NewestReader
from robinthread._internal.durable.settled_record import KEY_PREFIX, parse_settled_record
from robinthread._internal.durable.store import KeyedRecord, NewestRecords, Partition, Store
from robinthread._internal.jobs.part_key import PartKey, is_part_key, parse_part_key
from robinthread._internal.jobs.progress import JobProgress, decode_progress
from robinthread._internal.jobs.progress_parts import ProgressPart, decode_part, merge_parts
from robinthread._internal.telemetry.event_log import EventLog

# Pause before a failed read of the store is retried.
RETRY_PAUSE_S: Final = 0.1


@dataclass(frozen=True)
class LoadedProgress:
    """Progress of each job by id, and the token below which all owners' leases have lapsed.

    ``part_keys`` are the recorded parts of split jobs, which ``jobs`` contain, by job.
    """

    jobs: dict[str, JobProgress] = field(default_factory=dict)
    settled_before_token: int = 0
    part_keys: dict[str, list[PartKey]] = field(default_factory=dict)


async def load_progress(
    store: Store, partition: Partition, pool: str, events: EventLog
) -> LoadedProgress:
    """Return all recorded progress of a pool, retrying until the read is complete.

    Malformed records are logged and skipped.
    """
    records = (await _read_all(store, partition, pool, events)).records
    found: dict[str, JobProgress] = {}
    parts: dict[str, list[ProgressPart]] = defaultdict(list)
    settled_before_token = 0
    malformed = MalformedRecords(events, "progress")
    for record in records:
        if record.value is None:
            continue
        try:
            if record.key == KEY_PREFIX + pool:
                settled_before_token = parse_settled_record(record).before_token
            elif record.key.startswith(KEY_PREFIX):
                continue
            elif is_part_key(record.key):
                _add_part(parts, record)
            else:
                _add_progress(found, record)
        except msgspec.MsgspecError as error:
            malformed.tell(record, error)
    merged = {job_id: merge_parts(job_id, found.get(job_id), parts[job_id]) for job_id in parts}
    part_keys = {
        job_id: [PartKey(part.occurrence, part.number) for part in job_parts]
        for job_id, job_parts in parts.items()
    }
    return LoadedProgress(found | merged, settled_before_token, part_keys)


def _add_part(parts: dict[str, list[ProgressPart]], record: KeyedRecord) -> None:
    job_id, key = parse_part_key(record.key)
    parts[job_id].append(decode_part(key, record.value or b""))


def _add_progress(found: dict[str, JobProgress], record: KeyedRecord) -> None:
    progress = decode_progress(record.value or b"")
    if progress.job_id != record.key:
        raise msgspec.ValidationError("the record's key is not its job's id")
    found[progress.job_id] = progress


async def _read_all(
    store: Store, partition: Partition, pool: str, events: EventLog
) -> NewestRecords:
    reader = NewestReader(store, partition)
    while True:
        try:
            return await reader.read()
        except StoreFencedError:
            raise
        except StoreError as error:
            events.write("progress_unread", pool=pool, error=str(error))
            await asyncio.sleep(RETRY_PAUSE_S)
