"""Generate docs/RESULT_CODES.md from the result codes; a test checks that it is current."""

from pathlib import Path

from robinthread._internal.cli.exit_code import get_exit_code
from robinthread._internal.entry.handler import CODE_STATUS, FAMILY_STATUS
from robinthread._internal.results import MEANINGS, Family, ResultCode

PAGE_PATH = Path(__file__).parent.parent / "docs" / "RESULT_CODES.md"
PAGE_HEADER = """# Result codes

Written by `python tools/write_result_codes.py`; a test compares it with the code.

The hundreds digit is the family. Families 2, 3 and 4 are the three truths
about a request. Only family 3, "did not run", may be sent again under a new
request id when the work must not be repeated; a request may always be sent
again under its own id, with the next try number.

The exit code of the command line is 0 for success, else
`(code // 100 - 2) * 40 + code % 100`.
"""
FAMILY_DESCRIPTIONS = {
    Family.SUCCESS: "operators' call or record took effect",
    Family.RAN: "ran",
    Family.DID_NOT_RUN: "did not run: no try up to this one was started",
    Family.OUTCOME_UNKNOWN: "outcome unknown: sent, and no word",
    Family.INVALID: "malformed: nothing was begun",
    Family.VOID: "the record is void in the log's order",
    Family.INTERNAL: "the daemon or its surroundings failed",
}


def make_page() -> str:
    """Return the Markdown text of the page: one table of codes per family."""
    parts = [PAGE_HEADER]
    for family in Family:
        parts.append(f"\n## {family.value}xx: {FAMILY_DESCRIPTIONS[family]}\n")
        parts.append("| code | name | HTTP status for callers | exit code | meaning |")
        parts.append("|---|---|---|---|---|")
        parts += [_make_row(code) for code in ResultCode if code.family is family]
    return "\n".join(parts) + "\n"


def _make_row(code: ResultCode) -> str:
    status = CODE_STATUS.get(code, FAMILY_STATUS[code.family])
    return f"| {code.value} | {code.name} | {status} | {get_exit_code(code)} | {MEANINGS[code]} |"


if __name__ == "__main__":
    PAGE_PATH.write_text(make_page(), encoding="utf-8")
