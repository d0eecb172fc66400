"""Publisher of records in the fleet stream, which batches them into appends."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from robinthread._internal.fold.envelope import Envelope, encode_batch
from robinthread._internal.fold.folder import FoldedRecord
from robinthread._internal.fold.registry import KIND_OF_TYPE
from robinthread._internal.platform_log.errors import LogReplyLostError, LogUnavailableError
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.results import Fault, ResultCode, make_fault
from robinthread._internal.telemetry.counters import Counters

FLEET_STREAM: Final = "fleet"
RETRY_MIN_S: Final = 0.05
RETRY_MAX_S: Final = 1.0


@dataclass(frozen=True)
class Author:
    """Name and incarnation of the daemon that publishes a record."""

    name: str
    incarnation: str


class Publisher:
    """Append records and report their outcomes once they have been applied.

    A record whose append got no reply is appended again under the same id, and the
    folder ignores the repetition.  ``publish`` returns the outcome only after the follower
    has applied the record.
    """

    def __init__(
        self,
        log: LogService,
        author: Author,
        get_next_offset: Callable[[], int],
        get_outcome: Callable[[str], ResultCode | None],
        make_id: Callable[[], str],
        counters: Counters,
    ) -> None:
        self._log = log
        self._author = author
        self._get_next_offset = get_next_offset
        self._get_outcome = get_outcome
        self._make_id = make_id
        self._counters = counters
        self._pending: dict[str, Envelope] = {}
        self._waiters: dict[str, list[asyncio.Future[FoldedRecord]]] = {}
        self._has_pending = asyncio.Event()

    async def publish(
        self, body: object, timeout_s: float, record_id: str = ""
    ) -> Result[FoldedRecord, Fault]:
        """Publish ``body`` and wait until it has been applied here.

        If a record with this ``record_id`` has been applied already, return its outcome.
        Fail with ``TIMED_OUT`` after ``timeout_s``; the record may still be applied later.
        """
        record_id = record_id or self._make_id()
        known = self._get_outcome(record_id)
        if known is not None:
            return _make_result(FoldedRecord(-1, record_id, "", known))
        future: asyncio.Future[FoldedRecord] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(record_id, []).append(future)
        self._pending[record_id] = self._make_envelope(body, record_id)
        self._has_pending.set()
        try:
            return _make_result(await asyncio.wait_for(future, timeout_s))
        except TimeoutError:
            self._counters.add("publish_timeouts")
            message = f"Record {record_id} was not seen in the log within {timeout_s:g} s"
            return Failure(make_fault(ResultCode.TIMED_OUT, message))
        finally:
            self._remove_waiter(record_id, future)

    def settle(self, folded: FoldedRecord) -> None:
        """Pass the outcome of an applied record to the callers of ``publish`` that wait for it."""
        self._pending.pop(folded.id, None)
        for future in self._waiters.get(folded.id, ()):
            if not future.done():
                future.set_result(folded)

    async def run(self) -> None:
        """Append pending records in batches until cancelled; retry failures with a back-off."""
        retry_s = RETRY_MIN_S
        if self._pending:
            self._has_pending.set()
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            batch = tuple(self._pending.values())
            if not batch:
                continue
            try:
                await self._log.append(FLEET_STREAM, encode_batch(batch))
                self._counters.add("fleet_appends")
                self._remove_pending(batch)
                retry_s = RETRY_MIN_S
            except (LogUnavailableError, LogReplyLostError):
                self._counters.add("fleet_append_failures")
                self._has_pending.set()
                await asyncio.sleep(retry_s)
                retry_s = min(RETRY_MAX_S, retry_s * 2)

    def _remove_waiter(self, record_id: str, future: asyncio.Future[FoldedRecord]) -> None:
        futures = self._waiters.get(record_id, [])
        futures.remove(future)
        if not futures:
            del self._waiters[record_id]
            self._pending.pop(record_id, None)

    def _remove_pending(self, batch: tuple[Envelope, ...]) -> None:
        for envelope in batch:
            self._pending.pop(envelope.id, None)

    def _make_envelope(self, body: object, record_id: str) -> Envelope:
        return Envelope(
            KIND_OF_TYPE[type(body)],
            record_id,
            self._author.name,
            self._author.incarnation,
            self._get_next_offset(),
            msgspec.Raw(msgspec.msgpack.encode(body)),
        )


def _make_result(folded: FoldedRecord) -> Result[FoldedRecord, Fault]:
    if folded.code.is_success:
        return Success(folded)
    return Failure(make_fault(folded.code))
