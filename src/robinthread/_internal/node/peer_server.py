"""Answering other nodes over HTTP."""

import msgspec
from tornado.web import Application, RequestHandler

from robinthread._internal.node.peer_messages import REQUEST_PATHS
from robinthread._internal.node.peer_request_handler import PeerRequestHandler


class PeerHttpHandler(RequestHandler):
    """Answers questions of one kind."""

    def initialize(  # type: ignore[override]
        self, request_handler: PeerRequestHandler, request_type: type[msgspec.Struct]
    ) -> None:
        """Take what answers, and the kind of question."""
        self._request_handler = request_handler
        self._request_type = request_type

    async def post(self) -> None:
        """Answer one question."""
        try:
            message = msgspec.msgpack.decode(self.request.body, type=self._request_type)
        except msgspec.MsgspecError:
            self.set_status(400)
            self.finish()
            return
        self.finish(msgspec.msgpack.encode(await self._request_handler.handle(message)))


def make_peer_application(request_handler: PeerRequestHandler) -> Application:
    """Make the listener for other nodes."""
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
