"""Stand-in for a worker, with slots, tokens, faults, checkpoints, stops and reboots."""

import asyncio
import enum
from dataclasses import dataclass, field

from robinthread._internal.standins.job import make_answer, parse_job
from robinthread._internal.standins.ledger import Ledger
from robinthread._internal.upstream.control import ControlAction, ControlCall, ControlReply
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.upstream.reply import ReplyStatus, WorkerReply, make_reply
from robinthread._internal.upstream.report import WorkerReport
from robinthread._internal.upstream.task import Task
from robinthread._internal.utils.waiting import wait_for_event

EPOCH_S = 1_800_000_000.0
CHECKPOINT_DONE_S = "done_s:"


class WorkerMode(enum.Enum):
    """The fault that a stand-in worker shows, if any."""

    NORMAL = "normal"
    FAILS_EVERYTHING = "fails_everything"
    HANGS = "hangs"
    TRUNCATES = "truncates"
    ANSWERS_ANOTHER = "answers_another"
    DOWN = "down"


@dataclass
class _Running:
    started_at_s: float
    done_before_s: float
    run_s: float
    interrupted: asyncio.Event = field(default_factory=asyncio.Event)
    action: ControlAction | None = None


class WorkerStandin:
    """The worker of an upstream host.

    ``returns_after_reboot`` is false for a worker that stays down after a reboot.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        ledger: Ledger,
        reboot_s: float = 1.0,
        can_checkpoint: bool = True,
    ) -> None:
        self.name = name
        self.mode = WorkerMode.NORMAL
        self.boots_count = 0
        self.token = 0
        self.slots_peak = 0
        self.starts_count = 0
        self.connections_in_use = 0
        self.connections_peak = 0
        self.returns_after_reboot = True
        self._is_crashed = False
        self._slots = slots
        self._ledger = ledger
        self.reboot_s = reboot_s
        self.can_checkpoint = can_checkpoint
        self._running: dict[str, _Running] = {}
        self._reboot: asyncio.Task[None] | None = None

    async def run(self, task: Task, timeout_s: float) -> WorkerReply:
        """Run a task and return its reply; raise ``UpstreamLostError`` at the timeout."""
        self._check_up()
        self.connections_in_use += 1
        self.connections_peak = max(self.connections_peak, self.connections_in_use)
        try:
            return await asyncio.wait_for(self._run(task), timeout_s)
        except TimeoutError as error:
            raise UpstreamLostError(f"no response within {timeout_s} s") from error
        finally:
            self.connections_in_use -= 1

    async def control(self, call: ControlCall) -> ControlReply:
        """Carry out a control call, or reject it if its token is stale."""
        self._check_up()
        if call.token < self.token:
            self._ledger.refused_stale_count += 1
            return ControlReply(False, "stale token")
        self.token = call.token
        if call.action is ControlAction.REBOOT:
            return self._start_reboot()
        if call.action in (ControlAction.CHECKPOINT, ControlAction.STOP):
            return self._interrupt(call)
        return ControlReply(True)

    async def report(self) -> WorkerReport:
        """Return the boot id, the number of slots in use and the token."""
        self._check_up()
        boot_id = f"{self.name}-{self.boots_count}"
        return WorkerReport(boot_id, len(self._running), self.token)

    async def _run(self, task: Task) -> WorkerReply:
        refusal = self._check_admission(task)
        if refusal is not None:
            return refusal
        self.token = max(self.token, task.token)
        if self.mode is WorkerMode.FAILS_EVERYTHING:
            return make_reply(ReplyStatus.RAN_FAILED, task.id, b"worker fault")
        running = _Running(
            asyncio.get_running_loop().time(),
            _parse_done_s(task.checkpoint),
            parse_job(task.body).run_s,
        )
        self._running[task.id] = running
        self.starts_count += 1
        self.slots_peak = max(self.slots_peak, len(self._running))
        if not task.checkpoint:
            self._ledger.started[task.key] += 1
            self._ledger.started_by.setdefault(task.key, task.id)
        try:
            return await self._work(task, running)
        finally:
            self._running.pop(task.id, None)

    def _check_admission(self, task: Task) -> WorkerReply | None:
        if task.token < self.token:
            self._ledger.refused_stale_count += 1
            return make_reply(ReplyStatus.NOT_STARTED, task.id, b"stale token")
        if len(self._running) >= self._slots:
            self._ledger.refused_busy_count += 1
            return make_reply(ReplyStatus.NOT_STARTED, task.id, b"busy")
        return None

    async def _work(self, task: Task, running: _Running) -> WorkerReply:
        job = parse_job(task.body)
        if 0 < job.deadline_at_s < EPOCH_S + asyncio.get_running_loop().time():
            self._ledger.started_after_deadline_count += 1
        remaining_s = max(0.0, job.run_s - running.done_before_s)
        if self.mode is WorkerMode.HANGS:
            remaining_s = 1e9
        if remaining_s:
            await wait_for_event(running.interrupted, remaining_s)
        if running.action is ControlAction.CHECKPOINT:
            self._ledger.checkpointed[task.key] += 1
            done_s = running.done_before_s + _get_elapsed_s(running)
            return make_reply(
                ReplyStatus.CHECKPOINTED, task.id, f"{CHECKPOINT_DONE_S}{done_s}".encode()
            )
        if running.action is ControlAction.STOP:
            return make_reply(ReplyStatus.STOPPED, task.id)
        if running.action is ControlAction.REBOOT:
            self._ledger.cut_short_count += not self._is_crashed
            raise UpstreamLostError(f"worker {self.name} went down during the run")
        return self._answer(task, job.can_run)

    def _answer(self, task: Task, can_run: bool) -> WorkerReply:
        self._ledger.finished[task.key] += 1
        if not can_run:
            return make_reply(ReplyStatus.RAN_FAILED, task.id, b"job fault")
        reply = make_reply(ReplyStatus.RAN, task.id, make_answer(task.key, task.body))
        if self.mode is WorkerMode.TRUNCATES:
            return WorkerReply(
                reply.status, reply.task_id, reply.body[:-1], reply.length, reply.digest
            )
        if self.mode is WorkerMode.ANSWERS_ANOTHER:
            return make_reply(ReplyStatus.RAN, "another-task", b"another answer")
        return reply

    def list_remaining_s(self) -> tuple[float, ...]:
        """Return the actual remaining run times of the running tasks, in seconds."""
        return tuple(
            running.run_s - running.done_before_s - _get_elapsed_s(running)
            for running in self._running.values()
        )

    def _interrupt(self, call: ControlCall) -> ControlReply:
        running = self._running.get(call.task_id)
        if running is None:
            return ControlReply(False, "not running")
        if call.action is ControlAction.CHECKPOINT and not self.can_checkpoint:
            return ControlReply(False, "cannot checkpoint")
        running.action = call.action
        running.interrupted.set()
        return ControlReply(True)

    def crash(self) -> None:
        """Lose all running tasks and stay down until ``mode`` is changed."""
        self.mode = WorkerMode.DOWN
        self._is_crashed = True
        self._interrupt_all()

    def _interrupt_all(self) -> None:
        for running in self._running.values():
            running.action = ControlAction.REBOOT
            running.interrupted.set()

    def _start_reboot(self) -> ControlReply:
        self._is_crashed = False
        self._interrupt_all()
        if self._reboot is None or self._reboot.done():
            self.mode = WorkerMode.DOWN
            self._reboot = asyncio.get_running_loop().create_task(self._come_back())
        return ControlReply(True)

    async def _come_back(self) -> None:
        await asyncio.sleep(self.reboot_s)
        self.boots_count += 1
        if self.returns_after_reboot:
            self.mode = WorkerMode.NORMAL

    def _check_up(self) -> None:
        if self.mode is WorkerMode.DOWN:
            raise UpstreamUnsentError(f"worker {self.name} is down")


def _get_elapsed_s(running: _Running) -> float:
    return asyncio.get_running_loop().time() - running.started_at_s


def _parse_done_s(checkpoint: bytes) -> float:
    text = checkpoint.decode()
    return float(text.removeprefix(CHECKPOINT_DONE_S)) if text else 0.0
