"""HTTP client for workers; see docs/interfaces/worker.md for the protocol."""

import base64
from typing import TypeVar

import msgspec
import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPInputError

from robinthread._internal.upstream.control import ControlCall, ControlReply
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.upstream.reply import ReplyStatus, WorkerReply
from robinthread._internal.upstream.report import WorkerReport
from robinthread._internal.upstream.service import UpstreamService
from robinthread._internal.upstream.task import Task
from robinthread._internal.utils.foreign_input import MalformedInputError, decode_json, shorten
from robinthread._internal.utils.http_errors import was_never_sent

HEADER_KEY = "Task-Key"
HEADER_POOL = "Task-Pool"
HEADER_TOKEN = "Task-Token"
HEADER_CHECKPOINT = "Task-Checkpoint"
HEADER_STATUS = "Task-Status"
HEADER_ID = "Task-Id"
HEADER_LENGTH = "Task-Length"
HEADER_DIGEST = "Task-Digest"

T = TypeVar("T")


def make_http_upstream(client: AsyncHTTPClient, call_timeout_s: float) -> UpstreamService:
    """Return the calls to workers; control and report calls time out after ``call_timeout_s``."""

    async def run(address: str, task: Task, timeout_s: float) -> WorkerReply:
        headers = {
            HEADER_KEY: task.key,
            HEADER_POOL: task.pool,
            HEADER_TOKEN: str(task.token),
        }
        if task.checkpoint:
            headers[HEADER_CHECKPOINT] = base64.b64encode(task.checkpoint).decode()
        url = f"http://{address}/v1/tasks/{task.id}"
        request = HTTPRequest(
            url,
            method="POST",
            headers=headers,
            body=task.body,
            request_timeout=timeout_s,
            prepare_curl_callback=_forbid_reuse,
        )
        return _parse_reply(await _fetch(client, request))

    async def control(address: str, call: ControlCall) -> ControlReply:
        url = f"http://{address}/v1/control"
        body = msgspec.json.encode(call)
        request = HTTPRequest(url, method="POST", body=body, request_timeout=call_timeout_s)
        return _decode((await _fetch(client, request)).body, ControlReply)

    async def report(address: str) -> WorkerReport:
        request = HTTPRequest(f"http://{address}/v1/report", request_timeout=call_timeout_s)
        return _decode((await _fetch(client, request)).body, WorkerReport)

    return UpstreamService(run, control, report)


def _forbid_reuse(curl: pycurl.Curl) -> None:
    """Close the connection after the request instead of reusing it.

    A worker's connection limit is shared by all daemons.  Idle connections kept by each
    daemon would count against it; without them, there is one connection per lease in use.
    """
    curl.setopt(pycurl.FORBID_REUSE, 1)


async def _fetch(client: AsyncHTTPClient, request: HTTPRequest) -> HTTPResponse:
    try:
        return await client.fetch(request)
    except HTTPClientError as error:
        if was_never_sent(error):
            raise UpstreamUnsentError(str(error)) from error
        raise UpstreamLostError(str(error)) from error
    except OSError as error:
        raise UpstreamLostError(str(error)) from error
    except (ValueError, TypeError, HTTPInputError, pycurl.error) as error:
        # The client has rejected the URL or a header.
        raise UpstreamUnsentError(f"{type(error).__name__}: {shorten(str(error))}") from error


def _parse_reply(response: HTTPResponse) -> WorkerReply:
    headers = response.headers
    try:
        return WorkerReply(
            ReplyStatus(headers[HEADER_STATUS]),
            headers[HEADER_ID],
            response.body,
            int(headers[HEADER_LENGTH]),
            headers[HEADER_DIGEST],
        )
    except (KeyError, ValueError) as error:
        raise UpstreamLostError(f"malformed task reply: {shorten(str(error))}") from error


def _decode(body: bytes, type_: type[T]) -> T:
    try:
        return decode_json(body, type_)
    except MalformedInputError as error:
        raise UpstreamLostError(f"malformed {type_.__name__}: {error}") from error
