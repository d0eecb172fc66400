"""Set of a job's occurrences, which is small while these are consecutive."""

from collections.abc import Iterable
from itertools import groupby


class OccurrenceSet:
    """Occurrences by number; all below the first one that is missing cost no memory."""

    def __init__(self) -> None:
        self._prefix_end = 0
        self._others: set[int] = set()

    def __contains__(self, occurrence: object) -> bool:
        is_in_prefix = isinstance(occurrence, int) and occurrence < self._prefix_end
        return is_in_prefix or occurrence in self._others

    def __len__(self) -> int:
        return self._prefix_end + len(self._others)

    @property
    def first_missing(self) -> int:
        """Return the first occurrence that is not in the set."""
        return self._prefix_end

    def add(self, occurrence: int) -> None:
        """Add an occurrence."""
        if occurrence in self:
            return
        self._others.add(occurrence)
        while self._prefix_end in self._others:
            self._others.discard(self._prefix_end)
            self._prefix_end += 1

    def add_ranges(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Add ranges, each given by its first occurrence and its length."""
        for first, count in ranges:
            for occurrence in range(first, first + count):
                self.add(occurrence)

    def list_ranges(self) -> tuple[tuple[int, int], ...]:
        """List the occurrences as ranges, as ``add_ranges`` takes them."""
        prefix = ((0, self._prefix_end),) if self._prefix_end else ()
        return prefix + get_ranges(self._others)


def get_ranges(numbers: Iterable[int]) -> tuple[tuple[int, int], ...]:
    """Return numbers as ranges of consecutive ones, each a first number and a length."""
    numbered = enumerate(sorted(numbers))
    groups = (
        [number for _position, number in group]
        for _difference, group in groupby(numbered, lambda pair: pair[1] - pair[0])
    )
    return tuple((group[0], len(group)) for group in groups)
