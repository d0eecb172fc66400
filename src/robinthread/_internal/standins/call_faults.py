"""What goes wrong with calls to a stand-in."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NoReturn, TypeVar

from robinthread._internal.standins.open_connections import OpenConnections

# Has a caller's processor do what a call costs it.
ProcessorCharge = Callable[[str], Awaitable[None]]
T = TypeVar("T")


class CallUnansweredError(Exception):
    """The caller gave up waiting."""


class CallRefusedError(Exception):
    """Nothing was done."""


class CallFaults:
    """Faults of one stand-in, by caller: outages, lost answers, late execution.

    ``silent`` callers get no answer and ``refused`` ones are turned away; "*"
    stands for all.  A share ``lost_share`` of the changes is done without an
    answer, and where ``late_s`` is set only after up to so many seconds.  Each call takes
    ``latency_s``, give or take a share of up to ``latency_spread`` of it.  Calls on
    ``connections`` that have gone silent get no answer; only what was sent before is done.
    Where ``charge_processor`` is set, a call begins once its caller's processor has done its part.
    """

    def __init__(self, seed: int, latency_s: float) -> None:
        self._random = random.Random(seed)
        self.latency_s = latency_s
        self.silent: set[str] = set()
        self.refused: set[str] = set()
        self.latency_spread = 0.0
        self.lost_share = 0.0
        self.late_s: tuple[float, float] = (0.0, 0.0)
        self.connections = OpenConnections()
        self.charge_processor: ProcessorCharge | None = None

    async def carry_out(
        self,
        caller: str,
        work: Callable[[], T],
        timeout_s: float,
        is_change: bool = True,
        target: str = "",
    ) -> T:
        """Do ``work`` as the faults let it, and return its result to the caller."""
        if self.charge_processor is not None:
            await self.charge_processor(caller)
        silences_before = self.connections.silences
        if self.connections.use(caller, target):
            await self._time_out_silently(caller, target, timeout_s)
        await asyncio.sleep(self._draw_latency_s())
        is_reachable = not self._covers(self.refused, caller) and not self._covers(
            self.silent, caller
        )
        if self.connections.silences > silences_before:
            if is_reachable:
                run_discarding_result(work)
            await self._time_out_silently(caller, target, timeout_s)
        if self._covers(self.refused, caller):
            raise CallRefusedError
        if not is_reachable:
            await asyncio.sleep(timeout_s)
            raise CallUnansweredError
        if is_change and self._random.random() < self.lost_share:
            self._run_later(work)
            await asyncio.sleep(timeout_s)
            raise CallUnansweredError
        return work()

    async def _time_out_silently(self, caller: str, target: str, timeout_s: float) -> NoReturn:
        await asyncio.sleep(timeout_s)
        self.connections.replace_silent(caller, target)
        raise CallUnansweredError

    def _draw_latency_s(self) -> float:
        if not self.latency_spread:
            return self.latency_s
        return self.latency_s * (1 + self._random.uniform(-1, 1) * self.latency_spread)

    def _run_later(self, work: Callable[[], object]) -> None:
        delay_s = self._random.uniform(*self.late_s)
        asyncio.get_running_loop().call_later(delay_s, run_discarding_result, work)

    def _covers(self, names: set[str], caller: str) -> bool:
        return caller in names or "*" in names


def run_discarding_result(work: Callable[[], object]) -> None:
    """Do work whose outcome nobody hears."""
    try:
        work()
    except Exception:
        # The caller would have been told; the stand-in's state is as if it had.
        return
