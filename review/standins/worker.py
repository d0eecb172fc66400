"""Stand-in of a worker that runs subtasks under leases (PROTOCOL.md, "Running subtasks")."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.standins.http_service import Answer, HttpService, Request, make_json_answer
from review.standins.ledger import Ledger, RunSeen

# The most ends that one answer of a worker lists.
ENDS_AT_ONCE = 500
MAX_HOLD_MS = 6_000
STOP_S = 0.2
WAIT_MAX_MS = 2_000


@dataclass(frozen=True)
class Work:
    """What a subtask does: for how long it works, how it ends and what it takes.

    ``work_s`` is None for one that lasts.
    """

    work_s: float | None
    how: str = "done"
    cpu: int = 0
    mem_mb: int = 0


@dataclass
class _Present:
    seen: RunSeen
    work: Work
    began_at_s: float
    is_stopping: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


PlanWork = Callable[[str, int], Work]


class Worker:
    """One life of a worker; ``plan_work`` gives the work of a subtask's run."""

    def __init__(
        self,
        worker_id: str,
        machine: str,
        service: str,
        capacity: dict[str, int],
        plan_work: PlanWork,
        ledger: Ledger,
        zone: str = "hall-a",
        rack: str = "r1-1",
    ) -> None:
        self.id = worker_id
        self.machine = machine
        self.service = service
        self.capacity = capacity
        self.zone = zone
        self.labels = ["a", rack]
        self.http = HttpService(self._handle)
        self.is_draining = False
        self.largest_backlog = 0
        self._plan_work = plan_work
        self._ledger = ledger
        self._began_at_s = _now_s()
        self._token = 0
        self._until_ms = 0
        self._present: dict[tuple[str, int], _Present] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[tuple[int, RunSeen]] = []
        self._end_count = 0
        self._lapsed_up_to = 0
        self._ended = asyncio.Event()
        self._sequence = 0

    @property
    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int((_now_s() - self._began_at_s) * 1000)

    def make_entry(self) -> dict[str, Any]:
        """Return what the worker writes of itself into the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "machine": self.machine,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms,
            "sequence": self._sequence,
        }

    async def _handle(self, request: Request) -> Answer:
        if request.headers.get("x-target-instance", self.id) != self.id:
            return Answer(421)
        body = request.read_json()
        if body.get("fencing_token", 0) < self._token:
            return self._reject("fence")
        self._token = body.get("fencing_token", 0)
        match request.path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                self._stop(body["task"], body["run"])
            case "/hold":
                return await self._hold(body)
        return make_json_answer(200, {"clock_ms": self.clock_ms})

    def _reject(self, reason: str) -> Answer:
        return make_json_answer(409, {"clock_ms": self.clock_ms, "reason": reason})

    def _start(self, body: dict[str, Any]) -> Answer:
        self._extend(body["deadline_ms"])
        task, run = body["task"], body["run"]
        if (task, run) in self._present:
            return make_json_answer(200, {"clock_ms": self.clock_ms})
        if run <= self._highest.get(task, 0):
            return self._reject("old")
        if body["deadline_ms"] <= self.clock_ms:
            return self._reject("late")
        work = self._plan_work(task, run)
        if not self._has_room(work):
            return self._reject("room")
        self._begin(task, run, work)
        return make_json_answer(200, {"clock_ms": self.clock_ms})

    def _has_room(self, work: Work) -> bool:
        cpu = work.cpu + sum(present.work.cpu for present in self._present.values())
        mem_mb = work.mem_mb + sum(present.work.mem_mb for present in self._present.values())
        return cpu <= self.capacity["cpu"] and mem_mb <= self.capacity["mem_mb"]

    def _begin(self, task: str, run: int, work: Work) -> None:
        seen = RunSeen(task, run, self.id, _now_s())
        self._ledger.runs.append(seen)
        present = self._present[task, run] = _Present(seen, work, _now_s())
        if work.work_s is not None:
            loop = asyncio.get_running_loop()
            present.timers.append(loop.call_later(work.work_s, self._end, (task, run), work.how))

    def _stop(self, task: str, run: int) -> None:
        present = self._present.get((task, run))
        if present is None:
            self._highest[task] = max(run, self._highest.get(task, 0))
        elif not present.is_stopping:
            present.is_stopping = True
            loop = asyncio.get_running_loop()
            present.timers.append(loop.call_later(STOP_S, self._end, (task, run), "stopped"))

    def _end(self, key: tuple[str, int], how: str) -> None:
        present = self._present.pop(key, None)
        if present is None:
            return
        for timer in present.timers:
            timer.cancel()
        self._highest[key[0]] = max(key[1], self._highest.get(key[0], 0))
        present.seen.ended_at_s, present.seen.how = _now_s(), how
        self._end_count += 1
        self._ends.append((self._end_count, present.seen))
        self.largest_backlog = max(self.largest_backlog, len(self._ends))
        self._ended.set()

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms + MAX_HOLD_MS)
        if until_ms > self._until_ms:
            self._until_ms = until_ms
            left_s = max(0.0, (until_ms - self.clock_ms) / 1000)
            asyncio.get_running_loop().call_later(left_s + 0.001, self._lapse)

    def _lapse(self) -> None:
        if self.clock_ms >= self._until_ms:
            for key in list(self._present):
                self._end(key, "lapsed")
            self._lapsed_up_to = self._end_count

    async def _hold(self, body: dict[str, Any]) -> Answer:
        self._take_note(body.get("observed", 0))
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        wait_s = min(body.get("wait_ms", 0), WAIT_MAX_MS) / 1000
        if wait_s and not self._ends:
            self._ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        running = [
            [task, run, "", self._get_percent(present)]
            for (task, run), present in self._present.items()
            if not present.is_stopping
        ]
        finished = [
            [number, seen.task, seen.run, seen.how, ""]
            for number, seen in self._ends[:ENDS_AT_ONCE]
        ]
        answer = {"clock_ms": self.clock_ms, "running": running, "finished": finished}
        return make_json_answer(200, answer)

    def _take_note(self, observed: int) -> None:
        for number, seen in self._ends:
            if number <= observed and number > self._lapsed_up_to:
                seen.noted_at_s = _now_s()
        self._ends = [end for end in self._ends if end[0] > observed]

    def _get_percent(self, present: _Present) -> int:
        if present.work.work_s is None:
            return 100
        return min(99, int(100 * (_now_s() - present.began_at_s) / present.work.work_s))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
