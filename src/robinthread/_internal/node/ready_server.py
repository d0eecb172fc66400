"""Telling the balancer whether to send callers here."""

from collections.abc import Callable

from tornado.web import Application, RequestHandler


class ReadyHandler(RequestHandler):
    """Answers 200 where ready, 503 otherwise."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:  # type: ignore[override]
        """Take what tells."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer the balancer."""
        self.set_status(200 if self._is_ready() else 503)
        self.finish()


def make_ready_application(is_ready: Callable[[], bool]) -> Application:
    """Make the balancer's listener."""
    arguments = {"is_ready": is_ready}
    return Application([("/ready", ReadyHandler, arguments)], log_function=lambda handler: None)
