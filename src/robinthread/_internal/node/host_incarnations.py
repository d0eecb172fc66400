"""The lives of one host, as its entry and its reports tell them apart."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_restart import (
    adopt_runs,
    end_previous_incarnation,
    find_incarnations,
)
from robinthread._internal.jobs.unconfirmed_starts import RunKey
from robinthread._internal.models.host_incarnation import make_incarnation_id
from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.host_termination import end_host, pause_after_crashes
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.pool_reporting import log_host_ended
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s

# How long a host that was never heard is taken for one that will answer.  Two looks that
# time out, with the pause between them, take 1.0 s; the rest is for an owner that is late
# itself, as one with half a core that looks at some hundred hosts at once.
FIRST_RESPONSE_MAX_S: Final = 3.0
# Pause before a stop without an answer is sent again.
STOP_PAUSE_S: Final = 0.2


class HostIncarnations:
    """Lives of a host that is listed.

    ``host`` is the life that is followed: None once it has ended, until another answers.  What
    the host itself says of its birth counts; an entry may be of the life before or after, and
    tells only where reports do not.  Until ``unanswered_poll_until_s`` a look may reach the host
    that acknowledged ends, or extended a lease, of a life that has ended.
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
        """Take in what the host's entry says now."""
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

    def end_incarnation(self, reason: str, has_crashed: bool) -> None:
        """Note that the life that is followed has ended; another one may answer yet."""
        host, self.host = self.host, None
        if host is not None:
            self._record_ended(host)
            end_host(self._runtime, host, reason, has_crashed)

    def is_other_incarnation(self, report: HostReport) -> bool:
        """Tell whether a report is of another life than the one that is followed."""
        return self.host is not None and self._get_start_time_ms(report) not in (
            None,
            self.host.record.host_started_at_ms,
        )

    def match_report(self, report: HostReport, polled_at_s: float) -> Host:
        """Return the life that a report is of; those before it have ended."""
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
        """Return the birth of the life that reports; an entry may be of one that has ended."""
        if report.host_started_at_ms is not None:
            return report.host_started_at_ms
        host_started_at_ms = self.entry.host_started_at_ms
        is_ended = self.host is not None and host_started_at_ms in self._ended_start_times_ms
        return None if is_ended else host_started_at_ms

    def _begin_incarnation(self, host_started_at_ms: int | None) -> Host:
        """Follow a life; the pool may know it from an earlier owner's record."""
        known = self._jobs.hosts.get(make_incarnation_id(self.entry.id, host_started_at_ms))
        record = replace(self.entry, host_started_at_ms=host_started_at_ms)
        if (
            host_started_at_ms != self.entry.host_started_at_ms
            and self.entry.host_started_at_ms is not None
        ):
            # What the entry says of draining is another life's.
            record = replace(record, is_draining=False, leaves_in_ms=0)
        host = self._jobs.add_host(record)
        host.has_current_record = self.entry.host_started_at_ms in (None, host_started_at_ms)
        host.is_listed = True
        if host.has_current_record:
            self._apply_entry(host)
        if known is None or known.contact is HostContact.NOT_CONTACTED:
            host.awaited_until_s = get_loop_s() + FIRST_RESPONSE_MAX_S
            pause_after_crashes(self._runtime, host)
        return host

    def _apply_entry(self, host: Host) -> None:
        """Take what the entry says for what a life is."""
        host.record = replace(self.entry, host_started_at_ms=host.record.host_started_at_ms)
        host.has_current_record = True
        drain_s = self._runtime.context.settings.bounds.drain_ms / 1000
        host.record_draining(drain_s, get_loop_s())

    def _record_ended(self, host: Host) -> None:
        if host.record.host_started_at_ms is not None:
            self._ended_start_times_ms.add(host.record.host_started_at_ms)

    def _end_others(self, host: Host, report: HostReport, polled_at_s: float) -> None:
        """End the other lives of the host that answers, also those of earlier owners' records."""
        present = {(each.task, each.run) for each in report.running}
        present |= {(each.task, each.run) for each in report.ended}
        for other in find_incarnations(self._jobs, host.record.id):
            if other is host:
                continue
            if (
                other.record.host_started_at_ms is None
                and other.contact is HostContact.NOT_CONTACTED
            ):
                adopt_runs(self._jobs, other, host)
                continue
            reason = "another life answers under its id"
            log_host_ended(self._events, self._runtime.pool, other, reason, get_loop_s(), host.id)
            now_ms = self._runtime.context.get_wall_ms()
            end_previous_incarnation(
                self._jobs, other, host, present, polled_at_s, get_loop_s(), now_ms
            )

    def _hold_back_work(self, host: Host) -> None:
        """Keep work from a life until what was sent to the one before can harm it no more."""
        now_s, unconfirmed = get_loop_s(), self._jobs.unconfirmed_starts
        keys = [key for key in unconfirmed.list_open(host.record.id, now_s) if key not in host.runs]
        until_s = max(unconfirmed.get_last_deadline_s(host.record.id), self.unanswered_poll_until_s)
        if until_s <= now_s:
            return
        host.lease.record_earlier_orders(
            until_s, self._runtime.context.settings.bounds.lease_max_ms
        )
        host.is_settled = False
        self._runtime.spawn(self._stop_unconfirmed(host, keys))

    async def _stop_unconfirmed(self, host: Host, keys: Sequence[RunKey]) -> None:
        """Have late starts rejected that no run is known of, and wait for a late look."""
        await asyncio.gather(*(self._stop_one(host, key) for key in keys))
        await asyncio.sleep(max(0.0, self.unanswered_poll_until_s - get_loop_s()))
        host.is_settled = True
        self._runtime.wake()

    async def _stop_one(self, host: Host, key: RunKey) -> None:
        while self.host is host and not await self._orders.try_stop(host, *key):
            await asyncio.sleep(STOP_PAUSE_S)
