"""Resources as real numbers, for forecasts and averages."""

from dataclasses import dataclass

from robinthread._internal.models.resources import Resources


@dataclass(frozen=True, slots=True)
class ResourceVector:
    """Amounts of thousandths of a core, MB and accelerators, or these times seconds."""

    cpu: float = 0.0
    memory: float = 0.0
    gpu: float = 0.0

    def __add__(self, other: "ResourceVector") -> "ResourceVector":
        return ResourceVector(
            self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu
        )

    def scale(self, factor: float) -> "ResourceVector":
        """Return all amounts multiplied by a factor."""
        return ResourceVector(self.cpu * factor, self.memory * factor, self.gpu * factor)

    def max(self, other: "ResourceVector") -> "ResourceVector":
        """Return the larger amount of each resource."""
        return ResourceVector(
            max(self.cpu, other.cpu), max(self.memory, other.memory), max(self.gpu, other.gpu)
        )

    def round(self) -> Resources:
        """Return the amounts rounded to whole numbers."""
        return Resources(round(self.cpu), round(self.memory), round(self.gpu))


ZERO_VECTOR = ResourceVector()


def as_vector(resources: Resources) -> ResourceVector:
    """Convert resources to real numbers."""
    return ResourceVector(resources.cpu_millicores, resources.memory_mb, resources.gpu_count)
