"""Random arrivals of the jobs of a day, drawn from its seed before the simulation."""

from dataclasses import dataclass
from typing import Final

import numpy as np

from robinthread._internal.experiments.deployment import Deployment, QueueSpec, Shape

# Factors on ``jobs_per_s`` during a queue's turn and between its turns, see ``Shape``.
IN_TURN_FACTOR: Final = 5.0
BETWEEN_TURNS_FACTOR: Final = 0.05


@dataclass(frozen=True)
class Arrival:
    """A job that is submitted ``at_s`` after the day's start.

    ``work_s`` has the duration of each of its tasks, ``number`` counts a day's jobs from 1.
    """

    number: int
    queue: str
    at_s: float
    work_s: tuple[float, ...]


def draw_arrivals(deployment: Deployment, seed: int) -> tuple[Arrival, ...]:
    """Draw the jobs of all queues, sorted by arrival time."""
    drawn: list[tuple[float, str, tuple[float, ...]]] = []
    for number, (name, queue) in enumerate(deployment.queues.items()):
        # One generator per queue, so that a queue's jobs do not depend on the other queues.
        generator = np.random.default_rng((seed, number))
        for at_s in _draw_times(deployment, name, queue, generator):
            spread = generator.uniform(-queue.work_spread, queue.work_spread, queue.tasks)
            work_s = tuple(float(queue.work_s * (1 + deviation)) for deviation in spread)
            drawn.append((at_s, name, work_s))
    drawn.sort()
    return tuple(
        Arrival(number, name, at_s, work_s)
        for number, (at_s, name, work_s) in enumerate(drawn, start=1)
    )


def _draw_times(
    deployment: Deployment, name: str, queue: QueueSpec, generator: np.random.Generator
) -> list[float]:
    """Draw a queue's arrival times, in seconds after the day's start.

    The arrivals are a Poisson process with a varying rate, drawn by thinning one with the
    constant rate ``rate_max``.
    """
    rate_max = queue.jobs_per_s * IN_TURN_FACTOR
    count = generator.poisson(rate_max * deployment.length_s)
    times_s = np.sort(generator.uniform(0, deployment.length_s, count))
    thresholds = generator.uniform(0, rate_max, count)
    rates = [get_rate(deployment, name, float(at_s)) for at_s in times_s]
    return [
        float(at_s)
        for at_s, rate, threshold in zip(times_s, rates, thresholds, strict=True)
        if rate > threshold
    ]


def get_rate(deployment: Deployment, name: str, at_s: float) -> float:
    """Return a queue's arrival rate at a time of the day, in jobs per second."""
    queue = deployment.queues[name]
    match Shape(queue.shape):
        case Shape.STEADY:
            return queue.jobs_per_s
        case Shape.RAMP:
            return queue.jobs_per_s * 2 * at_s / deployment.length_s
        case Shape.TURNS:
            turn_queues = [
                other
                for other, spec in deployment.queues.items()
                if spec.shape == Shape.TURNS.value
            ]
            turn = int(at_s / deployment.turn_s) % len(turn_queues)
            is_in_turn = turn_queues[turn] == name
            return queue.jobs_per_s * (IN_TURN_FACTOR if is_in_turn else BETWEEN_TURNS_FACTOR)
