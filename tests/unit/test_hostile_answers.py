"""Hostile answers of hosts, machines, advice, the store and peers: a value or the typed error.

Guards against any other exception, which ends the caller's task and with it more than the call.
"""

import json
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from robinthread._internal.durable.errors import StoreError, StoreRejectedError
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.fleet.machine_errors import MachineError
from robinthread._internal.fleet.pool_report import FleetReportRequest, PoolReport
from robinthread._internal.jobs.advice_calls import AdviceError
from robinthread._internal.jobs.host_errors import HostError
from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.step_key import StepKey
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.job_request_outcome import JobRequestOutcome
from robinthread._internal.node.peer_calls import PeerUnreachableError
from robinthread._internal.node.peer_client import PeerClient
from robinthread._internal.node.peer_messages import (
    JobRequest,
    JobResponse,
    PendingCountsRequest,
    PendingCountsResponse,
    RelayRequest,
    RelayResponse,
    StoreStatusRequest,
    StoreStatusResponse,
)
from robinthread._internal.platform.advice import PlatformAdvice
from robinthread._internal.platform.hosts import PlatformHosts
from robinthread._internal.platform.machines import PlatformMachines
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from tests.lib.answering_fetcher import make_answering_client
from tests.lib.hostile import draw_hostile, list_hostile, list_packed
from tests.lib.virtual import run_virtual

STATUSES = (200, 400, 409, 410, 412, 413, 421, 500)
# Largest integer that records and messages between nodes can hold.
STORED_MAX = 2**63 - 1
# No answer takes more calls; a list of machines may have this many pages at most.
CALLS_MAX = 1_000
TASK = "5c0e7a21d94b36f8.0.1.17"
REPORT: dict[str, Any] = {
    "clock_ms": 482113,
    "running": [[TASK, 2, "00000bb87a21d94b", 41, 500]],
    "finished": [[58, TASK, 1, "done", ""]],
    "born": 1_777_007_541_075,
}
REJECTION: dict[str, Any] = {"clock_ms": 482113, "reason": "room"}
MACHINE: dict[str, Any] = {
    "machine": "m-1",
    "pool": "press",
    "state": "up",
    "zone": "hall-a",
    "labels": ["a", "r1-3"],
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "id": "i-1",
}
ADVICE: dict[str, Any] = {"good": [["i-1", "ticket"]], "valid_ms": 3000}
NEWEST: dict[str, Any] = {
    "items": [{"tls_key": "k", "offset": 4, "value": "dg=="}],
    "end": 5,
    "has_more": False,
}
PROBLEM: dict[str, Any] = {"reason": "seq", "end": 4, "first": 2, "sequence": 3, "wanted": 4}
OWNERS: dict[str, Any] = {"parts": [["t", 0, "member", 0]], "owners": [["t", 0, "member", 0]]}
HOST = UpstreamHost("i-1", "m-1", "press", "10.0.0.9:80", "h", "r", Resources(1, 1, 0), frozenset())
KEY = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
ORDER = StartOrder(KEY, 1, "text", 5, 1, "", "")
PARTITION = Partition("keyed.x")
Check = Callable[[Any], bool]


def is_report_bearable(report: HostReport) -> bool:
    """Return whether records and arithmetic bear the values of a report."""
    rows = [
        *(
            (*_list_key(row.task), row.run, row.checkpoint, row.progress_percent, row.recent_load)
            for row in report.running
        ),
        *((*_list_key(row.task), row.run, row.checkpoint, row.number, 0) for row in report.ended),
    ]
    times = (report.clock_ms, report.host_started_at_ms or 0)
    return all(type(time) is int and abs(time) <= STORED_MAX for time in times) and all(
        isinstance(job_id, str)
        and isinstance(checkpoint, str)
        and all(type(number) is int and 0 <= number <= STORED_MAX for number in numbers)
        and (load is None or (type(load) in (int, float) and abs(load) <= STORED_MAX))
        for job_id, *numbers, checkpoint, _number, load in (
            (row[0], *row[1:5], row[5], row[6], row[7]) for row in map(_flatten, rows)
        )
    )


def _list_key(task: TaskKey) -> tuple[str, int, int, int]:
    return task.job_id, task.occurrence, task.step, task.index


def _flatten(row: tuple[Any, ...]) -> tuple[Any, ...]:
    job_id, occurrence, step, index, run, checkpoint, number, load = row
    return job_id, occurrence, step, index, run, checkpoint, number, load


def is_stored(value: Any) -> bool:
    """Return whether a value can be encoded for records and messages."""
    try:
        msgspec.msgpack.encode(value)
    except (OverflowError, TypeError, ValueError):
        return False
    return True


