"""Client of the platform's store."""

import struct
import time
from collections.abc import Sequence
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from tornado.httpclient import HTTPResponse

from robinthread._internal.durable.errors import (
    HistoryGoneError,
    StoreConditionError,
    StoreError,
    StoreFencedError,
    StoreNoAnswerError,
    StoreRefusedError,
    StoreRejectedError,
    StoreSequenceError,
)
from robinthread._internal.durable.store import (
    AppendResult,
    KeyedRecord,
    Membership,
    NewestPage,
    Partition,
    ReadPage,
    WriterStamp,
)
from robinthread._internal.platform.store_records import decode_item, encode_record, iter_records
from robinthread._internal.telemetry.call_timer import timed_call
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.call_timeout import CallTimeout
from robinthread._internal.utils.foreign_input import (
    NUMBER_MAX,
    Count,
    MalformedInputError,
    Number,
    decode_json,
    quote_bytes,
)
from robinthread._internal.utils.http_call import (
    JSON_HEADERS,
    CallLostError,
    CallUnsentError,
    HttpClient,
    MalformedResponseError,
    call,
    decode,
)

# Bounds of the adaptive timeout of a call.  The store responds within about 10 ms; when it is
# slow it may take 60 times as long.
CALL_TIMEOUT_MIN_S: Final = 0.3
CALL_TIMEOUT_MAX_S: Final = 1.2
# Largest size of one read.  It takes 0.2 s over 5 Mbit/s, well within the timeout.
READ_MAX_KB: Final = 128
# Index of the member's name in a row of the list of members.
MEMBER_COLUMN: Final = 2
T = TypeVar("T")
REFUSED_STATUSES: Final = frozenset({429, 503, 507})
# Statuses whose body tells what the call should have been.
STATUSES_WITH_DETAILS: Final = frozenset({409, 410, 412})
# Statuses of the class 4xx after which the same call may succeed later.
PASSING_STATUSES: Final = frozenset({408, 425})


class _WireAppended(msgspec.Struct):
    offset: Count = 0
    end: Count = 0


class _WireProblem(msgspec.Struct):
    reason: str = ""
    end: Count = 0
    first: Count = 0
    sequence: Count | None = None
    wanted: Count | None = None


class _WireNewest(msgspec.Struct):
    # Decoded one by one, so that a malformed record does not affect the others.
    items: list[msgspec.Raw]
    end: Count
    has_more: bool = False


class _WireJoined(msgspec.Struct):
    generation: Number


class _WireOwners(msgspec.Struct):
    parts: list[list[Any]] = []
    owners: list[list[Any]] = []


