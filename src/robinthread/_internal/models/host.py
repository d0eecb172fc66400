"""A host of workers as the fleet state knows it."""

from dataclasses import dataclass

from robinthread._internal.models.host_phase import HostPhase


@dataclass(frozen=True, slots=True)
class Host:
    """An upstream host.

    ``token`` is the log offset of the record that last granted the host to a
    pool, a wave or back to service: the fencing token of every act on it.
    ``boot_id`` is the worker's before the reboot of its current wave.
    """

    name: str
    hall: str
    rack: str
    address: str
    slots: int
    connections: int
    accelerators: int = 0
    pool: str = ""
    phase: HostPhase = HostPhase.FREE
    wave: str = ""
    token: int = 0
    boot_id: str = ""

    @property
    def is_serving(self) -> bool:
        """Tell whether the host counts as serving for its pool's budget."""
        return self.phase is HostPhase.SERVING
