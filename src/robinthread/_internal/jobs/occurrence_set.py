"""Set of a job's occurrences, whose size is that of the ranges in it."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from itertools import groupby


class OccurrenceSet:
    """Occurrences by number, kept as ranges; consecutive ones cost no memory."""

    def __init__(self) -> None:
        # Each range goes from a first occurrence to before an end; ranges do not touch.
        self._firsts: list[int] = []
        self._ends: list[int] = []
        self._count = 0

    def __contains__(self, occurrence: object) -> bool:
        return isinstance(occurrence, int) and self.find_missing(occurrence) != occurrence

    def __len__(self) -> int:
        return self._count

    def add(self, occurrence: int) -> None:
        """Add an occurrence."""
        self._add_range(occurrence, 1)

    def add_ranges(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Add ranges, each given by its first occurrence and its length."""
        for first, count in ranges:
            if count > 0:
                self._add_range(first, count)

    def list_ranges(self) -> tuple[tuple[int, int], ...]:
        """List the occurrences as ranges, as ``add_ranges`` takes them."""
        pairs = zip(self._firsts, self._ends, strict=True)
        return tuple((first, end - first) for first, end in pairs)

    def find_missing(self, first: int) -> int:
        """Return the first occurrence from ``first`` on that is not in the set."""
        position = bisect_right(self._firsts, first) - 1
        return max(first, self._ends[position]) if position >= 0 else first

    def _add_range(self, first: int, count: int) -> None:
        """Add a range, merged with those that it overlaps or touches."""
        end = first + count
        low, high = bisect_left(self._ends, first), bisect_right(self._firsts, end)
        if low < high:
            first, end = min(first, self._firsts[low]), max(end, self._ends[high - 1])
        merged = zip(self._firsts[low:high], self._ends[low:high], strict=True)
        self._count += end - first - sum(stop - begin for begin, stop in merged)
        self._firsts[low:high], self._ends[low:high] = [first], [end]


def get_ranges(numbers: Iterable[int]) -> tuple[tuple[int, int], ...]:
    """Return numbers as ranges of consecutive ones, each a first number and a length."""
    numbered = enumerate(sorted(numbers))
    groups = (
        [number for _position, number in group]
        for _difference, group in groupby(numbered, lambda pair: pair[1] - pair[0])
    )
    return tuple((group[0], len(group)) for group in groups)
