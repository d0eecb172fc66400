"""Failures that benches inject; each lasts for a random time within its bounds."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

from robinthread._internal.standins.fleet_standin import FleetStandin
from robinthread._internal.standins.worker_standin import WorkerMode

Cause = Callable[[FleetStandin, random.Random], Awaitable[None]]


async def cause_in_pairs(
    fleet: FleetStandin,
    choices: random.Random,
    causes: tuple[Cause, ...],
    least_pause_s: float,
    most_pause_s: float,
) -> None:
    """Inject two failures at a time, with a random pause between pairs, until cancelled."""
    while True:
        await asyncio.sleep(choices.uniform(least_pause_s, most_pause_s))
        chosen = choices.sample(causes, 2)
        await asyncio.gather(*(cause(fleet, choices) for cause in chosen))


def make_worker_failure(modes: tuple[WorkerMode, ...], least_s: float, most_s: float) -> Cause:
    """Return a cause that puts a random worker into one of ``modes``."""

    async def fail(fleet: FleetStandin, choices: random.Random) -> None:
        worker = fleet.workers[choices.choice(sorted(fleet.workers))]
        mode = choices.choice(modes)
        if worker.mode is not WorkerMode.NORMAL:
            return
        if mode is WorkerMode.DOWN:
            worker.crash()
        worker.mode = mode
        await asyncio.sleep(choices.uniform(least_s, most_s))
        worker.mode = WorkerMode.NORMAL

    return fail


def make_kill(least_s: float, most_s: float) -> Cause:
    """Return a cause that kills a random daemon and restarts it after the failure's duration."""

    async def kill(fleet: FleetStandin, choices: random.Random) -> None:
        name = choices.choice(sorted(fleet.daemons))
        hall = fleet.daemons[name].settings.hall
        fleet.crash(name)
        await asyncio.sleep(choices.uniform(least_s, most_s))
        await fleet.start_daemon(name, hall)

    return kill


def make_freeze(least_s: float, most_s: float) -> Cause:
    """Return a cause that pauses a random daemon."""

    async def freeze(fleet: FleetStandin, choices: random.Random) -> None:
        name = choices.choice(sorted(fleet.daemons))
        fleet.freeze(name)
        await asyncio.sleep(choices.uniform(least_s, most_s))
        if name in fleet.daemons:
            fleet.thaw(name)

    return freeze


def make_log_outage(least_s: float, most_s: float) -> Cause:
    """Return a cause that makes the platform's log unavailable."""

    async def stop(fleet: FleetStandin, choices: random.Random) -> None:
        fleet.log.faults = replace(fleet.log.faults, is_out=True)
        await asyncio.sleep(choices.uniform(least_s, most_s))
        fleet.log.faults = replace(fleet.log.faults, is_out=False)

    return stop


def make_lost_replies(share: float, least_s: float, most_s: float) -> Cause:
    """Return a cause that drops ``share`` of the log's replies, slows it and repeats frames."""

    async def lose(fleet: FleetStandin, choices: random.Random) -> None:
        fleet.log.faults = replace(fleet.log.faults, lost_reply_share=share, delay_s=0.02)
        fleet.network.repeated_share = 0.1
        await asyncio.sleep(choices.uniform(least_s, most_s))
        fleet.log.faults = replace(fleet.log.faults, lost_reply_share=0.0, delay_s=0.0)
        fleet.network.repeated_share = 0.0

    return lose


def make_hall_cut(least_s: float, most_s: float) -> Cause:
    """Return a cause that cuts a hall off from the others, half the time from the platform too."""

    async def cut(fleet: FleetStandin, choices: random.Random) -> None:
        hall = choices.choice(fleet.hall_names)
        with_platform = choices.random() < 0.5
        fleet.cut_halls.add(hall)
        if with_platform:
            fleet.cut_from_platform.add(hall)
        await asyncio.sleep(choices.uniform(least_s, most_s))
        fleet.cut_halls.discard(hall)
        fleet.cut_from_platform.discard(hall)

    return cut
