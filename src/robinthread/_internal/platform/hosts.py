"""Client of job hosts."""

from typing import Annotated, Any, Final, Literal

import msgspec
from tornado.httpclient import HTTPResponse

from robinthread._internal.jobs.host_errors import (
    HostError,
    HostFencedError,
    HostGoneError,
    HostNoAnswerError,
    HostRefusedError,
    HostSilentError,
    HostUnhealthyError,
    HostUnreachableError,
    NoRoomError,
    RunTooOldError,
    StartRejectedError,
    StartTooLateError,
    TicketRejectedError,
)
from robinthread._internal.models.host_report import EndedRun, HostReport, RunEnd, RunningTask
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.platform.host_start_time import HostStartTime, get_host_started_at_ms
from robinthread._internal.platform.task_names import format_task, parse_task
from robinthread._internal.telemetry.call_timer import timed_call
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.foreign_input import (
    NUMBER_MAX,
    Count,
    MalformedInputError,
    Number,
    get_cause_name,
    quote_bytes,
    reads_foreign_input,
    shorten,
)
from robinthread._internal.utils.http_call import (
    JSON_HEADERS,
    CallLostError,
    CallTimedOutError,
    CallUnsentError,
    HttpClient,
    MalformedResponseError,
    NobodyListensError,
    call,
    decode,
)

# Timeout of an order, after which it is sent again.  Hosts respond within a few milliseconds; an
# entry host that runs five times slower needs about 100 ms.
ORDER_TIMEOUT_S: Final = 0.4
# Time that a watch may take in addition to its own wait.
WATCH_SLACK_S: Final = 0.4
# A host lists this many ends at most in one report.
ENDS_PER_REPORT_MAX: Final = 500
HOST_HEADER: Final = "X-Target-Instance"

ENDS: Final = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.GANG_BROKEN,
    "alone": RunEnd.GANG_ALONE,
}
FENCED: Final = "fence"
REJECTIONS: Final[dict[str, type[StartRejectedError]]] = {
    "old": RunTooOldError,
    "late": StartTooLateError,
    "room": NoRoomError,
    "ticket": TicketRejectedError,
}


# Numbers of which hosts may report fractions.
Measure = Number | Annotated[float, msgspec.Meta(ge=-NUMBER_MAX, le=NUMBER_MAX)]


class _WireRunning(msgspec.Struct, array_like=True):
    task: str
    run: Count
    checkpoint: str
    percent: Measure
    recent_load: Measure | None = None


class _WireEnded(msgspec.Struct, array_like=True):
    number: Count
    task: str
    run: Count
    end: Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
    checkpoint: str


class _WireReport(msgspec.Struct):
    clock_ms: Number
    running: list[_WireRunning] = []
    finished: list[_WireEnded] = []
    born: HostStartTime = msgspec.UNSET


class _WireResponse(msgspec.Struct):
    clock_ms: Number | None = None
    reason: str = ""


