"""Helpers to start simulated fleets and send requests to them."""

import asyncio
from dataclasses import replace

from returns.result import Success

from robinthread._internal.daemon.daemon import Daemon
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.pool_created import PoolCreated
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.urgency import Urgency
from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.settings.wave_settings import WaveSettings
from robinthread._internal.standins.fleet_standin import FleetStandin, HallSize
from robinthread._internal.standins.job import Job, encode_job

POOL = "tiles"
SETTINGS = DaemonSettings(waves=WaveSettings(reboot_estimate_s=1.0))
ONE_HALL = (HallSize("kandy", 2, 4),)
TWO_HALLS = (HallSize("kandy", 2, 4), HallSize("matale", 2, 4))


async def start_fleet(
    halls: tuple[HallSize, ...] = TWO_HALLS,
    seed: int = 1,
    settings: DaemonSettings = SETTINGS,
    budget: Budget | None = None,
    slots: int = 8,
    assign: bool = True,
) -> FleetStandin:
    """Start a fleet with one pool, to which all hosts are assigned if ``assign`` is set."""
    fleet = FleetStandin(halls, seed, slots, settings)
    await fleet.start()
    daemon = get_daemon(fleet)
    while len(daemon.state.hosts) < len(fleet.workers):
        await asyncio.sleep(0.1)
    await publish(daemon, PoolCreated(POOL, budget or Budget()))
    if assign:
        for name in tuple(daemon.state.hosts):
            await publish(daemon, HostAssigned(name, POOL))
        await asyncio.sleep(2)
    return fleet


def get_daemon(fleet: FleetStandin, index: int = 0) -> Daemon:
    """Return the running daemon at ``index`` in the order of names."""
    return fleet.daemons[sorted(fleet.daemons)[index]]


async def publish(daemon: Daemon, body: object, operation_id: str = "") -> None:
    """Publish a record; raise AssertionError if it is refused."""
    result = await daemon.publish(body, operation_id)
    if not isinstance(result, Success):
        raise AssertionError(str(result.failure()))


def make_request(daemon: Daemon, number: int | str, **changes: object) -> CallerRequest:
    """Return a request; ``changes`` set its fields, or ``run_s`` and ``can_run`` of its job."""
    run_s = float(changes.pop("run_s", 0.05))  # type: ignore[arg-type]
    can_run = bool(changes.pop("can_run", True))
    left_s = float(changes.pop("left_s", 20.0))  # type: ignore[arg-type]
    request = CallerRequest(
        "caller",
        f"r{number}",
        POOL,
        "team",
        Urgency.NORMAL,
        daemon.environment.wall_clock() + left_s,
        False,
        encode_job(Job(run_s, can_run, payload=str(number))),
    )
    return replace(request, **changes)  # type: ignore[arg-type]


async def serve(daemon: Daemon, number: int | str, **changes: object) -> CallerAnswer:
    """Send a request to a daemon and return the answer."""
    return await daemon.entry.serve(make_request(daemon, number, **changes))


async def wait_until(condition: object, limit_s: float = 200.0) -> None:
    """Wait until ``condition()`` holds; fail after ``limit_s`` virtual seconds."""
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + limit_s
    while not condition():  # type: ignore[operator]
        if loop.time() > ends_at_s:
            raise AssertionError(f"the condition did not hold within {limit_s} s of virtual time")
        await asyncio.sleep(0.1)
