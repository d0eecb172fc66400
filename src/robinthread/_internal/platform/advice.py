"""Client of the service that says which hosts may run a step."""

from collections.abc import Sequence

import msgspec

from robinthread._internal.jobs.advice_calls import AdviceError
from robinthread._internal.models.host_advice import HostAdvice
from robinthread._internal.models.step_key import StepKey
from robinthread._internal.utils.http_call import (
    JSON_HEADERS,
    CallLostError,
    CallUnsentError,
    HttpClient,
    call,
    decode,
)


class _WireAdvice(msgspec.Struct):
    # Rows of a host's id and its ticket; hosts that may not run the step are left out.
    good: list[tuple[str, str]] = []
    valid_ms: float = 0


class PlatformAdvice:
    """The service over HTTP."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}/advise"

    async def advise(self, step: StepKey, host_ids: Sequence[str], timeout_s: float) -> HostAdvice:
        """Ask which of some hosts may run a step; raise ``AdviceError``."""
        name = f"{step.job_id}.{step.occurrence}.{step.step}"
        body = msgspec.json.encode({"step": name, "workers": list(host_ids)})
        try:
            response = await call(
                self._client, self._url, timeout_s=timeout_s, body=body, headers=JSON_HEADERS
            )
            if response.code != 200:
                raise AdviceError(f"status {response.code}")
            answer = decode(response.body, _WireAdvice)
        except (CallUnsentError, CallLostError) as error:
            raise AdviceError(str(error)) from error
        return HostAdvice(dict(answer.good), answer.valid_ms)
