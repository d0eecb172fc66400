"""Demonstration on one machine: requests during a maintenance wave and a migration."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from logging import CRITICAL, getLogger
from typing import Any, Final

from absl import logging
from returns.result import Success
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tqdm import tqdm

from robinthread._internal.daemon.process import DaemonProcess, Listener
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.pool_created import PoolCreated
from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.follow.host_list import ListedHost
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.wave import WaveKind, WaveState
from robinthread._internal.results import FaultError
from robinthread._internal.settings.daemon_settings import DaemonSettings, ListenSettings
from robinthread._internal.settings.platform_settings import PlatformSettings
from robinthread._internal.settings.wave_settings import WaveSettings
from robinthread._internal.standins.host_list_standin import HostListStandin
from robinthread._internal.standins.http_servers import (
    make_platform_application,
    make_worker_application,
)
from robinthread._internal.standins.job import Job, encode_job, make_answer
from robinthread._internal.standins.ledger import Ledger
from robinthread._internal.standins.log_standin import LogStandin
from robinthread._internal.standins.worker_standin import WorkerStandin
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.upstream.reply import make_body_digest

HALLS: Final = ("east", "west")
POOLS: Final = ("tiles", "orders")
DAEMONS_PER_HALL: Final = 2
HOSTS_PER_POOL: Final = 4
SLOTS: Final = 8
CONNECTIONS: Final = 64
CALLERS: Final = 16
REBOOT_S: Final = 1.0
JOB_S: Final = 0.02
DEADLINE_S: Final = 60.0
POLL_S: Final = 0.05
BODY_MAX_BYTES: Final = 4_000_000
LOOPBACK: Final = "127.0.0.1:0"


@dataclass
class _CallerResults:
    """Result codes, wrong answers and request keys that the callers received."""

    codes: Counter[str] = field(default_factory=Counter)
    wrong_answers: int = 0
    keys: set[str] = field(default_factory=set)


class _Site:
    """Platform, workers and daemons of the demonstration, on loopback."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.log = LogStandin()
        self.host_list = HostListStandin()
        self.processes: list[DaemonProcess] = []
        self.listeners: list[Listener] = []
        self.hosts: list[ListedHost] = []

    @property
    def state(self) -> FleetState:
        """Return the fleet state of the first daemon."""
        return self.processes[0].daemon.state

    async def start(self) -> None:
        """Start the platform, the workers and the daemons."""
        platform = self._listen(make_platform_application(self.log, self.host_list))
        # The hosts of both pools in the first hall, and free hosts in the second as the target of
        # the migration.
        for pool, hall in (("tiles", "east"), ("orders", "east"), ("spare", "west")):
            for index in range(HOSTS_PER_POOL):
                self.hosts.append(self._start_worker(f"{pool}-{index}", hall))
        self.host_list.set_hosts(tuple(self.hosts))
        for hall, index in itertools.product(HALLS, range(DAEMONS_PER_HALL)):
            settings = _make_settings(f"{hall}-{index}", hall, platform.address)
            self.processes.append(DaemonProcess(settings, Counters()))
        await asyncio.gather(*(process.start() for process in self.processes))
        await _wait_until(lambda: len(self.state.hosts) == len(self.hosts))
        await _wait_until(lambda: len(self.state.daemons) == len(self.processes))

    async def publish(self, body: object) -> None:
        """Publish a record through the first daemon; raise ``FaultError`` if it is refused."""
        result = await self.processes[0].daemon.publish(body)
        if not isinstance(result, Success):
            raise FaultError(result.failure())

    async def close(self) -> None:
        """Stop the daemons gracefully."""
        await asyncio.gather(*(process.stop() for process in self.processes))
        # tornado logs each long poll that is still open when the event loop ends, which is
        # expected here.
        getLogger("tornado").setLevel(CRITICAL)

    def _listen(self, application: Any) -> Listener:
        listener = Listener(LOOPBACK)
        listener.serve(application, BODY_MAX_BYTES)
        self.listeners.append(listener)
        return listener

    def _start_worker(self, name: str, hall: str) -> ListedHost:
        worker = WorkerStandin(name, SLOTS, self.ledger, REBOOT_S)
        listener = self._listen(make_worker_application(worker))
        return ListedHost(name, hall, f"{hall}-rack", listener.address, SLOTS, CONNECTIONS)


def run_demo(requests: int, seed: int, with_progress: bool) -> int:
    """Run the demonstration and print a table of its results.

    Return 0 if every request ran exactly once with a right answer and all budgets held, else 1.
    """
    logging.set_verbosity(logging.ERROR)
    return asyncio.run(_run(requests, seed, with_progress))


async def _run(requests: int, seed: int, with_progress: bool) -> int:
    site = _Site()
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=4 * CALLERS)
    await site.start()
    for pool in POOLS:
        await site.publish(PoolCreated(pool, Budget(min_serving_hosts=HOSTS_PER_POOL - 1)))
    for host in site.hosts:
        pool = host.name.partition("-")[0]
        if pool in POOLS:
            await site.publish(HostAssigned(host.name, pool))
    caller_results = _CallerResults()
    with tqdm(total=requests, unit="request", disable=not with_progress) as bar:
        waves_task = asyncio.create_task(_run_waves(site))
        numbers = iter(range(requests))
        await asyncio.gather(
            *(_run_caller(site, client, seed, numbers, caller_results, bar) for _ in range(CALLERS))
        )
        budgets_held = await waves_task
    _print_table(site, caller_results, requests, budgets_held)
    await site.close()
    passed = (
        caller_results.codes["RAN"] == requests
        and not caller_results.wrong_answers
        and not site.ledger.list_keys_run_twice()
        and budgets_held
    )
    return 0 if passed else 1


