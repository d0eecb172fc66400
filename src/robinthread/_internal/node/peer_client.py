"""Requests to other nodes over HTTP."""

from typing import TypeVar

import msgspec

from robinthread._internal.node.peer_calls import (
    REQUEST_TIMEOUT_S,
    PeerUnreachableError,
    PeerUnsentError,
)
from robinthread._internal.node.peer_messages import REQUEST_PATHS
from robinthread._internal.utils.foreign_input import (
    MalformedInputError,
    decode_msgpack,
    shorten,
)
from robinthread._internal.utils.http_call import CallLostError, CallUnsentError, HttpClient, call

T = TypeVar("T")


class PeerClient:
    """Sends requests to nodes over HTTP, encoded as MessagePack."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def send_request(
        self,
        address: str,
        request: msgspec.Struct,
        response_type: type[T],
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> T:
        """Return a node's response; raise ``PeerUnreachableError`` if there is none."""
        try:
            response = await call(
                self._client,
                f"http://{address}{REQUEST_PATHS[type(request)]}",
                timeout_s=timeout_s,
                body=msgspec.msgpack.encode(request),
            )
            if response.code != 200:
                raise PeerUnreachableError(f"peer responded with HTTP status {response.code}")
            return decode_msgpack(response.body, response_type)
        except CallUnsentError as error:
            raise PeerUnsentError(str(error)) from error
        except MalformedInputError as error:
            path = REQUEST_PATHS[type(request)]
            raise PeerUnreachableError(
                f"malformed answer of {shorten(address)} to {path}: {error.cause_name}: {error}"
            ) from error
        except CallLostError as error:
            raise PeerUnreachableError(str(error)) from error
