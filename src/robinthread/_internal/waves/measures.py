"""The three measures of waves: buffer cost, roll-out time and task moves."""

import asyncio

from robinthread._internal.models.fleet_state import FleetState


class WaveMeasures:
    """Measures of one daemon; the fleet's measures are the sums over its daemons.

    ``buffer_slot_s`` are the slot-seconds in which slots on hosts of this daemon's pools were
    idle because the hosts drained or rebooted; ``rollout_s`` is the time with an unfinished
    wave; ``moves`` counts the tasks that were requested to move.
    """

    def __init__(self) -> None:
        self.buffer_slot_s = 0.0
        self.rollout_s = 0.0
        self.moves = 0
        self._seen_at_s = 0.0
        self._has_wave = False

    def record_move(self) -> None:
        """Count a task that was requested to move."""
        self.moves += 1

    def record_held_back(self, slots: int, elapsed_s: float) -> None:
        """Add ``slots`` that were idle for ``elapsed_s`` to the buffer cost."""
        self.buffer_slot_s += slots * elapsed_s

    def record_state(self, state: FleetState) -> None:
        """Add the time since the last state to the roll-out time, then record ``state``."""
        now_s = asyncio.get_running_loop().time()
        if self._has_wave:
            self.rollout_s += now_s - self._seen_at_s
        self._seen_at_s = now_s
        self._has_wave = any(wave.is_unfinished for wave in state.waves.values())
