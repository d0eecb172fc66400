"""Random deployments, determined by a seed, for which no policy has been tuned."""

import random
from typing import Final

from robinthread._internal.experiments.deployment import (
    SHAPES,
    TROUBLE_KINDS,
    Deployment,
    MachinesSpec,
    NodesSpec,
    PricesSpec,
    QueueSpec,
    TroubleSpec,
)

LENGTH_S: Final = 24.0
# Total demand of all queues, as shares of the processor capacity of all pools' machines.
LOAD_SHARES: Final = (0.25, 0.5, 0.75, 1.0)
# A higher rate makes the simulation slower without adding information.
JOBS_PER_S_MAX: Final = 15.0
TROUBLE_START_RANGE_S: Final = (2.0, 18.0)


def draw_deployment(seed: int) -> Deployment:
    """Draw a deployment with a random number of pools, size of machines and price of moves."""
    rng = random.Random(seed)
    pool_count = rng.choice((1, 2, 4, 8))
    machines = MachinesSpec(
        count=pool_count * rng.choice((3, 6)),
        reserve=rng.choice((0, 2, 4)),
        racks=rng.choice((2, 4)),
        cpu_millicores=rng.choice((8000, 16_000, 32_000)),
    )
    share = rng.choice(LOAD_SHARES) / pool_count
    queues = {
        f"queue{number}": _draw_queue(rng, f"pool{number}", machines, share)
        for number in range(pool_count)
    }
    troubles = {
        f"trouble{number}": _draw_trouble(rng) for number in range(rng.choice((0, 1, 2, 3)))
    }
    return Deployment(
        f"drawn-{seed}",
        LENGTH_S,
        rng.choice((3.0, 6.0)),
        NodesSpec(
            rng.choice((3, 5, 9)),
            rng.choice((0.12, 0.5, 2.0)),
            rng.choice((1.0, 5.0)),
            rng.choice((4.0, 12.0)),
        ),
        machines,
        queues,
        troubles,
        PricesSpec(rng.choice((0.0, 0.02, 0.1)), rng.choice((0.0, 0.05, 0.2))),
    )


def _draw_queue(rng: random.Random, pool: str, machines: MachinesSpec, share: float) -> QueueSpec:
    """Draw a queue whose jobs need ``share`` of the processor capacity of all pools' machines.

    Its rate is at most ``JOBS_PER_S_MAX``, so that the demand may be lower.
    """
    tasks, work_s = rng.choice((1, 4, 12)), rng.choice((0.3, 0.8, 2.0))
    cpu_millicores = rng.choice((1000, 2000, 4000))
    pool_millicores = machines.count * machines.cpu_millicores * share
    return QueueSpec(
        pool=pool,
        jobs_per_s=min(JOBS_PER_S_MAX, pool_millicores / (tasks * work_s * cpu_millicores)),
        shape=rng.choice(SHAPES),
        tasks=tasks,
        work_s=work_s,
        cpu_millicores=cpu_millicores,
        stretch=rng.choice((1.3, 1.6, 3.0)),
        slack_s=rng.choice((0.4, 0.8)),
        worth=rng.choice((1.0, 2.0, 4.0)),
    )


def _draw_trouble(rng: random.Random) -> TroubleSpec:
    return TroubleSpec(
        rng.choice(TROUBLE_KINDS),
        rng.uniform(*TROUBLE_START_RANGE_S),
        rng.uniform(1.0, 4.0),
        rng.choice((0.1, 0.25, 0.5)),
        rng.choice((10.0, 40.0)),
    )
