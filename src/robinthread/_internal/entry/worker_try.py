"""A single try of a request on a worker."""

from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.entry.try_result import TryResult
from robinthread._internal.results import ResultCode
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.upstream.reply import ReplyStatus, WorkerReply
from robinthread._internal.upstream.service import UpstreamService
from robinthread._internal.upstream.task import Task

_RESULTS = {
    ReplyStatus.RAN: (SlotOutcome.RAN, ResultCode.RAN),
    ReplyStatus.RAN_FAILED: (SlotOutcome.RAN_FAILED, ResultCode.RAN_FAILED),
    ReplyStatus.NOT_STARTED: (SlotOutcome.NOT_STARTED, ResultCode.NOT_STARTED),
    ReplyStatus.CHECKPOINTED: (SlotOutcome.CHECKPOINTED, ResultCode.STOPPED_AFTER_START),
    ReplyStatus.STOPPED: (SlotOutcome.STOPPED, ResultCode.STOPPED_AFTER_START),
}


async def run_try(
    upstream: UpstreamService, address: str, task: Task, timeout_s: float
) -> TryResult:
    """Send ``task`` and return whether it ran, did not run or has an unknown outcome."""
    try:
        reply = await upstream.run(address, task, timeout_s)
    except UpstreamUnsentError:
        return TryResult(SlotOutcome.UNSENT, ResultCode.NO_HOST_REACHABLE)
    except UpstreamLostError:
        return TryResult(SlotOutcome.LOST, ResultCode.ANSWER_TIMED_OUT)
    return _classify_reply(reply, task)


def _classify_reply(reply: WorkerReply, task: Task) -> TryResult:
    if reply.task_id != task.id or not reply.is_intact:
        return TryResult(SlotOutcome.WRONG_ANSWER, ResultCode.ANSWER_NOT_WHOLE)
    outcome, code = _RESULTS[reply.status]
    return TryResult(outcome, code, reply.body)
