"""HTTP listener for operator calls."""

from tornado.web import Application, RequestHandler

from robinthread._internal.daemon.daemon import Daemon

SERVICE = "robinthread.v1.Operators"


class _OperatorHandler(RequestHandler):
    def initialize(self, daemon: Daemon, token: str) -> None:  # type: ignore[override]
        self._daemon = daemon
        self._token = token

    async def post(self, method: str) -> None:
        # Imported on the first call: the protocol buffer modules take 4 MB of memory, and most
        # daemons never receive an operator call.
        from robinthread._internal.operators.handler import OperatorCall

        await OperatorCall(self, self._daemon, self._token).handle(method)


def make_operator_application(daemon: Daemon, token: str) -> Application:
    """Return the listener's application; an empty ``token`` turns authentication off."""
    return Application(
        [(rf"/{SERVICE}/(\w+)", _OperatorHandler, {"daemon": daemon, "token": token})],
        log_function=lambda handler: None,
    )
