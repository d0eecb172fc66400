"""Stand-in of the platform's metadata store in the form of a log (PROTOCOL.md).

It keeps the limits that the settings name: ``record_bytes``, ``call_bytes``, and 500 records or
1 MB a page of the newest records.  Where the page names no status for a call over a limit, it
answers 400 and does nothing.
"""

import asyncio
import base64
import enum
import json
import struct
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from review.standins.http_service import Answer, HttpService, Request, make_json_answer

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PARTS = 12
APPEND_S = 0.002
ANSWER_S = 0.004
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
ANSWERS_KEPT = 5
# Topics that are not the system's to write.
FOREIGN_TOPICS = ("keyed.servers",)


class StoreState(enum.Enum):
    """How the store answers: as usual, or as one that is down."""

    UP = "up"
    BUSY = "busy"
    SILENT = "silent"


@dataclass
class _Producer:
    epoch: int = -1
    last: int | None = None
    answers: dict[int, tuple[int, int]] = field(default_factory=dict)


class _Log:
    """One partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.producers: dict[str, _Producer] = defaultdict(_Producer)
        self.grown = asyncio.Event()
        self.turn = asyncio.Lock()

    def append(self, records: list[bytes], is_keyed: bool) -> tuple[int, int]:
        """Append records; return the offset of the first one and the end."""
        offset = len(self.records)
        for record in records:
            if is_keyed:
                key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
                if value:
                    self.newest[key] = (len(self.records), value)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        if records:
            self.grown.set()
            self.grown = asyncio.Event()
        return offset, len(self.records)


@dataclass
class _Member:
    topics: tuple[str, ...]
    until_s: float


class _Group:
    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, _Member] = {}
        self.holders: dict[tuple[str, int], str] = {}

    def join(self, member: str, topics: tuple[str, ...], ttl_s: float) -> None:
        """Add a member, or renew its membership."""
        known = self.members.get(member)
        self.members[member] = _Member(topics, _now_s() + ttl_s)
        if known is None or known.topics != topics:
            self.deal()

    def leave(self, member: str) -> None:
        """Remove a member."""
        if self.members.pop(member, None) is not None:
            self.deal()

    def expire(self) -> None:
        """Remove the members that have been silent for too long."""
        gone = [name for name, member in self.members.items() if member.until_s < _now_s()]
        for name in gone:
            del self.members[name]
        if gone:
            self.deal()

    def deal(self) -> None:
        """Deal the partitions of each topic out evenly among its members."""
        self.generation += 1
        self.holders = {}
        for topic in sorted({topic for member in self.members.values() for topic in member.topics}):
            names = sorted(name for name, member in self.members.items() if topic in member.topics)
            for part in range(PARTS):
                self.holders[topic, part] = names[part % len(names)]


class Store:
    """The store: partitions of topics, groups, and a state that a case sets."""

    def __init__(self) -> None:
        self.service = HttpService(self._handle)
        self.state = StoreState.UP
        self.rejected: list[str] = []
        self._logs: dict[tuple[str, int], _Log] = defaultdict(_Log)
        self._groups: dict[str, _Group] = defaultdict(_Group)

    async def start(self) -> None:
        """Listen on a free port."""
        await self.service.start()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record as the operator and the workers do; None removes the key."""
        name = key.encode()
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        self._logs[topic, 0].append([bytes([len(name)]) + name + body], is_keyed=True)

    def read_status(self, key: str) -> dict[str, Any] | None:
        """Return what the system has written under ``status/``."""
        found = self._logs["keyed.status", 0].newest.get(key.encode())
        return None if found is None else json.loads(found[1])

    async def _handle(self, request: Request) -> Answer:
        if self.state is StoreState.BUSY:
            return Answer(503)
        if self.state is StoreState.SILENT:
            return Answer(is_silent=True)
        await asyncio.sleep(ANSWER_S)
        kind = request.path.removeprefix("/log-")
        answer = await getattr(self, f"_{kind}")(request)
        if self.state is StoreState.SILENT:
            return Answer(is_silent=True)
        return answer

    async def _append(self, request: Request) -> Answer:
        query = request.query
        topic, part = query["topic"], int(query["part"])
        if topic in FOREIGN_TOPICS:
            return Answer(403)
        records = _split_records(request.body)
        largest = max((len(record) for record in records), default=0)
        if largest > RECORD_BYTES or len(request.body) > CALL_BYTES:
            self.rejected.append(f"{topic}/{part}: a record of {largest} bytes")
            return make_json_answer(400, {"reason": "size"})
        log = self._logs[topic, part]
        async with log.turn:
            await asyncio.sleep(APPEND_S)
            return self._append_in_turn(log, query, records, topic.startswith("keyed."))

    def _append_in_turn(
        self, log: _Log, query: dict[str, str], records: list[bytes], is_keyed: bool
    ) -> Answer:
        if "store_revision" in query and int(query["store_revision"]) != len(log.records):
            return make_json_answer(412, {"end": len(log.records)})
        if "producer" not in query:
            return _name_offsets(*log.append(records, is_keyed))
        producer = log.producers[query["producer"]]
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < producer.epoch:
            return make_json_answer(409, {"reason": "fenced"})
        if epoch > producer.epoch:
            producer = log.producers[query["producer"]] = _Producer(epoch)
        if not records:
            return _name_offsets(len(log.records), len(log.records))
        if sequence in producer.answers:
            return _name_offsets(*producer.answers[sequence])
        if producer.last is not None and sequence != producer.last + 1:
            return make_json_answer(409, {"reason": "seq", "sequence": producer.last + 1})
        producer.last = sequence
        producer.answers[sequence] = log.append(records, is_keyed)
        producer.answers.pop(sequence - ANSWERS_KEPT, None)
        return _name_offsets(*producer.answers[sequence])

    async def _read(self, request: Request) -> Answer:
        query = request.query
        log = self._logs[query["topic"], int(query["part"])]
        start = int(query["from"])
        until_s = _now_s() + int(query.get("wait_ms", "0")) / 1000
        while len(log.records) <= start and _now_s() < until_s:
            try:
                await asyncio.wait_for(log.grown.wait(), until_s - _now_s())
            except TimeoutError:
                break
        body = [struct.pack(">QQ", len(log.records), 0)]
        left = int(query.get("max_kb", "1024")) * 1024
        for record in log.records[start:]:
            if left < len(record) and len(body) > 1:
                break
            left -= len(record) + 4
            body.append(struct.pack(">I", len(record)) + record)
        return Answer(body=b"".join(body))

    async def _newest(self, request: Request) -> Answer:
        query = request.query
        log = self._logs[query["topic"], int(query["part"])]
        after = query.get("depends_on", "").encode()
        items: list[dict[str, Any]] = []
        size = 0
        keys = sorted(key for key in log.newest if key > after)
        for key in keys:
            offset, value = log.newest[key]
            if len(items) == PAGE_RECORDS or (items and size + len(value) > PAGE_BYTES):
                break
            size += len(value)
            encoded = base64.b64encode(value).decode()
            items.append({"tls_key": key.decode(), "value": encoded, "offset": offset})
        has_more = len(items) < len(keys)
        return make_json_answer(
            200, {"items": items, "has_more": has_more, "end": len(log.records)}
        )

    async def _trim(self, _request: Request) -> Answer:
        return make_json_answer(200, {})

    async def _join(self, request: Request) -> Answer:
        body = request.read_json()
        group = self._get_group(body["group"])
        group.join(body["member"], tuple(body["topics"]), body["ttl_ms"] / 1000)
        parts = [
            [topic, part, 0]
            for (topic, part), holder in group.holders.items()
            if holder == body["member"]
        ]
        answer = {"generation": group.generation, "ttl_ms": body["ttl_ms"], "parts": parts}
        return make_json_answer(200, answer)

    async def _leave(self, request: Request) -> Answer:
        body = request.read_json()
        self._get_group(body["group"]).leave(body["member"])
        return make_json_answer(200, {})

    async def _commit(self, _request: Request) -> Answer:
        return make_json_answer(200, {})

    async def _owners(self, request: Request) -> Answer:
        group = self._get_group(request.query["group"])
        rows = [[topic, part, name, 0] for (topic, part), name in group.holders.items()]
        return make_json_answer(200, {"parts": rows})

    def _get_group(self, name: str) -> _Group:
        group = self._groups[name]
        group.expire()
        return group


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _name_offsets(offset: int, end: int) -> Answer:
    return make_json_answer(200, {"offset": offset, "end": end})


def _split_records(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
