"""Polling of one host across its incarnations, which renews its lease and fetches reports."""

import asyncio
import math
from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_errors import (
    HostError,
    HostFencedError,
    HostGoneError,
    HostNoAnswerError,
    HostSilentError,
)
from robinthread._internal.jobs.host_loss import record_host_lapse, withdraw_lapsed
from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.jobs.unconfirmed_starts import UNCONFIRMED_START_MAX_S
from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.contained_host_calls import make_contained_error
from robinthread._internal.node.host_incarnations import FIRST_RESPONSE_MAX_S, HostIncarnations
from robinthread._internal.node.host_report_handler import HostReportHandler
from robinthread._internal.node.order_sender import STOP_MARGIN_S, OrderSender
from robinthread._internal.node.pool_runtime import LEASE_MS, PoolRuntime, get_loop_s
from robinthread._internal.node.progress_recorder import ProgressRecorder

# Maximum duration of a long poll of a host.  Each poll renews the lease, so a lease may be
# shorter than its nominal length by this much.
POLL_WAIT_MAX_S: Final = 1.0
# Polls that begin together are staggered over ``POLL_WAIT_MAX_S`` in steps of this share of it.
# Multiples of the golden ratio leave only small gaps for any number of hosts: at most 0.15
# with 12 and 0.09 with 20.  Offsets from a checksum of the hosts' ids left a gap of 0.32 among
# 20 consecutive ids.
POLL_OFFSET_SHARE: Final = (math.sqrt(5) - 1) / 2
# Maximum wait for a host's ends to be recorded before the next poll renews its lease.
RECORD_WAIT_MAX_S: Final = 0.5
# Pause before a host that did not respond is polled again.
RETRY_PAUSE_S: Final = 0.2
# Limit to which that pause doubles if nothing runs on the host.  When about a hundred hosts
# left a pool together, polls every 0.2 s used half a core until the entries lapsed.
IDLE_RETRY_PAUSE_MAX_S: Final = 1.0
# Ends are acknowledged only if the last report is no older than this, else after the next one.
# The host may have restarted under its id since then, and its new incarnation would discard ends
# that no owner has seen.
ACKNOWLEDGED_REPORT_AGE_MAX_S: Final = 0.1
# A host that has not responded yet is no longer awaited after this many failed polls, even before
# ``FIRST_RESPONSE_MAX_S``.  One may fail due to the load of an owner that has just opened.  If the
# host is down, the second one costs only the pause between them.
FIRST_POLLS_MAX: Final = 2


