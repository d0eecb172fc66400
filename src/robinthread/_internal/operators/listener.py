"""The operators' listener."""

from tornado.web import Application, RequestHandler

from robinthread._internal.daemon.daemon import Daemon

SERVICE = "robinthread.v1.Operators"


class _OperatorHandler(RequestHandler):
    def initialize(self, daemon: Daemon, token: str) -> None:  # type: ignore[override]
        self._daemon = daemon
        self._token = token

    async def post(self, method: str) -> None:
        # Protocol buffers cost 4 MB, and most daemons never get an operators' call.
        from robinthread._internal.operators.handler import OperatorCall

        await OperatorCall(self, self._daemon, self._token).handle(method)


def make_operator_application(daemon: Daemon, token: str) -> Application:
    """Make the operators' listener; an empty ``token`` admits everybody."""
    return Application(
        [(rf"/{SERVICE}/(\w+)", _OperatorHandler, {"daemon": daemon, "token": token})],
        log_function=lambda handler: None,
    )
