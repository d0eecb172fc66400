"""Choice of the machines whose upkeep begins next, in the pools and in the reserve."""

import math
from collections.abc import Iterable, Sequence
from typing import Final

from robinthread._internal.fleet.fleet_view import FleetView, UpkeepOrder, WaveView
from robinthread._internal.fleet.pool_report import HostStatus
from robinthread._internal.fleet.reserve import Reserve
from robinthread._internal.fleet.upkeep_slots import UpkeepSlots

# Time to vacate a machine and do its upkeep near the end of a wave.  A wave is short of time if
# less is left than for all its remaining rounds of upkeep and one more.
UPKEEP_ROUND_S: Final = 6.0


def choose_for_upkeep(
    view: FleetView,
    due: Sequence[HostStatus],
    *,
    started_count: int,
    is_replaceable: bool,
    is_idle: bool,
    upkeep_first: bool,
) -> frozenset[str]:
    """Return the machines that a pool should vacate for upkeep, although it needs them.

    Normally that is one machine at a time, if others can replace it.  For waves that are
    short of time it is as many as may be down at once, divided among the pools.  ``due`` are the
    pool's hosts that are due, in the order in which to release them; it is vacating
    ``started_count`` of them already.  ``is_replaceable``: another host can take the place
    of one that is vacated.  ``is_idle``: the pool needs no more than its minimum of hosts.
    """
    unsettled = frozenset().union(*(wave.unsettled for wave in view.waves))
    if chosen := frozenset(host.machine for host in due if host.machine in unsettled):
        # Each of them occupies a slot of its wave until it is ordered again.
        return chosen
    urgent_waves = [wave for wave in view.waves if is_short_of_time(wave)]
    if urgent_waves and (upkeep_first or is_replaceable):
        urgent = frozenset().union(*(wave.pending for wave in urgent_waves))
        slot_count = sum(wave.free_slots for wave in urgent_waves)
        share = math.ceil(slot_count / len(view.pools)) - started_count
        return frozenset([host.machine for host in due if host.machine in urgent][: max(0, share)])
    if started_count or not is_idle or not is_replaceable:
        return frozenset()
    return frozenset([host.machine for host in due if not host.is_needed][:1])


def order_upkeep(view: FleetView, reserve: Reserve, slots: UpkeepSlots) -> Iterable[UpkeepOrder]:
    """Order upkeep for the reserve's machines that are due, unsettled ones first."""
    for wave in view.waves:
        for due in (wave.unsettled, wave.pending - wave.unsettled):
            for machine in reserve.take_due(due, slots.allocate):
                yield UpkeepOrder(machine, wave.number)


def is_short_of_time(wave: WaveView) -> bool:
    """Tell whether a wave must vacate machines that their pools need, to end in time."""
    rounds = math.ceil(len(wave.pending) / max(1, wave.at_once_max))
    return wave.left_s < (rounds + 1) * UPKEEP_ROUND_S
