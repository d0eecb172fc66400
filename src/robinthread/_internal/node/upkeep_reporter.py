"""Log lines on upkeep: the counts behind each order, and when a machine is back."""

from collections.abc import Iterable, Mapping
from typing import Final

from robinthread._internal.fleet.fleet_view import FleetView, MoveOrder, UpkeepOrder, WaveView
from robinthread._internal.models.machine import Machine
from robinthread._internal.node.pool_runtime import get_loop_s
from robinthread._internal.telemetry.event_log import EventLog

# Limits the names in a line to about 700 bytes; a wave may allow a hundred machines to be down.
MACHINES_NAMED_MAX: Final = 64


class UpkeepReporter:
    """Logs, by wave, which machines the steward counts as down and which it orders next.

    These lines suffice to reconstruct the count behind any upkeep order.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._down_since_s: dict[int, dict[str, float]] = {}
        self._over_bound: set[int] = set()

    def report_down(self, waves: Iterable[WaveView], known: Mapping[str, Machine]) -> None:
        """Log the machines that no longer count as down, and waves with too many down."""
        now_s = get_loop_s()
        for wave in waves:
            counted = wave.down | wave.unsettled
            since_s = self._down_since_s.setdefault(wave.number, {})
            for name in sorted(since_s.keys() - counted):
                self._log_over(wave, known.get(name), name, now_s - since_s.pop(name))
            since_s |= {name: since_s.get(name, now_s) for name in counted}
            self._check_bound(wave)

    def report_orders(
        self,
        view: FleetView,
        orders: Iterable[MoveOrder | UpkeepOrder],
        listed_ago_s: float,
    ) -> None:
        """Log the counts on which the upkeep orders about to be sent are based."""
        upkeep = [order for order in orders if isinstance(order, UpkeepOrder)]
        reserve = {machine.name for machine in view.reserve}
        for wave in view.waves:
            names = [order.machine for order in upkeep if order.wave == wave.number]
            if names:
                self._events.write(
                    "upkeep_begins",
                    wave=wave.number,
                    machines=_list_names(names),
                    in_reserve=sum(name in reserve for name in names),
                    down=_list_names(wave.down),
                    doubtful=_list_names(wave.unconfirmed),
                    unsettled=_list_names(wave.unsettled),
                    at_once_max=wave.at_once_max,
                    pending_count=len(wave.pending),
                    left_s=round(wave.left_s, 3),
                    listed_ago_s=round(listed_ago_s, 3),
                )

    def _log_over(self, wave: WaveView, machine: Machine | None, name: str, for_s: float) -> None:
        self._events.write(
            "upkeep_over",
            wave=wave.number,
            machine=name,
            counted_for_s=round(for_s, 3),
            state=machine.state.value if machine is not None else "not listed",
            host=machine.host_id if machine is not None else "",
            is_pending=name in wave.pending,
        )

    def _check_bound(self, wave: WaveView) -> None:
        """Log a wave with too many machines confirmed down; unconfirmed ones may be back."""
        is_over = len(wave.down - wave.unconfirmed) > wave.at_once_max
        if is_over and wave.number not in self._over_bound:
            self._events.write(
                "wave_over_bound",
                wave=wave.number,
                down=_list_names(wave.down - wave.unconfirmed),
                at_once_max=wave.at_once_max,
            )
        (self._over_bound.add if is_over else self._over_bound.discard)(wave.number)


def _list_names(machines: Iterable[str]) -> list[str]:
    return sorted(machines)[:MACHINES_NAMED_MAX]
