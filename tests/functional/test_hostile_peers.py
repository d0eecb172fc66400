"""Hostile requests of peers, through the listener for peers: 400, and nothing reaches the node.

Guards against an uncaught exception for each, and against a request that the node doesn't bear.
"""

import asyncio
from typing import Any, cast

import msgspec
from testtools import TestCase
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from robinthread._internal.fleet.pool_report import FleetReportRequest
from robinthread._internal.node.peer_messages import (
    REQUEST_PATHS,
    OwnerStoppedRequest,
    RelayRequest,
    StoreStatusResponse,
    TakeoverRequest,
)
from robinthread._internal.node.peer_request_handler import PeerRequestHandler
from robinthread._internal.node.peer_server import make_peer_application
from tests.lib.hostile import list_packed

REQUESTS = (
    FleetReportRequest("p", ("m-1",), False, ("i-1",)),
    OwnerStoppedRequest("p", 3),
    RelayRequest("k", b"v", 1.5, 0.5),
    TakeoverRequest({"p": 3}),
)
# Unix seconds, tokens and time-outs are far below.
BEARABLE_MAX = 2**53


class RecordingHandler:
    """Records the requests that reach the node."""

    def __init__(self) -> None:
        self.requests: list[msgspec.Struct] = []

    async def handle(self, request: msgspec.Struct) -> msgspec.Struct:
        """Record a request."""
        self.requests.append(request)
        return StoreStatusResponse(True, 1)


def list_numbers(value: Any) -> list[float]:
    """Return all numbers within a message."""
    plain = msgspec.to_builtins(value)
    if isinstance(plain, int | float):
        return [plain]
    inner = plain.values() if isinstance(plain, dict) else plain
    return [] if isinstance(plain, str) else [n for item in inner or () for n in list_numbers(item)]


class HostilePeersTest(TestCase):
    def test_any_request_may_be_hostile(self) -> None:
        wrong = {}

        async def play() -> None:
            handler = RecordingHandler()
            application = make_peer_application(cast(PeerRequestHandler, handler))
            server = HTTPServer(application)
            socket, port = bind_unused_port()
            server.add_sockets([socket])
            for request in REQUESTS:
                url = f"http://127.0.0.1:{port}{REQUEST_PATHS[type(request)]}"
                plain = msgspec.msgpack.decode(msgspec.msgpack.encode(request))
                if isinstance(request, RelayRequest):
                    plain[1] = "v"
                for body in list_packed(plain):
                    response = await AsyncHTTPClient().fetch(
                        url, method="POST", body=body, raise_error=False
                    )
                    numbers = [n for found in handler.requests for n in list_numbers(found)]
                    handler.requests.clear()
                    is_borne = all(abs(number) <= BEARABLE_MAX for number in numbers)
                    if response.code not in (200, 400) or not is_borne:
                        wrong[body[:60], len(body)] = response.code
            server.stop()

        asyncio.run(play())
        self.assertEqual({}, wrong)
