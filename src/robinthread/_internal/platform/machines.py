"""Client of the platform's machines."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final
from urllib.parse import quote

import msgspec
from tornado.httpclient import HTTPResponse

from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.fleet.machine_errors import (
    MachineBusyError,
    MachineError,
    MachineFencedError,
    MachineMisfitError,
    MachineNoAnswerError,
    MachineRefusedError,
)
from robinthread._internal.fleet.machine_rows import MachineRows
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.platform.platform_records import WireCapacity, parse_rack
from robinthread._internal.telemetry.call_timer import timed_call
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.foreign_input import (
    MalformedInputError,
    decode_json,
    quote_bytes,
    shorten,
)
from robinthread._internal.utils.http_call import (
    JSON_HEADERS,
    CallLostError,
    CallUnsentError,
    HttpClient,
    MalformedResponseError,
    call,
    decode,
)

CALL_TIMEOUT_S: Final = 1.0
# Pages of one list of machines.
PAGES_MAX: Final = 500
HOLDER_HEADER: Final = "X-Lease-Holder"
TOKEN_HEADER: Final = "X-Fencing-Token"
# A machine in any other state is treated as down and gets no orders.
STATES: Final = {state.value: state for state in MachineState}


class _WireMachine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: WireCapacity = msgspec.field(default_factory=WireCapacity)
    # Id of the host that currently runs on the machine.
    id: str | None = None


class _WireMachineName(msgspec.Struct):
    machine: str


class _WireMachines(msgspec.Struct):
    # Decoded one by one, so that a malformed row does not affect the others.
    machines: list[msgspec.Raw]
    next_token: str | int | None = None


class _WireProblem(msgspec.Struct):
    reason: str = ""


class PlatformMachines:
    """The platform's machines over HTTP.

    Machines may keep their last sound row where rows are malformed, see ``MachineRows``.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        metrics: NodeMetrics,
        events: EventLog | None = None,
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._malformed = None if events is None else MalformedRecords(events, "machines")
        self._rows = MachineRows()
        self._base = f"http://{address}"

    async def list_machines(self) -> tuple[Machine, ...]:
        """List all machines, requesting page after page."""
        rows: list[msgspec.Raw] = []
        tokens: set[str] = set()
        path = "/machines"
        while len(tokens) < PAGES_MAX:
            page = self._decode_page(await self._call(path))
            rows += page.machines
            token = str(page.next_token or "")
            if not token:
                return self._parse_rows(rows)
            if token in tokens:
                raise MachineNoAnswerError("the list of machines repeats a page")
            tokens.add(token)
            path = f"/machines?page_token={quote(token, safe='')}"
        raise MachineNoAnswerError(f"the list of machines has over {PAGES_MAX} pages")

    def _decode_page(self, response: HTTPResponse) -> _WireMachines:
        try:
            return decode(response.body, _WireMachines)
        except MalformedResponseError as error:
            self._metrics.count_event("input_malformed", "machines")
            raise MachineNoAnswerError(str(error)) from error

    def _parse_rows(self, rows: Iterable[msgspec.Raw]) -> tuple[Machine, ...]:
        sound: list[Machine] = []
        malformed: set[str] = set()
        for row in rows:
            try:
                sound.append(_parse_machine(decode_json(row, _WireMachine)))
            except MalformedInputError as error:
                name = _find_name(row)
                malformed.add(name)
                self._tell(name, row, error)
        return self._rows.complete(sound, malformed, asyncio.get_running_loop().time())

    def _tell(self, name: str, row: msgspec.Raw, error: MalformedInputError) -> None:
        if self._malformed is not None:
            self._malformed.tell(KeyedRecord(name, bytes(row)), error)

    async def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to a pool; all runs on it end immediately."""
        await self._order("/machine-move", {"machine": machine, "pool": pool}, holder, token)

    async def begin_upkeep(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Begin a machine's upkeep for a wave; all runs on it end immediately."""
        await self._order("/machine-upkeep", {"machine": machine, "wave": wave}, holder, token)

    async def _order(self, path: str, body: dict[str, Any], holder: str, token: int) -> None:
        headers = JSON_HEADERS | {HOLDER_HEADER: holder, TOKEN_HEADER: str(token)}
        await self._call(path, msgspec.json.encode(body), headers)

    async def _call(
        self, path: str, body: bytes | None = None, headers: dict[str, str] | None = None
    ) -> HTTPResponse:
        kind = path.removeprefix("/machine-").lstrip("/").partition("?")[0]
        with timed_call(self._metrics.record_machine_call, kind):
            return await self._call_once(path, body, headers)

    async def _call_once(
        self, path: str, body: bytes | None, headers: dict[str, str] | None
    ) -> HTTPResponse:
        try:
            response = await call(
                self._client,
                self._base + path,
                timeout_s=CALL_TIMEOUT_S,
                body=body,
                headers=headers,
            )
        except CallUnsentError as error:
            raise MachineRefusedError(str(error)) from error
        except CallLostError as error:
            raise MachineNoAnswerError(str(error)) from error
        if response.code != 200:
            raise _make_error(response)
        return response


def _make_error(response: HTTPResponse) -> MachineError:
    if response.code == 409:
        reason = _decode(response, _WireProblem).reason
        if reason == "fence":
            return MachineFencedError("the platform has seen a newer fencing token")
        if reason == "busy":
            return MachineBusyError("the machine is not up or is leaving")
        return MachineMisfitError(shorten(reason))
    if response.code == 400:
        return MachineMisfitError(f"the platform rejected the order: {quote_bytes(response.body)}")
    if response.code in (429, 503):
        return MachineRefusedError(f"the platform responded with status {response.code}")
    return MachineNoAnswerError(f"unexpected status {response.code} of the platform")


def _decode(response: HTTPResponse, type_: type) -> Any:
    try:
        return decode(response.body, type_)
    except CallLostError as error:
        raise MachineNoAnswerError(str(error)) from error


def _find_name(row: msgspec.Raw) -> str:
    try:
        return decode_json(row, _WireMachineName).machine
    except MalformedInputError:
        return ""


def _parse_machine(wire: _WireMachine) -> Machine:
    return Machine(
        name=wire.machine,
        pool=wire.pool,
        state=STATES.get(wire.state, MachineState.DOWN),
        hall=wire.zone,
        rack=parse_rack(wire.labels),
        kind=wire.labels[0] if wire.labels else "",
        capacity=wire.capacity.decode(),
        host_id=wire.id or "",
    )
