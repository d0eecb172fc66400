"""Ages of what a node knows from the partitions that it follows."""

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from robinthread._internal.durable.keyed_follower import FOLLOW_WAIT_S, KeyedFollower
from robinthread._internal.telemetry.event_log import EventLog

# Maximum age of a partition that is followed by long polls.  What the last one confirmed is as old
# as that read and the one under way took together; the rest is for a call that the store delays.
FOLLOWED_AGE_MAX_S: Final = 2 * FOLLOW_WAIT_S + 1.5
# Interval at which a line tells again that a partition is still not read.
REPEAT_PERIOD_S: Final = 10.0


@dataclass(frozen=True)
class View:
    """What a node knows from one partition; ``get_age_max_s`` returns its maximum age in s."""

    follower: KeyedFollower
    get_age_max_s: Callable[[], float]


class ViewAges:
    """Logs which views of a node are older than they may be, and when they are fresh again.

    The age of a view is the time since the last successful read of its partition was sent.  A
    paused follower has none, because nothing depends on its partition.
    """

    def __init__(self, views: Sequence[View], events: EventLog) -> None:
        self._views = tuple(views)
        self._events = events
        self._stale_since_s: dict[str, float] = {}
        self._logged_at_s: dict[str, float] = {}

    def read_ages(self) -> dict[str, float]:
        """Return the age of each view in seconds, by topic."""
        return {
            view.follower.topic: view.follower.get_age_s()
            for view in self._views
            if not view.follower.is_paused
        }

    def read_offsets(self) -> dict[str, float]:
        """Return the offset up to which each partition has been read, by topic."""
        return {
            view.follower.topic: float(view.follower.next_offset)
            for view in self._views
            if view.follower.next_offset is not None
        }

    def check(self) -> None:
        """Log each view that has become too old or fresh since the last call."""
        for view in self._views:
            age_s, age_max_s = view.follower.get_age_s(), view.get_age_max_s()
            if not view.follower.is_paused and age_s > age_max_s:
                self._record_stale(view.follower, age_s, age_max_s)
            else:
                self._record_fresh(view.follower, age_s)

    def _record_stale(self, follower: KeyedFollower, age_s: float, age_max_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self._stale_since_s.setdefault(follower.topic, now_s - age_s)
        if now_s - self._logged_at_s.get(follower.topic, -math.inf) >= REPEAT_PERIOD_S:
            self._logged_at_s[follower.topic] = now_s
            self._events.write(
                "view_stale",
                topic=follower.topic,
                age_s=round(age_s, 3),
                age_max_s=age_max_s,
                next_offset=follower.next_offset,
            )

    def _record_fresh(self, follower: KeyedFollower, age_s: float) -> None:
        since_s = self._stale_since_s.pop(follower.topic, None)
        if since_s is None:
            return
        self._logged_at_s.pop(follower.topic, None)
        self._events.write(
            "view_fresh",
            topic=follower.topic,
            age_s=round(age_s, 3),
            stale_for_s=round(asyncio.get_running_loop().time() - since_s, 3),
            next_offset=follower.next_offset,
        )
