"""HTTP interface for callers: submit, query and cancel jobs."""

import asyncio
import math
import time
from dataclasses import dataclass
from typing import Any, Final

import msgspec
from tornado.web import Application, RequestHandler

from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.job_request_outcome import JobRequestOutcome, JobRequestResult
from robinthread._internal.node.job_service import JobService
from robinthread._internal.node.open_requests import OpenRequests
from robinthread._internal.platform.job_bodies import JOB_ID, parse_job
from robinthread._internal.results import MEANINGS, ResultCode
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.foreign_input import (
    MalformedInputError,
    shorten,
)

DEADLINE_HEADER: Final = "X-Deadline-Ms"
KEY_HEADER: Final = "Authorization"
KEY_SCHEME: Final = "bearer"
# Time limit of a request without a deadline header.
DEFAULT_DEADLINE_S: Final = 3.0
DEADLINE_MAX_S: Final = 86_400.0
# Part of the time until the caller's deadline that is reserved for returning the response.
RESPONSE_MARGIN_S: Final = 0.1
# Result code and HTTP status of each outcome.
OUTCOME_CODES: Final = {
    JobRequestOutcome.DONE: (ResultCode.OK, 200),
    JobRequestOutcome.REFUSED: (ResultCode.PLATFORM_OUT, 503),
    JobRequestOutcome.OWNER_UNREACHABLE: (ResultCode.POOL_OWNER_UNREACHABLE, 503),
    JobRequestOutcome.NO_SUCH_JOB: (ResultCode.NOT_FOUND, 410),
    JobRequestOutcome.UNKNOWN: (ResultCode.OUTCOME_UNKNOWN, 504),
    JobRequestOutcome.ID_TAKEN: (ResultCode.JOB_ID_TAKEN, 409),
    JobRequestOutcome.TOO_LARGE: (ResultCode.BODY_TOO_LARGE, 413),
}
# Seconds after which a refused caller should retry, at least.
RETRY_AFTER_S: Final = 1

STATUS_WORDS: Final = {
    JobStatus.QUEUED: "queued",
    JobStatus.RUNNING: "running",
    JobStatus.SUCCEEDED: "succeeded",
    JobStatus.FAILED: "failed",
    JobStatus.CANCELLED: "canceled",
}


@dataclass(frozen=True, slots=True)
class _ResolvedCall:
    """A call resolved to its queue, the rest of its path and the caller's workspace.

    ``workspace`` is None if the queue requires no key.
    """

    queue: QueuePolicy
    config: FleetConfig
    rest: str
    workspace: str | None


class JobsHandler(RequestHandler):
    """Serves the calls to a queue's path."""

    def initialize(  # type: ignore[override]
        self,
        job_service: JobService,
        config_holder: ConfigHolder,
        events: EventLog,
        requests: OpenRequests,
    ) -> None:
        """Set the objects that serve requests."""
        self._requests = requests
        self._retry_after_s = RETRY_AFTER_S
        self._job_service = job_service
        self._config_holder = config_holder
        self._events = events

    def prepare(self) -> None:
        """Register the request, and reject it if its body is over the limit."""
        self._started_at_s = time.monotonic()
        is_open = self._requests.begin(self)
        config = self._config_holder.config
        if is_open and config is not None and len(self.request.body) > config.body_max_bytes:
            self._respond(413, ResultCode.BODY_TOO_LARGE)

    def on_finish(self) -> None:
        """Remove the request from the open ones."""
        self._requests.end(self)

    def answer_early(self) -> None:
        """Respond before the outcome is known: a read as unreachable, a write as unknown."""
        is_read = self.request.method == "GET"
        self._respond_with_outcome(
            JobRequestOutcome.OWNER_UNREACHABLE if is_read else JobRequestOutcome.UNKNOWN
        )

    async def post(self) -> None:
        """Submit a job."""
        call = self._resolve_call()
        if call is None:
            return
        try:
            spec = parse_job(
                self.request.body, call.rest, call.queue, call.config.version, call.workspace
            )
        except MalformedInputError as error:
            self._events.metrics.count_event("input_malformed", "callers")
            self._respond(400, ResultCode.BAD_REQUEST, error=shorten(str(error)))
            return
        self._respond_with_result(await self._job_service.submit(spec, self._get_deadline_s()))

    async def get(self) -> None:
        """Respond with a job's state, or with a queue's number of pending jobs."""
        call = self._resolve_call()
        if call is None:
            return
        if not call.rest:
            count = await self._job_service.count_pending(call.queue)
            if count is None:
                self._respond_with_outcome(JobRequestOutcome.OWNER_UNREACHABLE)
            else:
                self._respond(200, ResultCode.OK, pending=count)
            return
        if not JOB_ID.fullmatch(call.rest):
            self._respond_with_outcome(JobRequestOutcome.NO_SUCH_JOB)
            return
        job_state = await self._job_service.get_status(call.queue, call.rest, call.workspace)
        if job_state.status is not None:
            self._respond(200, ResultCode.OK, state=STATUS_WORDS[job_state.status])
        else:
            self._respond_with_outcome(job_state.outcome)

    async def delete(self) -> None:
        """Cancel a job."""
        call = self._resolve_call()
        if call is None:
            return
        if not JOB_ID.fullmatch(call.rest):
            self._respond_with_outcome(JobRequestOutcome.NO_SUCH_JOB)
            return
        self._respond_with_result(
            await self._job_service.request_cancel(
                call.queue, call.rest, self._get_deadline_s(), call.workspace
            )
        )

    def _resolve_call(self) -> _ResolvedCall | None:
        """Resolve the call's queue and workspace.

        Returns None after responding with an error if the configuration is not loaded, the
        queue does not exist or the key is unknown.
        """
        config = self._config_holder.config
        if config is None:
            self._respond(503, ResultCode.NOT_READY)
            return None
        path = self.request.path
        queue = config.find_queue(self.request.host_name, path)
        if queue is None:
            self._respond(404, ResultCode.NO_SUCH_POOL)
            return None
        workspace = None if queue.is_public else config.find_workspace(self._get_key())
        if workspace is None and not queue.is_public:
            self._respond(401, ResultCode.KEY_UNKNOWN)
            return None
        return _ResolvedCall(queue, config, path.removeprefix(queue.path_prefix), workspace)

    def _get_key(self) -> str:
        """Return the key in the call's header, or "" if there is none."""
        scheme, _, key = self.request.headers.get(KEY_HEADER, "").partition(" ")
        return key.strip() if scheme.lower() == KEY_SCHEME else ""

    def _get_deadline_s(self) -> float:
        """Return when to stop work on the request, in seconds of the event loop's clock."""
        text = self.request.headers.get(DEADLINE_HEADER, "")
        is_number = text.isascii() and text.isdigit()
        # A deadline beyond the bound is cut, whatever its number of digits.
        remaining_s = float(text) / 1000 if is_number else DEFAULT_DEADLINE_S
        remaining_s = min(remaining_s, DEADLINE_MAX_S)
        return asyncio.get_running_loop().time() + max(0.0, remaining_s - RESPONSE_MARGIN_S)

    def _respond_with_outcome(self, outcome: JobRequestOutcome) -> None:
        self._respond_with_result(JobRequestResult(outcome))

    def _respond_with_result(self, result: JobRequestResult) -> None:
        code, status = OUTCOME_CODES[result.outcome]
        # Retry-After is in whole seconds.
        self._retry_after_s = max(RETRY_AFTER_S, math.ceil(result.retry_after_s))
        self._respond(status, code)

    def _respond(self, status: int, code: ResultCode, **fields: Any) -> None:
        """Respond with a result code, and with a retry time if the status is 503."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        body: dict[str, Any] = fields
        if status != 200:
            body = {"code": int(code), "error": MEANINGS[code]} | fields
            self._log_refusal(status, code, str(body["error"]))
        if status == 503:
            self.set_header("Retry-After", str(self._retry_after_s))
        if self._requests.is_closing:
            self.set_header("Connection", "close")
        took_s = time.monotonic() - self._started_at_s
        self._events.metrics.record_request(str(self.request.method), int(code), took_s)
        self.finish(msgspec.json.encode(body))

    def _log_refusal(self, status: int, code: ResultCode, error: str) -> None:
        """Log a request that was not served."""
        if code in (ResultCode.NO_SUCH_POOL, ResultCode.KEY_UNKNOWN):
            self._gather_refusal(status, code)
            return
        config = self._config_holder.config
        self._events.write(
            "request_refused",
            job=shorten(self.request.path.rpartition("/")[2]),
            method=self.request.method,
            host=shorten(self.request.host_name),
            path=shorten(self.request.path),
            config_version=config.version if config is not None else None,
            status=status,
            code=int(code),
            outcome=code.name,
            error=error,
            held_ms=round((time.monotonic() - self._started_at_s) * 1000, 1),
        )

    def _gather_refusal(self, status: int, code: ResultCode) -> None:
        """Log requests with an unknown queue or key as a count, because there may be many."""
        config = self._config_holder.config
        self._events.gather(
            "request_refused",
            by={"status": status, "code": int(code), "outcome": code.name},
            counted_by=str(self.request.method),
            listed={"jobs": shorten(self.request.path.rpartition("/")[2])},
            host=shorten(self.request.host_name),
            path=shorten(self.request.path),
            config_version=config.version if config is not None else None,
        )


def make_refusal_body(status: int) -> bytes:
    """Return the body of a refusal that is sent before a request has been read whole."""
    code = ResultCode.BODY_TOO_LARGE if status == 413 else ResultCode.NODE_FULL
    return msgspec.json.encode({"code": int(code), "error": MEANINGS[code]})


def make_callers_application(
    job_service: JobService, config_holder: ConfigHolder, events: EventLog, requests: OpenRequests
) -> Application:
    """Make the web application that serves callers."""
    arguments = {
        "job_service": job_service,
        "config_holder": config_holder,
        "events": events,
        "requests": requests,
    }
    return Application([(r"/.*", JobsHandler, arguments)], log_function=lambda handler: None)
