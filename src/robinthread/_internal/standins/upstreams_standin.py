"""An upstream service over the stand-in workers of a fleet."""

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
    """Make a service that calls ``workers`` by their addresses.

    ``can_reach`` models network partitions, ``gate`` pauses of the calling process.
    """

    def get_worker(address: str) -> WorkerStandin:
        worker = workers.get(address)
        if worker is None or not can_reach(address):
            raise UpstreamUnsentError(f"no route to {address}")
        return worker

    async def run(address: str, task: Task, timeout_s: float) -> WorkerReply:
        await gate.wait()
        # A worker continues when its caller ends, so the run is a separate task.
        work = asyncio.get_running_loop().create_task(get_worker(address).run(task, timeout_s))
        work.add_done_callback(_retrieve_exception)
        reply = await asyncio.shield(work)
        await gate.wait()
        if not can_reach(address):
            raise UpstreamLostError(f"{address} became unreachable during the run")
        return reply

    async def control(address: str, call: ControlCall) -> ControlReply:
        await gate.wait()
        return await get_worker(address).control(call)

    async def report(address: str) -> WorkerReport:
        await gate.wait()
        return await get_worker(address).report()

    return UpstreamService(run, control, report)


def _retrieve_exception(work: asyncio.Task[WorkerReply]) -> None:
    """Retrieve a run's exception, so that the loop doesn't report it if the caller ended."""
    if not work.cancelled():
        work.exception()
