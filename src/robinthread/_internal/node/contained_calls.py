"""Calls to machines, peers and the advice service that raise only their declared errors."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import TypeVar

import msgspec

from robinthread._internal.fleet.machine_calls import MachineCalls
from robinthread._internal.fleet.machine_errors import MachineError, MachineNoAnswerError
from robinthread._internal.jobs.advice_calls import AdviceCalls, AdviceError
from robinthread._internal.models.host_advice import HostAdvice
from robinthread._internal.models.machine import Machine
from robinthread._internal.models.step_key import StepKey
from robinthread._internal.node.contained_host_calls import ContainedHostCalls
from robinthread._internal.node.environment import NodeEnvironment
from robinthread._internal.node.peer_calls import (
    REQUEST_TIMEOUT_S,
    PeerCalls,
    PeerUnreachableError,
)
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.error_text import describe_error

T = TypeVar("T")


def contain_calls(environment: NodeEnvironment) -> NodeEnvironment:
    """Return the environment with calls whose unexpected errors count as missing answers."""
    events = environment.events
    return replace(
        environment,
        hosts=ContainedHostCalls(environment.hosts, events),
        machines=_ContainedMachineCalls(environment.machines, events),
        advice=_ContainedAdviceCalls(environment.advice, events),
        peers=_ContainedPeerCalls(environment.peers, events),
    )


async def _contain(
    events: EventLog,
    name: str,
    call: Awaitable[T],
    expected: type[Exception],
    unanswered: Callable[[str], Exception],
) -> T:
    """Return a call's result; raise ``unanswered`` instead of any error that is not expected."""
    try:
        return await call
    except expected:
        raise
    except Exception as error:
        events.gather("call_failed", by={"call": name}, **describe_error(error))
        raise unanswered(f"{name}: {type(error).__name__}") from error


class _ContainedMachineCalls:
    """Implements ``MachineCalls``; an order may have been carried out all the same."""

    def __init__(self, calls: MachineCalls, events: EventLog) -> None:
        self._calls = calls
        self._events = events

    async def list_machines(self) -> tuple[Machine, ...]:
        """List all machines, see ``MachineCalls``."""
        return await self._contain("list machines", self._calls.list_machines())

    async def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine, see ``MachineCalls``."""
        await self._contain("move machine", self._calls.move(machine, pool, holder, token))

    async def begin_upkeep(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Start a machine's upkeep, see ``MachineCalls``."""
        call = self._calls.begin_upkeep(machine, wave, holder, token)
        await self._contain("begin upkeep", call)

    async def _contain(self, name: str, call: Awaitable[T]) -> T:
        return await _contain(self._events, name, call, MachineError, MachineNoAnswerError)


class _ContainedAdviceCalls:
    """Implements ``AdviceCalls``."""

    def __init__(self, calls: AdviceCalls, events: EventLog) -> None:
        self._calls = calls
        self._events = events

    async def advise(self, step: StepKey, host_ids: Sequence[str], timeout_s: float) -> HostAdvice:
        """Return which hosts may run a step, see ``AdviceCalls``."""
        call = self._calls.advise(step, host_ids, timeout_s)
        return await _contain(self._events, "advise", call, AdviceError, AdviceError)


class _ContainedPeerCalls:
    """Implements ``PeerCalls``; the peer may have processed the request all the same."""

    def __init__(self, calls: PeerCalls, events: EventLog) -> None:
        self._calls = calls
        self._events = events

    async def send_request(
        self,
        address: str,
        request: msgspec.Struct,
        response_type: type[T],
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> T:
        """Send a request to a node, see ``PeerCalls``."""
        name = f"{type(request).__name__} to {address}"
        call = self._calls.send_request(address, request, response_type, timeout_s)
        return await _contain(self._events, name, call, PeerUnreachableError, PeerUnreachableError)
