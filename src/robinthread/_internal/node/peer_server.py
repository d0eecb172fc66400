"""The HTTP server for requests from other nodes."""

import msgspec
from tornado.web import Application, RequestHandler

from robinthread._internal.node.peer_messages import REQUEST_PATHS
from robinthread._internal.node.peer_request_handler import PeerRequestHandler
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.foreign_input import MalformedInputError, decode_msgpack


class PeerHttpHandler(RequestHandler):
    """Serves one type of peer request."""

    def initialize(  # type: ignore[override]
        self,
        request_handler: PeerRequestHandler,
        request_type: type[msgspec.Struct],
        events: EventLog | None,
    ) -> None:
        """Set the request handler and the type of request."""
        self._request_handler = request_handler
        self._events = events
        self._request_type = request_type

    async def post(self) -> None:
        """Serve a request; respond with 400 if its body cannot be decoded."""
        try:
            message = decode_msgpack(self.request.body, self._request_type)
        except MalformedInputError as error:
            self._tell(error)
            self.set_status(400)
            self.finish()
            return
        self.finish(msgspec.msgpack.encode(await self._request_handler.handle(message)))

    def _tell(self, error: MalformedInputError) -> None:
        if self._events is not None:
            self._events.gather(
                "input_malformed",
                by={"outcome": "peers", "call": self.request.path},
                listed={"peers": str(self.request.remote_ip)},
                error_type=error.cause_name,
                error=str(error),
            )


def make_peer_application(
    request_handler: PeerRequestHandler, events: EventLog | None = None
) -> Application:
    """Return the application that serves requests from other nodes."""
    return Application(
        [
            (
                path,
                PeerHttpHandler,
                {
                    "request_handler": request_handler,
                    "request_type": request_type,
                    "events": events,
                },
            )
            for request_type, path in REQUEST_PATHS.items()
        ],
        log_function=lambda handler: None,
    )