class HostileAnswersTest(TestCase):
    def assert_typed(
        self,
        make_call: Callable[[Any], Callable[[], Awaitable[Any]]],
        errors: type[Exception],
        answers: Sequence[tuple[int, bytes]],
        is_bearable: Check = is_stored,
    ) -> None:
        """Assert that each answer gives a bearable value or one of the errors, bounded."""
        wrong = {}

        async def play() -> None:
            for status, body in answers:
                client = make_answering_client(lambda request, a=(status, body): a, CALLS_MAX)  # type: ignore[misc]
                try:
                    value = await make_call(client)()
                except errors as error:
                    if len(str(error)) > 500:
                        wrong[status, body[:60], len(body)] = f"a text of {len(str(error))}"
                except Exception as error:  # any other is the failure that is looked for
                    wrong[status, body[:60], len(body)] = repr(error)[:120]
                else:
                    if not is_bearable(value):
                        wrong[status, body[:60], len(body)] = f"accepted {value!r}"[:120]

        run_virtual(play())
        self.assertEqual({}, wrong)

    def test_report_of_a_host(self) -> None:
        """Guards against one host's report that ends its owner of the pool."""
        self.assert_typed(
            _make_watch,
            HostError,
            [(200, body) for body in list_hostile(REPORT)],
            is_report_bearable,
        )

    @settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @given(body=draw_hostile(REPORT))
    def test_drawn_report_of_a_host(self, body: bytes) -> None:
        """Guards against combinations of odd values in a report."""
        self.assert_typed(_make_watch, HostError, [(200, body)], is_report_bearable)

    def test_answer_to_orders_of_hosts(self) -> None:
        """Guards against one host's answer to an order that ends its owner of the pool."""
        answers = [(status, body) for status in STATUSES for body in list_hostile(REJECTION)]
        for make_call in (_make_start, _make_stop, _make_pace):
            self.assert_typed(make_call, HostError, answers)

    def test_list_of_machines(self) -> None:
        """Guards against a row of the list that ends the steward's turn."""
        page = {"machines": [MACHINE], "next_token": ""}
        self.assert_typed(
            _make_list,
            MachineError,
            [(200, body) for body in list_hostile(page)],
            lambda machines: all(is_stored(machine.capacity.astuple()) for machine in machines),
        )

    def test_malformed_row_leaves_the_other_machines(self) -> None:
        """Guards against one malformed row that hides the whole list."""
        hidden = {}

        async def play() -> None:
            for row in list_hostile(MACHINE):
                body = b'{"machines":[%s,%s]}' % (row, json.dumps(MACHINE).encode())
                client = make_answering_client(lambda request, body=body: (200, body), CALLS_MAX)  # type: ignore[misc]
                try:
                    found = await _make_list(client)()
                except Exception as error:  # whatever it is, the list is hidden
                    hidden[row[:80], len(row)] = repr(error)[:100]
                else:
                    if "m-1" not in {machine.name for machine in found}:
                        hidden[row[:80], len(row)] = "left out"

        run_virtual(play())
        # Text that isn't JSON, or is too deep to skip, leaves no row readable.
        is_text = _is_shallow_json
        self.assertEqual([], [key for key in hidden if is_text(key)])

    def test_machine_whose_row_becomes_malformed_is_down_and_told_once(self) -> None:
        """Guards against the end of a host's runs because its machine's row can't be read."""
        other = MACHINE | {"machine": "m-2", "id": "i-2"}
        sound, lines = [MACHINE, other], list[bytes]()
        odd = [MACHINE, other | {"capacity": {"cpu": "many"}}]
        nameless = [MACHINE, other | {"machine": 7}]
        pages = iter([sound, odd, odd, nameless, sound, [MACHINE]])

        async def play() -> list[dict[str, tuple[str, str]]]:
            client = make_answering_client(
                lambda request: (200, json.dumps({"machines": next(pages)}).encode())
            )
            events = EventLog("n", lines.append)
            machines = PlatformMachines(client, "a:1", NodeMetrics(), events)
            return [
                {machine.name: (machine.state.value, machine.host_id) for machine in listed}
                for listed in [await machines.list_machines() for _ in range(6)]
            ]

        up, down = {"m-1": ("up", "i-1"), "m-2": ("up", "i-2")}, ("down", "i-2")
        kept = up | {"m-2": down}
        found = run_virtual(play())
        self.assertEqual([up, kept, kept, kept, up, {"m-1": ("up", "i-1")}], found)
        told = [json.loads(line) for line in lines]
        self.assertEqual(
            [("machines", "m-2"), ("machines", "")],
            [(line["source"], line["key"]) for line in told],
        )

    def test_next_page_of_machines_may_be_hostile(self) -> None:
        """Guards against a list that never ends, and against a token that is a number."""
        for token in ("5", '"x"', '"a\\r\\nb"'):
            body = b'{"machines":[],"next_token":%s}' % token.encode()
            self.assert_typed(_make_list, MachineError, [(200, body)])

    def test_answer_to_orders_of_machines(self) -> None:
        """Guards against an answer to an order that ends the steward's turn."""
        answers = [(status, body) for status in STATUSES for body in list_hostile(REJECTION)]
        self.assert_typed(_make_move, MachineError, answers)

    def test_advice(self) -> None:
        """Guards against advice that ends its reader, and tickets that no start bears."""
        answers = [(status, body) for status in (200, 500) for body in list_hostile(ADVICE)]

        def is_bearable(advice: Any) -> bool:
            texts = (*advice.tickets, *advice.tickets.values())
            return abs(advice.valid_ms) < 2**53 and all(type(text) is str for text in texts)

        self.assert_typed(_make_advise, AdviceError, answers, is_bearable)

    def test_pages_and_errors_of_the_store(self) -> None:
        """Guards against an answer of the store that ends a follower or a journal."""
        problems = [(status, body) for status in STATUSES for body in list_hostile(PROBLEM)]
        for make_call in (_make_append, _make_read, _make_read_newest, _make_join, _make_members):
            self.assert_typed(make_call, StoreError, problems, lambda value: True)
        answers = [(200, body) for body in list_hostile(NEWEST)]
        self.assert_typed(_make_read_newest, StoreError, answers, lambda value: True)
        answers = [(200, body) for body in list_hostile(OWNERS)]
        self.assert_typed(_make_members, StoreError, answers, lambda value: True)
        answers = [(200, body) for body in list_hostile({"offset": 1, "end": 2})]
        self.assert_typed(
            _make_append, StoreError, answers, lambda done: is_stored((done.offset, done.end))
        )
        answers = [(200, body) for body in list_hostile({"generation": 1})]
        self.assert_typed(
            _make_join, StoreError, answers, lambda joined: is_stored(joined.generation)
        )

    @settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @given(body=st.binary(max_size=80))
    def test_drawn_pages_of_the_store(self, body: bytes) -> None:
        """Guards against a page whose lengths don't match its records."""
        self.assert_typed(_make_read, StoreError, [(200, body)], lambda value: True)

    def test_answers_of_peers(self) -> None:
        """Guards against a peer's answer that ends the caller's task."""
        for request, answer in (
            (JobRequest("p", "1"), JobResponse(True, "p", "running", "")),
            (PendingCountsRequest("p"), PendingCountsResponse(True, {"q": 3})),
            (FleetReportRequest("p"), PoolReport(True)),
            (StoreStatusRequest(), StoreStatusResponse(True, 1)),
            (RelayRequest("k", b"v", 1.0), RelayResponse("done")),
        ):

            def make_call(client: Any, request: Any = request, answer: Any = answer) -> Any:
                return lambda: PeerClient(client).send_request("a:1", request, type(answer))

            answers = [(200, body) for body in list_packed(answer)]
            self.assert_typed(make_call, PeerUnreachableError, answers, is_known_to_peers)

    def test_record_with_a_long_key_is_rejected(self) -> None:
        """Guards against a name from the configuration that ends the task which writes it."""
        record = KeyedRecord("k" * 256, b"v")
        self.assert_typed(
            lambda client: lambda: _connect(client).append(PARTITION, [record]),
            StoreRejectedError,
            [(200, b'{"offset":1,"end":2}')],
            lambda done: False,
        )


