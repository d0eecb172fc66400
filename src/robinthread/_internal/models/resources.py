"""Amounts of resources: capacities of hosts and requirements of tasks."""

import sys
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Processor time in thousandths of a core, memory in MB, accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpu_count + other.gpu_count,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpu_count - other.gpu_count,
        )

    def scale(self, count: int) -> "Resources":
        """Return ``count`` times these resources."""
        return Resources(
            self.cpu_millicores * count, self.memory_mb * count, self.gpu_count * count
        )

    def min(self, other: "Resources") -> "Resources":
        """Return the minimum of each kind of resource."""
        return Resources(
            min(self.cpu_millicores, other.cpu_millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.gpu_count, other.gpu_count),
        )

    def max(self, other: "Resources") -> "Resources":
        """Return the maximum of each kind of resource."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.gpu_count, other.gpu_count),
        )

    def count(self, unit: "Resources") -> int:
        """Return how many times ``unit`` fits, or ``sys.maxsize`` if it is zero."""
        pairs = (
            (self.cpu_millicores, unit.cpu_millicores),
            (self.memory_mb, unit.memory_mb),
            (self.gpu_count, unit.gpu_count),
        )
        return min(
            (available // needed for available, needed in pairs if needed), default=sys.maxsize
        )

    def get_utilization(self, limit: "Resources") -> float:
        """Return the highest share of ``limit`` in use over all kinds of resources.

        Kinds whose limit is zero are unlimited and not considered.
        """
        pairs = (
            (self.cpu_millicores, limit.cpu_millicores),
            (self.memory_mb, limit.memory_mb),
            (self.gpu_count, limit.gpu_count),
        )
        return max((used / maximum for used, maximum in pairs if maximum), default=0.0)

    def astuple(self) -> tuple[int, int, int]:
        """Return thousandths of a core, MB and accelerators."""
        return self.cpu_millicores, self.memory_mb, self.gpu_count

    def fits_in(self, capacity: "Resources") -> bool:
        """Return whether ``capacity`` is at least this much of each kind."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.gpu_count <= capacity.gpu_count
        )


NO_RESOURCES = Resources()
