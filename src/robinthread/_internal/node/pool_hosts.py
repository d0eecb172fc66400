"""The hosts of a pool that its owner follows, from their listing to their end."""

import asyncio
import itertools
from collections.abc import Iterable

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_loss import note_crashed
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.host_follower import HostFollower
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.pool_reporting import tell_ended
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.recorder import Recorder


class PoolHosts:
    """Follows each listed host of a pool; a life that has ended never comes back."""

    def __init__(self, runtime: PoolRuntime, recorder: Recorder, orders: OrderSender) -> None:
        self._runtime = runtime
        self._jobs = runtime.jobs
        self._recorder = recorder
        self._orders = orders
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._numbers = itertools.count()
        self._ended: set[str] = set()

    def update(self) -> None:
        """Take in the listed hosts; one life of a machine ends with the next one."""
        listed = self._runtime.context.host_directory.hosts
        lives = {record.machine: record for record in listed.values()}
        for record in listed.values():
            if record.pool == self._runtime.pool and record.id not in self._ended:
                self._add(record)
        for host in list(self._jobs.hosts.values()):
            host.note_listed(host.id in listed)
            successor = lives.get(host.record.machine)
            if not host.is_listed and successor is not None:
                reason = "its machine is another host now"
                self._remove(host, reason, not host.was_to_end(), successor.id)
        self._runtime.wake()

    def end_lost(self, ended: Iterable[str]) -> None:
        """End the hosts that do not answer and that their machines do not have any more.

        One that answered last is left to its next look, which fails if it has ended.
        """
        for host_id in ended:
            host = self._jobs.hosts.get(host_id)
            if host is not None and host.contact is not HostContact.ANSWERING:
                reason = "its machine does not have it any more"
                self._remove(host, reason, not host.was_to_end())

    def end_unlisted(self, now_s: float) -> None:
        """End the hosts that an earlier owner knew and the store does not list.

        Nobody follows them, so they are over with their lease.
        """
        for host in list(self._jobs.hosts.values()):
            if host.id not in self._tasks and now_s > host.lease.over_at_s:
                self._remove(host, "it is not listed and its lease is over", has_crashed=False)

    def _add(self, record: UpstreamHost) -> None:
        host = self._jobs.add_host(record)
        drain_s = self._runtime.context.settings.bounds.drain_ms / 1000
        host.note_draining(drain_s, get_loop_s())
        if record.id not in self._tasks:
            self._pause_after_crashes(host)
            number = next(self._numbers)
            follower = HostFollower(self._runtime, host, self._recorder, self._orders, number)
            self._tasks[record.id] = self._runtime.spawn(self._follow(follower, host))

    def _pause_after_crashes(self, host: Host) -> None:
        machine, now_s = host.record.machine, get_loop_s()
        pause_s = self._jobs.crash_book.get_pause_s(machine, now_s)
        if pause_s:
            host.health.pause(pause_s, now_s)
            self._runtime.events.write(
                "host_paused",
                host=host.id,
                machine=machine,
                pool=self._runtime.pool,
                reason="its machine's hosts crash",
                pause_s=pause_s,
            )

    async def _follow(self, follower: HostFollower, host: Host) -> None:
        await follower.run()
        self._ended.add(host.id)
        self._tasks.pop(host.id, None)

    def _remove(self, host: Host, reason: str, has_crashed: bool, successor: str = "") -> None:
        task = self._tasks.pop(host.id, None)
        if task is not None:
            task.cancel()
        self._ended.add(host.id)
        tell_ended(self._runtime.events, self._runtime.pool, host, reason, get_loop_s(), successor)
        now_ms = self._runtime.context.get_wall_ms()
        if has_crashed:
            note_crashed(self._jobs, host, get_loop_s(), now_ms)
        else:
            self._jobs.remove_host(host.id, now_ms)
