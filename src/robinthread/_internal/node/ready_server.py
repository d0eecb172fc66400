"""The readiness endpoint for the load balancer."""

from collections.abc import Callable

from tornado.web import Application, RequestHandler


class ReadyHandler(RequestHandler):
    """Responds with 200 if the node is ready, with 503 otherwise."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:  # type: ignore[override]
        """Set the function that checks the readiness."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Respond with the readiness status."""
        self.set_status(200 if self._is_ready() else 503)
        self.finish()


def make_ready_application(is_ready: Callable[[], bool]) -> Application:
    """Return the application that serves ``/ready``."""
    arguments = {"is_ready": is_ready}
    return Application([("/ready", ReadyHandler, arguments)], log_function=lambda handler: None)
