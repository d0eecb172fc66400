"""HTTP calls, whose errors show whether the request may have been sent."""

from dataclasses import dataclass, field
from typing import Final, TypeVar
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from robinthread._internal.utils.fetcher import REFUSED_CODE, Fetcher
from robinthread._internal.utils.foreign_input import MalformedInputError, decode_json
from robinthread._internal.utils.keep_alive_connections import ConnectionUse, KeepAliveConnections

JSON_HEADERS: Final = {"Content-Type": "application/json"}
# Maximum time to connect.  A lost SYN is sent again after a second, and every peer is within a
# few milliseconds.
CONNECT_TIMEOUT_S: Final = 1.0

T = TypeVar("T")


class CallUnsentError(Exception):
    """The connection could not be established, so no byte of the request was sent."""


class NobodyListensError(CallUnsentError):
    """The connection was refused: no process listens at the address."""


class CallLostError(Exception):
    """At least part of the request was sent, and no complete response was received."""


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
    ``NobodyListensError``, or ``CallLostError``.  The connection of a lost call is not reused;
    if it was a keep-alive connection, neither are the others open to that address at that time.
    """
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
    try:
        response = await client.fetcher.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        if not use.sent_count:
            if isinstance(error, CurlError) and error.errno == REFUSED_CODE:
                raise NobodyListensError(str(error)) from error
            raise CallUnsentError(str(error)) from error
        use.record_loss()
        if isinstance(error, CurlError) and error.errno == pycurl.E_OPERATION_TIMEDOUT:
            raise CallTimedOutError(str(error)) from error
        raise CallLostError(str(error)) from error
    if use.sent_count > 1 and response.code != 200:
        # The status of the repeated request does not show whether the first one was processed.
        raise CallLostError(f"HTTP status {response.code} for a request that was sent again")
    return response


def decode(body: bytes, type_: type[T]) -> T:
    """Decode a JSON response body; raise ``MalformedResponseError`` if it is malformed."""
    try:
        return decode_json(body, type_)
    except MalformedInputError as error:
        raise MalformedResponseError(f"malformed response: {error}") from error