class PlatformStore:
    """The platform's store over HTTP."""

    def __init__(self, client: HttpClient, address: str, metrics: NodeMetrics) -> None:
        self._client = client
        self._base = f"http://{address}"
        self._metrics = metrics
        self._timeout = CallTimeout(CALL_TIMEOUT_MIN_S, CALL_TIMEOUT_MAX_S)

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        stamp: WriterStamp | None = None,
        timeout_s: float | None = None,
    ) -> AppendResult:
        """Append all records or none, see ``Store``."""
        query: dict[str, Any] = {"topic": partition.topic, "part": partition.number}
        if expected_end is not None:
            # In this call "store_revision" is the offset at which the partition must end.
            query["store_revision"] = expected_end
        if stamp is not None:
            query |= {"producer": stamp.name, "epoch": stamp.epoch, "sequence": stamp.sequence}
        body = b"".join(map(encode_record, records))
        response = await self._call(f"/log-append?{urlencode(query)}", body, timeout_s=timeout_s)
        appended = self._decode(response, _WireAppended)
        return AppendResult(appended.offset, appended.end)

    async def read(
        self,
        partition: Partition,
        from_offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> ReadPage:
        """Read from an offset, waiting up to ``wait_s`` for a record, see ``Store``."""
        query = {
            "topic": partition.topic,
            "part": partition.number,
            "from": from_offset,
            "max_kb": READ_MAX_KB,
            "wait_ms": int(wait_s * 1000),
        }
        path = f"/log-read?{urlencode(query)}"
        response = await self._call(path, wait_s=wait_s, timeout_s=timeout_s)
        try:
            end, _first = struct.unpack_from(">QQ", response.body)
            parsed = tuple(iter_records(response.body, from_offset))
        except (struct.error, IndexError) as error:
            raise StoreNoAnswerError(f"malformed page: {error}") from error
        if end > NUMBER_MAX:
            raise StoreNoAnswerError("malformed page: its end is out of range")
        records = tuple(filter(None, parsed))
        return ReadPage(records, from_offset + len(parsed), end, len(parsed) - len(records))

    async def read_newest(
        self, partition: Partition, after_key: str, timeout_s: float
    ) -> NewestPage:
        """Read a page of the newest record of each key, see ``Store``."""
        query = {"topic": partition.topic, "part": partition.number}
        if after_key:
            # In this call "depends_on" is the key after which the page begins.
            query["depends_on"] = after_key
        response = await self._call(f"/log-newest?{urlencode(query)}", timeout_s=timeout_s)
        page = self._decode(response, _WireNewest)
        records = tuple(filter(None, map(decode_item, page.items)))
        if page.has_more and not records:
            raise StoreNoAnswerError("a page that is not the last has no readable record")
        if page.has_more and records[-1].key == after_key:
            raise StoreNoAnswerError("a page that is not the last repeats the one before")
        next_key = records[-1].key if page.has_more else ""
        return NewestPage(records, page.end, next_key, len(page.items) - len(records))

    async def join(
        self, group: str, member: str, topics: Sequence[str], ttl_ms: int, generation: int
    ) -> Membership:
        """Join a group, or renew the membership."""
        body = {
            "group": group,
            "member": member,
            "topics": list(topics),
            "ttl_ms": ttl_ms,
            "generation": generation,
        }
        response = await self._call("/log-join", msgspec.json.encode(body))
        return Membership(self._decode(response, _WireJoined).generation)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        body = msgspec.json.encode({"group": group, "member": member})
        await self._call("/log-leave", body)

    async def list_members(self, group: str) -> frozenset[str]:
        """List the members of a group that have a partition assigned."""
        response = await self._call(f"/log-owners?group={quote(group)}")
        found = self._decode(response, _WireOwners)
        # Columns of a row: topic, partition, member, committed offset.
        rows = found.parts or found.owners
        members = (row[MEMBER_COLUMN] for row in rows if len(row) > MEMBER_COLUMN)
        return frozenset(str(name) for name in members if name)

    def _decode(self, response: HTTPResponse, type_: type[T]) -> T:
        """Decode the body of a response; raise ``StoreNoAnswerError`` if it is malformed."""
        try:
            return decode(response.body, type_)
        except MalformedResponseError as error:
            self._metrics.count_event("input_malformed", "store")
            raise StoreNoAnswerError(str(error)) from error

    async def _call(
        self,
        path: str,
        body: bytes | None = None,
        wait_s: float = 0.0,
        timeout_s: float | None = None,
    ) -> HTTPResponse:
        kind = path.removeprefix("/log-").partition("?")[0]
        with timed_call(self._metrics.record_store_call, kind):
            return await self._call_once(path, body, wait_s, timeout_s)

    async def _call_once(
        self, path: str, body: bytes | None, wait_s: float, timeout_s: float | None
    ) -> HTTPResponse:
        sent_at_s = time.monotonic()
        try:
            response = await call(
                self._client,
                self._base + path,
                timeout_s=(timeout_s or self._timeout.seconds) + wait_s,
                body=body,
                headers=JSON_HEADERS if body is not None else None,
            )
        except CallUnsentError as error:
            # The connection may only have taken longer than the timeout.
            self._timeout.record_loss()
            raise StoreRefusedError(f"the store cannot be reached: {error}") from error
        except CallLostError as error:
            self._timeout.record_loss()
            raise StoreNoAnswerError(str(error)) from error
        if not wait_s and timeout_s is None:
            self._timeout.record_response(time.monotonic() - sent_at_s)
        if response.code != 200:
            raise _make_error(response)
        return response


def _make_error(response: HTTPResponse) -> StoreError:
    if response.code in REFUSED_STATUSES:
        return StoreRefusedError(f"the store responded with status {response.code}")
    try:
        problem = decode_json(response.body or b"{}", _WireProblem)
    except MalformedInputError:
        if response.code not in STATUSES_WITH_DETAILS:
            return _make_unexpected_error(response)
        return StoreNoAnswerError(
            f"the store responded with status {response.code} and a malformed body"
        )
    if response.code == 412:
        return StoreConditionError(problem.end)
    if response.code == 410:
        return HistoryGoneError(problem.first)
    if response.code == 409 and problem.reason == "fenced":
        return StoreFencedError("the store has seen a newer writer of the same name")
    if response.code == 409 and problem.reason == "seq":
        return StoreSequenceError(problem.sequence or problem.wanted or 0)
    return _make_unexpected_error(response)


def _make_unexpected_error(response: HTTPResponse) -> StoreError:
    """Return the error of a status that the store's interface does not name.

    A request that is rejected as such has changed nothing, whatever the reason.
    """
    message = f"unexpected status {response.code} of the store: {quote_bytes(response.body)}"
    is_rejected = 400 <= response.code < 500
    if is_rejected and response.code not in PASSING_STATUSES | STATUSES_WITH_DETAILS:
        return StoreRejectedError(message)
    return StoreNoAnswerError(message)
