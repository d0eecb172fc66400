"""How late the jobs of a pool will be."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Outlook:
    """The slack of open occurrences in seconds, and those that are given up.

    Keys are the job's id and the number of the occurrence.  The occurrences in ``given_up`` can't
    be on time together with the others on the hosts that the pool has.
    """

    slacks_s: Mapping[tuple[str, int], float]
    given_up: frozenset[tuple[str, int]]