class PlatformHosts:
    """Job hosts over HTTP."""

    def __init__(self, client: HttpClient, metrics: NodeMetrics) -> None:
        self._client = client
        self._metrics = metrics

    async def watch(
        self,
        host: UpstreamHost,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> HostReport:
        """Request a report, waiting up to ``wait_s`` for a run to end.

        Acknowledges ends up to number ``acknowledged`` and extends the lease unless
        ``lease_until_ms`` is None.
        """
        # "observed" is the number of the last end that the host may discard, "deadline_ms" the
        # end of the lease on the host's clock.
        body: dict[str, Any] = {"fencing_token": token, "observed": acknowledged}
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        response = await self._order(host, "watch", "/hold", body, wait_s + WATCH_SLACK_S)
        report = self._decode(host, response, _WireReport)
        try:
            return _parse_report(report)
        except MalformedInputError as error:
            raise self._make_malformed_error(host, error) from error

    async def start(self, host: UpstreamHost, order: StartOrder) -> int | None:
        """Start a run; return the time on the host's clock in ms, None if it tells none."""
        body: dict[str, Any] = {
            "task": format_task(order.task),
            "run": order.run,
            "spec": order.text,
            "deadline_ms": order.lease_until_ms,
            "fencing_token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        response = await self._order(host, "start", "/run-start", body, order.timeout_s)
        decoded: _WireResponse = self._decode(host, response, _WireResponse)
        return decoded.clock_ms

    async def stop(self, host: UpstreamHost, task: TaskKey, run: int, token: int) -> None:
        """Stop a run; if it has not started, the host rejects its start from now on."""
        body = {"task": format_task(task), "run": run, "fencing_token": token}
        await self._order(host, "stop", "/run-stop", body, ORDER_TIMEOUT_S)

    async def pace(
        self, host: UpstreamHost, task: TaskKey, run: int, percent: int, token: int
    ) -> None:
        """Limit a run to ``percent`` of its full speed."""
        body = {
            "task": format_task(task),
            "run": run,
            "percent": percent,
            "fencing_token": token,
        }
        await self._order(host, "pace", "/pace", body, ORDER_TIMEOUT_S)

    async def _order(
        self, host: UpstreamHost, kind: str, path: str, body: dict[str, Any], timeout_s: float
    ) -> HTTPResponse:
        with timed_call(self._metrics.record_host_call, kind):
            return await self._order_once(host, path, body, timeout_s)

    async def _order_once(
        self, host: UpstreamHost, path: str, body: dict[str, Any], timeout_s: float
    ) -> HTTPResponse:
        try:
            response = await call(
                self._client,
                f"http://{host.address}{path}",
                timeout_s=timeout_s,
                body=msgspec.json.encode(body),
                headers=JSON_HEADERS | {HOST_HEADER: host.id},
            )
        except NobodyListensError as error:
            raise HostRefusedError(str(error)) from error
        except CallUnsentError as error:
            raise HostUnreachableError(str(error)) from error
        except CallTimedOutError as error:
            raise HostSilentError(str(error), error.connected_at_s) from error
        except CallLostError as error:
            raise HostNoAnswerError(str(error), error.connected_at_s) from error
        if response.code != 200:
            raise self._make_error(host, response)
        return response

    def _make_error(self, host: UpstreamHost, response: HTTPResponse) -> HostError:
        if response.code == 421:
            return HostGoneError("another incarnation of the host responds at the address")
        if response.code in (429, 503):
            return HostUnhealthyError(f"the host responded with status {response.code}")
        if response.code == 409:
            rejection: _WireResponse = self._decode(host, response, _WireResponse)
            if rejection.reason == FENCED:
                return HostFencedError(FENCED)
            type_ = REJECTIONS.get(rejection.reason, StartRejectedError)
            return type_(shorten(rejection.reason), rejection.clock_ms)
        if response.code == 400:
            return StartRejectedError(
                f"the host rejected the order as malformed: {quote_bytes(response.body)}"
            )
        return HostNoAnswerError(f"unexpected status {response.code} of the host")

    def _decode(self, host: UpstreamHost, response: HTTPResponse, type_: type) -> Any:
        try:
            return decode(response.body, type_)
        except MalformedResponseError as error:
            raise self._make_malformed_error(host, error.__cause__ or error) from error

    def _make_malformed_error(self, host: UpstreamHost, error: BaseException) -> HostNoAnswerError:
        self._metrics.count_event("input_malformed", "hosts")
        return HostNoAnswerError(
            f"malformed answer of host {host.id}: {get_cause_name(error)}: {error}"
        )


@reads_foreign_input
def _parse_report(report: _WireReport) -> HostReport:
    return HostReport(
        report.clock_ms,
        tuple(map(_parse_running, report.running)),
        tuple(map(_parse_ended, report.finished)),
        get_host_started_at_ms(report.born),
        lists_all_ends=len(report.finished) < ENDS_PER_REPORT_MAX,
    )


def _parse_running(row: _WireRunning) -> RunningTask:
    load = None if row.recent_load is None else int(row.recent_load)
    return RunningTask(parse_task(row.task), row.run, row.checkpoint, int(row.percent), load)


def _parse_ended(row: _WireEnded) -> EndedRun:
    return EndedRun(row.number, parse_task(row.task), row.run, ENDS[row.end], row.checkpoint)
