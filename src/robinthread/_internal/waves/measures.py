"""The three measures of waves: buffer cost, roll-out time and moves."""

import asyncio

from robinthread._internal.models.fleet_state import FleetState


class WaveMeasures:
    """Measures as one daemon sees them; sums over daemons are the fleet's.

    ``buffer_slot_s`` are slot-seconds that hosts of this daemon's pools held
    idle while they drained and rebooted; ``rollout_s`` is the time with an
    unfinished wave; ``moves`` counts tasks that were asked to move.
    """

    def __init__(self) -> None:
        self.buffer_slot_s = 0.0
        self.rollout_s = 0.0
        self.moves = 0
        self._seen_at_s = 0.0
        self._has_wave = False

    def record_move(self) -> None:
        """Count a task that is moved."""
        self.moves += 1

    def record_held_back(self, slots: int, elapsed_s: float) -> None:
        """Account for slots that idled for ``elapsed_s``."""
        self.buffer_slot_s += slots * elapsed_s

    def record_state(self, state: FleetState) -> None:
        """Account for the time since the last state, then take up ``state``."""
        now_s = asyncio.get_running_loop().time()
        if self._has_wave:
            self.rollout_s += now_s - self._seen_at_s
        self._seen_at_s = now_s
        self._has_wave = any(wave.is_unfinished for wave in state.waves.values())
