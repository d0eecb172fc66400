"""Reader of the fleet stream, which applies its records to the fleet state."""

import asyncio
from collections.abc import Callable
from typing import Final

from robinthread._internal.fold.folder import FoldedRecord, Folder, FolderImage, make_digest
from robinthread._internal.follow.publisher import FLEET_STREAM
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.platform_log.errors import LogReplyLostError, LogUnavailableError
from robinthread._internal.platform_log.page import LogPage, LogRecord
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.telemetry.counters import Counters

PAGE_RECORDS: Final = 64
LONG_POLL_S: Final = 5.0
RETRY_S: Final = 0.25


class LogTruncatedError(Exception):
    """The log no longer holds the record that must be applied next."""


class Follower:
    """Read the fleet stream and apply its records; the state never goes back in offset.

    ``is_ready`` turns true once the state has reached the end of the log, or once an image
    has been loaded.  ``last_read_at_s`` is the event loop's time of the last successful read.
    ``digest`` is the offset and digest of the state at the last multiple of
    ``digest_every_records``, for comparison with peers.
    """

    def __init__(self, log: LogService, counters: Counters, digest_every_records: int) -> None:
        self.folder = Folder()
        self.is_ready = False
        self.last_read_at_s = -1e9
        self.digest: tuple[int, str] = (-1, "")
        self._digest_every_records = digest_every_records
        self._log = log
        self._counters = counters
        self._watchers: list[Callable[[tuple[FoldedRecord, ...]], None]] = []
        self._advanced = asyncio.Event()

    @property
    def state(self) -> FleetState:
        """Return the fleet state after all records applied so far."""
        return self.folder.state

    def watch(self, watcher: Callable[[tuple[FoldedRecord, ...]], None]) -> None:
        """Call ``watcher`` with the records of each page that was applied.

        The tuple is empty after an image is loaded, or if a page without records made the
        follower ready.
        """
        self._watchers.append(watcher)

    def load_image(self, image: FolderImage) -> bool:
        """Replace the state by ``image`` unless that would go back; return whether it was replaced.

        An image at the offset of the state is loaded only while the follower is not ready.
        """
        if self.is_ready and image.state.next_offset <= self.state.next_offset:
            return False
        if image.state.next_offset < self.state.next_offset:
            return False
        self.folder = Folder(image)
        self.is_ready = True
        self._notify(())
        return True

    async def wait_for_offset(self, offset: int) -> None:
        """Wait until the record at ``offset`` has been applied."""
        while self.state.next_offset <= offset:
            await self._advanced.wait()

    def get_lag_s(self) -> float:
        """Return the seconds since the last successful read of the log."""
        return asyncio.get_running_loop().time() - self.last_read_at_s

    async def run(self) -> None:
        """Read and apply records until cancelled.

        Raise ``LogTruncatedError`` if the next record is no longer in the log.
        """
        while True:
            try:
                page = await self._log.read(
                    FLEET_STREAM,
                    self.state.next_offset,
                    PAGE_RECORDS,
                    LONG_POLL_S if self.is_ready else 0.0,
                )
            except (LogUnavailableError, LogReplyLostError):
                self._counters.add("fleet_read_failures")
                await asyncio.sleep(RETRY_S)
                continue
            self._fold_page(page)

    def _fold_page(self, page: LogPage) -> None:
        self.last_read_at_s = asyncio.get_running_loop().time()
        if page.first_offset > self.state.next_offset:
            raise LogTruncatedError(
                f"the log starts at offset {page.first_offset}, "
                f"but offset {self.state.next_offset} is needed next"
            )
        folded = tuple(outcome for record in page.records for outcome in self._fold_record(record))
        self._counters.add("records_folded", len(folded))
        was_ready = self.is_ready
        self.is_ready = self.is_ready or self.state.next_offset >= page.next_offset
        if folded or self.is_ready != was_ready:
            self._notify(folded)

    def _fold_record(self, record: LogRecord) -> tuple[FoldedRecord, ...]:
        folded = self.folder.fold_record(record.offset, record.data)
        if self.state.next_offset % self._digest_every_records == 0:
            self.digest = (self.state.next_offset, make_digest(self.folder.make_image()))
        return folded

    def _notify(self, folded: tuple[FoldedRecord, ...]) -> None:
        for watcher in self._watchers:
            watcher(folded)
        self._advanced.set()
        self._advanced = asyncio.Event()
