"""HTTP handlers of callers' requests; see docs/interfaces/callers.md."""

import re
from typing import Final

from tornado.web import Application, RequestHandler

from robinthread._internal.claims.claim import make_key
from robinthread._internal.daemon.daemon import Daemon
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.models.urgency import Urgency
from robinthread._internal.results import MEANINGS, Family, FaultError, ResultCode, make_fault
from robinthread._internal.upstream.reply import make_body_digest

HEADER_CALLER: Final = "Caller-Id"
HEADER_REQUEST: Final = "Request-Id"
HEADER_TEAM: Final = "Team"
HEADER_URGENCY: Final = "Urgency"
# A whole number from 1, whose digits are bounded.
TRY_NUMBER: Final = re.compile("[1-9][0-9]{0,8}", re.ASCII)
HEADER_DEADLINE: Final = "Deadline-At-S"
HEADER_REPEAT: Final = "May-Repeat"
HEADER_TRY: Final = "Try-Number"
ID_MAX: Final = 200

FAMILY_STATUS: Final = {
    Family.SUCCESS: 200,
    Family.RAN: 200,
    Family.DID_NOT_RUN: 503,
    Family.OUTCOME_UNKNOWN: 502,
    Family.INVALID: 400,
    Family.VOID: 409,
    Family.INTERNAL: 500,
}
CODE_STATUS: Final = {
    ResultCode.RAN_FAILED: 422,
    ResultCode.NO_SUCH_POOL: 404,
    ResultCode.QUOTA_EXCEEDED: 429,
    ResultCode.BODY_DIFFERS: 409,
    ResultCode.NOT_FOUND: 404,
    ResultCode.BODY_TOO_LARGE: 413,
}


class RequestsHandler(RequestHandler):
    """Serve or cancel a request and write its final answer."""

    def initialize(self, daemon: Daemon) -> None:  # type: ignore[override]
        """Set the daemon whose services the handler uses."""
        self._daemon = daemon

    async def post(self, pool: str) -> None:
        """Execute a request in ``pool``."""
        try:
            request = self._parse(pool)
        except FaultError as error:
            self._daemon.counters.add("requests_malformed")
            self._write(CallerAnswer(error.fault.code, error.fault.message.encode()), is_text=True)
            return
        self._write(await self._daemon.entry.serve(request))

    async def delete(self, pool: str) -> None:
        """Cancel the request identified by the caller and request id headers."""
        headers = self.request.headers
        key = make_key(headers.get(HEADER_CALLER, ""), headers.get(HEADER_REQUEST, ""))
        self._write(CallerAnswer(await self._daemon.entry.cancel(key)))

    def _parse(self, pool: str) -> CallerRequest:
        if len(self.request.body) > self._daemon.settings.entry.body_max_bytes:
            raise FaultError(make_fault(ResultCode.BODY_TOO_LARGE))
        is_repeatable = {"yes": True, "no": False}.get(
            self.request.headers.get(HEADER_REPEAT, "no")
        )
        if is_repeatable is None:
            raise _make_header_error(HEADER_REPEAT, "yes or no")
        return CallerRequest(
            self._get_id(HEADER_CALLER),
            self._get_id(HEADER_REQUEST),
            pool,
            self.request.headers.get(HEADER_TEAM, ""),
            self._get_urgency(),
            self._get_deadline(is_repeatable),
            is_repeatable,
            self.request.body,
            self._get_try_number(),
        )

    def _get_id(self, header: str) -> str:
        value = self.request.headers.get(header, "")
        if not 0 < len(value) <= ID_MAX:
            raise _make_header_error(header, f"1 to {ID_MAX} characters")
        return value

    def _get_urgency(self) -> Urgency:
        name = self.request.headers.get(HEADER_URGENCY, "normal")
        try:
            return Urgency[name.upper()]
        except KeyError:
            names = ", ".join(urgency.name.lower() for urgency in Urgency)
            raise _make_header_error(HEADER_URGENCY, f"one of {names}") from None

    def _get_try_number(self) -> int:
        text = self.request.headers.get(HEADER_TRY, "1")
        if not TRY_NUMBER.fullmatch(text):
            raise _make_header_error(HEADER_TRY, "a whole number from 1")
        return int(text)

    def _get_deadline(self, is_repeatable: bool) -> float:
        text = self.request.headers.get(HEADER_DEADLINE, "")
        now_s = self._daemon.environment.wall_clock()
        if not text and is_repeatable:
            return now_s + self._daemon.settings.entry.default_timeout_s
        try:
            deadline_at_s = float(text)
        except ValueError:
            raise _make_header_error(HEADER_DEADLINE, "a Unix time in seconds") from None
        if not 0 < deadline_at_s < now_s + self._daemon.settings.claims.claim_horizon_s:
            raise _make_header_error(HEADER_DEADLINE, "a Unix time within the claim horizon")
        return deadline_at_s

    def _write(self, answer: CallerAnswer, is_text: bool = False) -> None:
        code = answer.code
        self.set_status(CODE_STATUS.get(code, FAMILY_STATUS[code.family]))
        self.set_header("Result-Code", str(code.value))
        self.set_header("Result-Name", code.name)
        self.set_header(HEADER_REQUEST, self.request.headers.get(HEADER_REQUEST, "")[:ID_MAX])
        if answer.retry_after_s > 0:
            self.set_header("Retry-After", f"{max(1, round(answer.retry_after_s))}")
            self.set_header("Retry-After-S", f"{answer.retry_after_s:.3f}")
        has_body = code.family is Family.RAN or is_text
        body = answer.body if has_body else f"{MEANINGS[code]}\n".encode()
        self.set_header("Answer-Length", str(len(body)))
        self.set_header("Answer-Digest", make_body_digest(body))
        self.set_header("Content-Type", "application/octet-stream" if has_body else "text/plain")
        self.finish(body)


class ReadyHandler(RequestHandler):
    """Readiness check for the load balancer."""

    def initialize(self, daemon: Daemon) -> None:  # type: ignore[override]
        """Set the daemon whose services the handler uses."""
        self._daemon = daemon

    def get(self) -> None:
        """Respond with 200 if the daemon is ready, otherwise with 503."""
        is_ready = self._daemon.is_ready
        self.set_status(200 if is_ready else 503)
        self.finish("ready\n" if is_ready else "not ready\n")


def make_caller_application(daemon: Daemon) -> Application:
    """Return the HTTP application for callers."""
    arguments = {"daemon": daemon}
    return Application(
        [
            (r"/v1/pools/([\w.-]+)/requests", RequestsHandler, arguments),
            (r"/ready", ReadyHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


def _make_header_error(header: str, expected: str) -> FaultError:
    what = f"Header {header} is missing or malformed, expected {expected}"
    return FaultError(make_fault(ResultCode.BAD_REQUEST, what))
