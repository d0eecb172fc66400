"""Room over time."""

from dataclasses import dataclass

from robinthread._internal.models.resources import Resources


@dataclass(frozen=True, slots=True)
class Work:
    """Room as real numbers, or room times seconds: thousandths of a core, MB, accelerators."""

    cpu: float = 0.0
    memory: float = 0.0
    gpu: float = 0.0

    def __add__(self, other: "Work") -> "Work":
        return Work(self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu)

    def scale(self, factor: float) -> "Work":
        """Return the work times a factor."""
        return Work(self.cpu * factor, self.memory * factor, self.gpu * factor)

    def max(self, other: "Work") -> "Work":
        """Return the greater of each kind."""
        return Work(
            max(self.cpu, other.cpu), max(self.memory, other.memory), max(self.gpu, other.gpu)
        )

    def round(self) -> Resources:
        """Return the nearest room in whole numbers."""
        return Resources(round(self.cpu), round(self.memory), round(self.gpu))


NO_WORK = Work()


def as_work(room: Resources) -> Work:
    """Return a room as real numbers."""
    return Work(room.cpu_millicores, room.memory_mb, room.gpu_count)
