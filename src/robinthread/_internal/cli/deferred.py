"""Verbs that run only after the whole command line was understood."""

from collections.abc import Callable


class Deferred:
    """A verb's work, put off until no argument is left over.

    ``fire`` calls a verb before it meets an unknown flag, so a verb that acted
    at once would have acted on a command line that is then refused.
    """

    __slots__ = ("_work",)

    def __init__(self, work: Callable[[], int]) -> None:
        self._work = work


def run_deferred(deferred: Deferred) -> int:
    """Do the work and return the exit code."""
    return deferred._work()
