"""Answering other nodes over HTTP."""

import msgspec
from tornado.web import Application, RequestHandler

from robinthread._internal.node.peer_answers import PeerAnswers
from robinthread._internal.node.peer_messages import QUESTION_PATHS


class QuestionHandler(RequestHandler):
    """Answers questions of one kind."""

    def initialize(  # type: ignore[override]
        self, answers: PeerAnswers, question_type: type[msgspec.Struct]
    ) -> None:
        """Take what answers, and the kind of question."""
        self._answers = answers
        self._question_type = question_type

    async def post(self) -> None:
        """Answer one question."""
        try:
            question = msgspec.msgpack.decode(self.request.body, type=self._question_type)
        except msgspec.MsgspecError:
            self.set_status(400)
            self.finish()
            return
        self.finish(msgspec.msgpack.encode(await self._answers.answer(question)))


def make_peer_application(answers: PeerAnswers) -> Application:
    """Make the listener for other nodes."""
    return Application(
        [
            (path, QuestionHandler, {"answers": answers, "question_type": question_type})
            for question_type, path in QUESTION_PATHS.items()
        ],
        log_function=lambda handler: None,
    )
