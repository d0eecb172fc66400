"""Deferred execution of verbs until the whole command line has been parsed."""

from collections.abc import Callable


class Deferred:
    """A verb's work, deferred until all arguments have been parsed.

    ``fire`` calls a verb before it detects an unknown flag, so a verb that acted
    immediately would have acted on a command line that is then rejected.
    """

    __slots__ = ("_work",)

    def __init__(self, work: Callable[[], int]) -> None:
        self._work = work


def run_deferred(deferred: Deferred) -> int:
    """Run the deferred work and return the exit code."""
    return deferred._work()
