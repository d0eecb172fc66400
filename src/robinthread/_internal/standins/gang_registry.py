"""Gangs on the stand-in's hosts: tasks of a step that start and end together."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.task_key import TaskKey

GANG_TIMEOUT_S: Final = 3.0

RunKey = tuple[TaskKey, int]
GangKey = tuple[str, int, int, int]


@dataclass(frozen=True)
class GangMember:
    """Callbacks for one member of a gang: start its work, or end its run."""

    work: Callable[[], None]
    end: Callable[[RunEnd], None]


class GangRegistry:
    """Registry of the gang members that have started, by gang and run."""

    def __init__(self) -> None:
        self._gangs: dict[GangKey, dict[RunKey, GangMember]] = defaultdict(dict)
        self._working: set[GangKey] = set()

    def join(self, key: RunKey, size: int, member: GangMember) -> None:
        """Add a member; all members start work once ``size`` of them are present.

        A member ends as ``GANG_ALONE`` if its gang is incomplete after ``GANG_TIMEOUT_S``.
        """
        gang_key = _get_gang_key(key)
        gang = self._gangs[gang_key]
        gang[key] = member
        asyncio.get_running_loop().call_later(GANG_TIMEOUT_S, self._end_if_incomplete, key)
        if len(gang) == size:
            self._working.add(gang_key)
            for present in list(gang.values()):
                present.work()

    def leave(self, key: RunKey, end: RunEnd) -> None:
        """Remove a member that ended; unless it was done, end a working gang's other members."""
        gang = self._gangs[_get_gang_key(key)]
        gang.pop(key, None)
        if end is not RunEnd.DONE and _get_gang_key(key) in self._working:
            for member in list(gang.values()):
                member.end(RunEnd.GANG_BROKEN)

    def _end_if_incomplete(self, key: RunKey) -> None:
        gang_key = _get_gang_key(key)
        member = self._gangs[gang_key].get(key)
        if member is not None and gang_key not in self._working:
            member.end(RunEnd.GANG_ALONE)


def _get_gang_key(key: RunKey) -> GangKey:
    task, run = key
    return task.job_id, task.occurrence, task.step, run
