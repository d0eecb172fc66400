"""Answering other nodes."""

import msgspec
from tornado.web import Application, RequestHandler

from robinthread._internal.fleet.pool_report import FleetQuestion
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_messages import JobQuestion, PendingQuestion


class JobQuestionHandler(RequestHandler):
    """Answers what a pool's owner knows of a job."""

    def initialize(self, owned: OwnedPools) -> None:  # type: ignore[override]
        """Take the pools owned here."""
        self._owned = owned

    async def post(self) -> None:
        """Answer one question."""
        question = msgspec.msgpack.decode(self.request.body, type=JobQuestion)
        self.finish(msgspec.msgpack.encode(await self._owned.answer_job(question)))


class PendingQuestionHandler(RequestHandler):
    """Answers how many jobs of a pool are pending."""

    def initialize(self, owned: OwnedPools) -> None:  # type: ignore[override]
        """Take the pools owned here."""
        self._owned = owned

    async def post(self) -> None:
        """Answer one question."""
        question = msgspec.msgpack.decode(self.request.body, type=PendingQuestion)
        self.finish(msgspec.msgpack.encode(self._owned.answer_pending(question)))


class FleetQuestionHandler(RequestHandler):
    """Answers how a pool stands."""

    def initialize(self, owned: OwnedPools) -> None:  # type: ignore[override]
        """Take the pools owned here."""
        self._owned = owned

    async def post(self) -> None:
        """Answer one question."""
        question = msgspec.msgpack.decode(self.request.body, type=FleetQuestion)
        self.finish(msgspec.msgpack.encode(self._owned.answer_fleet(question)))


def make_peer_application(owned: OwnedPools) -> Application:
    """Make the listener for other nodes."""
    arguments = {"owned": owned}
    return Application(
        [
            ("/job", JobQuestionHandler, arguments),
            ("/pending", PendingQuestionHandler, arguments),
            ("/fleet", FleetQuestionHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
