"""History of a job, and causes of delay, from the log lines of all nodes."""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from robinthread._internal.results import FaultError, ResultCode, make_fault
from robinthread._internal.timeline.chrome_trace import make_chrome_trace
from robinthread._internal.timeline.event import Event
from robinthread._internal.timeline.hybrid_clock import LOGICAL_BITS
from robinthread._internal.timeline.job_history import format_lines, select_lines, sort_by_cause
from robinthread._internal.timeline.log_line import LogLine, iter_log_lines
from robinthread._internal.timeline.losses import find_losses, format_losses, sum_losses

STANDARD_INPUT = "-"


def run_explain(job_id: str, file: str, filters: dict[str, str], chrome: str, is_json: bool) -> int:
    """Print the log lines of a job and of its pools, hosts and nodes in causal order.

    If ``job_id`` is empty, start from all lines.  Only lines that match all ``filters`` are
    printed.  If ``chrome`` is set, they are written to that file as trace events instead.
    """
    lines = list(_read(file))
    chosen = select_lines(lines, job_id) if job_id else sort_by_cause(lines)
    chosen = [line for line in chosen if _matches(line, filters)]
    if not chosen:
        error_text = f"no log line in {file} matches {job_id or filters}"
        raise FaultError(make_fault(ResultCode.NOT_FOUND, error_text))
    if chrome:
        events = list(map(_make_event, chosen))
        Path(chrome).write_bytes(msgspec.json.encode(make_chrome_trace(events)))
        print(f"{len(events)} events written to {chrome}")
    elif is_json:
        print(msgspec.json.encode(chosen).decode())
    else:
        print("\n".join(format_lines(chosen)))
    return 0


def run_losses(file: str, is_json: bool) -> int:
    """Print the causes of delay of late and failed jobs."""
    lines = list(_read(file))
    losses = find_losses(lines)
    rows = sum_losses(losses, lines)
    if is_json:
        print(msgspec.json.encode({"rows": rows, "jobs": losses}).decode())
    else:
        print("\n".join(format_losses(rows)))
    return 0


def _read(file: str) -> Iterator[LogLine]:
    if file == STANDARD_INPUT:
        yield from iter_log_lines(sys.stdin)
        return
    try:
        with open(file, encoding="utf-8", errors="replace") as opened:
            yield from iter_log_lines(opened)
    except OSError as error:
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, f"{file}: {error}")) from error


def _matches(line: LogLine, filters: dict[str, str]) -> bool:
    return all(
        line.node == value if name == "node" else line.has_value(name, value)
        for name, value in filters.items()
    )


def _make_event(line: LogLine) -> Event:
    """Return a line as a timeline event, with offset 0, as log lines have no log offset."""
    detail = " ".join(f"{key}={value}" for key, value in line.fields.items())
    stamp = int(line.at_s * 1000) << LOGICAL_BITS
    return Event(stamp, 0, line.node, "", line.event, line.job, detail)


def make_filters(pairs: Sequence[tuple[str, str]]) -> dict[str, str]:
    """Return the filters whose value is not empty."""
    return {name: value for name, value in pairs if value}
