"""Gangs of a stand-in's hosts: tasks that begin and end together."""

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
    """What to do with one member: have it work, or end it."""

    work: Callable[[], None]
    end: Callable[[RunEnd], None]


class GangRegistry:
    """The members of each gang that are present, by the run they share."""

    def __init__(self) -> None:
        self._gangs: dict[GangKey, dict[RunKey, GangMember]] = defaultdict(dict)
        self._working: set[GangKey] = set()

    def join(self, key: RunKey, size: int, member: GangMember) -> None:
        """Add a member; the last one has all begin to work."""
        gang_key = _get_gang_key(key)
        gang = self._gangs[gang_key]
        gang[key] = member
        asyncio.get_running_loop().call_later(GANG_TIMEOUT_S, self._end_if_incomplete, key)
        if len(gang) == size:
            self._working.add(gang_key)
            for present in list(gang.values()):
                present.work()

    def leave(self, key: RunKey, end: RunEnd) -> None:
        """Note a member's end; one that was not done ends the others."""
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
