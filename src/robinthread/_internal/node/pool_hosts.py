"""Monitors of a pool's hosts, from their listing to their end."""

import asyncio
import itertools
from collections.abc import Iterable

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_restart import find_incarnations
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.host_monitor import HostMonitor
from robinthread._internal.node.host_termination import end_host
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.progress_recorder import ProgressRecorder
from robinthread._internal.node.unsent_starts import give_back_leaving
from robinthread._internal.utils.error_text import describe_error


class PoolHosts:
    """Runs a monitor for each listed host of a pool, across the host's incarnations."""

    def __init__(
        self, runtime: PoolRuntime, progress_recorder: ProgressRecorder, orders: OrderSender
    ) -> None:
        self._runtime = runtime
        self._jobs = runtime.jobs
        self._progress_recorder = progress_recorder
        self._orders = orders
        self._monitors: dict[str, HostMonitor] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._numbers = itertools.count()
        self._reported_ended: dict[str, frozenset[str]] = {}

    def update(self) -> None:
        """Apply the list of hosts; a host that is unlisted ends once its machine has another."""
        listed = self._runtime.context.host_directory.hosts
        by_machine = {record.machine: record for record in listed.values()}
        own = {record.id: record for record in listed.values() if record.pool == self._runtime.pool}
        own = {host_id: record for host_id, record in own.items() if self._start_monitor(record)}
        for host_id, monitor in self._monitors.items():
            monitor.is_listed = host_id in own
        for host in list(self._jobs.hosts.values()):
            host.record_listing(self._is_listed(host, own))
            successor = by_machine.get(host.record.machine)
            if not host.is_listed and successor is not None and successor.id != host.record.id:
                self._remove(host, "its machine has become another host", successor.id)
        give_back_leaving(self._runtime)
        self._runtime.wake()

    def end_lost(self, ended: Iterable[str], ended_by_s: float) -> None:
        """End the unresponsive hosts that no longer exist on their machines.

        ``ended`` are the ids of such hosts, which the steward reports; at ``ended_by_s`` or later,
        no machine had them.  A host that responded last is left to its next poll, which fails if
        the host has ended.  An id is reported for seconds, and the host may have restarted under it
        meanwhile.  Only the incarnations known when an id was first reported are ended, and none
        that may still respond.
        """
        self._reported_ended = {
            host_id: self._reported_ended.get(
                host_id, frozenset(host.id for host in find_incarnations(self._jobs, host_id))
            )
            for host_id in ended
        }
        for host in [
            host
            for host_id in self._reported_ended
            for host in find_incarnations(self._jobs, host_id)
        ]:
            is_silent = host.contact is not HostContact.ANSWERING
            is_reported = host.id in self._reported_ended[host.record.id] or host.is_placeholder
            if is_silent and is_reported and not host.is_awaited(get_loop_s()):
                self._end(
                    host,
                    "its machine no longer has it",
                    has_crashed=not host.is_placeholder,
                    ended_by_s=ended_by_s,
                )

    def end_unlisted(self, now_s: float) -> None:
        """End the hosts known from an earlier owner's records that the store does not list.

        They have no monitor, so they end when their lease lapses.
        """
        for host in list(self._jobs.hosts.values()):
            if not self._is_monitored(host) and host.has_lapsed(now_s):
                self._end(host, "it is not listed and its lease has lapsed", has_crashed=False)

    def _is_listed(self, host: Host, own: dict[str, UpstreamHost]) -> bool:
        """Return whether a host has an entry.

        The entry must be of the same incarnation, unless this incarnation is the monitored one.
        """
        record = own.get(host.record.id)
        return record is not None and (
            self._is_monitored(host)
            or record.host_started_at_ms in (None, host.record.host_started_at_ms)
        )

    def _is_monitored(self, host: Host) -> bool:
        monitor = self._monitors.get(host.record.id)
        return monitor is not None and monitor.incarnations.host is host

    def _start_monitor(self, record: UpstreamHost) -> bool:
        """Monitor a host by its entry; return False if the entry cannot be used."""
        try:
            self._apply_entry(record)
        except Exception as error:
            self._runtime.events.gather(
                "host_left_out",
                by={"pool": record.pool},
                listed={"hosts": record.id},
                **describe_error(error),
            )
            return False
        return True

    def _apply_entry(self, record: UpstreamHost) -> None:
        monitor = self._monitors.get(record.id)
        if monitor is not None:
            monitor.incarnations.record_listing(record)
            return
        number = next(self._numbers)
        monitor = HostMonitor(self._runtime, record, self._progress_recorder, self._orders, number)
        self._monitors[record.id] = monitor
        self._tasks[record.id] = self._runtime.spawn(self._run(record.id, monitor))

    async def _run(self, host_id: str, monitor: HostMonitor) -> None:
        await monitor.run()
        self._monitors.pop(host_id, None)
        self._tasks.pop(host_id, None)

    def _end(
        self, host: Host, reason: str, has_crashed: bool, ended_by_s: float | None = None
    ) -> None:
        if self._is_monitored(host):
            incarnations = self._monitors[host.record.id].incarnations
            incarnations.end_incarnation(reason, has_crashed, ended_by_s)
        else:
            end_host(self._runtime, host, reason, has_crashed, ended_by_s=ended_by_s)

    def _remove(self, host: Host, reason: str, successor: str) -> None:
        """End a host that is no longer listed, and stop its monitor."""
        if self._is_monitored(host):
            self._monitors.pop(host.record.id)
            self._tasks.pop(host.record.id).cancel()
        end_host(self._runtime, host, reason, True, successor)
