"""Stand-in for the platform's log: offsets, retention, rate, outages, lost replies."""

import asyncio
import random
from dataclasses import dataclass, field

from robinthread._internal.platform_log.errors import LogReplyLostError, LogUnavailableError
from robinthread._internal.platform_log.page import LogPage, LogRecord
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.utils.waiting import wait_for_event


@dataclass
class LogFaults:
    """Faults of the stand-in; tests change them while it runs."""

    is_out: bool = False
    delay_s: float = 0.0
    lost_reply_share: float = 0.0


@dataclass
class _Stream:
    records: list[LogRecord] = field(default_factory=list)
    first_offset: int = 0
    next_offset: int = 0
    grown: asyncio.Event = field(default_factory=asyncio.Event)


class LogStandin:
    """An append-only log in memory.

    Each stream retains at most ``retention_records`` records; appends beyond
    ``appends_per_s`` within a one-second window, over all streams, fail.
    """

    def __init__(
        self, seed: int = 0, retention_records: int = 1_000_000, appends_per_s: float = 1e9
    ) -> None:
        self.faults = LogFaults()
        self.appends_count = 0
        self.bytes_count = 0
        self._streams: dict[str, _Stream] = {}
        self._random = random.Random(seed)
        self._retention_records = retention_records
        self._appends_per_s = appends_per_s
        self._window_start_s = 0.0
        self._window_appends = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append ``data`` to a stream and return its offset."""
        await self._apply_faults()
        self._count_in_window()
        stream_data = self._get_stream(stream)
        offset = stream_data.next_offset
        stream_data.records.append(LogRecord(offset, data))
        stream_data.next_offset += 1
        self.appends_count += 1
        self.bytes_count += len(data)
        self._expire(stream_data)
        stream_data.grown.set()
        stream_data.grown = asyncio.Event()
        if self._random.random() < self.faults.lost_reply_share:
            raise LogReplyLostError("the reply was lost")
        return offset

    async def read(self, stream: str, from_offset: int, max_records: int, wait_s: float) -> LogPage:
        """Return records starting at ``from_offset``; wait up to ``wait_s`` for the first."""
        await self._apply_faults()
        stream_data = self._get_stream(stream)
        if from_offset >= stream_data.next_offset and wait_s > 0:
            await wait_for_event(stream_data.grown, wait_s)
            await self._apply_faults()
        start = max(0, from_offset - stream_data.first_offset)
        records = tuple(stream_data.records[start : start + max_records])
        return LogPage(records, stream_data.first_offset, stream_data.next_offset)

    def make_service(self) -> LogService:
        """Return a ``LogService`` that calls this stand-in."""
        return LogService(self.append, self.read)

    def _get_stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, stream: _Stream) -> None:
        surplus = len(stream.records) - self._retention_records
        if surplus > 0:
            del stream.records[:surplus]
            stream.first_offset += surplus

    def _count_in_window(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._window_start_s >= 1.0:
            self._window_start_s = now_s
            self._window_appends = 0
        self._window_appends += 1
        if self._window_appends > self._appends_per_s:
            raise LogUnavailableError(
                f"append rate limit of {self._appends_per_s:g} per second exceeded"
            )

    async def _apply_faults(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_out:
            raise LogUnavailableError("the log is unavailable")
