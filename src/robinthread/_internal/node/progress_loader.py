"""Loading what earlier owners of a pool recorded of its jobs."""

import asyncio
from typing import Final

import msgspec

from robinthread._internal.durable.errors import StoreError, StoreFencedError
from robinthread._internal.durable.newest_reader import NewestReader
from robinthread._internal.durable.store import NewestRecords, Partition, Store
from robinthread._internal.jobs.progress import JobProgress, decode_progress
from robinthread._internal.telemetry.event_log import EventLog

# Pause before a failed read of the store is made again.
RETRY_PAUSE_S: Final = 0.1


async def load_progress(
    store: Store, partition: Partition, pool: str, events: EventLog
) -> dict[str, JobProgress]:
    """Return the progress of each job by id, trying until the store has told all of it."""
    records = (await _read_all(store, partition, pool, events)).records
    found: dict[str, JobProgress] = {}
    for record in records:
        if record.value is None:
            continue
        try:
            progress = decode_progress(record.value)
        except msgspec.MsgspecError as error:
            events.write("record_malformed", key=record.key, error=str(error))
            continue
        found[progress.job_id] = progress
    return found


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
