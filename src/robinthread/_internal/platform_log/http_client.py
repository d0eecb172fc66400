"""HTTP client of the platform's log; see docs/interfaces/log.md for the protocol."""

import base64
from typing import TypeVar
from urllib.parse import quote

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from robinthread._internal.platform_log.errors import LogReplyLostError, LogUnavailableError
from robinthread._internal.platform_log.page import LogPage, LogRecord
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.utils.foreign_input import MalformedInputError, decode_json, shorten
from robinthread._internal.utils.http_errors import was_never_sent

HTTP_NO_REPLY = 599


class _WireRecord(msgspec.Struct):
    offset: int
    data: str


class _WirePage(msgspec.Struct):
    records: list[_WireRecord]
    first_offset: int
    next_offset: int


class _WireOffset(msgspec.Struct):
    offset: int


T = TypeVar("T")


def make_http_log(client: AsyncHTTPClient, base_url: str, timeout_s: float) -> LogService:
    """Return a log service that calls ``base_url``.

    An append times out after ``timeout_s``, a read after ``timeout_s`` plus its ``wait_s``.
    """

    async def append(stream: str, data: bytes) -> int:
        url = f"{base_url}/v1/streams/{quote(stream)}/records"
        request = HTTPRequest(url, method="POST", body=data, request_timeout=timeout_s)
        return _decode(await _fetch(client, request), _WireOffset).offset

    async def read(stream: str, from_offset: int, max_records: int, wait_s: float) -> LogPage:
        url = (
            f"{base_url}/v1/streams/{quote(stream)}/records"
            f"?from={from_offset}&max={max_records}&wait_s={wait_s:.3f}"
        )
        request = HTTPRequest(url, request_timeout=timeout_s + wait_s)
        return _parse_page(_decode(await _fetch(client, request), _WirePage))

    return LogService(append, read)


def _decode(body: bytes, type_: type[T]) -> T:
    try:
        return decode_json(body, type_)
    except MalformedInputError as error:
        raise LogReplyLostError(f"malformed reply: {error}") from error


def _parse_page(page: _WirePage) -> LogPage:
    try:
        records = tuple(
            LogRecord(record.offset, base64.b64decode(record.data)) for record in page.records
        )
    except ValueError as error:
        raise LogReplyLostError(f"malformed page: {shorten(str(error))}") from error
    return LogPage(records, page.first_offset, page.next_offset)


async def _fetch(client: AsyncHTTPClient, request: HTTPRequest) -> bytes:
    try:
        response = await client.fetch(request)
    except HTTPClientError as error:
        if error.code == HTTP_NO_REPLY and not was_never_sent(error):
            raise LogReplyLostError(str(error)) from error
        raise LogUnavailableError(str(error)) from error
    except OSError as error:
        raise LogReplyLostError(str(error)) from error
    return response.body