def is_known_to_peers(answer: Any) -> bool:
    """Return whether the states and outcomes in a peer's answer are known."""
    try:
        if isinstance(answer, JobResponse):
            return not answer.status or bool(JobStatus(answer.status))
        if isinstance(answer, RelayResponse):
            return bool(JobRequestOutcome(answer.outcome))
    except ValueError:
        return False
    return is_stored(answer)


def _is_shallow_json(key: tuple[bytes, int]) -> bool:
    row, length = key
    sound = [text for text in list_hostile(MACHINE) if text[:80] == row and len(text) == length]
    for text in sound:
        try:
            json.loads(text)
        except (RecursionError, ValueError):
            return False
        if any(word in text for word in (b"NaN", b"Infinity", b"1e400", b"ud800")):
            return False
    return True


def _make_watch(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: PlatformHosts(client, NodeMetrics()).watch(HOST, 1, 0, None, 0)


def _make_start(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: PlatformHosts(client, NodeMetrics()).start(HOST, ORDER)


def _make_stop(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: PlatformHosts(client, NodeMetrics()).stop(HOST, KEY, 1, 1)


def _make_pace(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: PlatformHosts(client, NodeMetrics()).pace(HOST, KEY, 1, 50, 1)


def _make_list(client: Any) -> Callable[[], Awaitable[Any]]:
    return PlatformMachines(client, "10.0.0.1:1", NodeMetrics()).list_machines


def _make_move(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: PlatformMachines(client, "a:1", NodeMetrics()).move("m-1", "p", "n", 1)


def _make_advise(client: Any) -> Callable[[], Awaitable[Any]]:
    step = StepKey("5c0e7a21d94b36f8", 0, 1)
    return lambda: PlatformAdvice(client, "a:1").advise(step, ["i-1"], 1)


def _connect(client: Any) -> PlatformStore:
    return PlatformStore(client, "a:1", NodeMetrics())


def _make_append(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: _connect(client).append(PARTITION, [KeyedRecord("k", b"v")])


def _make_read(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: _connect(client).read(PARTITION, 0, 0)


def _make_read_newest(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: _connect(client).read_newest(PARTITION, "", 1)


def _make_join(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: _connect(client).join("g", "m", ["t"], 1000, 0)


def _make_members(client: Any) -> Callable[[], Awaitable[Any]]:
    return lambda: _connect(client).list_members("g")
