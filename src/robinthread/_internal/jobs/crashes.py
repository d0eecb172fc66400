"""Rules for attributing host crashes to the tasks that ran on the host.

A host that crashes ends all its runs, and at most one of them is the culprit.  Two kinds of
crashes are distinguished: those that a task *may* have caused, which restrict how it is started
again, and confirmed ones, for which no other cause on the host is possible.  Only confirmed
crashes can fail a task's job.

A run is near its start for ``STARTUP_WINDOW_S``: a task that crashes its host does so at its
start, and few of the runs that end with a host have just begun.  A task with a crash near its
start is suspect.  It is started in isolation until it has run for longer than that on another
host.  Independent of their timing, crashes in ``ALONE_AFTER_RUNS`` runs restrict a task to
running alone on its host, so that the next crash is conclusive.
"""

import itertools
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from typing import Final

# Tasks that crash their hosts were observed to do so within 12 ms.  The rest allows for an owner
# that learns of the crash late because its event loop lags by 0.1 s.  A longer window would make
# sound tasks suspect: a host that crashes has some that began within any given second.
STARTUP_WINDOW_S: Final = 0.15
# A run that was present for this long did not cause its host's crash; its task is cleared.
EXONERATED_AFTER_S: Final = 5.0
# After this many runs that ended with a host crash, a task is started only alone on its host:
# platforms allow two more starts after the third, and each crash of a task alone is confirmed.
ALONE_AFTER_RUNS: Final = 3
# Number of confirmed crashes that fail a task's job: a single one may be the host's own fault.
CONFIRMED_RUNS_MIN: Final = 2
# Confirmed crashes must be on different machines, since a faulty machine may crash whatever it
# runs.  The rule is lifted once this many runs of the task have ended with a host crash.
SAME_MACHINE_RUNS_MIN: Final = 4
# The last run that platforms allow.  From this run on, one confirmed crash is enough if
# ``SIMILAR_RUNS_MIN`` runs, including its own, ended at a similar age.
LAST_ALLOWED_RUN: Final = 5
SIMILAR_RUNS_MIN: Final = 3
# Two crashes are attributed to the same task only if the ages of its runs differ by at most this
# share or by ``AGE_SPREAD_MS``, by which an owner may learn of a crash late.  Hosts that crash by
# themselves do so at any age of a run.
AGE_SPREAD_SHARE: Final = 0.1
AGE_SPREAD_MS: Final = 50
# Stands for an unknown age, which counts as similar to any other.
UNKNOWN_AGE_MS: Final = -1


@dataclass(frozen=True, slots=True)
class Crash:
    """A host crash during a run of a task.

    ``age_ms`` is how long the run had been present; negative if unknown.  ``is_near_start``: that
    was less than ``STARTUP_WINDOW_S``.  ``is_confirmed``: the run was isolated from everything
    else that could have caused the crash.  ``has_other_cause``: as far as is known, something
    else caused the crash; the run still counts towards ``ALONE_AFTER_RUNS``, since there may be
    two culprits.
    """

    host_id: str
    machine: str
    run: int
    age_ms: int
    is_near_start: bool
    is_confirmed: bool
    has_other_cause: bool = False


def is_suspect(crashes: Sequence[Crash]) -> bool:
    """Return whether a task must be started in isolation."""
    is_open = any(crash.is_near_start and not crash.has_other_cause for crash in crashes)
    return is_open or must_run_alone(crashes)


def must_run_alone(crashes: Sequence[Crash]) -> bool:
    """Return whether a task may be started only alone on its host."""
    return _count_runs(crashes) >= ALONE_AFTER_RUNS


def is_culprit(crashes: Sequence[Crash], is_lasting: bool = False) -> bool:
    """Return whether a task is a culprit, so that its job must fail.

    A lasting task is meant to be restarted however it ends, so it always takes two confirmed
    crashes.
    """
    confirmed = [crash for crash in crashes if crash.is_confirmed]
    if not is_lasting and _count_runs(crashes) >= LAST_ALLOWED_RUN:
        similar = ([each for each in crashes if _may_be_similar(each, one)] for one in confirmed)
        if any(_count_runs(each) >= SIMILAR_RUNS_MIN for each in similar):
            return True
    may_be_one_machine = _count_runs(crashes) >= SAME_MACHINE_RUNS_MIN
    return any(
        one.run != other.run
        and (one.machine != other.machine or may_be_one_machine)
        and _are_similar(one, other)
        for one, other in itertools.combinations(confirmed, CONFIRMED_RUNS_MIN)
    )


def attribute_all_elsewhere(crashes: Sequence[Crash]) -> list[Crash]:
    """Return the crashes of a task, all attributed to another cause.

    For a task that has run past its start in isolation: it does not crash its hosts at its start.
    """
    return [replace(crash, is_confirmed=False, has_other_cause=True) for crash in crashes]


def list_caused_crashes(crashes: Sequence[Crash]) -> tuple[Crash, ...]:
    """Return the crashes that a culprit caused: confirmed ones and those at a similar age."""
    confirmed = [crash for crash in crashes if crash.is_confirmed]
    known = [crash for crash in confirmed if crash.age_ms != UNKNOWN_AGE_MS]
    return tuple(
        crash
        for crash in crashes
        if crash.is_confirmed
        or (crash.age_ms != UNKNOWN_AGE_MS and any(_are_similar(crash, one) for one in known))
    )


def attribute_to_culprit(crashes: Sequence[Crash], caused: Collection[Crash]) -> list[Crash]:
    """Return what still counts of a task's crashes, of which a culprit ``caused`` some.

    Crashes that the culprit caused are dropped, unless both tasks began together on that host,
    since then either may be the cause.  If such a crash is the only one left, it is attributed to
    another cause and the task is no longer suspect.  A task with a confirmed crash of its own
    keeps all its crashes.  A task with several crashes keeps those that the culprit caused late
    after its start: by chance, any of several crashes may come as late.
    """
    if any(crash.is_confirmed for crash in crashes):
        return list(crashes)
    causes = {crash.host_id: crash for crash in caused if crash.is_near_start or len(crashes) == 1}
    remaining = [
        crash
        for crash in crashes
        if crash.host_id not in causes or _are_similar(crash, causes[crash.host_id])
    ]
    if len(remaining) > 1:
        return remaining
    return [replace(crash, has_other_cause=crash.host_id in causes) for crash in remaining]


def _count_runs(crashes: Sequence[Crash]) -> int:
    """Count the runs with crashes; members of a gang may crash several hosts in one run."""
    return len({crash.run for crash in crashes})


def _are_similar(one: Crash, other: Crash) -> bool:
    """Return whether two crashes came at a similar age of the run; unknown ages match any."""
    if UNKNOWN_AGE_MS in (one.age_ms, other.age_ms):
        return True
    spread_ms = max(AGE_SPREAD_MS, AGE_SPREAD_SHARE * max(one.age_ms, other.age_ms))
    return abs(one.age_ms - other.age_ms) <= spread_ms


def _may_be_similar(one: Crash, other: Crash) -> bool:
    return (one.is_near_start and other.is_near_start) or _are_similar(one, other)
