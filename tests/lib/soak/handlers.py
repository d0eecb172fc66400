"""HTTP handlers of the soak's hosts and machines, and how their answers differ from plain ones."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.web import RequestHandler

from robinthread._internal.fleet.machine_errors import (
    MachineBusyError,
    MachineFencedError,
    MachineMisfitError,
)
from robinthread._internal.jobs.host_errors import HostError
from robinthread._internal.models.host_report import HostReport, RunEnd
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.step_key import StepKey
from robinthread._internal.platform.hosts import HOST_HEADER
from robinthread._internal.platform.machines import HOLDER_HEADER, TOKEN_HEADER
from robinthread._internal.platform.task_names import format_task, parse_task
from robinthread._internal.standins.advice_standin import AdviceStandin
from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.machines_standin import MachinesStandin

# The data hall of all nodes, and of the machines whose rack is in no other.
DEFAULT_HALL = "hall"
ADVISED_WITHIN_S = 1.0
ENDS = {
    RunEnd.DONE: "done",
    RunEnd.FAILED: "failed",
    RunEnd.STOPPED: "stopped",
    RunEnd.LAPSED: "lapsed",
    RunEnd.GANG_BROKEN: "broken",
    RunEnd.GANG_ALONE: "alone",
}


@dataclass
class AnswerManner:
    """How a server answers: a start, or a list, takes ``answer_s``; ``distort`` changes answers.

    A host carries a start out once ``answer_s`` have passed.  ``distorted_count`` counts the
    answers that were changed.
    """

    answer_s: float = 0.0
    distort: Callable[[bytes], bytes] | None = None
    distorted_count: int = 0

    def encode(self, answer: dict[str, Any]) -> bytes:
        """Return the bytes of an answer."""
        plain = msgspec.json.encode(answer)
        if self.distort is None:
            return plain
        self.distorted_count += 1
        return self.distort(plain)


class HostHandler(RequestHandler):
    """Executes orders on the current host of a machine."""

    def initialize(  # type: ignore[override]
        self, find_incarnation: Callable[[], JobHostStandin | None], manner: AnswerManner
    ) -> None:
        self._find_incarnation = find_incarnation
        self._manner = manner

    async def post(self, kind: str) -> None:
        if kind == "run-start":
            await asyncio.sleep(self._manner.answer_s)
        incarnation = self._find_incarnation()
        if incarnation is None or incarnation.record.id != self.request.headers.get(HOST_HEADER):
            self.set_status(421)
            return
        body = msgspec.json.decode(self.request.body)
        try:
            answer = await _execute_order(kind, incarnation, body)
        except HostError as error:
            self.set_status(409)
            answer = {"reason": str(error)}
        self.finish(self._manner.encode(answer))


class MachinesHandler(RequestHandler):
    """Lists machines and executes orders for them."""

    def initialize(  # type: ignore[override]
        self, machines: MachinesStandin, manner: AnswerManner
    ) -> None:
        self._machines = machines
        self._manner = manner

    async def get(self, _path: str) -> None:
        await asyncio.sleep(self._manner.answer_s)
        rows = [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state.value,
                "zone": machine.hall or DEFAULT_HALL,
                "labels": ["large", machine.rack],
                "capacity": encode_capacity(machine.capacity),
                "id": machine.host_id or None,
            }
            for machine in self._machines.list_machines()
        ]
        self.finish(self._manner.encode({"machines": rows}))

    async def post(self, kind: str) -> None:
        await asyncio.sleep(self._manner.answer_s)
        body = msgspec.json.decode(self.request.body)
        holder = self.request.headers[HOLDER_HEADER]
        token = int(self.request.headers[TOKEN_HEADER])
        try:
            if kind == "machine-move":
                self._machines.move(body["machine"], body["pool"], holder, token)
            else:
                self._machines.begin_upkeep(body["machine"], body["wave"], holder, token)
        except (MachineFencedError, MachineBusyError, MachineMisfitError) as error:
            self.set_status(409)
            self.finish(self._manner.encode({"reason": str(error)}))
            return
        self.finish(self._manner.encode({}))


class AdviceHandler(RequestHandler):
    """Says which hosts may run a step."""

    def initialize(  # type: ignore[override]
        self, advice: AdviceStandin, manner: AnswerManner
    ) -> None:
        self._advice = advice
        self._manner = manner

    async def post(self) -> None:
        await asyncio.sleep(self._manner.answer_s)
        body = msgspec.json.decode(self.request.body)
        job_id, occurrence, step = body["step"].split(".")
        key = StepKey(job_id, int(occurrence), int(step))
        advice = await self._advice.advise(key, body["workers"], ADVISED_WITHIN_S)
        self.finish(
            self._manner.encode({"good": [*advice.tickets.items()], "valid_ms": advice.valid_ms})
        )


def encode_capacity(capacity: Resources) -> dict[str, int]:
    """Return a capacity as the platform writes it."""
    return {"cpu": capacity.cpu_millicores, "mem_mb": capacity.memory_mb, "gpu": capacity.gpu_count}


def encode_start_time(host_started_at_ms: int | None) -> dict[str, Any]:
    """Return the field with a host's start time; no field if the host does not publish it."""
    return {} if host_started_at_ms is None else {"born": host_started_at_ms}


async def _execute_order(
    kind: str, incarnation: JobHostStandin, body: dict[str, Any]
) -> dict[str, Any]:
    token = body["fencing_token"]
    match kind:
        case "hold":
            return await _poll(incarnation, token, body)
        case "run-start":
            task = parse_task(body["task"])
            order = StartOrder(task, body["run"], body["spec"], body["deadline_ms"], token)
            return {"clock_ms": incarnation.start(order)}
        case "run-stop":
            incarnation.stop(parse_task(body["task"]), body["run"], token)
        case "pace":
            incarnation.pace(token)
    return {"clock_ms": incarnation.clock_ms}


async def _poll(incarnation: JobHostStandin, token: int, body: dict[str, Any]) -> dict[str, Any]:
    report = incarnation.poll(token, body["observed"], body.get("deadline_ms"))
    if body.get("wait_ms") and not report.ended:
        await incarnation.wait_for_end(body["wait_ms"] / 1000)
        report = incarnation.poll(token, 0, None, body["observed"])
    return _encode_report(report)


def _encode_report(report: HostReport) -> dict[str, Any]:
    return encode_start_time(report.host_started_at_ms) | {
        "clock_ms": report.clock_ms,
        "running": [
            [format_task(run.task), run.run, "", run.progress_percent, run.recent_load]
            for run in report.running
        ],
        "finished": [
            [end.number, format_task(end.task), end.run, ENDS[end.end], ""] for end in report.ended
        ],
    }
