"""Exit codes of the command line."""

from typing import Final

from robinthread._internal.results import FAMILY_SIZE, ResultCode

FIRST_FAMILY: Final = 2
CODES_PER_FAMILY: Final = 40


def get_exit_code(code: ResultCode) -> int:
    """Return the exit code: 0 for success, else one that identifies the result code.

    An exit code has eight bits, so the family and the number within it are packed:
    ``(code // 100 - 2) * 40 + code % 100``.
    """
    if code.is_success:
        return 0
    return (code.value // FAMILY_SIZE - FIRST_FAMILY) * CODES_PER_FAMILY + code.value % FAMILY_SIZE
