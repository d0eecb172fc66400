"""Readiness of a node for callers, with the reason if it is not ready."""

from typing import Final

from robinthread._internal.durable.ownership import OwnerTable
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.node import Node
from robinthread._internal.telemetry.event_log import EventLog

# A node is not ready for callers if the store has not responded for longer than this.
STORE_AGE_MAX_S: Final = 1.5


class Readiness:
    """Checks whether a node is ready for callers, and logs each change."""

    def __init__(
        self,
        node: Node,
        member: GroupMember,
        table: OwnerTable,
        config_holder: ConfigHolder,
        handover: Handover,
        events: EventLog,
    ) -> None:
        self._node = node
        self._member = member
        self._table = table
        self._config_holder = config_holder
        self._handover = handover
        self._events = events
        self._logged_obstacle: str | None = None

    def check(self) -> bool:
        """Tell whether callers should be sent to this node."""
        obstacle = self._find_obstacle()
        if obstacle != self._logged_obstacle:
            self._logged_obstacle = obstacle
            self._log_change(obstacle)
        return not obstacle

    def _find_obstacle(self) -> str:
        if self._node.is_stopping:
            return "stopping"
        if self._config_holder.config is None:
            return "no configuration"
        if not self._table.follower.first_read.is_set():
            # Without the owner table, this node cannot request the state of any job.
            return "owners not read"
        is_store_reachable = self._member.get_store_silence_s() < STORE_AGE_MAX_S
        if not is_store_reachable:
            return "no word from the store"
        # While no other node is better off, callers are served as well as this node can.
        return self._handover.find_inability() if self._handover.served else ""

    def _log_change(self, obstacle: str) -> None:
        if obstacle:
            self._events.write("unready", reason=obstacle, up_s=self._events.up_s)
        else:
            self._events.write("ready", up_s=self._events.up_s)
