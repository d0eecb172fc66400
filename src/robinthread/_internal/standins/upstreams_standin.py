"""The stand-in workers of a fleet as one upstream service."""

import asyncio
from collections.abc import Callable

from robinthread._internal.standins.gate import Gate
from robinthread._internal.standins.worker_standin import WorkerStandin
from robinthread._internal.upstream.control import ControlCall, ControlReply
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.upstream.reply import WorkerReply
from robinthread._internal.upstream.report import WorkerReport
from robinthread._internal.upstream.service import UpstreamService
from robinthread._internal.upstream.task import Task


def make_standin_upstream(
    workers: dict[str, WorkerStandin], can_reach: Callable[[str], bool], gate: Gate
) -> UpstreamService:
    """Make a service over ``workers`` by address.

    ``can_reach`` stands for cuts, ``gate`` for freezes of the calling process.
    """

    def get_worker(address: str) -> WorkerStandin:
        worker = workers.get(address)
        if worker is None or not can_reach(address):
            raise UpstreamUnsentError(f"no route to {address}")
        return worker

    async def run(address: str, task: Task, timeout_s: float) -> WorkerReply:
        await gate.wait()
        # A worker works on when its caller dies, so the run is a task of its own.
        work = asyncio.get_running_loop().create_task(get_worker(address).run(task, timeout_s))
        work.add_done_callback(_retrieve_exception)
        reply = await asyncio.shield(work)
        await gate.wait()
        if not can_reach(address):
            raise UpstreamLostError(f"{address} was cut off")
        return reply

    async def control(address: str, call: ControlCall) -> ControlReply:
        await gate.wait()
        return await get_worker(address).control(call)

    async def report(address: str) -> WorkerReport:
        await gate.wait()
        return await get_worker(address).report()

    return UpstreamService(run, control, report)


def _retrieve_exception(work: asyncio.Task[WorkerReply]) -> None:
    """Keep the loop from reporting errors of runs whose caller has died."""
    if not work.cancelled():
        work.exception()
