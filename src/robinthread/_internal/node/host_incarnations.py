"""Incarnations of one host, identified by its entry and its reports."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_restart import (
    adopt_runs,
    end_previous_incarnation,
    find_incarnations,
    settle_placeholder,
)
from robinthread._internal.jobs.lease_times import get_lapse_time_s
from robinthread._internal.jobs.unconfirmed_starts import RunKey
from robinthread._internal.models.host_incarnation import make_incarnation_id
from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.cold_starts import apply_cold_time
from robinthread._internal.node.host_termination import end_host, pause_after_crashes
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.pool_reporting import log_host_ended
from robinthread._internal.node.pool_runtime import LEASE_MS, PoolRuntime, get_loop_s

# A host that has not responded yet is awaited for this long.  Two polls that time out take 1.0 s
# with the pause between them.  The rest is for an owner that is late itself, such as one with
# half a core that polls about a hundred hosts at once.
FIRST_RESPONSE_MAX_S: Final = 3.0
# Pause before a stop without a response is sent again.
STOP_PAUSE_S: Final = 0.2


class HostIncarnations:
    """Incarnations of a listed host.

    ``host`` is the monitored incarnation; it is None from its end until another one responds.
    The start time in the host's reports identifies an incarnation.  The entry may be of the
    previous or the next one, so its start time counts only if reports have none.  Until
    ``unanswered_poll_until_s`` the host may receive a poll that acknowledged ends, or extended
    the lease, of an incarnation that has ended.
    """

    def __init__(self, runtime: PoolRuntime, record: UpstreamHost, orders: OrderSender) -> None:
        self._runtime = runtime
        self._jobs = runtime.jobs
        self._events = runtime.events
        self._orders = orders
        self._ended_start_times_ms: set[int] = set()
        self.unanswered_poll_until_s = 0.0
        self.entry = record
        self.host: Host | None = self._begin_incarnation(record.host_started_at_ms)

    def record_listing(self, record: UpstreamHost) -> None:
        """Apply the host's current entry."""
        self.entry = record
        host = self.host
        if host is None:
            return
        if record.host_started_at_ms in (None, host.record.host_started_at_ms):
            self._apply_entry(host)
        elif (
            host.contact is HostContact.NOT_CONTACTED
            and record.host_started_at_ms not in self._ended_start_times_ms
        ):
            self.host = self._begin_incarnation(record.host_started_at_ms)
            if host.record.host_started_at_ms is None:
                adopt_runs(self._jobs, host, self.host)
            elif not host.runs:
                self._jobs.remove_host(host.id, 0)

    def end_incarnation(
        self, reason: str, has_crashed: bool, ended_by_s: float | None = None
    ) -> None:
        """End the monitored incarnation, unless ``end_host`` postpones that.

        Another one may still respond.
        """
        host = self.host
        if host is None:
            return
        if end_host(self._runtime, host, reason, has_crashed, ended_by_s=ended_by_s):
            self._record_ended(host)
            self.host = None

    def is_other_incarnation(self, report: HostReport) -> bool:
        """Return whether a report is of another incarnation than the monitored one."""
        return self.host is not None and self._get_start_time_ms(report) not in (
            None,
            self.host.record.host_started_at_ms,
        )

    def match_report(self, report: HostReport, polled_at_s: float) -> Host:
        """Return the incarnation that a report is of, and end all others."""
        host, host_started_at_ms = self.host, self._get_start_time_ms(report)
        if host is None:
            host = self._begin_incarnation(host_started_at_ms)
        elif host_started_at_ms not in (None, host.record.host_started_at_ms):
            self._record_ended(host)
            host = self._begin_incarnation(host_started_at_ms)
        self.host = host
        if host.contact is HostContact.NOT_CONTACTED:
            self._end_others(host, report, polled_at_s)
            self._hold_back_work(host)
        return host

    def _get_start_time_ms(self, report: HostReport) -> int | None:
        """Return the start time of the reporting incarnation; None if it is unknown.

        The entry's start time is not used if it is that of an ended incarnation.
        """
        if report.host_started_at_ms is not None:
            return report.host_started_at_ms
        host_started_at_ms = self.entry.host_started_at_ms
        is_ended = self.host is not None and host_started_at_ms in self._ended_start_times_ms
        return None if is_ended else host_started_at_ms

    def _begin_incarnation(self, host_started_at_ms: int | None) -> Host:
        """Register an incarnation; the pool may know it from an earlier owner's records."""
        known = self._jobs.hosts.get(make_incarnation_id(self.entry.id, host_started_at_ms))
        record = replace(self.entry, host_started_at_ms=host_started_at_ms)
        if (
            host_started_at_ms != self.entry.host_started_at_ms
            and self.entry.host_started_at_ms is not None
        ):
            # The entry's drain state and cold time are those of another incarnation.
            record = replace(record, is_draining=False, leaves_in_ms=0, cold_for_ms=0)
        host = self._jobs.add_host(record)
        host.has_current_record = self.entry.host_started_at_ms in (None, host_started_at_ms)
        host.is_listed = True
        if host.has_current_record:
            self._apply_entry(host)
        if known is None:
            host.cold.has_uncounted_starts = get_loop_s() <= self._runtime.opened_at_s
        if known is None or known.contact is HostContact.NOT_CONTACTED:
            host.awaited_until_s = get_loop_s() + FIRST_RESPONSE_MAX_S
            pause_after_crashes(self._runtime, host)
        return host

    def _apply_entry(self, host: Host) -> None:
        """Apply the entry to an incarnation that it describes."""
        host.record = replace(self.entry, host_started_at_ms=host.record.host_started_at_ms)
        host.has_current_record = True
        drain_s = self._runtime.context.settings.bounds.drain_ms / 1000
        host.record_draining(drain_s, get_loop_s())
        apply_cold_time(self._runtime, host)

    def _record_ended(self, host: Host) -> None:
        if host.record.host_started_at_ms is not None:
            self._ended_start_times_ms.add(host.record.host_started_at_ms)

    def _end_others(self, host: Host, report: HostReport, polled_at_s: float) -> None:
        """End the host's other incarnations, including those from earlier owners' records."""
        present = {(each.task, each.run) for each in report.running}
        present |= {(each.task, each.run) for each in report.ended}
        for other in find_incarnations(self._jobs, host.record.id):
            if other is host:
                continue
            if other.is_placeholder:
                settle_placeholder(self._jobs, other, host, present)
                continue
            if (
                other.record.host_started_at_ms is None
                and other.contact is HostContact.NOT_CONTACTED
            ):
                adopt_runs(self._jobs, other, host)
                continue
            reason = "another incarnation responds under its id"
            log_host_ended(self._events, self._runtime.pool, other, reason, get_loop_s(), host.id)
            now_ms = self._runtime.context.get_wall_ms()
            end_previous_incarnation(
                self._jobs,
                other,
                host,
                present,
                polled_at_s,
                get_loop_s(),
                now_ms,
                is_present_complete=report.lists_all_ends,
            )

    def _hold_back_work(self, host: Host) -> None:
        """Place no work on an incarnation while orders for previous ones may affect it.

        Such an order may still reach it, or has granted a lease that outlasts those of this owner:
        an owner that replaced this one would count on the latter, so runs that end are stopped.
        """
        now_s, unconfirmed = get_loop_s(), self._jobs.unconfirmed_starts
        keys = [key for key in unconfirmed.list_open(host.record.id, now_s) if key not in host.runs]
        until_s = max(unconfirmed.get_last_deadline_s(host.record.id), self.unanswered_poll_until_s)
        lease_over_s = self._jobs.misdirected_leases.get_over_at_s(host.record.id)
        settled_at_s = max(
            self.unanswered_poll_until_s, lease_over_s - get_lapse_time_s(LEASE_MS, 0.0)
        )
        if max(until_s, settled_at_s) <= now_s:
            return
        if settled_at_s > now_s:
            for run in [run for run in host.runs.values() if not run.is_lasting]:
                self._jobs.stop(run)
        if until_s > now_s:
            host.lease.record_earlier_orders(
                until_s, self._runtime.context.settings.bounds.lease_max_ms
            )
        host.is_settled = False
        self._runtime.spawn(self._stop_unconfirmed(host, keys, settled_at_s))

    async def _stop_unconfirmed(
        self, host: Host, keys: Sequence[RunKey], settled_at_s: float
    ) -> None:
        """Stop unconfirmed starts that have no known run, and wait until ``settled_at_s``.

        A stop makes the host reject the start if it arrives later.
        """
        await asyncio.gather(*(self._stop_one(host, key) for key in keys))
        await asyncio.sleep(max(0.0, settled_at_s - get_loop_s()))
        host.is_settled = True
        self._runtime.wake()

    async def _stop_one(self, host: Host, key: RunKey) -> None:
        while self.host is host and not await self._orders.try_stop(host, *key):
            await asyncio.sleep(STOP_PAUSE_S)
