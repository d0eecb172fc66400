"""Reading and writing of snapshots in a stream of the platform's log."""

from typing import Final

from robinthread._internal.fold.folder import FolderImage
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.snapshots.snapshot import Snapshot, decode_snapshot, encode_snapshot

SNAPSHOT_STREAM: Final = "snapshots"
RECENT_RECORDS: Final = 4


async def write_snapshot(log: LogService, image: FolderImage) -> int:
    """Append a snapshot and return its size in bytes."""
    data = encode_snapshot(image)
    await log.append(SNAPSHOT_STREAM, data)
    return len(data)


async def read_newest_snapshot(log: LogService) -> Snapshot | None:
    """Return the valid snapshot with the highest offset among the last ``RECENT_RECORDS``.

    None if there is none, for example in a new fleet.
    """
    end = await log.read(SNAPSHOT_STREAM, 1 << 62, 1, 0.0)
    start = max(end.first_offset, end.next_offset - RECENT_RECORDS)
    if start >= end.next_offset:
        return None
    page = await log.read(SNAPSHOT_STREAM, start, RECENT_RECORDS, 0.0)
    found = [decode_snapshot(record.data) for record in page.records]
    valid = [snapshot for snapshot in found if snapshot is not None]
    return max(valid, key=lambda snapshot: snapshot.next_offset, default=None)
