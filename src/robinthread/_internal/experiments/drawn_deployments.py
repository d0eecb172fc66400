"""Deployments that nobody has tuned for, each drawn wholly from its seed."""

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
# What the queues ask for together, as shares of what the machines can do.
LOADS: Final = (0.25, 0.5, 0.75, 1.0)
# A day of more jobs takes long and tells no more.
JOBS_PER_S_MAX: Final = 15.0
TROUBLES_BEGIN_S: Final = (2.0, 18.0)


def draw_deployment(seed: int) -> Deployment:
    """Draw a deployment: few pools or many, machines large and small, dear moves or cheap ones."""
    drawn = random.Random(seed)
    pool_count = drawn.choice((1, 2, 4, 8))
    machines = MachinesSpec(
        count=pool_count * drawn.choice((3, 6)),
        reserve=drawn.choice((0, 2, 4)),
        racks=drawn.choice((2, 4)),
        cpu_millicores=drawn.choice((8000, 16_000, 32_000)),
    )
    share = drawn.choice(LOADS) / pool_count
    queues = {
        f"queue{number}": _draw_queue(drawn, f"pool{number}", machines, share)
        for number in range(pool_count)
    }
    troubles = {
        f"trouble{number}": _draw_trouble(drawn) for number in range(drawn.choice((0, 1, 2, 3)))
    }
    return Deployment(
        f"drawn-{seed}",
        LENGTH_S,
        drawn.choice((3.0, 6.0)),
        NodesSpec(
            drawn.choice((3, 5, 9)),
            drawn.choice((0.12, 0.5, 2.0)),
            drawn.choice((1.0, 5.0)),
            drawn.choice((4.0, 12.0)),
        ),
        machines,
        queues,
        troubles,
        PricesSpec(drawn.choice((0.0, 0.02, 0.1)), drawn.choice((0.0, 0.05, 0.2))),
    )


def _draw_queue(drawn: random.Random, pool: str, machines: MachinesSpec, share: float) -> QueueSpec:
    """Draw a queue that asks for so much of all machines."""
    tasks, work_s = drawn.choice((1, 4, 12)), drawn.choice((0.3, 0.8, 2.0))
    cpu_millicores = drawn.choice((1000, 2000, 4000))
    room = machines.count * machines.cpu_millicores * share
    return QueueSpec(
        pool=pool,
        jobs_per_s=min(JOBS_PER_S_MAX, room / (tasks * work_s * cpu_millicores)),
        shape=drawn.choice(SHAPES),
        tasks=tasks,
        work_s=work_s,
        cpu_millicores=cpu_millicores,
        stretch=drawn.choice((1.3, 1.6, 3.0)),
        slack_s=drawn.choice((0.4, 0.8)),
        worth=drawn.choice((1.0, 2.0, 4.0)),
    )


def _draw_trouble(drawn: random.Random) -> TroubleSpec:
    return TroubleSpec(
        drawn.choice(TROUBLE_KINDS),
        drawn.uniform(*TROUBLES_BEGIN_S),
        drawn.uniform(1.0, 4.0),
        drawn.choice((0.1, 0.25, 0.5)),
        drawn.choice((10.0, 40.0)),
    )
