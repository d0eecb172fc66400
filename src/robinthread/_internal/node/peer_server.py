"""The HTTP server for requests from other nodes."""

import msgspec
from tornado.web import Application, RequestHandler

from robinthread._internal.node.peer_messages import REQUEST_PATHS
from robinthread._internal.node.peer_request_handler import PeerRequestHandler
from robinthread._internal.utils.foreign_input import MalformedInputError, decode_msgpack


class PeerHttpHandler(RequestHandler):
    """Serves one type of peer request."""

    def initialize(  # type: ignore[override]
        self, request_handler: PeerRequestHandler, request_type: type[msgspec.Struct]
    ) -> None:
        """Set the request handler and the type of request."""
        self._request_handler = request_handler
        self._request_type = request_type

    async def post(self) -> None:
        """Serve a request; respond with 400 if its body cannot be decoded."""
        try:
            message = decode_msgpack(self.request.body, self._request_type)
        except MalformedInputError:
            self.set_status(400)
            self.finish()
            return
        self.finish(msgspec.msgpack.encode(await self._request_handler.handle(message)))


def make_peer_application(request_handler: PeerRequestHandler) -> Application:
    """Return the application that serves requests from other nodes."""
    return Application(
        [
            (
                path,
                PeerHttpHandler,
                {"request_handler": request_handler, "request_type": request_type},
            )
            for request_type, path in REQUEST_PATHS.items()
        ],
        log_function=lambda handler: None,
    )
