"""Asking other nodes over HTTP."""

from typing import Final, TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient

from robinthread._internal.node.peer_calls import PeerUnreachableError
from robinthread._internal.utils.http_call import CallLostError, CallUnsentError, call

# A peer answers from memory within some milliseconds; one that runs five times
# slower needs some 50.
ASK_TIMEOUT_S: Final = 0.4

T = TypeVar("T")


class PeerClient:
    """Asks nodes over HTTP."""

    def __init__(self, client: AsyncHTTPClient) -> None:
        self._client = client

    async def ask(
        self, address: str, path: str, question: msgspec.Struct, answer_type: type[T]
    ) -> T:
        """Ask a node; raise ``PeerUnreachableError``."""
        try:
            response = await call(
                self._client,
                f"http://{address}{path}",
                timeout_s=ASK_TIMEOUT_S,
                body=msgspec.msgpack.encode(question),
            )
            if response.code != 200:
                raise PeerUnreachableError(f"status {response.code}")
            return msgspec.msgpack.decode(response.body, type=answer_type)
        except (CallUnsentError, CallLostError, msgspec.MsgspecError) as error:
            raise PeerUnreachableError(str(error)) from error
