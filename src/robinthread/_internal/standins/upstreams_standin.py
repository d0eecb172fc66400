"""The stand-in workers of a fleet as one upstream service."""

from collections.abc import Callable

from robinthread._internal.standins.worker_standin import WorkerStandin
from robinthread._internal.upstream.control import ControlCall, ControlReply
from robinthread._internal.upstream.errors import UpstreamUnsentError
from robinthread._internal.upstream.reply import WorkerReply
from robinthread._internal.upstream.report import WorkerReport
from robinthread._internal.upstream.service import UpstreamService
from robinthread._internal.upstream.task import Task


def make_standin_upstream(
    workers: dict[str, WorkerStandin], can_reach: Callable[[str], bool] = lambda address: True
) -> UpstreamService:
    """Make a service over ``workers`` by address; ``can_reach`` stands for cuts."""

    def get_worker(address: str) -> WorkerStandin:
        worker = workers.get(address)
        if worker is None or not can_reach(address):
            raise UpstreamUnsentError(f"no route to {address}")
        return worker

    async def run(address: str, task: Task, timeout_s: float) -> WorkerReply:
        return await get_worker(address).run(task, timeout_s)

    async def control(address: str, call: ControlCall) -> ControlReply:
        return await get_worker(address).control(call)

    async def report(address: str) -> WorkerReport:
        return await get_worker(address).report()

    return UpstreamService(run, control, report)
