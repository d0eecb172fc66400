"""In-memory stand-in for the advice service, which says which hosts may run a step."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

from robinthread._internal.jobs.advice_calls import AdviceError
from robinthread._internal.models.host_advice import HostAdvice
from robinthread._internal.models.step_key import StepKey

# A call that names more hosts fails.
HOSTS_PER_CALL_MAX: Final = 100


class AdviceStandin:
    """Issues tickets for the hosts that ``is_allowed`` accepts, each valid for ``valid_s``.

    An answer takes ``answer_s``.
    """

    def __init__(self) -> None:
        self.is_allowed: Callable[[StepKey, str], bool] = lambda step, host_id: True
        self.is_down = False
        self.valid_s = 3.0
        self.answer_s = 0.01
        self.call_count = 0
        self._valid_until_s: dict[tuple[StepKey, str], float] = {}
        self._incarnation_counts: Counter[str] = Counter()

    def start_incarnation(self, host_id: str) -> None:
        """Start a new incarnation of a host; tickets for its earlier ones become invalid."""
        self._incarnation_counts[host_id] += 1

    async def advise(self, step: StepKey, host_ids: Sequence[str], timeout_s: float) -> HostAdvice:
        """Return tickets for the allowed hosts; raise ``AdviceError`` while the service is down."""
        self.call_count += 1
        await asyncio.sleep(self.answer_s)
        if len(host_ids) > HOSTS_PER_CALL_MAX:
            raise AdviceError(f"a call names at most {HOSTS_PER_CALL_MAX} hosts")
        if self.is_down:
            raise AdviceError("the advice service is down")
        now_s = asyncio.get_running_loop().time()
        allowed = [host_id for host_id in host_ids if self.is_allowed(step, host_id)]
        self._valid_until_s |= {(step, host_id): now_s + self.valid_s for host_id in allowed}
        tickets = {host_id: self._make_ticket(step, host_id) for host_id in allowed}
        return HostAdvice(tickets, self.valid_s * 1000)

    def accepts(self, step: StepKey, host_id: str, ticket: str) -> bool:
        """Tell whether a ticket for a step on a host is valid now."""
        now_s = asyncio.get_running_loop().time()
        return ticket == self._make_ticket(step, host_id) and now_s < self._valid_until_s.get(
            (step, host_id), 0.0
        )

    def _make_ticket(self, step: StepKey, host_id: str) -> str:
        return f"{step.job_id}/{step.step}/{host_id}/{self._incarnation_counts[host_id]}"
