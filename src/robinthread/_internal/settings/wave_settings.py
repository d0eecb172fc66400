"""Settings of waves and migrations."""

from dataclasses import dataclass


@dataclass(frozen=True)
class WaveSettings:
    """Policy of waves.

    The weights are the relative costs of spare capacity held back, of roll-out
    time and of moves of tasks.  ``drain_timeout_s`` is the maximum wait for
    running work before it is checkpointed and moved; a task then moves only if
    its expected remaining time, multiplied by ``rollout_weight``, is at least
    ``move_cost_s``, multiplied by ``moves_weight``.  ``policy`` is ``planner``,
    or one of the two baselines, ``one_at_a_time`` and ``batch``.
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
