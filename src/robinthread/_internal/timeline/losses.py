"""Causes of delay of late and failed jobs, from the log lines of a day.

The time from a job's acceptance to its recorded end is split into legs, each with one cause.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from robinthread._internal.timeline.log_line import LogLine

# Length of the intervals over which losses are summed.
INTERVAL_S: Final = 2.0

# Legs of a job, and the names by which tables and JSON show them.
OWNER_UNAVAILABLE: Final = "owner away"
STORE_UNAVAILABLE: Final = "store away"
EARLIER_RUNS: Final = "run again"
NO_CAPACITY: Final = "no room"
LAST_RUN: Final = "at work"
END_RECORDED_LATE: Final = "end recorded late"
UNKNOWN: Final = "not in the lines"

Span = tuple[float, float]


@dataclass(frozen=True, slots=True)
class JobLoss:
    """A job that was late or failed, and the seconds of each of its legs.

    ``accepted_at_s`` is Unix time.  Where legs overlap, the time counts for the one that
    comes first in ``LEGS``.
    """

    job: str
    queue: str
    pool: str
    accepted_at_s: float
    late_s: float
    legs_s: dict[str, float]

    @property
    def cause(self) -> str:
        """Return the longest leg other than ``LAST_RUN``, or ``UNKNOWN`` if there is none."""
        legs_s = {leg: took_s for leg, took_s in self.legs_s.items() if leg != LAST_RUN}
        return max(legs_s, key=lambda leg: legs_s[leg], default=UNKNOWN)


@dataclass(frozen=True, slots=True)
class LossRow:
    """Late and failed jobs of one queue, interval and cause, with the pool's last logged size.

    ``moment_s`` is the start of the interval in seconds since the first line.
    """

    queue: str
    moment_s: float
    cause: str
    job_count: int
    late_s: float
    pool_size: str


# In order of precedence: time that several legs cover counts for the first one.
LEGS: Final = (
    OWNER_UNAVAILABLE,
    STORE_UNAVAILABLE,
    EARLIER_RUNS,
    LAST_RUN,
    NO_CAPACITY,
    END_RECORDED_LATE,
)


def find_losses(lines: Sequence[LogLine]) -> list[JobLoss]:
    """Return the losses of late and failed jobs, in the order of acceptance."""
    by_job: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if line.job:
            by_job[line.job].append(line)
    owner_gaps = _find_spans(lines, "pool", {"pool_closed", "pool_fenced"}, {"pool_opened"})
    store_gaps = _find_spans(lines, "writer", {"journal_stalled"}, {"journal_resumed"})
    losses = (
        _compute_job_loss(job_lines, owner_gaps, store_gaps)
        for job_lines in by_job.values()
        if any(line.event in ("job_ended", "job_failed") for line in job_lines)
    )
    found = [loss for loss in losses if loss is not None]
    return sorted(found, key=lambda loss: loss.accepted_at_s)


def sum_losses(losses: Iterable[JobLoss], lines: Sequence[LogLine]) -> list[LossRow]:
    """Sum losses by queue, interval and cause; rows with the most jobs come first."""
    losses = list(losses)
    if not losses:
        return []
    began_s = min(line.at_s for line in lines)
    groups: dict[tuple[str, float, str], list[JobLoss]] = defaultdict(list)
    for loss in losses:
        moment_s = INTERVAL_S * math.floor((loss.accepted_at_s - began_s) / INTERVAL_S)
        groups[loss.queue, moment_s, loss.cause].append(loss)
    rows = (
        LossRow(
            queue,
            moment_s,
            cause,
            len(group),
            round(sum(loss.late_s for loss in group), 3),
            _get_pool_size(lines, group[0].pool, began_s + moment_s + INTERVAL_S),
        )
        for (queue, moment_s, cause), group in groups.items()
    )
    return sorted(rows, key=lambda row: (-row.job_count, row.moment_s, row.queue))


def format_losses(rows: Sequence[LossRow]) -> list[str]:
    """Format rows as the lines of a table, with a header."""
    header = f"{'from s':>7s} {'queue':16s} {'cause':18s} {'jobs':>5s} {'late s':>8s}  pool"
    return [header] + [
        f"{row.moment_s:7.0f} {row.queue:16s} {row.cause:18s} {row.job_count:5d} "
        f"{row.late_s:8.1f}  {row.pool_size}"
        for row in rows
    ]


def _compute_job_loss(
    job_lines: Sequence[LogLine],
    owner_gaps: dict[str, list[Span]],
    store_gaps: dict[str, list[Span]],
) -> JobLoss | None:
    """Return a job's loss, or None if it was canceled, or ended on time without failing."""
    end = next(line for line in job_lines if line.event in ("job_ended", "job_failed"))
    took_s = end.fields.get("took_ms", 0) / 1000
    late_s = took_s - end.fields.get("allowed_ms", 0) / 1000
    if end.fields.get("outcome") == "canceled" or (late_s <= 0 and end.event != "job_failed"):
        return None
    accepted_s = next((line.at_s for line in job_lines if line.event == "job_accepted"), math.inf)
    accepted_s = min(accepted_s, end.at_s - took_s)
    pool = str(end.fields.get("pool", ""))
    runs_s = _list_runs(job_lines)
    earlier_runs_s = [span for task, spans in runs_s.items() for span in spans[:-1]]
    last_runs_s = [spans[-1] for spans in runs_s.values()]
    last_end_s = max((until_s for _from_s, until_s in last_runs_s), default=end.at_s)
    spans_by_leg = {
        OWNER_UNAVAILABLE: owner_gaps.get(pool, []) + _find_pickup_delay(job_lines, accepted_s),
        STORE_UNAVAILABLE: store_gaps.get(f"pool/{pool}", []),
        EARLIER_RUNS: earlier_runs_s,
        LAST_RUN: last_runs_s,
        END_RECORDED_LATE: [(last_end_s, end.at_s)],
        NO_CAPACITY: [(accepted_s, last_end_s)],
    }
    return JobLoss(
        end.job,
        str(end.fields.get("queue", "")),
        pool,
        accepted_s,
        round(late_s, 3),
        _split_by_leg((accepted_s, end.at_s), spans_by_leg),
    )


def _find_pickup_delay(job_lines: Sequence[LogLine], accepted_s: float) -> list[Span]:
    """Return the span from a job's acceptance until its owner took it."""
    taken_s = min(
        (line.at_s for line in job_lines if line.event == "job_taken"), default=accepted_s
    )
    return [(accepted_s, max(accepted_s, taken_s))]


def _list_runs(job_lines: Sequence[LogLine]) -> dict[str, list[Span]]:
    """Return, by task, the spans of its runs on hosts, in the order of run numbers."""
    runs_s: dict[str, dict[int, list[float]]] = defaultdict(dict)
    for line in job_lines:
        if line.event in ("run_started", "run_ended", "run_failed"):
            task, run = str(line.fields.get("task")), int(line.fields.get("run", 0))
            runs_s[task].setdefault(run, []).append(line.at_s)
    return {
        task: [(min(at_s), max(at_s)) for _run, at_s in sorted(runs.items())]
        for task, runs in runs_s.items()
    }


def _split_by_leg(job_span: Span, spans_by_leg: dict[str, list[Span]]) -> dict[str, float]:
    """Return the seconds of a job by leg.

    The job's span is cut at the ends of all other spans, and each piece counts for the first
    leg that covers it, or for ``UNKNOWN``.
    """
    cuts = sorted(
        {
            *job_span,
            *itertools.chain.from_iterable(itertools.chain.from_iterable(spans_by_leg.values())),
        }
    )
    cuts = [cut for cut in cuts if job_span[0] <= cut <= job_span[1]]
    legs_s: dict[str, float] = defaultdict(float)
    for from_s, until_s in itertools.pairwise(cuts):
        middle_s = (from_s + until_s) / 2
        leg = next((leg for leg in LEGS if _covers(spans_by_leg[leg], middle_s)), UNKNOWN)
        legs_s[leg] += until_s - from_s
    return {leg: round(took_s, 3) for leg, took_s in legs_s.items()}


def _covers(spans: Iterable[Span], at_s: float) -> bool:
    return any(from_s <= at_s < until_s for from_s, until_s in spans)


def _find_spans(
    lines: Sequence[LogLine], key: str, begins: set[str], ends: set[str]
) -> dict[str, list[Span]]:
    """Return, by the value of the field ``key``, the spans from a begin event to the next end."""
    spans: dict[str, list[Span]] = defaultdict(list)
    began_s: dict[str, float] = {}
    for line in sorted(lines, key=lambda line: line.at_s):
        name = str(line.fields.get(key, ""))
        if line.event in begins:
            began_s.setdefault(name, line.at_s)
        elif line.event in ends and name in began_s:
            spans[name].append((began_s.pop(name), line.at_s))
    return spans


def _get_pool_size(lines: Sequence[LogLine], pool: str, until_s: float) -> str:
    """Return a pool's size as last logged up to ``until_s``, or "not told"."""
    size_lines = [
        line
        for line in lines
        if line.event == "pool_sized" and line.fields.get("pool") == pool and line.at_s <= until_s
    ]
    if not size_lines:
        return "not told"
    fields = max(size_lines, key=lambda line: line.at_s).fields
    return (
        f"{fields['usable']} usable, {fields['arriving']} arriving, {fields['fetch_count']} wanted"
    )
