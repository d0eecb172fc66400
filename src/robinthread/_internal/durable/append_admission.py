"""Decision whether a record may wait for an append while the store is slow.

A slow store processes the appends to the inbox's partition one at a time, so a record may wait
behind earlier appends.  A record that is sent after its caller has stopped waiting is wasted work,
and a caller that is rejected late has no time left to retry.
"""

import math
from dataclasses import dataclass
from typing import Final

# Part of the caller's time for which a record may wait unsent.  A caller that is rejected later has
# too little time to retry.
HELD_SHARE: Final = 0.25
# The store rejects an append that would wait longer than this for its turn.
STORE_WAIT_MAX_S: Final = 2.0
# A rejected caller should not retry sooner than this, because Retry-After is in whole seconds.
RETRY_AFTER_MIN_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class AppendBacklog:
    """A writer's appends under way when a record arrives.

    ``ages_s`` has the time since each of them was sent, longest first.  ``typical_s`` is how long
    the last append took.  Up to ``lanes`` appends are under way at a time, and a further one is
    sent ``interval_s`` after the last one.
    """

    ages_s: tuple[float, ...]
    typical_s: float
    lanes: int
    interval_s: float


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a record is accepted; if it is not, ``retry_after_s`` tells when it would be."""

    is_accepted: bool
    retry_after_s: float = 0.0


def predict_wait_s(backlog: AppendBacklog) -> float:
    """Return for how many seconds a record that arrives now is expected to wait unsent.

    An append that has taken longer than the last one is behind a queue of unknown length at the
    store.  It is expected to take as long again as it has taken, within the store's limit.
    """
    if not backlog.ages_s:
        return 0.0
    if len(backlog.ages_s) < backlog.lanes:
        return max(0.0, backlog.interval_s - backlog.ages_s[-1])
    age_s = backlog.ages_s[0]
    if age_s < backlog.typical_s:
        return backlog.typical_s - age_s
    return max(0.0, min(age_s, STORE_WAIT_MAX_S + backlog.typical_s - age_s))


def decide_admission(backlog: AppendBacklog, hold_s: float, left_s: float) -> Admission:
    """Decide whether a record may wait until it is sent.

    ``hold_s`` is how long it may wait unsent, ``left_s`` how long its caller waits for the
    response.  A rejected record was not sent.
    """
    wait_s = predict_wait_s(backlog)
    if wait_s <= hold_s and wait_s + backlog.typical_s <= left_s:
        return Admission(is_accepted=True)
    excess_s = max(wait_s - hold_s, wait_s + backlog.typical_s - left_s)
    return Admission(is_accepted=False, retry_after_s=max(RETRY_AFTER_MIN_S, math.ceil(excess_s)))
