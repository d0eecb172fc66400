"""One HTTP call, and what is known of it where it fails."""

from dataclasses import dataclass, field
from typing import Final, TypeVar
from urllib.parse import urlsplit

import msgspec
import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from robinthread._internal.utils.fetcher import REFUSED_CODE, Fetcher
from robinthread._internal.utils.keep_alive_connections import ConnectionUse, KeepAliveConnections

JSON_HEADERS: Final = {"Content-Type": "application/json"}
# Longest wait for a connection.  A lost SYN is sent again after a second; every
# peer of ours is within some milliseconds.
CONNECT_TIMEOUT_S: Final = 1.0

T = TypeVar("T")


class CallUnsentError(Exception):
    """The connection could not be made, so nothing was sent."""


class NobodyListensError(CallUnsentError):
    """The connection was refused: no process listens at the address."""


class CallLostError(Exception):
    """The request was sent, at least in part, and no whole answer came."""


class CallTimedOutError(CallLostError):
    """The time for the call was over; its connection had not broken."""


@dataclass(frozen=True)
class HttpClient:
    """An HTTP client, and what it knows of the connections that it keeps open."""

    fetcher: AsyncHTTPClient
    keep_alive: KeepAliveConnections = field(default_factory=KeepAliveConnections)


def make_client(connections_max: int) -> HttpClient:
    """Make an HTTP client that keeps up to ``connections_max`` connections open."""
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
    """Make one call: POST where there is a body, else GET.

    Returns the answer whatever its status.  Raises ``CallUnsentError``, of which
    ``NobodyListensError`` is one, or ``CallLostError``; the connection of a lost call is
    not used again, and if it was a kept one, none that was open to that address then.
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
        # A refusal of the repeat says nothing of the first one, which may have been read.
        raise CallLostError(f"status {response.code} to a request that was sent twice")
    return response


def decode(body: bytes, type_: type[T]) -> T:
    """Decode an answer's body; raise ``CallLostError`` where it is malformed."""
    try:
        return msgspec.json.decode(body, type=type_)
    except msgspec.MsgspecError as error:
        raise CallLostError(f"malformed answer: {error}") from error
