"""A complete deployment in one process, on stand-ins, for the demo and the tests."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from robinthread._internal.daemon.daemon import Daemon
from robinthread._internal.daemon.environment import Environment
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.follow.host_list import ListedHost
from robinthread._internal.platform_log.errors import LogUnavailableError
from robinthread._internal.platform_log.page import LogPage
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.standins.gate import Gate
from robinthread._internal.standins.host_list_standin import HostListStandin
from robinthread._internal.standins.ledger import Ledger
from robinthread._internal.standins.log_standin import LogStandin
from robinthread._internal.standins.peer_network import PeerNetwork
from robinthread._internal.standins.upstreams_standin import make_standin_upstream
from robinthread._internal.standins.worker_standin import EPOCH_S, WorkerStandin
from robinthread._internal.telemetry.counters import Counters


@dataclass(frozen=True)
class HallSize:
    """The name of a data hall and its numbers of daemons and hosts."""

    name: str
    daemons: int
    hosts: int


class FleetStandin:
    """Daemons, workers, log and network, timed by the running event loop's clock.

    Data halls in ``cut_halls`` can't reach other halls; data halls in ``cut_from_platform``
    can't reach the log.
    """

    def __init__(
        self,
        halls: tuple[HallSize, ...],
        seed: int,
        slots: int = 8,
        settings: DaemonSettings | None = None,
        peer_delay_s: float = 0.0005,
        hosts_per_rack: int = 4,
    ) -> None:
        self.ledger = Ledger()
        self.log = LogStandin(seed)
        self.network = PeerNetwork(seed, peer_delay_s)
        self.host_list = HostListStandin()
        self.workers: dict[str, WorkerStandin] = {}
        self.daemons: dict[str, Daemon] = {}
        self.cut_halls: set[str] = set()
        self.cut_from_platform: set[str] = set()
        self._hall_of_address: dict[str, str] = {}
        self._gates: dict[str, Gate] = {}
        self._calls: dict[str, set[asyncio.Task[CallerAnswer]]] = {}
        self._halls = halls
        self._seed = seed
        self._base_settings = settings or DaemonSettings()
        self._start_count = 0
        self.network.can_reach = self._can_reach
        listed = []
        for hall in halls:
            for index in range(hall.hosts):
                listed.append(self._add_worker(hall.name, index, slots, hosts_per_rack))
        self._listed = tuple(listed)

    @property
    def hall_names(self) -> tuple[str, ...]:
        """Return the names of the data halls."""
        return tuple(hall.name for hall in self._halls)

    async def start(self) -> None:
        """List all hosts, start every daemon and wait until each one is a member."""
        self.host_list.set_hosts(self._listed)
        names = [
            (f"{hall.name}-d{index}", hall.name)
            for hall in self._halls
            for index in range(hall.daemons)
        ]
        await asyncio.gather(*(self.start_daemon(name, hall) for name, hall in names))
        for daemon in self.daemons.values():
            await daemon.wait_until_member()

    async def start_daemon(self, name: str, hall: str) -> Daemon:
        """Start a daemon, or a replacement for one under the same name, at a new address."""
        self._start_count += 1
        address = f"tcp://{name}/{self._start_count}"
        self._hall_of_address[address] = hall
        seeds = tuple(other.router.address for other in self.daemons.values())
        settings = replace(self._base_settings, name=name, hall=hall, peer_seeds=seeds)
        gate = self._gates[name] = Gate()
        environment = Environment(
            log=self._make_log(hall, gate),
            upstream=make_standin_upstream(
                self.workers, lambda target: self._can_reach(address, target), gate
            ),
            list_hosts=self.host_list.list_hosts,
            peers=self.network.make_transport(address, gate),
            wall_clock=make_loop_wall_clock(),
            random=random.Random(f"{self._seed}-{address}"),
            counters=Counters(),
        )
        daemon = Daemon(settings, environment)
        self.daemons[name] = daemon
        await daemon.start()
        return daemon

    async def call(self, name: str, request: CallerRequest) -> CallerAnswer:
        """Send a request to a daemon; raise ``ConnectionError`` if it is down or crashes."""
        daemon = self.daemons.get(name)
        if daemon is None:
            raise ConnectionRefusedError(name)
        task = asyncio.get_running_loop().create_task(daemon.entry.serve(request))
        calls = self._calls.setdefault(name, set())
        calls.add(task)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            raise ConnectionResetError(name) from None
        finally:
            calls.discard(task)

    def crash(self, name: str) -> None:
        """End a daemon without a shutdown; its callers' connections are reset."""
        self.thaw(name)
        self.daemons.pop(name).close()
        for task in tuple(self._calls.get(name, ())):
            task.cancel()

    def freeze(self, name: str) -> None:
        """Pause a daemon: its outgoing calls and incoming data wait until ``thaw``."""
        self._gates[name].close()

    def thaw(self, name: str) -> None:
        """Resume a paused daemon."""
        self._gates[name].open()

    def close(self) -> None:
        """Crash all daemons."""
        for name in tuple(self.daemons):
            self.crash(name)

    def count(self, name: str) -> float:
        """Return the sum of a counter over the running daemons."""
        return sum(daemon.counters.tally[name] for daemon in self.daemons.values())

    def _add_worker(self, hall: str, index: int, slots: int, hosts_per_rack: int) -> ListedHost:
        name = f"{hall}-h{index:03d}"
        address = f"{name}:80"
        self._hall_of_address[address] = hall
        self.workers[address] = WorkerStandin(name, slots, self.ledger)
        rack = f"{hall}-r{index // hosts_per_rack}"
        return ListedHost(name, hall, rack, address, slots, 64)

    def _can_reach(self, source: str, target: str) -> bool:
        halls = {self._hall_of_address[source], self._hall_of_address[target]}
        return len(halls) == 1 or not halls & self.cut_halls

    def _make_log(self, hall: str, gate: Gate) -> LogService:
        async def append(stream: str, data: bytes) -> int:
            await gate.wait()
            self._check_platform_reachable(hall)
            offset = await self.log.append(stream, data)
            await gate.wait()
            return offset

        async def read(stream: str, from_offset: int, max_records: int, wait_s: float) -> LogPage:
            await gate.wait()
            self._check_platform_reachable(hall)
            page = await self.log.read(stream, from_offset, max_records, wait_s)
            await gate.wait()
            self._check_platform_reachable(hall)
            return page

        return LogService(append, read)

    def _check_platform_reachable(self, hall: str) -> None:
        if hall in self.cut_from_platform:
            raise LogUnavailableError(f"data hall {hall!r} is cut off from the platform")


def make_loop_wall_clock() -> Callable[[], float]:
    """Make a wall clock that follows the running loop's clock, which may be virtual."""
    loop = asyncio.get_running_loop()
    return lambda: EPOCH_S + loop.time()
