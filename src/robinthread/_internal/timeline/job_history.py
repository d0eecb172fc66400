"""History of one job, collected from the log lines of all nodes."""

import datetime
from collections.abc import Iterable, Sequence
from typing import Any, Final

from robinthread._internal.timeline.log_line import LogLine

# Causal order of a job's first events, whatever times the nodes' clocks show: one node
# accepts a job, and only then does another node take it.
STAGES: Final = {
    "request_relayed": 0,
    "job_accepted": 1,
    "job_taken": 2,
}
LATER_STAGE: Final = 3
# Events that explain why a job's owner could not make progress, whichever job they name.
POOL_EVENTS: Final = frozenset(
    {
        "owner_missing",
        "pool_taken",
        "pool_opening_slow",
        "pool_opened",
        "owner_standing",
        "pool_closed",
        "pool_fenced",
        "pool_open_failed",
        "journal_stalled",
        "journal_resumed",
        "host_lost",
        "host_lapsed",
        "host_paused",
    }
)
# Events that show what a node had lost or regained, selected for the nodes that logged
# lines of the job.
NODE_EVENTS: Final = frozenset(
    {
        "started",
        "ready",
        "unready",
        "stopping",
        "stopped",
        "store_lost",
        "store_regained",
        "membership_lost",
        "member_listed",
        "member_unlisted",
        "pools_passed_on",
        "pools_not_passed_on",
        "owner_unreachable",
        "lines_lost",
        "lines_left_out",
    }
)


def select_lines(lines: Iterable[LogLine], job_id: str) -> list[LogLine]:
    """Return the lines of a job, and of its pools, hosts and nodes between its first and last line.

    The result is empty if no line names the job.
    """
    lines = list(lines)
    job_lines = [line for line in lines if line.has_value("job", job_id)]
    if not job_lines:
        return []
    began_s = min(line.at_s for line in job_lines)
    ended_s = max(line.at_s for line in job_lines)
    pools = {line.fields["pool"] for line in job_lines if "pool" in line.fields}
    hosts = {line.fields["host"] for line in job_lines if "host" in line.fields}
    nodes = {line.node for line in job_lines}
    context_lines = [
        line
        for line in lines
        if not line.has_value("job", job_id)
        and began_s <= line.at_s <= ended_s
        and (
            (line.event in NODE_EVENTS and line.node in nodes)
            or (line.event in POOL_EVENTS and line.fields.get("host", "") in hosts)
            or (
                line.event in POOL_EVENTS
                and "host" not in line.fields
                and line.fields.get("pool") in pools
            )
        )
    ]
    return sort_by_cause(job_lines + context_lines)


def sort_by_cause(lines: Sequence[LogLine]) -> list[LogLine]:
    """Sort lines by time, but keep the events of ``STAGES`` in order for each job.

    The clocks of nodes differ: a line with an earlier time than a line of an earlier
    stage is placed right after that line.  All later lines of a job come from its
    owner, so their times are of one clock.
    """
    ranked = [
        (_get_time_s(line, lines), _get_stage(line), number) for number, line in enumerate(lines)
    ]
    return [lines[number] for _at_s, _stage, number in sorted(ranked)]


def _get_stage(line: LogLine) -> int:
    return STAGES.get(line.event, LATER_STAGE)


def _get_time_s(line: LogLine, lines: Sequence[LogLine]) -> float:
    """Return the time to sort a line by: at least the times of the same job's earlier stages."""
    if not line.job or line.event not in STAGES:
        return line.at_s
    causes_s = [
        other.at_s
        for other in lines
        if other.job == line.job and _get_stage(other) < _get_stage(line)
    ]
    return max([line.at_s, *causes_s])


def format_lines(lines: Sequence[LogLine]) -> list[str]:
    """Format lines for display, with the seconds since the first line."""
    began_s = lines[0].at_s if lines else 0.0
    return [_format_line(line, began_s) for line in lines]


def _format_line(line: LogLine, began_s: float) -> str:
    at = datetime.datetime.fromtimestamp(line.at_s, datetime.UTC)
    fields = " ".join(f"{key}={_format_value(value)}" for key, value in line.fields.items())
    since_s = line.at_s - began_s
    return f"{at:%H:%M:%S.%f} {since_s:+9.3f} s {line.node:18s} {line.event:20s} {fields}".rstrip()


def _format_value(value: Any) -> str:
    return f'"{value}"' if isinstance(value, str) and " " in value else str(value)
