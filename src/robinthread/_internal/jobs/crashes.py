"""What crashes of hosts tell of the tasks that ran there.

A host that crashes takes all its runs with it, and one of them at most is to blame.  Two things
are kept apart: under which crashes a task *may* have been the cause, which bounds how it is
started again, and of which it surely was, for nothing else there could be.  Only the latter give
a task up.

A run is close to its start for ``STARTUP_WINDOW_S``: a task that crashes its host does so
at its start,
and of the many runs that a host takes with it few have just begun.  A task with a crash close to
its start is suspect, and goes on apart from others until it has outlived that time on another
host.  Whatever the time, one under which hosts have crashed in ``ALONE_AFTER_RUNS`` runs
goes on alone
on its host, so that the next crash tells.
"""

import itertools
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from typing import Final

# Tasks that crash their hosts were seen to do so within 12 ms.  An owner whose loop is late by
# 0.1 s learns late; a longer time would make suspects of sound tasks, of which a host that
# crashes has some that began within any second.
STARTUP_WINDOW_S: Final = 0.15
# A run that was there for so long had no part in its host's crash, and clears its task.
EXONERATED_AFTER_S: Final = 5.0
# From so many runs that ended with their hosts on, a task is started alone on its host only:
# platforms allow two more starts after the third, and each crash alone is sure.
ALONE_AFTER_RUNS: Final = 3
# So many sure crashes give a task up: one may be its host's own.
CONFIRMED_RUNS_MIN: Final = 2
# They must be of different machines, for one may crash whatever it runs, unless so many runs
# have ended with their hosts in all.
SAME_MACHINE_RUNS_MIN: Final = 4
# The last run that platforms allow: by then one sure crash is enough where so many runs in all
# ended alike.
LAST_ALLOWED_RUN: Final = 5
SIMILAR_RUNS_MIN: Final = 3
# Two crashes are one task's doing only where they come equally late, give or take this share or
# so long, by which an owner may learn of one late: hosts that crash by themselves do so at any
# time.
AGE_SPREAD_SHARE: Final = 0.1
AGE_SPREAD_MS: Final = 50
# Stands for an age that is not known, which is like any other.
UNKNOWN_AGE_MS: Final = -1


@dataclass(frozen=True, slots=True)
class Crash:
    """A host that crashed under a run of a task.

    ``age_ms`` is for how long the run had been there, negative where that is not known.
    ``is_near_start``: that was less than ``STARTUP_WINDOW_S``.  ``is_confirmed``: it ran apart from
    all else that
    could be to blame.  ``has_other_cause``: something else was, as far as is known; the run counts
    towards ``ALONE_AFTER_RUNS`` all the same, for two may be to blame.
    """

    host_id: str
    machine: str
    run: int
    age_ms: int
    is_near_start: bool
    is_confirmed: bool
    has_other_cause: bool = False


def is_suspect(crashes: Sequence[Crash]) -> bool:
    """Tell whether a task is to be started apart from others."""
    is_open = any(crash.is_near_start and not crash.has_other_cause for crash in crashes)
    return is_open or must_run_alone(crashes)


def must_run_alone(crashes: Sequence[Crash]) -> bool:
    """Tell whether a task is to be started alone on its host only."""
    return _count_runs(crashes) >= ALONE_AFTER_RUNS


def is_culprit(crashes: Sequence[Crash], is_lasting: bool = False) -> bool:
    """Tell whether a task is to be given up.

    One that lasts is meant to be restarted however it ends: for it two must be sure.
    """
    sure = [crash for crash in crashes if crash.is_confirmed]
    if not is_lasting and _count_runs(crashes) >= LAST_ALLOWED_RUN:
        alike = ([each for each in crashes if _may_be_alike(each, one)] for one in sure)
        if any(_count_runs(each) >= SIMILAR_RUNS_MIN for each in alike):
            return True
    may_be_one_machine = _count_runs(crashes) >= SAME_MACHINE_RUNS_MIN
    return any(
        one.run != other.run
        and (one.machine != other.machine or may_be_one_machine)
        and _are_alike(one, other)
        for one, other in itertools.combinations(sure, CONFIRMED_RUNS_MIN)
    )


def attribute_all_elsewhere(crashes: Sequence[Crash]) -> list[Crash]:
    """Return the crashes of a task that has outlived its start, apart from others.

    It does not crash its hosts at its start, so these crashes had another cause.
    """
    return [replace(crash, is_confirmed=False, has_other_cause=True) for crash in crashes]


def list_caused_crashes(crashes: Sequence[Crash]) -> tuple[Crash, ...]:
    """Return those crashes of a task that is to blame which were its doing, by all it shows."""
    sure = [crash for crash in crashes if crash.is_confirmed]
    known = [crash for crash in sure if crash.age_ms != UNKNOWN_AGE_MS]
    return tuple(
        crash
        for crash in crashes
        if crash.is_confirmed
        or (crash.age_ms != UNKNOWN_AGE_MS and any(_are_alike(crash, one) for one in known))
    )


def attribute_to_culprit(crashes: Sequence[Crash], caused: Collection[Crash]) -> list[Crash]:
    """Return the crashes of a task, of which some were ``caused`` by another one.

    They count no more, unless the two began together on that host, for then either may have
    been the cause: there the task is not suspect any more if no other host crashed under it.
    One that is to blame for a crash itself gets no such credit, nor does one with several
    crashes where the cause comes late after its start: any of several may come as late.
    """
    if any(crash.is_confirmed for crash in crashes):
        return list(crashes)
    causes = {crash.host_id: crash for crash in caused if crash.is_near_start or len(crashes) == 1}
    left = [
        crash
        for crash in crashes
        if crash.host_id not in causes or _are_alike(crash, causes[crash.host_id])
    ]
    if len(left) > 1:
        return left
    return [replace(crash, has_other_cause=crash.host_id in causes) for crash in left]


def _count_runs(crashes: Sequence[Crash]) -> int:
    """Count the runs: the members of a gang may take several hosts with them in one."""
    return len({crash.run for crash in crashes})


def _are_alike(one: Crash, other: Crash) -> bool:
    """Tell whether two crashes came equally late after a run's start, as far as is known."""
    if UNKNOWN_AGE_MS in (one.age_ms, other.age_ms):
        return True
    spread_ms = max(AGE_SPREAD_MS, AGE_SPREAD_SHARE * max(one.age_ms, other.age_ms))
    return abs(one.age_ms - other.age_ms) <= spread_ms


def _may_be_alike(one: Crash, other: Crash) -> bool:
    return (one.is_near_start and other.is_near_start) or _are_alike(one, other)