async def _run_waves(site: _Site) -> bool:
    """Reboot the hosts of one pool and migrate the other.

    Return whether the budgets of all pools were met after each change of the fleet state.
    """
    budgets_held = True

    def check_budgets(_: object) -> None:
        nonlocal budgets_held
        budgets_held = budgets_held and all(
            pool.budget.is_met_by(site.state.iter_pool_hosts(pool.name))
            for pool in site.state.pools.values()
        )

    site.processes[0].daemon.follower.watch(check_budgets)
    tiles = tuple(host.name for host in site.hosts if host.name.startswith("tiles"))
    orders = tuple(host.name for host in site.hosts if host.name.startswith("orders"))
    await site.publish(WaveCreated("kernel", "kernel update", WaveKind.REBOOT, tiles))
    await site.publish(
        WaveCreated(
            "to-west",
            "migrate orders from east to west",
            WaveKind.RELEASE,
            orders,
            to_pool="orders",
            to_hall="west",
            to_count=len(orders),
        )
    )
    await _wait_until(
        lambda: all(
            site.state.waves[name].state is WaveState.DONE for name in ("kernel", "to-west")
        )
    )
    return budgets_held


async def _run_caller(
    site: _Site,
    client: AsyncHTTPClient,
    seed: int,
    numbers: Any,
    caller_results: _CallerResults,
    bar: Any,
) -> None:
    for number in numbers:
        await _call(site, client, seed, number, caller_results)
        bar.update()


async def _call(
    site: _Site, client: AsyncHTTPClient, seed: int, number: int, caller_results: _CallerResults
) -> None:
    is_repeatable = number % 2 == 0
    process = site.processes[number % len(site.processes)]
    pool = POOLS[(number // 2) % len(POOLS)]
    body = encode_job(Job(run_s=JOB_S, payload=f"{seed}-{number}"))
    headers = {
        "Caller-Id": "demo",
        "Request-Id": f"{seed}-{number}",
        "Team": f"team-{number % 3}",
        "Deadline-At-S": f"{time.time() + DEADLINE_S:.3f}",
        "May-Repeat": "yes" if is_repeatable else "no",
    }
    url = f"http://{process.callers.address}/v1/pools/{pool}/requests"
    request = HTTPRequest(
        url, method="POST", headers=headers, body=body, request_timeout=DEADLINE_S
    )
    response = await client.fetch(request, raise_error=False)
    caller_results.codes[response.headers.get("Result-Name", "NONE")] += 1
    key = response.body.split(b" ", 1)[0].decode()
    is_right = (
        response.body == make_answer(key, body)
        and response.headers.get("Answer-Digest") == make_body_digest(response.body)
        and key not in caller_results.keys
    )
    caller_results.keys.add(key)
    caller_results.wrong_answers += not is_right


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(POLL_S)


def _make_settings(name: str, hall: str, platform: str) -> DaemonSettings:
    listen = ListenSettings(LOOPBACK, LOOPBACK, LOOPBACK, f"tcp://{LOOPBACK}")
    return DaemonSettings(
        name=name,
        hall=hall,
        listen=listen,
        platform=PlatformSettings(
            log_url=f"http://{platform}",
            host_list_url=f"http://{platform}",
            host_list_interval_s=0.5,
        ),
        waves=WaveSettings(reboot_estimate_s=REBOOT_S),
    )


def _print_table(
    site: _Site, caller_results: _CallerResults, requests: int, budgets_held: bool
) -> None:
    measures = [process.daemon.measures for process in site.processes]
    moved = sum(host.slots for host in site.hosts if host.name.startswith(POOLS))
    rows = [
        ("answers owed", requests),
        ("answers received", caller_results.codes["RAN"]),
        ("wrong or mixed-up answers", caller_results.wrong_answers),
        ("requests run twice", len(site.ledger.list_keys_run_twice())),
        ("requests cut short", site.ledger.cut_short_count),
        ("budgets held throughout", "yes" if budgets_held else "NO"),
        ("hosts rebooted", HOSTS_PER_POOL),
        ("hosts migrated", HOSTS_PER_POOL),
        ("moves of tasks", sum(part.moves for part in measures)),
        ("roll-out time, s", f"{max(part.rollout_s for part in measures):.1f}"),
        ("buffer cost, slot s", f"{sum(part.buffer_slot_s for part in measures):.1f}"),
        # Lower bound of the buffer cost: every order of drains costs at least the reboots
        # themselves.  A higher cost is not an error.
        ("of it the reboots alone", f"{moved / 2 * REBOOT_S:.1f}"),
        ("log appends", site.log.appends_count),
    ]
    for label, value in rows:
        print(f"{label:28s}{value:>10}")
