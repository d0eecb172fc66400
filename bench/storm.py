"""A storm: 20,000 requests over four daemons in two halls, with failures in pairs.

A third of the requests must not be repeated.  Duplicates go to randomly chosen daemons,
workers fail in every mode, daemons are killed, frozen and replaced, the log is unavailable,
slow or drops replies, and a data hall is cut off and reconnected.  Counts are deterministic
for a seed.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from tests.lib.fleets import get_daemon, make_request, start_fleet

from bench.failures import (
    cause_in_pairs,
    make_freeze,
    make_hall_cut,
    make_kill,
    make_log_outage,
    make_lost_replies,
    make_worker_failure,
)
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.models.budget import Budget
from robinthread._internal.results import Family, ResultCode
from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.standins.fleet_standin import FleetStandin
from robinthread._internal.standins.job import make_answer
from robinthread._internal.standins.worker_standin import WorkerMode
from robinthread._internal.timeline.event import Event

RATE_PER_S = 200
DUPLICATE_SHARE = 0.06
DEADLINE_S = 20.0
RETRY_S = 0.2
BAD_MODES = (
    WorkerMode.FAILS_EVERYTHING,
    WorkerMode.HANGS,
    WorkerMode.TRUNCATES,
    WorkerMode.ANSWERS_ANOTHER,
    WorkerMode.DOWN,
)


CAUSES = (
    make_worker_failure(BAD_MODES, 2.0, 10.0),
    make_kill(0.5, 8.0),
    make_freeze(0.5, 12.0),
    make_log_outage(0.5, 6.0),
    make_lost_replies(0.3, 1.0, 5.0),
    make_hall_cut(2.0, 20.0),
)


@dataclass
class StormTally:
    """Answers that callers received, and the number of violations of each guarantee."""

    answers: Counter[str] = field(default_factory=Counter)
    duplicates: int = 0
    connections_lost: int = 0
    run_twice: int = 0
    lost: int = 0
    mixed_up: int = 0
    said_did_not_run_but_ran: int = 0
    busy_refusals: int = 0
    claim_appends: int = 0
    events: tuple[Event, ...] = ()

    @property
    def broken(self) -> int:
        """Return the total number of violated guarantees."""
        return self.run_twice + self.lost + self.mixed_up + self.said_did_not_run_but_ran


async def run_storm(requests: int, seed: int, settings: DaemonSettings) -> StormTally:
    """Run a storm of ``requests`` requests and return its counts."""
    fleet = await start_fleet(
        seed=seed, settings=settings, budget=Budget(min_serving_hosts=2), slots=8
    )
    tally = StormTally()
    chaos = asyncio.create_task(
        cause_in_pairs(fleet, random.Random(f"chaos-{seed}"), CAUSES, 1.0, 4.0)
    )
    choices = random.Random(f"callers-{seed}")
    calls = []
    finals: dict[str, set[ResultCode]] = {}
    for number in range(requests):
        calls.append(asyncio.create_task(_call_once(fleet, number, choices, tally, finals)))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*calls)
    chaos.cancel()
    _check_promises(fleet, tally, finals, requests)
    fleet.close()
    return tally


async def _call_once(
    fleet: FleetStandin,
    number: int,
    choices: random.Random,
    tally: StormTally,
    finals: dict[str, set[ResultCode]],
) -> None:
    """Send a request, and for ``DUPLICATE_SHARE`` of them a duplicate, and count the answers."""
    is_repeatable = number % 3 != 0
    request = make_request(
        get_daemon(fleet),
        number,
        is_repeatable=is_repeatable,
        run_s=choices.choice((0.02, 0.05, 0.1, 0.4)),
        can_run=choices.random() > 0.005,
        left_s=DEADLINE_S,
    )
    names = sorted(fleet.daemons)
    copies = [choices.choice(names)]
    if choices.random() < DUPLICATE_SHARE:
        copies.append(choices.choice(names))
        tally.duplicates += 1
    delays = [0.0, choices.choice((0.0, 0.01, 0.3, 5.0, DEADLINE_S + 5))]
    answers = await asyncio.gather(
        *(
            _call_until_answered(
                fleet, name, replace(request, try_number=try_number), delay_s, tally
            )
            for try_number, (name, delay_s) in enumerate(zip(copies, delays, strict=False), 1)
        )
    )
    key = request.make_key().hex()
    for answer in answers:
        tally.answers[answer.code.name] += 1
        if answer.code is ResultCode.RAN and answer.body != make_answer(key, request.body):
            tally.mixed_up += 1
    if not is_repeatable:
        finals[key] = {answer.code for answer in answers}


async def _call_until_answered(
    fleet: FleetStandin, name: str, request: CallerRequest, delay_s: float, tally: StormTally
) -> CallerAnswer:
    """Call like a caller behind a load balancer: retry elsewhere if the connection drops."""
    await asyncio.sleep(delay_s)
    for attempt in itertools.count():
        incarnation = fleet.daemons[name].incarnation if name in fleet.daemons else ""
        try:
            answer = await fleet.call(name, request)
            _check_refusal(fleet, request, answer, incarnation, tally)
            return answer
        except ConnectionError:
            tally.connections_lost += 1
            request = replace(request, try_number=request.try_number + 1)
            await asyncio.sleep(RETRY_S)
            names = sorted(fleet.daemons)
            name = names[attempt % len(names)] if names else name
    raise AssertionError


def _check_refusal(
    fleet: FleetStandin,
    request: CallerRequest,
    answer: CallerAnswer,
    incarnation: str,
    tally: StormTally,
) -> None:
    """Count a "did not run" answer if this try or an earlier one has run.

    A first try does not count a run that a later try started, as another daemon may handle it.
    """
    starter = fleet.ledger.started_by.get(request.make_key().hex(), "")
    is_of_this_try = bool(starter) and starter.startswith(incarnation)
    is_of_earlier = bool(starter) and request.try_number > 1
    if answer.code.family is Family.DID_NOT_RUN and (is_of_this_try or is_of_earlier):
        tally.said_did_not_run_but_ran += 1


def _check_promises(
    fleet: FleetStandin, tally: StormTally, finals: dict[str, set[ResultCode]], requests: int
) -> None:
    started = fleet.ledger.started
    tally.run_twice = sum(started[key] > 1 for key in finals)
    answered = sum(tally.answers.values())
    tally.lost = requests + tally.duplicates - answered
    tally.busy_refusals = fleet.ledger.refused_busy_count
    tally.claim_appends = int(fleet.count("claim_appends"))