class HostMonitor:
    """Polls a host until it is unlisted and has ended.

    ``number`` is the monitor's sequence number in its pool; it determines the poll offset.
    """

    def __init__(
        self,
        runtime: PoolRuntime,
        record: UpstreamHost,
        progress_recorder: ProgressRecorder,
        orders: OrderSender,
        number: int,
    ) -> None:
        self._runtime = runtime
        self._jobs = runtime.jobs
        self._events = runtime.events
        self._progress_recorder = progress_recorder
        self._report_handler = HostReportHandler(runtime, orders)
        self._failed_polls = 0
        self._number = number
        self._is_staggered = False
        self._granted_until_ms: int | None = None
        self._first_poll_at_s = get_loop_s()
        self.is_listed = True
        self.incarnations = HostIncarnations(runtime, record, orders)

    async def run(self) -> None:
        """Poll until the host is unlisted, does not respond and has no runs."""
        wait_s, pause_s = 0.0, RETRY_PAUSE_S
        while True:
            polled_at_s = get_loop_s()
            try:
                report = await self._poll(wait_s)
                self._record_lease(report)
                if self._is_of_other_incarnation(report):
                    wait_s = 0.0
                else:
                    wait_s = await self._process_contained(report, polled_at_s)
            except HostFencedError:
                raise
            except HostError as error:
                if isinstance(error, HostGoneError):
                    self.incarnations.end_incarnation(
                        "another incarnation responds at its address",
                        has_crashed=True,
                        ended_by_s=polled_at_s,
                    )
                self._handle_failure(error)
                if not self.is_listed and not (
                    self.incarnations.host and self.incarnations.host.runs
                ):
                    self.incarnations.end_incarnation(
                        "it is not listed and does not respond", has_crashed=False
                    )
                    return
                wait_s = 0.0
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, IDLE_RETRY_PAUSE_MAX_S)
                if self._is_report_urgent():
                    pause_s = RETRY_PAUSE_S
                continue
            pause_s = RETRY_PAUSE_S

    def _is_of_other_incarnation(self, report: HostReport) -> bool:
        """Return whether another incarnation responded to a poll meant for the current one.

        If so, the host counts as silent until the next report.  Such a report may lack ends of the
        new incarnation, which the poll acknowledged by number.  The runs are evaluated by the next
        report, whose poll acknowledges nothing.
        """
        host = self.incarnations.host
        if host is None or host.contact is not HostContact.ANSWERING:
            return False
        if not self.incarnations.is_other_incarnation(report):
            return False
        host.contact = HostContact.SILENT
        return True

    def _record_lease(self, report: HostReport) -> None:
        """Record the lease that the last poll renewed, maybe that of another incarnation."""
        if self._granted_until_ms is not None:
            host_id = self.incarnations.entry.id
            self._runtime.record_lease(host_id, self._granted_until_ms, report.clock_ms)

    def _is_report_urgent(self) -> bool:
        """Return whether the host has runs or may still execute a start without a response."""
        if self.incarnations.host is not None and self.incarnations.host.runs:
            return True
        return bool(
            self._jobs.unconfirmed_starts.list_open(self.incarnations.entry.id, get_loop_s())
        )

    async def _poll(self, wait_s: float) -> HostReport:
        """Poll the host; renew its lease and acknowledge ends only while it responds.

        A poll of a silent host may still arrive.  A lease in it would keep the host's tasks from
        running elsewhere, and an acknowledged number would make the host's next incarnation
        discard ends of its own.
        """
        host, runtime = self.incarnations.host, self._runtime
        acknowledged, until_ms, polled_at_s = 0, None, get_loop_s()
        lease_ms = runtime.get_lease_ms()
        if host is not None and host.contact is HostContact.ANSWERING:
            if host.acknowledged_end > host.forgotten_end:
                is_fresh = polled_at_s - host.reported_at_s <= ACKNOWLEDGED_REPORT_AGE_MAX_S
                may_acknowledge = is_fresh or host.record.host_started_at_ms is None
                acknowledged, wait_s = (
                    (host.acknowledged_end, wait_s) if may_acknowledge else (0, 0.0)
                )
            if lease_ms is not None:
                until_ms = host.lease.grant(lease_ms, polled_at_s)
        self._granted_until_ms = until_ms
        record = self.incarnations.entry if host is None else host.record
        try:
            report = await runtime.context.hosts.watch(
                record, runtime.token, acknowledged, until_ms, wait_s
            )
        except HostNoAnswerError as error:
            if host is not None and not host.has_certainly_got(error):
                if acknowledged or until_ms is not None:
                    until_s = polled_at_s + UNCONFIRMED_START_MAX_S
                    self.incarnations.unanswered_poll_until_s = until_s
                if until_ms is not None:
                    runtime.record_unanswered_order(host, polled_at_s)
            raise
        if host is not None and acknowledged:
            host.forgotten_end = acknowledged
        return report

    def _handle_failure(self, error: HostError) -> None:
        """Record a failed poll; the host's runs lapse with its lease."""
        host, now_s = self.incarnations.host, get_loop_s()
        if host is None:
            return
        host.record_order_sent(now_s)
        self._failed_polls += 1
        if self._failed_polls >= FIRST_POLLS_MAX:
            host.awaited_until_s = now_s
        host.record_failure(error, now_s)
        if host.contact is HostContact.ANSWERING:
            host.contact = HostContact.SILENT
            self._events.write(
                "host_lost",
                host=host.id,
                pool=self._runtime.pool,
                error=f"{type(error).__name__}: {error}",
                run_count=len(host.runs),
                lease_over_in_s=round(host.lease.over_at_s - now_s, 3),
                lease_source=host.lease.source.value,
            )
        lapsed = host.list_lapsed_runs(now_s)
        if lapsed and not self._may_owner_be_late(error):
            self._events.write(
                "host_lapsed",
                host=host.id,
                pool=self._runtime.pool,
                run_count=len(lapsed),
                kept_count=len(host.runs) - len(lapsed),
                lease_over_in_s=round(max(map(host.get_run_over_at_s, lapsed)) - now_s, 3),
                lease_source=host.lease.source.value,
            )
            record_host_lapse(self._jobs, host, lapsed, now_s, self._runtime.context.get_wall_ms())
            self._runtime.wake()

    def _may_owner_be_late(self, error: HostError) -> bool:
        """Return whether this owner may be late, rather than the host silent.

        An owner polls all hosts at once when it opens.  If a host's runs lapsed before its first
        report, work that it completed meanwhile would be repeated.
        """
        is_new = (
            self.incarnations.host is not None
            and self.incarnations.host.contact is HostContact.NOT_CONTACTED
        )
        is_slow = isinstance(error, HostSilentError)
        return is_new and is_slow and get_loop_s() < self._first_poll_at_s + FIRST_RESPONSE_MAX_S

    async def _process_contained(self, report: HostReport, polled_at_s: float) -> float:
        """Process a report; one that raises anything counts as a poll without a response.

        The host gets no lease and no work, and its runs are settled as those of a silent host.
        """
        try:
            return await self._process_report(report, polled_at_s)
        except Exception as error:
            record = self.incarnations.entry
            raise make_contained_error(self._events, "report", record, error) from error

    async def _process_report(self, report: HostReport, polled_at_s: float) -> float:
        """Process a report; return how many seconds the next poll may wait for an end."""
        host = self.incarnations.match_report(report, polled_at_s)
        was_answering = host.contact is HostContact.ANSWERING
        if not was_answering:
            self._is_staggered = False
            self._events.write(
                "host_heard", host=host.id, pool=self._runtime.pool, clock_ms=report.clock_ms
            )
        if host.contact is HostContact.NOT_CONTACTED:
            self._failed_polls = 0
            self._handle_first_contact(host)
        host.contact = HostContact.ANSWERING
        host.record_response()
        withdraw_lapsed(self._jobs, host)
        host.reported_at_s, host.report_requested_at_s = get_loop_s(), polled_at_s
        host.lease.record_clock(report.clock_ms, get_loop_s())
        newest = self._report_handler.process(host, report, polled_at_s)
        if newest:
            host.processed_end = newest
            host.processed_batch = self._progress_recorder.next_batch
        self._runtime.wake()
        if host.processed_end > host.acknowledged_end:
            if not await self._progress_recorder.wait(host.processed_batch, RECORD_WAIT_MAX_S):
                return 0.0
            host.acknowledged_end = host.processed_end
        return self._get_wait_s() if was_answering and report.lists_all_ends else 0.0

    def _get_wait_s(self) -> float:
        """Return how many seconds the next poll may wait for an end, staggered the first time.

        Otherwise hosts that respond again at the same time would all respond at the same moment
        of each second and none in between.  Two failed hosts would then look like the first
        ones of a failed data hall.
        """
        if self._is_staggered:
            return POLL_WAIT_MAX_S
        self._is_staggered = True
        return POLL_WAIT_MAX_S * (self._number * POLL_OFFSET_SHARE % 1)

    def _handle_first_contact(self, host: Host) -> None:
        """Record that the host rejects orders of earlier owners from now on.

        A run that an earlier owner ordered to stop just before may be missing from all lists of
        the report until it has stopped.
        """
        now_s = get_loop_s()
        host.lease.record_fencing(LEASE_MS, now_s)
        stop_s = self._runtime.context.settings.bounds.host_stop_ms / 1000
        host.foreign_stops_over_at_s = now_s + stop_s + STOP_MARGIN_S
        for run in host.runs.values():
            # A run that this owner stops is settled by the response to its stop order.
            if run.phase is not RunPhase.STOPPING:
                run.settled_at_s = host.foreign_stops_over_at_s
