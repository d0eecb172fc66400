"""Fault injection for calls to a stand-in."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NoReturn, TypeVar

from robinthread._internal.standins.open_connections import OpenConnections

# Waits while the named caller's processor does the work that a call costs it.
ProcessorCharge = Callable[[str], Awaitable[None]]
T = TypeVar("T")


class CallUnansweredError(Exception):
    """No response arrived before the caller's timeout; the work may be done or not."""


class CallRefusedError(Exception):
    """The call was rejected before any work was done."""


class CallFaults:
    """Faults of one stand-in, by caller: outages, lost responses, late execution.

    Calls of ``silent`` callers time out and calls of ``refused`` callers are rejected; "*"
    stands for all callers.  Of the calls that change state, a share of ``lost_share`` is
    carried out but its response is lost; the work is then done after a random delay in the
    range ``late_s``.  Each call takes ``latency_s``, varied at random by up to
    ``latency_spread`` times that value; ``ordinary_latency_s`` is that of calls without a fault.
    Calls on ``connections`` that have gone silent time out; the work of calls sent before the
    silence is still done.  If ``charge_processor`` is set, it is awaited before each call, to
    model the caller's processor time.
    """

    def __init__(self, seed: int, latency_s: float) -> None:
        self._random = random.Random(seed)
        self.latency_s = self.ordinary_latency_s = latency_s
        self.silent: set[str] = set()
        self.refused: set[str] = set()
        self.latency_spread = 0.0
        self.lost_share = 0.0
        self.late_s: tuple[float, float] = (0.0, 0.0)
        self.connections = OpenConnections()
        self.charge_processor: ProcessorCharge | None = None

    def set_ordinary_latency(self, latency_s: float) -> None:
        """Set how long each call takes, now and after a fault that slows calls down."""
        self.latency_s = self.ordinary_latency_s = latency_s

    async def carry_out(
        self,
        caller: str,
        work: Callable[[], T],
        timeout_s: float,
        is_change: bool = True,
        target: str = "",
    ) -> T:
        """Do ``work`` and return its result, unless a fault applies to the call."""
        if self.charge_processor is not None:
            await self.charge_processor(caller)
        silences_before = self.connections.silences
        if self.connections.use(caller, target):
            await self._time_out_silently(caller, target, timeout_s)
        await asyncio.sleep(self._draw_latency_s())
        is_reachable = self.reaches(caller)
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

    def reaches(self, caller: str) -> bool:
        """Return whether calls of this caller are neither refused nor silent."""
        return not self._covers(self.refused, caller) and not self._covers(self.silent, caller)

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
    """Do work and discard its result and its exception."""
    try:
        work()
    except Exception:
        # The response with this error is lost, as a result would be.  The stand-in's state is
        # the same as if the response had arrived.
        return
