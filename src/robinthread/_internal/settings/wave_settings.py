"""Settings of waves and migrations."""

from dataclasses import dataclass


@dataclass(frozen=True)
class WaveSettings:
    """Policy of waves.

    The weights say what a deployment pays for: spare capacity held back,
    roll-out time, and moves of tasks.  ``drain_timeout_s`` is the allowed wait
    for running work before it is checkpointed and moved; a task moves then only
    if its expected time left, by the weight of roll-out time, outweighs
    ``move_cost_s`` by that of moves.  ``policy`` is ``planner``, or
    ``one_at_a_time`` or ``batch``, the two baselines.
    """

    policy: str = "planner"

    buffer_weight: float = 1.0
    rollout_weight: float = 1.0
    moves_weight: float = 1.0
    drain_timeout_s: float = 60.0
    move_cost_s: float = 5.0
    return_timeout_s: float = 600.0
    steward_interval_s: float = 0.5
    permit_effect_s: float = 0.2
    reboot_estimate_s: float = 300.0
