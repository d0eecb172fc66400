"""HTTP servers of the stand-ins, by the protocols of docs/interfaces."""

import base64

import msgspec
from tornado.web import Application, HTTPError, RequestHandler

from robinthread._internal.platform_log.errors import LogReplyLostError, LogUnavailableError
from robinthread._internal.standins.host_list_standin import HostListStandin
from robinthread._internal.standins.log_standin import LogStandin
from robinthread._internal.standins.worker_standin import WorkerStandin
from robinthread._internal.upstream import http_client as worker_http
from robinthread._internal.upstream.control import ControlCall
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.upstream.task import Task

UNAVAILABLE = 503
TASK_TIMEOUT_S = 3600.0


class _LogHandler(RequestHandler):
    def initialize(self, log: LogStandin) -> None:  # type: ignore[override]
        self._standin = log

    async def post(self, stream: str) -> None:
        try:
            offset = await self._standin.append(stream, self.request.body)
        except LogUnavailableError as error:
            raise HTTPError(UNAVAILABLE, str(error)) from error
        except LogReplyLostError:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.finish({"offset": offset})

    async def get(self, stream: str) -> None:
        start = int(self.get_query_argument("from"))
        max_records = int(self.get_query_argument("max"))
        wait_s = float(self.get_query_argument("wait_s", "0"))
        try:
            page = await self._standin.read(stream, start, max_records, wait_s)
        except LogUnavailableError as error:
            raise HTTPError(UNAVAILABLE, str(error)) from error
        records = [
            {"offset": record.offset, "data": base64.b64encode(record.data).decode()}
            for record in page.records
        ]
        self.finish(
            {
                "records": records,
                "first_offset": page.first_offset,
                "next_offset": page.next_offset,
            }
        )


class _HostListHandler(RequestHandler):
    def initialize(self, host_list: HostListStandin) -> None:  # type: ignore[override]
        self._host_list = host_list

    async def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(await self._host_list.list_hosts()))


class _TaskHandler(RequestHandler):
    def initialize(self, worker: WorkerStandin) -> None:  # type: ignore[override]
        self._worker = worker

    async def post(self, task_id: str) -> None:
        headers = self.request.headers
        task = Task(
            task_id,
            headers[worker_http.HEADER_KEY],
            headers[worker_http.HEADER_POOL],
            int(headers[worker_http.HEADER_TOKEN]),
            self.request.body,
            base64.b64decode(headers.get(worker_http.HEADER_CHECKPOINT, "")),
        )
        try:
            reply = await self._worker.run(task, TASK_TIMEOUT_S)
        except (UpstreamLostError, UpstreamUnsentError):
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.set_header(worker_http.HEADER_STATUS, reply.status.value)
        self.set_header(worker_http.HEADER_ID, reply.task_id)
        self.set_header(worker_http.HEADER_LENGTH, str(reply.length))
        self.set_header(worker_http.HEADER_DIGEST, reply.digest)
        self.finish(reply.body)


class _ControlHandler(RequestHandler):
    def initialize(self, worker: WorkerStandin) -> None:  # type: ignore[override]
        self._worker = worker

    async def post(self) -> None:
        call = msgspec.json.decode(self.request.body, type=ControlCall)
        try:
            self.finish(msgspec.json.encode(await self._worker.control(call)))
        except UpstreamUnsentError:
            self.request.connection.stream.close()  # type: ignore[union-attr]


class _ReportHandler(RequestHandler):
    def initialize(self, worker: WorkerStandin) -> None:  # type: ignore[override]
        self._worker = worker

    async def get(self) -> None:
        try:
            self.finish(msgspec.json.encode(await self._worker.report()))
        except UpstreamUnsentError:
            self.request.connection.stream.close()  # type: ignore[union-attr]


def make_platform_application(log: LogStandin, host_list: HostListStandin) -> Application:
    """Make the HTTP application that serves the platform's log and host list."""
    return Application(
        [
            (r"/v1/streams/([\w.-]+)/records", _LogHandler, {"log": log}),
            (r"/v1/hosts", _HostListHandler, {"host_list": host_list}),
        ],
        log_function=lambda handler: None,
    )


def make_worker_application(worker: WorkerStandin) -> Application:
    """Make the HTTP application that serves a worker."""
    arguments = {"worker": worker}
    return Application(
        [
            (r"/v1/tasks/([\w.-]+)", _TaskHandler, arguments),
            (r"/v1/control", _ControlHandler, arguments),
            (r"/v1/report", _ReportHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
