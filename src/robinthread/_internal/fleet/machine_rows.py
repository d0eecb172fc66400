"""Lists of machines of which some rows cannot be read."""

import dataclasses
from collections.abc import Collection, Iterable
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState

# A machine that only lists with malformed rows lack is kept for this long.  It must exceed the
# time after which its host's lease has lapsed, and what was at work there runs elsewhere.
KEPT_MAX_S: Final = 30.0


class MachineRows:
    """The last sound row of each machine.

    Absence from a list proves nothing if a row of it is malformed: that row may be any
    machine's.  A machine that is missing then keeps its last row, as one that is down: it gets no
    orders, and its host does not count as ended.
    """

    def __init__(self) -> None:
        self._last: dict[str, Machine] = {}
        self._read_at_s: dict[str, float] = {}

    def complete(
        self, sound: Iterable[Machine], malformed: Collection[str], now_s: float
    ) -> tuple[Machine, ...]:
        """Return a list's machines and those kept.

        ``malformed`` are the names of the rows that cannot be read, "" for one without a name, and
        ``now_s`` is the time of a monotonic clock.
        """
        found = {machine.name: machine for machine in sound}
        self._read_at_s |= dict.fromkeys(found, now_s)
        if malformed:
            found |= {
                name: dataclasses.replace(last, state=MachineState.DOWN)
                for name, last in self._last.items()
                if name not in found and self._is_kept(name, malformed, now_s)
            }
        self._last = found
        self._read_at_s = {name: self._read_at_s[name] for name in found}
        return tuple(found.values())

    def _is_kept(self, name: str, malformed: Collection[str], now_s: float) -> bool:
        return name in malformed or now_s - self._read_at_s[name] < KEPT_MAX_S
