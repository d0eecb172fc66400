"""Detects a slow store, and notifies the other nodes as soon as this one notices.

While the store is fast, each node appends the jobs that its callers submit.  A slow store processes
these appends one at a time, so each node that has not yet noticed makes all others wait longer.
"""

import asyncio
import math
from typing import Final

from robinthread._internal.durable.append_latency import SLOW_HOLD_S, AppendLatency
from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.peer_calls import PeerCalls, PeerUnreachableError
from robinthread._internal.node.peer_messages import SlowStoreNotice, SlowStoreResponse
from robinthread._internal.telemetry.event_log import EventLog

# Number of nodes that must have noticed within ``REPORT_VALID_S``.  One node alone may have a slow
# link.
REPORTERS_MIN: Final = 2
REPORT_VALID_S: Final = 0.5
# Longest interval between responses to a node's joins at which the store counts as responding.  A
# slow store responds at intervals of up to 0.6 s.
RESPONSE_GAP_MAX_S: Final = 0.7
# A node that still finds the store slow tells the others again after this time.
REPEAT_S: Final = 1.8


class SlowStoreMonitor:
    """Combines what this node and other nodes have noticed of the store's latency.

    Notices of ``REPORTERS_MIN`` nodes are valid for ``SLOW_HOLD_S``, or until a join of this node
    that began after them is fast: the store may be slow for some nodes only.
    """

    def __init__(
        self,
        me: Member,
        append_latency: AppendLatency,
        member: GroupMember,
        peers: PeerCalls,
        events: EventLog,
        sends_notices: bool = True,
    ) -> None:
        self._me = me
        self._append_latency = append_latency
        self._member = member
        self._peers = peers
        self._events = events
        self._noticed_at_s = -math.inf
        self._sent_at_s = -math.inf
        self._confirmed_at_s = -math.inf
        self._reported_at_s: dict[str, float] = {}
        self._notice_due = asyncio.Event()
        if sends_notices:
            append_latency.on_slow = self._record_slow
            member.join_latency.on_slow = self._record_slow

    @property
    def is_slow(self) -> bool:
        """Return whether the store is slow, as far as this node knows."""
        return self._append_latency.is_slow or self._member.join_latency.is_slow or self.is_noticed

    @property
    def is_slow_and_responding(self) -> bool:
        """Return whether the store is slow, and responds to the joins of this node."""
        is_silent = self._member.get_store_silence_s() > RESPONSE_GAP_MAX_S
        return self.is_slow and self._member.is_served and not is_silent

    @property
    def is_noticed(self) -> bool:
        """Return whether enough nodes have noticed, and this one has not found it fast since."""
        age_s = asyncio.get_running_loop().time() - self._noticed_at_s
        is_refuted = self._member.join_latency.last_fast_start_s > self._noticed_at_s
        return age_s < SLOW_HOLD_S and not is_refuted

    def handle_notice(self, notice: SlowStoreNotice) -> SlowStoreResponse:
        """Record that another node has noticed that the store is slow."""
        self._record_report(notice.node)
        if notice.is_confirmed:
            self._confirmed_at_s = asyncio.get_running_loop().time()
            self._set_noticed(notice.node)
        return SlowStoreResponse()

    def _record_report(self, node: str) -> None:
        """Record that a node finds the store slow, and that enough nodes do."""
        now_s = asyncio.get_running_loop().time()
        reported_at_s = self._reported_at_s | {node: now_s}
        self._reported_at_s = {
            name: at_s for name, at_s in reported_at_s.items() if now_s - at_s <= REPORT_VALID_S
        }
        if len(self._reported_at_s) >= REPORTERS_MIN:
            self._set_noticed(node)

    def _set_noticed(self, node: str) -> None:
        if not self.is_noticed:
            self._events.write("store_slow", noticed_by=sorted({node, *self._reported_at_s}))
        self._noticed_at_s = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Send notices when they are due, until cancelled."""
        while True:
            await self._notice_due.wait()
            self._notice_due.clear()
            notice = SlowStoreNotice(self._me.node, self.is_noticed)
            others = (member for member in self._member.members if member.node != self._me.node)
            await asyncio.gather(*(self._send_notice(member, notice) for member in others))

    def _record_slow(self) -> None:
        """Note that a call of this node is slow; tell the others unless they were told lately.

        After a failed join the store may serve the other nodes well, so they are not told.
        """
        if not self._member.is_served:
            return
        self._record_report(self._me.node)
        now_s = asyncio.get_running_loop().time()
        if now_s - self._confirmed_at_s < REPEAT_S:
            return
        if self.is_noticed:
            self._confirmed_at_s = now_s
        elif now_s - self._sent_at_s < REPORT_VALID_S:
            return
        self._sent_at_s = now_s
        self._notice_due.set()

    async def _send_notice(self, member: Member, notice: SlowStoreNotice) -> None:
        try:
            await self._peers.send_request(member.address, notice, SlowStoreResponse)
        except PeerUnreachableError:
            # The node notices by its own joins; one of the previous version has no such request.
            return
