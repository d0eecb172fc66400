"""What is found on a drawn day, and spans of outages."""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass

from robinthread._internal.standins.store_standin import StoreStandin

Span = tuple[float, float]


@dataclass(frozen=True)
class DrawnFindings:
    """The violations that were found on a day, and the jobs that did not end as they should."""

    seed: int
    breaks: tuple[str, ...]
    undone: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Tell whether the day has no findings."""
        return not (self.breaks or self.undone)


def draw_spans(drawn: random.Random, within_s: float, lengths_s: Span) -> Iterator[Span]:
    """Draw up to two spans that begin ``within_s`` and have lengths between the given ones."""
    for _ in range(drawn.choice((0, 1, 2))):
        at_s = drawn.uniform(0.0, within_s)
        yield at_s, at_s + drawn.uniform(*lengths_s)


async def refuse_calls(store: StoreStandin, span: Span) -> None:
    """Have the store refuse all calls in a span that counts from now."""
    await asyncio.sleep(span[0])
    store.faults.refused.add("*")
    await asyncio.sleep(span[1] - span[0])
    store.faults.refused.discard("*")
