"""HTTP server for the store's stand-in, with the interface that a node's process calls."""

import asyncio
import base64
import struct
from typing import Any, Final

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from robinthread._internal.durable.errors import (
    HistoryGoneError,
    StoreConditionError,
    StoreFencedError,
    StoreNoAnswerError,
    StoreRefusedError,
    StoreRejectedError,
    StoreSequenceError,
)
from robinthread._internal.durable.store import KeyedRecord, Partition, WriterStamp
from robinthread._internal.standins.store_standin import StoreClient, StoreStandin

CALLER: Final = "node"
# Longer than the timeout of any caller.
NO_ANSWER_S: Final = 60.0


class StoreHandler(RequestHandler):
    """Carries out a call on the stand-in; does not respond if the stand-in does not."""

    def initialize(self, client: StoreClient) -> None:  # type: ignore[override]
        self._client = client

    async def get(self, kind: str) -> None:
        await self._answer(kind)

    async def post(self, kind: str) -> None:
        await self._answer(kind)

    async def _answer(self, kind: str) -> None:
        try:
            self.finish(await getattr(self, f"_{kind}")())
        except StoreRefusedError:
            self.set_status(503)
        except StoreRejectedError:
            self.set_status(413)
        except StoreConditionError as error:
            self.set_status(412)
            self.finish({"end": error.end})
        except StoreFencedError:
            self.set_status(409)
            self.finish({"reason": "fenced"})
        except StoreSequenceError as error:
            self.set_status(409)
            self.finish({"reason": "seq", "wanted": error.wanted})
        except HistoryGoneError as error:
            self.set_status(410)
            self.finish({"first": error.first})
        except StoreNoAnswerError:
            await asyncio.sleep(NO_ANSWER_S)

    async def _append(self) -> dict[str, Any]:
        end = self.get_query_argument("store_revision", None)
        name = self.get_query_argument("producer", None)
        numbers = [int(self.get_query_argument(key, "0")) for key in ("epoch", "sequence")]
        stamp = None if name is None else WriterStamp(name, *numbers)
        records = parse_records(self.request.body)
        done = await self._client.append(
            self._partition,
            records,
            expected_end=None if end is None else int(end),
            stamp=stamp,
        )
        return {"offset": done.offset, "end": done.end}

    async def _read(self) -> bytes:
        wait_s = int(self.get_query_argument("wait_ms")) / 1000
        from_offset = int(self.get_query_argument("from"))
        page = await self._client.read(self._partition, from_offset, wait_s)
        return struct.pack(">QQ", page.end, 0) + b"".join(map(_encode_record, page.records))

    async def _newest(self) -> dict[str, Any]:
        after_key = self.get_query_argument("depends_on", "")
        page = await self._client.read_newest(self._partition, after_key, NO_ANSWER_S)
        items = [
            {
                "tls_key": record.key,
                "offset": record.offset,
                "value": base64.b64encode(record.value or b"").decode(),
            }
            for record in page.records
        ]
        return {"items": items, "end": page.next_offset, "has_more": bool(page.next_key)}

    async def _join(self) -> dict[str, Any]:
        wire = msgspec.json.decode(self.request.body)
        arguments = [wire[key] for key in ("group", "member", "topics", "ttl_ms", "generation")]
        return {"generation": (await self._client.join(*arguments)).generation}

    async def _leave(self) -> dict[str, Any]:
        wire = msgspec.json.decode(self.request.body)
        await self._client.leave(wire["group"], wire["member"])
        return {}

    async def _owners(self) -> dict[str, Any]:
        members = await self._client.list_members(self.get_query_argument("group"))
        return {"parts": [["members", number, name, 0] for number, name in enumerate(members)]}

    @property
    def _partition(self) -> Partition:
        return Partition(self.get_query_argument("topic"), int(self.get_query_argument("part")))


def serve_store(store: StoreStandin) -> tuple[HTTPServer, str]:
    """Serve a stand-in on an ephemeral port; return the server and its address."""
    arguments = {"client": store.connect(CALLER)}
    application = Application(
        [(r"/log-(\w+)", StoreHandler, arguments)], log_function=lambda handler: None
    )
    server = HTTPServer(application)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return server, f"127.0.0.1:{sockets[0].getsockname()[1]}"


def parse_records(body: bytes) -> list[KeyedRecord]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        value_at = position + 5 + body[position + 4]
        value = body[value_at : position + 4 + length]
        records.append(KeyedRecord(body[position + 5 : value_at].decode(), value or None))
        position += 4 + length
    return records


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    body = bytes([len(key)]) + key + (record.value or b"")
    return struct.pack(">I", len(body)) + body
