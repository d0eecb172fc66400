"""Room over time."""

from dataclasses import dataclass

from robinthread._internal.models.resources import Resources


@dataclass(frozen=True, slots=True)
class ResourceVector:
    """Room as real numbers, or room times seconds: thousandths of a core, MB, accelerators."""

    cpu: float = 0.0
    memory: float = 0.0
    gpu: float = 0.0

    def __add__(self, other: "ResourceVector") -> "ResourceVector":
        return ResourceVector(
            self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu
        )

    def scale(self, factor: float) -> "ResourceVector":
        """Return the work times a factor."""
        return ResourceVector(self.cpu * factor, self.memory * factor, self.gpu * factor)

    def max(self, other: "ResourceVector") -> "ResourceVector":
        """Return the greater of each kind."""
        return ResourceVector(
            max(self.cpu, other.cpu), max(self.memory, other.memory), max(self.gpu, other.gpu)
        )

    def round(self) -> Resources:
        """Return the nearest room in whole numbers."""
        return Resources(round(self.cpu), round(self.memory), round(self.gpu))


ZERO_VECTOR = ResourceVector()


def as_vector(resources: Resources) -> ResourceVector:
    """Return a room as real numbers."""
    return ResourceVector(resources.cpu_millicores, resources.memory_mb, resources.gpu_count)
