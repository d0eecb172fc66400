"""Plays a case from beginning to end and turns its result into an exit code."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.deployment import Record

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# A script has 120 s at most, its start and end included.
LONGEST_S = 112.0
# With TROUBLE=0 a case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def play(script: str, run: Callable[[Record], Awaitable[int]]) -> int:
    """Play ``run`` and write its record beside ``script``; return the exit code."""
    record = Record(Path(script).parent)
    record.write("with the disruption" if HAS_TROUBLE else "without the disruption")
    try:
        code = asyncio.run(_run_within_limit(run, record))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    outcomes = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record.write(outcomes.get(code, "the case could not run"))
    return code


async def _run_within_limit(run: Callable[[Record], Awaitable[int]], record: Record) -> int:
    async with asyncio.timeout(LONGEST_S):
        return await run(record)
