"""State of a request that this daemon is executing."""

import asyncio
from dataclasses import dataclass

from robinthread._internal.claims.claim import Claim
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.entry.try_result import TryResult
from robinthread._internal.peers.messages import SlotReply


@dataclass
class RunningRequest:
    """State of a request between its arrival and its final answer.

    ``lease_id``, ``host``, ``address``, ``token`` and ``task_id`` describe the try that
    is running on a worker; ``checkpoint`` is the state from which the next try resumes.
    ``slot_wait`` is the pending slot request.  ``may_have_run`` is the result of the last
    try that may have run on a worker; if it is set, the answer cannot be that the request
    did not run.
    """

    request: CallerRequest
    digest: bytes
    answer: asyncio.Future[CallerAnswer]
    claim: Claim | None = None
    is_cancelled: bool = False
    slot_wait: asyncio.Task[SlotReply] | None = None
    lease_id: str = ""
    host: str = ""
    address: str = ""
    token: int = 0
    task_id: str = ""
    checkpoint: bytes = b""
    avoid: tuple[str, ...] = ()
    tries: int = 0
    may_have_run: TryResult | None = None
