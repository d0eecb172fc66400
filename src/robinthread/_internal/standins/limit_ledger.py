"""Checks the resources that workspaces use on all hosts against their limits."""

import math
from typing import Final, Protocol

from robinthread._internal.models.resources import NO_RESOURCES, Resources

# A pool's owner may apply a limit for this long after it was replaced.
LIMITS_KNOWN_AFTER_S: Final = 2.0


class RunningTask(Protocol):
    """A run as recorded by its host; ``ended_at_s`` is None while it runs."""

    resources: Resources
    ended_at_s: float | None


class LimitLedger:
    """Finds starts that bring a workspace over its limit.

    ``workspaces`` maps job ids to workspaces and is filled by the tests; the runs of other
    jobs are not checked.  ``over_limit`` describes each start over a limit.
    """

    def __init__(self) -> None:
        self.workspaces: dict[str, str] = {}
        self.over_limit: list[str] = []
        self._limits: list[tuple[float, dict[str, Resources]]] = []
        self._running: dict[str, list[RunningTask]] = {}

    def record_limits(self, limits: dict[str, Resources], now_s: float) -> None:
        """Record the limits by workspace that apply from now on."""
        self._limits.append((now_s, limits))

    def get_running(self, workspace: str) -> Resources:
        """Return the resources that a workspace's current runs use."""
        running = [run for run in self._running.get(workspace, ()) if run.ended_at_s is None]
        self._running[workspace] = running
        return sum((run.resources for run in running), start=NO_RESOURCES)

    def record_start(self, job_id: str, run: RunningTask, now_s: float) -> None:
        """Record the start of a run, and a violation if it exceeds its workspace's limit."""
        workspace = self.workspaces.get(job_id)
        if workspace is None:
            return
        after = self.get_running(workspace) + run.resources
        self._running[workspace].append(run)
        usage = min(
            (
                after.get_utilization(limit)
                for limit in self._list_possible_limits(workspace, now_s)
            ),
            default=0.0,
        )
        if usage > 1.0:
            self.over_limit.append(f"{workspace} uses {usage:.3f} of its limit at {now_s:.2f} s")

    def _list_possible_limits(self, workspace: str, now_s: float) -> list[Resources]:
        """List the limits that may apply: the current one and those replaced recently."""
        replaced_at_s = [at_s for at_s, _limits in self._limits[1:]] + [math.inf]
        return [
            limits.get(workspace, NO_RESOURCES)
            for (_at_s, limits), until_s in zip(self._limits, replaced_at_s, strict=True)
            if until_s > now_s - LIMITS_KNOWN_AFTER_S
        ]
