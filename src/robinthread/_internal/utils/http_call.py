"""HTTP calls, whose errors show whether the request may have been sent."""

import asyncio
from dataclasses import dataclass, field
from typing import Final, TypeVar
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPInputError

from robinthread._internal.utils.fetcher import REFUSED_CODE, Fetcher
from robinthread._internal.utils.foreign_input import (
    MalformedInputError,
    decode_json,
    shorten,
)
from robinthread._internal.utils.keep_alive_connections import ConnectionUse, KeepAliveConnections

JSON_HEADERS: Final = {"Content-Type": "application/json"}
# Maximum time to connect.  A lost SYN is sent again after a second, and every peer is within a
# few milliseconds.
CONNECT_TIMEOUT_S: Final = 1.0
# Bounds of a call's timeout.  libcurl counts whole milliseconds, and takes 0 as no timeout.
TIMEOUT_MIN_S: Final = 0.001
TIMEOUT_MAX_S: Final = 600.0
# Time after its timeout, in which a call may wait for a free handle, until a call is given up of
# which the client reports no end.
NO_END_S: Final = 10.0

# What the client raises while it sets up a request; it never sends one that it rejects so.
UNSENDABLE_ERRORS: Final = (ValueError, TypeError, HTTPInputError, pycurl.error, OverflowError)

T = TypeVar("T")


class CallUnsentError(Exception):
    """The connection could not be established, so no byte of the request was sent."""


class NobodyListensError(CallUnsentError):
    """The connection was refused: no process listens at the address."""


class CallLostError(Exception):
    """At least part of the request was sent, and no complete response was received.

    ``connected_at_s`` is when the connections to the address had all been opened, by the steady
    clock in seconds; None if one was opened for the request, or that is not known.
    """

    def __init__(self, reason: str = "", connected_at_s: float | None = None) -> None:
        super().__init__(reason)
        self.connected_at_s = connected_at_s


class CallTimedOutError(CallLostError):
    """The call timed out while its connection was open."""


class MalformedResponseError(CallLostError):
    """The body of the response is not a value of the expected form and size."""


@dataclass(frozen=True)
class HttpClient:
    """An HTTP client and the state of its keep-alive connections."""

    fetcher: AsyncHTTPClient
    keep_alive: KeepAliveConnections = field(default_factory=KeepAliveConnections)


def make_client(connections_max: int) -> HttpClient:
    """Return an HTTP client with up to ``connections_max`` calls and open connections."""
    fetcher = Fetcher(force_instance=True, max_clients=connections_max)
    fetcher._multi.setopt(pycurl.M_MAXCONNECTS, connections_max)
    return HttpClient(fetcher)


async def call(
    client: HttpClient,
    url: str,
    *,
    timeout_s: float,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> HTTPResponse:
    """Make one call: POST if there is a body, else GET.

    Returns the response whatever its status.  Raises ``CallUnsentError``, whose subclass is
    ``NobodyListensError``, or ``CallLostError``; a URL or header that can't be sent is unsent.
    The connection of a lost call is not reused;
    if it was a keep-alive connection, neither are the others open to that address at that time.
    """
    # A timeout that isn't a number ends at once, like one that is over.
    timeout_s = min(max(TIMEOUT_MIN_S, timeout_s), TIMEOUT_MAX_S)
    try:
        use = ConnectionUse(client.keep_alive, urlsplit(url).netloc)
        request = HTTPRequest(
            url,
            method="GET" if body is None else "POST",
            headers=headers,
            body=body,
            request_timeout=timeout_s,
            connect_timeout=min(timeout_s, CONNECT_TIMEOUT_S),
            decompress_response=False,
            prepare_curl_callback=use.prepare,
        )
    except UNSENDABLE_ERRORS as error:
        raise _make_unsendable_error(error) from error
    try:
        response = await _fetch(client, request, timeout_s + NO_END_S)
    except UNSENDABLE_ERRORS as error:
        raise _make_unsendable_error(error) from error
    except (HTTPClientError, OSError) as error:
        if not use.sent_count:
            if isinstance(error, CurlError) and error.errno == REFUSED_CODE:
                raise NobodyListensError(shorten(str(error))) from error
            raise CallUnsentError(shorten(str(error))) from error
        use.record_loss()
        if isinstance(error, CurlError) and error.errno == pycurl.E_OPERATION_TIMEDOUT:
            raise CallTimedOutError(str(error), use.connected_at_s) from error
        raise CallLostError(str(error), use.connected_at_s) from error
    if use.sent_count > 1 and response.code != 200:
        # The status of the repeated request does not show whether the first one was processed.
        raise CallLostError(f"HTTP status {response.code} for a request that was sent again")
    return response


async def _fetch(client: HttpClient, request: HTTPRequest, bound_s: float) -> HTTPResponse:
    """Return the response; raise ``CallLostError`` if the client reports no end in time."""
    future = asyncio.ensure_future(client.fetcher.fetch(request, raise_error=False))
    timer = asyncio.get_running_loop().call_later(bound_s, future.cancel)
    try:
        return await future
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        # The request may be waiting for a handle still, and be sent later.
        raise CallLostError("the client has reported no end of the call") from error
    finally:
        timer.cancel()


def _make_unsendable_error(error: Exception) -> CallUnsentError:
    return CallUnsentError(f"{type(error).__name__}: {shorten(str(error))}")


def decode(body: bytes, type_: type[T]) -> T:
    """Decode a JSON response body; raise ``MalformedResponseError`` if it is malformed."""
    try:
        return decode_json(body, type_)
    except MalformedInputError as error:
        raise MalformedResponseError(f"malformed response: {error}") from error
