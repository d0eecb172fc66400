"""Numbered result codes, shared by every layer.

The hundreds digit of a code is its family.  Families 2 to 4 are the three
outcomes of a request: it ran, it did not run, or its outcome is unknown.
"""

import enum
from dataclasses import dataclass
from typing import Final


class Family(enum.Enum):
    """Family of a result code; the value is the code's hundreds digit."""

    SUCCESS = 1
    RAN = 2
    DID_NOT_RUN = 3
    OUTCOME_UNKNOWN = 4
    INVALID = 5
    VOID = 6
    INTERNAL = 7


class ResultCode(enum.IntEnum):
    """Result of a request, a record or an operator's call."""

    OK = 100
    REPEATED = 101

    RAN = 200
    RAN_FAILED = 201

    NO_SUCH_POOL = 300
    NOT_READY = 301
    DEADLINE_UNREACHABLE = 302
    QUEUE_FULL = 303
    QUOTA_EXCEEDED = 304
    NO_HOST_REACHABLE = 305
    PLATFORM_OUT = 306
    CLAIM_OWNER_UNREACHABLE = 307
    CLAIMS_FULL = 308
    JOB_CANNOT_RUN = 309
    CANCELLED_BEFORE_START = 310
    RETRY_BUDGET_SPENT = 311
    NOT_STARTED = 312
    DEADLINE_PASSED = 313
    STOPPING = 314
    NO_SLOT_FREE = 315
    POOL_OWNER_UNREACHABLE = 316
    KEY_UNKNOWN = 317
    JOB_ID_TAKEN = 318
    NODE_FULL = 319

    OUTCOME_UNKNOWN = 400
    HOLDER_LOST = 401
    ANSWER_TIMED_OUT = 402
    ANSWER_NOT_WHOLE = 403
    CLAIM_EXPIRED = 404
    STOPPED_AFTER_START = 405
    EARLIER_TRY_UNKNOWN = 406

    BAD_ARGUMENT = 500
    BAD_SETTINGS = 501
    BAD_REQUEST = 502
    BODY_DIFFERS = 503
    UNAUTHORIZED = 504
    SCHEMA_MISMATCH = 505
    UNKNOWN_METHOD = 506
    UNREACHABLE = 507
    BODY_TOO_LARGE = 508

    CONFLICT = 600
    NOT_FOUND = 601
    ALREADY_EXISTS = 602
    BUDGET_WOULD_BREAK = 603
    HOST_IN_OTHER_POOL = 604
    WRONG_PHASE = 605
    STALE_TOKEN = 606
    HOST_IN_OTHER_WAVE = 607
    POOL_IN_USE = 608
    WAVE_ENDED = 609
    NOT_A_MEMBER = 610
    UNKNOWN_KIND = 611

    INTERNAL = 700
    DIGEST_DIFFERS = 701
    TIMED_OUT = 703

    @property
    def family(self) -> Family:
        """Return the family of the code."""
        return Family(self.value // FAMILY_SIZE)

    @property
    def is_success(self) -> bool:
        """Return whether the code stands for a success."""
        return self.family in (Family.SUCCESS, Family.RAN) and self is not ResultCode.RAN_FAILED


FAMILY_SIZE: Final = 100

MEANINGS: Final[dict[ResultCode, str]] = {
    ResultCode.OK: "Done.",
    ResultCode.REPEATED: "Done before under the same operation id; the first outcome stands.",
    ResultCode.RAN: "The request ran; the answer is whole.",
    ResultCode.RAN_FAILED: "The request ran and its job failed.",
    ResultCode.NO_SUCH_POOL: "No pool has that name. Create it, or correct the name.",
    ResultCode.NOT_READY: "The daemon has no fleet state yet. Ask another entry host.",
    ResultCode.DEADLINE_UNREACHABLE: "The queue is too long for the deadline. Come back later.",
    ResultCode.QUEUE_FULL: "The pool's queue is full. Come back later.",
    ResultCode.QUOTA_EXCEEDED: "The team's quota is in use. Come back later.",
    ResultCode.NO_HOST_REACHABLE: "No serving host of the pool can be reached from here.",
    ResultCode.PLATFORM_OUT: "The platform's log is out, so no claim can be made. Retry later.",
    ResultCode.CLAIM_OWNER_UNREACHABLE: "The owner of the claim cannot be reached. Retry later.",
    ResultCode.CLAIMS_FULL: "Too many unexpired claims are held. Retry later.",
    ResultCode.JOB_CANNOT_RUN: "The job failed on several distinct hosts and is set aside.",
    ResultCode.CANCELLED_BEFORE_START: "The request was cancelled before it started.",
    ResultCode.RETRY_BUDGET_SPENT: "The retry budget is spent. Retry later.",
    ResultCode.NOT_STARTED: "The worker said that it did not start the request.",
    ResultCode.DEADLINE_PASSED: "The deadline passed before the request was started.",
    ResultCode.STOPPING: "The daemon is stopping. Ask another entry host.",
    ResultCode.NO_SLOT_FREE: "No slot is free in that data hall now.",
    ResultCode.POOL_OWNER_UNREACHABLE: (
        "The node that owns the job's pool cannot be reached. Retry later."
    ),
    ResultCode.KEY_UNKNOWN: "The queue asks for a workspace's key, and the call has none in force.",
    ResultCode.JOB_ID_TAKEN: "Another job has that id. Choose a new one.",
    ResultCode.NODE_FULL: "The node is reading too many requests at once. Retry later.",
    ResultCode.OUTCOME_UNKNOWN: "The request was sent and no word came back.",
    ResultCode.HOLDER_LOST: "The daemon that carried the request is gone.",
    ResultCode.ANSWER_TIMED_OUT: "The request was sent; its answer did not come in time.",
    ResultCode.ANSWER_NOT_WHOLE: "The answer was cut short or was another request's.",
    ResultCode.CLAIM_EXPIRED: "The deadline passed; whether an earlier try ran is not known.",
    ResultCode.STOPPED_AFTER_START: "The request was stopped after it had started.",
    ResultCode.EARLIER_TRY_UNKNOWN: (
        "This try started nothing; whether an earlier one ran cannot be told now. "
        "Repeat the request under the same id."
    ),
    ResultCode.BAD_ARGUMENT: "An argument is missing, unknown or malformed.",
    ResultCode.BAD_SETTINGS: "The settings file is not valid.",
    ResultCode.BAD_REQUEST: "The request lacks a header or has a malformed one.",
    ResultCode.BODY_DIFFERS: "The request id was used before with another body or deadline.",
    ResultCode.UNAUTHORIZED: "The operator's token is missing or wrong.",
    ResultCode.SCHEMA_MISMATCH: "The operators' schema is not compatible with this build.",
    ResultCode.UNKNOWN_METHOD: "The operators' interface has no such method.",
    ResultCode.UNREACHABLE: "The daemon cannot be reached at that address.",
    ResultCode.BODY_TOO_LARGE: "The body is larger than the limit.",
    ResultCode.CONFLICT: "The change was based on another version than the current one.",
    ResultCode.NOT_FOUND: "The named object does not exist.",
    ResultCode.ALREADY_EXISTS: "An object of that name exists.",
    ResultCode.BUDGET_WOULD_BREAK: "The change would break the pool's availability budget.",
    ResultCode.HOST_IN_OTHER_POOL: "The host belongs to another pool.",
    ResultCode.WRONG_PHASE: "The host is in a phase that does not allow the change.",
    ResultCode.STALE_TOKEN: "The change carries an older fencing token than the current one.",
    ResultCode.HOST_IN_OTHER_WAVE: "The host is in another unfinished wave.",
    ResultCode.POOL_IN_USE: "The pool still has hosts or an unfinished wave.",
    ResultCode.WAVE_ENDED: "The wave has ended.",
    ResultCode.NOT_A_MEMBER: "The author is not a live daemon of the fleet.",
    ResultCode.UNKNOWN_KIND: "The record's kind or version is not known to this build.",
    ResultCode.INTERNAL: "The daemon failed; its log line tells more.",
    ResultCode.DIGEST_DIFFERS: "The state differs from another daemon's at the same offset.",
    ResultCode.TIMED_OUT: "The call did not end in time.",
}


@dataclass(frozen=True)
class Fault:
    """A failure as reported to an operator or a caller.

    ``message`` states what happened, then what to do.
    """

    code: ResultCode
    message: str

    def __str__(self) -> str:
        return f"[{self.code.value} {self.code.name}] {self.message}"


def make_fault(code: ResultCode, detail: str = "") -> Fault:
    """Return a fault whose message joins ``detail`` and the code's meaning."""
    return Fault(code, f"{detail}. {MEANINGS[code]}" if detail else MEANINGS[code])


class FaultError(Exception):
    """An exception that carries a fault."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault
