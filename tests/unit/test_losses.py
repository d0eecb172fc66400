"""Causes of delay of late jobs, from their log lines."""

from typing import Any

from testtools import TestCase

from robinthread._internal.timeline.log_line import LogLine
from robinthread._internal.timeline.losses import (
    EARLIER_RUNS,
    END_RECORDED_LATE,
    NO_CAPACITY,
    OWNER_UNAVAILABLE,
    STORE_UNAVAILABLE,
    find_losses,
    format_losses,
    sum_losses,
)

JOB = "a" * 16


def make_line(at_s: float, event: str, **fields: Any) -> LogLine:
    return LogLine(at_s, "n", event, fields)


def make_job(started_s: float, ended_s: float, shown_s: float, allowed_s: float) -> list[LogLine]:
    """Return the log lines of a job with one task, accepted and taken at 100 s."""
    return [
        make_line(100.0, "job_accepted", job=JOB, pool="press"),
        make_line(100.0, "job_taken", job=JOB, pool="press"),
        make_line(started_s, "run_started", job=JOB, task="0.0.0", run=1, pool="press"),
        make_line(ended_s, "run_ended", job=JOB, task="0.0.0", run=1),
        make_line(
            shown_s,
            "job_ended",
            job=JOB,
            pool="press",
            queue="sheets",
            outcome="succeeded",
            took_ms=round((shown_s - 100) * 1000),
            allowed_ms=round(allowed_s * 1000),
        ),
    ]


class LossesTest(TestCase):
    def test_job_on_time_has_no_loss(self) -> None:
        self.assertEqual([], find_losses(make_job(100.1, 101.0, 101.1, allowed_s=2.0)))

    def test_delay_is_attributed_to_its_cause(self) -> None:
        closed = [
            make_line(100.1, "pool_closed", pool="press"),
            make_line(101.9, "pool_opened", pool="press"),
        ]
        stalled = [
            make_line(100.1, "journal_stalled", writer="pool/press"),
            make_line(101.9, "journal_resumed", writer="pool/press"),
        ]
        again = [make_line(102.9, "run_started", job=JOB, task="0.0.0", run=2)]
        for expected, lines in {
            NO_CAPACITY: make_job(102.0, 103.0, 103.1, 2.0),
            OWNER_UNAVAILABLE: make_job(102.0, 103.0, 103.1, 2.0) + closed,
            STORE_UNAVAILABLE: make_job(102.0, 103.0, 103.1, 2.0) + stalled,
            END_RECORDED_LATE: make_job(100.1, 101.0, 103.0, 2.0),
            EARLIER_RUNS: make_job(100.1, 102.8, 104.0, 2.0)
            + again
            + [make_line(103.9, "run_ended", job=JOB, task="0.0.0", run=2)],
        }.items():
            (loss,) = find_losses(lines)
            self.assertEqual(expected, loss.cause)
            self.assertAlmostEqual(sum(loss.legs_s.values()), loss.late_s + 2.0, places=2)

    def test_rows_have_queue_interval_and_pool_size(self) -> None:
        size = make_line(100.5, "pool_sized", pool="press", usable=2, arriving=1, fetch_count=9)
        lines = [*make_job(102.0, 103.0, 103.1, 2.0), size]
        (row,) = sum_losses(find_losses(lines), lines)
        self.assertEqual(("sheets", 0.0, NO_CAPACITY, 1), (row.queue, row.moment_s, row.cause, 1))
        self.assertIn("2 usable, 1 arriving, 9 wanted", format_losses([row])[1])
