"""Loading of the job progress that earlier owners of a pool recorded."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

import msgspec

from robinthread._internal.durable.errors import StoreError, StoreFencedError
from robinthread._internal.durable.newest_reader import NewestReader
from robinthread._internal.durable.settled_record import KEY_PREFIX, parse_settled_record
from robinthread._internal.durable.store import KeyedRecord, NewestRecords, Partition, Store
from robinthread._internal.jobs.progress import JobProgress, decode_progress
from robinthread._internal.telemetry.event_log import EventLog

# Pause before a failed read of the store is retried.
RETRY_PAUSE_S: Final = 0.1


@dataclass(frozen=True)
class LoadedProgress:
    """Progress of each job by id, and the token below which all owners' leases have lapsed."""

    jobs: dict[str, JobProgress] = field(default_factory=dict)
    settled_before_token: int = 0


async def load_progress(
    store: Store, partition: Partition, pool: str, events: EventLog
) -> LoadedProgress:
    """Return all recorded progress of a pool, retrying until the read is complete.

    Malformed records are logged and skipped.
    """
    records = (await _read_all(store, partition, pool, events)).records
    found: dict[str, JobProgress] = {}
    settled_before_token = 0
    for record in records:
        if record.value is None:
            continue
        try:
            if record.key == KEY_PREFIX + pool:
                settled_before_token = parse_settled_record(record).before_token
            elif not record.key.startswith(KEY_PREFIX):
                _add_progress(found, record)
        except msgspec.MsgspecError as error:
            events.write("record_malformed", key=record.key, error=str(error))
    return LoadedProgress(found, settled_before_token)


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
