"""Client of the advice service, which decides which hosts may run a step."""

from collections.abc import Sequence

import msgspec

from robinthread._internal.jobs.advice_calls import AdviceError
from robinthread._internal.models.host_advice import HostAdvice
from robinthread._internal.models.step_key import StepKey
from robinthread._internal.utils.foreign_input import Milliseconds
from robinthread._internal.utils.http_call import (
    JSON_HEADERS,
    CallLostError,
    CallUnsentError,
    HttpClient,
    call,
    decode,
)


class _WireAdvice(msgspec.Struct):
    # Pairs of host id and ticket; hosts that may not run the step are omitted.
    good: list[tuple[str, str]] = []
    valid_ms: Milliseconds = 0


class PlatformAdvice:
    """The advice service over HTTP."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}/advise"

    async def advise(self, step: StepKey, host_ids: Sequence[str], timeout_s: float) -> HostAdvice:
        """Request which of the hosts may run a step; raise ``AdviceError`` on failure."""
        name = f"{step.job_id}.{step.occurrence}.{step.step}"
        body = msgspec.json.encode({"step": name, "workers": list(host_ids)})
        try:
            response = await call(
                self._client, self._url, timeout_s=timeout_s, body=body, headers=JSON_HEADERS
            )
            if response.code != 200:
                raise AdviceError(f"the advice service responded with status {response.code}")
            advice = decode(response.body, _WireAdvice)
        except (CallUnsentError, CallLostError) as error:
            raise AdviceError(str(error)) from error
        return HostAdvice(dict(advice.good), advice.valid_ms)
