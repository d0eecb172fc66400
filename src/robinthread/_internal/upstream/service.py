"""Interface of the calls to workers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from robinthread._internal.upstream.control import ControlCall, ControlReply
from robinthread._internal.upstream.reply import WorkerReply
from robinthread._internal.upstream.report import WorkerReport
from robinthread._internal.upstream.task import Task

RunFunction = Callable[[str, Task, float], Awaitable[WorkerReply]]
ControlFunction = Callable[[str, ControlCall], Awaitable[ControlReply]]
ReportFunction = Callable[[str], Awaitable[WorkerReport]]


@dataclass(frozen=True)
class UpstreamService:
    """Calls to a worker; the first argument of each is the worker's address.

    ``run(address, task, timeout_s)`` returns the task's reply.  All calls raise
    ``UpstreamUnsentError`` or ``UpstreamLostError``.
    """

    run: RunFunction
    control: ControlFunction
    report: ReportFunction
