"""Lines that tell, time and again, how a node and its pools stand."""

import asyncio
from typing import Final

from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.pool_owner import PoolOwner
from robinthread._internal.node.readiness import Readiness
from robinthread._internal.telemetry.event_log import EventLog

# How often there is a look at what has changed.
LOOK_PERIOD_S: Final = 0.25
# How often a pool is told that is not open yet.  Openings took 0.2 to 0.3 s with a store
# that answers.
SLOW_PERIOD_S: Final = 1.0


class StandingReporter:
    """Tells of pools that were taken and do not open, and of the node's readiness."""

    def __init__(self, owned: OwnedPools, readiness: Readiness, events: EventLog) -> None:
        self._owned = owned
        self._readiness = readiness
        self._events = events

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(LOOK_PERIOD_S)
            self.look()

    def look(self) -> None:
        """Write what is due now."""
        self._events.tell_gathered()
        self._readiness.look()
        for owner in self._owned.owners.values():
            if not owner.is_open and owner.opening.is_due(SLOW_PERIOD_S):
                self._tell_slow(owner)

    def _tell_slow(self, owner: PoolOwner) -> None:
        self._events.write(
            "pool_opening_slow",
            pool=owner.pool,
            token=owner.token,
            missing=owner.opening.missing,
            **owner.opening.list_times(),
        )
