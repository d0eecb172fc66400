"""Answers to requests that end without a result, as far as their outcome is known."""

from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.entry.running_request import RunningRequest
from robinthread._internal.results import Family, ResultCode


def make_refusal_answer(
    running: RunningRequest, code: ResultCode, retry_after_s: float
) -> CallerAnswer:
    """Return the answer to a request that is not tried again.

    The code is that of the last try that may have run, or ``code`` if there is none.
    """
    tried = running.may_have_run
    if tried is None:
        return CallerAnswer(code, retry_after_s=retry_after_s)
    return CallerAnswer(tried.code, tried.body, retry_after_s)


def qualify_refusal(request: CallerRequest, answer: CallerAnswer) -> CallerAnswer:
    """Replace a "did not run" answer if an earlier try of the caller may have run.

    A refusal without a claim does not prove that the caller's earlier tries, which may
    have reached other daemons, did not run.
    """
    if request.try_number == 1 or answer.code.family is not Family.DID_NOT_RUN:
        return answer
    return CallerAnswer(ResultCode.EARLIER_TRY_UNKNOWN, retry_after_s=answer.retry_after_s)


def make_cancelled_answer(running: RunningRequest) -> CallerAnswer:
    """Return the answer to a cancelled request.

    ``CANCELLED_BEFORE_START``, or the code of the last try if that may have run.
    """
    return make_refusal_answer(running, ResultCode.CANCELLED_BEFORE_START, 0.0)
