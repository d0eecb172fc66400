"""What may truthfully be said of a request that is given up."""

from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.entry.running_request import RunningRequest
from robinthread._internal.results import Family, ResultCode


def make_refusal_answer(
    running: RunningRequest, code: ResultCode, retry_after_s: float
) -> CallerAnswer:
    """Answer a request that is given up: with its last try's truth if it had one."""
    tried = running.may_have_run
    if tried is None:
        return CallerAnswer(code, retry_after_s=retry_after_s)
    return CallerAnswer(tried.code, tried.body, retry_after_s)


def qualify_refusal(request: CallerRequest, answer: CallerAnswer) -> CallerAnswer:
    """Say "did not run" only where no earlier try of the caller's can have run.

    A refusal that no claim stands behind proves nothing about tries that went
    to other daemons.
    """
    if request.try_number == 1 or answer.code.family is not Family.DID_NOT_RUN:
        return answer
    return CallerAnswer(ResultCode.EARLIER_TRY_UNKNOWN, retry_after_s=answer.retry_after_s)


def make_cancelled_answer(running: RunningRequest) -> CallerAnswer:
    """Answer a cancelled request: before its start, or with its last try's truth."""
    return make_refusal_answer(running, ResultCode.CANCELLED_BEFORE_START, 0.0)
